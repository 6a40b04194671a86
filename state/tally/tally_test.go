package tally_test

import (
	"testing"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/tally"
)

const size = 5 * time.Second

// TestTotals guards the usage of a window against reports that are lost, repeated or late, and against processes that have
// ended.
func TestTotals(t *testing.T) {
	start := time.Unix(1000, 0)
	a, b := tally.New(size), tally.New(size)
	window := a.Window(start)

	a.Add(start, "w")
	a.Add(start.Add(time.Second), "w")
	b.Add(start, "w")
	b.Add(start, "v")

	c := tally.NewCollector()
	c.Report("a", a.Counts(0))
	c.Report("a", a.Counts(0))
	c.Report("b", b.Counts(0))

	// The first process continues in the next window and no longer reports this one; the second process has ended.
	a.Add(start.Add(size), "w")
	c.Report("a", a.Counts(window+1))

	for workspace, want := range map[apricotway.Workspace]int64{"w": 3, "v": 1} {
		if got := c.Total(window)[workspace]; got != want {
			t.Errorf("workspace %s: got %d calls, want %d", workspace, got, want)
		}
	}

	if got, want := c.Total(window + 1)["w"], int64(1); got != want {
		t.Errorf("next window: got %d calls, want %d", got, want)
	}

	c.Forget(window + 1)

	if got, want := len(c.Total(window)), 0; got != want {
		t.Errorf("got %d workspaces of a forgotten window, want %d", got, want)
	}
}

// TestWindows checks the numbers and ends of windows, which all processes and the platform must compute alike.
func TestWindows(t *testing.T) {
	counted := tally.New(size)

	if got, want := counted.Window(time.Unix(14, 999)), int64(2); got != want {
		t.Errorf("got window %d, want %d", got, want)
	}

	if got, want := counted.End(2), time.Unix(15, 0); !got.Equal(want) {
		t.Errorf("got end %s, want %s", got, want)
	}
}

// TestBounded guards against counts that grow without bound.
func TestBounded(t *testing.T) {
	counted := tally.New(size)
	for i := range 100 {
		counted.Add(time.Unix(int64(5*i), 0), "w")
	}

	if got, want := len(counted.Counts(0)), 6; got != want {
		t.Errorf("got %d windows, want %d", got, want)
	}
}
