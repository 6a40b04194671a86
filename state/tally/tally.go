// Package tally counts the calls that started to run, by time window and workspace.
package tally

import (
	"maps"
	"sync"
	"time"

	"github.com/apricotway/apricotway"
)

// maxWindows bounds the windows that a process keeps. The report of a window is due two windows after its end at the latest.
const maxWindows = 6

// Counts holds the number of calls by window and workspace.
type Counts map[int64]map[apricotway.Workspace]int64

// Counter counts the calls of one process. It is safe for concurrent use.
type Counter struct {
	size time.Duration

	mu     sync.Mutex
	counts Counts
}

// New returns a counter with windows of the given size.
func New(size time.Duration) *Counter { return &Counter{size: size, counts: Counts{}} }

// Window returns the number of the window that contains a time, counted from the Unix epoch.
func (t *Counter) Window(at time.Time) int64 { return at.UnixNano() / int64(t.size) }

// End returns the end of a window.
func (t *Counter) End(window int64) time.Time { return time.Unix(0, (window+1)*int64(t.size)) }

// Add counts a call that started to run at the given time.
func (t *Counter) Add(at time.Time, workspace apricotway.Workspace) {
	window := t.Window(at)

	t.mu.Lock()
	defer t.mu.Unlock()

	if t.counts[window] == nil {
		t.counts[window] = map[apricotway.Workspace]int64{}

		for old := range t.counts {
			if old <= window-maxWindows {
				delete(t.counts, old)
			}
		}
	}

	t.counts[window][workspace]++
}

// Counts returns a copy of the counts, starting with the given window.
func (t *Counter) Counts(from int64) Counts {
	t.mu.Lock()
	defer t.mu.Unlock()

	counts := Counts{}

	for window, calls := range t.counts {
		if window >= from {
			counts[window] = maps.Clone(calls)
		}
	}

	return counts
}

// Collector gathers the counts of all processes. A process reports its complete counts each time, so that reports may be lost
// or repeated. It is not safe for concurrent use.
type Collector struct {
	processes map[apricotway.NodeID]Counts
}

// NewCollector returns an empty collector.
func NewCollector() *Collector { return &Collector{processes: map[apricotway.NodeID]Counts{}} }

// Report stores the counts of a process. Windows that the process no longer reports keep their last counts.
func (c *Collector) Report(node apricotway.NodeID, counts Counts) {
	known := c.processes[node]
	if known == nil {
		known = Counts{}
		c.processes[node] = known
	}

	maps.Copy(known, counts)
}

// Total returns the calls of one window over all processes.
func (c *Collector) Total(window int64) map[apricotway.Workspace]int64 {
	total := map[apricotway.Workspace]int64{}

	for _, counts := range c.processes {
		for workspace, calls := range counts[window] {
			total[workspace] += calls
		}
	}

	return total
}

// All returns the counts of all processes. The caller must not modify them.
func (c *Collector) All() map[apricotway.NodeID]Counts { return c.processes }

// Forget drops the windows before the given one.
func (c *Collector) Forget(before int64) {
	for node, counts := range c.processes {
		for window := range counts {
			if window < before {
				delete(counts, window)
			}
		}

		if len(counts) == 0 {
			delete(c.processes, node)
		}
	}
}
