package account

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/apricotway/apricotway"
)

// Base is a complete statement from which a trimmed stream is folded.
type Base struct {
	snapshot snapshot
	state    []byte
}

// Mark returns the offset that the statement covers; it includes all records below.
func (b Base) Mark() apricotway.Offset { return b.snapshot.Mark }

// claim identifies one content of a statement.
type claim struct {
	mark   apricotway.Offset
	digest string
	parts  int
}

// collected holds the parts of one claim by owner.
type collected map[apricotway.Owner]map[int][]byte

// Search finds the statement from which a trimmed stream is folded. It takes all kept records in order.
type Search struct {
	signers signers
	oldest  apricotway.Offset
	marks   map[apricotway.Offset]bool
	claims  map[claim]collected
	base    *Base
}

// NewSearch returns a search in a stream whose oldest kept record has the given offset.
func NewSearch(oldest apricotway.Offset, announced map[string]Signer) *Search {
	return &Search{
		signers: announced, oldest: oldest, marks: map[apricotway.Offset]bool{}, claims: map[claim]collected{},
	}
}

// Add takes a record. A statement is complete when every owner who takes part at its mark has signed all its parts: no owner alone
// can make the other one's account.
func (s *Search) Add(record apricotway.StoredRecord) {
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

	key := claim{mark: p.Mark, digest: p.Digest, parts: p.Parts}
	if s.claims[key] == nil {
		s.claims[key] = collected{}
	}

	owner := s.signers.owner(p.Signer)
	if s.claims[key][owner] == nil {
		s.claims[key][owner] = map[int][]byte{}
	}

	s.claims[key][owner][p.Part] = p.State

	if base, ok := s.assemble(key); ok {
		s.base = base
		maps.DeleteFunc(s.claims, func(k claim, _ collected) bool { return k.mark >= key.mark })
	}
}

// assemble returns the statement when each owner's parts make the whole state.
func (s *Search) assemble(key claim) (*Base, bool) {
	base := &Base{}

	for _, owner := range s.signers.owners(key.mark) {
		parts := s.claims[key][owner]
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

// Base returns the complete statement with the lowest offset, so that as many batches as possible are checked against it.
func (s *Search) Base() (Base, bool) {
	if s.base == nil || s.base.Mark() < s.oldest {
		return Base{}, false
	}

	return *s.base, true
}

// Restore replaces an empty fold's state by a statement. The kept records below its offset are to be applied as well: they
// do not count again, but are compared with the statement.
func (f *Fold) Restore(base Base) {
	s := base.snapshot
	f.trimmed, f.base, f.newest = false, s.Mark, s.Mark
	f.batches, f.repeats, f.faultCount, f.firstFault = s.Batches, s.Repeats, s.Faults, s.First
	f.state = base.state
	f.marks[s.Mark] = newMarked(s.Mark, base.state)

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

	f.before = New()
	f.before.signers = f.signers
	f.before.Trimmed()
}

// applyBefore takes a record below the statement that the fold was restored from.
func (f *Fold) applyBefore(record apricotway.StoredRecord) {
	if record.Kind == KindStatement {
		f.applyStatement(record)
		return
	}

	f.before.Apply(record)
}

// compareBefore names the first kept batch below the statement that the statement does not include.
func (f *Fold) compareBefore(at apricotway.StoredRecord) {
	before := f.before
	f.before = nil

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
		if f.totals[entry.Key].less(entry.Usage) {
			f.faults = append(f.faults, Fault{
				Offset: at.Offset, Kind: FaultStatement,
				Detail: fmt.Sprintf("the statement has less than the kept batches of workspace %s", entry.Workspace),
			})
		}
	}
}
