package relay

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/dispatch"
)

const (
	// drainBytes and drainTimeout bound how much of a rejection's body is read so that its connection can be reused.
	drainBytes   = 4 << 10
	drainTimeout = 20 * time.Millisecond
	// copyBufferBytes is the size of one read of a stream.
	copyBufferBytes = 8 << 10
	// safeTimeoutFactor times the route's objective is the time after which an unanswered safe call goes to another server.
	safeTimeoutFactor = 0.6
	// expectedTimeoutFactor times the expected wait for the answer's beginning is a lower bound of the first timeout of an
	// attempt.
	expectedTimeoutFactor = 3
	// minTimeout is a lower bound of the first timeout of an attempt.
	minTimeout = 40 * time.Millisecond
)

// step is what to do with the call after an attempt.
type step string

const (
	stepAnswered step = "answered"
	stepRetry    step = "repeat"
	stepFail     step = "fail"
)

// answerForm is how the answer of a server reaches the caller.
type answerForm string

const (
	// formBuffered is that of an answer that is passed on once it is complete.
	formBuffered answerForm = "buffered"
	// formPassedThrough is that of an answer that is too long to be buffered.
	formPassedThrough answerForm = "passedThrough"
	formStream        answerForm = "stream"
	// formWithheld is that of an answer whose status would tell the caller that the call did not run, although it may have.
	formWithheld answerForm = "withheld"
)

// attemptResult is the result of one attempt.
type attemptResult struct {
	step   step
	reason string
	// arrived is set when the call may have reached a server, mayHaveRun when it may have run there.
	arrived, mayHaveRun bool
	// declined is set when an answer that can't be passed on says that the server did not run the call.
	declined bool
	// next is the place of the call at another server because that of the attempt was silent; nil otherwise. The call has to be sent there
	// unless next is released.
	next *replacement
}

var answered = attemptResult{step: stepAnswered}

// sentCall is a call that was sent to a server.
type sentCall struct {
	at       time.Time
	answer   *apricotway.ForwardedAnswer
	metadata apricotway.AnswerMetadata
	err      error
	// cancel ends the attempt.
	cancel context.CancelFunc
}

// attempt sends the call to one server.
func (c *call) attempt(ctx context.Context, send *dispatch.Send) attemptResult {
	now := c.relay.now()

	attempt, cancel := context.WithCancel(ctx)
	defer cancel()

	metadata := apricotway.SendMetadata{Urgency: c.urgency()}
	silence := c.startSilenceTimer(ctx, send, metadata, cancel)

	defer silence.stop()

	c.recordTry(send)

	answer, stated, err := c.sendTo(attempt, send, metadata)

	return c.finishAttempt(ctx, send, sentCall{at: now, answer: answer, metadata: stated, err: err, cancel: cancel}, silence)
}

// attemptNext sends the call to a server, unless it was offered to that one as a replacement.
func (c *call) attemptNext(ctx context.Context, send *dispatch.Send, next *replacement) attemptResult {
	if next != nil && next.resumption != nil {
		return c.attemptOffered(ctx, next.resumption)
	}

	return c.attempt(ctx, send)
}

// finishAttempt passes the answer of a server on, or returns what to do with the call instead.
func (c *call) finishAttempt(ctx context.Context, send *dispatch.Send, sent sentCall, silence *silenceTimer) attemptResult {
	c.recordShare(send, sent)

	result := c.passAnswer(ctx, send, sent, silence)

	// A server to which the call is offered may have begun it.
	if result.step == stepRetry && result.next == nil {
		result.next = silence.takeReplacement()
	}

	c.countOffers(silence)

	return result
}

