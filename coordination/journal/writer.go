// Package journal writes and follows the streams of the log service. A Writer appends with group commit within an append budget and
// retries after a lost answer; a Follower reads a stream and restarts from a checkpoint after a trim.
package journal

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"github.com/thejerf/suture/v4"
	"golang.org/x/time/rate"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/internal/pause"
)

const (
	// DefaultBudget is the default limit of appends per second of all processes together. It is well below the several hundred
	// appends per second that the log service provides.
	DefaultBudget = 100
	// DefaultResendLimit bounds by default the time for finding out whether an append whose answer was lost took effect. Readers
	// remember record identifiers for longer.
	DefaultResendLimit = 30 * time.Second
	// maxGroup and maxGroupBytes bound the number and total payload size of the records in one append.
	maxGroup      = 256
	maxGroupBytes = 1 << 20
	// resendPause is the time between two tries to find out whether an append took effect.
	resendPause = 250 * time.Millisecond
	// readLimit is the maximum number of records in one read.
	readLimit = 500
)

// Writer appends records. Records that are waiting for the same stream are appended together. It is safe for concurrent use.
type Writer struct {
	log         apricotway.Log
	supervisor  *suture.Supervisor
	logger      logr.Logger
	budget      float64
	members     func() int
	resendLimit time.Duration
	limiter     *rate.Limiter

	mu      sync.Mutex
	streams map[apricotway.Stream]*queue
}

// WriterOption changes a writer under construction.
type WriterOption func(*Writer)

// WithLogger sets the logger. Without it nothing is logged.
func WithLogger(logger logr.Logger) WriterOption {
	return func(w *Writer) { w.logger = logger }
}

// WithBudget sets the limit of appends per second of all processes together, and the function that counts the live members
// including this process. Each member gets an equal share.
func WithBudget(perSecond float64, members func() int) WriterOption {
	return func(w *Writer) { w.budget, w.members = perSecond, members }
}

// WithResendLimit bounds the time for finding out whether an append whose answer was lost took effect.
func WithResendLimit(limit time.Duration) WriterOption {
	return func(w *Writer) { w.resendLimit = limit }
}

// NewWriter returns a writer. The writer adds one service per stream to the supervisor.
func NewWriter(supervisor *suture.Supervisor, log apricotway.Log, options ...WriterOption) *Writer {
	w := &Writer{
		log:         log,
		supervisor:  supervisor,
		logger:      logr.Discard(),
		budget:      DefaultBudget,
		members:     func() int { return 1 },
		resendLimit: DefaultResendLimit,
		streams:     map[apricotway.Stream]*queue{},
	}
	for _, option := range options {
		option(w)
	}

	w.limiter = rate.NewLimiter(w.memberShare(), 1)

	return w
}

// memberShare returns this process's share of the append budget.
func (w *Writer) memberShare() rate.Limit { return rate.Limit(w.budget / float64(max(w.members(), 1))) }

// queue holds the records that wait for one stream.
type queue struct {
	stream apricotway.Stream
	// wake has a capacity of one. An element in it means that pending may not be empty.
	wake chan struct{}

	mu      sync.Mutex
	pending []*entry
	// closed is set when the writer has stopped.
	closed bool

	// readFrom is an offset at or below that of every record whose append is not settled. After a lost answer the stream is read
	// from there. Only the goroutine of the queue uses it.
	readFrom apricotway.Offset
}

// entry is a record that is being appended. Its fields other than done are guarded by the queue's lock until done is closed.
type entry struct {
	record apricotway.Record
	// sent is set when the record may be in the log.
	sent bool
	done chan struct{}

	offset apricotway.Offset
	err    error
}

