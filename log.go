package apricotway

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"
)

// Stream names one stream of the log service.
type Stream string

// The streams of which there is one. Ledger streams exist per shard and fleet streams per region.
const (
	StreamConfig  Stream = "config"
	StreamControl Stream = "control"
	StreamUsage   Stream = "usage"
)

// KindCheckpoint is the kind of a record that carries a part of a checkpoint of its stream.
const KindCheckpoint = "checkpoint"

// Offset is the position of a record in its stream. The first record has offset 1; 0 means "no record".
type Offset uint64

// Record is the envelope of everything that is appended to the log service.
type Record struct {
	// SchemaVersion is the version of the payload's schema. The schema of a version never changes.
	SchemaVersion int `json:"schemaVersion"`
	// Kind selects the payload's type.
	Kind string `json:"kind"`
	// ID is unique per logical append. A retried append has the same ID, and readers drop every copy but the first.
	ID string `json:"id"`
	// Epoch is the fencing number of the lease under which the record was written; 0 when no lease protects the stream.
	Epoch Offset `json:"epoch,omitempty"`
	// Payload is the JSON document of the record.
	Payload json.RawMessage `json:"payload"`
}

// StoredRecord is a record with the position and time that the log service assigned to it.
type StoredRecord struct {
	Record

	// Offset is greater than that of every earlier record of the stream.
	Offset Offset `json:"offset"`
	// Time is the log service's time of the append, the same for every reader. It is informative: whether a record is valid must
	// not depend on it.
	Time time.Time `json:"time"`
}

// Batch is the result of one read.
type Batch struct {
	// Records are in the order of their offsets. None is missing between them, but trimmed ones may be missing before the
	// first.
	Records []StoredRecord `json:"records"`
	// Next is the offset to read from next.
	Next Offset `json:"next"`
	// Oldest is the lowest offset that the service still keeps.
	Oldest Offset `json:"oldest"`
	// End is the offset after the newest record that the service kept at the time of the read; 0 if it doesn't tell.
	End Offset `json:"end,omitempty"`
}

// Log is the platform's append-only log service.
type Log interface {
	// Append writes the records in order as one unit and returns the offset of the first. An error that wraps
	// ErrAppendUnknown means that the append may have taken effect; every other error means that it did not.
	Append(ctx context.Context, stream Stream, records []Record) (Offset, error)
	// Read returns up to limit records from the given offset on. It waits up to the given time for a first record and
	// returns an empty batch when none arrives. It fails with ErrTrimmed when from is no longer kept; the batch then has no
	// records, but its Oldest is set.
	Read(ctx context.Context, stream Stream, from Offset, limit int, wait time.Duration) (Batch, error)
}

// Errors that every implementation of Log returns, possibly wrapped.
var (
	// ErrLogUnavailable reports that the service did not accept the call.
	ErrLogUnavailable = errors.New("log service unavailable")
	// ErrAppendUnknown reports that an append may or may not have taken effect.
	ErrAppendUnknown = errors.New("append outcome unknown")
	// ErrConflict reports that a conditional append failed because records were appended meanwhile.
	ErrConflict = errors.New("log has grown")
	// ErrTrimmed reports that the requested offset is no longer kept.
	ErrTrimmed = errors.New("offset trimmed")
)
