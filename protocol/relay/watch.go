package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/dispatch"
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
// then the silent server keeps it, since no other one would answer sooner. A stream is offered to the other server first, and the silent
// one keeps it unless that one accepts it or does not answer within handoverTimeout.
type silenceTimer struct {
	// gap is the timeout between two events of a stream; 0 for other calls, whose timer isn't restarted.
	gap time.Duration
	// cancel ends the attempt.
	cancel context.CancelFunc
	// replace places the call on another server; it returns nil if that is not possible. begun tells whether the server has sent an
	// event.
	replace func(begun bool) *replacement
	// release ends a replacement that is not used and to which nothing was sent.
	release func(*replacement)
	// mayOffer reports whether the stream may be offered to another server.
	mayOffer func() offering
	// offer returns the request to a replacement to begin or continue the stream, and a function that sends it and waits for the answer.
	offer func(next *replacement, sent apricotway.SendMetadata) (*resumption, func())
	// discard ends a resumption that is not used. withdrawn is set when the relay gave it up.
	discard func(r *resumption, withdrawn bool)

	mu    sync.Mutex
	timer *time.Timer
	// round counts the restarts and stops of the timer. An expiry of an earlier round has no effect.
	round int
	// running is set while the timer runs.
	running bool
	// begun is set once the server has sent an event, expired once the timer has cancelled the attempt, and stopped once the attempt
	// needs no timer any more.
	begun, expired, stopped bool
	// handedOver is set once another server that was asked has the stream.
	handedOver bool
	// server is that of the attempt, and sent what another server is told to begin or continue the stream.
	server apricotway.BackendServerID
	sent   apricotway.SendMetadata
	// next is the replacement while nobody has taken it. It is set only together with expired.
	next *replacement
	// offered is the replacement that is asked to continue the stream while the silent server keeps it.
	offered *replacement
	// offers are the sends of the offers, and runs the number of those that may have run and that nobody has taken. At most spare may.
	offers      []*dispatch.Send
	runs, spare int
}

// offering tells what a silent server's stream may be given to.
type offering string

const (
	// offeringServer means that another server may be asked to continue it.
	offeringServer offering = "server"
	// offeringProcess means that the paths to the servers are lost, so that the stream is given up for another process to continue it.
	offeringProcess offering = "process"
	offeringNone    offering = "none"
)

// replacement is the place of a call at another server, with a retry from the retry budget.
type replacement struct {
	send *dispatch.Send
	// takenAt is the time at which the retry was taken from the budget.
	takenAt time.Time
	// resumption is set once the server was asked to continue the stream. withdrawn is set once nobody needs its answer any more, settled
	// once it has answered or failed. The timer's mutex protects both.
	resumption         *resumption
	withdrawn, settled bool
}

// startSilenceTimer starts the timer of an attempt. Calls that may not be retried have no timeout, since a silent server may still
// be running the call, and neither has the last attempt of a call.
func (c *call) startSilenceTimer(
	ctx context.Context, send *dispatch.Send, sent apricotway.SendMetadata, cancel context.CancelFunc,
) *silenceTimer {
	request := c.placement(append(slices.Clone(c.tried), send.Backend.ID))
	t := &silenceTimer{
		cancel: cancel, server: send.Backend.ID, sent: sent,
		replace: func(begun bool) *replacement {
			if begun {
				request.Origin = c.beginningAt(c.relay.now(), send)
			}

			return c.relay.replace(c.deadline, request, begun)
		},
		release:  func(unused *replacement) { c.relay.release(request.Service, unused) },
		mayOffer: c.mayOffer,
		offer: func(next *replacement, sent apricotway.SendMetadata) (*resumption, func()) {
			request.Avoid = append(request.Avoid, next.send.Backend.ID)
			c.relay.metrics.CallRetried(request.Service, reasonResumed)

			attempt, r := newResumption(ctx, next.send, sent)
			r.offered = true

			return r, func() { c.requestResume(attempt, r) }
		},
		discard: func(r *resumption, withdrawn bool) {
			c.logDeclined(send, r, withdrawn)

			givenUp := dispatch.Outcome("")
			if withdrawn {
				givenUp = dispatch.OutcomeLeft
			}

			c.endDeclined(ctx, r, givenUp)
		},
		spare: c.route.MaxAttempts - c.sends - 1,
	}

	first := c.silenceTimeout()
	if c.route.Kind == apricotway.RouteStream {
		t.gap = first
	}

	if first > 0 {
		t.mu.Lock()
		t.startLocked(max(first, expectedTimeoutFactor*send.Expected, minTimeout))
		t.mu.Unlock()
	}

	return t
}

