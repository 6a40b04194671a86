// Package configfeed keeps the configuration in force up to date by following its stream in the log service or, while that is
// unavailable, by pulling records from other processes.
package configfeed

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"github.com/thejerf/suture/v4"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/coordination/journal"
	"github.com/apricotway/apricotway/internal/pause"
	"github.com/apricotway/apricotway/state/config"
)

const (
	// maxReadWait is the longest wait of one read for new records. It also bounds how long a stop takes when the log hangs.
	maxReadWait = 5 * time.Second
	// retryPause keeps the follower from retrying in a busy loop while the log service is down.
	retryPause = 500 * time.Millisecond
	// hangTimeout is the time without an answer after which a hanging read counts as an outage of the log.
	hangTimeout = maxReadWait + time.Second
	// maxRecentRecords is the number of records that a process keeps for its peers. A peer that is further behind gets the whole
	// state.
	maxRecentRecords = 1024
)

// Feed follows the configuration stream. It is safe for concurrent use.
type Feed struct {
	log    apricotway.Log
	logger logr.Logger
	fold   *config.Fold
	peers  *peerSource
	// checkpoints is nil if this process writes no checkpoints.
	checkpoints *checkpointer

	// mu serializes changes from the log and from peers.
	mu sync.Mutex
	// recent holds the newest records without gaps; the last one is just below the fold's position.
	recent []apricotway.StoredRecord
	// sinceCheckpoint counts the records after the newest checkpoint record, which was read at lastCheckpoint.
	sinceCheckpoint int
	lastCheckpoint  time.Time

	// logFailed is set while the last read of the log failed.
	logFailed atomic.Bool
	// lastRead is the time of the last answer of the log, in nanoseconds since the Unix epoch.
	lastRead atomic.Int64

	// ready is closed once the process has caught up.
	ready     chan struct{}
	readyOnce sync.Once
}

// Option configures a Feed.
type Option func(*Feed)

// WithLogger sets the logger.
func WithLogger(logger logr.Logger) Option {
	return func(f *Feed) { f.logger = logger }
}

// New returns a Feed and adds its goroutines to the supervisor.
func New(supervisor *suture.Supervisor, log apricotway.Log, options ...Option) *Feed {
	f := &Feed{log: log, logger: logr.Discard(), fold: config.New(), ready: make(chan struct{})}
	for _, option := range options {
		option(f)
	}

	f.lastRead.Store(time.Now().UnixNano())
	f.lastCheckpoint = time.Now()

	// A repeated change is void because of the revision that it replaces. Passing it on keeps the state of all readers equal,
	// whichever copies they have seen.
	follower := journal.NewFollower(log, apricotway.StreamConfig, (*followerState)(f), journal.WithRememberedIDs(0))

	supervisor.Add(apricotway.ServiceFunc{Name: "configfeed", Func: func(ctx context.Context) error {
		for {
			end, err := follower.Step(ctx, f.readWait())
			if ctx.Err() != nil {
				return ctx.Err()
			}

			f.lastRead.Store(time.Now().UnixNano())
			f.logFailed.Store(err != nil)

			if err == nil {
				if end {
					f.setReady()
				}

				continue
			}

			f.logger.V(1).Info("failed to read the configuration stream", "event", 201, "error", err.Error())

			if !pause.For(ctx, retryPause) {
				return ctx.Err()
			}
		}
	}})

	if f.peers != nil {
		f.servePeers(supervisor)
	}

	if f.checkpoints != nil {
		f.runCheckpoints(supervisor)
	}

	return f
}

// followerState implements journal.State on a Feed, for its follower.
type followerState Feed

// Next implements journal.State.
func (s *followerState) Next() apricotway.Offset { return s.fold.Next() }

// Fold implements journal.State.
func (s *followerState) Fold(records []apricotway.StoredRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()

	for _, record := range records {
		if record.Offset < s.fold.Next() {
			// A peer has already delivered this record.
			continue
		}

		verdict := s.fold.Apply(record)
		s.logger.Info("applied a configuration record", "event", 202, "offset", record.Offset, "verdict", verdict)

		if s.sinceCheckpoint++; verdict == config.VerdictCheckpoint {
			s.sinceCheckpoint, s.lastCheckpoint = 0, time.Now()
		}

		s.recent = append(s.recent, record)
		if len(s.recent) > maxRecentRecords {
			s.recent = append(s.recent[:0:0], s.recent[len(s.recent)-maxRecentRecords/2:]...)
		}
	}
}

// Restore implements journal.State.
func (s *followerState) Restore(state []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()

	before := s.fold.Next()

	if err := s.fold.Restore(state); err != nil {
		return errors.Wrap(err, "restore the configuration from a checkpoint")
	}

	if s.fold.Next() != before {
		s.recent = nil
	}

	s.logger.Info("restored the configuration from a checkpoint", "event", 203, "next", s.fold.Next())

	return nil
}

// readWait returns the wait of the next read. It is zero until the feed has caught up, so that an empty stream makes it ready at
// once.
func (f *Feed) readWait() time.Duration {
	if f.isReady() {
		return maxReadWait
	}

	return 0
}

func (f *Feed) setReady() { f.readyOnce.Do(func() { close(f.ready) }) }

func (f *Feed) isReady() bool {
	select {
	case <-f.ready:
		return true
	default:
		return false
	}
}

// logDown reports whether the log fails or does not answer.
func (f *Feed) logDown() bool {
	return f.logFailed.Load() || time.Since(time.Unix(0, f.lastRead.Load())) > hangTimeout
}

// Fold returns the state of the configuration, which gives the revisions in force.
func (f *Feed) Fold() *config.Fold { return f.fold }

// Ready returns a channel that is closed once the process has caught up with the log or, while that is unavailable, with a
// majority of its reachable peers.
func (f *Feed) Ready() <-chan struct{} { return f.ready }
