// Package config folds the configuration stream into the objects in force. It performs no I/O.
package config

import (
	"encoding/json"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/apricotway/apricotway"
)

// keptPerVersion is the number of accepted changes that are kept of each schema version of an object. A process falls back
// on an older change when the newest is invalid, and a process that does not know a version cannot tell which of its changes
// are valid, so that it has to keep several.
const keptPerVersion = 4

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
	// VerdictCheckpoint is given to checkpoint records, which change nothing.
	VerdictCheckpoint Verdict = "checkpoint"
)

type object struct {
	// revision is the offset of the newest accepted change; it never falls.
	revision apricotway.Offset
	// created is the revision of the change that created the object after its last deletion. Changes below it never come
	// into force again.
	created apricotway.Offset
	// id is the record identifier of the newest accepted change.
	id      string
	deleted bool
	// kept holds the newest accepted changes of each schema version since created, in the order of their revisions. It does
	// not depend on which versions this release knows, so that a checkpoint is the same whoever writes it.
	kept []keptChange

	// spec is the newest understood payload; it stays in force while a newer one is not understood.
	spec any
	// specRevision is the revision of spec, at most revision.
	specRevision apricotway.Offset
	problem      string
}

// keptChange is one accepted change as the log holds it, with the fields that this release does not know.
type keptChange struct {
	Revision      apricotway.Offset `json:"revision"`
	SchemaVersion int               `json:"schemaVersion"`
	Payload       json.RawMessage   `json:"payload"`
}

func (c keptChange) spec() json.RawMessage {
	var change Change
	// The payload was decoded before it was accepted.
	_ = json.Unmarshal(c.Payload, &change)

	return change.Spec
}

// Fold is the state that results from the records applied so far. It is safe for concurrent use.
//
// It keeps no record identifiers but one for each object. A second copy of an accepted record names a revision that is no
// longer the current one, and a second copy of a void record that named a past revision stays void, since revisions only
// grow. The memory is therefore bounded by the number of objects, and every reader folds the same chain, whether or not it
// has seen the first copy.
type Fold struct {
	// decode is the part that differs between releases.
	decode decoder

	mu sync.Mutex
	// objects holds deleted objects as well, since their revisions must not be used again.
	objects map[Name]*object
	// next is the offset behind the last applied record; records below it are ignored.
	next apricotway.Offset
	// revision is the highest revision of an object.
	revision apricotway.Offset

	// view is what requests read. It is nil after a change and built by the next reader, so that a long replay does not
	// build it for each record.
	view atomic.Pointer[view]
}

// New returns an empty fold.
func New() *Fold {
	return &Fold{decode: decodeSpec, objects: map[Name]*object{}, next: 1}
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

	if record.Kind == apricotway.KindCheckpoint {
		return VerdictCheckpoint
	}

	return f.applyChange(record)
}

func (f *Fold) applyChange(record apricotway.StoredRecord) Verdict {
	var change Change
	if err := json.Unmarshal(record.Payload, &change); err != nil || change.Object == "" {
		return VerdictMalformed
	}

	name := Name{Kind: Kind(record.Kind), Object: change.Object}

	current := f.objects[name]
	if current == nil {
		current = &object{deleted: true}
	}

	if change.Replaces != current.revision {
		if current.id == record.ID && record.ID != "" {
			return VerdictRepeat
		}

		return VerdictConflict
	}

	if current.deleted {
		current.created = record.Offset
	}

	f.objects[name] = current
	f.revision = record.Offset
	current.revision, current.id, current.deleted = record.Offset, record.ID, change.Deleted

	if change.Deleted {
		current.kept, current.spec, current.specRevision, current.problem = nil, nil, 0, ""
	} else {
		current.keep(keptChange{Revision: record.Offset, SchemaVersion: record.SchemaVersion, Payload: record.Payload})
		current.choose(name.Kind, f.decode)
	}

	f.view.Store(nil)

	return VerdictAccepted
}

// keep adds a change and drops the oldest of its schema version above the limit.
func (o *object) keep(change keptChange) {
	o.kept = append(o.kept, change)

	first, count := 0, 0

	for i := len(o.kept) - 1; i >= 0; i-- {
		if o.kept[i].SchemaVersion == change.SchemaVersion {
			first = i
			count++
		}
	}

	if count > keptPerVersion {
		o.kept = slices.Delete(o.kept, first, first+1)
	}
}

// choose puts the newest change in force that this release understands. The specification in force stays when no newer one
// is understood.
func (o *object) choose(kind Kind, decode decoder) {
	o.problem = ""

	for _, change := range slices.Backward(o.kept) {
		if change.Revision <= o.specRevision {
			return
		}

		spec, err := decode(kind, change.SchemaVersion, change.spec())
		if err == nil {
			o.spec, o.specRevision = spec, change.Revision
			return
		}

		if o.problem == "" {
			o.problem = err.Error()
		}
	}
}

// Next returns the offset from which reading has to go on.
func (f *Fold) Next() apricotway.Offset {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.next
}

// Revision returns the highest revision of an object, 0 when there is none.
func (f *Fold) Revision() apricotway.Offset {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.revision
}

// Current returns the revision that a change of the object has to name, 0 when the object never existed.
func (f *Fold) Current(name Name) apricotway.Offset {
	f.mu.Lock()
	defer f.mu.Unlock()

	if current := f.objects[name]; current != nil {
		return current.revision
	}

	return 0
}

// InForce returns the revision of an object that is in force, 0 when none is.
func (f *Fold) InForce(name Name) apricotway.Offset {
	f.mu.Lock()
	defer f.mu.Unlock()

	if current := f.objects[name]; current != nil {
		return current.specRevision
	}

	return 0
}
