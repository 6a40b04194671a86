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
	// checkpointRecords is the number of records after which a checkpoint is due before its time; it bounds what a new
	// process reads.
	checkpointRecords = 2000
	// checkpointTurn is the time that each process leaves to the ones before it. No lease is needed, since all of them would
	// write the same state; the turns only save appends.
	checkpointTurn = 10 * time.Second
)

type checkpointer struct {
	writer   *journal.Writer
	interval time.Duration
}

// WithCheckpoints makes the feed append a checkpoint when the newest one is older than the interval. It needs WithPeers.
func WithCheckpoints(writer *journal.Writer, interval time.Duration) Option {
	return func(f *Feed) { f.checkpoints = &checkpointer{writer: writer, interval: interval} }
}

func (f *Feed) writeCheckpoints(supervisor *suture.Supervisor) {
	supervisor.Add(apricotway.ServiceFunc{Name: "configfeed checkpoints", Func: func(ctx context.Context) error {
		waited := time.Duration(0)

		for pause.For(ctx, checkpointTurn) {
			if !f.checkpointDue() {
				waited = 0
				continue
			}

			if waited += checkpointTurn; waited > f.rank()*checkpointTurn {
				f.writeCheckpoint(ctx)
			}
		}

		return ctx.Err()
	}})
}

func (f *Feed) checkpointDue() bool {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.isReady() && f.fold.Revision() > 0 &&
		(f.sinceCheckpoint >= checkpointRecords || time.Since(f.lastCheckpoint) >= f.checkpoints.interval)
}

// rank is the number of live processes whose turn comes before that of this one.
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
		f.logger.Info("config checkpoint not written", "event", 205, "error", err.Error())
		return
	}

	f.logger.Info("config checkpoint written", "event", 206, "next", next)
}
