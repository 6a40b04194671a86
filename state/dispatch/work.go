package dispatch

import (
	"time"

	"github.com/apricotway/apricotway"
)

// Work is what one or more processes have under way on a server.
type Work struct {
	Running int
	// Prefill is the number of prompt tokens of calls without a first event.
	Prefill float64
}

// OwnWork returns the work of this process on each server where it has some.
func (p *Pool) OwnWork() map[apricotway.BackendServerID]Work {
	p.mu.Lock()
	defer p.mu.Unlock()

	work := map[apricotway.BackendServerID]Work{}

	for id, s := range p.servers {
		if s.running > 0 {
			work[id] = Work{Running: s.running, Prefill: s.prefill}
		}
	}

	return work
}

// SetOthersWork takes the work of the other processes. Servers that are not named have none.
func (p *Pool) SetOthersWork(now time.Time, work map[apricotway.BackendServerID]Work) {
	p.mu.Lock()
	defer p.mu.Unlock()

	for id, s := range p.servers {
		s.others, s.othersAt = work[id], now
	}
}
