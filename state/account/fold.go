package account

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"

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
	// FaultStatement marks a statement that differs from the batches that it covers, or a batch that it lacks.
	FaultStatement FaultKind = "statement"
	// FaultHosts marks a host batch that differs from the fleet stream or the configuration.
	FaultHosts FaultKind = "hosts"
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
	// offset is that of the newest accepted batch; it is not known of a chain from a statement.
	offset apricotway.Offset
}

// Fold computes totals and faults from the records of the usage stream. Equal streams give equal results wherever they are
// folded.
type Fold struct {
	signers    signers
	checkHosts func(HostBatch) string
	chains     map[apricotway.NodeID]*chain
	totals     map[Key]Usage
	// regions and costs hold the cost of hosts, uses the usage that no host batch has taken into account yet.
	regions map[apricotway.Region]*RegionCost
	costs   map[Payer]Cost
	uses    map[place]map[apricotway.Workspace]use
	faults  []Fault
	// repeats counts the dropped second copies of batches.
	repeats int
	batches int
	// trimmed is set when the stream's start is no longer kept; trimmedChains counts the chains that begin behind it.
	trimmed       bool
	trimmedChains int

	// faultCount and firstFault are of batches alone, since a statement has to be the same whatever was said before it.
	faultCount int
	firstFault *Fault

	// base is the offset of the statement that the fold was restored from; before folds the kept records below it.
	base   apricotway.Offset
	before *Fold
	// newest is the newest mark in force, newestTime its informative time, state the encoded snapshot there, and sinceMark
	// the number of batches and host batches behind it.
	newest     apricotway.Offset
	newestTime time.Time
	state      []byte
	sinceMark  int
	// marks holds the marks in force since the base.
	marks map[apricotway.Offset]*marked
	// end is the offset of the newest record.
	end apricotway.Offset
	// complete counts complete statements, statementRepeats their dropped copies, and unchecked the parts of statements on
	// records that are not kept.
	complete, statementRepeats, unchecked int
}

// Option changes a fold under construction.
type Option func(*Fold)

// WithSigners makes the fold count only batches that one of the keys signed.
func WithSigners(announced map[string]Signer) Option {
	return func(f *Fold) { f.signers = announced }
}

// WithHostCheck makes the fold report each host batch in force for which the function returns what is wrong with it.
func WithHostCheck(check func(HostBatch) string) Option {
	return func(f *Fold) { f.checkHosts = check }
}

// New returns an empty fold.
func New(options ...Option) *Fold {
	f := &Fold{
		chains: map[apricotway.NodeID]*chain{}, totals: map[Key]Usage{}, marks: map[apricotway.Offset]*marked{},
		regions: map[apricotway.Region]*RegionCost{}, costs: map[Payer]Cost{}, uses: map[place]map[apricotway.Workspace]use{},
	}
	for _, option := range options {
		option(f)
	}

	return f
}

// Trimmed tells the fold that the stream's start is no longer kept, so that chains may begin with any number.
func (f *Fold) Trimmed() { f.trimmed = true }

// partial tells whether the totals lack what is trimmed.
func (f *Fold) partial() bool { return f.trimmed }

// Apply folds one record. A batch with a fault in its chain or signature is not counted; one behind a gap is, since the
// fault is the missing batch.
func (f *Fold) Apply(record apricotway.StoredRecord) {
	f.end = record.Offset

	if record.Offset < f.base {
		f.applyBefore(record)
		return
	}

	if f.before != nil {
		f.compareBefore(record)
	}

	switch {
	case record.Kind == KindStatement:
		f.applyStatement(record)
	case record.Kind == KindMark && record.Offset == f.base && f.base > 0:
		f.newestTime = record.Time
	case record.Kind == KindMark:
		f.applyMark(record)
	case record.Kind == KindHosts:
		f.sinceMark++
		f.applyHosts(record)
	default:
		f.sinceMark++
		f.applyBatch(record)
	}
}

func (f *Fold) applyBatch(record apricotway.StoredRecord) {
	var batch Batch
	if record.Kind != KindBatch || record.SchemaVersion != SchemaVersion {
		f.batchFault(record, batch, FaultMalformed, fmt.Sprintf("kind %s version %d", record.Kind, record.SchemaVersion))
		return
	}

	if err := json.Unmarshal(record.Payload, &batch); err != nil {
		f.batchFault(record, batch, FaultMalformed, err.Error())
		return
	}

	hash, err := batch.Hash()
	if err != nil {
		f.batchFault(record, batch, FaultMalformed, err.Error())
		return
	}

	if detail := f.signers.check(batch.Signer, hash, batch.Signature); detail != "" {
		f.batchFault(record, batch, FaultSignature, detail)
		return
	}

	if f.acceptChain(record, batch, hash) {
		f.count(record, batch)
	}
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
		f.batchFault(record, batch, FaultMalformed, "node and sequence are required")
		return false
	case f.trimmed && current.sequence == 0 && batch.Sequence > 1:
		f.trimmedChains++
	case batch.Sequence == current.sequence && hash == current.hash:
		f.repeats++
		return false
	case batch.Sequence <= current.sequence:
		// Batches of one process are appended one after the other, so an earlier number is a late copy or an alteration;
		// without the hash of every batch the two cannot be told apart, and neither may count.
		f.batchFault(record, batch, FaultChain, fmt.Sprintf("follows batch %d", current.sequence))
		return false
	case batch.Sequence == current.sequence+1 && batch.Previous != current.hash:
		f.batchFault(record, batch, FaultChain, "the hash of the batch before differs")
		return false
	case batch.Sequence > current.sequence+1:
		f.batchFault(record, batch, FaultGap, fmt.Sprintf("%d batches missing", batch.Sequence-current.sequence-1))
	}

	current.sequence, current.hash, current.last, current.offset = batch.Sequence, hash, batch.Last, record.Offset

	return true
}

