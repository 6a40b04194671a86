// Package shard runs calls with an idempotency key at most once. A process claims ledger shards, records an intent before each
// call and an outcome after it, and answers repeats of a call from the recorded outcome.
package shard

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"github.com/thejerf/suture/v4"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/ledger"
)

const (
	// DefaultShards is the number of ledger streams. It decides in which stream a key is recorded and must never change for a
	// running system.
	DefaultShards = 16
	// DefaultWindow is the deduplication window: the time for which a repeat of a key gets the recorded outcome.
	DefaultWindow = 24 * time.Hour
	// DefaultMargin is the difference between the wall clocks of callers and processes that the expiry of keys tolerates.
	DefaultMargin = 5 * time.Minute
	// DefaultMaxBody bounds the bytes of a recorded answer; a larger answer is recorded without header and body.
	DefaultMaxBody = 64 << 10
	// DefaultCheckpointRecords is the number of records after which the owner of a shard appends a checkpoint.
	DefaultCheckpointRecords = 4096
	// DefaultCheckpointAge is the time after which the owner appends a checkpoint if the stream has new records.
	DefaultCheckpointAge = 8 * time.Hour

	// retryAfter is the Retry-After of refused calls.
	retryAfter = time.Second
	// flushPeriod is the time between two attempts to append the queued records and due checkpoints.
	flushPeriod = 500 * time.Millisecond
	// outcomeTimeout bounds the append of an outcome, for which the caller's answer waits.
	outcomeTimeout = 2 * time.Second
	// maxReadAge is the age of the last read after which the owner reads the stream again before it sends a call, so that a
	// process that was paused finds the claim that replaced its own.
	maxReadAge = 2 * time.Second
	// maxReads bounds the reads before one call is sent. If each of them takes longer than maxReadAge, the log service counts
	// as unavailable.
	maxReads = 3
	// maxPending bounds the queue of records whose append failed; while it is full, new calls are refused.
	maxPending = 1024
)

// Writer appends single records to the log service and may batch several into one append. An error that wraps
// apricotway.ErrLogUnavailable and not apricotway.ErrAppendUnknown means that the append did not and will not take effect.
type Writer interface {
	Append(ctx context.Context, stream apricotway.Stream, record apricotway.Record) (apricotway.Offset, error)
}

// LogWriter is a Writer that appends each record separately.
type LogWriter struct {
	Log apricotway.Log
}

// Append implements Writer.
func (w LogWriter) Append(
	ctx context.Context, stream apricotway.Stream, record apricotway.Record,
) (apricotway.Offset, error) {
	return w.Log.Append(ctx, stream, []apricotway.Record{record})
}

// Sender sends a call to a backend server of the service. An error that wraps apricotway.ErrNotSent means that no byte of
// the call reached a connection; after any other error the call may have run.
type Sender func(
	ctx context.Context, service apricotway.Service, call apricotway.ServiceCall,
) (apricotway.ServiceAnswer, error)

// Request is a call that runs at most once. Its context carries the deadline.
type Request struct {
	Key ledger.Key
	// KeyTime is the time at which the caller first used the key; the zero time means now.
	KeyTime time.Time
	Service apricotway.Service
	Call    apricotway.ServiceCall
}

// NotOwnerError reports that another process owns the key's shard or is the one to claim it. This process has not sent the
// call.
type NotOwnerError struct {
	Owner apricotway.NodeID
}

// Error implements the error interface.
func (e *NotOwnerError) Error() string { return fmt.Sprintf("the shard belongs to %s", e.Owner) }

// Step identifies a point in the execution of a call at which a hook runs.
type Step string

// The steps in the order in which a call passes them.
const (
	StepBeforeIntent  Step = "beforeIntent"
	StepAfterIntent   Step = "afterIntent"
	StepBeforeSend    Step = "beforeSend"
	StepAfterCall     Step = "afterCall"
	StepBeforeOutcome Step = "beforeOutcome"
	StepAfterOutcome  Step = "afterOutcome"
)

// Manager runs the calls of the shards that this process owns.
type Manager struct {
	membership apricotway.Membership
	log        apricotway.Log
	writer     Writer
	send       Sender
	logger     logr.Logger
	hook       func(Step) error

	window            time.Duration
	margin            time.Duration
	maxBody           int
	checkpointRecords int
	checkpointAge     time.Duration
	repairPeriod      time.Duration
	shards            []*shard

	pauses pauseDetector
	// lastContact returns the time at which another member last answered a probe of this process.
	lastContact func() time.Time

	mu sync.Mutex
	// pending queues the records whose append failed. They keep their IDs, so that a second copy in the stream has no effect.
	pending []pendingRecord
}

