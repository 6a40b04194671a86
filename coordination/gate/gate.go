// Package gate holds requests back until the admission queue of their service lets them start.
package gate

import (
	"context"
	"sync"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/admission"
)

// Gate blocks requests according to a queue of state/admission.
type Gate struct {
	mu      sync.Mutex
	queue   *admission.Queue
	waiting map[apricotway.RequestID]chan admission.Decision
}

// New returns a gate without limits.
func New(options ...admission.Option) *Gate {
	return &Gate{
		queue:   admission.NewQueue(options...),
		waiting: map[apricotway.RequestID]chan admission.Decision{},
	}
}

// Acquire returns nil once the request may start; Release has to follow. It returns a Refusal when the request will not
// start, also when the context ends first.
func (g *Gate) Acquire(ctx context.Context, request admission.Request) error {
	decided := make(chan admission.Decision, 1)

	g.mu.Lock()
	g.waiting[request.ID] = decided
	g.deliver(g.queue.Offer(time.Now(), request))
	g.mu.Unlock()

	// Waiting requests are only looked at when others end, so that the deadline needs a timer of its own.
	timer := time.NewTimer(time.Until(request.Deadline.Add(-request.Duration)))
	defer timer.Stop()

	select {
	case decision := <-decided:
		return result(decision)
	case <-timer.C:
	case <-ctx.Done():
	}

	return g.abandon(request.ID, decided)
}

func result(decision admission.Decision) error {
	if decision.Verdict == admission.Refused {
		return decision.Refusal()
	}

	return nil
}

// abandon withdraws a request, unless a decision came first. A request that was admitted meanwhile gives its place back.
func (g *Gate) abandon(id apricotway.RequestID, decided <-chan admission.Decision) error {
	g.mu.Lock()
	defer g.mu.Unlock()

	select {
	case decision := <-decided:
		if decision.Verdict == admission.Refused {
			return decision.Refusal()
		}
	default:
	}

	delete(g.waiting, id)
	g.deliver(g.queue.Released(time.Now(), id, 0))

	return (admission.Decision{Code: apricotway.CodeDeadlineUnmeetable, RetryAfter: time.Second}).Refusal()
}

// Release gives the place of an admitted request back, with the tokens of work that it used.
func (g *Gate) Release(id apricotway.RequestID, tokens float64) {
	g.mu.Lock()
	defer g.mu.Unlock()

	g.deliver(g.queue.Released(time.Now(), id, tokens))
}

// SetLimits replaces the limits.
func (g *Gate) SetLimits(limits admission.Limits) {
	g.mu.Lock()
	defer g.mu.Unlock()

	g.deliver(g.queue.SetLimits(time.Now(), limits))
}

// Demand returns the places that each workspace would use.
func (g *Gate) Demand() admission.Demand {
	g.mu.Lock()
	defer g.mu.Unlock()

	return g.queue.Demand()
}

// deliver wakes the requests that were decided. The caller holds the lock.
func (g *Gate) deliver(decisions []admission.Decision) {
	for _, decision := range decisions {
		if decided, ok := g.waiting[decision.ID]; ok && decision.Verdict != admission.Queued {
			delete(g.waiting, decision.ID)
			decided <- decision
		}
	}
}
