package planning

import (
	"context"
	"time"

	"github.com/apricotway/apricotway"
)

const (
	// DefaultCheckpointInterval has to stay below a third of the log's retention, which is days.
	DefaultCheckpointInterval = time.Hour
	// checkpointRecords is the number of records after which a checkpoint is due before its time, also when the holder changes
	// more often than that. Renewals alone are 1200 an hour.
	checkpointRecords = 2000
	// checkpointTimeout bounds one checkpoint with its waits for the append budget. At 7,600 hosts it has 639 KB in three parts,
	// which take one append.
	checkpointTimeout = time.Minute
	// checkpointRetry lies between two tries, so that planning goes on meanwhile.
	checkpointRetry = time.Minute
	// noCheckpointPause lies between two searches for a checkpoint, each of which reads all that is kept of the stream.
	noCheckpointPause = 30 * time.Second
)

// checkpoints tells when a checkpoint is due.
type checkpoints struct {
	interval time.Duration
	// newest is the time at which the newest checkpoint was read or restored, zero before the first one, and records counts
	// the records behind it.
	newest  time.Time
	records int
	// retryAt is the time before which none is written, because the last try failed.
	retryAt time.Time
}

// WithCheckpointInterval sets the time between two checkpoints.
func WithCheckpointInterval(interval time.Duration) Option {
	return func(d *Driver) { d.checkpoints.interval = interval }
}

// writeCheckpoint appends a checkpoint if one is due. The state at an offset is the same for all readers, so that of a holder
// which has been deposed meanwhile is right as well.
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
		c.retryAt = now.Add(checkpointRetry)
		d.logger.Info("fleet checkpoint not written", "event", 237, "stream", d.stream, "error", err.Error())

		return
	}

	c.newest, c.records = now, 0
	d.logger.Info("fleet checkpoint written", "event", 236, "stream", d.stream, "next", next)
}

// driverState is the driver as its follower sees it.
type driverState Driver

// Next implements journal.State.
func (d *driverState) Next() apricotway.Offset { return d.fold.Next() }

// Fold implements journal.State.
func (d *driverState) Fold(records []apricotway.StoredRecord) {
	now := time.Now()

	for _, record := range records {
		d.fold.Apply(record, now)

		// An incomplete checkpoint of a holder that died counts too, which delays the next one by an interval at most.
		if d.checkpoints.records++; record.Kind == apricotway.KindCheckpoint {
			d.checkpoints.newest, d.checkpoints.records = now, 0
		}
	}
}

// Restore implements journal.State.
func (d *driverState) Restore(state []byte) error {
	now := time.Now()
	d.checkpoints.newest, d.checkpoints.records = now, 0

	return d.fold.Restore(state, now)
}
