package completion

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"github.com/thejerf/suture/v4"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/internal/guard"
)

// errPanicked is the error that the caller gets when the run of a request panicked. It hides the panic's details.
var errPanicked = errors.New("internal error")

// Times are the timeouts and periods of Requests.
type Times struct {
	// ReaderGrace is how long a request runs without a reader before it is cancelled.
	ReaderGrace time.Duration
	// Retention is how long an answer is kept after its request ended.
	Retention time.Duration
	// Batch is the time between two batches of progress to the holders of copies.
	Batch time.Duration
	// Copy bounds one call that copies a request or its progress.
	Copy time.Duration
	// Search bounds the search for the copy of a request that another process accepted.
	Search time.Duration
}

// DefaultTimes returns the times that apply unless WithTimes sets others.
func DefaultTimes() Times {
	return Times{
		ReaderGrace: 30 * time.Second,
		Retention:   time.Minute,
		// A takeover generates the tokens since the last batch again: 5 tokens at 20 ms each.
		Batch:  100 * time.Millisecond,
		Copy:   500 * time.Millisecond,
		Search: 2 * time.Second,
	}
}

// Requests runs the accepted requests of a process independently of their callers' connections.
type Requests struct {
	runner *Runner
	logger logr.Logger
	times  Times
	// peers is nil in a process without others; requests then have no copies.
	peers      apricotway.Peers
	membership apricotway.Membership
	// base is the parent of the contexts in which requests run.
	base   context.Context
	cancel context.CancelFunc

	mu sync.Mutex
	// live holds the requests that this process runs, and those that ended within Times.Retention.
	live map[apricotway.RequestID]*Answer
	// copies holds the copies of requests that other processes run.
	copies map[apricotway.RequestID]*replica
	// flushing is set while flushInBackground runs a flush.
	flushing bool
}

// RequestsOption changes the requests under construction.
type RequestsOption func(*Requests)

// WithTimes sets the timeouts and periods.
func WithTimes(times Times) RequestsOption {
	return func(s *Requests) { s.times = times }
}

// WithRequestsLogger sets the logger.
func WithRequestsLogger(logger logr.Logger) RequestsOption {
	return func(s *Requests) { s.logger = logger }
}

// WithCopies makes Requests copy each request to a peer and take over the requests of peers. Without it requests have no copies.
func WithCopies(
	peers apricotway.Peers, registry apricotway.PeerRegistry, membership apricotway.Membership,
) RequestsOption {
	return func(s *Requests) {
		s.peers, s.membership = peers, membership
		s.registerHandlers(registry)
	}
}

// NewRequests returns the requests of a process and adds their periodic maintenance to the supervisor.
func NewRequests(supervisor *suture.Supervisor, runner *Runner, options ...RequestsOption) *Requests {
	s := &Requests{
		runner: runner,
		logger: logr.Discard(),
		times:  DefaultTimes(),
		live:   map[apricotway.RequestID]*Answer{},
		copies: map[apricotway.RequestID]*replica{},
	}
	s.base, s.cancel = context.WithCancel(context.Background())

	for _, option := range options {
		option(s)
	}

	supervisor.Add(apricotway.ServiceFunc{Name: "requests", Func: func(ctx context.Context) error {
		ticker := time.NewTicker(s.times.Batch)
		defer ticker.Stop()

		for {
			select {
			case <-ctx.Done():
				s.cancel()
				return ctx.Err()
			case now := <-ticker.C:
				s.sweep(now) //nolint:contextcheck // the request outlives this call
				s.flushInBackground(ctx)
			}
		}
	}})

	return s
}

