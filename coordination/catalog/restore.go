package catalog

import "time"

// noteRestore records that the store has come back from an older copy. Entries that are missing from it are removed only after the time
// that servers need to register again.
func (c *Catalog) noteRestore() {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.outageEnd = time.Now()
}
