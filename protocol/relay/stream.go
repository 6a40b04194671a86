package relay

import (
	"bytes"
	"context"
	"io"
	"mime"
	"net/http"
	"strconv"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/dispatch"
)

// maxPending bounds in bytes the part of one event that is buffered. A longer event is passed on in parts. Engines usually send
// events of 5 to 12 tokens, well below 1 KiB.
const maxPending = 32 << 10

// acquittingEvents is the number of events from which a stream has certainly begun without crashing its engine.
const acquittingEvents = 2

// eventSplitter splits the bytes of a server-sent event stream into complete events, so that another engine can continue after
// the last one.
type eventSplitter struct {
	// pending holds the bytes that add returned last, which are the first passed bytes, and then the beginning of the next event.
	pending []byte
	passed  int
	// last is the identifier of the last complete event.
	last string
	// plain is set when the answer is no event stream, so that it may end anywhere.
	plain bool
	// passedPart is set when a part of an event was passed on. No other engine can continue in the middle of an event.
	passedPart bool
	// open is set while an event of which a part was passed on has not ended.
	open bool
	// unnumbered is set while the last complete event has no identifier, so that no engine can continue after it.
	unnumbered bool
	// steps is set once an identifier was the number after the one before it, gaps once one was not.
	steps, gaps bool
	// resumed is set while the events must continue after the last one.
	resumed bool
	// foreign is set when an event did not continue the stream. Neither that event nor what follows it is passed on.
	foreign bool
}

var (
	// An event ends with an empty line, with either kind of line ending.
	eventEnds = [][]byte{[]byte("\n\n"), []byte("\r\n\r\n"), []byte("\n\r\n")}
	eventID   = []byte("id:")
)

// errNotContinued reports an answer that does not continue the stream after its last event.
var errNotContinued = errors.New("the stream is not continued after its last event")

// completeSize returns the size in bytes of the complete events at the beginning of content.
func completeSize(content []byte) int {
	size := 0

	for _, end := range eventEnds {
		if at := bytes.LastIndex(content, end); at >= 0 {
			size = max(size, at+len(end))
		}
	}

	return size
}

// firstEventSize returns the size in bytes of the first event of complete events.
func firstEventSize(events []byte) int {
	size := 0

	for line := range bytes.Lines(events) {
		// An empty line at the beginning belongs to the event before it.
		if size += len(line); size > len(line) && len(bytes.TrimRight(line, "\r\n")) == 0 {
			break
		}
	}

	return size
}

// add appends a chunk and returns the bytes that can be passed on: complete events, or a part of one that is too long to be
// buffered. They are valid until the next call. progress is true when they contain a complete line other than a comment or an
// empty one; parts of events are no progress.
func (e *eventSplitter) add(chunk []byte) (ready []byte, progress bool) {
	e.pending = append(e.rest(), chunk...)

	size := completeSize(e.pending)
	if size == 0 {
		e.passPart()
		return e.pending[:e.passed], false
	}

	for e.passed < size {
		event := e.pending[e.passed : e.passed+firstEventSize(e.pending[e.passed:size])]

		id, fields := eventFields(event)
		if !e.continues(id, fields) {
			e.foreign = true
			break
		}

		e.passed += len(event)
		e.record(id, fields)
		progress = progress || fields
	}

	return e.pending[:e.passed], progress
}

// passPart passes on the pending part of an event if it is too long to be buffered.
func (e *eventSplitter) passPart() {
	if len(e.pending) <= maxPending {
		return
	}

	if id, _ := eventFields(e.pending); !e.continues(id, true) {
		e.foreign = true
		return
	}

	e.passed, e.passedPart, e.open = len(e.pending), true, true
}

// eventFields returns the identifier of an event, empty if it has none, and whether it has any line other than comments and empty
// ones.
func eventFields(event []byte) (id string, fields bool) {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, eventID); ok && bytes.HasSuffix(line, []byte("\n")) {
			id = string(bytes.TrimSpace(value))
		}

		line = bytes.TrimRight(line, "\r\n")
		fields = fields || len(line) > 0 && line[0] != ':'
	}

	return id, fields
}

