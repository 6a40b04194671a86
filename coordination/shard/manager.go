// Package shard owns ledger shards: it claims them, records intents before calls and outcomes after them, and sends each
// call at most once.
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
	// DefaultShards is the number of ledger streams. It is part of the key's place and never changes for a running system.
	DefaultShards = 16
	// DefaultWindow is the time for which a repeated key gets the recorded outcome.
	DefaultWindow = 24 * time.Hour
	// DefaultMargin bounds the difference of the wall clocks of callers and processes in the ageing of keys.
	DefaultMargin = 5 * time.Minute
	// DefaultMaxBody bounds the part of an answer that is recorded; a larger answer is recorded without its body.
	DefaultMaxBody = 64 << 10
	// DefaultCheckpointRecords is the number of records between two checkpoints of a stream.
	DefaultCheckpointRecords = 4096
	// DefaultCheckpointAge is the longest time between two checkpoints of a stream that has new records.
	DefaultCheckpointAge = 8 * time.Hour

	retryAfter = time.Second
	// flushPeriod is the pause between two attempts to append what could not be appended before.
	flushPeriod = 500 * time.Millisecond
	// outcomeTimeout bounds how long the caller's answer waits for the append of its outcome.
	outcomeTimeout = 2 * time.Second
	// maxReadAge is the age at which the owner no longer trusts its last reading of the stream and reads again before it
	// sends; a process that was paused for longer sees the claim that replaced its own.
	maxReadAge = 2 * time.Second
	// maxReads bounds the readings before one call. A log service that is slower than maxReadAge each time counts as
	// unavailable.
	maxReads = 3
	// maxPending bounds the records that wait for the log service; above it, no new call is taken.
	maxPending = 1024
)

// Writer appends single records to the log service and may join several into one append. An error that wraps
// apricotway.ErrLogUnavailable and not apricotway.ErrAppendUnknown means that the append did not and will not take effect.
type Writer interface {
	Append(ctx context.Context, stream apricotway.Stream, record apricotway.Record) (apricotway.Offset, error)
}

// LogWriter is a Writer that makes one append of each record.
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
	// KeyTime is the time at which the caller first used the key; the zero time stands for now.
	KeyTime time.Time
	Service apricotway.Service
	Call    apricotway.ServiceCall
}

// NotOwnerError reports that another process owns or has to claim the key's shard. The call has not run here.
type NotOwnerError struct {
	Owner apricotway.NodeID
}

// Error implements the error interface.
func (e *NotOwnerError) Error() string { return fmt.Sprintf("the shard belongs to %s", e.Owner) }

// Step names a point of a call at which a hook runs.
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
	lookPeriod        time.Duration
	shards            []*shard

	pulse pulse
	// contact returns the time of the last answer of another member.
	contact func() time.Time

	mu sync.Mutex
	// pending holds the records whose append failed; they keep their ids, so that a second copy has no effect.
	pending []pendingRecord
}

type pendingRecord struct {
	shard  *shard
	record apricotway.Record
	// call and key are those of the record's outcome.
	call *running
	key  ledger.Key
}

// Option changes a manager under construction.
type Option func(*Manager)

// WithLogger sets the logger.
func WithLogger(logger logr.Logger) Option {
	return func(m *Manager) { m.logger = logger }
}

// WithWriter sets the writer; by default each record is an append of its own.
func WithWriter(writer Writer) Option {
	return func(m *Manager) { m.writer = writer }
}

// WithContact sets the source of the time at which another member last answered a probe of this process. Without it only the
// states of the members tell whether this process is cut off.
func WithContact(contact func() time.Time) Option {
	return func(m *Manager) { m.contact = contact }
}

// WithWindow sets the deduplication window and the margin for differences of clocks. All processes use the same values.
func WithWindow(window, margin time.Duration) Option {
	return func(m *Manager) { m.window, m.margin = window, margin }
}

// WithMaxBody bounds the recorded part of an answer.
func WithMaxBody(bytes int) Option {
	return func(m *Manager) { m.maxBody = bytes }
}

// WithShards sets the number of shards. All processes use the same value.
func WithShards(shards int) Option {
	return func(m *Manager) { m.shards = make([]*shard, shards) }
}

// WithCheckpoints sets after how many records and after which time the owner of a shard appends a checkpoint.
func WithCheckpoints(records int, age time.Duration) Option {
	return func(m *Manager) { m.checkpointRecords, m.checkpointAge = records, age }
}

// WithHook sets a function that runs at every step of a call. When it fails, the call ends at once without any further
// append or answer, as if the process had ended there. Tests stop an owner with it.
func WithHook(hook func(Step) error) Option {
	return func(m *Manager) { m.hook = hook }
}

