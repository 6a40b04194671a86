package shard

import (
	"context"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/ledger"
)

// record appends the outcome of a call that was passed to the sender. If the append fails, the record is queued, and repeats at
// this process get the outcome from s.activeCalls until it is in the stream.
func (s *shard) record(ctx context.Context, current *activeCall, outcome ledger.Outcome) error {
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

	// The outcome is recorded even if the call's deadline has passed.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), outcomeTimeout)
	defer cancel()

	offset, err := m.writer.Append(ctx, s.stream, record)
	if err != nil {
		m.enqueue(s, record, current, outcome.Key)
	} else {
		s.recorded(ctx, current, outcome.Key, offset)
	}

	return m.hook(StepAfterOutcome)
}

// abandon queues the outcome of an intent that may be in the stream and whose call is never sent.
func (s *shard) abandon(current *activeCall, outcome ledger.Outcome) {
	if record, ok := s.outcomeRecord(outcome); ok {
		s.manager.enqueue(s, record, current, outcome.Key)
	}
}

// outcomeRecord encodes an outcome into a record. If that fails, the outcome stays in memory only, and a later owner answers that
// it is unknown.
func (s *shard) outcomeRecord(outcome ledger.Outcome) (apricotway.Record, bool) {
	record, err := ledger.NewRecord(ledger.KindOutcome, 0, outcome)
	if err != nil {
		s.manager.logger.Error(err, "encoding the outcome of a call failed", "event", 223)
		return apricotway.Record{}, false
	}

	return record, true
}

// recorded stores the offset of a call's outcome in the stream and removes the call once the outcome has been read back.
func (s *shard) recorded(ctx context.Context, current *activeCall, key ledger.Key, offset apricotway.Offset) {
	s.mu.Lock()
	current.recorded = offset
	s.mu.Unlock()

	s.removeRecorded(ctx, key)
}

// removeRecorded removes a call whose outcome is in the stream from s.activeCalls after reading the stream past the outcome.
func (s *shard) removeRecorded(ctx context.Context, key ledger.Key) {
	s.mu.Lock()
	current := s.activeCalls[key]
	known := current != nil && current.recorded != 0
	s.mu.Unlock()

	if !known {
		return
	}

	if err := s.readPast(ctx, current.recorded); err != nil {
		s.manager.logger.V(1).Info("reading back a recorded outcome failed", "event", 224, "error", err.Error())
		return
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	if s.activeCalls[key] == current {
		delete(s.activeCalls, key)
	}
}

// refresh updates the state of a key before it is looked up. The owner knows its own intents without reading the stream, but the
// outcome of a former owner's intent may have been appended since the last read. If the read fails, the intent has no outcome in
// the older state, and the answer is that the outcome is unknown.
func (s *shard) refresh(ctx context.Context, key ledger.Key) {
	s.removeRecorded(ctx, key)

	s.mu.Lock()
	entry, live := s.fold.Lookup(key, time.Now())
	foreign := live && entry.Outcome == nil && s.activeCalls[key] == nil
	s.mu.Unlock()

	if !foreign {
		return
	}

	if err := s.readPast(ctx, 0); err != nil {
		s.manager.logger.V(1).Info("reading the ledger stream failed; using older state", "event", 226, "error", err.Error())
	}
}
