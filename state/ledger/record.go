// Package ledger folds the stream of one ledger shard: who owns the shard, which keyed calls may have run, and with which
// outcome. Every decision follows from the records and their order alone, so that all readers of a stream agree.
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

// Key identifies a call that runs at most once. Workspace and key stay separate fields, since any joined form would let
// the keys of two workspaces collide.
type Key struct {
	Workspace apricotway.Workspace `json:"workspace"`
	Key       string               `json:"key"`
}

// Shard returns the shard of the key.
func (k Key) Shard(shards int) int {
	buffer := binary.AppendUvarint(nil, uint64(len(k.Workspace)))
	buffer = append(append(buffer, k.Workspace...), k.Key...)

	return int(xxhash.Sum64(buffer) % uint64(shards))
}

// Claim is the payload of a claim of the shard. The first claim that names the current one wins.
type Claim struct {
	// Replaces is the offset of the claim that this one replaces, 0 for the first claim of a stream.
	Replaces apricotway.Offset `json:"replaces"`
	Owner    apricotway.NodeID `json:"owner"`
}

// Intent is the payload that precedes a call. Its envelope carries the offset of the writer's claim as epoch.
type Intent struct {
	Key    Key    `json:"key"`
	Digest string `json:"digest"`
	// At is the writer's time of the intent; the ageing of keys compares it with the times of other intents.
	At time.Time `json:"at"`
}

// Result is what is known of the execution of an intent.
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

// Outcome is the payload that ends an intent. Only the process that wrote the intent writes its outcome, so it counts even
// after the process has lost the shard.
type Outcome struct {
	// Intent is the record id of the intent, which is known even when the answer to its append was lost.
	Intent string `json:"intent"`
	Key    Key    `json:"key"`
	// At repeats the time of the intent; an abandoned outcome may precede its intent in the stream.
	At     time.Time           `json:"at"`
	Result Result              `json:"result"`
	Status int                 `json:"status,omitempty"`
	Header map[string][]string `json:"header,omitempty"`
	Body   []byte              `json:"body,omitempty"`
	// Omitted tells that the body was larger than what the ledger records.
	Omitted bool `json:"omitted,omitempty"`
}

// Size returns the bytes of the recorded answer.
func (o Outcome) Size() int {
	total := len(o.Body)
	for name, values := range o.Header {
		for _, value := range values {
			total += len(name) + len(value)
		}
	}

	return total
}

// NewRecord wraps a payload into an envelope with a new id.
func NewRecord(kind string, epoch apricotway.Offset, payload any) (apricotway.Record, error) {
	encoded, err := json.Marshal(payload)
	if err != nil {
		return apricotway.Record{}, errors.Wrap(err, "encode "+kind)
	}

	return apricotway.Record{
		SchemaVersion: schemaVersion, Kind: kind, ID: uuid.NewString(), Epoch: epoch, Payload: encoded,
	}, nil
}

// Digest identifies what a call asks for: two calls with the same key and different digests are different calls.
func Digest(service apricotway.Service, call apricotway.ServiceCall) (string, error) {
	// The body's own digest stands for it, since an absent and an empty body are the same call.
	body := sha256.Sum256(call.Body)

	encoded, err := json.Marshal([]any{service, call.Method, call.Path, body[:]})
	if err != nil {
		return "", errors.Wrap(err, "encode call")
	}

	sum := sha256.Sum256(encoded)

	return hex.EncodeToString(sum[:]), nil
}
