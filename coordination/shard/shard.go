package shard

import (
	"context"
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/ledger"
)

const (
	readLimit = 1000
	// smallReadLimit keeps a batch of the largest records, the parts of checkpoints, under the size limit of one answer of
	// the log service's client. A read of readLimit such records fails.
	smallReadLimit = 20
)

// shard is one stream of the ledger.
type shard struct {
	manager *Manager
	number  int
	stream  apricotway.Stream

	// reading holds an element while the stream is read, so that concurrent calls share one read.
	reading chan struct{}

	mu   sync.Mutex
	fold *ledger.Fold
	// claims holds the record ids of this process's claims. The owner's name alone does not tell a process from an
	// earlier one of the same name.
	claims map[string]bool
	// running holds the calls of this process whose outcome the fold does not show yet.
	running map[ledger.Key]*running
	// failures counts the failed reads, and failure is the error of the last one.
	failures int
	failure  error
	// lastRead is the time before the newest read that reached the end of the stream.
	lastRead time.Time
	// sinceCheckpoint counts the records folded since the last checkpoint, and checkpointed is its time.
	sinceCheckpoint int
	checkpointed    time.Time
}

// running is a call of this process.
type running struct {
	digest string
	// done is closed when outcome is set.
	done    chan struct{}
	outcome ledger.Outcome
	// recorded is the offset of the outcome's record, 0 before its append. The shard's lock guards it.
	recorded apricotway.Offset
}

func (m *Manager) newShard(number int) *shard {
	return &shard{
		manager: m, number: number, stream: apricotway.Stream(fmt.Sprintf("ledger-%d", number)),
		reading: make(chan struct{}, 1), fold: ledger.New(m.retention()), claims: map[string]bool{}, running: map[ledger.Key]*running{},
		checkpointed: time.Now(),
	}
}

// readPast folds the stream until the record at the offset has been folded, or with 0 to the end of the stream.
//
// A read that fails while others wait for it fails for them too. Otherwise each would wait for the log service's time-out in
// its turn, long past its deadline.
func (s *shard) readPast(ctx context.Context, offset apricotway.Offset) error {
	s.mu.Lock()
	failures := s.failures
	s.mu.Unlock()

	select {
	case s.reading <- struct{}{}:
		defer func() { <-s.reading }()
	case <-ctx.Done():
		return errors.Wrap(apricotway.ErrLogUnavailable, ctx.Err().Error())
	}

	s.mu.Lock()
	failed, failure := s.failures > failures, s.failure
	s.mu.Unlock()

	if failed {
		return failure
	}

	begin := time.Now()
	err := s.readLocked(ctx, offset)

	if err == nil {
		s.mu.Lock()
		s.lastRead = begin
		s.mu.Unlock()
	}

	// An end of this caller's own context says nothing about the log service.
	if err != nil && ctx.Err() == nil {
		s.mu.Lock()
		s.failures++
		s.failure = err
		s.mu.Unlock()
	}

	return err
}

// readLocked is readPast for the caller that holds s.reading.
func (s *shard) readLocked(ctx context.Context, offset apricotway.Offset) error {
	limit := readLimit

	for {
		s.mu.Lock()
		next, ready := s.fold.Next(), s.fold.Ready()
		s.mu.Unlock()

		if offset != 0 && next > offset && ready {
			return nil
		}

		batch, err := s.manager.log.Read(ctx, s.stream, next, limit, 0)
		if errors.Is(err, apricotway.ErrTrimmed) {
			if err := s.restart(ctx); err != nil {
				return err
			}

			continue
		}

		if err != nil {
			if limit == smallReadLimit {
				return errors.Wrap(err, "read ledger stream")
			}

			limit = smallReadLimit

			continue
		}

		s.mu.Lock()
		for _, record := range batch.Records {
			s.apply(record)
		}

		ready = s.fold.Ready()
		s.mu.Unlock()

		if len(batch.Records) < limit {
			if !ready {
				return errNoCheckpoint
			}

			if offset == 0 || batch.Next > offset {
				return nil
			}

			return errors.Wrapf(apricotway.ErrLogUnavailable, "offset %d is not readable yet", offset)
		}
	}
}