// Append appends one record and returns the offset of its first copy. The record's ID must be unique. An error that wraps
// ErrLogUnavailable means that the record is not in the log and never will be. One that wraps ErrAppendUnknown means that the
// record may be in the log or may still be appended.
func (w *Writer) Append(
	ctx context.Context, stream apricotway.Stream, record apricotway.Record,
) (apricotway.Offset, error) {
	if record.ID == "" {
		return 0, errors.Wrap(apricotway.ErrLogUnavailable, "the record has no identifier")
	}

	q := w.queue(stream)
	e := &entry{record: record, done: make(chan struct{})}

	if !q.add(e) {
		return 0, errors.Wrap(apricotway.ErrLogUnavailable, "the writer has stopped")
	}

	select {
	case <-e.done:
	case <-ctx.Done():
		if err := q.abandon(ctx.Err(), e); err != nil {
			return 0, err
		}
	}

	return e.offset, e.err
}

// AppendAll appends records in order, without records of other callers between them, and returns the first error. Up to 256 records
// of at most 1 MiB take one append of the budget. Of more than that, the first ones may be in the log without the rest.
func (w *Writer) AppendAll(ctx context.Context, stream apricotway.Stream, records []apricotway.Record) error {
	entries := make([]*entry, len(records))

	for i, record := range records {
		if record.ID == "" {
			return errors.Wrap(apricotway.ErrLogUnavailable, "a record has no identifier")
		}

		entries[i] = &entry{record: record, done: make(chan struct{})}
	}

	q := w.queue(stream)
	if !q.add(entries...) {
		return errors.Wrap(apricotway.ErrLogUnavailable, "the writer has stopped")
	}

	for _, e := range entries {
		select {
		case <-e.done:
		case <-ctx.Done():
			return q.abandon(ctx.Err(), entries...)
		}
	}

	return firstError(entries)
}

// firstError returns the first error of entries that are done.
func firstError(entries []*entry) error {
	for _, e := range entries {
		if e.err != nil {
			return e.err
		}
	}

	return nil
}

// queue returns the queue of a stream, which it creates and starts if necessary.
func (w *Writer) queue(stream apricotway.Stream) *queue {
	w.mu.Lock()
	defer w.mu.Unlock()

	q := w.streams[stream]
	if q == nil {
		q = &queue{stream: stream, wake: make(chan struct{}, 1), readFrom: 1}
		w.streams[stream] = q

		w.supervisor.Add(apricotway.ServiceFunc{Name: "journal writer " + string(stream), Func: func(ctx context.Context) error {
			return w.run(ctx, q)
		}})
	}

	return q
}

// add adds entries to the queue unless the writer has stopped.
func (q *queue) add(entries ...*entry) bool {
	q.mu.Lock()
	defer q.mu.Unlock()

	if q.closed {
		return false
	}

	q.pending = append(q.pending, entries...)
	q.notify()

	return true
}

// close finishes all entries that were not sent with an error and rejects new ones.
func (q *queue) close() {
	q.mu.Lock()
	q.closed = true
	rest := q.pending
	q.pending = nil
	q.mu.Unlock()

	q.finish(rest, nil, errors.Wrap(apricotway.ErrLogUnavailable, "the writer has stopped"))
}

func (q *queue) notify() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// abandon is called when the caller's context has ended. It removes the entries that were not sent yet from the queue and returns
// the first error of all entries. Holding the lock throughout, it removes them before any of them can be sent.
func (q *queue) abandon(reason error, entries ...*entry) error {
	q.mu.Lock()
	defer q.mu.Unlock()

	var first error

	for _, e := range entries {
		var err error

		select {
		case <-e.done:
			err = e.err
		default:
			err = errors.Wrap(apricotway.ErrLogUnavailable, reason.Error())
			if e.sent {
				err = errors.Wrap(apricotway.ErrAppendUnknown, reason.Error())
			}

			q.pending = slices.DeleteFunc(q.pending, func(other *entry) bool { return other == e && !e.sent })
		}

		if first == nil {
			first = err
		}
	}

	return first
}

// take removes the next group of entries from the queue and marks them as sent.
func (q *queue) take() []*entry {
	q.mu.Lock()
	defer q.mu.Unlock()

	count, size := 0, 0
	for count < len(q.pending) && count < maxGroup {
		size += len(q.pending[count].record.Payload)
		if count > 0 && size > maxGroupBytes {
			break
		}

		q.pending[count].sent = true
		count++
	}

	group := q.pending[:count:count]
	q.pending = q.pending[count:]

	if len(q.pending) > 0 {
		q.notify()
	}

	return group
}

