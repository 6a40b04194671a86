// Package call sends the calls of plain services to backend servers, with retries where a call may run again, and at most once for
// calls with an idempotency key.
package call

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/coordination/inventory"
	"github.com/apricotway/apricotway/internal/retryafter"
	"github.com/apricotway/apricotway/state/routing"
)

const (
	// maxAttempts bounds the servers that one call tries.
	maxAttempts = 3
	// retryAfter is the Retry-After of refused calls.
	retryAfter = time.Second
)

// Request is one call of a plain service.
type Request struct {
	ID        apricotway.RequestID
	Workspace apricotway.Workspace
	Service   apricotway.Service
	// Key is the caller's idempotency key; a call with a key runs at most once.
	Key      string
	KeyTime  time.Time
	Call     apricotway.ServiceCall
	Deadline time.Time
}

// OnceRunner runs calls that carry an idempotency key at most once.
type OnceRunner interface {
	Run(ctx context.Context, request Request) (apricotway.ServiceAnswer, error)
}

// Admission decides when a call may start.
type Admission interface {
	// Admit waits until the call may start and returns a function to be called at its end. It returns a Refusal for a call that
	// must not start.
	Admit(ctx context.Context, request Request) (release func(), err error)
}

// Caller sends calls of plain services.
type Caller struct {
	services  apricotway.ServiceClient
	inventory *inventory.Inventory
	policy    *routing.LeastInFlight
	once      OnceRunner
	admission Admission
	logger    logr.Logger
}

// Option changes a caller under construction.
type Option func(*Caller)

// WithLogger sets the logger. Without it nothing is logged.
func WithLogger(logger logr.Logger) Option {
	return func(c *Caller) { c.logger = logger }
}

// WithOnceRunner sets the runner of calls with an idempotency key. Without it such calls are refused.
func WithOnceRunner(once OnceRunner) Option {
	return func(c *Caller) { c.once = once }
}

// WithAdmission sets the admission of calls. Without it every call starts at once.
func WithAdmission(admission Admission) Option {
	return func(c *Caller) { c.admission = admission }
}

// New returns a caller.
func New(services apricotway.ServiceClient, inventory *inventory.Inventory, options ...Option) *Caller {
	c := &Caller{services: services, inventory: inventory, policy: routing.NewLeastInFlight(), logger: logr.Discard()}
	for _, option := range options {
		option(c)
	}

	return c
}

// Run runs the call and returns the complete answer, or a Refusal.
func (c *Caller) Run(ctx context.Context, request Request) (apricotway.ServiceAnswer, error) {
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()

	if c.admission != nil {
		release, err := c.admission.Admit(ctx, request)
		if err != nil {
			return apricotway.ServiceAnswer{}, notAdmitted(request, err)
		}
		defer release()
	}

	if request.Key != "" {
		return c.runWithKey(ctx, request)
	}

	return c.runRepeatable(ctx, request)
}

// notAdmitted returns the refusal of a call that was not admitted. The execution of a call with a key is unknown: the call may be a
// retry of one that has run, which only the ledger can tell.
func notAdmitted(request Request, err error) error {
	refusal := *apricotway.AsRefusal(err)
	if request.Key != "" {
		refusal.Execution = apricotway.ExecutionUnknown
	}

	return &refusal
}

func (c *Caller) runWithKey(ctx context.Context, request Request) (apricotway.ServiceAnswer, error) {
	if c.once == nil {
		return apricotway.ServiceAnswer{}, &apricotway.Refusal{
			Code:       apricotway.CodeLedgerUnavailable,
			Execution:  apricotway.ExecutionNotStarted,
			Message:    "calls with an idempotency key cannot be recorded at present",
			RetryAfter: retryAfter,
		}
	}

	return c.once.Run(ctx, request)
}

// runRepeatable tries other servers after a failure. A call whose method is not safe is retried only while no byte of it was sent.
func (c *Caller) runRepeatable(ctx context.Context, request Request) (apricotway.ServiceAnswer, error) {
	var (
		excluded []apricotway.BackendServerID
		last     error
		sent     bool
	)

	for range maxAttempts {
		candidates := c.inventory.Usable(request.Service)

		index := c.policy.Acquire(candidates, excluded)
		if index < 0 {
			break
		}

		answer, err := c.services.Call(ctx, candidates[index], request.Call)
		c.policy.Release(candidates[index].ID)

		if err == nil {
			c.inventory.RecordPause(candidates[index].ID, time.Now(), retryafter.Read(answer.Status, answer.Header))

			return answer, nil
		}

		last = err

		if errors.Is(err, apricotway.ErrNotSent) {
			c.inventory.MarkLost(candidates[index].ID, time.Now())
		} else {
			sent = true
		}

		if ctx.Err() != nil || (sent && !repeatable(request.Call.Method)) {
			break
		}

		excluded = append(excluded, candidates[index].ID)
	}

	refusal := refuse(ctx, sent, last)

	now := time.Now()
	if wait := c.inventory.PauseWait(request.Service, now); !sent && wait > 0 && now.Add(wait).Before(request.Deadline) {
		refusal.RetryAfter = wait
	}

	return apricotway.ServiceAnswer{}, refusal
}

// repeatable reports whether calls with the method may be retried: the safe methods of RFC 9110 other than TRACE.
func repeatable(method string) bool {
	return slices.Contains([]string{http.MethodGet, http.MethodHead, http.MethodOptions}, method)
}

func refuse(ctx context.Context, sent bool, last error) *apricotway.Refusal {
	refusal := &apricotway.Refusal{
		Code:       apricotway.CodeNoBackendServer,
		Execution:  apricotway.ExecutionNotStarted,
		Message:    "no backend server can take the call at present",
		RetryAfter: retryAfter,
	}

	if sent {
		refusal.Code = apricotway.CodeBackendFailed
		refusal.Execution = apricotway.ExecutionUnknown
		refusal.Message = "the backend server failed during the call"
	}

	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		refusal.Code = apricotway.CodeDeadlineExceeded
		refusal.Message = "the call's deadline has passed"
	}

	if last != nil {
		refusal.Message += ": " + last.Error()
	}

	return refusal
}
