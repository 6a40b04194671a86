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
	// maxFailures bounds the failed attempts of one request before it is given up. Moves off leaving hosts are no failures.
	maxFailures = 4
	// retryAfter is proposed when no engine can take the request at present.
	retryAfter = time.Second
	// pollPeriod is the time between two looks for an engine, at its load, or at one that refused.
	pollPeriod = 50 * time.Millisecond
	// placeLimit bounds the wait of an accepted request for an engine; a replacement host takes about that long.
	placeLimit = 30 * time.Second
	// probeTimeout bounds the question whether an engine is alive.
	probeTimeout = time.Second
)

// errSink marks an error of the caller's side, which ends the request without another attempt.
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
	// engineLimit bounds the generations of this process on an engine that receives moved ones.
	engineLimit int
	// firstToken and nextToken bound the silence of an engine before and after the first token of an attempt.
	firstToken time.Duration
	nextToken  time.Duration

	usage UsageFunc
	// release returns the rule that divides the requests of a service between versions, if there is one.
	release func(service apricotway.Service) (config.ReleaseSpec, bool)

	dropped    atomic.Int64
	moved      atomic.Int64
	resumed    atomic.Int64
	recomputed atomic.Int64
	crashes    atomic.Int64

	mu sync.Mutex
	// running holds the attempts that have a stream.
	running map[apricotway.AttemptID]*attempt
	// replan is armed while generations are left on leaving hosts.
	replan *time.Timer
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

// WithSuspects sets the suspect requests shared with other processes; without it the runner knows only its own.
func WithSuspects(suspects *Suspects) Option {
	return func(r *Runner) { r.suspects = suspects }
}

// WithCosts sets the estimates for moves off leaving hosts.
func WithCosts(costs resume.Costs) Option {
	return func(r *Runner) { r.costs = costs }
}

// WithEngineLimit bounds the generations of this process on an engine that receives moved ones.
func WithEngineLimit(limit int) Option {
	return func(r *Runner) { r.engineLimit = limit }
}

// WithSilence bounds the silence of an engine before and after the first token of an attempt.
func WithSilence(firstToken, nextToken time.Duration) Option {
	return func(r *Runner) { r.firstToken, r.nextToken = firstToken, nextToken }
}

// WithUsage sets what takes the usage of attempts and of requests.
func WithUsage(usage UsageFunc) Option {
	return func(r *Runner) { r.usage = usage }
}

// WithReleases sets what returns the release rules; without it every version may run every request.
func WithReleases(release func(service apricotway.Service) (config.ReleaseSpec, bool)) Option {
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
		// The prefill of the longest prompts takes tens of seconds; engines slowed down by a factor of 4 still send a token
		// within a second.
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

	inventory.Notify(func([]apricotway.BackendServer) { r.plan() })

	return r
}

// Stats are the counters of a runner.
type Stats struct {
	// Dropped counts tokens that matched no live attempt or repeated an index.
	Dropped int64 `json:"dropped"`
	// Moved counts generations that left a host before its deadline.
	Moved int64 `json:"moved"`
	// Resumed counts the tokens of prompts and answers of resumed generations, which a restart would compute again.
	Resumed int64 `json:"resumed"`
	// Recomputed counts those of them that were prefilled again.
	Recomputed int64 `json:"recomputed"`
	// Crashes counts attempts that ended with an unannounced death of their engine.
	Crashes int64 `json:"crashes"`
}

// Stats returns the counters.
func (r *Runner) Stats() Stats {
	return Stats{
		Dropped: r.dropped.Load(), Moved: r.moved.Load(), Resumed: r.resumed.Load(), Recomputed: r.recomputed.Load(),
		Crashes: r.crashes.Load(),
	}
}

// progress is what exists of an answer. It belongs to the goroutine that runs the request.
type progress struct {
	text   strings.Builder
	tokens int
	// version is the model version that generated the text so far; empty before the first token.
	version apricotway.ModelVersion
	// started is set once an engine may have begun to run the request.
	started bool
	// prefilled is set once an engine has begun to work on the prompt; from then on a new attempt recomputes.
	prefilled bool
	excluded  []apricotway.BackendServerID
	finished  bool
	// server ran the last attempt that was sent.
	server apricotway.BackendServer
	// next is the engine to which the generation moves.
	next target
}

// target is an engine that was chosen for the next attempt.
type target struct {
	server apricotway.BackendServerID
	// handle names the KV cache that the engine holds for the request, covered the answer's tokens that it includes.
	handle  string
	covered int
}

// Run runs the request and hands its tokens to the sink. It returns nil once the whole answer was delivered, and a Refusal
// otherwise.
func (r *Runner) Run(ctx context.Context, request Request, sink Sink) error {
	_, err := r.Continue(ctx, request, Delivered{}, func(token apricotway.Token, _ apricotway.ModelVersion) error {
		return sink(token)
	})

	return err
}

// Continue runs the rest of a request behind the delivered part. It returns the engine of the last attempt that was sent.
func (r *Runner) Continue(
	ctx context.Context, request Request, delivered Delivered, sink VersionedSink,
) (apricotway.BackendServer, error) {
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()

	done := &progress{tokens: delivered.Tokens, version: delivered.Version, prefilled: delivered.Tokens > 0}
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

	return done.server, refuse(ctx, done, last)
}

// moving reports whether an attempt ended because its generation goes on elsewhere: it was moved, its host was taken away
// after a notice, or the target did not import the KV cache, in which case the target prefills.
func (r *Runner) moving(done *progress, place placement, last error) bool {
	switch {
	case errors.Is(last, errMoved):
		return true
	case place.handle != "" && errors.Is(last, apricotway.ErrBackendRefused):
		r.logger.Info("import refused", "event", 305, "server", place.server.ID, "error", last.Error())
		done.next = target{server: place.server.ID}

		return true
	case r.announced(place.server.ID) && !errors.Is(last, apricotway.ErrBackendRefused):
		done.excluded = append(done.excluded, place.server.ID)
		return true
	default:
		return false
	}
}

// attempt runs one attempt and judges its end.
func (r *Runner) attempt(ctx context.Context, request Request, place placement, done *progress, sink VersionedSink) error {
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

// passTrial clears a suspect that has gone past the position of the crash. The digest's other requests and the engine are
// free from then on.
func (r *Runner) passTrial(a *attempt) {
	entry := r.suspects.set.Entry(time.Now(), digest(a.request))
	if a.done.tokens < entry.Position+trialMargin {
		return
	}

	a.trial = false
	a.proven.Store(true)
	// The entry spreads apart from the stream, which does not wait for other processes.
	go r.suspects.end(context.Background(), digest(a.request), true)
}

// crashed reports whether an engine died without a notice. An engine that still answers only lost a stream, and one that
// is silent is slow or frozen. The host list is read again, since the notice may be newer than the last reading.
func (r *Runner) crashed(ctx context.Context, server apricotway.BackendServer) bool {
	if r.announced(server.ID) {
		return false
	}

	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()

	// A question over a connection from before the death fails without a proof; later ones need a new connection.
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

// announced reports whether the end of a server was announced.
func (r *Runner) announced(id apricotway.BackendServerID) bool {
	servers := r.inventory.All()
	index := slices.IndexFunc(servers, func(s apricotway.BackendServer) bool { return s.ID == id })

	return index < 0 || servers[index].State == apricotway.HostLeaving
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