// restart drops the state after a trim; the newest complete checkpoint replaces it. A read behind the end of the stream
// tells the oldest offset.
func (s *shard) restart(ctx context.Context) error {
	batch, err := s.manager.log.Read(ctx, s.stream, math.MaxInt32, 1, 0)
	if err != nil {
		return errors.Wrap(err, "read oldest offset")
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	s.fold = ledger.Restore(s.manager.retention(), batch.Oldest)

	return nil
}

// apply folds a record and forgets the calls of this process whose outcome has been recorded. The caller holds the lock.
func (s *shard) apply(record apricotway.StoredRecord) {
	verdict := s.fold.Apply(record)
	s.sinceCheckpoint++

	if record.Kind == ledger.KindClaim {
		s.manager.logger.Info("ledger claim read", "event", 222, "stream", s.stream, "offset", record.Offset,
			"verdict", verdict)
	}
}

// epoch returns the offset of this process's claim, or 0 when another process owns the shard.
func (s *shard) epoch() apricotway.Offset {
	s.mu.Lock()
	defer s.mu.Unlock()

	if holder := s.fold.Holder(); s.claims[holder.Record] {
		return holder.Offset
	}

	return 0
}

// own returns the epoch of this process's claim and claims the shard when its owner is gone.
func (s *shard) own(ctx context.Context) (apricotway.Offset, error) {
	if epoch := s.epoch(); epoch != 0 {
		return epoch, nil
	}

	if err := s.readPast(ctx, 0); err != nil {
		return 0, Uncertain(err.Error())
	}

	if epoch := s.epoch(); epoch != 0 {
		return epoch, nil
	}

	s.mu.Lock()
	holder := s.fold.Holder()
	s.mu.Unlock()

	if s.manager.alive(holder.Owner) {
		return 0, &NotOwnerError{Owner: holder.Owner}
	}

	self := s.manager.membership.Self().Node
	if candidate := s.manager.candidate(s.number); candidate != self {
		return 0, &NotOwnerError{Owner: candidate}
	}

	record, err := ledger.NewRecord(ledger.KindClaim, 0, ledger.Claim{Replaces: holder.Offset, Owner: self})
	if err != nil {
		return 0, Uncertain(err.Error())
	}

	// The claim counts as this process's own before its append: it may win although the answer is lost.
	s.mu.Lock()
	s.claims[record.ID] = true
	s.mu.Unlock()

	offset, err := s.manager.writer.Append(ctx, s.stream, record)
	if err != nil {
		return 0, Uncertain(err.Error())
	}

	if err := s.readPast(ctx, offset); err != nil {
		return 0, Uncertain(err.Error())
	}

	if epoch := s.epoch(); epoch != 0 {
		return epoch, nil
	}

	return 0, Uncertain("another process claimed the shard first")
}

// run runs one call. The work goes on when the caller is gone, so that the outcome is recorded; the deadline holds.
func (s *shard) run(ctx context.Context, request Request, digest string) (apricotway.ServiceAnswer, error) {
	work := context.WithoutCancel(ctx)

	if deadline, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc

		work, cancel = context.WithDeadline(work, deadline)
		defer cancel()
	}

	epoch, err := s.own(work)
	if err != nil {
		return apricotway.ServiceAnswer{}, err
	}

	s.refresh(work, request.Key)

	s.mu.Lock()

	current := s.running[request.Key]
	if current == nil {
		if entry, live := s.fold.Lookup(request.Key, time.Now()); live {
			s.mu.Unlock()
			return answerEntry(entry, digest)
		}

		current = &running{digest: digest, done: make(chan struct{})}
		s.running[request.Key] = current
		s.mu.Unlock()

		return s.execute(work, epoch, request, current)
	}

	s.mu.Unlock()

	if current.digest != digest {
		return apricotway.ServiceAnswer{}, conflict()
	}

	select {
	case <-current.done:
		return answerOutcome(current.outcome)
	case <-ctx.Done():
		return apricotway.ServiceAnswer{}, &apricotway.Refusal{
			Code: apricotway.CodeKeyInProgress, Execution: apricotway.ExecutionUnknown,
			Message: "the first call with the idempotency key is still running", RetryAfter: retryAfter,
		}
	}
}

