package planning_test

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"pgregory.net/rapid"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/coordination/journal"
	_ "github.com/apricotway/apricotway/internal/fixedseed"
	"github.com/apricotway/apricotway/state/fleet"
	"github.com/apricotway/apricotway/state/lease"
)

// history is an in-memory fleet stream. Only the records from the offset first on can be read; earlier ones are trimmed.
type history struct {
	records []apricotway.StoredRecord
	first   apricotway.Offset
	// whole is the state after all records, trimmed ones included.
	whole *fleet.Fold
	// covers maps the offset of each complete checkpoint to the offset that it covers.
	covers map[apricotway.Offset]apricotway.Offset
}

func (h *history) end() apricotway.Offset { return apricotway.Offset(len(h.records)) + 1 }

func (h *history) put(record apricotway.Record, err error) {
	if err != nil {
		panic(err)
	}

	stored := apricotway.StoredRecord{Record: record, Offset: h.end()}
	h.records = append(h.records, stored)
	h.whole.Apply(stored, time.Time{})
}

func (h *history) Append(context.Context, apricotway.Stream, []apricotway.Record) (apricotway.Offset, error) {
	return 0, apricotway.ErrLogUnavailable
}

func (h *history) Read(
	_ context.Context, _ apricotway.Stream, from apricotway.Offset, limit int, _ time.Duration,
) (apricotway.Batch, error) {
	batch := apricotway.Batch{Oldest: h.first, Next: from}
	if from < h.first {
		return batch, apricotway.ErrTrimmed
	}

	rest := h.records[from-1:]
	batch.Records = rest[:min(limit, len(rest))]
	batch.Next += apricotway.Offset(len(batch.Records))

	return batch, nil
}

// newest returns the highest offset that a usable checkpoint covers, 0 without one. A checkpoint is usable if its record is kept
// and it covers all trimmed records.
func (h *history) newest() apricotway.Offset {
	newest := apricotway.Offset(0)

	for offset, next := range h.covers {
		if offset >= h.first && next >= h.first {
			newest = max(newest, next)
		}
	}

	return newest
}

// reader follows the stream as one process does.
type reader struct {
	fold     *fleet.Fold
	follower *journal.Follower
}

func newReader(h *history) *reader {
	r := &reader{fold: fleet.New("fleet-r")}
	r.follower = journal.NewFollower(h, "fleet-r", r, journal.WithRememberedIDs(0))

	return r
}

func (r *reader) Next() apricotway.Offset { return r.fold.Next() }

func (r *reader) Restore(state []byte) error { return r.fold.Restore(state, time.Time{}) }

func (r *reader) Fold(records []apricotway.StoredRecord) {
	for _, record := range records {
		r.fold.Apply(record, time.Time{})
	}
}

// state returns the whole state of a fold except the refusals.
func state(t *rapid.T, fold *fleet.Fold) string {
	encoded, next, err := fold.Checkpoint()
	if err != nil {
		t.Fatal(err)
	}

	return fmt.Sprint(next, " ", fold.Lease(), " ", string(encoded))
}

// TestTrimmedFleetStream guards against a reader of a trimmed stream whose lease, fencing number, sequence number, client tokens
// or hosts differ from those of a reader that saw every record, and against a reader that continues with a wrong state when no
// complete checkpoint covers all trimmed records. Any writer may be deposed or behind, and the stream may be trimmed between any
// two steps.
func TestTrimmedFleetStream(t *testing.T) {
	restored, refused := 0, 0

	rapid.Check(t, func(t *rapid.T) {
		h := &history{first: 1, whole: fleet.New("fleet-r"), covers: map[apricotway.Offset]apricotway.Offset{}}
		readers := []*reader{newReader(h), newReader(h), newReader(h)}
		pick := func(label string, low, high uint64) uint64 { return rapid.Uint64Range(low, high).Draw(t, label) }
		epoch := func() apricotway.Offset {
			if pick("fenced", 0, 3) == 0 {
				return apricotway.Offset(pick("epoch", 0, uint64(h.end())))
			}

			return h.whole.Lease().Number
		}

		actions := map[string]func(){
			"claim": func() {
				h.put(lease.NewRecord(epoch(), apricotway.NodeID(fmt.Sprint("node-", pick("node", 0, 2)))))
			},
			"repeat": func() {
				if len(h.records) > 0 {
					h.put(h.records[pick("record", 0, uint64(len(h.records)-1))].Record, nil)
				}
			},
			"intent": func() {
				h.put(fleet.NewRecord(fleet.KindIntent, epoch(), fleet.Intent{
					Sequence: h.whole.Sequence() + pick("ahead", 0, 4)/4 + 1, Action: fleet.ActionCreate,
					Market: fleet.Market{Zone: "a", MachineClass: "m"},
				}))
			},
			"outcome": func() {
				sequence := pick("sequence", 0, h.whole.Sequence())
				h.put(fleet.NewRecord(fleet.KindOutcome, epoch(), fleet.Outcome{
					Sequence: sequence, Host: apricotway.BackendServerID(fmt.Sprint("host-", sequence)),
					Result: rapid.SampledFrom([]fleet.Result{fleet.ResultCreated, fleet.ResultRefused}).Draw(t, "result"),
				}))
			},
			"checkpoint": func() {
				writer := readers[pick("writer", 0, 2)]
				parts := int(pick("parts", 1, 2))

				encoded, next, err := writer.fold.Checkpoint()
				if err != nil {
					t.Fatal(err)
				}

				// The second of two parts never arrives, so the checkpoint stays incomplete.
				payload, err := json.Marshal(map[string]any{"next": next, "part": 0, "parts": parts, "state": encoded})
				if parts == 1 {
					h.covers[h.end()] = next
				}

				h.put(apricotway.Record{SchemaVersion: 1, Kind: apricotway.KindCheckpoint, Payload: payload}, err)
			},
			"trim": func() {
				// After a trim that leaves no checkpoint most reads are refused, so make that one rarer.
				high := max(h.newest(), h.first)
				if pick("all", 0, 31) == 0 {
					high = h.end()
				}

				h.first = apricotway.Offset(pick("below", uint64(h.first), uint64(high)))
			},
			"restart": func() { readers[pick("reader", 0, 2)] = newReader(h) },
			"read": func() {
				r := readers[pick("reader", 0, 2)]
				before, trimmed := state(t, r.fold), r.Next() < h.first

				var err error
				for end := false; !end && err == nil; {
					end, err = r.follower.Step(t.Context(), 0)
				}

				if trimmed && h.newest() == 0 {
					refused++

					if !errors.Is(err, journal.ErrNoCheckpoint) || state(t, r.fold) != before {
						t.Fatalf("got %v and state %s without a checkpoint, want a refusal with %s", err, state(t, r.fold), before)
					}

					return
				}

				if trimmed {
					restored++
				}

				if got, want := state(t, r.fold), state(t, h.whole); err != nil || got != want {
					t.Fatalf("got %v and state %s, want %s", err, got, want)
				}
			},
		}
		names := slices.Sorted(maps.Keys(actions))

		for range 200 {
			actions[rapid.SampledFrom(names).Draw(t, "action")]()
		}
	})

	if restored == 0 || refused == 0 {
		t.Errorf("got %d restores and %d refusals, want some of each", restored, refused)
	}

	t.Logf("%d restores, %d refusals", restored, refused)
}
