package ledger

import (
	"encoding/json"
	"time"

	"github.com/apricotway/apricotway"
)

// Verdict is the effect of a record on the state.
type Verdict string

// The values of Verdict.
const (
	VerdictApplied Verdict = "applied"
	// VerdictIgnored marks a record without an effect, mostly because an earlier record takes precedence.
	VerdictIgnored Verdict = "void"
	// VerdictUnreadable marks a record that this release cannot decode, or of an unknown kind or schema version.
	VerdictUnreadable Verdict = "unreadable"
	// VerdictBuffered marks a record that is buffered until a checkpoint is complete.
	VerdictBuffered Verdict = "held"
)

// Holder is the claim in force and thereby the owner of the shard.
type Holder struct {
	// Offset is the offset of the claim, 0 if the shard was never claimed. Intents carry it as their epoch, which serves as a
	// fencing token.
	Offset apricotway.Offset `json:"offset"`
	// Record is the ID of the claim's record.
	Record string            `json:"record"`
	Owner  apricotway.NodeID `json:"owner"`
}

// Entry is a key in use with its intent and, if recorded, its outcome.
type Entry struct {
	Key    Key       `json:"key"`
	Intent string    `json:"intent"`
	Digest string    `json:"digest"`
	At     time.Time `json:"at"`
	// Outcome is nil until the outcome is recorded. It is never ResultAbandoned: an abandoned intent has no entry.
	Outcome *Outcome `json:"outcome,omitempty"`
}

// Fold is the state of one shard that results from applying the records of its stream in order. It is not safe for concurrent
// use.
type Fold struct {
	// retention is the age at which a key expires. All readers of a stream must use the same value.
	retention time.Duration
	next      apricotway.Offset
	holder    Holder
	// latest is the greatest time of an accepted intent. Ages are measured against it and not against a reader's clock, so
	// that all readers expire a key at the same record.
	latest  time.Time
	entries map[Key]*Entry
	// queue holds the entries in the order of their intents; expired ones are removed from its front.
	queue []*Entry
	// abandoned holds the record IDs and times of abandoned intents: a delayed copy of such an intent must not be accepted.
	abandoned map[string]time.Time
	// restore is nil unless the state waits for a complete checkpoint.
	restore *restoration
	tracker checkpointTracker
	// hasLater is set once a record of a later schema version was applied, and laterAt is the time of the newest one, zero if the log does
	// not tell it.
	hasLater bool
	laterAt  time.Time
}

// New returns the state before the first record of a stream. Retention is the age at which keys expire.
func New(retention time.Duration) *Fold {
	return &Fold{retention: retention, next: 1, entries: map[Key]*Entry{}, abandoned: map[string]time.Time{}}
}

// Next returns the offset to read from next.
func (f *Fold) Next() apricotway.Offset { return f.next }

// Ready reports whether the state is complete. After a trim it is not until a complete checkpoint has been applied.
func (f *Fold) Ready() bool { return f.restore == nil }

// Holder returns the claim in force.
func (f *Fold) Holder() Holder { return f.holder }

// Len returns the number of keys in the state.
func (f *Fold) Len() int { return len(f.entries) }

// Lookup returns the entry of a key unless the key has expired at the given time.
func (f *Fold) Lookup(key Key, at time.Time) (Entry, bool) {
	entry := f.entries[key]
	if entry == nil || f.expired(entry.At, at) {
		return Entry{}, false
	}

	return *entry, true
}

// HoldsLater reports whether the stream holds records of a later schema version that may concern live keys. A key without an entry may then
// have run, and the claim in force may be another one.
func (f *Fold) HoldsLater(at time.Time) bool {
	return f.hasLater && (f.laterAt.IsZero() || !f.expired(f.laterAt, at))
}

// IntentPending reports whether the intent with the record ID was accepted and has no outcome yet.
func (f *Fold) IntentPending(key Key, intent string) bool {
	entry := f.entries[key]
	return entry != nil && entry.Intent == intent && entry.Outcome == nil
}