// silenceTimeout returns the time without an answer or an event after which another server gets the call, 0 if none may get it.
func (c *call) silenceTimeout() time.Duration {
	switch {
	case !c.route.Repeatable() || c.sends+1 >= c.route.MaxAttempts:
		return 0
	case c.route.Kind == apricotway.RouteStream:
		return c.relay.streamTimeout(c.route)
	default:
		return scale(c.route.Objective, safeTimeoutFactor)
	}
}

// mayOffer reports to whom the stream of a silent server may be given. It may run beside the goroutine of the call.
func (c *call) mayOffer() offering {
	switch {
	case c.quarantined():
		return offeringNone
	case c.relay.detours.Lost():
		return offeringProcess
	default:
		return offeringServer
	}
}

// logDeclined logs that a silent server keeps its stream.
func (c *call) logDeclined(silent *dispatch.Send, r *resumption, withdrawn bool) {
	status := 0
	if r.err == nil {
		status = r.answer.Status
	}

	c.relay.logger.Info("a silent backend server keeps its stream", "event", 395, "attempt", c.metadata.Attempt,
		"server", silent.Backend.ID, "offeredTo", r.send.Backend.ID, "withdrawn", withdrawn, "status", status)
}

// countOffers adds the servers to which the stream was offered in an attempt to those that the call was sent to.
func (c *call) countOffers(silence *silenceTimer) {
	offers, runs := silence.takeOffers()
	for _, send := range offers {
		c.recordTry(send)
	}

	c.sends += runs
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

	t.holdLocked()

	round := t.round
	t.running = true
	t.timer = time.AfterFunc(timeout, func() { t.expire(round) })
}

// holdLocked stops the timer and withdraws the stream from a server to which it is offered. The caller holds t.mu.
func (t *silenceTimer) holdLocked() {
	t.round++
	t.running = false

	if t.timer != nil {
		t.timer.Stop()
	}

	if t.offered != nil {
		t.withdrawLocked(t.offered)
		t.offered = nil
	}
}

// withdrawLocked ends the resumption of a replacement. The caller holds t.mu.
func (t *silenceTimer) withdrawLocked(unused *replacement) {
	unused.resumption.cancel()

	if unused.settled {
		t.discard(unused.resumption, true)
	} else {
		unused.withdrawn = true
	}
}

// expire cancels the attempt if another server can take the call, and else tries again after a while.
func (t *silenceTimer) expire(round int) {
	t.mu.Lock()
	current, begun, sent, spare := t.round == round, t.begun, t.sent, t.spare > t.runs
	t.mu.Unlock()

	if !current || !spare {
		return
	}

	to := offeringServer
	if t.gap > 0 {
		to = t.mayOffer()
	}

	var next *replacement
	if to != offeringNone {
		next = t.replace(begun)
	}

	var request func()

	t.mu.Lock()

	switch {
	case t.round != round:
		// The server has sent something meanwhile, or the attempt has ended.
		if next != nil {
			t.release(next)
		}
	case next == nil:
		t.startLocked(replacementInterval)
	case t.gap > 0 && to == offeringServer && next.send.Backend.ID != t.server:
		next.resumption, request = t.offer(next, sent)
		t.offered = next
		t.offers = append(t.offers, next.send)
		t.runs++
	default:
		t.next, t.expired = next, true
		t.cancel()
	}

	t.mu.Unlock()

	if request != nil {
		t.await(next, request)
	}
}