// execute takes a call from the intent to the outcome. The call is in s.running until its outcome can be read from the
// stream, so that a repeat in between gets the same answer.
func (s *shard) execute(
	ctx context.Context, epoch apricotway.Offset, request Request, current *running,
) (apricotway.ServiceAnswer, error) {
	m := s.manager

	intent := ledger.Intent{Key: request.Key, Digest: current.digest, At: time.Now().UTC()}
	outcome := ledger.Outcome{Key: request.Key, At: intent.At, Result: ledger.ResultAbandoned}

	record, err := ledger.NewRecord(ledger.KindIntent, epoch, intent)
	if err != nil {
		s.finish(current, outcome)
		s.forget(request.Key)

		return apricotway.ServiceAnswer{}, s.refuse(err)
	}

	outcome.Intent = record.ID

	if err := m.hook(StepBeforeIntent); err != nil {
		return apricotway.ServiceAnswer{}, err
	}

	offset, err := m.writer.Append(ctx, s.stream, record)
	if err != nil && errors.Is(err, apricotway.ErrLogUnavailable) && !errors.Is(err, apricotway.ErrAppendUnknown) {
		s.finish(current, outcome)
		s.forget(request.Key)

		return apricotway.ServiceAnswer{}, s.refuse(err)
	}

	if err == nil {
		if err := m.hook(StepAfterIntent); err != nil {
			return apricotway.ServiceAnswer{}, err
		}

		err = s.permit(ctx, epoch, offset, request.Key, record.ID)
	}

	if err != nil {
		return apricotway.ServiceAnswer{}, s.giveUp(current, outcome, err)
	}

	m.logger.V(1).Info("call sent", "event", 227, "stream", s.stream, "intent", record.ID, "offset", offset)

	answer, err := m.send(ctx, request.Service, request.Call)

	if err := m.hook(StepAfterCall); err != nil {
		return apricotway.ServiceAnswer{}, err
	}

	return s.complete(ctx, current, outcome, answer, err)
}

// refuse refuses a call that this process has not sent and will not send. The owner of the shard has looked the key up and
// knows that no earlier attempt has run, unless another process may have claimed the shard since: while this one was paused
// or while all others think that it is gone.
func (s *shard) refuse(err error) *apricotway.Refusal {
	s.mu.Lock()
	read := s.lastRead
	s.mu.Unlock()

	if errors.Is(err, errDeposed) {
		return unavailable(err)
	}

	if s.epoch() != 0 && s.manager.pulse.steadySince(read, time.Now()) && !s.manager.isolated() {
		return unavailable(err)
	}

	return Uncertain(err.Error())
}

// giveUp ends a call that was not sent after its append was tried.
func (s *shard) giveUp(current *running, outcome ledger.Outcome, err error) error {
	var (
		stopped  *stoppedError
		notOwner *NotOwnerError
	)

	if errors.As(err, &stopped) {
		return stopped.cause
	}

	s.finish(current, outcome)

	if errors.As(err, &notOwner) {
		// The intent is void and needs no outcome.
		s.forget(outcome.Key)
		return notOwner
	}

	// Only this process may send the call of this intent, and it does not: the call has certainly not run. The intent may
	// be in the stream, or may still arrive there.
	s.abandon(current, outcome)

	return s.refuse(err)
}

// complete records what came of a call that was handed to the sender, and returns it.
func (s *shard) complete(
	ctx context.Context, current *running, outcome ledger.Outcome, answer apricotway.ServiceAnswer, err error,
) (apricotway.ServiceAnswer, error) {
	switch {
	case err == nil:
		outcome.Result, outcome.Status, outcome.Header, outcome.Body = ledger.ResultCompleted,
			answer.Status, answer.Header, answer.Body
	case !errors.Is(err, apricotway.ErrNotSent):
		outcome.Result = ledger.ResultUnknown
	}

	s.finish(current, outcome)
	s.manager.logger.V(1).Info("call ended", "event", 228, "stream", s.stream, "intent", outcome.Intent, "result", outcome.Result)

	if err := s.record(ctx, current, outcome); err != nil {
		return apricotway.ServiceAnswer{}, err
	}

	if outcome.Result == ledger.ResultAbandoned {
		return apricotway.ServiceAnswer{}, notStarted(apricotway.CodeNoBackendServer, retryAfter, err.Error())
	}

	return answerOutcome(outcome)
}

