package relay

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/dispatch"
)

// events cuts the bytes of a resumable stream into whole events, so that another engine can go on behind the last one.
type events struct {
	pending []byte
	// last is the identifier of the last whole event.
	last string
}

var (
	eventEnd = []byte("\n\n")
	eventID  = []byte("id:")
)

// add takes bytes and returns those that end with a whole event.
func (e *events) add(chunk []byte) []byte {
	e.pending = append(e.pending, chunk...)

	end := bytes.LastIndex(e.pending, eventEnd)
	if end < 0 {
		return nil
	}

	whole := e.pending[: end+len(eventEnd) : end+len(eventEnd)]
	e.pending = append([]byte(nil), e.pending[end+len(eventEnd):]...)

	for line := range bytes.Lines(whole) {
		if id, ok := bytes.CutPrefix(line, eventID); ok {
			e.last = string(bytes.TrimSpace(id))
		}
	}

	return whole
}

// stream passes a stream on as it arrives.
func (c *call) stream(
	ctx context.Context, send *dispatch.Send, answer *apricotway.ForwardedAnswer, metadata apricotway.AnswerMetadata,
	watch *watch,
) next {
	buffer := make([]byte, copyBuffer)

	// The header waits for the first bytes: until then another engine may answer.
	n, err := answer.Body.Read(buffer)
	now := c.relay.now()
	c.began(now)

	if n == 0 && err != nil && !errors.Is(err, io.EOF) {
		return c.streamBroken(ctx, send, watch)
	}

	watch.progress()
	send.Began(now, metadata.Load)
	c.writeHeader(answer, -1)

	if !c.route.Resumable {
		return c.passStream(ctx, send, answer.Body, buffer, n, err)
	}

	return c.passEvents(ctx, send, answer.Body, buffer, n, err, watch)
}

// streamBroken handles a stream that ended before anything of it was passed on.
func (c *call) streamBroken(ctx context.Context, send *dispatch.Send, watch *watch) next {
	now := c.relay.now()

	if ctx.Err() != nil {
		send.End(now, dispatch.OutcomeLeft)
		return next{step: stepFail, reason: reasonEnded, arrived: true, ran: true}
	}

	send.End(now, dispatch.OutcomeFailed)

	if !watch.fired() {
		c.relay.quarantine.Broken(c.digest, send.Backend)
	}

	return next{step: stepRepeat, reason: reasonBroken, arrived: true, ran: true}
}

// passStream passes on a stream that cannot go on elsewhere. A break ends the caller's connection, so that the answer does not
// look complete.
func (c *call) passStream(
	ctx context.Context, send *dispatch.Send, body io.Reader, buffer []byte, n int, err error,
) next {
	flusher := http.NewResponseController(c.writer)

	for {
		if n > 0 {
			if _, writeErr := c.writer.Write(buffer[:n]); writeErr != nil {
				return c.cut(ctx, send, reasonCallerLeft, dispatch.OutcomeLeft)
			}

			// A flush fails only when the caller has left; the next write tells.
			_ = flusher.Flush()
		}

		if errors.Is(err, io.EOF) {
			send.End(c.relay.now(), dispatch.OutcomeDone)
			c.ended(resultAnswered, http.StatusOK)

			return answered
		}

		if err != nil {
			if ctx.Err() != nil {
				return c.cut(ctx, send, reasonEnded, dispatch.OutcomeLeft)
			}

			c.relay.quarantine.Broken(c.digest, send.Backend)

			return c.cut(ctx, send, reasonBroken, dispatch.OutcomeFailed)
		}

		n, err = body.Read(buffer)
	}
}

// cut ends the caller's connection in the middle of a stream.
func (c *call) cut(ctx context.Context, send *dispatch.Send, reason string, outcome dispatch.Outcome) next {
	if ctx.Err() != nil && errors.Is(c.request.Context().Err(), context.Canceled) {
		reason = reasonCallerLeft
	}

	send.End(c.relay.now(), outcome)
	c.ended(reason, http.StatusOK)
	panic(http.ErrAbortHandler)
}

