package journal

import (
	"context"
	"encoding/json"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/apricotway/apricotway"
)

// maxPart is the maximum size in bytes of the state in one record of a checkpoint. The whole record then fits into one append.
const maxPart = 256 << 10

// maxParts limits the size of a checkpoint that is read, to 256 MiB.
const maxParts = 1024

// checkpointPart is the payload of a checkpoint record. A checkpoint is complete when all its parts are in the log.
type checkpointPart struct {
	// Next is the first offset that the state does not include.
	Next  apricotway.Offset `json:"next"`
	Part  int               `json:"part"`
	Parts int               `json:"parts"`
	// State is the part of the state, encoded as base64.
	State []byte `json:"state"`
}

// namespace is the UUID namespace of the identifiers of checkpoint records.
var namespace = uuid.MustParse("7b8a1f0e-6d1c-4a57-9a43-0f6a2f2c5d11")

// AppendCheckpoint appends a state as a checkpoint that includes all records below next. The record identifiers are derived from
// the state, so that readers drop the second copy when two writers append the same state.
func (w *Writer) AppendCheckpoint(
	ctx context.Context, stream apricotway.Stream, epoch, next apricotway.Offset, state []byte,
) error {
	parts := max((len(state)+maxPart-1)/maxPart, 1)
	records := make([]apricotway.Record, parts)

	for i := range parts {
		payload, err := json.Marshal(checkpointPart{
			Next: next, Part: i, Parts: parts, State: state[i*maxPart : min((i+1)*maxPart, len(state))],
		})
		if err != nil {
			return errors.Wrap(err, "encode checkpoint")
		}

		records[i] = apricotway.Record{
			SchemaVersion: 1, Kind: apricotway.KindCheckpoint, Epoch: epoch, Payload: payload,
			ID: uuid.NewSHA1(namespace, append([]byte(stream), payload...)).String(),
		}
	}

	if err := w.AppendAll(ctx, stream, records); err != nil {
		return errors.Wrap(err, "append checkpoint")
	}

	return nil
}

// checkpointAssembler puts checkpoints together from their parts while a stream is read.
type checkpointAssembler struct {
	// parts holds the parts of incomplete checkpoints by their Next offset.
	parts map[apricotway.Offset][][]byte
	// next and state are those of the newest complete checkpoint; next is 0 when there is none.
	next  apricotway.Offset
	state []byte
}

// add adds a record if it is part of a usable checkpoint. A checkpoint is not usable when records after it have been trimmed, or
// when it is not newer than the newest complete one.
func (a *checkpointAssembler) add(record apricotway.StoredRecord, oldest apricotway.Offset) {
	if record.Kind != apricotway.KindCheckpoint {
		return
	}

	var p checkpointPart
	if json.Unmarshal(record.Payload, &p) != nil || p.Part < 0 || p.Part >= p.Parts || p.Parts > maxParts {
		return
	}

	if p.Next < oldest || p.Next <= a.next || p.Next > record.Offset {
		return
	}

	if a.parts == nil {
		a.parts = map[apricotway.Offset][][]byte{}
	}

	collected := a.parts[p.Next]
	if len(collected) != p.Parts {
		collected = make([][]byte, p.Parts)
		a.parts[p.Next] = collected
	}

	collected[p.Part] = p.State

	var state []byte

	for _, piece := range collected {
		if piece == nil {
			return
		}

		state = append(state, piece...)
	}

	a.next, a.state = p.Next, state

	for next := range a.parts {
		if next <= p.Next {
			delete(a.parts, next)
		}
	}
}
