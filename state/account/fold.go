package account

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/apricotway/apricotway"
)

// FaultKind classifies a fault of a record.
type FaultKind string

// The values of FaultKind.
const (
	// FaultMalformed marks a record that cannot be decoded or holds invalid values.
	FaultMalformed FaultKind = "malformed"
	// FaultGap marks a batch that follows at least one missing batch.
	FaultGap FaultKind = "gap"
	// FaultChain marks a batch whose sequence number or previous hash does not continue the chain of its process, and a host
	// batch whose period does not continue the preceding one.
	FaultChain FaultKind = "chain"
	// FaultSignature marks a record whose signature is missing, wrong, or by an unknown signer.
	FaultSignature FaultKind = "signature"
	// FaultStatement marks a statement that differs from the batches that it covers, or a batch that it does not include.
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
	// Detail describes the fault to a person. The first batch fault is part of a statement's signed state, so that all
	// writers have to use the same text.
	Detail string `json:"detail"`
}

// chain is the state of one process's hash chain.
type chain struct {
	// sequence and hash are those of the newest accepted batch.
	sequence uint64
	hash     string
	// last is set when the newest accepted batch is the final one of the process.
	last bool
	// offset is that of the newest accepted batch, 0 if the chain was restored from a statement.
	offset apricotway.Offset
}

// Fold is the state that results from applying the records of the usage stream in order: totals, costs and faults. It depends
// on the records and the signers alone, so that all readers of a stream get the same result.
type Fold struct {
	signers    signers
	checkHosts func(HostBatch) string
	chains     map[apricotway.NodeID]*chain
	totals     map[Key]Usage
	// regions and costs hold the cost of hosts; uses holds the usage since the last host batch of each placement.
	regions map[apricotway.Region]*RegionCost
	costs   map[Payer]Cost
	uses    map[placement]map[apricotway.Workspace]use
	faults  []Fault
	// repeats counts the batches that were dropped as second copies, batches those that were counted.
	repeats int
	batches int
	// trimmed is set when the log no longer keeps the start of the stream and no statement replaces it; trimmedChains counts
	// the chains whose first batches are missing for that reason.
	trimmed       bool
	trimmedChains int

	// faultCount and firstFault cover batches, host batches and marks, not statements: the state of a statement must not depend
	// on earlier statements.
	faultCount int
	firstFault *Fault

	// base is the mark of the statement that the fold was restored from, 0 for none. belowBase folds the kept records below it
	// and is nil once they have been compared.
	base      apricotway.Offset
	belowBase *Fold
	// newestMark is the offset of the newest mark in force, markTime the time at which the log service stored it, markState the
	// encoded snapshot at the mark, and sinceMark the number of batches and host batches after it.
	newestMark apricotway.Offset
	markTime   time.Time
	markState  []byte
	sinceMark  int
	// marks holds the expected statement of each mark in force since the base.
	marks map[apricotway.Offset]*expectedStatement
	// end is the offset of the newest record.
	end apricotway.Offset
	// completeStatements counts the statements signed by all owners, statementRepeats the statement parts dropped as copies, and
	// uncheckedParts the parts of statements on records that are no longer kept.
	completeStatements, statementRepeats, uncheckedParts int
}

// Option configures a fold under construction.
type Option func(*Fold)

// WithSigners makes the fold accept only records that one of the given signers signed.
func WithSigners(announced map[string]Signer) Option {
	return func(f *Fold) { f.signers = announced }
}

// WithHostCheck sets a check of host batches in force. If it returns a non-empty text, the fold adds a fault with it.
func WithHostCheck(check func(HostBatch) string) Option {
	return func(f *Fold) { f.checkHosts = check }
}

// New returns an empty fold.
func New(options ...Option) *Fold {
	f := &Fold{
		chains: map[apricotway.NodeID]*chain{}, totals: map[Key]Usage{}, marks: map[apricotway.Offset]*expectedStatement{},
		regions: map[apricotway.Region]*RegionCost{}, costs: map[Payer]Cost{}, uses: map[placement]map[apricotway.Workspace]use{},
	}
	for _, option := range options {
		option(f)
	}

	return f
}

// SetTrimmed marks the start of the stream as no longer kept, so that chains may begin with any sequence number.
func (f *Fold) SetTrimmed() { f.trimmed = true }

// partial reports whether the totals lack trimmed records.
func (f *Fold) partial() bool { return f.trimmed }

// Apply applies one record. A batch with a chain or signature fault is not counted; a batch after a gap is counted, since only
// the missing batch is at fault.
func (f *Fold) Apply(record apricotway.StoredRecord) {
	f.end = record.Offset

	if record.Offset < f.base {
		f.applyBelowBase(record)
		return
	}

	if f.belowBase != nil {
		f.checkBelowBase(record)
	}

	switch {
	case record.Kind == KindStatement:
		f.applyStatement(record)
	case record.Kind == KindMark && record.Offset == f.base && f.base > 0:
		f.markTime = record.Time
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

// acceptChain reports whether the batch continues the chain of its process, with or without a gap, and advances the chain.
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
		// A process appends its batches one after the other, so an earlier number is a late copy or an altered batch. The fold
		// does not keep the hash of every batch and cannot distinguish the two, so neither is counted.
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

// count adds the usage of an accepted batch to the totals.
func (f *Fold) count(record apricotway.StoredRecord, batch Batch) {
	for _, entry := range batch.Entries {
		if entry.anyNegative() {
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

// Account holds the totals, costs and faults computed from a stream. It is also the JSON form that tools print.
type Account struct {
	Totals []Entry `json:"totals"`
	// Regions and Costs are the cost of hosts, in millionths of the configuration's currency unit.
	Regions []RegionCost `json:"regions,omitempty"`
	Costs   []CostEntry  `json:"costs,omitempty"`
	// Faults are in stream order, so that the first one names the first faulty record.
	Faults  []Fault `json:"faults,omitempty"`
	Batches int     `json:"batches"`
	Repeats int     `json:"repeats"`
	// Open counts the processes without a final batch: they still run, or they were killed and have lost the usage of at
	// most one interval.
	Open int `json:"open"`
	// TrimmedChains counts the processes whose first batches are no longer kept; the totals do not include those batches.
	TrimmedChains int `json:"trimmedChains"`
	// BatchFaults counts the faults of batches, including trimmed ones; Faults holds the first one and those of kept batches.
	BatchFaults int `json:"batchFaults"`
	// End is the offset of the newest record.
	End apricotway.Offset `json:"end"`
	// Base is the mark of the statement from which a trimmed stream was restored, 0 for none.
	Base apricotway.Offset `json:"base,omitempty"`
	// Statements counts the statements that every owner has signed and that match the batches.
	Statements       int `json:"statements"`
	StatementRepeats int `json:"statementRepeats"`
	// UncheckedParts counts the parts of statements on batches that are no longer kept.
	UncheckedParts int `json:"uncheckedParts"`
}

// Account returns the account of the records applied so far, in a deterministic order.
func (f *Fold) Account() Account {
	statement := Account{
		Totals: f.sortedTotals(), Faults: slices.Clone(f.faults), Batches: f.batches, Repeats: f.repeats,
		TrimmedChains: f.trimmedChains, BatchFaults: f.faultCount, End: f.end, Base: f.base, Statements: f.completeStatements,
		StatementRepeats: f.statementRepeats, UncheckedParts: f.uncheckedParts,
	}

	// Faults of kept batches below the base are found only when its mark is reached, so they are appended out of order.
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
