// Package gate holds requests back until the admission queue of their service lets them start.
package gate

import (
	"context"
	"sync"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/admission"
)

// Gate blocks each request until an admission.Queue decides on it. It is safe for concurrent use.
type Gate struct {
	mu      sync.Mutex
	queue   *admission.Queue
	waiting map[apricotway.RequestID]chan admission.Decision
}

// New returns a Gate without limits.
func New(options ...admission.Option) *Gate {
	return &Gate{
		queue:   admission.NewQueue(options...),
		waiting: map[apricotway.RequestID]chan admission.Decision{},
	}
}

// Acquire blocks until the request may start and then returns nil; the caller must call Release afterwards. It returns a Refusal if
// the queue refuses the request, if the deadline can no longer be met, or if the context ends first.
func (g *Gate) Acquire(ctx context.Context, request admission.Request) error {
	decided := make(chan admission.Decision, 1)

	g.mu.Lock()
	g.waiting[request.ID] = decided
	g.deliver(g.queue.Offer(time.Now(), request))
	g.mu.Unlock()

	// The queue reconsiders waiting requests only when others end, so the deadline needs its own timer.
	timer := time.NewTimer(time.Until(request.Deadline.Add(-request.Duration)))
	defer timer.Stop()

	select {
	case decision := <-decided:
		return result(decision)
	case <-timer.C:
	case <-ctx.Done():
	}

	return g.withdraw(request.ID, decided)
}

func result(decision admission.Decision) error {
	if decision.Verdict == admission.Refused {
		return decision.Refusal()
	}

	return nil
}

// withdraw removes a request from the queue and returns a refusal. A request that was admitted in the meantime gives its slot back;
// one that was refused in the meantime keeps that refusal.
func (g *Gate) withdraw(id apricotway.RequestID, decided <-chan admission.Decision) error {
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
	g.deliver(g.queue.Release(time.Now(), id, 0))

	return (admission.Decision{Code: apricotway.CodeDeadlineUnmeetable, RetryAfter: time.Second}).Refusal()
}

// Release gives back the slot of an admitted request and reports the tokens of work that it used.
func (g *Gate) Release(id apricotway.RequestID, tokens float64) {
	g.mu.Lock()
	defer g.mu.Unlock()

	g.deliver(g.queue.Release(time.Now(), id, tokens))
}

// SetLimits replaces the limits and admits the waiting requests that now may start.
func (g *Gate) SetLimits(limits admission.Limits) {
	g.mu.Lock()
	defer g.mu.Unlock()

	g.deliver(g.queue.SetLimits(time.Now(), limits))
}

// Demand returns the number of slots that each workspace would use.
func (g *Gate) Demand() admission.Demand {
	g.mu.Lock()
	defer g.mu.Unlock()

	return g.queue.Demand()
}

// deliver wakes the requests that have been decided. The caller holds g.mu.
func (g *Gate) deliver(decisions []admission.Decision) {
	for _, decision := range decisions {
		if decided, ok := g.waiting[decision.ID]; ok && decision.Verdict != admission.Queued {
			delete(g.waiting, decision.ID)
			decided <- decision
		}
	}
}
