package catalog

import (
	"time"

	"github.com/apricotway/apricotway"
)

// removalMemory is the time for which the last entry of a removed server is known. The store's copy is some seconds old.
const removalMemory = time.Minute

// noteRestore records that the store has come back from an older copy. Entries that are missing from it are removed only after the time
// that servers need to register again.
func (c *Catalog) noteRestore() {
	c.mu.Lock()
	defer c.mu.Unlock()

	now := time.Now()
	c.restoredAt, c.outageEnd = now, now
}

// ignoresOlder reports whether an entry comes from the older copy: it was written before one that is known, such as the one with which the
// server announced its leaving. The caller holds c.mu.
func (c *Catalog) ignoresOlder(backend apricotway.Backend) bool {
	if c.restoredAt.IsZero() || time.Since(c.restoredAt) >= restoreTime {
		return false
	}

	known, ok := c.entries[backend.ID]
	if !ok {
		gone, removed := c.removed[backend.ID]
		if !removed {
			return false
		}

		known = gone.backend
	}

	older := isOlder(backend, known)
	if older {
		c.ignored = true
		c.logger.Info("ignored an entry of a backend server that is older than a known one", "event", 365, "server", backend.ID,
			"sequence", backend.Sequence, "known", known.Sequence)
	}

	return older
}

// isOlder reports whether an entry of a server was written before another one.
func isOlder(entry, known apricotway.Backend) bool {
	return known.Sequence > 0 && entry.Sequence > 0 &&
		(entry.Born.Before(known.Born) || entry.Born.Equal(known.Born) && entry.Sequence < known.Sequence)
}

// recordRemoval remembers the last entry of a server for restoreTime. The caller holds c.mu.
func (c *Catalog) recordRemoval(entry apricotway.Backend) {
	now := time.Now()

	for id, gone := range c.removed {
		if now.Sub(gone.at) >= removalMemory {
			delete(c.removed, id)
		}
	}

	c.removed[entry.ID] = removal{entry, now}
}

// endRestore requests the whole list once restoreTime is over, if entries were ignored: what a server has not written again by then is
// taken as it is.
func (c *Catalog) endRestore(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.ignored && now.Sub(c.restoredAt) >= restoreTime {
		c.ignored, c.rereadList, c.peerPosition = false, true, Position{}
	}
}

// takeReread reports whether the list has to be read from the start, and clears that request.
func (c *Catalog) takeReread() bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	reread := c.rereadList
	c.rereadList = false

	return reread
}
