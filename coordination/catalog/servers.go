package catalog

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/internal/pause"
)

// readBackends returns a function that reads the list of backend servers once.
func (c *Catalog) readBackends() func(ctx context.Context, anew bool) error {
	var (
		position apricotway.Offset
		known    bool
	)

	return func(ctx context.Context, anew bool) error {
		known = known && !anew

		limited, cancel := context.WithTimeout(ctx, backendWait+answerTime)
		defer cancel()

		var (
			changes []apricotway.BackendChange
			err     error
		)

		began := c.boot()
		wait, gap := c.listPace()
		whole := !known
		if whole {
			changes, position, err = c.store.Backends(limited)
			known = err == nil
		} else {
			changes, position, err = c.store.BackendsAfter(limited, position, c.atMost(wait))
		}

		if errors.Is(err, apricotway.ErrTrimmed) {
			known = false
			return nil
		}

		c.reached(&c.listLost, err == nil)

		if err != nil {
			return err
		}

		c.listedNow()

		if whole {
			c.mu.Lock()
			changes = append(changes, c.missing(changes)...)
			c.mu.Unlock()
		}

		c.applyChanges(changes)
		c.applied(began)
		pause.For(ctx, c.atMost(gap))

		return nil
	}
}

// atMost returns the time, or less when servers whose entries lapsed are due to be removed: that must not wait for changes.
func (c *Catalog) atMost(longest time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()

	if len(c.lapsed) == 0 {
		return longest
	}

	return min(max(returnTime-time.Since(c.returned), leastWait), longest)
}

// missing returns the removal of every known server that a whole list does not name; it needs the lock.
func (c *Catalog) missing(changes []apricotway.BackendChange) []apricotway.BackendChange {
	named := make(map[apricotway.BackendServerID]bool, len(changes))
	for _, change := range changes {
		named[change.ID] = true
	}

	var gone []apricotway.BackendChange

	for _, backend := range c.servers.Backends() {
		if !named[backend.ID] {
			gone = append(gone, apricotway.BackendChange{ID: backend.ID})
		}
	}

	return gone
}

// applyChanges hands changes on. Entries that lapsed during an outage are kept for a time: their servers register again.
func (c *Catalog) applyChanges(changes []apricotway.BackendChange) {
	c.mu.Lock()
	defer c.mu.Unlock()

	now := time.Now()
	waiting := now.Sub(c.returned) < returnTime

	for _, change := range changes {
		if change.Backend != nil {
			delete(c.lapsed, change.ID)
			c.update(*change.Backend)

			continue
		}

		if change.Problem != "" {
			c.logger.Info("entry of a backend server not usable", "event", 285, "server", change.ID, "problem", change.Problem)
		}

		if waiting && change.Problem == "" {
			c.lapsed[change.ID] = true
			continue
		}

		c.remove(change.ID)
	}

	if waiting {
		return
	}

	for id := range c.lapsed {
		c.remove(id)
	}
}

// update takes the entry of a server. An entry that says nothing new is no change; it needs the lock.
func (c *Catalog) update(backend apricotway.Backend) {
	if c.entries[backend.ID] == backend {
		return
	}

	left := c.entries[backend.ID].Leaving
	c.entries[backend.ID] = backend
	c.servers.Update(backend, time.Now())
	c.journal.add(apricotway.BackendChange{ID: backend.ID, Backend: &backend})

	if backend.Leaving && !left {
		c.logger.Info("backend server leaves", "event", 284, "server", backend.ID, "service", backend.Service,
			"zone", backend.Zone, "leavesIn", backend.LeavesIn)
	}
}

// remove drops a server; it needs the lock.
func (c *Catalog) remove(id apricotway.BackendServerID) {
	delete(c.lapsed, id)

	if _, known := c.entries[id]; !known {
		return
	}

	delete(c.entries, id)
	c.servers.Remove(id)
	c.journal.add(apricotway.BackendChange{ID: id})
	c.logger.Info("backend server gone", "event", 286, "server", id)
}

// reached notes whether a read of the store had an answer.
func (c *Catalog) reached(lost *atomic.Bool, ok bool) {
	lost.Store(!ok)

	c.mu.Lock()
	defer c.mu.Unlock()

	c.failing = !ok
}

// listedNow notes that the list has been read, and the end of an outage if nothing was known of it for so long that entries may
// have lapsed.
func (c *Catalog) listedNow() {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.listed && c.boot()-c.listRead > lapseTime {
		c.returned = time.Now()
	}

	c.listed = true
}

// applied notes that the list as of a boot time has been applied.
func (c *Catalog) applied(began time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.listRead = max(c.listRead, began)
}
