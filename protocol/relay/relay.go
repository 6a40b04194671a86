// Package relay forwards calls to backend servers: it finds the route, checks the key and the limits, chooses a server, sends the
// call, retries it where that is allowed, and passes the answer on byte for byte.
package relay

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/internal/bodybuffer"
	"github.com/apricotway/apricotway/state/bodybudget"
	"github.com/apricotway/apricotway/state/dispatch"
	"github.com/apricotway/apricotway/state/duration"
	"github.com/apricotway/apricotway/state/fairshare"
	"github.com/apricotway/apricotway/state/origin"
	"github.com/apricotway/apricotway/state/quarantine"
	"github.com/apricotway/apricotway/state/retrybudget"
	"github.com/apricotway/apricotway/state/route"
	"github.com/apricotway/apricotway/state/tally"
)

const (
	// defaultTimeout bounds a call when neither its caller nor its route states a timeout.
	defaultTimeout = time.Minute
	// DefaultBodyBytes is the largest body when the configuration states no limit.
	DefaultBodyBytes = 4 << 20
	// bodyTimeout bounds the time for reading a body; an earlier deadline of the call applies first.
	bodyTimeout = 10 * time.Second
	// retryAfterUnavailable is the Retry-After while the process knows no configuration, and of calls whose time is used up.
	retryAfterUnavailable = 500 * time.Millisecond
	// retryAfterStaleKeys is the Retry-After while the configuration is too old to tell whether keys are still valid.
	retryAfterStaleKeys = time.Second
	// retryAfterOutdatedConfiguration is the Retry-After of a process that may lack the newest configuration. Other processes have it.
	retryAfterOutdatedConfiguration = 100 * time.Millisecond
	// unreadBodyTime is how long the answer to a call that is refused before its body was read may wait for the body.
	unreadBodyTime = 200 * time.Millisecond
	// writeReserve is the time after a call's deadline, or after its answer has begun, in which the answer can still be written.
	writeReserve = time.Second
	// maxAnswerBuffer bounds in bytes the part of one answer that is buffered before it is passed on. The rest of a longer answer
	// is passed on as it arrives.
	maxAnswerBuffer = 1 << 20
	// maxTotalBuffer bounds in bytes what all calls together buffer. The smallest supported hosts have 184 MB of memory.
	maxTotalBuffer = 4 << 20
	// defaultBodies bounds in bytes the bodies of all calls if no budget is given.
	defaultBodies = 64 << 20
	// minRemaining is the least time before the deadline with which a call is still sent.
	minRemaining = 5 * time.Millisecond
)

// Catalog provides the newest configuration that the process knows.
type Catalog interface {
	// Table returns the newest route table, nil while none is known.
	Table() *route.Table
	// AwaitKeys reports whether the configuration was confirmed recently enough to decide whether a key is valid. It may wait a little
	// until it is; Table returns the confirmed one from then on.
	AwaitKeys(ctx context.Context) bool
	// Outdated reports whether a newer configuration has been known for so long that the one of Table must decide nothing.
	Outdated() bool
	// AwaitCurrent reports whether a call may be refused for good because Table lacks its route or key. It may wait a little until that is so;
	// Table then returns the newest configuration.
	AwaitCurrent(ctx context.Context) bool
}

// Limiter enforces the rate limits of workspaces over all processes.
type Limiter interface {
	// Take charges the cost of one call. When the limit doesn't allow it, Take returns false and the time after which a retry
	// may succeed.
	Take(ctx context.Context, workspace apricotway.Workspace, cost float64) (time.Duration, bool)
	// Return refunds the cost of a call that did not run.
	Return(workspace apricotway.Workspace, cost float64)
}

// Quarantine tracks the contents of calls that crash backend servers, given as fingerprints of their parts and of the whole.
type Quarantine interface {
	// HasSuspects reports whether any content is suspected at present; while it is false, whole contents need not be hashed.
	HasSuspects() bool
	// Refuses reports whether a call with a content must not be sent.
	Refuses(content []quarantine.Fingerprint) bool
	// RecordBroken records that the server of a call may have crashed on it: the connection broke before the answer had begun, or in the
	// middle of it and the server has crashed.
	RecordBroken(content []quarantine.Fingerprint, server apricotway.BackendServerID)
	// RecordAnswered records that a server has begun to answer a content without crashing, which clears it of suspicion.
	RecordAnswered(content []quarantine.Fingerprint)
}

