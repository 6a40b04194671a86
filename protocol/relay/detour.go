package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/dispatch"
	"github.com/apricotway/apricotway/state/origin"
)

const (
	// headerDetour marks a call that another process passes on. It is never passed on again, so there are no loops. Whoever sets it only
	// gives that up. In an answer it names the server that answered, or is detourLost.
	headerDetour = "Apricotway-Detour"
	// detourLost is the answer of a process that has lost its own paths to the servers. The call has not run. No server has such a name, as
	// identifiers hold no spaces.
	detourLost = "paths lost"
	// maxDetours bounds the processes to which one call is passed on.
	maxDetours = 3
	// retryAfterLost is the Retry-After of calls while neither this process nor another one that it knows reaches the servers.
	retryAfterLost = time.Second
)

// acceptDetour takes a call that another process passes on, and returns the refusal of one that this process can't send either.
func (c *call) acceptDetour() *refusal {
	c.detoured = c.request.Header.Get(headerDetour) != ""
	c.request.Header.Del(headerDetour)

	if !c.detoured || !c.relay.detours.Lost() {
		return nil
	}

	c.writer.Header().Set(headerDetour, detourLost)

	return &refusal{
		status: http.StatusServiceUnavailable, reason: reasonLost, retryAfter: retryAfterLost, message: "no backend server can be reached from here",
	}
}

// detour passes the call on to another process while this one has lost its paths to the servers. It returns false if the call has no answer
// yet. The other process does with the call what it does with one of its own callers: it charges the limit, counts the usage and the sends,
// and retries.
func (c *call) detour(ctx context.Context) bool {
	now := c.relay.now()
	if c.detoured || !c.relay.detours.Lost() || ctx.Err() != nil || c.deadline.Sub(now) < minRemaining || c.outlastsStop(now) {
		return false
	}

	refund := c.charged
	c.refund()

	// Each process that turns the call away takes time from it.
	for len(c.helpers) < maxDetours && !c.outlastsStop(c.relay.now()) {
		send, answer, err := c.sendDetour(ctx, c.metadata.LastEvent)
		if errors.Is(err, errNoHelper) {
			break
		}

		if done := c.passDetour(ctx, send, answer, err); done {
			return true
		}
	}

	if refund {
		if refused := c.chargeLimit(ctx); refused != nil {
			c.refuseNotRun(refused)
			return true
		}
	}

	return false
}

// errNoHelper reports that no other process is known to reach the servers.
var errNoHelper = errors.New("no other process reaches the backend servers")

// errHelperLost reports a process that has lost its own paths.
var errHelperLost = errors.New("the other process has lost its paths")

// sendDetour sends the call to another process, as a stream that continues after the given event if that is not empty.
func (c *call) sendDetour(ctx context.Context, last string) (*dispatch.Send, *apricotway.ForwardedAnswer, error) {
	helper, ok := c.relay.detours.Next(c.helpers)
	if !ok {
		return nil, nil, errNoHelper
	}

	c.helpers = append(c.helpers, helper.Node)
	now := c.relay.now()
	header := c.relay.dialect.DetourHeader(c.request.Header, c.deadline.Sub(now))
	header.Set(headerDetour, "1")

	if last != c.metadata.LastEvent {
		c.relay.dialect.WriteTakeUp(header, last, c.stream())
	}

	send := c.relay.pool.NewDetour(now, helper.Callers)
	c.relay.metrics.CallRetried(c.service, reasonDetour)
	c.progress.sent(apricotway.BackendServerID(helper.Node), now)

	answer, err := c.relay.processes.Send(ctx, helper.Callers, apricotway.ForwardedCall{
		Method: c.request.Method, Target: c.request.RequestURI, Host: c.request.Host, Header: header, Body: c.body,
	})
	if err == nil && answer.Header.Get(headerDetour) == detourLost {
		_ = answer.Body.Close() // A short refusal.
		err = errors.Wrap(apricotway.ErrNotSent, errHelperLost.Error())
	}

	if err != nil {
		c.relay.detours.Failed(helper.Node)
		c.relay.logger.Info("another process could not pass a call on", "event", 383, "attempt", c.metadata.Attempt, "member", helper.Node,
			"error", err.Error())

		return send, nil, err
	}

	c.readDetour(send, answer)

	return send, answer, nil
}

// readDetour reads from an answer which server gave it, and what that says of itself.
func (c *call) readDetour(send *dispatch.Send, answer *apricotway.ForwardedAnswer) {
	send.SetServer(apricotway.BackendServerID(answer.Header.Get(headerDetour)))

	if send.Backend.Service != "" {
		c.service = send.Backend.Service
	}

	// A pause that a server names holds for the process that got it.
	stated := c.relay.dialect.ReadAnswer(answer.Status, answer.Header)
	c.recordStatements(send, apricotway.AnswerMetadata{Leaving: stated.Leaving}, false)
}

