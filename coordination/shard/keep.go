package shard

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway/internal/pause"
	"github.com/apricotway/apricotway/state/ledger"
)

// DefaultRepairPeriod is the time between two checks of a stream for a missing checkpoint. The checking process must continue from
// an offset that the log still keeps, so the period is far below the log's retention, which is days.
const DefaultRepairPeriod = 10 * time.Minute

// WithRepairPeriod sets the time between two checks of a stream for a missing checkpoint.
func WithRepairPeriod(period time.Duration) Option {
	return func(m *Manager) { m.repairPeriod = period }
}

// repairCheckpoints periodically checks all streams for a missing checkpoint. It keeps streams readable that no call reads, for
// example those whose owner is gone. Processes start at different offsets in the period, so that they find a checkpoint that
// the first one has written.
func (m *Manager) repairCheckpoints(ctx context.Context) error {
	wait := time.Duration(xxhash.Sum64String(string(m.membership.Self().Node)) % uint64(m.repairPeriod))

	for pause.For(ctx, wait) {
		for _, s := range m.shards {
			s.repairCheckpoint(ctx)
		}

		wait = m.repairPeriod
	}

	return ctx.Err()
}

// repairCheckpoint reads the stream if this process has state of it or would be the next to claim the shard. It appends a
// checkpoint if the stream is trimmed and keeps none from which a reader could restore the state. A process that does not own
// the shard may do so, because the state at an offset depends on the records alone.
func (s *shard) repairCheckpoint(ctx context.Context) {
	m := s.manager

	s.mu.Lock()
	known := s.fold.Next() > 1
	s.mu.Unlock()

	if !known && m.candidate(s.number) != m.membership.Self().Node {
		return
	}

	ctx, cancel := context.WithTimeout(ctx, m.repairPeriod)
	defer cancel()

	err := s.readPast(ctx, 0)
	if errors.Is(err, errNoCheckpoint) {
		m.logger.Info("ledger stream is trimmed and holds no complete checkpoint", "event", 229, "stream", s.stream)
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
		m.logger.Info("wrote missing ledger checkpoint", "event", 239, "stream", s.stream)
	}
}
