// Package timeline implements the hybrid logical clock and the ring buffer of events from which the merged timeline of all
// processes is built.
package timeline

import (
	"sync"
	"time"

	"github.com/apricotway/apricotway"
)

// logicalBits is the number of low bits of a stamp that count events within one microsecond.
const logicalBits = 12

// Clock is a hybrid logical clock. Its stamps hold microseconds since the Unix epoch in the high bits and a counter in the low
// bits. It is safe for concurrent use.
type Clock struct {
	now func() time.Time

	mu sync.Mutex
	// last is the highest stamp issued or observed.
	last apricotway.Stamp
}

var _ apricotway.Clock = (*Clock)(nil)

// NewClock returns a hybrid logical clock based on the given physical clock.
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