// pendingRecord is a queued record of an outcome.
type pendingRecord struct {
	shard  *shard
	record apricotway.Record
	// call and key identify the call whose outcome the record holds.
	call *activeCall
	key  ledger.Key
}

// Option configures a manager under construction.
type Option func(*Manager)

// WithLogger sets the logger.
func WithLogger(logger logr.Logger) Option {
	return func(m *Manager) { m.logger = logger }
}

// WithWriter sets the writer of records; by default each record is appended separately.
func WithWriter(writer Writer) Option {
	return func(m *Manager) { m.writer = writer }
}

// WithContact sets the function that returns when another member last answered a probe of this process. Without it, this process
// considers itself isolated only if no other member is alive.
func WithContact(contact func() time.Time) Option {
	return func(m *Manager) { m.lastContact = contact }
}

// WithWindow sets the deduplication window and the tolerated clock difference. All processes must use the same values.
func WithWindow(window, margin time.Duration) Option {
	return func(m *Manager) { m.window, m.margin = window, margin }
}

// WithMaxBody bounds the bytes of a recorded answer.
func WithMaxBody(bytes int) Option {
	return func(m *Manager) { m.maxBody = bytes }
}

// WithShards sets the number of shards. All processes must use the same value.
func WithShards(shards int) Option {
	return func(m *Manager) { m.shards = make([]*shard, shards) }
}

// WithCheckpoints sets the number of records and the time after which the owner of a shard appends a checkpoint.
func WithCheckpoints(records int, age time.Duration) Option {
	return func(m *Manager) { m.checkpointRecords, m.checkpointAge = records, age }
}

// WithHook sets a function that runs at every step of a call. If it returns an error, the call ends at once without any further
// append or answer to repeats, as if the process had stopped there. Tests use it to stop an owner.
func WithHook(hook func(Step) error) Option {
	return func(m *Manager) { m.hook = hook }
}

// New returns a manager and adds its goroutines to the supervisor: one retries failed appends and writes the checkpoints of owned
// shards, one detects pauses of the process, and one writes missing checkpoints of shards that other processes own.
func New(
	supervisor *suture.Supervisor, membership apricotway.Membership, log apricotway.Log, send Sender, options ...Option,
) *Manager {
	m := &Manager{
		membership: membership, log: log, writer: LogWriter{log}, send: send, logger: logr.Discard(),
		hook: func(Step) error { return nil }, lastContact: time.Now,
		window: DefaultWindow, margin: DefaultMargin, maxBody: DefaultMaxBody,
		checkpointRecords: DefaultCheckpointRecords, checkpointAge: DefaultCheckpointAge, repairPeriod: DefaultRepairPeriod,
		shards: make([]*shard, DefaultShards),
	}
	for _, option := range options {
		option(m)
	}

	for i := range m.shards {
		m.shards[i] = m.newShard(i)
	}

	m.pauses.tick(time.Now(), false)
	supervisor.Add(apricotway.Periodic("ledger pulse", tickPeriod, func(_ context.Context, now time.Time) {
		m.pauses.tick(now, m.isolated())
	}))
	supervisor.Add(apricotway.ServiceFunc{Name: "ledger checkpoints", Func: m.repairCheckpoints})
	supervisor.Add(apricotway.Periodic("ledger shards", flushPeriod, func(ctx context.Context, _ time.Time) {
		m.flush(ctx)

		for _, s := range m.shards {
			s.checkpoint(ctx)
		}
	}))

	return m
}

// retention is the time for which a key stays in the ledger. It exceeds the window by twice the margin: a caller's key time may
// be ahead of the owner's clock by the margin, and the clocks of two owners may differ by the margin.
func (m *Manager) retention() time.Duration { return m.window + 2*m.margin }

// Candidate returns the process that is to claim the key's shard if the shard has no live owner.
func (m *Manager) Candidate(key ledger.Key) apricotway.NodeID {
	return m.candidate(key.Shard(len(m.shards)))
}

// candidate chooses by rendezvous hashing, so that processes with the same view of the members agree without communicating.
func (m *Manager) candidate(shard int) apricotway.NodeID {
	var (
		best  apricotway.NodeID
		score uint64
	)

	for _, member := range append(m.membership.Members(), m.membership.Self()) {
		if deadOrLeaving(member.State) {
			continue
		}

		current := xxhash.Sum64String(fmt.Sprintf("%d/%s", shard, member.Node))
		if best == "" || current > score || (current == score && member.Node < best) {
			best, score = member.Node, current
		}
	}

	return best
}

