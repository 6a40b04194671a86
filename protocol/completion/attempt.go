package completion

import (
	"context"
	"io"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/internal/guard"
	"github.com/apricotway/apricotway/state/resume"
	"github.com/apricotway/apricotway/state/routing"
)

// errMoved ends an attempt whose generation continues at another engine.
var errMoved = errors.New("generation moved")

// errStalled reports an engine that keeps its connection but sends nothing.
var errStalled = errors.New("no token within the limit")

// attempt is one attempt to run a request on one engine.
type attempt struct {
	runner  *Runner
	id      apricotway.AttemptID
	request Request
	server  apricotway.BackendServer
	done    *progress
	sink    LineageSink
	// trial is set while the request is suspected of crashing engines and must run alone on its engine.
	trial bool
	// passedTrial is set once the request passed its trial on this engine.
	passedTrial atomic.Bool

	// tokens is the number of tokens of the answer, pace the time per token in nanoseconds. They are copies of the progress that
	// planMoves reads concurrently.
	tokens atomic.Int64
	pace   atomic.Int64
	// moves receives at most one move, sent by planMoves.
	moves chan resume.Move
	// target is the engine to which the generation moves; empty without a move. It is guarded by the runner's lock.
	target apricotway.BackendServerID

	// incomplete holds the tokens since one that ended in the middle of a character. They are delivered with the token that
	// completes the character, so that a broken stream is resumed after a complete character.
	incomplete []apricotway.Token
}

// streamItem is the result of one call of TokenStream.Next.
type streamItem struct {
	token apricotway.Token
	err   error
}

// run runs the attempt until the answer is complete, the stream breaks or the generation moves. For a move, it returns errMoved and
// the target is in a.done.next.
func (a *attempt) run(ctx context.Context, handle string) error {
	r := a.runner
	work := work(a.request, a.done)

	parent := ctx

	r.policy.Started(time.Now(), a.server.ID, a.id, work)
	defer func() { r.policy.Ended(time.Now(), a.server.ID, a.id, outcome(parent, a.done)) }()

	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	stream, err := r.generate(ctx, a, handle)
	if err != nil {
		return errors.Wrap(err, "start attempt")
	}

	a.done.started = true

	r.register(a)
	defer r.unregister(a)

	items := make(chan streamItem)
	ended := make(chan struct{})

	go func() {
		defer close(ended)

		for {
			var token apricotway.Token

			err := guard.Call(func() (err error) {
				token, err = stream.Next()
				return err
			})

			select {
			case items <- streamItem{token, err}:
			case <-ctx.Done():
				return
			}

			if err != nil {
				return
			}
		}
	}()

	defer func() {
		// Close must not be called while Next runs; cancelling the context makes Next return.
		cancel()
		<-ended
		stream.Close()
	}()

	return a.follow(ctx, items)
}

// generate starts the generation. It returns errStalled when the engine doesn't answer within the limit for the first token.
func (r *Runner) generate(ctx context.Context, a *attempt, handle string) (apricotway.TokenStream, error) {
	type result struct {
		stream apricotway.TokenStream
		err    error
	}

	ctx, cancel := context.WithCancel(ctx)
	results := make(chan result, 1)

	go func() {
		stream, err := r.engines.Generate(ctx, a.server, apricotway.GenerateRequest{
			Attempt:         a.id,
			Version:         a.server.Version,
			Prompt:          a.request.Prompt,
			MaxTokens:       a.request.MaxTokens,
			Priority:        a.request.Priority,
			DeliveredText:   a.done.text.String(),
			DeliveredTokens: a.done.tokens,
			KVHandle:        handle,
			Sampling:        a.request.Sampling,
		})
		results <- result{stream, err}
	}()

	timer := time.NewTimer(r.firstToken)
	defer timer.Stop()

	select {
	case got := <-results:
		if got.err != nil {
			cancel()
			return nil, got.err
		}

		return &cancelledStream{TokenStream: got.stream, cancel: cancel}, nil
	case <-timer.C:
		cancel()

		if got := <-results; got.err == nil {
			got.stream.Close()
		}

		a.done.started = true

		return nil, errStalled
	}
}

// cancelledStream cancels the context of its generation when it is closed.
type cancelledStream struct {
	apricotway.TokenStream

	cancel context.CancelFunc
}

// Close implements apricotway.TokenStream.
func (s *cancelledStream) Close() error {
	s.cancel()
	return s.TokenStream.Close()
}

