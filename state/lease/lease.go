// Package lease folds the lease records of a stream and holds the rules for the validity of a lease. Who holds the lease
// depends on the order of the records alone. Times only determine when a holder stops and when another process may claim the
// lease.
package lease

import (
	"encoding/json"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/apricotway/apricotway"
)

// Kind is the kind of lease records. They are in the stream that the lease protects.
const Kind = "lease"

const schemaVersion = 1

// Terms are the durations of a lease. All processes that compete for a lease use the same values.
type Terms struct {
	// TTL is the time for which a claim or renewal is valid.
	TTL time.Duration
	// Margin covers the drift between monotonic clocks within one TTL.
	Margin time.Duration
	// MaxOrder bounds the time from sending an order to its effect at a backend server.
	MaxOrder time.Duration
}

// Record is the payload of a claim or renewal.
type Record struct {
	// Replaces is the offset of the lease record that this one replaces, 0 for the first one of a stream.
	Replaces apricotway.Offset `json:"replaces"`
	Holder   apricotway.NodeID `json:"holder"`
}

// NewRecord returns a claim or renewal with a new id.
func NewRecord(replaces apricotway.Offset, holder apricotway.NodeID) (apricotway.Record, error) {
	payload, err := json.Marshal(Record{Replaces: replaces, Holder: holder})
	if err != nil {
		return apricotway.Record{}, errors.Wrap(err, "encode lease")
	}

	return apricotway.Record{SchemaVersion: schemaVersion, Kind: Kind, ID: uuid.NewString(), Payload: payload}, nil
}

// Current is the lease record in force.
type Current struct {
	// Number is the offset of the record and the fencing number of the lease; 0 when there is no lease.
	Number apricotway.Offset
	// Record is the id of the record.
	Record string
	Holder apricotway.NodeID
	// Read is the time on the reader's clock when it read the record.
	Read time.Time
}

// Fold is the state that results from the lease records of one stream. It is not safe for concurrent use.
type Fold struct {
	next    apricotway.Offset
	current Current
	// later is set after a lease record of a later schema version: which lease is in force can't be told until a checkpoint says so.
	later bool
}

// New returns the state before the first record of a stream.
func New() *Fold { return &Fold{next: 1} }

// Next returns the offset to read from next.
func (f *Fold) Next() apricotway.Offset { return f.next }

// Current returns the lease record in force.
func (f *Fold) Current() Current { return f.current }

// Checkpoint is the lease in a checkpoint. The checkpoints of all streams that a lease protects have these fields among their
// own, so that a process that wants to claim the lease need not understand the others.
type Checkpoint struct {
	// Next is the offset of the first record that the checkpoint does not include.
	Next  apricotway.Offset `json:"next"`
	Lease struct {
		Number apricotway.Offset `json:"number"`
		Record string            `json:"record"`
		Holder apricotway.NodeID `json:"holder"`
	} `json:"lease"`
}

// Checkpoint returns the lease after all records below Next. All readers at the same offset return the same.
func (f *Fold) Checkpoint() Checkpoint {
	c := Checkpoint{Next: f.next}
	c.Lease.Number, c.Lease.Record, c.Lease.Holder = f.current.Number, f.current.Record, f.current.Holder

	return c
}

// Restore replaces the lease by that of a checkpoint read at the given time, unless the fold is already as far or further. A
// lease record that is new to this reader counts as read at that time. It was appended earlier, so that this process may claim
// the lease late, but never too early.
func (f *Fold) Restore(c Checkpoint, read time.Time) error {
	if c.Next <= f.next {
		return nil
	}

	if c.Lease.Number < f.current.Number || c.Lease.Number >= c.Next {
		return errors.Errorf("checkpoint at offset %d has lease number %d; want at least %d and less than the offset",
			c.Next, c.Lease.Number, f.current.Number)
	}

	// A record that was in force before keeps the time when it was read.
	if c.Lease.Number != f.current.Number {
		f.current = Current{Number: c.Lease.Number, Record: c.Lease.Record, Holder: c.Lease.Holder, Read: read}
	}

	f.next, f.later = c.Next, false

	return nil
}

// Apply folds a record that was read at the given time, and returns whether the record is now in force. After a record of a later schema
// version no other one comes into force, and the holder before it no longer is one.
func (f *Fold) Apply(record apricotway.StoredRecord, read time.Time) bool {
	if record.Offset < f.next {
		return false
	}

	f.next = record.Offset + 1

	if record.Kind == Kind && record.SchemaVersion > schemaVersion {
		f.current, f.later = Current{Number: record.Offset, Record: record.ID, Read: read}, true
	}

	var payload Record
	if f.later || record.Kind != Kind || record.SchemaVersion != schemaVersion ||
		json.Unmarshal(record.Payload, &payload) != nil || payload.Replaces != f.current.Number {
		return false
	}

	f.current = Current{Number: record.Offset, Record: record.ID, Holder: payload.Holder, Read: read}

	return true
}

// ChallengeAt returns the time from which another process may claim the lease.
func (t Terms) ChallengeAt(current Current) time.Time {
	if current.Number == 0 {
		return time.Time{}
	}

	return current.Read.Add(t.TTL + t.Margin)
}

// ValidUntil returns the time at which a holder must stop. sent is the monotonic time before it appended its lease record.
func (t Terms) ValidUntil(sent time.Time) time.Time { return sent.Add(t.TTL - t.Margin) }

// Order is the authority that accompanies a desired condition which a holder sends to a backend server.
type Order struct {
	// Number is the fencing number. A backend server that checks it refuses a number lower than one it has seen.
	Number apricotway.Offset `json:"number"`
	// NotAfter is the time after which the order must not take effect.
	NotAfter time.Time `json:"notAfter"`
}

// NewOrder returns an order that ends with the lease or after MaxOrder, whichever is earlier, and false if the lease is not
// valid.
func (t Terms) NewOrder(number apricotway.Offset, validUntil, now time.Time) (Order, bool) {
	if number == 0 || !now.Before(validUntil) {
		return Order{}, false
	}

	notAfter := now.Add(t.MaxOrder)
	if validUntil.Before(notAfter) {
		notAfter = validUntil
	}

	return Order{Number: number, NotAfter: notAfter}, true
}
