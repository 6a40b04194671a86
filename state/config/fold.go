// Package config folds the configuration stream into the objects in force. It performs no I/O.
package config

import (
	"encoding/json"
	"sync"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway"
)

// Name identifies one configuration object.
type Name struct {
	Kind   Kind   `json:"kind"`
	Object string `json:"object"`
}

// Change is the payload of a record on the configuration stream. Acceptance depends on these fields and the record's
// envelope alone, so that releases which understand different schema versions fold the same chain.
type Change struct {
	Object string `json:"object"`
	// Replaces is the revision that the operator saw; 0 for a new object.
	Replaces apricotway.Offset `json:"replaces"`
	Deleted  bool              `json:"deleted,omitempty"`
	Spec     json.RawMessage   `json:"spec,omitempty"`
}

// Verdict is the fate of one record.
type Verdict string

// The values of Verdict.
const (
	VerdictAccepted  Verdict = "accepted"
	VerdictConflict  Verdict = "conflict"
	VerdictRepeat    Verdict = "repeat"
	VerdictMalformed Verdict = "malformed"
)

type object struct {
	// revision is the offset of the newest accepted change; it never falls.
	revision apricotway.Offset
	deleted  bool
	// spec is the newest understood payload; it stays in force while a newer one is not understood.
	spec any
	// specRevision is the revision of spec, at most revision.
	specRevision apricotway.Offset
	raw          json.RawMessage
	version      int
	problem      string
}

// Fold is the state that results from the records applied so far. It is safe for concurrent use.
type Fold struct {
	mu sync.RWMutex
	// objects holds deleted objects as well, since their revisions must not be used again.
	objects map[Name]*object
	// seen holds the verdict of every record identifier, so that a repeated append gets the same one.
	seen map[string]Verdict
	// next is the offset behind the last applied record; records below it are ignored.
	next apricotway.Offset
}

// New returns an empty fold.
func New() *Fold {
	return &Fold{objects: map[Name]*object{}, seen: map[string]Verdict{}, next: 1}
}

// Apply folds one record and returns its verdict. Records have to come in offset order; one that was applied before is a
// repeat.
func (f *Fold) Apply(record apricotway.StoredRecord) Verdict {
	f.mu.Lock()
	defer f.mu.Unlock()

	if record.Offset < f.next {
		return VerdictRepeat
	}

	f.next = record.Offset + 1

	if _, ok := f.seen[record.ID]; ok {
		return VerdictRepeat
	}

	verdict := f.applyChange(record)
	f.seen[record.ID] = verdict

	return verdict
}

func (f *Fold) applyChange(record apricotway.StoredRecord) Verdict {
	var change Change
	if err := json.Unmarshal(record.Payload, &change); err != nil || change.Object == "" {
		return VerdictMalformed
	}

	name := Name{Kind: Kind(record.Kind), Object: change.Object}

	current := f.objects[name]
	if current == nil {
		current = &object{}
	}

	if change.Replaces != current.revision {
		return VerdictConflict
	}

	f.objects[name] = current
	current.revision = record.Offset
	current.deleted = change.Deleted
	current.raw = change.Spec
	current.version = record.SchemaVersion

	if change.Deleted {
		current.spec, current.problem = nil, ""
		return VerdictAccepted
	}

	spec, err := decodeSpec(name.Kind, record.SchemaVersion, change.Spec)
	if err != nil {
		current.problem = err.Error()
		return VerdictAccepted
	}

	current.spec, current.specRevision, current.problem = spec, record.Offset, ""

	return VerdictAccepted
}

// Next returns the offset from which reading has to go on.
func (f *Fold) Next() apricotway.Offset {
	f.mu.RLock()
	defer f.mu.RUnlock()

	return f.next
}

// Verdict returns what became of the record with the given identifier.
func (f *Fold) Verdict(id string) (Verdict, bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()

	verdict, ok := f.seen[id]

	return verdict, ok
}

// Service returns the specification in force.
func (f *Fold) Service(service apricotway.Service) (ServiceSpec, bool) {
	return lookup[ServiceSpec](f, Name{Kind: KindService, Object: string(service)})
}

// Workspace returns the specification in force.
func (f *Fold) Workspace(workspace apricotway.Workspace) (WorkspaceSpec, bool) {
	return lookup[WorkspaceSpec](f, Name{Kind: KindWorkspace, Object: string(workspace)})
}

func lookup[S any](f *Fold, name Name) (S, bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()

	if current := f.objects[name]; current != nil {
		if spec, ok := current.spec.(S); ok {
			return spec, true
		}
	}

	var none S

	return none, false
}

// Status describes one object for operators.
type Status struct {
	Name

	Revision      apricotway.Offset `json:"revision"`
	InForce       apricotway.Offset `json:"inForce"`
	SchemaVersion int               `json:"schemaVersion"`
	Deleted       bool              `json:"deleted,omitempty"`
	// Problem tells why the newest revision is not in force; empty when it is.
	Problem string          `json:"problem,omitempty"`
	Spec    json.RawMessage `json:"spec,omitempty"`
}

// Objects returns the status of every object in no particular order.
func (f *Fold) Objects() []Status {
	f.mu.RLock()
	defer f.mu.RUnlock()

	list := make([]Status, 0, len(f.objects))
	for name, current := range f.objects {
		list = append(list, Status{
			Name:          name,
			Revision:      current.revision,
			InForce:       current.specRevision,
			SchemaVersion: current.version,
			Deleted:       current.deleted,
			Problem:       current.problem,
			Spec:          current.raw,
		})
	}

	return list
}

// ErrNotFound reports an object that does not exist.
var ErrNotFound = errors.New("object not found")