// follow delivers the tokens of the stream until the answer ends, the stream breaks or stalls, or the generation has moved.
func (a *attempt) follow(ctx context.Context, items <-chan streamItem) error {
	type export struct {
		handle string
		err    error
	}

	var (
		move     resume.Move
		exported chan export
		covered  int
		begun    time.Time
		first    int
	)

	stall := time.NewTimer(a.runner.firstToken)
	defer stall.Stop()

	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-stall.C:
			return errStalled
		case move = <-a.moves:
			a.done.next = target{server: move.Target}

			if move.Choice != resume.ChoiceExport {
				return errMoved
			}

			// The generation continues during the export; the target prefills the tokens that are generated meanwhile.
			exported, covered = make(chan export, 1), a.done.tokens

			go func() {
				handle, err := a.runner.export(ctx, a, move.Target)
				exported <- export{handle, err}
			}()
		case result := <-exported:
			if result.err != nil {
				a.runner.logger.Info("exporting a KV cache failed", "event", 304, "request", a.request.ID, "server", a.server.ID,
					"target", move.Target, "error", result.err.Error())
			} else {
				a.done.next.handle, a.done.next.covered = result.handle, covered
			}

			return errMoved
		case item := <-items:
			position := a.done.tokens + len(a.incomplete)

			finished, err := a.take(item) //nolint:contextcheck // clearing a suspect doesn't depend on the stream
			if err != nil || finished {
				return err
			}

			if a.done.tokens+len(a.incomplete) == position {
				continue
			}

			stall.Reset(a.runner.nextToken)
			a.tokens.Store(int64(a.done.tokens))

			if begun.IsZero() {
				begun, first = time.Now(), a.done.tokens
			} else if n := a.done.tokens - first; n > 0 {
				a.pace.Store(int64(time.Since(begun)) / int64(n))
			}
		}
	}
}

// take delivers the token of a stream item. A token of another attempt or with a repeated index is dropped; a skipped index breaks
// the stream.
func (a *attempt) take(item streamItem) (finished bool, err error) {
	token := item.token

	if errors.Is(item.err, io.EOF) {
		return false, errors.Wrap(apricotway.ErrStreamBroken, "end marker before the last token")
	}

	if item.err != nil {
		return false, errors.Wrap(item.err, "follow stream")
	}

	if token.Attempt != a.id {
		a.runner.dropped.Add(1)
		a.runner.logger.V(1).Info("token of another attempt dropped", "event", 302, "server", a.server.ID,
			"attempt", token.Attempt)

		return false, nil
	}

	next := a.done.tokens + len(a.incomplete)
	if token.Index < next {
		a.runner.dropped.Add(1)
		return false, nil
	}

	if token.Index > next {
		return false, errors.Wrapf(apricotway.ErrStreamBroken, "token %d in place of %d", token.Index, next)
	}

	a.incomplete = append(a.incomplete, token)
	if endsMidCharacter(token) {
		return false, nil
	}

	for _, token := range a.incomplete {
		if err := a.deliver(token); err != nil {
			return false, err
		}
	}

	a.incomplete = a.incomplete[:0]

	return a.done.finished, nil
}

// endsMidCharacter reports whether a token ends in the middle of a character: its text is empty, or the engine's decoder replaced
// the incomplete bytes by U+FFFD.
func endsMidCharacter(token apricotway.Token) bool {
	return token.Finish == "" && (token.Text == "" || strings.HasSuffix(token.Text, "\uFFFD"))
}

// deliver passes a token to the sink and records it in the progress.
func (a *attempt) deliver(token apricotway.Token) error {
	a.runner.policy.Token(time.Now(), a.server.ID, a.id, 1)

	if err := a.sink(token, a.server.Lineage()); err != nil {
		return errors.Wrap(errSink, err.Error())
	}

	a.done.lineage = a.server.Lineage()
	a.done.tokens++
	a.done.text.WriteString(token.Text)
	a.done.finished = token.Finish != ""

	if a.trial {
		a.runner.passTrial(a)
	}

	return nil
}

func newAttempt(r *Runner, request Request, server apricotway.BackendServer, done *progress, sink LineageSink) *attempt {
	a := &attempt{
		runner: r, id: apricotway.AttemptID(uuid.NewString()), request: request, server: server, done: done, sink: sink,
		moves: make(chan resume.Move, 1),
	}
	a.tokens.Store(int64(done.tokens))

	return a
}

// outcome returns the outcome of an attempt for the routing policy.
func outcome(ctx context.Context, done *progress) routing.Outcome {
	switch {
	case done.finished:
		return routing.OutcomeFinished
	case ctx.Err() != nil:
		return routing.OutcomeCancelled
	default:
		return routing.OutcomeFailed
	}
}

// work describes for the routing policy what is left to do of a request.
func work(request Request, done *progress) routing.Work {
	return routing.Work{
		Service:      request.Service,
		Blocks:       apricotway.PrefixBlocks(nil, request.Prompt),
		Prompt:       request.Prompt,
		PromptTokens: apricotway.EstimateTokens(request.Prompt) + done.tokens,
		MaxTokens:    request.MaxTokens - done.tokens,
		Excluded:     done.excluded,
	}
}
