package account

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/apricotway/apricotway"
)

// Base is a complete statement that stands in for the trimmed start of a usage stream. A Fold is restored from it.
type Base struct {
	snapshot snapshot
	state    []byte
}

// Mark returns the offset of the mark that the statement belongs to. The statement covers all records below that offset.
func (b Base) Mark() apricotway.Offset { return b.snapshot.Mark }

// statementID identifies a statement by its content. Parts with the same ID belong to the same statement.
type statementID struct {
	mark   apricotway.Offset
	digest string
	parts  int
}

// ownerParts holds the collected parts of one statement by the owner who signed them and by part number.
type ownerParts map[apricotway.Owner]map[int][]byte

// BaseSearch finds the statement from which to restore the fold of a trimmed stream. All kept records are added in order.
type BaseSearch struct {
	signers signers
	oldest  apricotway.Offset
	marks   map[apricotway.Offset]bool
	parts   map[statementID]ownerParts
	base    *Base
}

// NewBaseSearch returns a search in a stream whose oldest kept record has the given offset. Announced holds the signers by name;
// with nil, signatures are not checked.
func NewBaseSearch(oldest apricotway.Offset, announced map[string]Signer) *BaseSearch {
	return &BaseSearch{
		signers: announced, oldest: oldest, marks: map[apricotway.Offset]bool{}, parts: map[statementID]ownerParts{},
	}
}

// Add adds a record to the search. A statement is complete when every owner who takes part at its mark has signed all its
// parts, so that no owner alone can decide the other owners' accounts.
func (s *BaseSearch) Add(record apricotway.StoredRecord) {
	if record.Kind == KindMark {
		s.marks[record.Offset] = true
		return
	}

	if record.Kind != KindStatement {
		return
	}

	p, ok := decodePart(record)
	if !ok || !s.marks[p.Mark] || (s.base != nil && p.Mark >= s.base.Mark()) || s.signers.checkPart(p) != "" {
		return
	}

	key := statementID{mark: p.Mark, digest: p.Digest, parts: p.Parts}
	if s.parts[key] == nil {
		s.parts[key] = ownerParts{}
	}

	owner := s.signers.owner(p.Signer)
	if s.parts[key][owner] == nil {
		s.parts[key][owner] = map[int][]byte{}
	}

	s.parts[key][owner][p.Part] = p.State

	if base, ok := s.assemble(key); ok {
		s.base = base
		maps.DeleteFunc(s.parts, func(k statementID, _ ownerParts) bool { return k.mark >= key.mark })
	}
}

// assemble decodes the statement if every owner has signed all parts and the parts match the digest.
func (s *BaseSearch) assemble(key statementID) (*Base, bool) {
	base := &Base{}

	for _, owner := range s.signers.owners(key.mark) {
		parts := s.parts[key][owner]
		if len(parts) != key.parts {
			return nil, false
		}

		var state []byte
		for i := range key.parts {
			state = append(state, parts[i]...)
		}

		if digestOf(state) != key.digest {
			return nil, false
		}

		base.state = state
	}

	if json.Unmarshal(base.state, &base.snapshot) != nil || base.snapshot.Mark != key.mark || !base.snapshot.Hosts.valid() {
		return nil, false
	}

	return base, true
}

// Base returns the complete statement with the lowest mark, so that as many kept batches as possible are folded and checked.
// It reports false if there is none, or if records between its mark and the oldest kept one are missing.
func (s *BaseSearch) Base() (Base, bool) {
	if s.base == nil || s.base.Mark() < s.oldest {
		return Base{}, false
	}

	return *s.base, true
}

// Restore sets the state of an empty fold from a statement. The kept records below its mark must be applied as well: they
// are not counted again, but compared with the statement.
func (f *Fold) Restore(base Base) {
	s := base.snapshot
	f.trimmed, f.base, f.newestMark = false, s.Mark, s.Mark
	f.batches, f.repeats, f.faultCount, f.firstFault = s.Batches, s.Repeats, s.Faults, s.First
	f.markState = base.state
	f.marks[s.Mark] = newExpectedStatement(s.Mark, base.state)

	for _, c := range s.Chains {
		f.chains[c.Node] = &chain{sequence: c.Sequence, hash: c.Hash, last: c.Last}
	}

	for _, entry := range s.Totals {
		f.totals[entry.Key] = entry.Usage
	}

	f.restoreHosts(s.Hosts)

	if s.First != nil {
		f.faults = append(f.faults, *s.First)
	}

	f.belowBase = New()
	f.belowBase.signers = f.signers
	f.belowBase.SetTrimmed()
}

// applyBelowBase folds a record below the statement that the fold was restored from.
func (f *Fold) applyBelowBase(record apricotway.StoredRecord) {
	if record.Kind == KindStatement {
		f.applyStatement(record)
		return
	}

	f.belowBase.Apply(record)
}

// checkBelowBase adds a fault for each process whose newest kept batch below the statement is not the one that the statement
// names, and for each total of those batches that exceeds the statement's.
func (f *Fold) checkBelowBase(at apricotway.StoredRecord) {
	before := f.belowBase
	f.belowBase = nil

	for _, node := range slices.Sorted(maps.Keys(before.chains)) {
		kept, stated := before.chains[node], f.chains[node]
		if stated == nil || stated.sequence != kept.sequence || stated.hash != kept.hash {
			f.faults = append(f.faults, Fault{
				Offset: kept.offset, Node: node, Sequence: kept.sequence, Kind: FaultStatement,
				Detail: fmt.Sprintf("the statement of offset %d does not end with this batch", f.base),
			})
		}
	}

	for _, entry := range before.sortedTotals() {
		if f.totals[entry.Key].anyLess(entry.Usage) {
			f.faults = append(f.faults, Fault{
				Offset: at.Offset, Kind: FaultStatement,
				Detail: fmt.Sprintf("the statement has less than the kept batches of workspace %s", entry.Workspace),
			})
		}
	}
}