// continues reports whether an event with the given identifier may follow the last one. Only the events of a resumed stream are
// checked; those of the first engine are passed on as they are.
func (e *eventSplitter) continues(id string, fields bool) bool {
	if !e.resumed || !fields || e.open {
		return true
	}

	last, lastErr := strconv.ParseUint(e.last, 10, 64)
	next, nextErr := strconv.ParseUint(id, 10, 64)

	switch {
	case id == "" || id == e.last:
		return false
	case lastErr != nil || nextErr != nil:
		return true
	case e.steps && !e.gaps:
		return next == last+1
	default:
		return next > last
	}
}

// record records a complete event that is passed on.
func (e *eventSplitter) record(id string, fields bool) {
	e.open = false

	if !fields {
		return
	}

	e.unnumbered = id == ""
	if e.unnumbered {
		return
	}

	last, lastErr := strconv.ParseUint(e.last, 10, 64)
	next, nextErr := strconv.ParseUint(id, 10, 64)

	// A stream that was not resumed by its caller begins with 0 or 1 if its events are counted.
	if nextErr == nil && (lastErr == nil || e.last == "" && next > 0) {
		e.steps = e.steps || next == last+1
		e.gaps = e.gaps || next != last+1
	}

	e.last = id
}

// resume prepares the splitter for the events of an engine that continues after the last complete event.
func (e *eventSplitter) resume() {
	e.pending, e.passed, e.foreign, e.plain = nil, 0, false, false
	e.resumed = e.last != ""
}

// continuable reports whether another engine can continue the stream after the last complete event.
func (e *eventSplitter) continuable() bool { return !e.passedPart && !e.unnumbered }

// rest returns the bytes that were not yet passed on.
func (e *eventSplitter) rest() []byte {
	e.pending = append(e.pending[:0], e.pending[e.passed:]...)
	e.passed = 0

	return e.pending
}

// insideEvent reports whether the stream has ended in the middle of an event.
func (e *eventSplitter) insideEvent() bool {
	return !e.plain && (e.open || len(bytes.Trim(e.rest(), "\r\n")) > 0)
}

// isEventStream reports whether an answer's header allows that it is an event stream.
func isEventStream(header http.Header) bool {
	mediaType, _, err := mime.ParseMediaType(header.Get("Content-Type"))

	return err != nil || mediaType == "text/event-stream"
}

// readFirstEvent reads a stream up to the end of its first event, or until more than maxPending bytes of that have arrived.
func readFirstEvent(body io.Reader, buffer []byte) ([]byte, error) {
	var first []byte

	for {
		n, err := body.Read(buffer)
		first = append(first, buffer[:n]...)

		if err != nil || completeSize(first) > 0 || len(first) > maxPending {
			return first, err
		}
	}
}

// passAnswerStream waits for the first event of a stream and then passes it on as it arrives.
func (c *call) passAnswerStream(
	ctx context.Context, send *dispatch.Send, answer *apricotway.ForwardedAnswer, metadata apricotway.AnswerMetadata,
	silence *silenceTimer,
) attemptResult {
	buffer := make([]byte, copyBufferBytes)

	// The header is written only after the first event: until then another engine may still answer the call.
	first, err := readFirstEvent(answer.Body, buffer)
	now := c.relay.now()
	c.countUsage(now)

	splitter := &eventSplitter{last: c.metadata.LastEvent, plain: !isEventStream(answer.Header)}

	if errors.Is(err, io.EOF) && completeSize(first) == 0 && !splitter.plain && (len(first) > 0 || answer.CloseDelimited) {
		err = io.ErrUnexpectedEOF
	}

	if err != nil && !errors.Is(err, io.EOF) && completeSize(first) == 0 {
		return c.streamBroken(ctx, send, silence, err)
	}

	if !silence.begin() {
		send.End(now, dispatch.OutcomeFailed)
		return c.silent(silence)
	}

	send.RecordFirstEvent(now, metadata.Load)

	c.beginStream(ctx, now, send)
	c.writeHeader(answer, -1, formStream)

	current := &engineRun{
		send: send, body: answer.Body, silence: silence, closeDelimited: answer.CloseDelimited,
		noMove: send.Detour(), detour: send.Detour(), end: func() {
			silence.stop()
			_ = answer.Body.Close() // The rest of the stream is not needed.
		},
	}
	defer func() { current.end() }()

	return c.passStream(ctx, splitter, &current, buffer, first, err)
}

