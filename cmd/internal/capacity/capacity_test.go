package capacity_test

import (
	"bytes"
	"os"
	"strings"
	"testing"

	"github.com/apricotway/apricotway/cmd/internal/capacity"
)

// TestPage guards against a docs/CAPACITY.md that was edited by hand or not regenerated after a change of the measured points.
func TestPage(t *testing.T) {
	relations, err := capacity.Load("../../../docs/slopes.json")
	if err != nil {
		t.Fatal(err)
	}

	page, err := capacity.Compute(relations, capacity.DefaultTarget(), capacity.DefaultBudget())
	if err != nil {
		t.Fatal(err)
	}

	var got bytes.Buffer
	if err := page.Write(&got); err != nil {
		t.Fatal(err)
	}

	want, err := os.ReadFile("../../../docs/CAPACITY.md")
	if err != nil {
		t.Fatal(err)
	}

	if got.String() != string(want) {
		t.Error("docs/CAPACITY.md differs from the output of: apricotctl capacity --slopes docs/slopes.json")
	}
}

// TestFit guards the least-squares arithmetic, and against a line that is fitted to fewer than the minimum number of points.
func TestFit(t *testing.T) {
	relation := capacity.Relation{Points: []capacity.Point{{1, 5}, {2, 7}, {4, 11}}}

	got, err := relation.Fit()
	if err != nil {
		t.Fatal(err)
	}

	if want := (capacity.Line{Intercept: 3, Slope: 2}); got != want {
		t.Errorf("got %v, want %v", got, want)
	}

	relation.Points = relation.Points[:2]
	if _, err := relation.Fit(); err == nil || !strings.Contains(err.Error(), "needed") {
		t.Errorf("got %v for two points, want an error", err)
	}
}
