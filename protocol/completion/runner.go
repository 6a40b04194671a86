package completion

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/coordination/inventory"
	"github.com/apricotway/apricotway/internal/pause"
	"github.com/apricotway/apricotway/state/account"
	"github.com/apricotway/apricotway/state/config"
	"github.com/apricotway/apricotway/state/quarantine"
	"github.com/apricotway/apricotway/state/resume"
	"github.com/apricotway/apricotway/state/routing"
)

const (
	// maxFailures is the number of failed attempts after which a request is refused. Moves off leaving hosts don't count as
	// failures.
	maxFailures = 4
	// retryAfter is the Retry-After when no engine can take the request at present.
	retryAfter = time.Second
	// pollPeriod is the time between two searches for an engine, two reads of an engine's load, and before the next attempt after
	// an engine refused.
	pollPeriod = 50 * time.Millisecond
	// placeTimeout bounds the wait of an accepted request for an engine. It is about the time that a replacement host takes to
	// start.
	placeTimeout = 30 * time.Second
	// probeTimeout bounds the check whether an engine is alive.
	probeTimeout = time.Second
)

// errSink marks an error of the sink, that is of the caller's side, which ends the request without another attempt.
var errSink = errors.New("caller gone")

// Runner runs model requests on engines.
type Runner struct {
	engines   apricotway.EngineClient
	inventory *inventory.Inventory
	policy    routing.Policy
	admission Admission
	logger    logr.Logger
	suspects  *Suspects
	costs     resume.Costs
	// engineLimit bounds the generations that this process runs on an engine to which it moves generations.
	engineLimit int
	// firstToken and nextToken are the timeouts for the first token of an attempt and for each further one.
	firstToken time.Duration
	nextToken  time.Duration

	usage UsageFunc
	// release returns the rule that divides the requests of a service between model versions, if there is one.
	release func(service apricotway.Service) (config.ReleaseSpec, bool)

	dropped    atomic.Int64
	moved      atomic.Int64
	resumed    atomic.Int64
	recomputed atomic.Int64
	crashes    atomic.Int64

	mu sync.Mutex
	// running holds the attempts that have a stream.
	running map[apricotway.AttemptID]*attempt
	// replan runs planMoves again while generations are left on leaving hosts.
	replan *time.Timer
}

// Admission decides when a request may start.
type Admission interface {
	// Admit waits until the request may start. It returns the request with its priority set, and a function to be called with the
	// number of generated tokens at the request's end. It returns a Refusal for a request that must not start.
	Admit(ctx context.Context, request Request) (Request, func(tokens int), error)
}

// Option changes a runner under construction.
type Option func(*Runner)

// WithLogger sets the logger. Without it nothing is logged.
func WithLogger(logger logr.Logger) Option {
	return func(r *Runner) { r.logger = logger }
}

// WithPolicy sets the policy that chooses engines.
func WithPolicy(policy routing.Policy) Option {
	return func(r *Runner) { r.policy = policy }
}

// WithAdmission sets the admission of requests. Without it every request starts at once.
func WithAdmission(admission Admission) Option {
	return func(r *Runner) { r.admission = admission }
}

// WithSuspects sets the suspects, which may be shared with other processes. Without it the runner knows only its own.
func WithSuspects(suspects *Suspects) Option {
	return func(r *Runner) { r.suspects = suspects }
}

// WithCosts sets the cost estimates by which moves off leaving hosts are planned.
func WithCosts(costs resume.Costs) Option {
	return func(r *Runner) { r.costs = costs }
}

// WithEngineLimit bounds the generations that this process runs on an engine to which it moves generations.
func WithEngineLimit(limit int) Option {
	return func(r *Runner) { r.engineLimit = limit }
}

// WithTokenTimeouts sets the timeouts for the first token of an attempt and for each further one.
func WithTokenTimeouts(firstToken, nextToken time.Duration) Option {
	return func(r *Runner) { r.firstToken, r.nextToken = firstToken, nextToken }
}

// WithUsage sets the function that receives the usage of attempts and of requests.
func WithUsage(usage UsageFunc) Option {
	return func(r *Runner) { r.usage = usage }
}

// WithReleaseRules sets the function that returns the release rule of a service. Without it every version may run every request.
func WithReleaseRules(release func(service apricotway.Service) (config.ReleaseSpec, bool)) Option {
	return func(r *Runner) { r.release = release }
}

// New returns a runner.
func New(engines apricotway.EngineClient, inventory *inventory.Inventory, options ...Option) *Runner {
	r := &Runner{
		engines:     engines,
		inventory:   inventory,
		policy:      routing.NewRoundRobin(),
		logger:      logr.Discard(),
		costs:       resume.DefaultCosts(),
		engineLimit: 64,
		// The prefill of the longest prompts takes tens of seconds. Engines that are slowed down by a factor of 4 still send a
		// token within a second.
		firstToken: time.Minute,
		nextToken:  5 * time.Second,
		running:    map[apricotway.AttemptID]*attempt{},
		usage:      func(account.Key, account.Usage) {},
		release:    func(apricotway.Service) (config.ReleaseSpec, bool) { return config.ReleaseSpec{}, false },
	}
	for _, option := range options {
		option(r)
	}

	if r.suspects == nil {
		r.suspects = NewSuspects()
	}

	inventory.Notify(func([]apricotway.BackendServer) { r.planMoves() })

	return r
}