// Cuts tells servers that crashed in the middle of an answer from those that cut it for another reason.
type Cuts interface {
	// RecordCut records that an answer of a server was cut, and calls a function once it is known that the server has crashed.
	RecordCut(at time.Time, server apricotway.Backend, report func())
}

// Metrics records the results and retries of calls.
type Metrics interface {
	// CallEnded records a finished call by route and result, with its duration.
	CallEnded(route string, result string, took time.Duration)
	// CallRetried counts a retry of a call by its reason.
	CallRetried(service apricotway.Service, reason string)
	// CallHeld counts a call that was held because the servers are brittle or have just rejected calls, and whether it was sent then.
	CallHeld(service apricotway.Service, sent bool)
	// StreamTakenUp counts the end of a call that takes up a stream, by its result.
	StreamTakenUp(result string)
	// LimitedSend counts a send to a server that states a limit on its requests.
	LimitedSend(service apricotway.Service)
}

// Origins tells where streams began, so that only servers that fit continue them.
type Origins interface {
	// Began records that a server sent the first event of the stream that an attempt began. It returns whether other processes know it.
	Began(now time.Time, attempt apricotway.AttemptID, server apricotway.Backend) origin.Sharing
	// Settle waits until other processes can learn what was recorded of a stream, or until it is known that they can't.
	Settle(ctx context.Context, attempt apricotway.AttemptID)
	// Find returns the origin of a stream that its caller takes up. The attempt is empty if the caller doesn't name it.
	Find(ctx context.Context, service apricotway.Service, attempt apricotway.AttemptID) origin.Origin
	// Await makes sure, within a short time, that it is known whether the list of backend servers is up to date.
	Await(ctx context.Context)
	// Recorded returns the origin of a stream that this process has recorded, as far as it knows now.
	Recorded(attempt apricotway.AttemptID) (origin.Origin, bool)
}

// Detours tells whether this process has lost its paths to the backend servers, and which other process reaches them.
type Detours interface {
	// Lost reports whether the paths are lost.
	Lost() bool
	// Silent records that a server did not answer a call in time.
	Silent(now time.Time)
	// ReportFailure calls a function that blames servers for what has just happened, unless the own paths were lost.
	ReportFailure(now time.Time, report func())
	// Next returns a process that reaches the servers, other than those to avoid.
	Next(avoid []apricotway.NodeID) (apricotway.Member, bool)
	// Failed records that a process could not pass a call on.
	Failed(node apricotway.NodeID)
}

// Relay forwards calls. It is safe for concurrent use.
type Relay struct {
	dialect  apricotway.Dialect
	upstream apricotway.Upstream
	catalog  Catalog
	pool     *dispatch.Pool
	limiter  Limiter
	budget   *retrybudget.Budget
	tally    *tally.Counter

	mover   apricotway.RunMover
	origins Origins
	detours Detours
	// processes holds the connections to other processes, which pass calls on.
	processes    apricotway.Upstream
	quarantine   Quarantine
	cuts         Cuts
	metrics      Metrics
	logger       logr.Logger
	stop         func() (limit time.Time, stopping bool)
	bodyLimit    func(*route.Table) int64
	now          func() time.Time
	bufferBudget *bodybuffer.Budget
	bodies       *bodybudget.Budget
	inFlight     inFlight
	durations    *duration.Estimator
	// gate admits calls to overloaded services; nil admits all.
	gate *fairshare.Gate
	// patience is the shortest gap in a stream after which callers abandon it.
	patience time.Duration
}

var _ http.Handler = (*Relay)(nil)

// Option changes a relay under construction.
type Option func(*Relay)

// WithLogger sets the logger. Without it nothing is logged.
func WithLogger(logger logr.Logger) Option { return func(r *Relay) { r.logger = logger } }

// WithMetrics sets the recorder of results and retries.
func WithMetrics(metrics Metrics) Option { return func(r *Relay) { r.metrics = metrics } }

