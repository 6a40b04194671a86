package ledger_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/ledger"
)

func TestMain(m *testing.M) {
	// A fixed seed makes every run check the same sequences. With the default of 30 steps, sequences in which a second intent
	// for an executed key could be sent are too rare.
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.steps": "120"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}

	os.Exit(m.Run())
}

const retention = 100 * time.Second

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// stream is a log with one fold that applies all its records.
type stream struct {
	records []apricotway.StoredRecord
	fold    *ledger.Fold
}

func (s *stream) append(record apricotway.Record) ledger.Verdict {
	stored := apricotway.StoredRecord{Record: record, Offset: apricotway.Offset(len(s.records) + 1)}
	s.records = append(s.records, stored)

	return s.fold.Apply(stored)
}

func record(kind string, epoch apricotway.Offset, payload any) apricotway.Record {
	r, err := ledger.NewRecord(kind, epoch, payload)
	if err != nil {
		panic(err)
	}

	return r
}

// attempt is an intent of one writer. The writer sends the call at most once, and only after it has read that the intent was
// accepted.
type attempt struct {
	record  apricotway.Record
	intent  ledger.Intent
	arrived bool
	ended   bool
	sent    bool
}

func (a *attempt) outcome(result ledger.Result) apricotway.Record {
	return record(ledger.KindOutcome, 0, ledger.Outcome{
		Intent: a.record.ID, Key: a.intent.Key, At: a.intent.At, Result: result,
	})
}

// TestAtMostOnce guards against a second execution of a key and against readers with different states: writers under old and
// new claims append late, repeatedly and out of order and abandon calls that they have not sent, and readers restore their
// state from checkpoints.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &stream{fold: ledger.New(retention)}
		now := start

		var (
			attempts []*attempt
			epochs   = []apricotway.Offset{0}
			parts    []ledger.Checkpoint
		)

		executed := map[ledger.Key]time.Time{}
		pick := func(t *rapid.T) *attempt {
			if len(attempts) == 0 {
				t.Skip("no attempt")
			}

			return rapid.SampledFrom(attempts).Draw(t, "attempt")
		}

		t.Repeat(map[string]func(*rapid.T){
			"claim": func(t *rapid.T) {
				replaces := rapid.SampledFrom(epochs).Draw(t, "replaces")
				before := s.fold.Holder().Offset

				verdict := s.append(record(ledger.KindClaim, 0, ledger.Claim{Replaces: replaces, Owner: "n"}))
				if won := verdict == ledger.VerdictApplied; won != (replaces == before) {
					t.Fatalf("got claim of %d %s while %d was in force", replaces, verdict, before)
				}

				if verdict == ledger.VerdictApplied {
					epochs = append(epochs, apricotway.Offset(len(s.records)))
				}
			},
			"prepare": func(t *rapid.T) {
				intent := ledger.Intent{At: now, Key: ledger.Key{
					Workspace: apricotway.Workspace(rapid.SampledFrom([]string{"a", "ab"}).Draw(t, "workspace")),
					Key:       rapid.SampledFrom([]string{"b", "bb"}).Draw(t, "key"),
				}}
				epoch := epochs[len(epochs)-1]

				if rapid.IntRange(0, 3).Draw(t, "old") == 0 {
					epoch = rapid.SampledFrom(epochs).Draw(t, "epoch")
				}

				attempts = append(attempts, &attempt{intent: intent, record: record(ledger.KindIntent, epoch, intent)})
			},
			"arrive": func(t *rapid.T) {
				a := pick(t)
				newest := s.fold.Holder().Offset

				verdict := s.append(a.record)
				if verdict == ledger.VerdictApplied && (a.record.Epoch != newest || a.arrived && a.ended) {
					t.Fatalf("an intent under claim %d counted under claim %d", a.record.Epoch, newest)
				}

				a.arrived = true
			},
			"send": func(t *rapid.T) {
				a := pick(t)
				if a.ended || a.sent || !s.fold.IntentPending(a.intent.Key, a.record.ID) {
					t.Skip("not permitted")
				}

				if at, ran := executed[a.intent.Key]; ran && a.intent.At.Sub(at) <= retention {
					t.Fatalf("key %v runs a second time after %s", a.intent.Key, a.intent.At.Sub(at))
				}

				a.sent = true
				executed[a.intent.Key] = a.intent.At
			},
			"complete": func(t *rapid.T) {
				if a := pick(t); a.sent {
					s.append(a.outcome(ledger.ResultCompleted))
				}
			},
			"abandon": func(t *rapid.T) {
				if a := pick(t); !a.sent {
					a.ended = true
					s.append(a.outcome(ledger.ResultAbandoned))
				}
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "seconds")) * time.Second)
			},
			// The parts are appended in a separate step, so that other records may precede them.
			"prepareCheckpoint": func(*rapid.T) { parts = s.fold.Checkpoint() },
			"checkpoint": func(*rapid.T) {
				for _, part := range parts {
					s.append(record(ledger.KindCheckpoint, s.fold.Holder().Offset, part))
				}
			},
			"restore": func(t *rapid.T) {
				oldest := rapid.IntRange(1, len(s.records)+1).Draw(t, "oldest")
				other := ledger.Restore(retention, apricotway.Offset(oldest))

				for _, r := range s.records[oldest-1:] {
					other.Apply(r)
				}

				if s.fold.Restorable(apricotway.Offset(oldest)) && !other.Ready() {
					t.Fatalf("not ready from offset %d, which counts as restorable", oldest)
				}

				if other.Ready() {
					compare(t, s.fold, other, now, attempts)
				}
			},
		})
	})
}

