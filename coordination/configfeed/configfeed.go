// Package configfeed keeps the configuration in force current from the log service.
package configfeed

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"github.com/thejerf/suture/v4"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/config"
)

const (
	readLimit = 500
	// readWait is how long one read waits for news; it bounds how long a stop takes when the log hangs.
	readWait = 5 * time.Second
	// retryPause keeps a follower from spinning while the log service is down.
	retryPause = 500 * time.Millisecond
)

// Feed follows the configuration stream.
type Feed struct {
	log    apricotway.Log
	logger logr.Logger
	fold   *config.Fold
	// ready is closed once the stream has been read to its end.
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

	supervisor.Add(apricotway.ServiceFunc{Name: "configfeed", Func: func(ctx context.Context) error {
		for {
			if err := f.readOnce(ctx); err != nil {
				if ctx.Err() != nil {
					return ctx.Err()
				}

				f.logger.V(1).Info("config stream not readable", "event", 201, "error", err.Error())

				if !sleep(ctx, retryPause) {
					return ctx.Err()
				}
			}
		}
	}})

	return f
}

func (f *Feed) readOnce(ctx context.Context) error {
	batch, err := f.log.Read(ctx, apricotway.StreamConfig, f.fold.Next(), readLimit, f.wait())
	if err != nil {
		return errors.Wrap(err, "read config stream")
	}

	for _, record := range batch.Records {
		verdict := f.fold.Apply(record)
		f.logger.Info("config record applied", "event", 202, "offset", record.Offset, "verdict", verdict)
	}

	if len(batch.Records) < readLimit {
		f.readyOnce.Do(func() { close(f.ready) })
	}

	return nil
}

// wait is zero until the feed has caught up, so that an empty stream makes it ready at once.
func (f *Feed) wait() time.Duration {
	select {
	case <-f.ready:
		return readWait
	default:
		return 0
	}
}

// Fold returns the configuration in force.
func (f *Feed) Fold() *config.Fold { return f.fold }

// Ready is closed once the stream has been read to its end.
func (f *Feed) Ready() <-chan struct{} { return f.ready }

func sleep(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()

	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
