package shard

import (
	"sync"
	"time"
)

const (
	pulsePeriod = 250 * time.Millisecond
	// pauseLimit is the silence of the pulse from which the process counts as paused. Membership takes at least 4 s to
	// declare a process dead, and only then another one claims its shards.
	pauseLimit = 2 * time.Second
)

// pulse notices that the whole process was paused, by the gap that a pause leaves in a regular beat.
type pulse struct {
	mu sync.Mutex
	// last is the time of the newest beat.
	last time.Time
	// resumed is the end of the newest pause; zero without one.
	resumed time.Time
}

func (p *pulse) beat(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if !p.last.IsZero() && now.Sub(p.last) > pauseLimit {
		p.resumed = now
	}

	p.last = now
}

// steadySince reports whether the process ran without a pause from the given time until now. A pause that has just ended
// counts although no beat has followed it yet.
func (p *pulse) steadySince(since, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	return now.Sub(p.last) <= pauseLimit && !p.resumed.After(since)
}