// stoppedError carries the error of a hook.
type stoppedError struct{ cause error }

// Error implements the error interface.
func (e *stoppedError) Error() string { return e.cause.Error() }

// errDeposed reports a claim behind an intent that counts. No process ever sends the call of that intent.
var errDeposed = errors.New("another process has claimed the shard")

// permit reads the stream past the intent and returns nil when the call may be sent: the intent counts, and the claim under
// which it was written is still in force as far as the stream can be read.
func (s *shard) permit(
	ctx context.Context, epoch, offset apricotway.Offset, key ledger.Key, intent string,
) error {
	for range maxReads {
		read := time.Now()

		if err := s.readPast(ctx, offset); err != nil {
			return err
		}

		s.mu.Lock()
		counts, holder := s.fold.Counts(key, intent), s.fold.Holder()
		s.mu.Unlock()

		if !counts {
			return &NotOwnerError{Owner: holder.Owner}
		}

		// The claim follows the intent, so the intent counts and the new owner answers unknown.
		if holder.Offset != epoch {
			return errDeposed
		}

		if err := s.manager.hook(StepBeforeSend); err != nil {
			return &stoppedError{cause: err}
		}

		if err := ctx.Err(); err != nil {
			return errors.Wrap(err, "call ended before it was sent")
		}

		if time.Since(read) <= maxReadAge {
			return nil
		}

		// The process was paused or the read was slow. The next round reads to the end of the stream.
		offset = 0
	}

	return errors.Wrap(apricotway.ErrLogUnavailable, "the stream is read too slowly")
}

// finish makes the outcome known to repeats in this process.
func (s *shard) finish(current *running, outcome ledger.Outcome) {
	current.outcome = outcome
	close(current.done)
}

func (s *shard) forget(key ledger.Key) {
	s.mu.Lock()
	defer s.mu.Unlock()

	delete(s.running, key)
}

// record appends the outcome of a sent call. When that fails it is appended later, and repeats at this process get the
// outcome from s.running until then.
func (s *shard) record(ctx context.Context, current *running, outcome ledger.Outcome) error {
	m := s.manager

	if outcome.Size() > m.maxBody {
		outcome.Header, outcome.Body, outcome.Omitted = nil, nil, true
	}

	record, ok := s.outcomeRecord(outcome)
	if !ok {
		return nil
	}

	if err := m.hook(StepBeforeOutcome); err != nil {
		return err
	}

	// The call's deadline may have passed; its outcome is recorded all the same.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), outcomeTimeout)
	defer cancel()

	offset, err := m.writer.Append(ctx, s.stream, record)
	if err != nil {
		m.later(s, record, current, outcome.Key)
	} else {
		s.recorded(ctx, current, outcome.Key, offset)
	}

	return m.hook(StepAfterOutcome)
}

// abandon queues the abandoned outcome of an intent that may be in the stream.
func (s *shard) abandon(current *running, outcome ledger.Outcome) {
	if record, ok := s.outcomeRecord(outcome); ok {
		s.manager.later(s, record, current, outcome.Key)
	}
}

// outcomeRecord wraps an outcome. When that fails the outcome stays in memory; a successor answers unknown, as for an
// outcome that was lost.
func (s *shard) outcomeRecord(outcome ledger.Outcome) (apricotway.Record, bool) {
	record, err := ledger.NewRecord(ledger.KindOutcome, 0, outcome)
	if err != nil {
		s.manager.logger.Error(err, "outcome not encoded", "event", 223)
		return apricotway.Record{}, false
	}

	return record, true
}

// recorded notes that the outcome of a call is in the stream.
func (s *shard) recorded(ctx context.Context, current *running, key ledger.Key, offset apricotway.Offset) {
	s.mu.Lock()
	current.recorded = offset
	s.mu.Unlock()

	s.forgetRecorded(ctx, key)
}

