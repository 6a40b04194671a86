package shard

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/ledger"
)

// run runs one call. The call continues until its deadline even if the caller disconnects, so that the outcome is recorded.
func (s *shard) run(ctx context.Context, request Request, digest string) (apricotway.ServiceAnswer, error) {
	work := context.WithoutCancel(ctx)

	if deadline, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc

		work, cancel = context.WithDeadline(work, deadline)
		defer cancel()
	}

	epoch, err := s.acquire(work)
	if err != nil {
		return apricotway.ServiceAnswer{}, err
	}

	s.refresh(work, request.Key)

	s.mu.Lock()

	current := s.activeCalls[request.Key]
	if current == nil {
		if entry, live := s.fold.Lookup(request.Key, time.Now()); live {
			s.mu.Unlock()
			return answerEntry(entry, digest)
		}

		if s.fold.HoldsLater(time.Now()) {
			s.mu.Unlock()
			return apricotway.ServiceAnswer{}, UncertainRefusal(errLaterSchema.Error())
		}

		current = &activeCall{digest: digest, done: make(chan struct{})}
		s.activeCalls[request.Key] = current
		s.mu.Unlock()

		return s.execute(work, epoch, request, current)
	}

	s.mu.Unlock()

	if current.digest != digest {
		return apricotway.ServiceAnswer{}, conflict()
	}

	select {
	case <-current.done:
		if current.outcome.Result == ledger.ResultAbandoned {
			// The first call at this process was not sent, but another process may have sent one with the same key.
			return apricotway.ServiceAnswer{}, s.refuse(errors.New("the call was not sent"))
		}

		return answerOutcome(current.outcome)
	case <-ctx.Done():
		return apricotway.ServiceAnswer{}, &apricotway.Refusal{
			Code: apricotway.CodeKeyInProgress, Execution: apricotway.ExecutionUnknown,
			Message: "the first call with the idempotency key is still running", RetryAfter: retryAfter,
		}
	}
}

// execute appends the intent of a call, sends the call and records its outcome. The call stays in s.activeCalls until its
// outcome can be read from the stream, so that a repeat in between gets the same answer.
func (s *shard) execute(
	ctx context.Context, epoch apricotway.Offset, request Request, current *activeCall,
) (apricotway.ServiceAnswer, error) {
	m := s.manager

	intent := ledger.Intent{Key: request.Key, Digest: current.digest, At: time.Now().UTC()}
	outcome := ledger.Outcome{Key: request.Key, At: intent.At, Result: ledger.ResultAbandoned}

	record, err := ledger.NewRecord(ledger.KindIntent, epoch, intent)
	if err != nil {
		s.finish(current, outcome)
		s.remove(request.Key)

		return apricotway.ServiceAnswer{}, s.refuse(err)
	}

	outcome.Intent = record.ID

	if err := m.hook(StepBeforeIntent); err != nil {
		return apricotway.ServiceAnswer{}, err
	}

	offset, err := m.writer.Append(ctx, s.stream, record)
	if err != nil && errors.Is(err, apricotway.ErrLogUnavailable) && !errors.Is(err, apricotway.ErrAppendUnknown) {
		s.finish(current, outcome)
		s.remove(request.Key)

		return apricotway.ServiceAnswer{}, s.refuse(err)
	}

	if err == nil {
		if err := m.hook(StepAfterIntent); err != nil {
			return apricotway.ServiceAnswer{}, err
		}

		err = s.confirmIntent(ctx, epoch, offset, request.Key, record.ID)
	}

	if err != nil {
		return apricotway.ServiceAnswer{}, s.failUnsent(current, outcome, err)
	}

	m.logger.V(1).Info("call sent", "event", 227, "stream", s.stream, "intent", record.ID, "offset", offset)

	answer, err := m.send(ctx, request.Service, request.Call)

	if err := m.hook(StepAfterCall); err != nil {
		return apricotway.ServiceAnswer{}, err
	}

	return s.complete(ctx, current, outcome, answer, err)
}

