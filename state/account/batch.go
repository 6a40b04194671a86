// Package account holds the usage account: batches in a hash chain for each process, and the totals that anyone can
// recompute from the usage stream alone. It performs no I/O.
package account

import (
	"crypto/ed25519"
	"time"

	"github.com/apricotway/apricotway"
)

// KindBatch is the kind of the usage stream's records.
const KindBatch = "usageBatch"

// SchemaVersion is the version of the batch schema.
const SchemaVersion = 1

// Key is what usage is divided by.
type Key struct {
	Workspace    apricotway.Workspace    `json:"workspace"`
	Service      apricotway.Service      `json:"service"`
	Zone         apricotway.Zone         `json:"zone"`
	MachineClass apricotway.MachineClass `json:"machineClass"`
}

// Usage is an amount of use. Amounts of equal keys add up.
type Usage struct {
	Requests        int64 `json:"requests"`
	PromptTokens    int64 `json:"promptTokens"`
	GeneratedTokens int64 `json:"generatedTokens"`
	// RecomputedTokens were computed a second time after a reclaim or a failure; they are not in the other counts.
	RecomputedTokens int64 `json:"recomputedTokens"`
	// HedgedTokens were computed by attempts that lost against another attempt of their request.
	HedgedTokens int64 `json:"hedgedTokens"`
	// EngineMicroseconds is the time for which attempts held an engine.
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

// less tells whether any amount is below that of the other.
func (u Usage) less(other Usage) bool {
	return u.Requests < other.Requests || u.PromptTokens < other.PromptTokens ||
		u.GeneratedTokens < other.GeneratedTokens || u.RecomputedTokens < other.RecomputedTokens ||
		u.HedgedTokens < other.HedgedTokens || u.EngineMicroseconds < other.EngineMicroseconds
}

// negative tells whether any amount is below zero, which no use can cause.
func (u Usage) negative() bool {
	return min(u.Requests, u.PromptTokens, u.GeneratedTokens, u.RecomputedTokens, u.HedgedTokens, u.EngineMicroseconds) < 0
}

// Entry is the use of one key.
type Entry struct {
	Key
	Usage
}

// Batch is what one process used in one interval.
type Batch struct {
	Node apricotway.NodeID `json:"node"`
	// Sequence counts the batches of the process from 1 without gaps.
	Sequence uint64 `json:"sequence"`
	// Previous is the hash of the process's batch before this one; empty in the first.
	Previous string    `json:"previous,omitempty"`
	From     time.Time `json:"from"`
	To       time.Time `json:"to"`
	// Last is set in the batch that a process writes at its planned stop.
	Last    bool    `json:"last,omitempty"`
	Entries []Entry `json:"entries"`
	// Signer names the key that made Signature; both are empty in a batch without signature.
	Signer    string `json:"signer,omitempty"`
	Signature []byte `json:"signature,omitempty"`
}

// Hash returns the hexadecimal SHA-256 digest of the batch without its signature.
func (b Batch) Hash() (string, error) {
	b.Signature = nil

	return hashOf(b)
}

// Sign returns the batch with the signature of the named key.
func (b Batch) Sign(signer string, key ed25519.PrivateKey) (Batch, error) {
	b.Signer = signer

	hash, err := b.Hash()
	if err != nil {
		return Batch{}, err
	}

	b.Signature = ed25519.Sign(key, []byte(hash))

	return b, nil
}