// countEvent counts a read of the stream that had a complete event.
func (c *call) countEvent() {
	if c.events++; c.events >= acquittingEvents {
		c.reportAnswered()
	}
}

// streamBroken returns the result of an attempt whose stream broke before any of it was passed on.
func (c *call) streamBroken(ctx context.Context, send *dispatch.Send, silence *silenceTimer, err error) attemptResult {
	now := c.relay.now()

	if ctx.Err() != nil {
		send.End(now, dispatch.OutcomeLeft)
		return attemptResult{step: stepFail, reason: reasonEnded, arrived: true, mayHaveRun: true}
	}

	send.End(now, dispatch.OutcomeFailed)

	if silence.fired() {
		return c.silent(silence)
	}

	if !send.Detour() {
		c.reportCut(send, false, err)
	}

	return attemptResult{step: stepRetry, reason: reasonBroken, arrived: true, mayHaveRun: true}
}

// abortAnswer closes the caller's connection in the middle of an answer, so that the caller doesn't take it for complete. It panics
// with http.ErrAbortHandler and doesn't return.
func (c *call) abortAnswer(ctx context.Context, send *dispatch.Send, reason string, outcome dispatch.Outcome) attemptResult {
	switch {
	case aborted(ctx):
		reason = reasonStopping
	case ctx.Err() != nil && errors.Is(c.request.Context().Err(), context.Canceled):
		reason = reasonCallerLeft
	}

	send.End(c.relay.now(), outcome)
	c.recordEnd(reason, c.status)
	c.resetHTTP10()
	panic(http.ErrAbortHandler)
}

// resetHTTP10 resets the connection of an HTTP/1.0 caller. Without a length, such a caller takes an orderly close for the end of
// the answer.
func (c *call) resetHTTP10() {
	if c.request.ProtoAtLeast(1, 1) {
		return
	}

	conn, _, err := http.NewResponseController(c.writer).Hijack()
	if err != nil {
		return // The caller has left.
	}

	if tcp, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0) // Fails on a closed connection only.
	}

	_ = conn.Close()
}

// engineRun is the part of a stream that one engine generates.
type engineRun struct {
	send    *dispatch.Send
	body    io.Reader
	silence *silenceTimer
	// end releases the run's resources; the attempt releases the rest of those of the first run. Calling it twice has no effect.
	end func()
	// order is the order to move the run; nil without one. memory is set once the engine has confirmed it, so that it has stopped the run. next
	// is then the target, nil when the copy failed.
	order  *moveOrder
	memory *apricotway.RunKVCache
	next   *dispatch.Send
	// closeDelimited is that of the answer, and began is set once the run's first event has arrived. resumed is set when the run
	// continues that of another engine.
	closeDelimited, began, resumed bool
	// mayBeEmpty is set when the run continues one that may have ended with its last event.
	mayBeEmpty bool
	// err is the error with which reading the body failed.
	err error
	// first and firstErr are what was read of a run that was offered to the engine.
	first    []byte
	firstErr error
	// detour is set when another process passes the run on.
	detour bool
	// noMove is set when moving the run was tried in vain; it is not tried again.
	noMove bool
}

// lacksEvents reports whether the run must not end yet. The first engine may send an empty stream of a stated length, but a stream
// that broke off has at least one more event.
func (r *engineRun) lacksEvents(plain bool) bool {
	return !r.began && (r.resumed && !r.mayBeEmpty || r.closeDelimited && !plain)
}

