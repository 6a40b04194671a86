package account

import (
	"cmp"
	"crypto/ed25519"
	"encoding/json"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/apricotway/apricotway"
)

// The kinds of the records that preserve the account when the log service trims the start of the stream.
const (
	// KindMark is the kind of a mark: a record that asks the owners for a statement on all records before it.
	KindMark = "usageMark"
	// KindStatement is the kind of a record with one signed part of a statement.
	KindStatement = "usageStatement"
)

const (
	// maxPart bounds the bytes of state in one record; encoded in base64, with the rest of the record, it fits into one append.
	maxPart = 256 << 10
	// maxParts bounds the parts of a statement, and thereby a statement to 256 MiB.
	maxParts = 1024
)

// statementNamespace is the UUID namespace of the record IDs of statement parts.
var statementNamespace = uuid.MustParse("0d1f3a52-9b1c-4f64-8f0e-53f5a1f2c7be")

// mark is the payload of a mark.
type mark struct {
	// Previous is the offset of the newest mark in force that the writer has read, 0 for the first mark. If several marks have
	// the same Previous, the first one in the stream is in force and the others are ignored.
	Previous apricotway.Offset `json:"previous"`
}

// NewMark returns the record of a mark that follows the mark at the given offset.
func NewMark(previous apricotway.Offset) (apricotway.Record, error) {
	payload, err := json.Marshal(mark{Previous: previous})
	if err != nil {
		return apricotway.Record{}, errors.Wrap(err, "encode mark")
	}

	return apricotway.Record{SchemaVersion: SchemaVersion, Kind: KindMark, ID: uuid.NewString(), Payload: payload}, nil
}

// chainState is the stored form of a chain.
type chainState struct {
	Node     apricotway.NodeID `json:"node"`
	Sequence uint64            `json:"sequence"`
	Hash     string            `json:"hash"`
	Last     bool              `json:"last,omitempty"`
}

// snapshot is the content of a statement: the account of all records below a mark. It depends on these records and the signers
// alone, so that all writers encode the same bytes. It does not include faults of statements.
type snapshot struct {
	Mark    apricotway.Offset `json:"mark"`
	Batches int               `json:"batches"`
	Repeats int               `json:"repeats"`
	Faults  int               `json:"faults"`
	// First is the first batch fault.
	First  *Fault       `json:"first,omitempty"`
	Chains []chainState `json:"chains"`
	Totals []Entry      `json:"totals"`
	Hosts  hostState    `json:"hosts"`
}

func (f *Fold) snapshot(at apricotway.Offset) snapshot {
	s := snapshot{
		Mark: at, Batches: f.batches, Repeats: f.repeats, Faults: f.faultCount, First: f.firstFault,
		Chains: make([]chainState, 0, len(f.chains)), Totals: f.sortedTotals(), Hosts: f.hostState(),
	}
	for node, c := range f.chains {
		s.Chains = append(s.Chains, chainState{Node: node, Sequence: c.sequence, Hash: c.hash, Last: c.last})
	}

	slices.SortFunc(s.Chains, func(a, b chainState) int { return cmp.Compare(a.Node, b.Node) })

	return s
}

// statementPart is the payload of a statement record.
type statementPart struct {
	Mark  apricotway.Offset `json:"mark"`
	Part  int               `json:"part"`
	Parts int               `json:"parts"`
	// Digest is the hexadecimal SHA-256 digest of the whole state.
	Digest string `json:"digest"`
	// State is this part of the encoded snapshot; JSON holds it as base64.
	State     []byte `json:"state"`
	Signer    string `json:"signer,omitempty"`
	Signature []byte `json:"signature,omitempty"`
}

func (p statementPart) hash() (string, error) {
	p.Signature = nil
	return hashOf(p)
}

func decodePart(record apricotway.StoredRecord) (statementPart, bool) {
	var p statementPart

	err := json.Unmarshal(record.Payload, &p)

	return p, err == nil && record.SchemaVersion == SchemaVersion && p.Part >= 0 && p.Part < p.Parts &&
		p.Parts <= maxParts && p.Mark > 0 && p.Mark < record.Offset
}

// checkPart describes what is wrong with the signature of a part; it returns "" for a valid one.
func (s signers) checkPart(p statementPart) string {
	hash, err := p.hash()
	if err != nil {
		return err.Error()
	}

	return s.check(p.Signer, hash, p.Signature)
}

// splitState splits the state of a statement into its unsigned parts.
func splitState(at apricotway.Offset, state []byte) []statementPart {
	parts := make([]statementPart, max((len(state)+maxPart-1)/maxPart, 1))
	for i := range parts {
		parts[i] = statementPart{
			Mark: at, Part: i, Parts: len(parts), Digest: digestOf(state),
			State: state[i*maxPart : min((i+1)*maxPart, len(state))],
		}
	}

	return parts
}