// passDetour passes the answer of another process on. It returns false if the call may be sent once more.
func (c *call) passDetour(
	ctx context.Context, send *dispatch.Send, answer *apricotway.ForwardedAnswer, err error,
) (done bool) {
	c.steps = append(c.steps, reasonDetour)

	switch {
	case err == nil:
	case errors.Is(err, apricotway.ErrNotSent):
		return false
	default:
		c.sends++
		return c.failDetour(ctx)
	}
	defer answer.Body.Close()

	c.sends++
	// The other process counts the usage.
	c.usageCounted, c.beganAt = true, c.relay.now()
	c.progress.began(c.beganAt)

	form := c.formOf(answer.Status)

	// The other process has not sent the call if it answers itself.
	if answer.Header.Get(headerDetour) == "" && form == formWithheld {
		form = formBuffered
	}

	switch form {
	case formWithheld:
		c.form = formWithheld
		c.fail(ctx, attemptResult{step: stepFail, reason: reasonServerError, arrived: true, mayHaveRun: true})

		return true
	case formStream:
		silence := &silenceTimer{cancel: func() {}}

		result := c.passAnswerStream(ctx, send, answer, apricotway.AnswerMetadata{}, silence)

		return result.step == stepAnswered || c.failDetour(ctx)
	case formBuffered, formPassedThrough:
	}

	content, complete, err := c.buffer.Read(answer.Body)

	switch {
	case err != nil:
		return c.failDetour(ctx)
	case !complete:
		return c.passLong(ctx, send, answer, content).step == stepAnswered
	default:
		c.writeWhole(answer, content)
		return true
	}
}

// failDetour ends a call that another process may have run without an answer, unless it may be sent again.
func (c *call) failDetour(ctx context.Context) (done bool) {
	if ctx.Err() == nil && c.route.Repeatable() && c.sends < c.route.MaxAttempts {
		return false
	}

	c.fail(ctx, attemptResult{step: stepFail, reason: reasonBroken, arrived: true, mayHaveRun: true})

	return true
}

// continueDetour continues a stream after the given event through another process, if this one has lost its paths. It returns nil if that
// is not possible.
func (c *call) continueDetour(ctx context.Context, last string) *engineRun {
	if c.detoured || !c.relay.detours.Lost() || last == "" || c.sends >= c.route.MaxAttempts {
		return nil
	}

	for len(c.helpers) < maxDetours {
		attempt, cancel := context.WithCancel(ctx)

		send, answer, err := c.sendDetour(attempt, last)
		if err != nil {
			cancel()

			if errors.Is(err, errNoHelper) {
				return nil
			}

			continue
		}

		if answer.Status != http.StatusOK || !isEventStream(answer.Header) {
			_ = answer.Body.Close() // The other process refused to continue.

			cancel()

			return nil
		}

		c.sends++
		c.relay.metrics.CallRetried(c.service, reasonResumed)

		return &engineRun{
			send: send, body: answer.Body, silence: &silenceTimer{cancel: func() {}}, closeDelimited: answer.CloseDelimited, resumed: true,
			noMove: true, detour: true, end: func() {
				_ = answer.Body.Close() // The rest of the stream is not needed.

				cancel()
			},
		}
	}

	return nil
}

// maxSettleTime bounds the time for which the first event of a stream is held. Operators count a stream as late from about a tenth of a second on.
const maxSettleTime = 80 * time.Millisecond

// beginStream records the server that began the stream of the call, and holds the first event until other processes can learn it: a caller that has
// the event may take the stream up elsewhere at once.
func (c *call) beginStream(ctx context.Context, now time.Time, send *dispatch.Send) {
	if send.Backend.ID == "" {
		c.origin = origin.Unknown()
		return
	}

	c.origin = c.beginningAt(now, send)
	if !c.route.Resumable || c.relay.origins.Began(now, c.stream(), send.Backend) != origin.SharingPending {
		return
	}

	ctx, cancel := context.WithTimeout(ctx, maxSettleTime)
	defer cancel()

	c.relay.origins.Settle(ctx, c.stream())
}

// beginningAt returns the origin of a stream that has begun at a server. Its version is not known if the server may have started again since
// its entry was read.
func (c *call) beginningAt(now time.Time, send *dispatch.Send) origin.Origin {
	if !c.relay.pool.Origins().Certain(now, send.Backend.Address) {
		return origin.Unknown()
	}

	return origin.At(send.Backend.Lineage())
}

// mayContinueAt reports whether the server of a send may generate the rest of the stream.
func (c *call) mayContinueAt(send *dispatch.Send) bool {
	return c.origin.Allows(send.Backend.Lineage()) && c.relay.pool.Origins().Certain(c.relay.now(), send.Backend.Address)
}
