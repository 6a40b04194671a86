package completion

import (
	"context"
	"io"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"github.com/google/uuid"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/coordination/inventory"
	"github.com/apricotway/apricotway/state/routing"
)

const (
	// maxAttempts bounds the engines that one request may use before it is given up.
	maxAttempts = 4
	// retryAfter is proposed when no engine can take the request at present.
	retryAfter = time.Second
)

// errSink marks an error of the caller's side, which ends the request without another attempt.
var errSink = errors.New("caller gone")

// Runner runs model requests.
type Runner struct {
	engines   apricotway.EngineClient
	inventory *inventory.Inventory
	policy    routing.Policy
	admission Admission
	logger    logr.Logger
}

// Admission decides when a request may start.
type Admission interface {
	// Admit returns once the request may start, with the priority for its engine set, and the function that ends it with
	// the number of generated tokens. It returns a Refusal for a request that will not start.
	Admit(ctx context.Context, request Request) (Request, func(tokens int), error)
}

// Option changes a runner under construction.
type Option func(*Runner)

// WithLogger sets the logger.
func WithLogger(logger logr.Logger) Option {
	return func(r *Runner) { r.logger = logger }
}

// WithPolicy sets the policy that chooses engines.
func WithPolicy(policy routing.Policy) Option {
	return func(r *Runner) { r.policy = policy }
}

// WithAdmission sets what admits requests; without it every request starts at once.
func WithAdmission(admission Admission) Option {
	return func(r *Runner) { r.admission = admission }
}

// New returns a runner.
func New(engines apricotway.EngineClient, inventory *inventory.Inventory, options ...Option) *Runner {
	r := &Runner{engines: engines, inventory: inventory, policy: routing.NewRoundRobin(), logger: logr.Discard()}
	for _, option := range options {
		option(r)
	}

	return r
}

// progress is what exists of an answer.
type progress struct {
	text   strings.Builder
	tokens int
	// version is the model version that generated the text so far; empty before the first token.
	version apricotway.ModelVersion
	// started is set once an engine may have begun to run the request.
	started  bool
	excluded []apricotway.BackendServerID
	finished bool
}

// Run runs the request and hands its tokens to the sink. It returns nil once the whole answer was delivered, and a
// Refusal otherwise.
func (r *Runner) Run(ctx context.Context, request Request, sink Sink) error {
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()

	var (
		done progress
		last error
	)

	if r.admission != nil {
		admitted, release, err := r.admission.Admit(ctx, request)
		if err != nil {
			return err
		}
		defer func() { release(done.tokens) }()

		request = admitted
	}

	for range maxAttempts {
		server, ok := r.choose(request, &done)
		if !ok {
			break
		}

		last = r.attempt(ctx, request, server, &done, sink)
		if done.finished {
			return nil
		}

		if ctx.Err() != nil || errors.Is(last, errSink) {
			break
		}

		r.logger.Info("attempt failed", "event", 301, "request", request.ID, "server", server.ID,
			"tokens", done.tokens, "error", last.Error())

		done.excluded = append(done.excluded, server.ID)
	}

	return refuse(ctx, &done, last)
}

func (r *Runner) choose(request Request, done *progress) (apricotway.BackendServer, bool) {
	candidates := r.inventory.Usable(request.Service)
	if done.tokens > 0 {
		candidates = sameVersion(candidates, done.version)
	}

	index := r.policy.Choose(time.Now(), work(request, done), candidates)
	if index < 0 {
		return apricotway.BackendServer{}, false
	}

	return candidates[index], true
}

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

func sameVersion(servers []apricotway.BackendServer, version apricotway.ModelVersion) []apricotway.BackendServer {
	var same []apricotway.BackendServer

	for _, server := range servers {
		if server.Version == version {
			same = append(same, server)
		}
	}

	return same
}

// attempt runs the request on one engine until the answer is complete or the stream breaks.
func (r *Runner) attempt(
	ctx context.Context, request Request, server apricotway.BackendServer, done *progress, sink Sink,
) error {
	id := apricotway.AttemptID(uuid.NewString())

	r.policy.Started(time.Now(), server.ID, id, work(request, done))
	defer func() { r.policy.Ended(time.Now(), server.ID, id, outcome(ctx, done)) }()

	stream, err := r.engines.Generate(ctx, server, apricotway.GenerateRequest{
		Attempt:         id,
		Version:         server.Version,
		Prompt:          request.Prompt,
		MaxTokens:       request.MaxTokens,
		Priority:        request.Priority,
		DeliveredText:   done.text.String(),
		DeliveredTokens: done.tokens,
		Sampling:        request.Sampling,
	})
	if err != nil {
		if errors.Is(err, apricotway.ErrNotSent) {
			r.inventory.MarkLost(server.ID, time.Now())
		} else if !errors.Is(err, apricotway.ErrBackendRefused) {
			done.started = true
		}

		return errors.Wrap(err, "start attempt")
	}
	defer stream.Close()

	done.started = true

	return r.follow(server, id, stream, done, sink)
}

// follow hands a stream's tokens to the sink. A token of another attempt is dropped; a repeated index is dropped; a
// missing index breaks the stream.
func (r *Runner) follow(
	server apricotway.BackendServer, id apricotway.AttemptID, stream apricotway.TokenStream, done *progress, sink Sink,
) error {
	for {
		token, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return errors.Wrap(apricotway.ErrStreamBroken, "end marker before the last token")
		}

		if err != nil {
			return errors.Wrap(err, "follow stream")
		}

		if token.Attempt != id {
			r.logger.Info("token of another attempt dropped", "event", 302, "server", server.ID, "attempt", token.Attempt)
			continue
		}

		if token.Index < done.tokens {
			continue
		}

		if token.Index > done.tokens {
			return errors.Wrapf(apricotway.ErrStreamBroken, "token %d in place of %d", token.Index, done.tokens)
		}

		r.policy.Token(time.Now(), server.ID, id, 1)

		if err := sink(token); err != nil {
			return errors.Wrap(errSink, err.Error())
		}

		done.version = server.Version
		done.tokens++
		done.text.WriteString(token.Text)

		if token.Finish != "" {
			done.finished = true
			return nil
		}
	}
}

// refuse turns the state of an unfinished request into the answer for its caller.
func refuse(ctx context.Context, done *progress, last error) *apricotway.Refusal {
	refusal := &apricotway.Refusal{
		Code:       apricotway.CodeNoBackendServer,
		Execution:  apricotway.ExecutionNotStarted,
		Message:    "no engine can take the request at present",
		RetryAfter: retryAfter,
	}

	if done.started {
		refusal.Code = apricotway.CodeBackendFailed
		refusal.Execution = apricotway.ExecutionUnknown
		refusal.Message = "the engines that ran the request failed"
	}

	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		refusal.Code = apricotway.CodeDeadlineExceeded
		refusal.Message = "the request's deadline has passed"
	}

	if last != nil {
		refusal.Message += ": " + last.Error()
	}

	return refusal
}