// passEvents passes on a resumable stream by whole events and goes on at another engine when one breaks off.
func (c *call) passEvents(
	ctx context.Context, send *dispatch.Send, body io.Reader, buffer []byte, n int, err error, watch *watch,
) next {
	cutter := &events{last: c.metadata.LastEvent}

	for {
		reason, outcome := c.passRun(ctx, cutter, body, buffer, n, err, watch)
		if reason == "" {
			send.End(c.relay.now(), dispatch.OutcomeDone)
			c.ended(resultAnswered, http.StatusOK)

			return answered
		}

		if outcome == dispatch.OutcomeLeft {
			return c.cut(ctx, send, reason, outcome)
		}

		send.End(c.relay.now(), outcome)

		if reason == reasonBroken {
			c.relay.quarantine.Broken(c.digest, send.Backend)
		}

		again, resumed := c.resume(ctx, cutter)
		if resumed == nil {
			return c.cut(ctx, send, reason, outcome)
		}

		send, body, watch = again, resumed.Body, resumed.watch
		n, err = 0, nil

		defer resumed.end()
	}
}

// passRun passes on the events of one engine. It returns an empty reason at the stream's end.
func (c *call) passRun(
	ctx context.Context, cutter *events, body io.Reader, buffer []byte, n int, err error, watch *watch,
) (reason string, outcome dispatch.Outcome) {
	flusher := http.NewResponseController(c.writer)

	for {
		if whole := cutter.add(buffer[:n]); len(whole) > 0 {
			watch.progress()

			if _, writeErr := c.writer.Write(whole); writeErr != nil {
				return reasonCallerLeft, dispatch.OutcomeLeft
			}

			// A flush fails only when the caller has left; the next write tells.
			_ = flusher.Flush()
		}

		switch {
		case errors.Is(err, io.EOF):
			if len(cutter.pending) > 0 {
				// The end of the body is the end of the last event.
				_, _ = c.writer.Write(cutter.pending)
			}

			return "", dispatch.OutcomeDone
		case err != nil && ctx.Err() != nil:
			return reasonEnded, dispatch.OutcomeLeft
		case err != nil && watch.fired():
			return reasonSilent, dispatch.OutcomeFailed
		case err != nil:
			return reasonBroken, dispatch.OutcomeFailed
		}

		n, err = body.Read(buffer)
	}
}

// resumed is the continuation of a stream at another engine.
type resumed struct {
	*apricotway.ForwardedAnswer

	watch  *watch
	cancel context.CancelFunc
}

func (r *resumed) end() {
	r.watch.stop()
	r.Body.Close()
	r.cancel()
}

// resume sends the call to another engine, to go on behind the last whole event. It returns nil when no engine takes it.
func (c *call) resume(ctx context.Context, cutter *events) (*dispatch.Send, *resumed) {
	cutter.pending = nil

	for c.mayRepeat(ctx, next{step: stepRepeat, arrived: true, ran: true}) {
		send, refused := c.place()
		if refused != nil {
			return nil, nil
		}

		c.relay.metrics.Repeated(c.service, reasonResumed)

		header := c.relay.dialect.ForwardHeader(c.request.Header)
		c.relay.dialect.WriteSend(header, apricotway.SendMetadata{
			Workspace: c.workspaceName(), Remaining: c.deadline.Sub(c.relay.now()), Server: send.Backend.ID,
			Urgency: 0, LastEvent: cutter.last,
		})

		attempt, cancel := context.WithCancel(ctx)
		w := c.watch(send, cancel)
		c.tried = append(c.tried, send.Backend.ID)

		answer, err := c.relay.upstream.Send(attempt, send.Backend.Address, c.forwarded(header))
		if err == nil && answer.Status == http.StatusOK {
			c.sends++
			send.Began(c.relay.now(), c.relay.dialect.ReadAnswer(answer.Status, answer.Header).Load)

			return send, &resumed{ForwardedAnswer: answer, watch: w, cancel: cancel}
		}

		if err == nil {
			answer.Body.Close()
		}

		w.stop()
		cancel()

		if ctx.Err() != nil {
			send.End(c.relay.now(), dispatch.OutcomeLeft)
			return nil, nil
		}

		send.End(c.relay.now(), dispatch.OutcomeFailed)
	}

	return nil, nil
}
