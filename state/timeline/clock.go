// Package timeline holds the hybrid logical clock and the bounded ring of events from which the time line of all processes
// is merged.
package timeline

import (
	"sync"
	"time"

	"github.com/apricotway/apricotway"
)

// logicalBits is the part of a stamp that counts events within one microsecond.
const logicalBits = 12

// Clock is a hybrid logical clock: microseconds since 1970 above a counter. It is safe for concurrent use.
type Clock struct {
	now func() time.Time

	mu sync.Mutex
	// last is the highest stamp issued or observed.
	last apricotway.Stamp
}

var _ apricotway.Clock = (*Clock)(nil)

// NewClock returns a clock over the given physical clock.
func NewClock(now func() time.Time) *Clock { return &Clock{now: now} }

// Now implements apricotway.Clock.
func (c *Clock) Now() apricotway.Stamp {
	physical := apricotway.Stamp(c.now().UnixMicro()) << logicalBits

	c.mu.Lock()
	defer c.mu.Unlock()

	c.last = max(c.last+1, physical)

	return c.last
}

// Observe implements apricotway.Clock.
func (c *Clock) Observe(stamp apricotway.Stamp) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.last = max(c.last, stamp)
}

// Time returns the physical part of a stamp.
func Time(stamp apricotway.Stamp) time.Time {
	return time.UnixMicro(int64(stamp >> logicalBits))
}
