package catalog

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/internal/pause"
	"github.com/apricotway/apricotway/internal/stall"
)

// readBackends returns a function that reads the list of backend servers once and remembers the position between calls.
func (c *Catalog) readBackends() func(ctx context.Context, fromScratch bool) error {
	var (
		position apricotway.StorePosition
		known    bool
		// asOf is the boot time as of which the changes up to position are known, and requested that of the last read for calls.
		asOf, requested time.Duration
		// pages is the part of a whole list that was read before a read of it failed.
		pages listPages
	)

	return func(ctx context.Context, fromScratch bool) error {
		requested = c.paceRequested(ctx, requested)
		known = known && !fromScratch && !c.takeReread()

		limited, cancel := context.WithTimeout(ctx, listWait+transferTimeout)
		defer cancel()

		limited, end := stall.WithLimit(limited, listWait+answerMargin, answerMargin)
		defer end()

		var (
			changes []apricotway.BackendChange
			err     error
		)

		wait, gap := c.listTiming()
		began := c.boot()
		more := false
		whole := !known

		if whole {
			changes, position, more, began, err = c.readWhole(limited, &pages)
			known = err == nil
		} else {
			era := position.Era

			changes, position, more, err = c.readChanges(limited, position, c.limitWait(wait))
			if errors.Is(err, errInterrupted) {
				return nil
			}

			if err == nil && position.Era != era {
				c.noteRestore()

				err = apricotway.ErrTrimmed
			}
		}

		if errors.Is(err, apricotway.ErrTrimmed) {
			known, pages = false, listPages{}
			return nil
		}

		c.recordRead(&c.listFailing, err == nil)

		if err != nil {
			return err
		}

		c.recordListRead()

		if whole {
			changes = c.completeList(changes)
		}

		c.applyChanges(changes, began)

		if !whole {
			c.recordWritten(changes, asOf)
		}

		if whole || !more {
			asOf = began
		}

		if more {
			return nil
		}

		c.recordListApplied(began)
		c.pauseAfterList(ctx, gap)

		return nil
	}
}

// pauseAfterList pauses after a read of the list unless calls need a newer one.
func (c *Catalog) pauseAfterList(ctx context.Context, gap time.Duration) {
	if !c.listWanted() {
		c.pauseUnlessWanted(ctx, c.limitWait(gap))
	}
}

// maxPagesAge is the age from which the part of a whole list is read again. The changes since have to be read too, and are more by then.
const maxPagesAge = 30 * time.Second

// listPages is the part of a whole list that was read.
type listPages struct {
	changes []apricotway.BackendChange
	// position is where the reading goes on; it has no key while nothing was read.
	position apricotway.StorePosition
	// began is the boot time at which the reading began.
	began time.Duration
}

// readWhole reads the whole list, or goes on where the last such read failed: a list that takes longer than one read would otherwise never be
// known. A list from several reads is known as of the beginning of the first one, and there may be more changes.
func (c *Catalog) readWhole(ctx context.Context, pages *listPages) (
	changes []apricotway.BackendChange, position apricotway.StorePosition, more bool, began time.Duration, err error,
) {
	began = c.boot()
	more = pages.position.Key != "" && began-pages.began < maxPagesAge

	if more {
		began = pages.began
		changes, position, err = c.store.BackendsAfter(ctx, pages.position, 0)
		changes = append(pages.changes, changes...)
	} else {
		changes, position, err = c.store.Backends(ctx)
	}

	switch {
	case errors.Is(err, apricotway.ErrMoreChanges):
		*pages = listPages{changes, position, began}
	case err == nil || !more:
		*pages = listPages{}
	}

	return changes, position, more, began, err
}

// paceRequested pauses before a read that calls wait for, if the last one began just before: one read serves all calls that arrive meanwhile.
// It returns when the last one begins.
func (c *Catalog) paceRequested(ctx context.Context, last time.Duration) time.Duration {
	if !c.listWanted() {
		return last
	}

	pause.For(ctx, last+minListPause-c.boot())

	return c.boot()
}

// errInterrupted reports that a read was ended because calls need a newer list.
var errInterrupted = errors.New("calls need a newer list of backend servers")

// readChanges reads the changes of the list after a position, and reports whether there may be more. It waits for changes unless calls need a
// newer list.
func (c *Catalog) readChanges(
	ctx context.Context, after apricotway.StorePosition, wait time.Duration,
) (changes []apricotway.BackendChange, position apricotway.StorePosition, more bool, err error) {
	waiting, end, mayWait := c.interruptible(ctx)
	defer end()

	if !mayWait {
		wait = 0
	}

	changes, position, err = c.store.BackendsAfter(waiting, after, wait)

	switch {
	case errors.Is(err, apricotway.ErrMoreChanges):
		return changes, position, true, nil
	case err != nil && waiting.Err() != nil && ctx.Err() == nil:
		return nil, after, false, errInterrupted
	default:
		return changes, position, false, err
	}
}

// limitWait returns the longest time to wait. It is shorter while lapsed servers are due for removal, which must not wait for
// changes.
func (c *Catalog) limitWait(longest time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()

	if len(c.lapsed) == 0 {
		return longest
	}

	return min(max(reregistrationTime-time.Since(c.outageEnd), minListWait), longest)
}

