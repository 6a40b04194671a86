package bench

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/internal/bubble"
)

// Policies can only be compared under the same load, and the load must have the shape that the design page names.
func TestArrivals(t *testing.T) {
	for _, workload := range Workloads() {
		a := workload.arrivals(1, 100, time.Minute, true, 4)
		b := workload.arrivals(1, 100, time.Minute, true, 4)

		if len(a) != len(b) || a[100].prompt != b[100].prompt || a[100].at != b[100].at {
			t.Errorf("%s: two loads of one seed differ", workload.Name)
		}

		long := 0

		for i := range a {
			if a[i].long {
				long++
			}

			if got := apricotway.EstimateTokens(a[i].prompt); got != a[i].tokens {
				t.Fatalf("%s: got a prompt of %d tokens, want %d", workload.Name, got, a[i].tokens)
			}
		}

		if part := float64(long) / float64(len(a)); part < 0.04 || part > 0.06 {
			t.Errorf("%s: got %.3f long requests, want about 0.05", workload.Name, part)
		}
	}
}

// Every policy must answer the whole load when there is room for it; a request that is lost or counted twice would falsify
// every other figure.
func TestRunAnswersEverything(t *testing.T) {
	workload := Workloads()[0]
	scenario := Scenario{Name: "calm", Load: 0.3, Long: true}

	var rows []Row

	for _, policy := range setups() {
		bubble.Test(t, func(t *testing.T) {
			result := newRun(&workload, scenario, policy, 1, time.Second).execute(t.Context(), 1, 2*time.Second)
			rows = append(rows, newRow(&workload, scenario, policy.name, []*Result{result}))

			// The engine models end with their last step.
			<-time.After(time.Minute)
		})
	}

	for i := range rows {
		if row := &rows[i]; row.Requests != rows[0].Requests || row.Requests < 50 || row.Refused.Maximum+row.Late.Maximum > 0 {
			t.Errorf("%s: got %d requests, %v refused, %v late, want %d, 0, 0",
				row.Policy, row.Requests, row.Refused, row.Late, rows[0].Requests)
		}
	}

	report := Report{Rows: rows}

	var table bytes.Buffer
	if err := report.Write(&table); err != nil || !strings.Contains(table.String(), "prefix-hash") {
		t.Errorf("got table %q, %v, want a row for each policy", table.String(), err)
	}

	directory := t.TempDir()
	if err := report.Plot(directory); err != nil {
		t.Fatal(err)
	}

	if _, err := os.Stat(filepath.Join(directory, "shop-calm.svg")); err != nil {
		t.Errorf("got %v, want a plot", err)
	}
}