// WithQuarantine sets the quarantine of calls that crash servers. Without it no call is quarantined.
func WithQuarantine(quarantine Quarantine) Option {
	return func(r *Relay) { r.quarantine = quarantine }
}

// WithCuts sets what tells crashes from other reasons for which answers are cut. Without it each cut counts as a crash.
func WithCuts(cuts Cuts) Option { return func(r *Relay) { r.cuts = cuts } }

// WithMover sets the mover that takes running streams off engines that leave. Without it they run until the engine stops.
func WithMover(mover apricotway.RunMover) Option { return func(r *Relay) { r.mover = mover } }

// WithOrigins sets what tells where streams began. Without it the relay knows only its own streams.
func WithOrigins(origins Origins) Option { return func(r *Relay) { r.origins = origins } }

// WithDetours sets what tells when calls have to go through other processes, and the connections to these. Without it none do.
func WithDetours(detours Detours, processes apricotway.Upstream) Option {
	return func(r *Relay) { r.detours, r.processes = detours, processes }
}

// WithPatience sets the shortest gap in a stream after which callers abandon it. It is 2 s by default.
func WithPatience(patience time.Duration) Option { return func(r *Relay) { r.patience = patience } }

// WithStop sets the check whether the process is stopping, and until when calls may run. Answers then close the connection, so that
// callers don't reuse it, and calls that would not end in time are refused.
func WithStop(stop func() (limit time.Time, stopping bool)) Option {
	return func(r *Relay) { r.stop = stop }
}

// WithBodyLimit sets what returns the largest body in bytes that callers may send. Without it the configuration of the call decides.
func WithBodyLimit(limit func() int64) Option {
	return func(r *Relay) { r.bodyLimit = func(*route.Table) int64 { return limit() } }
}

// WithBodies sets the budget for the memory of the bodies of all calls.
func WithBodies(bodies *bodybudget.Budget) Option { return func(r *Relay) { r.bodies = bodies } }

// configuredBodyLimit returns the largest body in bytes under a configuration.
func configuredBodyLimit(table *route.Table) int64 {
	if table.Limits.BodyBytes > 0 {
		return table.Limits.BodyBytes
	}

	return DefaultBodyBytes
}

// New returns a relay.
func New(
	dialect apricotway.Dialect, upstream apricotway.Upstream, catalog Catalog, pool *dispatch.Pool, limiter Limiter,
	budget *retrybudget.Budget, began *tally.Counter, options ...Option,
) *Relay {
	r := &Relay{
		dialect: dialect, upstream: upstream, catalog: catalog, pool: pool, limiter: limiter, budget: budget, tally: began,
		quarantine: noQuarantine{}, cuts: crashes{}, metrics: noMetrics{}, logger: logr.Discard(),
		stop: func() (time.Time, bool) { return time.Time{}, false }, bodyLimit: configuredBodyLimit, now: time.Now,
		inFlight: inFlight{calls: map[*call]struct{}{}}, durations: duration.New(durationWindow), origins: localOrigins{pool.Origins()},
		detours: noDetours{}, patience: defaultPatience, bufferBudget: bodybuffer.New(bodybuffer.WithEach(maxAnswerBuffer), bodybuffer.WithTotal(maxTotalBuffer)),
		bodies: bodybudget.New(defaultBodies),
	}
	for _, option := range options {
		option(r)
	}

	return r
}

// localOrigins are the origins that this process has seen.
type localOrigins struct{ register *origin.Register }

func (o localOrigins) Began(now time.Time, attempt apricotway.AttemptID, server apricotway.Backend) origin.Sharing {
	o.register.Begin(now, origin.StreamOf(attempt), server)

	return origin.SharingNone
}

func (localOrigins) Settle(context.Context, apricotway.AttemptID) {}

func (o localOrigins) Find(_ context.Context, service apricotway.Service, attempt apricotway.AttemptID) origin.Origin {
	found, _ := o.register.Find(time.Now(), 0, service, origin.StreamOf(attempt))
	return found
}

func (localOrigins) Await(context.Context) {}

func (o localOrigins) Recorded(attempt apricotway.AttemptID) (origin.Origin, bool) {
	return o.register.Recorded(origin.StreamOf(attempt))
}

