package ledger

import (
	"encoding/json"
	"maps"
	"time"

	"github.com/google/uuid"

	"github.com/apricotway/apricotway"
)

// checkpointPartBytes bounds the estimated size of the entries in one part of a checkpoint.
const checkpointPartBytes = 256 << 10

// entryBytes is the estimated size of an entry without its recorded answer.
const entryBytes = 512

// Checkpoint is the payload of one part of a checkpoint. All parts together hold the state after the record at Through; the
// records between Through and the parts are applied on top of it.
type Checkpoint struct {
	Checkpoint string               `json:"checkpoint"`
	Part       int                  `json:"part"`
	Parts      int                  `json:"parts"`
	Through    apricotway.Offset    `json:"through"`
	Holder     Holder               `json:"holder"`
	Latest     time.Time            `json:"latest"`
	Entries    []Entry              `json:"entries,omitempty"`
	Abandoned  map[string]time.Time `json:"abandoned,omitempty"`
}

// Checkpoint returns the current state as the parts of a checkpoint, without expired keys.
func (f *Fold) Checkpoint() []Checkpoint {
	base := Checkpoint{
		Checkpoint: uuid.NewString(), Through: f.next - 1, Holder: f.holder, Latest: f.latest,
	}
	parts := []Checkpoint{base}
	parts[0].Abandoned = maps.Clone(f.abandoned)
	size := 0

	for _, entry := range f.queue {
		if f.entries[entry.Key] != entry {
			continue
		}

		size += entryBytes
		if entry.Outcome != nil {
			size += entry.Outcome.Size()
		}

		if size > checkpointPartBytes && len(parts[len(parts)-1].Entries) > 0 {
			parts = append(parts, base)
			size = 0
		}

		last := &parts[len(parts)-1]
		last.Entries = append(last.Entries, *entry)
	}

	for i := range parts {
		parts[i].Part, parts[i].Parts = i, len(parts)
	}

	return parts
}

// checkpointTracker finds the newest complete checkpoint among the records that were applied.
type checkpointTracker struct {
	// collecting, parts and begin are the ID, the number of parts so far and the first offset of the checkpoint that began
	// last.
	collecting string
	parts      int
	begin      apricotway.Offset
	// first is the offset of the first part of the newest complete checkpoint, 0 without one, and through its Through offset.
	first, through apricotway.Offset
}

// add adds a checkpoint record. Checkpoints whose parts are interleaved with those of another one are not recognized, which at
// worst causes one superfluous checkpoint.
func (t *checkpointTracker) add(record apricotway.StoredRecord) {
	var part struct {
		Checkpoint string            `json:"checkpoint"`
		Part       int               `json:"part"`
		Parts      int               `json:"parts"`
		Through    apricotway.Offset `json:"through"`
	}
	if record.SchemaVersion != schemaVersion || json.Unmarshal(record.Payload, &part) != nil {
		return
	}

	if part.Part == 0 {
		t.collecting, t.parts, t.begin = part.Checkpoint, 0, record.Offset
	}

	if part.Checkpoint != t.collecting || part.Part != t.parts {
		return
	}

	if t.parts++; t.parts == part.Parts {
		t.first, t.through = t.begin, part.Through
	}
}

// Restorable reports whether a reader without state could restore it from a checkpoint if the given offset is the oldest kept.
func (f *Fold) Restorable(oldest apricotway.Offset) bool {
	return f.tracker.first >= oldest && f.tracker.through+1 >= oldest
}

// restoration buffers records until a checkpoint is complete.
type restoration struct {
	oldest   apricotway.Offset
	buffered []apricotway.StoredRecord
	parts    map[string]map[int]Checkpoint
}

// Restore returns a state that is read from the oldest kept offset of a trimmed stream. It becomes ready once all parts of a
// checkpoint have been applied that covers the records below the oldest offset.
func Restore(retention time.Duration, oldest apricotway.Offset) *Fold {
	f := New(retention)
	f.next = oldest
	f.restore = &restoration{oldest: oldest, parts: map[string]map[int]Checkpoint{}}

	return f
}

// buffer keeps the record until a checkpoint is complete, then replaces the state by the checkpoint's and applies the buffered
// records after it.
func (f *Fold) buffer(record apricotway.StoredRecord) Verdict {
	r := f.restore
	r.buffered = append(r.buffered, record)

	var part Checkpoint
	if record.Kind != KindCheckpoint || json.Unmarshal(record.Payload, &part) != nil || part.Through+1 < r.oldest {
		return VerdictBuffered
	}

	parts := r.parts[part.Checkpoint]
	if parts == nil {
		parts = map[int]Checkpoint{}
		r.parts[part.Checkpoint] = parts
	}

	parts[part.Part] = part
	if len(parts) < part.Parts {
		return VerdictBuffered
	}

	f.restore = nil
	f.holder = part.Holder

	for i := range part.Parts {
		for _, entry := range parts[i].Entries {
			f.insert(&entry)
		}

		maps.Copy(f.abandoned, parts[i].Abandoned)
	}

	f.latest = part.Latest

	for _, pending := range r.buffered {
		if pending.Offset > part.Through {
			f.apply(pending)
		}
	}

	return VerdictApplied
}