// passStream passes on a stream in complete events. When the engine leaves, or breaks off and the stream may be resumed, the stream
// continues at another engine, and the current run is replaced.
func (c *call) passStream(
	ctx context.Context, splitter *eventSplitter, current **engineRun, buffer, first []byte, err error,
) attemptResult {
	for {
		run := *current
		c.closeDelimited = run.closeDelimited
		reason, outcome := c.passRun(ctx, splitter, run, buffer, first, err)

		var replacement *replacement
		if reason != "" && outcome != dispatch.OutcomeLeft {
			replacement = run.silence.takeReplacement()
		}

		c.countOffers(run.silence)

		if reason == "" {
			c.dropMove(run)
			run.send.End(c.relay.now(), dispatch.OutcomeDone)

			if !run.closeDelimited {
				c.reportAnswered()
			}

			c.recordEnd(resultAnswered, http.StatusOK)

			return answered
		}

		ended, step := outcome, reason
		if outcome != dispatch.OutcomeLeft && run.memory != nil {
			step = reasonMoved
		}

		// A run that an order has stopped says nothing about its engine.
		if step == reasonMoved || step == reasonStopped {
			ended = dispatch.OutcomeLeft
		}

		run.send.End(c.relay.now(), ended)
		c.steps = append(c.steps, step)

		if outcome == dispatch.OutcomeLeft {
			c.dropMove(run)
			return c.abortAnswer(ctx, run.send, reason, outcome)
		}

		// An engine that still generates must stop before another one continues.
		run.end()

		next := c.continueRun(ctx, run, splitter, reason, replacement)
		c.dropMove(run)

		if next == nil {
			return c.abortAnswer(ctx, run.send, reason, outcome)
		}

		next.mayBeEmpty = run.memory == nil && (reason == reasonStopped || run.mayBeEmpty && !run.began)

		*current, first, err = next, next.first, next.firstErr
	}
}

// continueRun returns a run that continues after the last complete event, or nil when there is none. If the engine was silent, the
// call was placed on the replacement already.
func (c *call) continueRun(
	ctx context.Context, run *engineRun, splitter *eventSplitter, reason string, replacement *replacement,
) *engineRun {
	splitter.resume()

	if c.route.Resumable && splitter.continuable() {
		c.relay.origins.Await(ctx)
	}

	c.recheckOrigin()

	if replacement != nil && replacement.resumption != nil {
		return c.continueOffered(ctx, run, splitter, reason, replacement.resumption)
	}

	resumable := c.route.Resumable && splitter.continuable()

	// The server may have sent its first event while the replacement was chosen.
	fits := replacement != nil && c.mayContinueAt(replacement.send)
	if replacement != nil && (run.memory != nil || !resumable || !fits || c.quarantined()) {
		c.relay.release(c.service, replacement)
		replacement = nil
	}

	if run.memory != nil {
		if moved := c.continueMoved(ctx, run, splitter.last); moved != nil {
			return moved
		}
	}

	if resumable && c.relay.detours.Lost() {
		if replacement != nil {
			c.relay.release(c.service, replacement)
			replacement = nil
		}

		if next := c.continueDetour(ctx, splitter.last); next != nil {
			return next
		}
	}

	if replacement != nil {
		c.relay.metrics.CallRetried(c.service, reasonResumed)

		if resumed, _ := c.sendResume(ctx, replacement.send, splitter.last, nil); resumed != nil {
			return resumed
		}
	}

	if reason == reasonBroken && run.memory == nil && !run.detour {
		c.reportCut(run.send, c.acquitted.Load(), run.err)
	}

	if resumable {
		return c.resume(ctx, splitter.last)
	}

	return nil
}

// continueOffered returns a run that continues after the last complete event at the server to which the stream is offered, else at another
// one, or nil when there is none.
func (c *call) continueOffered(
	ctx context.Context, run *engineRun, splitter *eventSplitter, reason string, offer *resumption,
) *engineRun {
	if reason == reasonBroken {
		c.reportCut(run.send, c.acquitted.Load(), run.err)
	}

	if resumed := c.takeOver(ctx, offer); resumed != nil {
		return resumed
	}

	return c.continueRun(ctx, run, splitter, reasonSilent, nil)
}

