package ledger

import (
	"encoding/json"
	"maps"
	"time"

	"github.com/google/uuid"

	"github.com/apricotway/apricotway"
)

// checkpointPartBytes bounds the recorded answers in one record of a checkpoint.
const checkpointPartBytes = 256 << 10

// entryBytes is the size assumed for an entry without its recorded answer.
const entryBytes = 512

// Checkpoint is the payload of one part of a checkpoint. All parts together carry the state behind the record at Through;
// what lies between Through and the parts is folded on top of it.
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

// Checkpoint returns the parts of a checkpoint of the state. Expired keys are left out.
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

// kept tells of the newest complete checkpoint in the part of the stream that was folded.
type kept struct {
	// collecting, parts and begin are the id, the number of parts so far and the first offset of the newest checkpoint begun.
	collecting string
	parts      int
	begin      apricotway.Offset
	// first and through are the first offset of the newest complete checkpoint, 0 without one, and the offset it covers.
	first, through apricotway.Offset
}

// note takes a checkpoint record. Checkpoints whose parts are mixed with those of another one are left out, which at worst
// leads to one checkpoint too many.
func (k *kept) note(record apricotway.StoredRecord) {
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
		k.collecting, k.parts, k.begin = part.Checkpoint, 0, record.Offset
	}

	if part.Checkpoint != k.collecting || part.Part != k.parts {
		return
	}

	if k.parts++; k.parts == part.Parts {
		k.first, k.through = k.begin, part.Through
	}
}

// Restorable tells whether a reader that has no state could start from a checkpoint when the given offset is the oldest kept.
func (f *Fold) Restorable(oldest apricotway.Offset) bool {
	return f.kept.first >= oldest && f.kept.through+1 >= oldest
}

// restore collects records until a checkpoint is complete.
type restore struct {
	oldest apricotway.Offset
	held   []apricotway.StoredRecord
	parts  map[string]map[int]Checkpoint
}

// Restore returns a state that starts at the oldest offset kept of a trimmed stream. It is not ready before it has met all
// parts of a checkpoint whose state reaches the oldest offset.
func Restore(retention time.Duration, oldest apricotway.Offset) *Fold {
	f := New(retention)
	f.next = oldest
	f.restore = &restore{oldest: oldest, parts: map[string]map[int]Checkpoint{}}

	return f
}

func (f *Fold) hold(record apricotway.StoredRecord) Verdict {
	r := f.restore
	r.held = append(r.held, record)

	var part Checkpoint
	if record.Kind != KindCheckpoint || json.Unmarshal(record.Payload, &part) != nil || part.Through+1 < r.oldest {
		return VerdictHeld
	}

	parts := r.parts[part.Checkpoint]
	if parts == nil {
		parts = map[int]Checkpoint{}
		r.parts[part.Checkpoint] = parts
	}

	parts[part.Part] = part
	if len(parts) < part.Parts {
		return VerdictHeld
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

	for _, held := range r.held {
		if held.Offset > part.Through {
			f.apply(held)
		}
	}

	return VerdictApplied
}
