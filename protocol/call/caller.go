// Package call runs the calls of plain services.
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
	"github.com/apricotway/apricotway/state/routing"
)

const (
	// maxAttempts bounds the servers that a call which may be repeated tries.
	maxAttempts = 3
	retryAfter  = time.Second
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

// Once runs calls that carry an idempotency key at most once.
type Once interface {
	Run(ctx context.Context, request Request) (apricotway.ServiceAnswer, error)
}

// Admission decides when a call may start.
type Admission interface {
	// Admit returns once the call may start, and the function that ends it. It returns a Refusal for a call that will not start.
	Admit(ctx context.Context, request Request) (release func(), err error)
}

// Caller runs calls of plain services.
type Caller struct {
	services  apricotway.ServiceClient
	inventory *inventory.Inventory
	policy    *routing.LeastInFlight
	once      Once
	admission Admission
	logger    logr.Logger
}

// Option changes a caller under construction.
type Option func(*Caller)

// WithLogger sets the logger.
func WithLogger(logger logr.Logger) Option {
	return func(c *Caller) { c.logger = logger }
}

// WithOnce sets what runs the calls with an idempotency key. Without it they are refused.
func WithOnce(once Once) Option {
	return func(c *Caller) { c.once = once }
}

// WithAdmission sets what admits calls; without it every call starts at once.
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

// Run runs the call and returns the whole answer, or a Refusal.
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
		return c.runOnce(ctx, request)
	}

	return c.runRepeatable(ctx, request)
}

// notAdmitted returns the refusal of a call that was not admitted. A call with a key may be the repeat of one that ran, which only
// the ledger knows.
func notAdmitted(request Request, err error) error {
	refusal := *apricotway.AsRefusal(err)
	if request.Key != "" {
		refusal.Execution = apricotway.ExecutionUnknown
	}

	return &refusal
}

func (c *Caller) runOnce(ctx context.Context, request Request) (apricotway.ServiceAnswer, error) {
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

// runRepeatable tries other servers after a failure, but only while the call is safe to repeat: a method that is not
// safe is repeated only when no byte of it was sent.
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

	return apricotway.ServiceAnswer{}, refuse(ctx, sent, last)
}

// repeatable tells the methods that RFC 9110 defines as idempotent and that change nothing.
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
