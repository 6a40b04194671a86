package shard

import (
	"sync"
	"time"
)

const (
	// tickPeriod is the time between two ticks of the pauseDetector.
	tickPeriod = 250 * time.Millisecond
	// pauseLimit is the time without a tick after which the process counts as paused. Membership takes at least 4 s to declare
	// a process dead, and only then does another one claim its shards.
	pauseLimit = 2 * time.Second
	// contactLimit is the time without an answer of any member after which the process counts as isolated. The states of the
	// members are too slow for that: with many members, the first of them declare this process dead, after at least 4 s, before
	// it has probed and suspected each of them.
	contactLimit = 3 * time.Second
	// rejoinTime is the time after a pause or an isolation in which other members may still consider this process dead and
	// claim its shards. A read from before or within it may miss such a claim.
	rejoinTime = 5 * time.Second
)

// pauseDetector detects that the whole process was paused, by a gap between regular ticks, or isolated from all other members. In
// both cases another process may have claimed its shards.
type pauseDetector struct {
	mu sync.Mutex
	// last is the time of the newest tick.
	last time.Time
	// resumed is the time of the last tick that ended a pause or found the process isolated; zero without one.
	resumed time.Time
}

// tick records that the process runs, and whether it is isolated.
func (p *pauseDetector) tick(now time.Time, isolated bool) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if isolated || !p.last.IsZero() && now.Sub(p.last) > pauseLimit {
		p.resumed = now
	}

	p.last = now
}

// uninterruptedSince reports whether the process was neither paused nor isolated from the given time until now, nor in the
// rejoinTime before. A pause that has just ended is included even if no tick has followed it yet.
func (p *pauseDetector) uninterruptedSince(since, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	return now.Sub(p.last) <= pauseLimit && (p.resumed.IsZero() || !p.resumed.Add(rejoinTime).After(since))
}