// Answer is an accepted request with the part of its answer that was generated so far.
type Answer struct {
	requests *Requests
	request  Request
	// term counts the takeovers that led to this run of the request.
	term   uint64
	cancel context.CancelFunc
	// copied is closed once the first try to copy the request has ended, with or without success.
	copied chan struct{}
	// fresh is set for a request that came from its caller. A request that was taken over needs no admission, since it was
	// admitted before.
	fresh bool

	mu sync.Mutex
	// tokens are the answer's tokens so far, from index 0.
	tokens  transcript
	lineage apricotway.Lineage
	// err is the refusal of a request that ended without a complete answer.
	err   *apricotway.Refusal
	ended time.Time
	// moved is set when another process has taken over the request.
	moved bool
	// changed is closed and replaced whenever one of the fields above changes.
	changed chan struct{}

	readers int
	// unread is the time since when there has been no reader.
	unread time.Time
	// known is set once a reader got a token, and with it the request's id, which a caller needs to reconnect.
	known bool
	// received is set once a reader got the complete answer.
	received bool

	// holder is the member that holds the copy; its Peers address is invalid when there is no copy. copiedTokens is the number of
	// tokens in the copy.
	holder       apricotway.Member
	copiedTokens int
	// failed are the members that failed to take or update the copy.
	failed []apricotway.NodeID
	// nextCopy is the time of the next try to copy when no member took the copy.
	nextCopy time.Time
}

// Request returns the request.
func (a *Answer) Request() Request { return a.request }

// Start accepts a request and begins to run it. A refusal is returned by Read.
func (s *Requests) Start(request Request) *Answer {
	a := s.newAnswer(request)
	a.fresh = true
	s.run(a)

	s.mu.Lock()
	s.live[request.ID] = a
	s.mu.Unlock()

	go func() {
		defer close(a.copied)

		s.copyToPeer(a)
	}()

	return a
}

func (s *Requests) newAnswer(request Request) *Answer {
	return &Answer{
		requests: s, request: request, copied: make(chan struct{}), changed: make(chan struct{}), unread: time.Now(),
	}
}

// run starts the generation after the tokens that exist already.
func (s *Requests) run(a *Answer) {
	ctx, cancel := context.WithCancel(s.base)
	a.cancel = cancel

	delivered := Delivered{
		Text: string(a.tokens.text), Tokens: a.tokens.len(), Lineage: a.lineage, Admitted: !a.fresh,
	}

	go func() {
		defer cancel()

		var server apricotway.BackendServer

		err := guard.Call(func() (err error) {
			server, err = s.runner.Continue(ctx, a.request, delivered, a.append)
			return err
		})
		if errors.Is(err, guard.ErrPanic) {
			s.runner.logger.Error(err, "request panicked", "event", 324, "request", a.request.ID)
			err = errPanicked
		}

		a.countUsage(server, err)

		if err != nil && s.base.Err() != nil {
			err = leaving()
		}

		a.end(err, false)
	}()
}

// append is the sink of the request's run.
func (a *Answer) append(token apricotway.Token, lineage apricotway.Lineage) error {
	a.mu.Lock()
	defer a.mu.Unlock()

	a.lineage = lineage
	a.tokens.append(token)
	a.signal()

	return nil
}

// end marks the request as ended. Only the first call has an effect.
func (a *Answer) end(err error, moved bool) {
	a.mu.Lock()
	defer a.mu.Unlock()

	if !a.ended.IsZero() {
		return
	}

	a.ended, a.moved = time.Now(), moved
	if err != nil {
		a.err = apricotway.AsRefusal(err)
	}

	a.signal()
}

// signal wakes the readers. The caller holds the answer's lock.
func (a *Answer) signal() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// move ends the request in this process because another process has taken it over.
func (a *Answer) move() {
	a.end(leaving(), true)
	a.cancel()
}

// abandon cancels a request whose answer has no reader.
func (a *Answer) abandon() {
	a.end(&apricotway.Refusal{
		Code:      apricotway.CodeRequestNotFound,
		Execution: apricotway.ExecutionUnknown,
		Message:   "the request was cancelled, since nobody read its answer",
	}, false)
	a.cancel()
}

// leaving returns the refusal of a request that this process no longer runs.
func leaving() *apricotway.Refusal {
	return &apricotway.Refusal{
		Code:       apricotway.CodeLeaving,
		Execution:  apricotway.ExecutionUnknown,
		Message:    "this process no longer runs the request; reconnect with Last-Event-ID",
		RetryAfter: retryAfter,
	}
}

