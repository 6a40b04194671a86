// Package leasing claims and renews the lease of a stream, and gives orders to backend servers or the platform under it.
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
	// noCheckpointPause is the pause between two searches for a checkpoint, each of which reads all that is kept of the stream.
	noCheckpointPause = 30 * time.Second
	// retryPause keeps a holder or challenger from retrying in a busy loop while the log service is down.
	retryPause = 200 * time.Millisecond
	// renewalsPerTTL is the number of renewals within one TTL. A lease survives the loss of all but one of them.
	renewalsPerTTL = 3
)

// ErrNotHeld reports that this process does not hold the lease, or that too little of its validity is left.
var ErrNotHeld = errors.New("lease not held")

// Writer appends single records to the log service.
type Writer interface {
	Append(ctx context.Context, stream apricotway.Stream, record apricotway.Record) (apricotway.Offset, error)
}

// Target is a part of a backend server or host that has a desired state.
type Target interface {
	// Satisfied reads back whether the target is in the desired state.
	Satisfied(ctx context.Context) (bool, error)
	// Apply orders the desired state. It must not send the order after the context's deadline, which is the order's NotAfter.
	Apply(ctx context.Context, order lease.Order) error
}

// Lease claims and renews the lease of one stream while its supervisor runs. It is safe for concurrent use.
type Lease struct {
	writer Writer
	stream apricotway.Stream
	node   apricotway.NodeID
	terms  lease.Terms
	logger logr.Logger
	// follower is used only by the goroutine that claims and renews.
	follower *journal.Follower

	mu   sync.Mutex
	fold *lease.Fold
	// ownAppends holds the time before the append of each record of this process, by record ID. It serves to recognize a record
	// as this process's own although the answer to its append was lost.
	ownAppends map[string]time.Time
	// termStart is the time at which this process read its first record of the current term, zero during another holder's term.
	// hasPredecessor reports whether the term follows another holder's.
	termStart      time.Time
	hasPredecessor bool
}

// Option configures a Lease.
type Option func(*Lease)

// WithLogger sets the logger.
func WithLogger(logger logr.Logger) Option {
	return func(l *Lease) { l.logger = logger }
}

// New returns a Lease and adds its goroutine to the supervisor. If the beginning of the stream has been trimmed, the lease is
// restored from the newest complete checkpoint, whose state has the fields of lease.Checkpoint. Without a checkpoint this process
// does not claim: it could not tell a valid claim from a void one, and the state that the lease guards is unknown as well.
func New(
	supervisor *suture.Supervisor, log apricotway.Log, writer Writer, stream apricotway.Stream, node apricotway.NodeID,
	terms lease.Terms, options ...Option,
) *Lease {
	l := &Lease{
		writer: writer, stream: stream, node: node, terms: terms, logger: logr.Discard(),
		fold: lease.New(), ownAppends: map[string]time.Time{},
	}
	for _, option := range options {
		option(l)
	}

	// A second copy of a lease record is void because of the fencing number that it replaces.
	l.follower = journal.NewFollower(log, stream, (*followerState)(l), journal.WithRememberedIDs(0))

	supervisor.Add(apricotway.ServiceFunc{Name: "lease of " + string(stream), Func: func(ctx context.Context) error {
		for {
			err := l.step(ctx)
			if ctx.Err() != nil {
				return ctx.Err()
			}

			if errors.Is(err, journal.ErrNoCheckpoint) {
				l.logger.Info("cannot claim the lease: the stream was trimmed and holds no complete checkpoint", "event", 234, "stream", stream)
				pause.For(ctx, noCheckpointPause)
			} else if err != nil {
				l.logger.V(1).Info("failed to read or append to the lease stream", "event", 231, "stream", stream, "error", err.Error())
				pause.For(ctx, retryPause)
			}
		}
	}})

	return l
}

// step reads the stream, waits for further records until a claim or renewal is due, and then appends it.
func (l *Lease) step(ctx context.Context) error {
	if err := l.readToEnd(ctx); err != nil {
		return err
	}

	if wait := time.Until(l.nextAppend()); wait > 0 {
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
	l.ownAppends[record.ID] = time.Now()
	l.mu.Unlock()

	if _, err := l.writer.Append(ctx, l.stream, record); err != nil {
		return errors.Wrap(err, "append lease")
	}

	return l.readToEnd(ctx)
}

// nextAppend returns the time of this process's next claim or renewal.
func (l *Lease) nextAppend() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()

	current := l.fold.Current()
	if sent, own := l.ownAppends[current.Record]; own {
		return sent.Add(l.terms.TTL / renewalsPerTTL)
	}

	return l.terms.ChallengeAt(current)
}