func (f *Fold) count(record apricotway.StoredRecord, batch Batch) {
	for _, entry := range batch.Entries {
		if entry.negative() {
			f.batchFault(record, batch, FaultMalformed, "an amount is below zero")
			return
		}
	}

	f.batches++

	for _, entry := range batch.Entries {
		f.totals[entry.Key] = f.totals[entry.Key].Add(entry.Usage)
		f.addUse(entry)
	}
}

func (f *Fold) batchFault(record apricotway.StoredRecord, batch Batch, kind FaultKind, detail string) {
	fault := Fault{Offset: record.Offset, Node: batch.Node, Sequence: batch.Sequence, Kind: kind, Detail: detail}
	if f.firstFault == nil {
		f.firstFault = &fault
	}

	f.faultCount++
	f.faults = append(f.faults, fault)
}

func (f *Fold) statementFault(record apricotway.StoredRecord, p statementPart, kind FaultKind, detail string) {
	f.faults = append(f.faults, Fault{
		Offset: record.Offset, Kind: kind, Detail: fmt.Sprintf("statement of offset %d by %q: %s", p.Mark, p.Signer, detail),
	})
}

// Statement is the account that results from a stream.
type Statement struct {
	Totals []Entry `json:"totals"`
	// Regions and Costs are the cost of hosts, in millionths of the configuration's unit.
	Regions []RegionCost `json:"regions,omitempty"`
	Costs   []CostEntry  `json:"costs,omitempty"`
	// Faults are in the order of the stream; the first one names the first batch that does not fit.
	Faults  []Fault `json:"faults,omitempty"`
	Batches int     `json:"batches"`
	Repeats int     `json:"repeats"`
	// Open counts the processes without a last batch: they still run, or they were killed with at most one interval of
	// usage unwritten.
	Open int `json:"open"`
	// TrimmedChains counts the processes whose first batches are no longer kept; the totals lack these.
	TrimmedChains int `json:"trimmedChains"`
	// BatchFaults counts the faults of batches, with those that are trimmed; Faults holds the first one and the kept ones.
	BatchFaults int `json:"batchFaults"`
	// End is the offset of the newest record.
	End apricotway.Offset `json:"end"`
	// Base is the offset of the statement from which a trimmed stream was folded, 0 for none.
	Base apricotway.Offset `json:"base,omitempty"`
	// Statements counts the statements that every owner has signed and that fit the batches.
	Statements       int `json:"statements"`
	StatementRepeats int `json:"statementRepeats"`
	// UncheckedParts counts the parts of statements on batches that are no longer kept.
	UncheckedParts int `json:"uncheckedParts"`
}

// Statement returns the account so far, in a fixed order.
func (f *Fold) Statement() Statement {
	statement := Statement{
		Totals: f.sortedTotals(), Faults: slices.Clone(f.faults), Batches: f.batches, Repeats: f.repeats,
		TrimmedChains: f.trimmedChains, BatchFaults: f.faultCount, End: f.end, Base: f.base, Statements: f.complete,
		StatementRepeats: f.statementRepeats, UncheckedParts: f.unchecked,
	}

	// What the kept batches say about the statement below which they lie is known at its mark only.
	slices.SortStableFunc(statement.Faults, func(a, b Fault) int { return cmp.Compare(a.Offset, b.Offset) })

	hosts := f.hostState()
	statement.Regions, statement.Costs = hosts.Regions, hosts.Costs

	for _, current := range f.chains {
		if !current.last {
			statement.Open++
		}
	}

	return statement
}

func (f *Fold) sortedTotals() []Entry {
	totals := make([]Entry, 0, len(f.totals))
	for key, usage := range f.totals {
		totals = append(totals, Entry{Key: key, Usage: usage})
	}

	slices.SortFunc(totals, func(a, b Entry) int {
		return cmp.Or(
			cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Service, b.Service),
			cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.MachineClass, b.MachineClass),
		)
	})

	return totals
}