// Read passes the tokens from the given index on to the sink until the answer is complete. It returns a Refusal when the request
// ended without a complete answer, and otherwise the error of the context or the sink that ended the reading.
func (a *Answer) Read(ctx context.Context, from int, sink Sink) error {
	a.mu.Lock()
	a.readers++
	a.mu.Unlock()

	defer a.removeReader()

	select {
	case <-a.copied:
	case <-ctx.Done():
		return ctx.Err()
	}

	for {
		a.mu.Lock()
		tokens := a.tokens.tokensFrom(from)
		ended, refusal, changed := !a.ended.IsZero(), a.err, a.changed
		a.mu.Unlock()

		for _, token := range tokens {
			if err := sink(token); err != nil {
				return err
			}

			a.mu.Lock()
			a.known = true
			a.mu.Unlock()

			from++
		}

		if ended {
			if refusal != nil {
				return refusal
			}

			a.mu.Lock()
			a.received = true
			a.mu.Unlock()

			return nil
		}

		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// removeReader records that a reader has left. A request is cancelled at once when its last reader left and its caller can't
// reconnect: the answer is not a stream, or the caller never got the request's id.
func (a *Answer) removeReader() {
	a.mu.Lock()
	a.readers--

	if a.readers == 0 {
		a.unread = time.Now()
	}

	abandoned := a.readers == 0 && a.ended.IsZero() && (!a.known || !a.request.Form.Stream)
	a.mu.Unlock()

	if abandoned {
		a.abandon()
	}
}

// notFound returns the refusal of a request that isn't known. Requests of other workspaces get the same one, so that it doesn't
// disclose whether they exist.
func notFound() *apricotway.Refusal {
	return &apricotway.Refusal{
		Code:      apricotway.CodeRequestNotFound,
		Execution: apricotway.ExecutionUnknown,
		Message:   "no such request is known; it has ended, or its process and its copy are gone",
	}
}

// Resume returns the answer of a request that this or another process accepted before. It finds only requests of the given
// workspace.
func (s *Requests) Resume(
	ctx context.Context, workspace apricotway.Workspace, id apricotway.RequestID,
) (*Answer, error) {
	s.mu.Lock()
	a, ok := s.live[id]
	s.mu.Unlock()

	if ok {
		a.mu.Lock()
		moved := a.moved
		a.mu.Unlock()

		if a.request.Workspace != workspace {
			return nil, notFound()
		}

		if !moved {
			return a, nil
		}
	}

	a, err := s.search(ctx, workspace, id)
	if err != nil {
		return nil, err
	}

	return a, nil
}

// sweep cancels requests that have been without a reader for too long, forgets ended ones after the retention and takes over those
// of dead processes.
func (s *Requests) sweep(now time.Time) {
	s.runner.suspects.set.Sweep(now)

	s.mu.Lock()

	for id, a := range s.live {
		a.mu.Lock()
		unread := a.readers == 0 && now.Sub(a.unread) >= s.times.ReaderGrace
		over := !a.ended.IsZero() && now.Sub(a.ended) >= s.times.Retention
		running := a.ended.IsZero()
		a.mu.Unlock()

		if running && unread {
			s.logger.Info("request without a reader cancelled", "event", 311, "request", id)
			a.abandon()
		}

		if over {
			delete(s.live, id)
		}
	}

	orphans := s.orphans(now)
	s.mu.Unlock()

	for _, orphan := range orphans {
		s.logger.Info("request of a dead process taken over", "event", 312, "request", orphan.Request.ID,
			"origin", orphan.Origin)
		s.adopt(orphan, apricotway.Member{}, 0)
	}
}

// unended returns the requests that have not ended, in the order of their ids.
func (s *Requests) unended() []*Answer {
	s.mu.Lock()
	defer s.mu.Unlock()

	var answers []*Answer

	for _, a := range s.live {
		a.mu.Lock()
		if a.ended.IsZero() {
			answers = append(answers, a)
		}
		a.mu.Unlock()
	}

	slices.SortFunc(answers, func(a, b *Answer) int {
		return strings.Compare(string(a.request.ID), string(b.request.ID))
	})

	return answers
}