// passAnswer passes on the answer of a server.
func (c *call) passAnswer(ctx context.Context, send *dispatch.Send, sent sentCall, silence *silenceTimer) attemptResult {
	if sent.err != nil {
		return c.sendFailed(ctx, send, sent.at, sent.err, silence)
	}

	answer, metadata := sent.answer, sent.metadata
	defer answer.Body.Close()

	switch {
	case answer.Status == http.StatusMisdirectedRequest:
		send.End(c.relay.now(), dispatch.OutcomeMisdirected)
		return attemptResult{step: stepRetry, reason: reasonMisdirected, arrived: true}
	case metadata.NotRun:
		send.RecordLoad(c.relay.now(), metadata.Load)
		send.End(c.relay.now(), dispatch.OutcomeFull)

		if metadata.Brittle.Statement == apricotway.BrittleStated {
			c.turnedAway = append(c.turnedAway, send.Backend.ID)
		}

		// A failed read only means that the connection isn't reused.
		_ = drain(answer.Body, sent.cancel)

		return attemptResult{step: stepRetry, reason: reasonRejected, arrived: true}
	}

	c.sends++

	switch c.formOf(answer.Status) {
	case formWithheld:
		return c.withhold(ctx, send, sent)
	case formStream:
		return c.passAnswerStream(ctx, send, answer, metadata, silence)
	case formBuffered, formPassedThrough:
	}

	return c.passWhole(ctx, send, answer, metadata, sent.at, silence)
}

// formOf returns how the answer of a server, which this process or another one got, reaches the caller. It decides for all of them before
// anything of the body is read. Whether an answer that is not a stream is buffered depends on its length.
func (c *call) formOf(status int) answerForm {
	switch {
	case !c.route.Repeatable() && promisesNotRun(status):
		return formWithheld
	case c.route.Kind == apricotway.RouteStream && status == http.StatusOK:
		return formStream
	default:
		return formBuffered
	}
}

// promisesNotRun reports whether callers take the status to mean that their call did not run and may be sent again.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// withhold ends a call whose server has not said that it did not run the call, and gave it a status that says so to callers.
func (c *call) withhold(ctx context.Context, send *dispatch.Send, sent sentCall) attemptResult {
	c.form = formWithheld
	c.countUsage(sent.at)

	if err := drain(sent.answer.Body, sent.cancel); err != nil && ctx.Err() == nil {
		c.reportCut(send, false, err)
	}

	now := c.relay.now()
	send.RecordLoad(now, sent.metadata.Load)
	send.End(now, dispatch.OutcomeFailed)

	return attemptResult{step: stepFail, reason: reasonServerError, arrived: true, mayHaveRun: true}
}

// drain reads a short body, so that its connection can be used again, and returns the error of a connection that broke. A body that does not
// end ends the attempt.
func drain(body io.Reader, cancel context.CancelFunc) error {
	timer := time.AfterFunc(drainTimeout, cancel)

	_, err := io.CopyN(io.Discard, body, drainBytes)
	if inTime := timer.Stop(); !inTime || errors.Is(err, io.EOF) {
		return nil
	}

	return err
}

// recordTry adds a server to those that were tried.
func (c *call) recordTry(send *dispatch.Send) {
	c.tried = append(c.tried, send.Backend.ID)
	c.versions = append(c.versions, send.Backend.Version)
}

// forwardedCall returns the call as it is sent to a server.
func (c *call) forwardedCall(header http.Header) apricotway.ForwardedCall {
	return apricotway.ForwardedCall{
		Method: c.request.Method, Target: c.request.RequestURI, Host: c.request.Host, Header: header, Body: c.body,
		Attempt: c.metadata.Attempt,
		// An answer without an attempt identifier may be a late answer to an earlier call on the connection, even when it says
		// that the call was not run.
		IsAnswer: func(status int, header http.Header) bool {
			return c.relay.dialect.ReadAnswer(status, header).Attempt == c.metadata.Attempt
		},
	}
}

// urgency returns the call's place in the engine's queue: shorter prompts first, since each of them delays the others least, and by
// rank among prompts of the same size class. It is -1, for none, when the caller stated no token counts.
func (c *call) urgency() int {
	if !c.metadata.HasTokens {
		return -1
	}

	const ranks = 2

	return ranks*dispatch.SizeOf(c.metadata.PromptTokens) + min(max(c.rank(), 0), ranks-1) + 1
}

