// Package config folds the configuration stream into the specifications in force. It performs no I/O.
package config

import (
	"encoding/json"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/internal/rawjson"
)

// keptPerVersion is the number of accepted changes that are kept for each schema version of an object. If the newest change
// is invalid, a process falls back to an older one. A process that does not know a schema version cannot tell which changes
// are valid in it, so it has to keep several.
const keptPerVersion = 4

// maxDepth bounds how deeply the payload of a change is nested. Package encoding/json decodes 10,000 levels, and checkpoints hold payloads some
// levels down.
const maxDepth = 9_000

// Name identifies a configuration object.
type Name struct {
	Kind   Kind   `json:"kind"`
	Object string `json:"object"`
}

// Change is the payload of a record in the configuration stream. Whether it is accepted depends only on these fields and the
// record's envelope, so that releases which understand different schema versions accept the same changes.
type Change struct {
	Object string `json:"object"`
	// Replaces is the revision of the object that the operator based the change on; 0 for a new object.
	Replaces apricotway.Offset `json:"replaces"`
	Deleted  bool              `json:"deleted,omitempty"`
	Spec     json.RawMessage   `json:"spec,omitempty"`
}

// Verdict is the result of applying one record.
type Verdict string

// The values of Verdict.
const (
	VerdictAccepted  Verdict = "accepted"
	VerdictConflict  Verdict = "conflict"
	VerdictRepeat    Verdict = "repeat"
	VerdictMalformed Verdict = "malformed"
	// VerdictCheckpoint is the result for checkpoint records, which change nothing.
	VerdictCheckpoint Verdict = "checkpoint"
)

type object struct {
	// revision is the offset of the newest accepted change; it never decreases.
	revision apricotway.Offset
	// created is the revision of the change that created the object, after its last deletion if there was one. Earlier
	// changes never come into force again.
	created apricotway.Offset
	// id is the id of the record with the newest accepted change.
	id      string
	deleted bool
	// kept holds the newest accepted changes of each schema version since created, ordered by revision. It does not depend
	// on the versions that this release knows, so that all releases write the same checkpoint.
	kept []keptChange

	// spec is the newest specification that this release understands. It stays in force while newer ones are not understood.
	spec any
	// specRevision is the revision of spec, at most revision.
	specRevision apricotway.Offset
	problem      string
}

// keptChange is one accepted change with its original payload, including fields that this release does not know.
type keptChange struct {
	Revision      apricotway.Offset `json:"revision"`
	SchemaVersion int               `json:"schemaVersion"`
	Payload       json.RawMessage   `json:"payload"`
}

func (c keptChange) spec() json.RawMessage {
	var change Change
	// The error is impossible: the payload was decoded before the change was accepted.
	_ = json.Unmarshal(c.Payload, &change)

	return change.Spec
}

// Fold is the state that results from the records applied so far. It is safe for concurrent use.
//
// For each object it keeps only the id of the newest accepted record. A second copy of an accepted record names a revision
// that is no longer current, and a second copy of a void record that named a past revision stays void, since revisions only
// grow. The memory is therefore bounded by the number of objects, and all readers accept the same changes, whether or not they
// have seen the first copy.
type Fold struct {
	// decode differs between releases; tests replace it.
	decode decoder

	mu sync.Mutex
	// objects holds deleted objects too, since their revisions must not be used again.
	objects map[Name]*object
	// next is one above the offset of the last applied record; records below it are ignored.
	next apricotway.Offset
	// revision is the highest revision of an object.
	revision apricotway.Offset

	// view is the snapshot that requests read. A change sets it to nil and the next reader builds it, so that a long replay
	// does not build it once per record.
	view atomic.Pointer[view]
}

// New returns an empty fold.
func New() *Fold {
	return &Fold{decode: decodeSpec, objects: map[Name]*object{}, next: 1}
}

// Apply folds one record and returns the result. Records must be applied in offset order; one below the next offset is a
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
	if err := json.Unmarshal(record.Payload, &change); err != nil || change.Object == "" || rawjson.Depth(record.Payload) > maxDepth {
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
		current.addChange(keptChange{Revision: record.Offset, SchemaVersion: record.SchemaVersion, Payload: record.Payload})
		current.updateInForce(name.Kind, f.decode)
	}

	f.view.Store(nil)

	return VerdictAccepted
}

// addChange adds a change. If its schema version then has more than keptPerVersion, it drops the oldest of them.
func (o *object) addChange(change keptChange) {
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

// updateInForce puts the newest change that this release understands in force. If there is none newer than the specification
// in force, that one stays.
func (o *object) updateInForce(kind Kind, decode decoder) {
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

// Next returns the offset to read from next.
func (f *Fold) Next() apricotway.Offset {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.next
}

// LatestRevision returns the highest revision of any object, 0 if there are none.
func (f *Fold) LatestRevision() apricotway.Offset {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.revision
}

// RevisionOf returns the revision that a change of the object must name in Replaces, 0 if the object never existed.
func (f *Fold) RevisionOf(name Name) apricotway.Offset {
	f.mu.Lock()
	defer f.mu.Unlock()

	if current := f.objects[name]; current != nil {
		return current.revision
	}

	return 0
}

// InForce returns the revision of an object that is in force, 0 if none is.
func (f *Fold) InForce(name Name) apricotway.Offset {
	f.mu.Lock()
	defer f.mu.Unlock()

	if current := f.objects[name]; current != nil {
		return current.specRevision
	}

	return 0
}