// await sends the offer of a stream. The stream is handed over once the other server accepts it, or after handoverTimeout.
func (t *silenceTimer) await(next *replacement, request func()) {
	handover := time.AfterFunc(handoverTimeout, func() {
		t.mu.Lock()
		defer t.mu.Unlock()

		t.handOverLocked(next)
	})
	defer handover.Stop()

	request()

	t.mu.Lock()
	defer t.mu.Unlock()

	next.settled = true

	switch {
	case next.withdrawn:
		t.discard(next.resumption, true)
	case t.offered != next:
		// The stream was handed over before.
	case next.resumption.accepted():
		t.handOverLocked(next)
	default:
		t.offered = nil

		if !next.resumption.mayHaveRun() {
			t.runs--
		}

		t.discard(next.resumption, false)
		t.startLocked(replacementInterval)
	}
}

// handOverLocked ends the attempt in favor of a server to which its stream is offered. The caller holds t.mu.
func (t *silenceTimer) handOverLocked(to *replacement) {
	if t.offered != to {
		return
	}

	t.offered = nil
	// Whoever takes the replacement counts its run.
	t.runs--
	t.next, t.expired, t.handedOver = to, true, true
	t.cancel()
}

// deliver calls a function that takes in a part of the answer, and stops the timer if that returns true. It does nothing and returns false
// once a stream that has begun was given to another server.
func (t *silenceTimer) deliver(take func() (hold bool)) bool {
	t.mu.Lock()
	defer t.mu.Unlock()

	if t.expired && (t.begun || t.handedOver) {
		return false
	}

	if take() {
		t.holdLocked()
	}

	return true
}

// begin withdraws the offers of a stream whose server has sent the first event. It returns false if another server has the stream.
func (t *silenceTimer) begin() bool {
	t.mu.Lock()
	defer t.mu.Unlock()

	if t.offered != nil {
		t.startLocked(t.gap)
	}

	return !t.handedOver
}

// restart starts the timer of a stream anew after an event with the given identifier.
func (t *silenceTimer) restart(last string) {
	t.mu.Lock()
	defer t.mu.Unlock()

	if t.gap > 0 {
		t.begun, t.sent = true, apricotway.SendMetadata{Urgency: 0, LastEvent: last}
		t.startLocked(t.gap)
	}
}

// suspend stops the timer. The function that it returns starts the timer anew if it ran.
func (t *silenceTimer) suspend() (restart func()) {
	t.mu.Lock()
	defer t.mu.Unlock()

	running := t.running
	t.holdLocked()

	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()

		if running {
			t.startLocked(t.gap)
		}
	}
}

// hold stops the timer until restart is called.
func (t *silenceTimer) hold() {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.holdLocked()
}

// stop stops the timer for good and ends a replacement that nobody has taken.
func (t *silenceTimer) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.holdLocked()
	t.stopped = true

	switch {
	case t.next == nil:
	case t.next.resumption != nil:
		t.withdrawLocked(t.next)
	default:
		t.release(t.next)
	}

	t.next = nil
}

// fired reports whether the timer cancelled the attempt.
func (t *silenceTimer) fired() bool {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.expired
}

// takeReplacement returns the place of the call at another server if the timer cancelled the attempt or the stream is offered to that
// server, else nil. The caller has to send the call there, to take the stream over or to release the replacement.
func (t *silenceTimer) takeReplacement() *replacement {
	t.mu.Lock()
	defer t.mu.Unlock()

	if t.offered != nil {
		t.handOverLocked(t.offered)
	}

	next := t.next
	t.next = nil

	return next
}

// takeOffers returns the sends of the offers since it was called last, and the number of those that may have run and were not taken.
func (t *silenceTimer) takeOffers() (offers []*dispatch.Send, runs int) {
	t.mu.Lock()
	defer t.mu.Unlock()

	offers, runs = t.offers, t.runs
	t.offers = nil
	t.spare -= runs
	t.runs = 0

	return offers, runs
}