type noDetours struct{}

func (noDetours) Lost() bool       { return false }
func (noDetours) Silent(time.Time) {}

func (noDetours) ReportFailure(_ time.Time, report func()) { report() }

func (noDetours) Next([]apricotway.NodeID) (apricotway.Member, bool) {
	return apricotway.Member{}, false
}
func (noDetours) Failed(apricotway.NodeID) {}

type noQuarantine struct{}

func (noQuarantine) HasSuspects() bool { return false }

func (noQuarantine) Refuses([]quarantine.Fingerprint) bool                             { return false }
func (noQuarantine) RecordBroken([]quarantine.Fingerprint, apricotway.BackendServerID) {}
func (noQuarantine) RecordAnswered([]quarantine.Fingerprint)                           {}

// crashes takes each cut for a crash.
type crashes struct{}

func (crashes) RecordCut(_ time.Time, _ apricotway.Backend, report func()) { report() }

type noMetrics struct{}

func (noMetrics) CallEnded(string, string, time.Duration) {}
func (noMetrics) CallRetried(apricotway.Service, string)  {}
func (noMetrics) LimitedSend(apricotway.Service)          {}
func (noMetrics) CallHeld(apricotway.Service, bool)       {}
func (noMetrics) StreamTakenUp(string)                    {}

// call is the state of one call while it is forwarded.
type call struct {
	relay    *Relay
	writer   http.ResponseWriter
	request  *http.Request
	metadata apricotway.CallMetadata
	// body is nil until it has been read whole.
	body []byte
	// held is the memory that body takes until the end of the call; nil for none.
	held *bodybudget.Body
	// digest is the fingerprint of the whole content. It is computed once it is needed.
	digest     quarantine.Fingerprint
	digestOnce sync.Once
	// events counts the reads of a stream that had a complete event. acquitted is set once the quarantine knows that the call was
	// answered.
	events    int
	acquitted atomic.Bool

	arrived  time.Time
	deadline time.Time

	table     *route.Table
	route     *apricotway.Route
	workspace *apricotway.WorkspaceRule
	service   apricotway.Service
	// cost is what the call was charged against its workspace's limit.
	cost float64

	// detoured is set when another process passed the call on to this one. helpers lists the processes that got the call from this one.
	detoured bool
	helpers  []apricotway.NodeID
	// charged is set while the workspace's limit is charged with cost.
	charged bool

	// sends counts the attempts in which the call may have run. tried lists every server to which it was sent, and versions their software
	// versions.
	sends    int
	tried    []apricotway.BackendServerID
	versions []apricotway.SoftwareVersion
	// turnedAway lists the brittle servers that turned the call away for want of room. They don't get it again.
	turnedAway []apricotway.BackendServerID
	// origin is the beginning of the stream that a further server has to continue. It is the zero value before the answer has begun.
	origin origin.Origin
	// steps lists for the log how each attempt ended.
	steps []string
	// buffer holds an answer until it is complete.
	buffer bodybuffer.Buffer
	// usageCounted is set once the call was counted in its workspace's usage.
	usageCounted bool
	// answering is set once the header of an answer has been written.
	answering bool
	// form is how the answer of a server reached the caller, and status is its status; zero without one.
	form   answerForm
	status int
	// writeDeadline is the write deadline of the caller's connection.
	writeDeadline time.Time
	// expectedWait is the estimate, made at the last attempt, of the time until the answer begins. beganAt is when it began.
	expectedWait time.Duration
	beganAt      time.Time
	progress     progress
	// orders are the orders to move runs of the call.
	orders []*moveOrder
	// closeDelimited is set while a stream is passed on that ends with the connection of its server.
	closeDelimited bool
}

// ServeHTTP forwards one call and writes its answer or refusal. It implements http.Handler.
func (r *Relay) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	c := &call{relay: r, writer: w, request: request, arrived: r.now(), buffer: r.bufferBudget.Buffer()}
	defer c.buffer.Release()

	defer func() {
		if c.held != nil {
			c.held.Release()
		}
	}()

	r.inFlight.add(c)
	defer r.inFlight.remove(c)

	ended := false

	defer func() {
		if !ended {
			c.answerFault()
		}
	}()

	c.serve(request.Context())

	ended = true
}