// Stats are the counters of a runner.
type Stats struct {
	// Dropped counts the tokens that belonged to no current attempt or repeated an index.
	Dropped int64 `json:"dropped"`
	// Moved counts generations that left a host before its deadline.
	Moved int64 `json:"moved"`
	// Resumed counts the tokens of prompts and answers that existed when generations were resumed. A generation that starts
	// again from the beginning would compute all of them again.
	Resumed int64 `json:"resumed"`
	// Recomputed counts those of the Resumed tokens that had to be prefilled again.
	Recomputed int64 `json:"recomputed"`
	// Crashes counts the attempts that ended because their engine died without a notice.
	Crashes int64 `json:"crashes"`
}

// Stats returns the counters.
func (r *Runner) Stats() Stats {
	return Stats{
		Dropped: r.dropped.Load(), Moved: r.moved.Load(), Resumed: r.resumed.Load(), Recomputed: r.recomputed.Load(),
		Crashes: r.crashes.Load(),
	}
}

// progress is the state of a request's answer over its attempts. Only the goroutine that runs the request may use it.
type progress struct {
	text   strings.Builder
	tokens int
	// lineage is that of the engines that generated the text so far; the zero value before the first token.
	lineage apricotway.Lineage
	// started is set once an engine may have begun to run the request.
	started bool
	// prefilled is set once an engine has begun to prefill the prompt. From then on the prefill of a new attempt counts as
	// recomputed.
	prefilled bool
	// excluded are the engines on which an attempt failed.
	excluded []apricotway.BackendServerID
	finished bool
	// server is the engine of the last attempt that was sent.
	server apricotway.BackendServer
	// next is the engine to which the generation moves.
	next target
}

// target is an engine that was chosen for the next attempt.
type target struct {
	server apricotway.BackendServerID
	// handle names the KV cache that the engine holds for the request; empty when there is none. covered is the number of the
	// answer's tokens that the cache includes.
	handle  string
	covered int
}

// Run runs the request and passes its tokens to the sink. It returns nil once the complete answer was delivered, and a Refusal
// otherwise.
func (r *Runner) Run(ctx context.Context, request Request, sink Sink) error {
	_, err := r.Continue(ctx, request, Delivered{}, func(token apricotway.Token, _ apricotway.Lineage) error {
		return sink(token)
	})

	return err
}

// Continue runs the rest of a request after the delivered part. It returns the engine of the last attempt that was sent.
func (r *Runner) Continue(
	ctx context.Context, request Request, delivered Delivered, sink LineageSink,
) (apricotway.BackendServer, error) {
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()

	done := &progress{tokens: delivered.Tokens, lineage: delivered.Lineage, prefilled: delivered.Tokens > 0}
	done.started = delivered.Tokens > 0
	done.text.WriteString(delivered.Text)

	if r.admission != nil && !delivered.Admitted {
		admitted, release, err := r.admission.Admit(ctx, request)
		if err != nil {
			return done.server, err
		}
		defer func() { release(done.tokens) }()

		request = admitted
	}

	var last error

	for failures := 0; failures < maxFailures; {
		place, err := r.place(ctx, request, done)
		if err != nil {
			last = errors.Wrap(err, "find an engine")

			var refusal *apricotway.Refusal
			if errors.As(err, &refusal) {
				return done.server, refusal
			}

			break
		}

		r.logger.V(1).Info("attempt started", "event", 321, "request", request.ID, "server", place.server.ID,
			"tokens", done.tokens)

		last = r.attempt(ctx, request, place, done, sink)
		if done.finished {
			r.logger.V(1).Info("answer complete", "event", 322, "request", request.ID, "server", place.server.ID,
				"tokens", done.tokens)

			return done.server, nil
		}

		if ctx.Err() != nil || errors.Is(last, errSink) {
			break
		}

		if r.moving(done, place, last) {
			continue
		}

		failures++

		r.logger.Info("attempt failed", "event", 301, "request", request.ID, "server", place.server.ID,
			"tokens", done.tokens, "error", last.Error())

		done.excluded = append(done.excluded, place.server.ID)

		if errors.Is(last, apricotway.ErrBackendRefused) {
			pause.For(ctx, pollPeriod)
		}
	}

	refusal := refuse(ctx, done, last)

	now := time.Now()
	if wait := r.inventory.PauseWait(request.Service, now); !done.started && wait > 0 && now.Add(wait).Before(request.Deadline) {
		refusal.RetryAfter = wait
	}

	return done.server, refusal
}

