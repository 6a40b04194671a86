package configfeed

import (
	"context"
	"time"

	"github.com/thejerf/suture/v4"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/coordination/journal"
	"github.com/apricotway/apricotway/internal/pause"
)

const (
	// checkpointRecords is the number of records after which a checkpoint is due before its interval is over. It bounds what a
	// starting process reads.
	checkpointRecords = 2000
	// checkpointStagger is the time that each process grants the processes ranked before it to write a due checkpoint. No lease
	// is needed, since all processes would write the same state; the stagger only saves appends.
	checkpointStagger = 10 * time.Second
)

// checkpointer holds what a feed needs to write checkpoints.
type checkpointer struct {
	writer   *journal.Writer
	interval time.Duration
}

// WithCheckpoints makes the feed append a checkpoint when the newest one is older than the interval. It requires WithPeers.
func WithCheckpoints(writer *journal.Writer, interval time.Duration) Option {
	return func(f *Feed) { f.checkpoints = &checkpointer{writer: writer, interval: interval} }
}

// runCheckpoints adds the goroutine that writes checkpoints to the supervisor.
func (f *Feed) runCheckpoints(supervisor *suture.Supervisor) {
	supervisor.Add(apricotway.ServiceFunc{Name: "configfeed checkpoints", Func: func(ctx context.Context) error {
		elapsed := time.Duration(0)

		for pause.For(ctx, checkpointStagger) {
			if !f.checkpointDue() {
				elapsed = 0
				continue
			}

			if elapsed += checkpointStagger; elapsed > f.rank()*checkpointStagger {
				f.writeCheckpoint(ctx)
			}
		}

		return ctx.Err()
	}})
}

// checkpointDue reports whether this process has caught up and the newest checkpoint is too old or too far behind.
func (f *Feed) checkpointDue() bool {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.isReady() && f.fold.LatestRevision() > 0 &&
		(f.sinceCheckpoint >= checkpointRecords || time.Since(f.lastCheckpoint) >= f.checkpoints.interval)
}

// rank returns the number of live processes that write checkpoints before this one.
func (f *Feed) rank() time.Duration {
	before := time.Duration(0)

	for _, member := range f.liveMembers() {
		if member.Node < f.peers.membership.Self().Node {
			before++
		}
	}

	return before
}

func (f *Feed) writeCheckpoint(ctx context.Context) {
	state, next, err := f.fold.Checkpoint()
	if err == nil {
		err = f.checkpoints.writer.AppendCheckpoint(ctx, apricotway.StreamConfig, 0, next, state)
	}

	if err != nil {
		f.logger.Info("failed to write a configuration checkpoint", "event", 205, "error", err.Error())
		return
	}

	f.logger.Info("wrote a configuration checkpoint", "event", 206, "next", next)
}
