// Package leasing claims and renews the lease of a stream and gives orders under it.
package leasing

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"github.com/thejerf/suture/v4"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/coordination/journal"
	"github.com/apricotway/apricotway/internal/pause"
	"github.com/apricotway/apricotway/state/lease"
)

const (
	// noCheckpointPause lies between two searches for a checkpoint, each of which reads all that is kept of the stream.
	noCheckpointPause = 30 * time.Second
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
	writer Writer
	stream apricotway.Stream
	node   apricotway.NodeID
	terms  lease.Terms
	logger logr.Logger
	// follower belongs to the goroutine of the lease.
	follower *journal.Follower

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

// New returns a contender and adds its goroutine to the supervisor. Once the beginning of the stream is trimmed, the lease
// comes from the newest complete checkpoint, whose state has the fields of lease.Checkpoint. Without one this process does not
// claim: it could not tell a claim in force from a void one, and what the lease guards is unknown as well.
func New(
	supervisor *suture.Supervisor, log apricotway.Log, writer Writer, stream apricotway.Stream, node apricotway.NodeID,
	terms lease.Terms, options ...Option,
) *Lease {
	l := &Lease{
		writer: writer, stream: stream, node: node, terms: terms, logger: logr.Discard(),
		fold: lease.New(), sent: map[string]time.Time{},
	}
	for _, option := range options {
		option(l)
	}

	// A second copy of a lease record is void by the number that it replaces.
	l.follower = journal.NewFollower(log, stream, (*leaseState)(l), journal.WithSeen(0))

	supervisor.Add(apricotway.ServiceFunc{Name: "lease of " + string(stream), Func: func(ctx context.Context) error {
		for {
			err := l.step(ctx)
			if ctx.Err() != nil {
				return ctx.Err()
			}

			if errors.Is(err, journal.ErrNoCheckpoint) {
				l.logger.Info("lease not claimed: stream trimmed without a checkpoint", "event", 234, "stream", stream)
				pause.For(ctx, noCheckpointPause)
			} else if err != nil {
				l.logger.V(1).Info("lease stream not usable", "event", 231, "stream", stream, "error", err.Error())
				pause.For(ctx, retryPause)
			}
		}
	}})

	return l
}

// step reads the stream, waits for records until the lease is due, and claims or renews it then.
func (l *Lease) step(ctx context.Context) error {
	if err := l.read(ctx); err != nil {
		return err
	}

	if wait := time.Until(l.due()); wait > 0 {
		if _, err := l.follower.Step(ctx, wait); err != nil {
			return errors.Wrap(err, "wait for lease records")
		}

		return nil
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

	return l.read(ctx)
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

// read folds the stream to its end.
func (l *Lease) read(ctx context.Context) error {
	for {
		end, err := l.follower.Step(ctx, 0)
		if err != nil {
			return errors.Wrap(err, "read lease stream")
		}

		if end {
			return nil
		}
	}
}

// leaseState is the lease as its follower sees it.
type leaseState Lease

// Next implements journal.State.
func (l *leaseState) Next() apricotway.Offset {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.fold.Next()
}

// Restore implements journal.State.
func (l *leaseState) Restore(state []byte) error {
	var checkpoint lease.Checkpoint
	if err := json.Unmarshal(state, &checkpoint); err != nil {
		return errors.Wrap(err, "decode lease")
	}

	l.mu.Lock()
	defer l.mu.Unlock()

	now, before := time.Now(), l.fold.Current()
	if err := l.fold.Restore(checkpoint, now); err != nil {
		return err
	}

	current := l.fold.Current()
	if current.Number != before.Number {
		// An own record that won within the gap may follow another holder's.
		l.since, l.predecessor = now, true
	}

	// Records within the gap are never read. One that is older than the lease's time gives no lease when it is read later.
	for record, sent := range l.sent {
		if record != current.Record && now.Sub(sent) >= l.terms.TTL {
			delete(l.sent, record)
		}
	}

	l.logger.Info("lease restored from a checkpoint", "event", 238, "stream", l.stream, "number", current.Number,
		"next", l.fold.Next())

	return nil
}

// Fold implements journal.State.
func (l *leaseState) Fold(records []apricotway.StoredRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()

	now := time.Now()

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