// moving reports whether an attempt ended because its generation continues elsewhere, which is no failure: it was moved, its host
// was removed after a notice, or the target refused to import the KV cache, in which case the target prefills.
func (r *Runner) moving(done *progress, place placement, last error) bool {
	switch {
	case errors.Is(last, errMoved):
		return true
	case place.handle != "" && errors.Is(last, apricotway.ErrBackendRefused):
		r.logger.Info("engine refused to import a KV cache", "event", 305, "server", place.server.ID, "error", last.Error())
		done.next = target{server: place.server.ID}

		return true
	case r.announced(place.server.ID) && !errors.Is(last, apricotway.ErrBackendRefused):
		done.excluded = append(done.excluded, place.server.ID)
		return true
	default:
		return false
	}
}

// attempt runs one attempt, counts its usage, and reports the engine as lost or the request as a suspect if the attempt ended so.
func (r *Runner) attempt(ctx context.Context, request Request, place placement, done *progress, sink LineageSink) error {
	a := newAttempt(r, request, place.server, done, sink)
	a.trial = place.trial
	done.next = target{}

	var recomputed int64

	if done.prefilled {
		recomputed = int64(apricotway.EstimateTokens(request.Prompt) + done.tokens)
		r.resumed.Add(recomputed)

		if place.handle != "" {
			recomputed = int64(done.tokens - place.covered)
		}

		r.recomputed.Add(recomputed)
	}

	done.prefilled = true
	begin := time.Now()
	err := a.run(ctx, place.handle)

	if !errors.Is(err, apricotway.ErrNotSent) {
		done.server = place.server
		r.usage(usageKey(request, place.server), account.Usage{
			RecomputedTokens: recomputed, EngineMicroseconds: time.Since(begin).Microseconds(),
		})
	}

	switch {
	case errors.Is(err, apricotway.ErrNotSent):
		r.inventory.MarkLost(place.server.ID, time.Now())

		done.prefilled = done.tokens > 0
	case errors.Is(err, apricotway.ErrBackendRefused):
		done.prefilled = done.tokens > 0

		var turnedAway *apricotway.PauseError
		if errors.As(err, &turnedAway) {
			r.inventory.RecordPause(place.server.ID, time.Now(), turnedAway.Pause)
		}
	case errors.Is(err, apricotway.ErrStreamBroken):
		done.started = true

		if ctx.Err() == nil && r.crashed(ctx, place.server) {
			r.crashes.Add(1)
			r.inventory.MarkLost(place.server.ID, time.Now())
			r.suspects.crashed(ctx, digest(request), place.server.ID, done.tokens, a.trial)

			a.trial = false
		}
	}

	if a.trial {
		r.suspects.end(ctx, digest(request), done.finished)
	}

	return err
}

// passTrial clears a suspect once it has passed the position of the crash by trialMargin tokens. The engine and other requests with
// the same digest are then no longer restricted.
func (r *Runner) passTrial(a *attempt) {
	entry := r.suspects.set.Entry(time.Now(), digest(a.request))
	if a.done.tokens < entry.Position+trialMargin {
		return
	}

	a.trial = false
	a.passedTrial.Store(true)
	// The cleared entry is sent to other processes in the background, so that the stream doesn't wait for them.
	go r.suspects.end(context.Background(), digest(a.request), true)
}

// crashed reports whether an engine died without a notice, that is whether its address refuses connections. An engine that still
// answers has only lost a stream, and one that doesn't answer is slow or frozen. The host list is read again, since a notice may be
// newer than the last read.
func (r *Runner) crashed(ctx context.Context, server apricotway.BackendServer) bool {
	if r.announced(server.ID) {
		return false
	}

	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()

	// A call over a connection from before the crash fails with another error, which proves nothing; the next call needs a new
	// connection.
	for {
		_, err := r.engines.Load(ctx, server)
		if errors.Is(err, apricotway.ErrNotSent) {
			break
		}

		if err == nil {
			return false
		}

		if !pause.For(ctx, pollPeriod) {
			return false
		}
	}

	r.inventory.Refresh(ctx)

	return !r.announced(server.ID)
}

// announced reports whether a server was announced as leaving or is no longer in the host list.
func (r *Runner) announced(id apricotway.BackendServerID) bool {
	servers := r.inventory.All()
	index := slices.IndexFunc(servers, func(s apricotway.BackendServer) bool { return s.ID == id })

	return index < 0 || servers[index].State == apricotway.HostLeaving
}

// refuse returns the refusal of a request that did not finish.
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

func quarantined(entry quarantine.Entry, started bool) *apricotway.Refusal {
	refusal := &apricotway.Refusal{
		Code:       apricotway.CodeQuarantined,
		Execution:  apricotway.ExecutionNotStarted,
		Message:    "the request crashed the engines that ran it",
		RetryAfter: time.Until(entry.Until),
	}
	if started {
		refusal.Execution = apricotway.ExecutionUnknown
	}

	return refusal
}
