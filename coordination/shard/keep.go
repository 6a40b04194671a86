package shard

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway/internal/pause"
	"github.com/apricotway/apricotway/state/ledger"
)

// DefaultLookPeriod is the time between two looks at the checkpoints of a stream. The state of a process that looks has to reach
// an offset that is still kept, so it is far below the log's retention, which is days.
const DefaultLookPeriod = 10 * time.Minute

// WithLookPeriod sets the time between two looks at the checkpoints of a stream.
func WithLookPeriod(period time.Duration) Option {
	return func(m *Manager) { m.lookPeriod = period }
}

// lookForCheckpoints keeps the streams readable that no call reads, for example those whose owner is gone. Processes look at
// different times, so that the others see what the first one has written.
func (m *Manager) lookForCheckpoints(ctx context.Context) error {
	wait := time.Duration(xxhash.Sum64String(string(m.membership.Self().Node)) % uint64(m.lookPeriod))

	for pause.For(ctx, wait) {
		for _, s := range m.shards {
			s.look(ctx)
		}

		wait = m.lookPeriod
	}

	return ctx.Err()
}

// look reads the stream if this process has its state or would be the next to claim it, and appends a checkpoint if the stream
// is trimmed and keeps none from which a reader could start. A process that does not own the shard may do that: the state at
// an offset follows from the records alone.
func (s *shard) look(ctx context.Context) {
	m := s.manager

	s.mu.Lock()
	known := s.fold.Next() > 1
	s.mu.Unlock()

	if !known && m.candidate(s.number) != m.membership.Self().Node {
		return
	}

	ctx, cancel := context.WithTimeout(ctx, m.lookPeriod)
	defer cancel()

	err := s.readPast(ctx, 0)
	if errors.Is(err, errNoCheckpoint) {
		m.logger.Info("ledger stream trimmed without a checkpoint", "event", 229, "stream", s.stream)
	}

	if err != nil {
		return
	}

	s.mu.Lock()

	var parts []ledger.Checkpoint
	if s.oldest > 1 && s.fold.Ready() && !s.fold.Restorable(s.oldest) {
		parts = s.fold.Checkpoint()
	}
	s.mu.Unlock()

	if len(parts) > 0 && s.append(ctx, parts) {
		m.logger.Info("missing ledger checkpoint written", "event", 239, "stream", s.stream)
	}
}
