package fleet

import (
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/lease"
)

// checkpoint is the serialized state of a fleet stream. It holds nothing that depends on the reader's clock: readers at the
// same offset encode the same bytes, so that parts of their checkpoints can be combined. Refusals depend on the clock and are
// left out, so after a restore a market that refused a host may be asked once too early.
type checkpoint struct {
	lease.Checkpoint

	SchemaVersion int                                   `json:"schemaVersion"`
	Term          apricotway.Offset                     `json:"term"`
	Sequence      uint64                                `json:"sequence"`
	Open          []OpenIntent                          `json:"open,omitempty"`
	Hosts         map[apricotway.BackendServerID]Market `json:"hosts,omitempty"`
}

// Checkpoint returns the state after all records below the offset next.
func (f *Fold) Checkpoint() (state []byte, next apricotway.Offset, err error) {
	c := checkpoint{
		Checkpoint: f.lease.Checkpoint(), SchemaVersion: schemaVersion, Term: f.term, Sequence: f.sequence, Open: f.OpenIntents(),
		Hosts: make(map[apricotway.BackendServerID]Market, len(f.hosts)),
	}
	for id, owned := range f.hosts {
		c.Hosts[id] = owned.Market
	}

	if state, err = json.Marshal(c); err != nil {
		return nil, 0, errors.Wrap(err, "encode fleet checkpoint")
	}

	return state, f.next, nil
}

// Restore replaces the state by that of a checkpoint read at the given time, unless the fold is already as far or further.
func (f *Fold) Restore(state []byte, read time.Time) error {
	var c checkpoint
	if err := json.Unmarshal(state, &c); err != nil {
		return errors.Wrap(err, "decode fleet checkpoint")
	}

	if c.SchemaVersion != schemaVersion {
		return errors.Errorf("fleet checkpoint has unsupported schema version %d", c.SchemaVersion)
	}

	if c.Next <= f.next {
		return nil
	}

	if err := f.lease.Restore(c.Checkpoint, read); err != nil {
		return err
	}

	f.next, f.term, f.sequence = c.Next, c.Term, c.Sequence
	f.open = make(map[uint64]OpenIntent, len(c.Open))

	for _, open := range c.Open {
		f.open[open.Sequence] = open
	}

	hosts := make(map[apricotway.BackendServerID]OwnedHost, len(c.Hosts))

	for id, market := range c.Hosts {
		hosts[id] = OwnedHost{Market: market, Read: read}
		if known, ok := f.hosts[id]; ok && known.Market == market {
			hosts[id] = known
		}
	}

	f.hosts = hosts
	// Outcomes among the skipped records may have ended the known refusals.
	clear(f.refusals)

	return nil
}
