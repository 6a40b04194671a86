package relay

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/dispatch"
)

const (
	// defaultPause is the timeout between two events of a resumable stream whose route states neither objective nor pause. Callers
	// abandon a stream after a pause of 2 s at the earliest.
	defaultPause = time.Second
	// replacementInterval is the interval at which another server is looked for while a server is silent.
	replacementInterval = 500 * time.Millisecond
)

// silenceTimer cancels an attempt whose server has not answered or sent an event in time, once another server can take the call. Until
// then the silent server keeps it, since no other one would answer sooner.
type silenceTimer struct {
	// pause is the timeout between two events of a stream; 0 for other calls, whose timer isn't restarted.
	pause   time.Duration
	expired atomic.Bool
	// cancel ends the attempt.
	cancel context.CancelFunc
	// replace places the call on another server and takes the retry from the retry budget; it returns nil if that is not possible. begun
	// tells whether the server has sent an event.
	replace func(begun bool) *dispatch.Send
	// giveBack ends a replacement that is not used.
	giveBack func(*dispatch.Send)

	mu    sync.Mutex
	timer *time.Timer
	// begun is set once the server has sent an event, held while no other server could continue the stream, and stopped once the
	// attempt has ended.
	begun, held, stopped bool
	// next is the replacement while nobody has taken it.
	next *dispatch.Send
}

// startSilenceTimer starts the timer of an attempt. Calls that may not be retried have no timeout, since a silent server may still
// be running the call, and neither has the last attempt of a call.
func (c *call) startSilenceTimer(send *dispatch.Send, cancel context.CancelFunc) *silenceTimer {
	avoid := append(slices.Clone(c.tried), send.Backend.ID)
	request := c.placement(avoid)
	t := &silenceTimer{
		cancel:   cancel,
		replace:  func(begun bool) *dispatch.Send { return c.relay.replace(c.deadline, request, begun) },
		giveBack: func(unused *dispatch.Send) { c.relay.giveBack(request.Service, unused) },
	}

	if !c.route.Repeatable() || c.sends+1 >= c.route.MaxAttempts {
		return t
	}

	first := scale(c.route.Objective, safeTimeoutFactor)
	if c.route.Kind == apricotway.RouteStream {
		first = scale(c.route.Objective, streamTimeoutFactor)
		t.pause = max(scale(c.route.LongestPause, pauseTimeoutFactor), scale(c.route.Objective, 1))

		if t.pause <= 0 {
			t.pause = defaultPause
		}
	}

	if first > 0 {
		t.start(max(first, expectedTimeoutFactor*send.Expected, minTimeout))
	}

	return t
}

func scale(d time.Duration, factor float64) time.Duration { return time.Duration(float64(d) * factor) }

// replace places a call whose server is silent on another one. A call without any event may go to a server that was tried, because its
// connection may be broken.
func (r *Relay) replace(deadline time.Time, request dispatch.Request, begun bool) *dispatch.Send {
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
	}

	return send
}

// giveBack ends a replacement to which nothing was sent.
func (r *Relay) giveBack(service apricotway.Service, unused *dispatch.Send) {
	now := r.now()
	unused.End(now, dispatch.OutcomeLeft)
	r.budget.Return(now, service)
}

func (t *silenceTimer) start(timeout time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()

	if t.timer == nil {
		t.timer = time.AfterFunc(timeout, t.fire)
	} else {
		t.timer.Reset(timeout)
	}
}

func (t *silenceTimer) fire() {
	t.mu.Lock()
	begun := t.begun
	t.mu.Unlock()

	next := t.replace(begun)
	if next == nil {
		t.retry()
		return
	}

	t.mu.Lock()
	defer t.mu.Unlock()

	if t.stopped || t.held {
		t.giveBack(next)
		return
	}

	t.next = next
	t.expired.Store(true)
	t.cancel()
}

// retry looks for another server again after a while.
func (t *silenceTimer) retry() {
	t.mu.Lock()
	defer t.mu.Unlock()

	if !t.stopped && !t.held {
		t.timer.Reset(replacementInterval)
	}
}

// progress restarts the timer after an event.
func (t *silenceTimer) progress() {
	if t.pause <= 0 {
		return
	}

	t.mu.Lock()
	t.begun, t.held = true, false
	t.mu.Unlock()

	t.start(t.pause)
}

// hold stops the timer until the next event, because no other server could continue the stream at present.
func (t *silenceTimer) hold() {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.held = true

	if t.timer != nil {
		t.timer.Stop()
	}
}

// stop stops the timer at the end of the attempt.
func (t *silenceTimer) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.stopped = true

	if t.timer != nil {
		t.timer.Stop()
	}

	if t.next != nil {
		t.giveBack(t.next)
		t.next = nil
	}
}

// fired reports whether the timer cancelled the attempt.
func (t *silenceTimer) fired() bool { return t.expired.Load() }

// takeReplacement returns the server on which the call was placed when the timer cancelled the attempt, nil if there is none. The
// caller has to send the call there.
func (t *silenceTimer) takeReplacement() *dispatch.Send {
	t.mu.Lock()
	defer t.mu.Unlock()

	next := t.next
	t.next = nil

	return next
}