func deadOrLeaving(state apricotway.MemberState) bool {
	return state == apricotway.MemberDead || state == apricotway.MemberLeaving
}

// isolated reports whether this process reaches none of the other members. They may have declared it dead.
func (m *Manager) isolated() bool {
	members := m.membership.Members()
	if len(members) == 0 {
		return false
	}

	return time.Since(m.lastContact()) > contactLimit || !slices.ContainsFunc(members, func(member apricotway.Member) bool {
		return member.State == apricotway.MemberAlive
	})
}

// alive reports whether the node is another member that may own shards: one that is neither dead nor leaving.
func (m *Manager) alive(node apricotway.NodeID) bool {
	for _, member := range m.membership.Members() {
		if member.Node == node {
			return !deadOrLeaving(member.State)
		}
	}

	return false
}

// Run runs the call, or returns the outcome of an earlier call with the same key. It fails with a *NotOwnerError if the request
// has to be sent to another process, and with a *Refusal otherwise.
func (m *Manager) Run(ctx context.Context, request Request) (apricotway.ServiceAnswer, error) {
	now := time.Now()

	if !request.KeyTime.IsZero() && now.Sub(request.KeyTime) > m.window {
		return apricotway.ServiceAnswer{}, &apricotway.Refusal{
			Code: apricotway.CodeKeyExpired, Execution: apricotway.ExecutionUnknown,
			Message: "the idempotency key is older than the deduplication window; an earlier call with it may have run",
		}
	}

	if request.KeyTime.Sub(now) > m.margin {
		return apricotway.ServiceAnswer{}, notStarted(apricotway.CodeInvalidRequest, 0,
			"the time of the idempotency key lies in the future")
	}

	digest, err := ledger.Digest(request.Service, request.Call)
	if err != nil {
		return apricotway.ServiceAnswer{}, notStarted(apricotway.CodeInvalidRequest, 0, err.Error())
	}

	m.mu.Lock()
	full := len(m.pending) >= maxPending
	m.mu.Unlock()

	if full {
		return apricotway.ServiceAnswer{}, UncertainRefusal("too many records wait for the log service")
	}

	return m.shards[request.Key.Shard(len(m.shards))].run(ctx, request, digest)
}

// enqueue queues a record whose append failed. The flush goroutine appends it when the log service is available again.
func (m *Manager) enqueue(s *shard, record apricotway.Record, call *activeCall, key ledger.Key) {
	m.mu.Lock()
	defer m.mu.Unlock()

	m.pending = append(m.pending, pendingRecord{shard: s, record: record, call: call, key: key})
}

// flush appends the queued records in order and stops at the first failure, which keeps that record and the rest queued.
func (m *Manager) flush(ctx context.Context) {
	m.mu.Lock()
	pending := m.pending
	m.pending = nil
	m.mu.Unlock()

	for i, p := range pending {
		offset, err := m.writer.Append(ctx, p.shard.stream, p.record)
		if err != nil {
			m.logger.V(1).Info("ledger record not appended", "event", 221, "error", err.Error())

			m.mu.Lock()
			m.pending = append(pending[i:], m.pending...)
			m.mu.Unlock()

			return
		}

		p.shard.recorded(ctx, p.call, p.key, offset)
	}
}

func notStarted(code apricotway.Code, retry time.Duration, message string) *apricotway.Refusal {
	return &apricotway.Refusal{
		Code: code, Execution: apricotway.ExecutionNotStarted, Message: message, RetryAfter: retry,
	}
}

// unavailable returns the refusal of a call that was not sent, by a process that knows that no earlier attempt with the key has
// run either.
func unavailable(err error) *apricotway.Refusal {
	return notStarted(apricotway.CodeLedgerUnavailable, retryAfter, "the call cannot be recorded at present: "+err.Error())
}

// UncertainRefusal returns the refusal of a call that was not sent, by a process that does not know whether an earlier attempt
// with the key has run: the call may be a repeat of one that another process has sent.
func UncertainRefusal(reason string) *apricotway.Refusal {
	return &apricotway.Refusal{
		Code: apricotway.CodeLedgerUnavailable, Execution: apricotway.ExecutionUnknown,
		Message:    "the ledger cannot be read at present, and an earlier call with the key may have run: " + reason,
		RetryAfter: retryAfter,
	}
}

// errNoCheckpoint reports a stream whose state cannot be restored.
var errNoCheckpoint = errors.New("the stream was trimmed and holds no complete checkpoint")
