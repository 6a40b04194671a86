package journal

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway"
)

// DefaultSeen is the number of record identifiers that a follower remembers. At the append budget of 100/s it covers 80 s
// of single-record appends, more than the time for which a writer re-sends.
const DefaultSeen = 8192

// ErrNoCheckpoint reports that the records that a follower needs are trimmed and that the stream holds no complete
// checkpoint to start from.
var ErrNoCheckpoint = errors.New("stream trimmed and no complete checkpoint")

// State is what a follower keeps up to date.
type State interface {
	// Next returns the offset of the first record that the state does not include.
	Next() apricotway.Offset
	// Fold takes records in offset order. Next is above all of their offsets afterwards.
	Fold(records []apricotway.StoredRecord)
	// Restore replaces the state by that of a checkpoint, unless it already goes beyond it.
	Restore(state []byte) error
}

// Follower reads one stream in order. It is not safe for concurrent use.
type Follower struct {
	log    apricotway.Log
	stream apricotway.Stream
	state  State
	seen   *recent
}

// FollowerOption changes a follower under construction.
type FollowerOption func(*Follower)

// WithSeen sets the number of record identifiers that the follower remembers. With 0 it passes second copies on; that is
// for a state whose records are void by themselves when they are repeated.
func WithSeen(count int) FollowerOption {
	return func(f *Follower) { f.seen = newRecent(count) }
}

// NewFollower returns a follower that goes on from the state's position.
func NewFollower(log apricotway.Log, stream apricotway.Stream, state State, options ...FollowerOption) *Follower {
	f := &Follower{log: log, stream: stream, state: state, seen: newRecent(DefaultSeen)}
	for _, option := range options {
		option(f)
	}

	return f
}

// Step reads once, waiting up to the given time for a first record, and reports whether the end of the stream was seen.
// When the state's position is trimmed it restores the newest complete checkpoint.
func (f *Follower) Step(ctx context.Context, wait time.Duration) (end bool, err error) {
	batch, err := f.log.Read(ctx, f.stream, f.state.Next(), readLimit, wait)
	if errors.Is(err, apricotway.ErrTrimmed) {
		return false, f.restart(ctx, batch.Oldest)
	}

	if err != nil {
		return false, errors.Wrap(err, "read stream")
	}

	if len(batch.Records) == 0 {
		return true, nil
	}

	fresh := make([]apricotway.StoredRecord, 0, len(batch.Records))

	for _, record := range batch.Records {
		if f.seen.add(record.ID) {
			// The copy takes part as a record of no kind, so that the state's position passes it.
			record.Record = apricotway.Record{Kind: apricotway.KindCheckpoint}
		}

		fresh = append(fresh, record)
	}

	f.state.Fold(fresh)

	return false, nil
}

// restart reads the stream from the oldest record to its end and restores the newest complete checkpoint. Following then
// goes on at the offset that the checkpoint covers.
func (f *Follower) restart(ctx context.Context, oldest apricotway.Offset) error {
	var found assembly

	for from := oldest; ; {
		batch, err := f.log.Read(ctx, f.stream, from, readLimit, 0)
		if errors.Is(err, apricotway.ErrTrimmed) && batch.Oldest > from {
			// The stream was trimmed again meanwhile.
			from, found = batch.Oldest, assembly{}
			continue
		}

		if err != nil {
			return errors.Wrap(err, "look for a checkpoint")
		}

		if len(batch.Records) == 0 {
			break
		}

		for _, record := range batch.Records {
			found.add(record, max(oldest, batch.Oldest))
		}

		from = batch.Next
	}

	if found.next == 0 {
		return ErrNoCheckpoint
	}

	// The identifiers seen so far belong to records before the gap. A second copy of a record that the checkpoint includes is
	// passed on, so a state has to recognise what it must not take twice.
	f.seen.reset()

	if err := f.state.Restore(found.state); err != nil {
		return errors.Wrap(err, "restore checkpoint")
	}

	return nil
}

// recent is a bounded set that forgets its oldest element first.
type recent struct {
	ring []string
	at   int
	set  map[string]struct{}
}

func newRecent(count int) *recent {
	return &recent{ring: make([]string, count), set: map[string]struct{}{}}
}

// add reports whether the identifier was there already.
func (r *recent) add(id string) bool {
	if len(r.ring) == 0 || id == "" {
		return false
	}

	if _, ok := r.set[id]; ok {
		return true
	}

	delete(r.set, r.ring[r.at])
	r.ring[r.at] = id
	r.set[id] = struct{}{}
	r.at = (r.at + 1) % len(r.ring)

	return false
}

func (r *recent) reset() { *r = *newRecent(len(r.ring)) }
