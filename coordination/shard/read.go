package shard

import (
	"context"
	"math"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/ledger"
)

// readPast applies records of the stream until the one at the offset has been applied, or up to the end of the stream if the
// offset is 0.
//
// If a read fails while other callers wait for it, it fails for them too. Otherwise they would wait for the log service's timeout
// one after the other, long past their deadlines.
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

	// The end of this caller's own context is no failure of the log service.
	if err != nil && ctx.Err() == nil {
		s.mu.Lock()
		s.failures++
		s.failure = err
		s.mu.Unlock()
	}

	return err
}

// readLocked is readPast for a caller that holds s.reading. If a read fails, it retries once with a smaller limit.
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
		s.oldest = batch.Oldest

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

// restart drops the state after a trim, so that it is restored from a complete checkpoint. The oldest kept offset is found by a
// read far beyond the end of the stream.
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

// apply applies a record of the stream to the state. The caller holds the lock.
func (s *shard) apply(record apricotway.StoredRecord) {
	verdict := s.fold.Apply(record)
	s.sinceCheckpoint++

	if record.Kind == ledger.KindClaim {
		s.manager.logger.Info("read a claim of a ledger shard", "event", 222, "stream", s.stream, "offset", record.Offset,
			"verdict", verdict)
	}
}
