package shard

import (
	"context"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/ledger"
)

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