// serve admits the call and forwards it.
func (c *call) serve(ctx context.Context) {
	c.boundWrites(defaultTimeout)

	if refusal := c.admit(ctx); refusal != nil {
		c.refuse(refusal)
		return
	}

	c.boundWrites(c.deadline.Sub(c.arrived))

	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()

	c.forward(ctx)
}

// answerFault answers a call that panics before its answer has begun: net/http closes the connection of a handler that panics without
// writing what it has buffered.
func (c *call) answerFault() {
	if c.answering {
		return
	}

	c.closeConnection()

	if len(c.tried) == 0 && len(c.helpers) == 0 {
		c.refuse(&refusal{
			status: http.StatusServiceUnavailable, reason: reasonFault, retryAfter: retryAfterUnavailable,
			message: "the process failed to handle the call",
		})
	} else {
		c.refuse(&refusal{status: http.StatusBadGateway, reason: reasonFault, message: "the outcome of the call is unknown"})
	}

	// A flush fails only when the caller has left.
	_ = http.NewResponseController(c.writer).Flush()
}

// boundWrites sets the write deadline of the caller's connection, which ends the connection of a caller that doesn't read its
// answer in time. It replaces the deadline of an earlier call on the connection.
func (c *call) boundWrites(timeout time.Duration) {
	c.writeDeadline = c.arrived.Add(timeout + writeReserve)
	// A writer that doesn't support deadlines, as in tests, has no write timeout.
	_ = http.NewResponseController(c.writer).SetWriteDeadline(c.writeDeadline)
}

// beginAnswer records that the header of an answer is written. After a standstill of the process the time of the call may be over by then;
// its answer still gets the reserve.
func (c *call) beginAnswer() {
	c.answering = true

	if least := c.relay.now().Add(writeReserve); least.After(c.writeDeadline) {
		c.writeDeadline = least
		// As in boundWrites.
		_ = http.NewResponseController(c.writer).SetWriteDeadline(least)
	}
}

// boundUnreadBody bounds the time for which the HTTP server waits for a body that has not been read: it reads the rest before it writes an
// answer, and closes the connection if that fails.
func (c *call) boundUnreadBody() {
	if c.body == nil && c.request.ContentLength != 0 {
		// A writer that doesn't support deadlines, as in tests, has no read timeout.
		_ = http.NewResponseController(c.writer).SetReadDeadline(c.relay.now().Add(unreadBodyTime))
	}
}

// forward sends the call, with retries, until it has a final answer.
func (c *call) forward(ctx context.Context) {
	if c.detour(ctx) {
		return
	}

	c.chooseService(ctx)

	if refused := c.admitShare(); refused != nil {
		c.refuseNotRun(refused)
		return
	}

	c.relay.budget.AddCall(c.arrived, c.service)

	var next *replacement

	for {
		var send *dispatch.Send

		if next != nil {
			send = next.send
		} else {
			var refused *refusal
			if send, refused = c.chooseServer(ctx); refused != nil {
				c.refuseNotRun(refused)
				return
			}
		}

		c.expectedWait = send.Expected

		result := c.attemptNext(ctx, send, next)
		next = result.next
		c.steps = append(c.steps, result.reason)

		switch result.step {
		case stepAnswered:
			return
		case stepRetry:
			if next != nil && next.resumption == nil && c.quarantined() {
				c.relay.release(c.service, next)
				c.fail(ctx, result)

				return
			}

			if next == nil && c.mayRunAgain(result) && c.detour(ctx) {
				return
			}

			if next != nil || c.mayRetry(ctx, result) {
				c.countRetry(result.reason, next)
				continue
			}

			c.fail(ctx, result)

			return
		case stepFail:
			c.fail(ctx, result)
			return
		}
	}
}

// countRetry counts a retry. An offer was counted when it was sent.
func (c *call) countRetry(reason string, next *replacement) {
	if next == nil || next.resumption == nil {
		c.relay.metrics.CallRetried(c.service, reason)
	}
}