// finish sets the result of a group of entries and wakes their callers.
func (q *queue) finish(group []*entry, offset func(i int) apricotway.Offset, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()

	for i, e := range group {
		if e.err = err; err == nil {
			e.offset = offset(i)
		}

		close(e.done)
	}
}

func (w *Writer) run(ctx context.Context, q *queue) error {
	for {
		select {
		case <-ctx.Done():
			q.close()
			return ctx.Err()
		case <-q.wake:
		}

		// The group is taken after the wait for the budget, so that it includes the records that arrived meanwhile.
		w.limiter.SetLimit(w.memberShare())

		if err := w.limiter.Wait(ctx); err != nil {
			q.close()
			return errors.Wrap(err, "wait for the append budget")
		}

		if group := q.take(); len(group) > 0 {
			w.send(ctx, q, group)
		}
	}
}

// send appends a group of entries and finishes them.
func (w *Writer) send(ctx context.Context, q *queue, group []*entry) {
	records := make([]apricotway.Record, len(group))
	for i, e := range group {
		records[i] = e.record
	}

	first, err := w.log.Append(ctx, q.stream, records)

	switch {
	case err == nil:
		q.readFrom = first
		q.finish(group, func(i int) apricotway.Offset { return first + apricotway.Offset(i) }, nil)
	case errors.Is(err, apricotway.ErrAppendUnknown):
		w.logger.Info("append outcome unknown", "event", 207, "stream", q.stream, "records", len(group), "error", err.Error())

		offsets, err := w.resolveUnknown(ctx, q, records)
		q.finish(group, func(i int) apricotway.Offset { return offsets[records[i].ID] }, err)
	default:
		if !errors.Is(err, apricotway.ErrLogUnavailable) {
			err = errors.Wrap(apricotway.ErrLogUnavailable, err.Error())
		}

		q.finish(group, nil, err)
	}
}

// resolveUnknown finds out whether an append whose answer was lost took effect, and returns the offsets of the records. When the
// records are not in the log, it appends them again with the same identifiers. The first append may still take effect later, but
// readers drop the second copy.
func (w *Writer) resolveUnknown(
	ctx context.Context, q *queue, records []apricotway.Record,
) (map[string]apricotway.Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, w.resendLimit)
	defer cancel()

	for {
		offsets, err := w.find(ctx, q, records)
		if err == nil && len(offsets) == len(records) {
			q.readFrom = offsets[records[0].ID]
			return offsets, nil
		}

		// Append again only after a successful read: otherwise each try could add another copy.
		if err == nil {
			if err := w.limiter.Wait(ctx); err == nil {
				// The offset in the answer isn't used: the next read finds the first copy, whether from this append or an earlier
				// one.
				_, err = w.log.Append(ctx, q.stream, records)
				if err == nil {
					continue
				}
			}
		}

		if !pause.For(ctx, resendPause) {
			return nil, errors.Wrap(apricotway.ErrAppendUnknown, "the log service does not show the records")
		}
	}
}

// find reads the stream to its end, or until it has found all records, and returns the offsets of their first copies.
func (w *Writer) find(
	ctx context.Context, q *queue, records []apricotway.Record,
) (map[string]apricotway.Offset, error) {
	wanted := make(map[string]bool, len(records))
	for _, record := range records {
		wanted[record.ID] = true
	}

	offsets := map[string]apricotway.Offset{}

	for from := q.readFrom; ; {
		batch, err := w.log.Read(ctx, q.stream, from, readLimit, 0)
		if errors.Is(err, apricotway.ErrTrimmed) && batch.Oldest > from {
			from = batch.Oldest
			continue
		}

		if err != nil {
			return nil, errors.Wrap(err, "read back")
		}

		for _, stored := range batch.Records {
			if _, found := offsets[stored.ID]; wanted[stored.ID] && !found {
				offsets[stored.ID] = stored.Offset
			}
		}

		if len(batch.Records) == 0 || len(offsets) == len(records) {
			return offsets, nil
		}

		from = batch.Next
	}
}
