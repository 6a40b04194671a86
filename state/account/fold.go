package account

import (
	"cmp"
	"crypto/ed25519"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/apricotway/apricotway"
)

// FaultKind tells what is wrong with a batch.
type FaultKind string

// The values of FaultKind.
const (
	// FaultMalformed marks a record that is no valid batch.
	FaultMalformed FaultKind = "malformed"
	// FaultGap marks a batch before which at least one is missing.
	FaultGap FaultKind = "gap"
	// FaultChain marks a batch that does not continue the chain of its process, or a second one under a used number.
	FaultChain FaultKind = "chain"
	// FaultSignature marks a batch whose signature is missing, unknown or wrong.
	FaultSignature FaultKind = "signature"
)

// Fault is one fault of the usage stream.
type Fault struct {
	Offset   apricotway.Offset `json:"offset"`
	Node     apricotway.NodeID `json:"node,omitempty"`
	Sequence uint64            `json:"sequence,omitempty"`
	Kind     FaultKind         `json:"kind"`
	Detail   string            `json:"detail"`
}

// chain is what is known of one process's batches.
type chain struct {
	// sequence and hash are those of the newest accepted batch.
	sequence uint64
	hash     string
	last     bool
}

// Fold computes totals and faults from the records of the usage stream. Equal streams give equal results wherever they are
// folded.
type Fold struct {
	// signers maps the names of keys to public keys; when it is nil, signatures are not checked.
	signers map[string]ed25519.PublicKey
	chains  map[apricotway.NodeID]*chain
	totals  map[Key]Usage
	faults  []Fault
	// repeats counts the dropped second copies of batches.
	repeats int
	batches int
	// trimmed is set when the stream's start is no longer kept; trimmedChains counts the chains that begin behind it.
	trimmed       bool
	trimmedChains int
}

// Option changes a fold under construction.
type Option func(*Fold)

// WithSigners makes the fold count only batches that one of the keys signed.
func WithSigners(signers map[string]ed25519.PublicKey) Option {
	return func(f *Fold) { f.signers = signers }
}

// New returns an empty fold.
func New(options ...Option) *Fold {
	f := &Fold{chains: map[apricotway.NodeID]*chain{}, totals: map[Key]Usage{}}
	for _, option := range options {
		option(f)
	}

	return f
}

// Trimmed tells the fold that the stream's start is no longer kept, so that chains may begin with any number.
func (f *Fold) Trimmed() { f.trimmed = true }

// Apply folds one record. A batch with a fault in its chain or signature is not counted; one behind a gap is, since the
// fault is the missing batch.
func (f *Fold) Apply(record apricotway.StoredRecord) {
	var batch Batch
	if record.Kind != KindBatch || record.SchemaVersion != SchemaVersion {
		f.fault(record, batch, FaultMalformed, fmt.Sprintf("kind %s version %d", record.Kind, record.SchemaVersion))
		return
	}

	if err := json.Unmarshal(record.Payload, &batch); err != nil {
		f.fault(record, batch, FaultMalformed, err.Error())
		return
	}

	hash, err := batch.Hash()
	if err != nil {
		f.fault(record, batch, FaultMalformed, err.Error())
		return
	}

	if detail := f.checkSignature(batch, hash); detail != "" {
		f.fault(record, batch, FaultSignature, detail)
		return
	}

	if f.acceptChain(record, batch, hash) {
		f.count(record, batch)
	}
}

func (f *Fold) checkSignature(batch Batch, hash string) string {
	if f.signers == nil {
		return ""
	}

	key, ok := f.signers[batch.Signer]
	if !ok {
		return fmt.Sprintf("signer %q is unknown", batch.Signer)
	}

	if !ed25519.Verify(key, []byte(hash), batch.Signature) {
		return "the signature does not fit the batch"
	}

	return ""
}

// acceptChain tells whether the batch continues the chain of its process, with or without a gap.
func (f *Fold) acceptChain(record apricotway.StoredRecord, batch Batch, hash string) bool {
	current := f.chains[batch.Node]
	if current == nil {
		current = &chain{}
		f.chains[batch.Node] = current
	}

	switch {
	case batch.Sequence == 0 || batch.Node == "":
		f.fault(record, batch, FaultMalformed, "node and sequence are required")
		return false
	case f.trimmed && current.sequence == 0 && batch.Sequence > 1:
		f.trimmedChains++
	case batch.Sequence == current.sequence && hash == current.hash:
		f.repeats++
		return false
	case batch.Sequence <= current.sequence:
		// Batches of one process are appended one after the other, so an earlier number is a late copy or an alteration;
		// without the hash of every batch the two cannot be told apart, and neither may count.
		f.fault(record, batch, FaultChain, fmt.Sprintf("follows batch %d", current.sequence))
		return false
	case batch.Sequence == current.sequence+1 && batch.Previous != current.hash:
		f.fault(record, batch, FaultChain, "the hash of the batch before differs")
		return false
	case batch.Sequence > current.sequence+1:
		f.fault(record, batch, FaultGap, fmt.Sprintf("%d batches missing", batch.Sequence-current.sequence-1))
	}

	current.sequence, current.hash, current.last = batch.Sequence, hash, batch.Last

	return true
}

func (f *Fold) count(record apricotway.StoredRecord, batch Batch) {
	for _, entry := range batch.Entries {
		if entry.negative() {
			f.fault(record, batch, FaultMalformed, "an amount is below zero")
			return
		}
	}

	f.batches++

	for _, entry := range batch.Entries {
		f.totals[entry.Key] = f.totals[entry.Key].Add(entry.Usage)
	}
}

func (f *Fold) fault(record apricotway.StoredRecord, batch Batch, kind FaultKind, detail string) {
	f.faults = append(f.faults, Fault{
		Offset: record.Offset, Node: batch.Node, Sequence: batch.Sequence, Kind: kind, Detail: detail,
	})
}

// Statement is the account that results from a stream.
type Statement struct {
	Totals []Entry `json:"totals"`
	// Faults are in the order of the stream; the first one names the first batch that does not fit.
	Faults  []Fault `json:"faults,omitempty"`
	Batches int     `json:"batches"`
	Repeats int     `json:"repeats"`
	// Open counts the processes without a last batch: they still run, or they were killed with at most one interval of
	// usage unwritten.
	Open int `json:"open"`
	// TrimmedChains counts the processes whose first batches are no longer kept; the totals lack these.
	TrimmedChains int `json:"trimmedChains"`
}

// Statement returns the account so far, in a fixed order.
func (f *Fold) Statement() Statement {
	statement := Statement{Totals: []Entry{}, Faults: slices.Clone(f.faults), Batches: f.batches, Repeats: f.repeats}
	statement.TrimmedChains = f.trimmedChains

	for key, usage := range f.totals {
		statement.Totals = append(statement.Totals, Entry{Key: key, Usage: usage})
	}

	slices.SortFunc(statement.Totals, func(a, b Entry) int {
		return cmp.Or(
			cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Service, b.Service),
			cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.MachineClass, b.MachineClass),
		)
	})

	for _, current := range f.chains {
		if !current.last {
			statement.Open++
		}
	}

	return statement
}
