// Package account computes the usage account from the records of the usage stream. Each process writes its usage in batches
// that form a hash chain; anyone can recompute the totals from the stream alone. The package performs no I/O.
package account

import (
	"crypto/ed25519"
	"time"

	"github.com/apricotway/apricotway"
)

// KindBatch is the kind of a record with the usage of one process in one interval.
const KindBatch = "usageBatch"

// SchemaVersion is the schema version of all records of the usage stream.
const SchemaVersion = 1

// Key identifies what usage is accounted to.
type Key struct {
	Workspace    apricotway.Workspace    `json:"workspace"`
	Service      apricotway.Service      `json:"service"`
	Zone         apricotway.Zone         `json:"zone"`
	MachineClass apricotway.MachineClass `json:"machineClass"`
}

// Usage holds the amounts used. The amounts of equal keys are added.
type Usage struct {
	Requests        int64 `json:"requests"`
	PromptTokens    int64 `json:"promptTokens"`
	GeneratedTokens int64 `json:"generatedTokens"`
	// RecomputedTokens counts tokens that were computed again after a reclaim or a failure; the other counts do not include
	// them.
	RecomputedTokens int64 `json:"recomputedTokens"`
	// HedgedTokens counts tokens of hedged attempts whose result was not used because another attempt of the request won.
	HedgedTokens int64 `json:"hedgedTokens"`
	// EngineMicroseconds is the time for which attempts occupied an engine.
	EngineMicroseconds int64 `json:"engineMicroseconds"`
}

// Add returns the sum of two amounts.
func (u Usage) Add(other Usage) Usage {
	return Usage{
		Requests:           u.Requests + other.Requests,
		PromptTokens:       u.PromptTokens + other.PromptTokens,
		GeneratedTokens:    u.GeneratedTokens + other.GeneratedTokens,
		RecomputedTokens:   u.RecomputedTokens + other.RecomputedTokens,
		HedgedTokens:       u.HedgedTokens + other.HedgedTokens,
		EngineMicroseconds: u.EngineMicroseconds + other.EngineMicroseconds,
	}
}

// anyLess reports whether any amount is below the corresponding one of other.
func (u Usage) anyLess(other Usage) bool {
	return u.Requests < other.Requests || u.PromptTokens < other.PromptTokens ||
		u.GeneratedTokens < other.GeneratedTokens || u.RecomputedTokens < other.RecomputedTokens ||
		u.HedgedTokens < other.HedgedTokens || u.EngineMicroseconds < other.EngineMicroseconds
}

// anyNegative reports whether any amount is below zero, which a valid batch never contains.
func (u Usage) anyNegative() bool {
	return min(u.Requests, u.PromptTokens, u.GeneratedTokens, u.RecomputedTokens, u.HedgedTokens, u.EngineMicroseconds) < 0
}

// Entry is the usage of one key.
type Entry struct {
	Key
	Usage
}

// Batch is the payload of a record with the usage of one process in one interval.
type Batch struct {
	Node apricotway.NodeID `json:"node"`
	// Sequence numbers the batches of the process from 1 without gaps.
	Sequence uint64 `json:"sequence"`
	// Previous is the hash of the process's preceding batch; empty in the first.
	Previous string    `json:"previous,omitempty"`
	From     time.Time `json:"from"`
	To       time.Time `json:"to"`
	// Last is set in the batch that a process writes when it shuts down in an orderly way.
	Last    bool    `json:"last,omitempty"`
	Entries []Entry `json:"entries"`
	// Signer is the name of the signer who made Signature; both are empty in an unsigned batch.
	Signer    string `json:"signer,omitempty"`
	Signature []byte `json:"signature,omitempty"`
}

// Hash returns the hexadecimal SHA-256 digest of the batch without its signature.
func (b Batch) Hash() (string, error) {
	b.Signature = nil

	return hashOf(b)
}

// Sign returns the batch signed with the key under the signer's name.
func (b Batch) Sign(signer string, key ed25519.PrivateKey) (Batch, error) {
	b.Signer = signer

	hash, err := b.Hash()
	if err != nil {
		return Batch{}, err
	}

	b.Signature = ed25519.Sign(key, []byte(hash))

	return b, nil
}