// rank returns the priority of the call; 0 is the most urgent.
func (c *call) rank() int {
	if c.workspace != nil && c.workspace.Rank != nil {
		return *c.workspace.Rank
	}

	return c.route.Rank
}

// sendFailed returns the result of a send that ended without an answer.
func (c *call) sendFailed(
	ctx context.Context, send *dispatch.Send, sent time.Time, err error, silence *silenceTimer,
) attemptResult {
	now := c.relay.now()

	if errors.Is(err, apricotway.ErrNotSent) {
		c.relay.logger.Info("failed to connect to a backend server", "event", 380, "attempt", c.metadata.Attempt, "server", send.Backend.ID,
			"service", c.service, "zone", send.Backend.Zone, "took", now.Sub(sent), "error", err.Error())
		send.End(now, dispatch.OutcomeUnreachable)

		return attemptResult{step: stepRetry, reason: reasonUnreachable}
	}

	notRun := c.declined(err)
	if !notRun {
		c.sends++
		c.countUsage(now)
	}

	if ctx.Err() != nil {
		send.End(now, dispatch.OutcomeLeft)
		return attemptResult{step: stepFail, reason: reasonEnded, arrived: true, mayHaveRun: true}
	}

	send.End(now, dispatch.OutcomeFailed)

	if silence.fired() {
		return c.silent(silence)
	}

	c.reportFailed(send, false, err)

	reason := reasonBroken
	if isMalformed(err) {
		reason = reasonMalformed
	}

	return attemptResult{step: stepRetry, reason: reason, arrived: true, mayHaveRun: !notRun, declined: notRun}
}

// isMalformed reports whether the error of a send is a malformed answer.
func isMalformed(err error) bool {
	var fault *apricotway.AnswerError

	return errors.As(err, &fault) && fault.Fault == apricotway.FaultMalformed
}

// declined reports whether the server of a send that has failed says that it did not run the call.
func (c *call) declined(err error) bool {
	var fault *apricotway.AnswerError

	return errors.As(err, &fault) && fault.Header != nil && c.relay.dialect.ReadAnswer(0, fault.Header).NotRun
}

// silent returns the result of an attempt that its timer has cancelled.
func (c *call) silent(silence *silenceTimer) attemptResult {
	c.relay.detours.Silent(c.relay.now())

	return attemptResult{step: stepRetry, reason: reasonSilent, arrived: true, mayHaveRun: true, next: silence.takeReplacement()}
}

// passWhole reads an answer to its end before it passes it on, so that a truncated answer never reaches the caller.
func (c *call) passWhole(
	ctx context.Context, send *dispatch.Send, answer *apricotway.ForwardedAnswer, metadata apricotway.AnswerMetadata,
	sent time.Time, silence *silenceTimer,
) attemptResult {
	content, complete, err := c.buffer.Read(answer.Body)
	now := c.relay.now()
	c.countUsage(sent)
	silence.hold()

	if err == nil && !complete && silence.fired() {
		send.End(now, dispatch.OutcomeFailed)
		return c.silent(silence)
	}

	if err == nil && !complete {
		send.RecordFirstEvent(now, metadata.Load)
		return c.passLong(ctx, send, answer, content)
	}

	switch {
	case err != nil && ctx.Err() != nil:
		send.End(now, dispatch.OutcomeLeft)
		return attemptResult{step: stepFail, reason: reasonEnded, arrived: true, mayHaveRun: true}
	case err != nil && silence.fired():
		send.End(now, dispatch.OutcomeFailed)
		return c.silent(silence)
	case err != nil:
		send.End(now, dispatch.OutcomeFailed)
		c.reportCut(send, false, err)

		return attemptResult{step: stepRetry, reason: reasonCut, arrived: true, mayHaveRun: true}
	case answer.Status >= http.StatusInternalServerError:
		send.RecordLoad(now, metadata.Load)
		send.End(now, dispatch.OutcomeFailed)

		if c.route.Repeatable() && c.sends < c.route.MaxAttempts {
			if result := (attemptResult{
				step: stepRetry, reason: reasonServerError, arrived: true, mayHaveRun: true,
			}); c.mayRetry(ctx, result) {
				return c.retryServerError(ctx, result, answer, content)
			}
		}
	default:
		send.RecordFirstEvent(now, metadata.Load)
		send.End(now, dispatch.OutcomeDone)

		// The connection may have ended because the server crashed.
		if !answer.CloseDelimited {
			c.reportAnswered()
		}
	}

	c.writeWhole(answer, content)

	return answered
}

