package origins

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/internal/pause"
	"github.com/apricotway/apricotway/state/origin"
)

// appendInterval returns the time between two appends of this process beside its writer.
func (o *Origins) appendInterval() time.Duration {
	shared := float64(o.members()) / min(o.writesPerSecond*appendShare, logs*maxLogAppends)
	return max(minDirectInterval, time.Duration(shared*float64(time.Second)))
}

// writerInterval returns the time between two appends of this process as a writer.
func (o *Origins) writerInterval() time.Duration {
	shared := float64(writerCount(o.members())) / min(o.writesPerSecond*appendShare, logs*maxLogAppends)
	return max(minAppendInterval, time.Duration(shared*float64(time.Second)))
}

// beginnings is the payload of a record: streams of one service that began at servers of one version.
type beginnings struct {
	Service apricotway.Service         `json:"service"`
	Version apricotway.SoftwareVersion `json:"version,omitempty"`
	// Uncertain is set when the version at which the streams began is not known.
	Uncertain bool `json:"uncertain,omitempty"`
	// Outage is set with Uncertain when the reason is an outage, and Proven when such a doubt was withdrawn. Builds up to 275b5bc know neither:
	// their doubts stay.
	Outage bool `json:"outage,omitempty"`
	Proven bool `json:"proven,omitempty"`
	// At is the time of the append. It is only used to drop old records.
	At time.Time `json:"at"`
	// Streams holds the streams in hexadecimal.
	Streams []string `json:"streams"`
}

// endAppend records whether an append failed, and lets the calls that wait for it go on.
func (o *Origins) endAppend(failed bool) {
	o.mu.Lock()
	defer o.mu.Unlock()

	o.appendFailed = failed

	close(o.appended)
	o.appended = make(chan struct{})
}

// Settle waits until the store has what this process recorded of the stream that an attempt began, or until it takes no appends.
func (o *Origins) Settle(ctx context.Context, attempt apricotway.AttemptID) {
	for stream := origin.StreamOf(attempt); ; {
		o.mu.Lock()
		appended, failed := o.appended, o.appendFailed
		o.mu.Unlock()

		if failed || o.register.IsStored(stream) {
			return
		}

		select {
		case <-appended:
		case <-ctx.Done():
			return
		}
	}
}

// appendPending writes the beginnings that other processes have to know until the context ends.
func (o *Origins) appendPending(ctx context.Context) error {
	failing := false
	// handedOver is the number of pending beginnings that another process tries to write too.
	handedOver := 0

	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-o.register.Enqueued():
		}

		began := time.Now()

		taken := o.register.TakePending(maxBeginnings)
		if len(taken) == 0 {
			continue
		}

		err := o.write(ctx, taken)
		if err != nil {
			o.register.ReturnPending(taken)
			o.endAppend(true)

			if o.copies != nil && len(taken) > handedOver {
				if o.copies.send(ctx, newCopiesMessage(o.register.Copies(taken[handedOver:]), false, nil)) {
					handedOver = len(taken)
				}
			}

			pause.For(ctx, retryPause)
		} else {
			handedOver = 0

			o.register.Stored(taken)
			o.endAppend(false)

			o.metrics.OriginsWritten(len(taken), time.Since(began))
			o.logWritten(taken, time.Since(began), false)
		}

		if failed := err != nil; failed != failing {
			failing = failed
			if failing {
				o.logger.Info("writing the origins of streams fails", "event", 373, "error", err.Error(), "streams", len(taken))
			} else {
				o.logger.Info("writing the origins of streams works again", "event", 374)
			}
		}
	}
}