// NewStatement returns the records of a statement on the state at a mark, signed if key is not nil. Records of the same state
// and signer are equal, so that readers drop a second copy.
func NewStatement(at apricotway.Offset, state []byte, signer string, key ed25519.PrivateKey) ([]apricotway.Record, error) {
	parts := splitState(at, state)
	records := make([]apricotway.Record, 0, len(parts))

	for _, p := range parts {
		if key != nil {
			p.Signer = signer

			hash, err := p.hash()
			if err != nil {
				return nil, err
			}

			p.Signature = ed25519.Sign(key, []byte(hash))
		}

		payload, err := json.Marshal(p)
		if err != nil {
			return nil, errors.Wrap(err, "encode statement")
		}

		records = append(records, apricotway.Record{
			SchemaVersion: SchemaVersion, Kind: KindStatement, ID: uuid.NewSHA1(statementNamespace, payload).String(),
			Payload: payload,
		})
	}

	return records, nil
}

// expectedStatement is what the fold computed for the statement of a mark in force, with the parts that were signed so far.
type expectedStatement struct {
	digest string
	// parts holds the digest of each part.
	parts []string
	// signed holds the numbers of the parts that each owner has signed.
	signed map[apricotway.Owner]map[int]bool
}

func (m *expectedStatement) signedBy(owner apricotway.Owner) bool {
	return len(m.signed[owner]) == len(m.parts)
}

func (m *expectedStatement) complete(s signers, at apricotway.Offset) bool {
	return !slices.ContainsFunc(s.owners(at), func(owner apricotway.Owner) bool { return !m.signedBy(owner) })
}

func newExpectedStatement(at apricotway.Offset, state []byte) *expectedStatement {
	m := &expectedStatement{digest: digestOf(state), signed: map[apricotway.Owner]map[int]bool{}}
	for _, p := range splitState(at, state) {
		m.parts = append(m.parts, digestOf(p.State))
	}

	return m
}

// applyMark applies a mark. A mark that does not follow the newest mark in force is ignored.
func (f *Fold) applyMark(record apricotway.StoredRecord) {
	var m mark
	if record.SchemaVersion != SchemaVersion || json.Unmarshal(record.Payload, &m) != nil {
		f.batchFault(record, Batch{}, FaultMalformed, "no valid mark")
		return
	}

	// A fold without the start of the stream cannot know which mark is in force and accepts any.
	if m.Previous != f.newestMark && !f.partial() {
		return
	}

	f.newestMark, f.markTime, f.sinceMark = record.Offset, record.Time, 0
	f.markState = nil

	if f.partial() {
		return
	}

	state, err := json.Marshal(f.snapshot(record.Offset))
	if err != nil {
		f.batchFault(record, Batch{}, FaultMalformed, err.Error())
		return
	}

	f.markState = state
	f.marks[record.Offset] = newExpectedStatement(record.Offset, state)
}

// applyStatement compares a part of a statement with the state that the fold computed at its mark.
func (f *Fold) applyStatement(record apricotway.StoredRecord) {
	p, ok := decodePart(record)
	if !ok {
		f.statementFault(record, p, FaultMalformed, "no valid statement")
		return
	}

	if detail := f.signers.checkPart(p); detail != "" {
		f.statementFault(record, p, FaultSignature, detail)
		return
	}

	m := f.marks[p.Mark]

	switch {
	case m == nil && (f.partial() || p.Mark < f.base):
		f.uncheckedParts++
	case m == nil:
		f.statementFault(record, p, FaultStatement, "no mark in force at the offset that it covers")
	case p.Digest != m.digest || p.Parts != len(m.parts) || digestOf(p.State) != m.parts[p.Part]:
		f.statementFault(record, p, FaultStatement, "differs from the batches that it covers")
	default:
		f.acceptPart(p, m)
	}
}

func (f *Fold) acceptPart(p statementPart, m *expectedStatement) {
	owner := f.signers.owner(p.Signer)
	if m.signed[owner] == nil {
		m.signed[owner] = map[int]bool{}
	}

	if m.signed[owner][p.Part] {
		f.statementRepeats++
		return
	}

	m.signed[owner][p.Part] = true

	if m.complete(f.signers, p.Mark) {
		f.completeStatements++
	}
}

// Due is what a writer of statements has to write next.
type Due struct {
	// Mark is the newest mark in force, 0 when there is none.
	Mark apricotway.Offset
	// State is the state at the mark if the owner has not signed it yet; otherwise it is nil.
	State []byte
	// MarkTime is the time at which the log service stored the mark. It is used only to decide when the next mark is due.
	MarkTime time.Time
	// Batches counts the batches and host batches after the mark.
	Batches int
}

// Due returns what the signer's owner has to write. It reports false if the start of the stream is not kept and no complete
// statement covers it: the fold cannot compute the content of a statement then.
func (f *Fold) Due(signer string) (Due, bool) {
	if f.partial() {
		return Due{}, false
	}

	due := Due{Mark: f.newestMark, MarkTime: f.markTime, Batches: f.sinceMark}

	if m := f.marks[f.newestMark]; m != nil && !m.signedBy(f.signers.owner(signer)) {
		due.State = f.markState
	}

	return due, true
}