// passLong passes on an answer that is too long to be buffered. When the server breaks off, the caller's connection is closed.
func (c *call) passLong(
	ctx context.Context, send *dispatch.Send, answer *apricotway.ForwardedAnswer, content []byte,
) attemptResult {
	c.writeHeader(answer, answer.Length, formPassedThrough)
	c.progress.enter(stageCaller, c.relay.now())

	_, err := c.writer.Write(content)
	body := &errorRecorder{reader: answer.Body}

	if err == nil {
		_, err = io.Copy(c.writer, body)
	}

	switch {
	case body.err != nil && ctx.Err() == nil:
		return c.abortAnswer(ctx, send, reasonCut, dispatch.OutcomeFailed)
	case err != nil:
		return c.abortAnswer(ctx, send, reasonCut, dispatch.OutcomeLeft)
	}

	send.End(c.relay.now(), dispatch.OutcomeDone)

	if !answer.CloseDelimited {
		c.reportAnswered()
	}

	c.recordEnd(resultAnswered, answer.Status)

	return answered
}

// errorRecorder records the read error of its reader, since io.Copy doesn't tell a read error from a write error.
type errorRecorder struct {
	reader io.Reader
	err    error
}

// Read implements io.Reader.
func (r *errorRecorder) Read(buffer []byte) (int, error) {
	n, err := r.reader.Read(buffer)
	if err != nil && !errors.Is(err, io.EOF) {
		r.err = err
	}

	return n, err
}

// retryServerError sends a call again whose server answered with an error. The caller gets that answer when no other server
// can take the call.
func (c *call) retryServerError(
	ctx context.Context, reason attemptResult, answer *apricotway.ForwardedAnswer, content []byte,
) attemptResult {
	c.relay.metrics.CallRetried(c.service, reason.reason)

	send, refused := c.chooseServer(ctx)
	if refused != nil {
		c.writeWhole(answer, content)
		return answered
	}

	result := c.attempt(ctx, send)
	for result.next != nil {
		result = c.attemptNext(ctx, result.next.send, result.next)
	}

	if result.step == stepAnswered || ctx.Err() != nil {
		return result
	}

	c.writeWhole(answer, content)

	return answered
}

func (c *call) writeWhole(answer *apricotway.ForwardedAnswer, content []byte) {
	c.writeHeader(answer, int64(len(content)), formBuffered)
	c.progress.enter(stageCaller, c.relay.now())
	// A write fails only when the caller has left.
	_, _ = c.writer.Write(content)

	c.recordEnd(resultAnswered, answer.Status)
}

// writeHeader passes on the header of an answer. A negative length means that the length is unknown.
func (c *call) writeHeader(answer *apricotway.ForwardedAnswer, length int64, form answerForm) {
	c.closeIfStopping()

	c.form, c.status = form, answer.Status

	header := c.writer.Header()
	closing := header.Get("Connection")

	for name, values := range c.relay.dialect.AnswerHeader(answer.Header) {
		header[name] = values
	}

	header.Del(headerDetour)

	if c.detoured && len(c.tried) > 0 {
		header.Set(headerDetour, string(c.tried[len(c.tried)-1]))
	}

	// net/http would add these to an answer that has none; a nil value prevents that.
	for _, name := range []string{"Date", "Content-Type"} {
		if _, ok := header[name]; !ok {
			header[name] = nil
		}
	}

	if closing != "" {
		header.Set("Connection", closing)
	}

	if length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	}

	c.beginAnswer()
	c.writer.WriteHeader(answer.Status)
}
