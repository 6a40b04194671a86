package relay

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/dispatch"
)

// handoverTimeout bounds the time for which a silent server and the one that is asked to continue its stream may both work on it.
const handoverTimeout = 250 * time.Millisecond

// resumption is the request to a server to continue a stream, or to begin one that is offered to it. Every resumption is finished by
// finishResume, attemptOffered or endDeclined.
type resumption struct {
	send *dispatch.Send
	// sent is what the server is told. Its last event is empty if the stream has not begun, and its memory is the KV cache of the run that
	// the server continues, nil if the server has to read the prompt.
	sent apricotway.SendMetadata
	// cancel ends the request.
	cancel context.CancelFunc
	// done is closed once the server has answered or failed. The fields below are set before that.
	done     chan struct{}
	answer   *apricotway.ForwardedAnswer
	metadata apricotway.AnswerMetadata
	err      error
	// offered is set when the silent server of the stream keeps it meanwhile. The first event is then part of the answer: without one the
	// silent server may have sent the last. first and firstErr are the result of reading it.
	offered  bool
	first    []byte
	firstErr error
}

// newResumption returns a resumption and the context of its request.
func newResumption(ctx context.Context, send *dispatch.Send, sent apricotway.SendMetadata) (context.Context, *resumption) {
	attempt, cancel := context.WithCancel(ctx)

	return attempt, &resumption{send: send, sent: sent, cancel: cancel, done: make(chan struct{})}
}

// accepted reports whether the server continues the stream. An error may come with status 200 and another content type.
func (r *resumption) accepted() bool {
	return r.continued() && (!r.offered || completeSize(r.first) > 0)
}

// continued reports whether the answer is a stream.
func (r *resumption) continued() bool {
	return r.err == nil && r.answer.Status == http.StatusOK && isEventStream(r.answer.Header)
}

// mayHaveRun reports whether the server may have begun to work on the stream.
func (r *resumption) mayHaveRun() bool {
	return r.err == nil && !r.metadata.NotRun || r.err != nil && !errors.Is(r.err, apricotway.ErrNotSent)
}

// requestResume asks the server to continue and waits for its answer. It may run beside the goroutine of the call.
func (c *call) requestResume(ctx context.Context, r *resumption) {
	defer close(r.done)

	r.answer, r.metadata, r.err = c.sendTo(ctx, r.send, r.sent)

	if r.offered && r.continued() {
		r.first, r.firstErr = readFirstEvent(r.answer.Body, make([]byte, copyBufferBytes))
	}
}

// sendResume asks an engine to continue after the given event, from the KV cache of a stopped run if memory is set. It returns a nil run
// when the engine doesn't, and whether it may have begun to.
func (c *call) sendResume(
	ctx context.Context, send *dispatch.Send, last string, memory *apricotway.RunKVCache,
) (run *engineRun, mayHaveRun bool) {
	attempt, r := newResumption(ctx, send, apricotway.SendMetadata{Urgency: 0, LastEvent: last, Memory: memory})
	silence := c.startSilenceTimer(ctx, send, apricotway.SendMetadata{Urgency: 0, LastEvent: last}, r.cancel)

	c.recordTry(send)
	c.requestResume(attempt, r)

	return c.finishResume(ctx, r, silence), r.mayHaveRun()
}

// takeOver continues the stream of a silent server at the one that was asked to. It returns nil when that one doesn't.
func (c *call) takeOver(ctx context.Context, r *resumption) *engineRun {
	silence := c.startSilenceTimer(ctx, r.send, r.sent, r.cancel)

	<-r.done

	return c.finishResume(ctx, r, silence)
}

// attemptOffered begins the stream of a silent server at the one to which it was offered.
func (c *call) attemptOffered(ctx context.Context, r *resumption) attemptResult {
	defer r.cancel()

	now := c.relay.now()
	silence := c.startSilenceTimer(ctx, r.send, r.sent, r.cancel)

	defer silence.stop()

	<-r.done

	if r.continued() {
		r.answer.Body = &readBody{ReadCloser: r.answer.Body, content: r.first, err: r.firstErr}
	}

	return c.finishAttempt(ctx, r.send, sentCall{at: now, answer: r.answer, metadata: r.metadata, err: r.err, cancel: r.cancel}, silence)
}

// readBody is a body of which a part was read before.
type readBody struct {
	io.ReadCloser

	content []byte
	err     error
}

// Read implements io.Reader.
func (b *readBody) Read(buffer []byte) (int, error) {
	if len(b.content) > 0 {
		n := copy(buffer, b.content)
		b.content = b.content[n:]

		return n, nil
	}

	if b.err != nil {
		return 0, b.err
	}

	return b.ReadCloser.Read(buffer)
}

// finishResume returns the run of a server that continues the stream, nil if it doesn't.
func (c *call) finishResume(ctx context.Context, r *resumption, silence *silenceTimer) *engineRun {
	// A run that continues from its memory counts as the same run.
	if r.sent.Memory == nil && r.mayHaveRun() {
		c.sends++
	}

	if r.accepted() {
		r.send.RecordFirstEvent(c.relay.now(), r.metadata.Load)

		return &engineRun{
			send: r.send, body: r.answer.Body, silence: silence, closeDelimited: r.answer.CloseDelimited, resumed: true,
			first: r.first, firstErr: r.firstErr, end: func() {
				silence.stop()
				_ = r.answer.Body.Close() // The rest of the stream is not needed.
				r.cancel()
			},
		}
	}

	givenUp := dispatch.Outcome("")
	if silence.fired() {
		givenUp = dispatch.OutcomeFailed
	}

	c.endDeclined(ctx, r, givenUp)

	next := silence.takeReplacement()
	c.countOffers(silence)
	silence.stop()

	switch {
	case next == nil:
		return nil
	case next.resumption == nil:
		c.relay.release(c.service, next)
		return nil
	default:
		return c.takeOver(ctx, next.resumption)
	}
}

// endDeclined ends a resumption that is not used. givenUp is the outcome if the relay gave it up and the server did not refuse it, else
// empty. It may run beside the goroutine of the call.
func (c *call) endDeclined(ctx context.Context, r *resumption, givenUp dispatch.Outcome) {
	if r.err == nil {
		_ = r.answer.Body.Close() // What the server answers instead is not needed.
	}

	r.cancel()

	outcome := dispatch.OutcomeFailed

	switch {
	case ctx.Err() != nil:
		outcome = dispatch.OutcomeLeft
	case r.err == nil && r.answer.Status == http.StatusMisdirectedRequest:
		outcome = dispatch.OutcomeMisdirected
	case r.err == nil && r.metadata.NotRun:
		r.send.RecordLoad(c.relay.now(), r.metadata.Load)

		outcome = dispatch.OutcomeFull
	case givenUp != "":
		outcome = givenUp
	case errors.Is(r.firstErr, io.EOF) && len(r.first) == 0:
		outcome = dispatch.OutcomeDone
	case r.firstErr != nil:
		c.reportCut(r.send, c.acquitted.Load(), r.firstErr)
	case r.err != nil && !errors.Is(r.err, apricotway.ErrNotSent):
		c.reportFailed(r.send, c.acquitted.Load(), r.err)
	}

	r.send.End(c.relay.now(), outcome)
}