// refuse returns the refusal of a call that this process has not sent and will not send. The owner of the shard has looked up
// the key and knows that no earlier attempt has run, unless another process may have claimed the shard since then. That is
// possible if this process was paused or isolated for so long that the others considered it dead.
func (s *shard) refuse(err error) *apricotway.Refusal {
	s.mu.Lock()
	read := s.lastRead
	s.mu.Unlock()

	if errors.Is(err, errClaimReplaced) {
		return unavailable(err)
	}

	if errors.Is(err, errLaterSchema) {
		return UncertainRefusal(err.Error())
	}

	if s.epoch() != 0 && s.manager.pauses.uninterruptedSince(read, time.Now()) && !s.manager.isolated() {
		return unavailable(err)
	}

	return UncertainRefusal(err.Error())
}

// failUnsent ends a call that was not sent although the append of its intent was attempted.
func (s *shard) failUnsent(current *activeCall, outcome ledger.Outcome, err error) error {
	var (
		stopped  *stoppedError
		notOwner *NotOwnerError
	)

	if errors.As(err, &stopped) {
		return stopped.cause
	}

	s.finish(current, outcome)

	if errors.As(err, &notOwner) {
		// The intent was not accepted and needs no outcome.
		s.remove(outcome.Key)
		return notOwner
	}

	// Only this process may send the call of this intent, and it does not, so the call certainly has not run. The intent may
	// be in the stream or may still be appended there, so its outcome is recorded as abandoned.
	s.abandon(current, outcome)

	return s.refuse(err)
}

// complete records the outcome of a call that was passed to the sender, and returns the answer or the refusal.
func (s *shard) complete(
	ctx context.Context, current *activeCall, outcome ledger.Outcome, answer apricotway.ServiceAnswer, err error,
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

// stoppedError wraps the error of a hook that ends the call.
type stoppedError struct{ cause error }

// Error implements the error interface.
func (e *stoppedError) Error() string { return e.cause.Error() }

// errClaimReplaced reports that another process's claim follows an accepted intent. No process ever sends the call of that
// intent.
var errClaimReplaced = errors.New("another process has claimed the shard")

// errLaterSchema reports a stream with records that only a newer build can read: it may have claimed the shard, and sent the call.
var errLaterSchema = errors.New("the stream holds records of a later schema version")

// confirmIntent reads the stream past the intent and returns nil if the call may be sent: the intent was accepted, and the claim
// under which it was written is still in force at the end of the records read.
func (s *shard) confirmIntent(
	ctx context.Context, epoch, offset apricotway.Offset, key ledger.Key, intent string,
) error {
	for range maxReads {
		read := time.Now()

		if err := s.readPast(ctx, offset); err != nil {
			return err
		}

		s.mu.Lock()
		counts, holder, later := s.fold.IntentPending(key, intent), s.fold.Holder(), s.fold.HoldsLater(time.Now())
		s.mu.Unlock()

		if later {
			return errLaterSchema
		}

		if !counts {
			return &NotOwnerError{Owner: holder.Owner}
		}

		// The new claim follows the intent, so the intent was accepted and the new owner answers that the outcome is unknown.
		if holder.Offset != epoch {
			return errClaimReplaced
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

		// The process was paused or the read was slow. The next iteration reads to the end of the stream.
		offset = 0
	}

	return errors.Wrap(apricotway.ErrLogUnavailable, "the stream is read too slowly")
}

// finish passes the outcome to repeats of the call that wait at this process.
func (s *shard) finish(current *activeCall, outcome ledger.Outcome) {
	current.outcome = outcome
	close(current.done)
}

func (s *shard) remove(key ledger.Key) {
	s.mu.Lock()
	defer s.mu.Unlock()

	delete(s.activeCalls, key)
}

func conflict() *apricotway.Refusal {
	return notStarted(apricotway.CodeKeyConflict, 0, "the idempotency key was used for a different call")
}

// answerEntry answers a repeat from the key's entry in the stream. The call of an intent without outcome, which may be one of a
// former owner, is never sent again.
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
	// A newer build may record a result that this one does not know.
	case outcome.Result != ledger.ResultCompleted:
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
