package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/dispatch"
	"github.com/apricotway/apricotway/state/origin"
)

const (
	// Callers abandon a stream after a gap of defaultPatience, or of the objective or the longest pause of its route times these factors,
	// whichever is longest.
	defaultPatience         = 2 * time.Second
	patienceObjectiveFactor = 4
	patiencePauseFactor     = 8
	// silenceShare is the share of that gap after which another server gets a resumable stream. A sound server may be silent for a second
	// or so, and the other one needs the rest of the gap for its first event.
	silenceShare = 0.6
	// replacementInterval is the interval at which another server is looked for while a server is silent.
	replacementInterval = 500 * time.Millisecond
)

// silenceTimer cancels an attempt whose server has not answered or sent an event in time, once another server can take the call. Until
// then the silent server keeps it, since no other one would answer sooner.
type silenceTimer struct {
	// gap is the timeout between two events of a stream; 0 for other calls, whose timer isn't restarted.
	gap time.Duration
	// cancel ends the attempt.
	cancel context.CancelFunc
	// replace places the call on another server; it returns nil if that is not possible. begun tells whether the server has sent an
	// event.
	replace func(begun bool) *replacement
	// release ends a replacement that is not used.
	release func(*replacement)

	mu    sync.Mutex
	timer *time.Timer
	// round counts the restarts and stops of the timer. An expiry of an earlier round has no effect.
	round int
	// begun is set once the server has sent an event, expired once the timer has cancelled the attempt, and stopped once the attempt
	// needs no timer any more.
	begun, expired, stopped bool
	// next is the replacement while nobody has taken it. It is set only together with expired.
	next *replacement
}

// replacement is the place of a call at another server, with a retry from the retry budget.
type replacement struct {
	send *dispatch.Send
	// takenAt is the time at which the retry was taken from the budget.
	takenAt time.Time
}

// startSilenceTimer starts the timer of an attempt. Calls that may not be retried have no timeout, since a silent server may still
// be running the call, and neither has the last attempt of a call.
func (c *call) startSilenceTimer(send *dispatch.Send, cancel context.CancelFunc) *silenceTimer {
	request := c.placement(append(slices.Clone(c.tried), send.Backend.ID))
	t := &silenceTimer{
		cancel: cancel,
		replace: func(begun bool) *replacement {
			if begun {
				request.Origin = origin.At(send.Backend.Lineage())
			}

			return c.relay.replace(c.deadline, request, begun)
		},
		release: func(unused *replacement) { c.relay.release(request.Service, unused) },
	}

	if !c.route.Repeatable() || c.sends+1 >= c.route.MaxAttempts {
		return t
	}

	first := scale(c.route.Objective, safeTimeoutFactor)
	if c.route.Kind == apricotway.RouteStream {
		t.gap = c.relay.streamTimeout(c.route)
		first = t.gap
	}

	if first > 0 {
		t.mu.Lock()
		t.startLocked(max(first, expectedTimeoutFactor*send.Expected, minTimeout))
		t.mu.Unlock()
	}

	return t
}

// streamTimeout returns the time without an event after which another server gets a resumable stream.
func (r *Relay) streamTimeout(route *apricotway.Route) time.Duration {
	return scale(max(r.patience, patienceObjectiveFactor*route.Objective, patiencePauseFactor*route.LongestPause), silenceShare)
}

func scale(d time.Duration, factor float64) time.Duration { return time.Duration(float64(d) * factor) }

// replace places a call whose server is silent on another one. A call without any event may go to a server that was tried, because its
// connection may be broken.
func (r *Relay) replace(deadline time.Time, request dispatch.Request, begun bool) *replacement {
	now := r.now()
	if request.Remaining = deadline.Sub(now); request.Remaining < minRemaining || !r.budget.Take(now, request.Service) {
		return nil
	}

	send, _, _ := r.pool.Place(now, request)
	if send == nil && !begun {
		request.Avoid = nil
		send, _, _ = r.pool.Place(now, request)
	}

	if send == nil {
		r.budget.Return(now, request.Service)
		return nil
	}

	return &replacement{send: send, takenAt: now}
}

// release ends a replacement to which nothing was sent.
func (r *Relay) release(service apricotway.Service, unused *replacement) {
	unused.send.End(r.now(), dispatch.OutcomeLeft)
	r.budget.Return(unused.takenAt, service)
}

// startLocked starts the timer anew. The caller holds t.mu.
func (t *silenceTimer) startLocked(timeout time.Duration) {
	if t.expired || t.stopped {
		return
	}

	t.round++
	round := t.round

	if t.timer != nil {
		t.timer.Stop()
	}

	t.timer = time.AfterFunc(timeout, func() { t.expire(round) })
}

// expire cancels the attempt if another server can take the call, and else tries again after a while.
func (t *silenceTimer) expire(round int) {
	t.mu.Lock()
	current, begun := t.round == round, t.begun
	t.mu.Unlock()

	if !current {
		return
	}

	next := t.replace(begun)

	t.mu.Lock()
	defer t.mu.Unlock()

	switch {
	case t.round != round:
		// The server has sent something meanwhile, or the attempt has ended.
		if next != nil {
			t.release(next)
		}
	case next == nil:
		t.startLocked(replacementInterval)
	default:
		t.next, t.expired = next, true
		t.cancel()
	}
}

// restart starts the timer of a stream anew after an event.
func (t *silenceTimer) restart() {
	t.mu.Lock()
	defer t.mu.Unlock()

	if t.gap > 0 {
		t.begun = true
		t.startLocked(t.gap)
	}
}

// hold stops the timer until restart is called.
func (t *silenceTimer) hold() {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.round++

	if t.timer != nil {
		t.timer.Stop()
	}
}

// stop stops the timer for good and ends a replacement that nobody has taken.
func (t *silenceTimer) stop() {
	t.hold()

	t.mu.Lock()
	defer t.mu.Unlock()

	t.stopped = true

	if t.next != nil {
		t.release(t.next)
		t.next = nil
	}
}

// fired reports whether the timer cancelled the attempt.
func (t *silenceTimer) fired() bool {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.expired
}

// takeReplacement returns the place of the call at another server if the timer cancelled the attempt, else nil. The caller has to send
// the call there or release it.
func (t *silenceTimer) takeReplacement() *replacement {
	t.mu.Lock()
	defer t.mu.Unlock()

	next := t.next
	t.next = nil

	return next
}