// passRun passes on the events of one engine, beginning with the chunk that was read last and the error of that read. It returns an
// empty reason when the stream ended normally.
func (c *call) passRun(
	ctx context.Context, splitter *eventSplitter, current *engineRun, buffer, chunk []byte, err error,
) (reason string, outcome dispatch.Outcome) {
	for {
		switch c.passEvents(splitter, current, chunk) {
		case passed:
		case passedOver:
			if ctx.Err() != nil {
				return reasonEnded, dispatch.OutcomeLeft
			}

			c.relay.detours.Silent(c.relay.now())

			return reasonSilent, dispatch.OutcomeFailed
		case notPassed:
			return reasonCallerLeft, dispatch.OutcomeLeft
		}

		if err != nil && (!errors.Is(err, io.EOF) || c.endUncertain(current)) {
			c.awaitMove(ctx, current, splitter)
		}

		if errors.Is(err, io.EOF) && (splitter.insideEvent() || current.lacksEvents(splitter.plain) || c.endUncertain(current)) {
			err = io.ErrUnexpectedEOF
		}

		if splitter.foreign {
			err = errNotContinued
		}

		switch {
		case errors.Is(err, io.EOF) && current.memory == nil:
			// Empty lines at the end. A write fails only when the caller has left.
			_, _ = c.writer.Write(splitter.rest())

			return "", dispatch.OutcomeDone
		case err != nil && ctx.Err() != nil:
			return reasonEnded, dispatch.OutcomeLeft
		case err != nil && current.memory != nil:
			return reasonMoved, dispatch.OutcomeDone
		case err != nil && current.silence.fired():
			c.relay.detours.Silent(c.relay.now())
			return reasonSilent, dispatch.OutcomeFailed
		case splitter.foreign:
			return reasonNotContinued, dispatch.OutcomeFailed
		case err != nil && c.mayBeStopped(current):
			return reasonStopped, dispatch.OutcomeDone
		case err != nil:
			current.err = err
			return reasonBroken, dispatch.OutcomeFailed
		}

		c.moveIfLeaving(ctx, current, splitter)

		var n int

		n, err = current.body.Read(buffer)
		chunk = buffer[:n]
	}
}

// passResult is what became of a chunk of a stream.
type passResult string

const (
	passed passResult = "passed"
	// passedOver is that of a chunk that comes after the stream was handed over to another server, which sends its events as well.
	passedOver passResult = "passedOver"
	notPassed  passResult = "notPassed"
)

// passEvents passes on the complete events of a chunk, unless the stream was handed over to another server. It fails if the caller has left.
func (c *call) passEvents(splitter *eventSplitter, current *engineRun, chunk []byte) passResult {
	var (
		ready               []byte
		progress, resumable bool
	)

	// The time in which the caller does not read is no silence of the engine, and a stream that nobody can continue has no timeout.
	if !current.silence.deliver(func() (hold bool) {
		ready, progress = splitter.add(chunk)
		resumable = c.route.Resumable && splitter.continuable()

		return progress || !resumable
	}) {
		return passedOver
	}

	if progress {
		current.began = true
		c.countEvent()
	}

	if len(ready) > 0 {
		c.progress.enter(stageCaller, c.relay.now())

		if _, err := c.writer.Write(ready); err != nil {
			return notPassed
		}

		// A flush fails only when the caller has left; the next write then fails too.
		_ = http.NewResponseController(c.writer).Flush()
		c.progress.passed(len(ready), c.relay.now())
	}

	if progress && resumable {
		current.silence.restart(splitter.last)
	}

	return passed
}

// resume sends the call to another engine, to continue after the given event. It returns nil when no engine takes the call.
func (c *call) resume(ctx context.Context, last string) *engineRun {
	for c.mayRetry(ctx, attemptResult{step: stepRetry, arrived: true, mayHaveRun: true}) {
		send, refused := c.chooseServer(ctx)
		if refused != nil {
			return nil
		}

		c.relay.metrics.CallRetried(c.service, reasonResumed)

		if resumed, _ := c.sendResume(ctx, send, last, nil); resumed != nil {
			return resumed
		}
	}

	return nil
}