// readToEnd reads the stream to its end and applies the records.
func (l *Lease) readToEnd(ctx context.Context) error {
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

// followerState implements journal.State on a Lease, for its follower.
type followerState Lease

// Next implements journal.State.
func (l *followerState) Next() apricotway.Offset {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.fold.Next()
}

// Restore implements journal.State.
func (l *followerState) Restore(state []byte) error {
	var checkpoint lease.Checkpoint
	if err := json.Unmarshal(state, &checkpoint); err != nil {
		return errors.Wrap(err, "decode the lease in the checkpoint")
	}

	l.mu.Lock()
	defer l.mu.Unlock()

	now, before := time.Now(), l.fold.Current()
	if err := l.fold.Restore(checkpoint, now); err != nil {
		return err
	}

	current := l.fold.Current()
	if current.Number != before.Number {
		// A record of this process that took effect among the records not read may follow another holder's.
		l.termStart, l.hasPredecessor = now, true
	}

	// Records between the old state and the checkpoint are never read, so drop their entries. A record older than the TTL gives
	// no lease even if it is read later.
	for record, sent := range l.ownAppends {
		if record != current.Record && now.Sub(sent) >= l.terms.TTL {
			delete(l.ownAppends, record)
		}
	}

	l.logger.Info("restored the lease from a checkpoint", "event", 238, "stream", l.stream, "number", current.Number,
		"next", l.fold.Next())

	return nil
}

// Fold implements journal.State.
func (l *followerState) Fold(records []apricotway.StoredRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()

	now := time.Now()

	for _, record := range records {
		before := l.fold.Current()
		if !l.fold.Apply(record, now) {
			// A second copy of the record in force is void as well, but must not end the lease.
			if record.ID != before.Record {
				delete(l.ownAppends, record.ID)
			}

			continue
		}

		_, own := l.ownAppends[record.ID]
		_, held := l.ownAppends[before.Record]

		if own && !held {
			l.termStart, l.hasPredecessor = now, before.Number != 0
			l.logger.Info("acquired the lease", "event", 232, "stream", l.stream, "number", record.Offset)
		}

		delete(l.ownAppends, before.Record)
	}
}

// newOrder returns an order under the lease, if this process holds it now.
func (l *Lease) newOrder() (lease.Order, error) {
	l.mu.Lock()
	defer l.mu.Unlock()

	current := l.fold.Current()

	sent, own := l.ownAppends[current.Record]
	if !own {
		return lease.Order{}, ErrNotHeld
	}

	order, valid := l.terms.NewOrder(current.Number, l.terms.ValidUntil(sent), time.Now())
	if !valid {
		return lease.Order{}, ErrNotHeld
	}

	return order, nil
}

// Held reports whether this process holds the lease now.
func (l *Lease) Held() bool {
	_, err := l.newOrder()
	return err == nil
}

// Enforce orders the target's desired state unless the target is in that state already. For targets that ignore the fencing
// number it first waits until every order of an earlier holder has ended, since only then what it reads back is final. It fails
// with ErrNotHeld if this process does not hold the lease. The caller repeats it whenever the state may have changed.
func (l *Lease) Enforce(ctx context.Context, target Target, checksFencing bool) error {
	if !checksFencing {
		if err := l.waitForEarlierOrders(ctx); err != nil {
			return err
		}
	}

	satisfied, err := target.Satisfied(ctx)
	if err != nil {
		return errors.Wrap(err, "read back the target's state")
	}

	// A target that checks the fencing number gets the order in any case, so that it refuses later orders of earlier holders.
	if satisfied && !checksFencing {
		return nil
	}

	order, err := l.newOrder()
	if err != nil {
		return err
	}

	ctx, cancel := context.WithDeadline(ctx, order.NotAfter)
	defer cancel()

	return target.Apply(ctx, order)
}

// waitForEarlierOrders waits until every order of an earlier holder has ended.
func (l *Lease) waitForEarlierOrders(ctx context.Context) error {
	if !l.Held() {
		return ErrNotHeld
	}

	l.mu.Lock()
	wait := time.Duration(0)

	if l.hasPredecessor {
		wait = time.Until(l.termStart.Add(l.terms.MaxOrder + l.terms.Margin))
	}
	l.mu.Unlock()

	if wait > 0 {
		pause.For(ctx, wait)
	}

	return ctx.Err()
}
