// Package configfeed keeps the configuration in force current from the log service and, while that is unavailable, from
// other processes.
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
	// readWait is how long one read waits for records; it bounds how long a stop takes when the log hangs.
	readWait = 5 * time.Second
	// retryPause keeps a follower from spinning while the log service is down.
	retryPause = 500 * time.Millisecond
	// hangLimit is the time after which a read without an answer counts as an outage.
	hangLimit = readWait + time.Second
	// recentRecords is the number of records that a process keeps for its peers. One further behind gets the whole state.
	recentRecords = 1024
)

// Feed follows the configuration stream.
type Feed struct {
	log    apricotway.Log
	logger logr.Logger
	fold   *config.Fold
	peers  *peerSource
	// checkpoints is nil when this process writes none.
	checkpoints *checkpointer

	// mu guards the order of changes from the log and from peers.
	mu sync.Mutex
	// recent holds the newest records without gaps, the last one just below the fold's position.
	recent []apricotway.StoredRecord
	// sinceCheckpoint counts the records behind the newest checkpoint record, which was read at lastCheckpoint.
	sinceCheckpoint int
	lastCheckpoint  time.Time

	// logFailed tells that the last read failed.
	logFailed atomic.Bool
	// lastRead is the time of the last answer of the log in nanoseconds since the epoch.
	lastRead atomic.Int64

	// ready is closed once the process has caught up.
	ready     chan struct{}
	readyOnce sync.Once
}

// Option changes a feed under construction.
type Option func(*Feed)

// WithLogger sets the logger.
func WithLogger(logger logr.Logger) Option {
	return func(f *Feed) { f.logger = logger }
}

// New returns a feed and adds its follower to the supervisor.
func New(supervisor *suture.Supervisor, log apricotway.Log, options ...Option) *Feed {
	f := &Feed{log: log, logger: logr.Discard(), fold: config.New(), ready: make(chan struct{})}
	for _, option := range options {
		option(f)
	}

	f.lastRead.Store(time.Now().UnixNano())
	f.lastCheckpoint = time.Now()

	// A repeated change is void by its own replaced revision. Passing it on keeps every fold the same, whichever copies
	// a reader has seen.
	follower := journal.NewFollower(log, apricotway.StreamConfig, (*feedState)(f), journal.WithSeen(0))

	supervisor.Add(apricotway.ServiceFunc{Name: "configfeed", Func: func(ctx context.Context) error {
		for {
			end, err := follower.Step(ctx, f.wait())
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

			f.logger.V(1).Info("config stream not readable", "event", 201, "error", err.Error())

			if !pause.For(ctx, retryPause) {
				return ctx.Err()
			}
		}
	}})

	if f.peers != nil {
		f.servePeers(supervisor)
	}

	if f.checkpoints != nil {
		f.writeCheckpoints(supervisor)
	}

	return f
}

// feedState is the feed as its follower sees it.
type feedState Feed

// Next implements journal.State.
func (s *feedState) Next() apricotway.Offset { return s.fold.Next() }

// Fold implements journal.State.
func (s *feedState) Fold(records []apricotway.StoredRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()

	for _, record := range records {
		if record.Offset < s.fold.Next() {
			// A peer was faster than the log.
			continue
		}

		verdict := s.fold.Apply(record)
		s.logger.Info("config record applied", "event", 202, "offset", record.Offset, "verdict", verdict)

		if s.sinceCheckpoint++; verdict == config.VerdictCheckpoint {
			s.sinceCheckpoint, s.lastCheckpoint = 0, time.Now()
		}

		s.recent = append(s.recent, record)
		if len(s.recent) > recentRecords {
			s.recent = append(s.recent[:0:0], s.recent[len(s.recent)-recentRecords/2:]...)
		}
	}
}

// Restore implements journal.State.
func (s *feedState) Restore(state []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()

	before := s.fold.Next()

	if err := s.fold.Restore(state); err != nil {
		return errors.Wrap(err, "restore configuration")
	}

	if s.fold.Next() != before {
		s.recent = nil
	}

	s.logger.Info("config checkpoint restored", "event", 203, "next", s.fold.Next())

	return nil
}

// wait is zero until the feed has caught up, so that an empty stream makes it ready at once.
func (f *Feed) wait() time.Duration {
	if f.isReady() {
		return readWait
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

// logDown tells whether the log fails or does not answer.
func (f *Feed) logDown() bool {
	return f.logFailed.Load() || time.Since(time.Unix(0, f.lastRead.Load())) > hangLimit
}

// Fold returns the configuration in force.
func (f *Feed) Fold() *config.Fold { return f.fold }

// Ready is closed once the process has caught up with the log or, while that is unavailable, with its peers.
func (f *Feed) Ready() <-chan struct{} { return f.ready }
