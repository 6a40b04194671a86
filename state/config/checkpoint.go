package config

import (
	"encoding/json"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway"
)

// ErrInvalidCheckpoint reports a checkpoint that cannot be restored.
var ErrInvalidCheckpoint = errors.New("invalid checkpoint")

// checkpoint is the serialized state of a fold.
type checkpoint struct {
	Next    apricotway.Offset  `json:"next"`
	Objects []checkpointObject `json:"objects"`
}

type checkpointObject struct {
	Name

	Revision apricotway.Offset `json:"revision"`
	Created  apricotway.Offset `json:"created"`
	ID       string            `json:"id"`
	Deleted  bool              `json:"deleted,omitempty"`
	Changes  []keptChange      `json:"changes,omitempty"`
}

// Checkpoint returns the state, and the offset of the first record that it does not include. The state depends only on the
// records below that offset: all processes of all releases encode the same bytes, so that no lease is needed to write
// checkpoints of this stream.
func (f *Fold) Checkpoint() ([]byte, apricotway.Offset, error) {
	f.mu.Lock()
	defer f.mu.Unlock()

	c := checkpoint{Next: f.next}

	for _, name := range f.names() {
		current := f.objects[name]
		c.Objects = append(c.Objects, checkpointObject{
			Name: name, Revision: current.revision, Created: current.created, ID: current.id,
			Deleted: current.deleted, Changes: current.kept,
		})
	}

	encoded, err := json.Marshal(c)
	if err != nil {
		return nil, 0, errors.Wrap(err, "encode checkpoint")
	}

	return encoded, f.next, nil
}

// Restore replaces the state by that of a checkpoint, unless the fold is already as far or further. A checkpoint that would
// lower the revision of an object is refused.
func (f *Fold) Restore(state []byte) error {
	var c checkpoint
	if err := json.Unmarshal(state, &c); err != nil {
		return errors.Wrap(ErrInvalidCheckpoint, err.Error())
	}

	f.mu.Lock()
	defer f.mu.Unlock()

	if c.Next <= f.next {
		return nil
	}

	objects := make(map[Name]*object, len(c.Objects))

	var highest apricotway.Offset

	for _, entry := range c.Objects {
		restored := &object{
			revision: entry.Revision, created: entry.Created, id: entry.ID, deleted: entry.Deleted, kept: entry.Changes,
		}

		// The specification in force stays if the object was not deleted in the meantime and the checkpoint holds no newer
		// change that this release understands.
		if old := f.objects[entry.Name]; old != nil && !entry.Deleted && old.specRevision >= entry.Created {
			restored.spec, restored.specRevision = old.spec, old.specRevision
		}

		restored.updateInForce(entry.Kind, f.decode)

		objects[entry.Name] = restored
		highest = max(highest, entry.Revision)
	}

	for name, old := range f.objects {
		if restored := objects[name]; restored == nil || restored.revision < old.revision {
			return errors.Wrapf(ErrInvalidCheckpoint, "revision of %s %s would fall below %d", name.Kind, name.Object, old.revision)
		}
	}

	f.objects, f.next, f.revision = objects, c.Next, highest
	f.view.Store(nil)

	return nil
}