// appendDeferred writes the beginnings that other processes have to know if another version joins while no process runs.
func (o *Origins) appendDeferred(ctx context.Context, now time.Time) {
	taken := o.register.TakeDeferred(now, maxBeginnings)
	if len(taken) == 0 {
		return
	}

	message := appendMessage{Groups: group(taken), Background: true}

	err := o.send(ctx, message)
	if interval := max(minDeferredInterval, o.appendInterval()); err != nil && now.Sub(o.deferredAt) >= interval {
		o.deferredAt = now
		err = o.appendDirectly(ctx, message.Groups)
	}

	if err != nil {
		o.logFailure(taken, err)
		o.register.ReturnDeferred(taken)

		return
	}

	o.register.Stored(taken)
	o.logWritten(taken, time.Since(now), true)
}

func (o *Origins) logWritten(written []origin.Beginning, waited time.Duration, deferred bool) {
	o.logger.Info("wrote the origins of streams", "event", 414, "streams", len(written), "waited", waited, "deferred", deferred)
}

func (o *Origins) logFailure(taken []origin.Beginning, err error) {
	o.logger.V(1).Info("failed to have the origins of streams written", "event", 415, "streams", len(taken), "error", err.Error())
}

// write makes the writer of this process append beginnings, or appends them itself if that fails.
func (o *Origins) write(ctx context.Context, taken []origin.Beginning) error {
	groups := group(taken)

	err := o.send(ctx, appendMessage{Groups: groups})
	if err == nil || o.writers == nil {
		return err
	}

	o.logFailure(taken, err)

	if !pause.For(ctx, o.appendInterval()-time.Since(o.directAt)) {
		return ctx.Err()
	}

	o.directAt = time.Now()

	return o.appendDirectly(ctx, groups)
}

// appendDirectly appends beginnings of this process beside its writer.
func (o *Origins) appendDirectly(ctx context.Context, groups []beginningsGroup) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()

	return o.append(ctx, groups)
}

// send makes the writer of this process append beginnings; it may be this process.
func (o *Origins) send(ctx context.Context, message appendMessage) error {
	if o.writers == nil {
		return o.submit(ctx, message)
	}

	writer, ok := o.writers.choose(time.Now())
	if !ok {
		return errNoWriter
	}

	if writer.Node == o.writers.membership.Self().Node {
		return o.submit(ctx, message)
	}

	err := o.writers.ask(ctx, writer, message)
	if err != nil {
		o.writers.avoid(writer.Node, time.Now().Add(avoidTime))
	}

	return err
}

// submit appends beginnings together with those of the processes for which this one is the writer.
func (o *Origins) submit(ctx context.Context, message appendMessage) error {
	ctx, cancel := context.WithTimeout(ctx, deferredInterval+callTimeout)
	defer cancel()

	return o.collector.submit(ctx, message.Groups, message.Background)
}

// append writes one record for each group.
func (o *Origins) append(ctx context.Context, groups []beginningsGroup) error {
	records := make([]apricotway.Record, 0, len(groups))

	for _, g := range groups {
		for part := range slices.Chunk(g.Streams, maxRecordStreams) {
			streams := make([]string, len(part))
			for i, stream := range part {
				streams[i] = strconv.FormatUint(uint64(stream), hexadecimal)
			}

			payload, err := json.Marshal(beginnings{g.Service, g.Version, g.Uncertain, g.Outage, g.Proven, time.Now(), streams})
			if err != nil {
				return errors.Wrap(err, "encode the origins of streams")
			}

			records = append(records, apricotway.Record{
				SchemaVersion: schemaVersion, Kind: kindBeginnings, ID: uuid.NewString(), Payload: payload,
			})
		}
	}

	// An append that has taken effect without an answer is repeated; a second copy says the same.
	if _, err := o.store.Append(ctx, streamOf(o.log), records); err != nil {
		return errors.Wrap(err, "append the origins of streams")
	}

	return nil
}

const (
	hexadecimal = 16
	// maxRecordStreams bounds the streams of one record, 20 bytes each: readers read pages of 64 KB.
	maxRecordStreams = 1000
)

func streamOf(log int) apricotway.Stream {
	return apricotway.Stream(streamPrefix + strconv.Itoa(log))
}