// New returns a manager and adds its goroutines to the supervisor: one repeats failed appends and writes checkpoints, one
// notices pauses of the process, and one writes the checkpoints that others have left out.
func New(
	supervisor *suture.Supervisor, membership apricotway.Membership, log apricotway.Log, send Sender, options ...Option,
) *Manager {
	m := &Manager{
		membership: membership, log: log, writer: LogWriter{log}, send: send, logger: logr.Discard(),
		hook: func(Step) error { return nil }, contact: time.Now,
		window: DefaultWindow, margin: DefaultMargin, maxBody: DefaultMaxBody,
		checkpointRecords: DefaultCheckpointRecords, checkpointAge: DefaultCheckpointAge, lookPeriod: DefaultLookPeriod,
		shards: make([]*shard, DefaultShards),
	}
	for _, option := range options {
		option(m)
	}

	for i := range m.shards {
		m.shards[i] = m.newShard(i)
	}

	m.pulse.beat(time.Now(), false)
	supervisor.Add(apricotway.Periodic("ledger pulse", pulsePeriod, func(_ context.Context, now time.Time) {
		m.pulse.beat(now, m.isolated())
	}))
	supervisor.Add(apricotway.ServiceFunc{Name: "ledger checkpoints", Func: m.lookForCheckpoints})
	supervisor.Add(apricotway.Periodic("ledger shards", flushPeriod, func(ctx context.Context, _ time.Time) {
		m.flush(ctx)

		for _, s := range m.shards {
			s.checkpoint(ctx)
		}
	}))

	return m
}

// retention is how long a key stays in the ledger. A caller's key time may be ahead of the owner's clock by the margin,
// and two owners' clocks may differ by the margin.
func (m *Manager) retention() time.Duration { return m.window + 2*m.margin }

// Candidate returns the process that has to claim the key's shard when the shard has no live owner.
func (m *Manager) Candidate(key ledger.Key) apricotway.NodeID {
	return m.candidate(key.Shard(len(m.shards)))
}

// candidate chooses by rendezvous hashing, so that processes with the same view agree without exchanging a message.
func (m *Manager) candidate(shard int) apricotway.NodeID {
	var (
		best  apricotway.NodeID
		score uint64
	)

	for _, member := range append(m.membership.Members(), m.membership.Self()) {
		if gone(member.State) {
			continue
		}

		current := xxhash.Sum64String(fmt.Sprintf("%d/%s", shard, member.Node))
		if best == "" || current > score || (current == score && member.Node < best) {
			best, score = member.Node, current
		}
	}

	return best
}

func gone(state apricotway.MemberState) bool {
	return state == apricotway.MemberDead || state == apricotway.MemberLeaving
}

// isolated tells whether this process reaches none of the others that it knows. They may have declared it dead.
func (m *Manager) isolated() bool {
	members := m.membership.Members()
	if len(members) == 0 {
		return false
	}

	return time.Since(m.contact()) > contactLimit || !slices.ContainsFunc(members, func(member apricotway.Member) bool {
		return member.State == apricotway.MemberAlive
	})
}

// alive tells whether membership knows another process that may own shards.
func (m *Manager) alive(node apricotway.NodeID) bool {
	for _, member := range m.membership.Members() {
		if member.Node == node {
			return !gone(member.State)
		}
	}

	return false
}

// Run runs the call or returns what is known of an earlier call with the same key. It fails with a *NotOwnerError when
// another process has to be asked, and with a *Refusal otherwise.
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
		return apricotway.ServiceAnswer{}, Uncertain("too many records wait for the log service")
	}

	return m.shards[request.Key.Shard(len(m.shards))].run(ctx, request, digest)
}

// later queues a record whose append failed. The record is appended once the log service takes it.
func (m *Manager) later(s *shard, record apricotway.Record, call *running, key ledger.Key) {
	m.mu.Lock()
	defer m.mu.Unlock()

	m.pending = append(m.pending, pendingRecord{shard: s, record: record, call: call, key: key})
}

// flush appends the queued records in their order and keeps those that fail.
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

// unavailable refuses a call of which this process knows that no earlier attempt with the key has run either.
func unavailable(err error) *apricotway.Refusal {
	return notStarted(apricotway.CodeLedgerUnavailable, retryAfter, "the call cannot be recorded at present: "+err.Error())
}

// Uncertain refuses a call that has not been sent, by a process that cannot tell whether an earlier attempt with the key
// has run: it may be a repeat of a call that another process has sent.
func Uncertain(reason string) *apricotway.Refusal {
	return &apricotway.Refusal{
		Code: apricotway.CodeLedgerUnavailable, Execution: apricotway.ExecutionUnknown,
		Message:    "the ledger cannot be read at present, and an earlier call with the key may have run: " + reason,
		RetryAfter: retryAfter,
	}
}

// errNoCheckpoint reports a stream that was trimmed and holds no complete checkpoint.
var errNoCheckpoint = errors.New("the stream was trimmed and holds no complete checkpoint")
