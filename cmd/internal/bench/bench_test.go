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

// TestArrivals guards against loads that differ between policies, which would make them incomparable, and against loads
// without the intended prompt lengths and fraction of long requests.
func TestArrivals(t *testing.T) {
	for _, workload := range Workloads() {
		a := workload.arrivals(1, 100, time.Minute, true, 4)
		b := workload.arrivals(1, 100, time.Minute, true, 4)

		if len(a) != len(b) || a[100].prompt != b[100].prompt || a[100].sendAfter != b[100].sendAfter {
			t.Errorf("%s: two loads from the same seed differ", workload.Name)
		}

		long := 0

		for i := range a {
			if a[i].long {
				long++
			}

			if got := apricotway.EstimateTokens(a[i].prompt); got != a[i].promptTokens {
				t.Fatalf("%s: got a prompt of %d tokens, want %d", workload.Name, got, a[i].promptTokens)
			}
		}

		if part := float64(long) / float64(len(a)); part < 0.04 || part > 0.06 {
			t.Errorf("%s: got %.3f long requests, want about 0.05", workload.Name, part)
		}
	}
}

// TestRunAnswersEverything guards against requests that are lost or counted twice, which would falsify all other figures.
// Below the capacity, every policy must answer every request.
func TestRunAnswersEverything(t *testing.T) {
	workload := Workloads()[0]
	scenario := Scenario{Name: "calm", Load: 0.3, Long: true}

	var rows []Row

	for _, policy := range policySetups() {
		bubble.Test(t, func(t *testing.T) {
			result := newRun(&workload, scenario, policy, 1, time.Second).execute(t.Context(), 1, 2*time.Second)
			rows = append(rows, newRow(&workload, scenario, policy.name, []*Result{result}))

			// The goroutines of the engine models end after their last step.
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
