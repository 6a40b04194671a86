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
	// contactLimit is the time without an answer of any member from which the process counts as cut off. The states of the
	// members do not tell it in time: with many of them the first others take this process for dead, after at least 4 s,
	// before it has probed and suspected each of them.
	contactLimit = 3 * time.Second
	// rejoinTime is the time after a pause or a cut in which others may still take this process for dead and claim its shards,
	// so that a read within it is too old.
	rejoinTime = 5 * time.Second
)

// pulse notices that the whole process was paused, by the gap that a pause leaves in a regular beat, and that it was cut off
// from all others. In both cases another process may have claimed its shards.
type pulse struct {
	mu sync.Mutex
	// last is the time of the newest beat.
	last time.Time
	// resumed is the end of the newest pause or cut, as far as beats tell; zero without one.
	resumed time.Time
}

func (p *pulse) beat(now time.Time, cutOff bool) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if cutOff || !p.last.IsZero() && now.Sub(p.last) > pauseLimit {
		p.resumed = now
	}

	p.last = now
}

// steadySince reports whether the process ran without a pause and without a cut from the given time until now, and had been
// known to the others for a while before. A pause that has
// just ended counts although no beat has followed it yet.
func (p *pulse) steadySince(since, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	return now.Sub(p.last) <= pauseLimit && (p.resumed.IsZero() || !p.resumed.Add(rejoinTime).After(since))
}