// completeList adds the removals of known servers that a whole list does not contain, and forgets the invalid entries that it does not
// contain.
func (c *Catalog) completeList(changes []apricotway.BackendChange) []apricotway.BackendChange {
	c.mu.Lock()
	defer c.mu.Unlock()

	still := map[apricotway.BackendServerID]bool{}

	for _, change := range changes {
		if c.invalid[change.ID] {
			still[change.ID] = true
		}
	}

	c.invalid = still

	return append(changes, c.missing(changes)...)
}

// noteInvalid logs an entry that cannot be used, unless the last entry under its identifier was invalid as well. The caller holds c.mu.
func (c *Catalog) noteInvalid(change apricotway.BackendChange) {
	if c.invalid[change.ID] {
		return
	}

	// A record without a readable key is not part of the list and is read only once.
	if change.ID != "" {
		c.invalid[change.ID] = true
	}

	c.logger.Info("ignored an invalid entry of a backend server", "event", 285, "server", change.ID, "problem", change.Problem)
}

// missing returns the removal of every known server that a whole list does not contain. The caller holds c.mu.
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

// applyChanges applies changes of the list from a read that began at the given boot time. Removals soon after an outage are postponed, since entries that lapsed during it
// belong to servers that may register again.
func (c *Catalog) applyChanges(changes []apricotway.BackendChange, began time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.listAsOf > began {
		changes = c.dropOlderLocked(changes)
	}

	now := time.Now()
	waiting := now.Sub(c.outageEnd) < reregistrationTime

	for _, change := range changes {
		if change.Problem != "" {
			c.noteInvalid(change)
		} else {
			delete(c.invalid, change.ID)
		}

		if change.Backend != nil {
			delete(c.lapsed, change.ID)
			c.update(*change.Backend)

			continue
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

// dropOlderLocked returns the changes that are not older than news which were applied during the read. Removals can't be compared: the next
// news and the next read tell the whole list.
func (c *Catalog) dropOlderLocked(changes []apricotway.BackendChange) []apricotway.BackendChange {
	c.peerPosition, c.rereadList = Position{}, true

	return slices.DeleteFunc(changes, func(change apricotway.BackendChange) bool {
		return change.Backend == nil || isOlder(*change.Backend, c.entries[change.ID])
	})
}

// update applies the entry of a server; an unchanged entry has no effect. The caller holds c.mu.
func (c *Catalog) update(backend apricotway.Backend) {
	if c.ignoresOlder(backend) {
		return
	}

	delete(c.removed, backend.ID)

	// Servers register again and again with a higher sequence.
	unchanged := c.entries[backend.ID]
	unchanged.Sequence = backend.Sequence

	if unchanged == backend {
		c.entries[backend.ID] = backend
		return
	}

	before, known := c.entries[backend.ID]
	wasLeaving := before.Leaving
	c.entries[backend.ID] = backend
	c.servers.Update(backend, time.Now())

	// Every process gets entries with changes, so this one was written after the time as of which the list is known.
	if known {
		c.recordWrittenLocked(backend, c.listAsOf)
	}

	c.journal.add(apricotway.BackendChange{ID: backend.ID, Backend: &backend})

	if backend.Leaving && !wasLeaving {
		c.logger.Info("backend server is leaving", "event", 284, "server", backend.ID, "service", backend.Service,
			"zone", backend.Zone, "leavesIn", backend.LeavesIn)
	}
}

// recordWritten tells the servers whose entries are read as changes after those known as of the given boot time: each has written its entry
// since, also if nothing but its sequence differs.
func (c *Catalog) recordWritten(changes []apricotway.BackendChange, asOf time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()

	for _, change := range changes {
		// An entry that was ignored as older is not the newest one.
		if change.Backend != nil && c.entries[change.ID] == *change.Backend {
			c.recordWrittenLocked(*change.Backend, asOf)
		}
	}
}

// recordWrittenLocked tells that a server has written its entry after the given boot time.
func (c *Catalog) recordWrittenLocked(entry apricotway.Backend, writtenAfter time.Duration) {
	now := time.Now()

	if age, ended := c.servers.RecordWritten(now, entry, now.Add(writtenAfter-c.boot()), writtenAfter); ended {
		c.logger.Info("backend server is ready again after it said that it was leaving", "event", 368, "server", entry.ID,
			"service", entry.Service, "source", "entry", "age", age, "sequence", entry.Sequence)
	}
}

// remove drops a server. The caller holds c.mu.
func (c *Catalog) remove(id apricotway.BackendServerID) {
	delete(c.lapsed, id)

	entry, known := c.entries[id]
	if !known {
		return
	}

	delete(c.entries, id)
	c.recordRemoval(entry)
	c.servers.Remove(id, time.Now())
	c.journal.add(apricotway.BackendChange{ID: id})
	c.logger.Info("backend server removed from the list", "event", 286, "server", id)
}

// recordRead records whether the last read of the store succeeded.
func (c *Catalog) recordRead(failing *atomic.Bool, ok bool) {
	failing.Store(!ok)

	c.mu.Lock()
	defer c.mu.Unlock()

	c.storeFailing = !ok
}

// recordListRead records that the list has been read. If the known list was so old that entries may have lapsed, it records the
// end of an outage.
func (c *Catalog) recordListRead() {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.listed && c.boot()-c.listAsOf > entryLapseAge {
		c.outageEnd = time.Now()
	}

	c.listed = true
}

// recordListApplied records that the list has been applied as it was at the boot time began.
func (c *Catalog) recordListApplied(began time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.advanceListLocked(began)
	c.takeOffer()
}
