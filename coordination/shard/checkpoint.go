package shard

import (
	"context"
	"time"

	"github.com/apricotway/apricotway/state/ledger"
)

// checkpoint appends a checkpoint if this process owns the shard and a checkpoint is due. If the append fails, the next call
// tries again.
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

	if !s.append(ctx, parts) {
		s.mu.Lock()
		s.sinceCheckpoint += m.checkpointRecords
		s.mu.Unlock()
	}
}

// append appends the parts of a checkpoint and reports whether all appends succeeded.
func (s *shard) append(ctx context.Context, parts []ledger.Checkpoint) bool {
	m := s.manager

	for _, part := range parts {
		record, err := ledger.NewRecord(ledger.KindCheckpoint, part.Holder.Offset, part)
		if err == nil {
			_, err = m.writer.Append(ctx, s.stream, record)
		}

		if err != nil {
			m.logger.Info("ledger checkpoint not written", "event", 225, "stream", s.stream, "error", err.Error())

			return false
		}
	}

	return true
}
