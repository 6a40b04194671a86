// Package ledger computes the state of one ledger shard from its stream: who owns the shard, which calls with an idempotency
// key may have run, and with which outcome. Every decision depends on the records and their order alone, so that all readers
// of a stream agree.
package ledger

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/apricotway/apricotway"
)

// The kinds of the records in a ledger stream.
const (
	KindClaim      = "claim"
	KindIntent     = "intent"
	KindOutcome    = "outcome"
	KindCheckpoint = "ledgerCheckpoint"
)

const schemaVersion = 1

// Key is the idempotency key of a call that runs at most once. Workspace and key are separate fields, because keys of two
// workspaces could collide in a concatenated form.
type Key struct {
	Workspace apricotway.Workspace `json:"workspace"`
	Key       string               `json:"key"`
}

// Shard returns the number of the key's shard. The length prefix separates the workspace from the key.
func (k Key) Shard(shards int) int {
	buffer := binary.AppendUvarint(nil, uint64(len(k.Workspace)))
	buffer = append(append(buffer, k.Workspace...), k.Key...)

	return int(xxhash.Sum64(buffer) % uint64(shards))
}

// Claim is the payload of a record by which a process claims the shard. The first claim that replaces the one in force wins.
type Claim struct {
	// Replaces is the offset of the claim that this one replaces, 0 for the first claim of a stream.
	Replaces apricotway.Offset `json:"replaces"`
	Owner    apricotway.NodeID `json:"owner"`
}

// Intent is the payload of the record that a process appends before it sends a call. The record's epoch is the offset of the
// writer's claim.
type Intent struct {
	Key Key `json:"key"`
	// Digest identifies the call, so that a different call with the same key is detected.
	Digest string `json:"digest"`
	// At is the writer's time of the intent. Keys expire by comparing it with the times of other intents.
	At time.Time `json:"at"`
}

// Result is what is known about the execution of the call of an intent.
type Result string

// The values of Result.
const (
	// ResultCompleted means that the backend server answered.
	ResultCompleted Result = "completed"
	// ResultUnknown means that the call was sent and no complete answer arrived.
	ResultUnknown Result = "unknown"
	// ResultAbandoned means that the call was not sent and never will be; the key may run under another intent.
	ResultAbandoned Result = "abandoned"
)

// Outcome is the payload of the record that ends an intent. Only the process that wrote the intent writes its outcome, so it is
// accepted even after the process has lost the shard.
type Outcome struct {
	// Intent is the record ID of the intent, which the writer knows even if the answer to its append was lost.
	Intent string `json:"intent"`
	Key    Key    `json:"key"`
	// At is the time of the intent, repeated because an abandoned outcome may precede its intent in the stream.
	At     time.Time           `json:"at"`
	Result Result              `json:"result"`
	Status int                 `json:"status,omitempty"`
	Header map[string][]string `json:"header,omitempty"`
	Body   []byte              `json:"body,omitempty"`
	// Omitted is set if the answer was too large to be recorded; Header and Body are empty then.
	Omitted bool `json:"omitted,omitempty"`
}

// Size returns the size of the recorded answer in bytes.
func (o Outcome) Size() int {
	total := len(o.Body)
	for name, values := range o.Header {
		for _, value := range values {
			total += len(name) + len(value)
		}
	}

	return total
}

// NewRecord encodes a payload into a record with a new ID.
func NewRecord(kind string, epoch apricotway.Offset, payload any) (apricotway.Record, error) {
	encoded, err := json.Marshal(payload)
	if err != nil {
		return apricotway.Record{}, errors.Wrap(err, "encode "+kind)
	}

	return apricotway.Record{
		SchemaVersion: schemaVersion, Kind: kind, ID: uuid.NewString(), Epoch: epoch, Payload: encoded,
	}, nil
}

// Digest returns a digest of the service, method, path and body of a call. Calls with the same key and different digests are
// different calls.
func Digest(service apricotway.Service, call apricotway.ServiceCall) (string, error) {
	// The body is replaced by its digest, so that an absent and an empty body give the same result.
	body := sha256.Sum256(call.Body)

	encoded, err := json.Marshal([]any{service, call.Method, call.Path, body[:]})
	if err != nil {
		return "", errors.Wrap(err, "encode call")
	}

	sum := sha256.Sum256(encoded)

	return hex.EncodeToString(sum[:]), nil
}