func compare(t *rapid.T, want, got *ledger.Fold, now time.Time, attempts []*attempt) {
	if got.Holder() != want.Holder() || got.Next() != want.Next() {
		t.Fatalf("got holder %v, want %v", got.Holder(), want.Holder())
	}

	for _, a := range attempts {
		gotEntry, gotLive := got.Lookup(a.intent.Key, now)
		wantEntry, wantLive := want.Lookup(a.intent.Key, now)

		if gotLive != wantLive || gotEntry.Intent != wantEntry.Intent ||
			(gotEntry.Outcome == nil) != (wantEntry.Outcome == nil) {
			t.Fatalf("key %v: got %v %v, want %v %v", a.intent.Key, gotLive, gotEntry, wantLive, wantEntry)
		}

		if got.IntentPending(a.intent.Key, a.record.ID) != want.IntentPending(a.intent.Key, a.record.ID) {
			t.Fatalf("readers disagree on intent %s", a.record.ID)
		}
	}
}

// TestCheckpointParts guards against a state that is restored from an incomplete checkpoint, and against entries that are lost
// between the parts of a large one.
func TestCheckpointParts(t *testing.T) {
	s := &stream{fold: ledger.New(retention)}
	s.append(record(ledger.KindClaim, 0, ledger.Claim{Owner: "n"}))

	const keys = 2000
	for i := range keys {
		s.append(record(ledger.KindIntent, 1, ledger.Intent{Key: ledger.Key{Key: fmt.Sprint(i)}, At: start}))
	}

	parts := s.fold.Checkpoint()
	if len(parts) < 2 {
		t.Fatalf("got %d parts, want several", len(parts))
	}

	oldest := apricotway.Offset(len(s.records) + 1)
	other := ledger.Restore(retention, oldest)

	for i, part := range parts {
		if other.Ready() || s.fold.Restorable(oldest) {
			t.Fatalf("ready or restorable after %d of %d parts", i, len(parts))
		}

		s.append(record(ledger.KindCheckpoint, 1, part))
		other.Apply(s.records[len(s.records)-1])
	}

	if !s.fold.Restorable(oldest) || s.fold.Restorable(oldest+1) {
		t.Error("not restorable from the checkpoint's first part, or without it")
	}

	if !other.Ready() || other.Len() != keys || other.Holder() != s.fold.Holder() {
		t.Errorf("got ready %v with %d keys, want %d", other.Ready(), other.Len(), keys)
	}
}

// TestDigest guards against a different call that is taken for a repeat, and a repeat that is taken for a different call.
func TestDigest(t *testing.T) {
	digest := func(service apricotway.Service, method, path string, body []byte) string {
		d, err := ledger.Digest(service, apricotway.ServiceCall{Method: method, Path: path, Body: body})
		if err != nil {
			t.Fatal(err)
		}

		return d
	}

	seen := map[string]bool{}
	for _, d := range []string{
		digest("s", "POST", "/a", nil), digest("s2", "POST", "/a", nil), digest("s", "PUT", "/a", nil),
		digest("s", "POST", "/b", nil), digest("s", "POST", "/a", []byte("x")),
	} {
		seen[d] = true
	}

	if len(seen) != 5 {
		t.Errorf("got %d digests of 5 different calls", len(seen))
	}

	if digest("s", "POST", "/a", []byte{}) != digest("s", "POST", "/a", nil) {
		t.Error("an empty and an absent body differ")
	}
}
