// Package leasing claims and renews the lease of a stream and gives orders under it.
package leasing

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"github.com/thejerf/suture/v4"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/internal/pause"
	"github.com/apricotway/apricotway/state/lease"
)

const (
	readLimit = 500
	// retryPause keeps a holder or challenger from spinning while the log service is down.
	retryPause = 200 * time.Millisecond
	// renewals is the number of renewals within one TTL; a lease survives the loss of all but one.
	renewals = 3
)

// ErrNotHeld reports that this process does not hold the lease, or not for long enough.
var ErrNotHeld = errors.New("lease not held")

// Writer appends single records to the log service.
type Writer interface {
	Append(ctx context.Context, stream apricotway.Stream, record apricotway.Record) (apricotway.Offset, error)
}

// Target is something on backend servers or hosts that has a desired condition.
type Target interface {
	// Satisfied reads back whether the desired condition holds.
	Satisfied(ctx context.Context) (bool, error)
	// Apply orders the desired condition. It must not send the order after the context's end, which is its NotAfter.
	Apply(ctx context.Context, order lease.Order) error
}

// Lease contends for the lease of one stream for as long as its supervisor runs.
type Lease struct {
	log    apricotway.Log
	writer Writer
	stream apricotway.Stream
	node   apricotway.NodeID
	terms  lease.Terms
	logger logr.Logger

	mu   sync.Mutex
	fold *lease.Fold
	// sent holds the time before the append of each own record, by record id. A record is own although the answer to its
	// append was lost.
	sent map[string]time.Time
	// since is the time at which this process read its first record of the current term, zero for another holder's term.
	// predecessor tells whether the term follows another holder's.
	since       time.Time
	predecessor bool
}

// Option changes a lease under construction.
type Option func(*Lease)

// WithLogger sets the logger.
func WithLogger(logger logr.Logger) Option {
	return func(l *Lease) { l.logger = logger }
}

// New returns a contender and adds its goroutine to the supervisor.
func New(
	supervisor *suture.Supervisor, log apricotway.Log, writer Writer, stream apricotway.Stream, node apricotway.NodeID,
	terms lease.Terms, options ...Option,
) *Lease {
	l := &Lease{
		log: log, writer: writer, stream: stream, node: node, terms: terms, logger: logr.Discard(),
		fold: lease.New(), sent: map[string]time.Time{},
	}
	for _, option := range options {
		option(l)
	}

	supervisor.Add(apricotway.ServiceFunc{Name: "lease of " + string(stream), Func: func(ctx context.Context) error {
		for {
			err := l.step(ctx)
			if ctx.Err() != nil {
				return ctx.Err()
			}

			if err != nil {
				l.logger.V(1).Info("lease stream not usable", "event", 231, "stream", stream, "error", err.Error())
				pause.For(ctx, retryPause)
			}
		}
	}})

	return l
}

// step reads the stream, waits for records until the lease is due, and claims or renews it then.
func (l *Lease) step(ctx context.Context) error {
	if err := l.read(ctx, 0); err != nil {
		return err
	}

	if wait := time.Until(l.due()); wait > 0 {
		return l.read(ctx, wait)
	}

	l.mu.Lock()
	replaces := l.fold.Current().Number
	l.mu.Unlock()

	record, err := lease.NewRecord(replaces, l.node)
	if err != nil {
		return err
	}

	l.mu.Lock()
	l.sent[record.ID] = time.Now()
	l.mu.Unlock()

	if _, err := l.writer.Append(ctx, l.stream, record); err != nil {
		return errors.Wrap(err, "append lease")
	}

	return l.read(ctx, 0)
}

// due returns the time of this process's next claim or renewal.
func (l *Lease) due() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()

	current := l.fold.Current()
	if sent, own := l.sent[current.Record]; own {
		return sent.Add(l.terms.TTL / renewals)
	}

	return l.terms.ChallengeAt(current)
}

// read folds the stream to its end and waits up to the given time for a first record.
func (l *Lease) read(ctx context.Context, wait time.Duration) error {
	for {
		l.mu.Lock()
		next := l.fold.Next()
		l.mu.Unlock()

		batch, err := l.log.Read(ctx, l.stream, next, readLimit, wait)
		if err != nil {
			return errors.Wrap(err, "read lease stream")
		}

		l.apply(batch.Records, time.Now())

		if len(batch.Records) < readLimit {
			return nil
		}

		wait = 0
	}
}

func (l *Lease) apply(records []apricotway.StoredRecord, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()

	for _, record := range records {
		before := l.fold.Current()
		if !l.fold.Apply(record, now) {
			// A second copy of the record in force is void as well, and must not end the lease.
			if record.ID != before.Record {
				delete(l.sent, record.ID)
			}

			continue
		}

		_, own := l.sent[record.ID]
		_, held := l.sent[before.Record]

		if own && !held {
			l.since, l.predecessor = now, before.Number != 0
			l.logger.Info("lease won", "event", 232, "stream", l.stream, "number", record.Offset)
		}

		delete(l.sent, before.Record)
	}
}

// order returns an order under the lease, if this process holds it at this moment.
func (l *Lease) order() (lease.Order, error) {
	l.mu.Lock()
	defer l.mu.Unlock()

	current := l.fold.Current()

	sent, own := l.sent[current.Record]
	if !own {
		return lease.Order{}, ErrNotHeld
	}

	order, valid := l.terms.NewOrder(current.Number, l.terms.ValidUntil(sent), time.Now())
	if !valid {
		return lease.Order{}, ErrNotHeld
	}

	return order, nil
}

// Held tells whether this process holds the lease at this moment.
func (l *Lease) Held() bool {
	_, err := l.order()
	return err == nil
}

// Enforce orders the target's desired condition unless it holds already. For targets that ignore the fencing number it
// first waits until every order of an earlier holder has ended; only then is what it reads back final. It fails with
// ErrNotHeld when this process does not hold the lease, and is called again whenever the condition may have changed.
func (l *Lease) Enforce(ctx context.Context, target Target, checksFencing bool) error {
	if !checksFencing {
		if err := l.waitForOldOrders(ctx); err != nil {
			return err
		}
	}

	satisfied, err := target.Satisfied(ctx)
	if err != nil {
		return errors.Wrap(err, "read back")
	}

	// A target that checks the number gets the order in any case: the number keeps later orders of earlier holders out.
	if satisfied && !checksFencing {
		return nil
	}

	order, err := l.order()
	if err != nil {
		return err
	}

	ctx, cancel := context.WithDeadline(ctx, order.NotAfter)
	defer cancel()

	return target.Apply(ctx, order)
}

// waitForOldOrders waits until the orders of an earlier holder have ended.
func (l *Lease) waitForOldOrders(ctx context.Context) error {
	if !l.Held() {
		return ErrNotHeld
	}

	l.mu.Lock()
	wait := time.Duration(0)

	if l.predecessor {
		wait = time.Until(l.since.Add(l.terms.MaxOrder + l.terms.Margin))
	}
	l.mu.Unlock()

	if wait > 0 {
		pause.For(ctx, wait)
	}

	return ctx.Err()
}