// expired reports whether the time at is older than the retention, measured from the later of now and the latest intent.
func (f *Fold) expired(at, now time.Time) bool {
	if now.Before(f.latest) {
		now = f.latest
	}

	return now.Sub(at) > f.retention
}

// Apply applies the record at the next offset. A record that was applied before has no effect.
func (f *Fold) Apply(record apricotway.StoredRecord) Verdict {
	if record.Offset < f.next {
		return VerdictIgnored
	}

	f.next = record.Offset + 1

	if record.Kind == KindCheckpoint {
		f.tracker.add(record)
	}

	if f.restore != nil {
		return f.buffer(record)
	}

	return f.apply(record)
}

func (f *Fold) apply(record apricotway.StoredRecord) Verdict {
	if record.SchemaVersion > schemaVersion {
		f.hasLater, f.laterAt = true, record.Time
	}

	if record.SchemaVersion != schemaVersion {
		return VerdictUnreadable
	}

	switch record.Kind {
	case KindClaim:
		return applyPayload(record, f.applyClaim)
	case KindIntent:
		return applyPayload(record, f.applyIntent)
	case KindOutcome:
		return applyPayload(record, f.applyOutcome)
	case KindCheckpoint:
		return VerdictIgnored
	default:
		return VerdictUnreadable
	}
}

func applyPayload[Payload any](
	record apricotway.StoredRecord, apply func(apricotway.StoredRecord, Payload) bool,
) Verdict {
	var payload Payload
	if err := json.Unmarshal(record.Payload, &payload); err != nil {
		return VerdictUnreadable
	}

	if apply(record, payload) {
		return VerdictApplied
	}

	return VerdictIgnored
}

func (f *Fold) applyClaim(record apricotway.StoredRecord, claim Claim) bool {
	if claim.Replaces != f.holder.Offset {
		return false
	}

	f.holder = Holder{Offset: record.Offset, Record: record.ID, Owner: claim.Owner}

	return true
}

// applyIntent accepts an intent only if it was written under the claim in force, was not abandoned, and its key has no live
// entry at this position of the stream.
func (f *Fold) applyIntent(record apricotway.StoredRecord, intent Intent) bool {
	if record.Epoch == 0 || record.Epoch != f.holder.Offset || f.expired(intent.At, f.latest) {
		return false
	}

	if _, abandoned := f.abandoned[record.ID]; abandoned {
		return false
	}

	if _, live := f.Lookup(intent.Key, intent.At); live {
		return false
	}

	f.insert(&Entry{Key: intent.Key, Intent: record.ID, Digest: intent.Digest, At: intent.At})

	return true
}

// insert adds an entry and removes the expired ones.
func (f *Fold) insert(entry *Entry) {
	if f.latest.Before(entry.At) {
		f.latest = entry.At
	}

	f.entries[entry.Key] = entry
	f.queue = append(f.queue, entry)

	for len(f.queue) > 0 && f.expired(f.queue[0].At, f.latest) {
		old := f.queue[0]
		f.queue = f.queue[1:]

		if f.entries[old.Key] == old {
			delete(f.entries, old.Key)
		}
	}
}

// applyOutcome records the outcome of an accepted intent. An abandoned outcome removes the intent's entry, or, if it precedes its
// intent in the stream, prevents that the intent is accepted.
func (f *Fold) applyOutcome(_ apricotway.StoredRecord, outcome Outcome) bool {
	entry := f.entries[outcome.Key]
	own := entry != nil && entry.Intent == outcome.Intent

	if own && entry.Outcome != nil {
		return false
	}

	if outcome.Result != ResultAbandoned {
		if own {
			entry.Outcome = &outcome
		}

		return own
	}

	if own {
		delete(f.entries, outcome.Key)
	}

	for id, at := range f.abandoned {
		if f.expired(at, f.latest) {
			delete(f.abandoned, id)
		}
	}

	f.abandoned[outcome.Intent] = outcome.At

	return true
}
