package journal

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway"
)

// DefaultRememberedIDs is the number of record identifiers that a follower remembers by default. At the append budget of 100/s it
// covers 80 s of single-record appends, which is longer than a writer retries an append.
const DefaultRememberedIDs = 8192

// ErrNoCheckpoint reports that the records that a follower needs are trimmed and that the stream has no complete checkpoint to
// start from.
var ErrNoCheckpoint = errors.New("stream trimmed and no complete checkpoint")

// State is the state that a follower builds from the records of a stream.
type State interface {
	// Next returns the offset of the first record that the state does not include.
	Next() apricotway.Offset
	// Fold applies records, which come in offset order. Afterwards Next must be above all of their offsets.
	Fold(records []apricotway.StoredRecord)
	// Restore replaces the state by that of a checkpoint, unless the state already includes more records.
	Restore(state []byte) error
}

// Follower reads one stream in order and applies its records to a State. It is not safe for concurrent use.
type Follower struct {
	log    apricotway.Log
	stream apricotway.Stream
	state  State
	seen   *recentIDs
	// limit is the number of records that the next read asks for, at most readLimit.
	limit int
	// search is the search for a checkpoint that a failed read has interrupted; nil if there is none.
	search *checkpointSearch
}

// checkpointSearch is the progress of a search for the newest complete checkpoint.
type checkpointSearch struct {
	// oldest is the offset at which the search began, and from that of the next record to read.
	oldest, from apricotway.Offset
	found        checkpointAssembler
}

// FollowerOption changes a follower under construction.
type FollowerOption func(*Follower)

// WithRememberedIDs sets the number of record identifiers that the follower remembers to drop second copies of records. With 0 it
// drops none; that is for a state on which a repeated record has no effect.
func WithRememberedIDs(count int) FollowerOption {
	return func(f *Follower) { f.seen = newRecentIDs(count) }
}

// NewFollower returns a follower that continues from the state's position.
func NewFollower(log apricotway.Log, stream apricotway.Stream, state State, options ...FollowerOption) *Follower {
	f := &Follower{log: log, stream: stream, state: state, seen: newRecentIDs(DefaultRememberedIDs), limit: readLimit}
	for _, option := range options {
		option(f)
	}

	return f
}

// Step reads once, waiting up to the given time for a first record, and reports whether it reached the end of the stream. When the
// record at the state's position is trimmed, it restores the newest complete checkpoint.
func (f *Follower) Step(ctx context.Context, wait time.Duration) (end bool, err error) {
	batch, err := f.read(ctx, f.state.Next(), wait)
	if errors.Is(err, apricotway.ErrTrimmed) {
		return false, f.restoreCheckpoint(ctx, batch.Oldest)
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
			// A second copy is replaced by a checkpoint record, which states ignore, so that the state's position still advances.
			record.Record = apricotway.Record{Kind: apricotway.KindCheckpoint}
		}

		fresh = append(fresh, record)
	}

	f.state.Fold(fresh)

	return false, nil
}

// read reads once. After a read that failed, the next one asks for fewer records: the answer may be larger than what the client accepts, or
// take longer than its time limit, and would fail again and again.
func (f *Follower) read(ctx context.Context, from apricotway.Offset, wait time.Duration) (apricotway.Batch, error) {
	const reduction, growth = 4, 2

	batch, err := f.log.Read(ctx, f.stream, from, f.limit, wait)

	switch {
	case err == nil:
		f.limit = min(f.limit*growth, readLimit)
	case !errors.Is(err, apricotway.ErrTrimmed):
		f.limit = max(f.limit/reduction, 1)
	}

	return batch, err
}

// restoreCheckpoint reads the stream from the oldest record to its end and restores the newest complete checkpoint. The next Step
// continues at the checkpoint's Next offset, or with the search if a read fails.
func (f *Follower) restoreCheckpoint(ctx context.Context, oldest apricotway.Offset) error {
	if f.search == nil {
		f.search = &checkpointSearch{oldest: oldest, from: oldest}
	}

	search := f.search

	for {
		batch, err := f.read(ctx, search.from, 0)
		if errors.Is(err, apricotway.ErrTrimmed) && batch.Oldest > search.from {
			// The stream was trimmed further while it was read.
			*search = checkpointSearch{oldest: batch.Oldest, from: batch.Oldest}
			continue
		}

		if err != nil {
			return errors.Wrap(err, "look for a checkpoint")
		}

		if len(batch.Records) == 0 {
			break
		}

		for _, record := range batch.Records {
			search.found.add(record, max(search.oldest, batch.Oldest))
		}

		search.from = batch.Next
	}

	found := search.found
	f.search = nil

	if found.next == 0 {
		return ErrNoCheckpoint
	}

	// The remembered identifiers belong to records before the gap. A second copy of a record that the checkpoint includes is not
	// dropped, so a state must itself recognise records that it must not apply twice.
	f.seen.reset()

	if err := f.state.Restore(found.state); err != nil {
		return errors.Wrap(err, "restore checkpoint")
	}

	return nil
}

// recentIDs is a set of record identifiers with a fixed capacity. When it is full, the oldest element is removed.
type recentIDs struct {
	ring   []string
	oldest int
	set    map[string]struct{}
}

func newRecentIDs(count int) *recentIDs {
	return &recentIDs{ring: make([]string, count), set: map[string]struct{}{}}
}

// add adds an identifier and reports whether it was in the set already.
func (r *recentIDs) add(id string) bool {
	if len(r.ring) == 0 || id == "" {
		return false
	}

	if _, ok := r.set[id]; ok {
		return true
	}

	delete(r.set, r.ring[r.oldest])
	r.ring[r.oldest] = id
	r.set[id] = struct{}{}
	r.oldest = (r.oldest + 1) % len(r.ring)

	return false
}

func (r *recentIDs) reset() { *r = *newRecentIDs(len(r.ring)) }
