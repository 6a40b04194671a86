package planning

import (
	"context"
	"time"

	"github.com/apricotway/apricotway"
)

const (
	// DefaultCheckpointInterval is the default time between two checkpoints. It has to stay below a third of the log's retention,
	// which is days.
	DefaultCheckpointInterval = time.Hour
	// checkpointRecords is the number of records after which a checkpoint is due before the interval is over, even if the holder
	// changes more often than that. Lease renewals alone are 1200 records an hour.
	checkpointRecords = 2000
	// checkpointTimeout bounds the writing of one checkpoint, including its waits for the append budget. At 7,600 hosts a
	// checkpoint has 639 KB in three parts, which take one append.
	checkpointTimeout = time.Minute
	// checkpointRetryPause is the time after a failed checkpoint before the next attempt, so that planning continues in the
	// meantime.
	checkpointRetryPause = time.Minute
	// noCheckpointPause is the pause between two searches for a checkpoint, each of which reads all that is kept of the stream.
	noCheckpointPause = 30 * time.Second
)

// checkpoints tracks when a checkpoint is due.
type checkpoints struct {
	interval time.Duration
	// newest is the time at which the newest checkpoint was read or restored, zero before the first one; records counts the
	// records after it.
	newest  time.Time
	records int
	// retryAt is the time before which no checkpoint is attempted, because the last attempt failed.
	retryAt time.Time
}

// WithCheckpointInterval sets the time between two checkpoints.
func WithCheckpointInterval(interval time.Duration) Option {
	return func(d *Driver) { d.checkpoints.interval = interval }
}

// writeCheckpoint appends a checkpoint if one is due. The state at an offset is the same for all readers, so a checkpoint by a
// holder that has been deposed in the meantime is correct as well.
func (d *Driver) writeCheckpoint(ctx context.Context) {
	c, now := &d.checkpoints, time.Now()
	due := c.newest.IsZero() || c.records >= checkpointRecords || now.Sub(c.newest) >= c.interval

	if !due || now.Before(c.retryAt) {
		return
	}

	ctx, cancel := context.WithTimeout(ctx, checkpointTimeout)
	defer cancel()

	state, next, err := d.fold.Checkpoint()
	if err == nil {
		err = d.writer.AppendCheckpoint(ctx, d.stream, d.fold.Lease().Number, next, state)
	}

	if err != nil {
		c.retryAt = now.Add(checkpointRetryPause)
		d.logger.Info("failed to write a fleet checkpoint", "event", 237, "stream", d.stream, "error", err.Error())

		return
	}

	c.newest, c.records = now, 0
	d.logger.Info("wrote a fleet checkpoint", "event", 236, "stream", d.stream, "next", next)
}

// followerState implements journal.State on a Driver, for its follower.
type followerState Driver

// Next implements journal.State.
func (d *followerState) Next() apricotway.Offset { return d.fold.Next() }

// Fold implements journal.State.
func (d *followerState) Fold(records []apricotway.StoredRecord) {
	now := time.Now()

	for _, record := range records {
		d.fold.Apply(record, now)

		// An incomplete checkpoint of a holder that died counts too. It delays the next one by one interval at most.
		if d.checkpoints.records++; record.Kind == apricotway.KindCheckpoint {
			d.checkpoints.newest, d.checkpoints.records = now, 0
		}
	}
}

// Restore implements journal.State.
func (d *followerState) Restore(state []byte) error {
	now := time.Now()
	d.checkpoints.newest, d.checkpoints.records = now, 0

	return d.fold.Restore(state, now)
}
