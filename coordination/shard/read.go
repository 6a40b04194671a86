package shard

import (
	"context"
	"math"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/ledger"
)

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