// mayRetry reports whether the call may be sent again after an attempt. It takes the retry from the retry budget.
func (c *call) mayRetry(ctx context.Context, result attemptResult) bool {
	if ctx.Err() != nil || c.deadline.Sub(c.relay.now()) < minRemaining {
		return false
	}

	// A server that turns the call away in an answer that can't be passed on need not be full.
	if !c.mayRunAgain(result) || result.declined && len(c.tried) >= maxUnreachable {
		return false
	}

	// A send that reached no server adds no load to the service, so it doesn't count against the retry budget.
	if !result.arrived {
		return len(c.tried) < maxUnreachable && !c.relay.detours.Lost()
	}

	return c.relay.budget.Take(c.relay.now(), c.service)
}

// mayRunAgain reports whether the route and the content of the call allow another run after an attempt.
func (c *call) mayRunAgain(result attemptResult) bool {
	return !result.mayHaveRun || c.route.Repeatable() && c.sends < c.route.MaxAttempts && !c.quarantined()
}

// maxUnreachable bounds the servers that one call tries while they cannot be reached, or turn it away in answers that can't be passed on.
const maxUnreachable = 4

// fail refuses a call whose last attempt failed.
func (c *call) fail(ctx context.Context, last attemptResult) {
	switch {
	case c.sends == 0 && aborted(ctx):
		c.refuseNotRun(&refusal{
			status: http.StatusServiceUnavailable, reason: reasonStopping, retryAfter: retryAfterStopping,
			message: "the process is stopping; use another address",
		})
	case c.sends == 0:
		c.refuseNotRun(&refusal{
			status: http.StatusServiceUnavailable, reason: last.reason, retryAfter: c.retryAfterRejection(),
			message: "no backend server took the call",
		})
	case aborted(ctx):
		c.refuse(&refusal{
			status: http.StatusBadGateway, reason: reasonStopping, message: "the process stopped; the outcome of the call is unknown",
		})
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		c.refuse(&refusal{status: http.StatusGatewayTimeout, reason: "timeout", message: "no answer in time"})
	default:
		c.refuse(&refusal{status: http.StatusBadGateway, reason: last.reason, message: "the outcome of the call is unknown"})
	}
}

// retryAfterRejection is the Retry-After of a call that servers rejected for lack of a free slot. A slot frees within about the
// duration of a stream.
const retryAfterRejection = 400 * time.Millisecond

// retryAfterRejection returns the Retry-After of a call that servers rejected: the time until the first of them is back if all have named
// pauses and it is back within the time of the call.
func (c *call) retryAfterRejection() time.Duration {
	now := c.relay.now()

	if c.shared() {
		if _, room := c.relay.gate.Shedding(now, c.service, nil); room > 0 {
			return c.relay.gate.RetryAfter(c.class(), room, c.deadline.Sub(now))
		}
	}

	wait := c.relay.pool.PauseWait(now, c.service)
	if wait > c.deadline.Sub(now) {
		return retryAfterRejection
	}

	return max(wait, retryAfterRejection)
}

// refuseNotRun refuses a call that has not run and refunds its cost. For a call that may have run it answers that the outcome is
// unknown.
func (c *call) refuseNotRun(refused *refusal) {
	if c.sends > 0 {
		c.refuse(&refusal{status: http.StatusBadGateway, reason: refused.reason, message: "the outcome of the call is unknown"})
		return
	}

	if c.detoured && c.relay.detours.Lost() {
		c.writer.Header().Set(headerDetour, detourLost)
	}

	c.refund()
	c.refuse(refused)
}

// refund returns what the call was charged.
func (c *call) refund() {
	if c.charged {
		c.charged = false
		c.relay.limiter.Return(c.workspace.Name, c.cost)
	}
}

func (c *call) workspaceName() apricotway.Workspace {
	if c.workspace == nil {
		return ""
	}

	return c.workspace.Name
}

// countUsage counts the call once in its workspace's usage, at the time when its answer began.
func (c *call) countUsage(at time.Time) {
	if c.usageCounted || c.workspace == nil {
		return
	}

	c.usageCounted = true
	c.beganAt = at
	c.progress.began(at)
	c.relay.tally.Add(at, c.workspace.Name)
}