// forgetRecorded forgets a call once the fold shows its recorded outcome.
func (s *shard) forgetRecorded(ctx context.Context, key ledger.Key) {
	s.mu.Lock()
	current := s.running[key]
	known := current != nil && current.recorded != 0
	s.mu.Unlock()

	if !known {
		return
	}

	if err := s.readPast(ctx, current.recorded); err != nil {
		s.manager.logger.V(1).Info("outcome not read back", "event", 224, "error", err.Error())
		return
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	if s.running[key] == current {
		delete(s.running, key)
	}
}

// refresh brings the state of a key up to date before it is looked up. The owner knows its own intents without reading, but
// the outcome of a former owner's intent may have reached the stream since the last read. A failed read leaves the older
// state, whose answer is unknown.
func (s *shard) refresh(ctx context.Context, key ledger.Key) {
	s.forgetRecorded(ctx, key)

	s.mu.Lock()
	entry, live := s.fold.Lookup(key, time.Now())
	foreign := live && entry.Outcome == nil && s.running[key] == nil
	s.mu.Unlock()

	if !foreign {
		return
	}

	if err := s.readPast(ctx, 0); err != nil {
		s.manager.logger.V(1).Info("ledger stream not readable", "event", 226, "error", err.Error())
	}
}

// checkpoint appends a checkpoint when this process owns the shard and one is due.
func (s *shard) checkpoint(ctx context.Context) {
	m := s.manager
	epoch := s.epoch()

	s.mu.Lock()
	due := epoch != 0 && s.fold.Ready() && (s.sinceCheckpoint >= m.checkpointRecords ||
		s.sinceCheckpoint > 0 && time.Since(s.checkpointed) >= m.checkpointAge)

	var parts []ledger.Checkpoint
	if due {
		parts = s.fold.Checkpoint()
		s.sinceCheckpoint, s.checkpointed = 0, time.Now()
	}
	s.mu.Unlock()

	for _, part := range parts {
		record, err := ledger.NewRecord(ledger.KindCheckpoint, epoch, part)
		if err == nil {
			_, err = m.writer.Append(ctx, s.stream, record)
		}

		if err != nil {
			m.logger.Info("ledger checkpoint not written", "event", 225, "stream", s.stream, "error", err.Error())

			s.mu.Lock()
			s.sinceCheckpoint += m.checkpointRecords
			s.mu.Unlock()

			return
		}
	}
}

func conflict() *apricotway.Refusal {
	return notStarted(apricotway.CodeKeyConflict, 0, "the idempotency key was used for a different call")
}

// answerEntry answers a repeat from the stream. An intent without outcome may belong to an owner that is gone; it is never
// sent again.
func answerEntry(entry ledger.Entry, digest string) (apricotway.ServiceAnswer, error) {
	if entry.Digest != digest {
		return apricotway.ServiceAnswer{}, conflict()
	}

	if entry.Outcome == nil {
		return answerOutcome(ledger.Outcome{Result: ledger.ResultUnknown})
	}

	return answerOutcome(*entry.Outcome)
}

func answerOutcome(outcome ledger.Outcome) (apricotway.ServiceAnswer, error) {
	switch {
	case outcome.Result == ledger.ResultAbandoned:
		return apricotway.ServiceAnswer{}, unavailable(errors.New("the call was not sent"))
	case outcome.Result == ledger.ResultUnknown:
		return apricotway.ServiceAnswer{}, &apricotway.Refusal{
			Code: apricotway.CodeOutcomeUnknown, Execution: apricotway.ExecutionUnknown,
			Message: "the call was recorded and may have run; it is not sent again",
		}
	case outcome.Omitted:
		return apricotway.ServiceAnswer{}, &apricotway.Refusal{
			Code: apricotway.CodeOutcomeUnknown, Execution: apricotway.ExecutionCompleted,
			Message: fmt.Sprintf("the call has run with status %d; its answer was too large to be recorded", outcome.Status),
		}
	default:
		return apricotway.ServiceAnswer{Status: outcome.Status, Header: outcome.Header, Body: outcome.Body}, nil
	}
}
