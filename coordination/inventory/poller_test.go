package inventory_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/thejerf/suture/v4"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/coordination/inventory"
)

// TestPoller guards against bursts of load report reads and against engines that hang: the reads must be spread over the period,
// their concurrency bounded, and a zone of engines that hang must not delay the reports of the others.
func TestPoller(t *testing.T) {
	var ids []apricotway.BackendServerID
	for i := range 100 {
		ids = append(ids, apricotway.BackendServerID(fmt.Sprintf("engine-%02d", i)))
	}

	simulate(t, servers(ids...), func(w *cluster, supervisor *suture.Supervisor, _ *list, known [2]*inventory.Inventory) {
		inventory.NewPoller(supervisor, known[0], w, func(_ time.Time, id apricotway.BackendServerID, _ apricotway.LoadReport) {
			w.mu.Lock()
			defer w.mu.Unlock()

			w.reads[id]++
		})
		advance(inventory.DefaultReportPeriod/2 - time.Millisecond)
		w.mu.Lock()

		if got, want := len(w.reads), 50; got != want {
			t.Errorf("got %d engines read after half of the period, want %d", got, want)
		}

		for i := 0; i < len(ids); i += 2 {
			w.hang[ids[i]] = true
		}

		w.mu.Unlock()

		advance(20 * inventory.DefaultReportPeriod)
		w.mu.Lock()
		defer w.mu.Unlock()

		for i, id := range ids {
			// One report may be missing: in the first period, the engines that begin to hang occupy the slots of all.
			if got, want := w.reads[id], 19; i%2 == 1 && got < want {
				t.Errorf("got %d reports of %s, want at least %d", got, id, want)
			}
		}

		if got, want := w.top, 40; got > want {
			t.Errorf("got %d reads at a time, want at most %d", got, want)
		}
	})
}

// eventCluster answers every read of cache events with 100 events.
type eventCluster struct {
	*cluster
	reads atomic.Int64
}

func (w *eventCluster) CacheEvents(context.Context, apricotway.BackendServer, uint64) ([]apricotway.CacheEvent, error) {
	w.reads.Add(1)

	return make([]apricotway.CacheEvent, 100), nil
}

// TestUnusedCacheEvents guards against a process without requests that reads all stored events of its engines in every period: a
// policy ignores the events of engines among which it has not chosen yet.
func TestUnusedCacheEvents(t *testing.T) {
	for _, test := range []struct {
		name  string
		takes uint64
		want  int64
	}{{"taken", 1, 60}, {"not taken", 0, 6}} {
		t.Run(test.name, func(t *testing.T) {
			simulate(t, servers("a"), func(w *cluster, supervisor *suture.Supervisor, _ *list, known [2]*inventory.Inventory) {
				var sequence atomic.Uint64

				engines := &eventCluster{cluster: w}
				inventory.NewPoller(supervisor, known[0], engines,
					func(time.Time, apricotway.BackendServerID, apricotway.LoadReport) {},
					inventory.WithCacheEvents(func(apricotway.BackendServerID) uint64 { return sequence.Load() },
						func(time.Time, apricotway.BackendServerID, []apricotway.CacheEvent) { sequence.Add(test.takes) }))
				advance(time.Minute - time.Millisecond)

				if got := engines.reads.Load(); got != test.want {
					t.Errorf("got %d reads of cache events in a minute, want %d", got, test.want)
				}
			})
		})
	}
}
