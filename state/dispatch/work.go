package dispatch

import (
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/cadence"
)

// Work is the work in flight of one or more processes on a server.
type Work struct {
	Running int
	// Prefill holds the prompt tokens of calls that wait for their first event, by the size class of the prompt, and Prompts the
	// number of these calls.
	Prefill [Sizes]float64
	Prompts [Sizes]int
}

// Sizes is the number of size classes of prompts. Engines process prompts of a smaller class first.
const Sizes = 4

// sizeBounds holds the largest prompt, in tokens, of each size class but the last.
var sizeBounds = [Sizes - 1]int{1500, 5000, 20000}

// SizeOf returns the size class of a prompt, from 0 for the smallest to Sizes-1.
func SizeOf(tokens int) int {
	for size, bound := range sizeBounds {
		if tokens <= bound {
			return size
		}
	}

	return Sizes - 1
}

// Add adds other to w, or subtracts it when factor is -1.
func (w *Work) Add(other Work, factor int) {
	w.Running += factor * other.Running
	for size, tokens := range other.Prefill {
		w.Prefill[size] += float64(factor) * tokens
		w.Prompts[size] += factor * other.Prompts[size]
	}
}

// OwnWork returns the work of this process on each server where it has any.
func (p *Pool) OwnWork() map[apricotway.BackendServerID]Work {
	p.mu.Lock()
	defer p.mu.Unlock()

	work := map[apricotway.BackendServerID]Work{}

	for id, s := range p.servers {
		if s.own.Running > 0 {
			work[id] = s.own
		}
	}

	return work
}

// SetOthersWork sets the work of the other processes. A server without an entry has none.
func (p *Pool) SetOthersWork(now time.Time, work map[apricotway.BackendServerID]Work) {
	p.mu.Lock()
	defer p.mu.Unlock()

	until := now.Add(cadence.Lifetime(p.period))

	for id, s := range p.servers {
		s.others, s.othersUntil = work[id], until
	}
}
