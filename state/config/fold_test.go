package config

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/apricotway/apricotway"
	// Fixes the seed of rapid.
	_ "github.com/apricotway/apricotway/internal/fixedseed"
)

// newFoldOfNewerRelease returns the fold of a release that also knows schema version 2.
func newFoldOfNewerRelease() *Fold {
	f := New()
	f.decode = func(kind Kind, version int, payload json.RawMessage) (any, error) {
		if version == 2 {
			version = 1
		}

		return decodeSpec(kind, version, payload)
	}

	return f
}

func changeRecord(offset apricotway.Offset, id string, version int, object string, replaces apricotway.Offset, rest string) apricotway.StoredRecord {
	payload := fmt.Sprintf(`{"object":%q,"replaces":%d%s,"future":{"kept":true}}`, object, replaces, rest)

	return apricotway.StoredRecord{Offset: offset, Record: apricotway.Record{
		SchemaVersion: version, Kind: string(KindService), ID: id, Payload: json.RawMessage(payload),
	}}
}

func mustCheckpoint(t interface{ Fatal(args ...any) }, f *Fold) []byte {
	state, _, err := f.Checkpoint()
	if err != nil {
		t.Fatal(err)
	}

	return state
}

// modelObject is the reference model of one object: its state according to the whole history.
type modelObject struct {
	revision, created, oldInForce, newInForce apricotway.Offset
	deleted                                   bool
}

// TestFoldModel guards against accepting a change that names a stale revision, accepting a second copy of a record, going back
// to a lower revision, and releases or restarted processes that disagree on the accepted changes.
func TestFoldModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		older, newer := New(), newFoldOfNewerRelease()
		model := map[string]*modelObject{"a": {deleted: true}, "b": {deleted: true}}

		var (
			history []apricotway.StoredRecord
			offset  apricotway.Offset
		)

		apply := func(record apricotway.StoredRecord) Verdict {
			verdict := older.Apply(record)
			if got := newer.Apply(record); got != verdict {
				t.Fatalf("got verdict %s from the newer release, %s from the older", got, verdict)
			}

			return verdict
		}

		t.Repeat(map[string]func(*rapid.T){
			"change": func(t *rapid.T) {
				offset += rapid.SampledFrom([]apricotway.Offset{1, 2}).Draw(t, "step")
				name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "object")
				version := rapid.IntRange(1, 2).Draw(t, "version")
				rest := rapid.SampledFrom([]string{
					`,"spec":{"type":"model"}`, `,"spec":{"type":"plain"}`, `,"spec":{"type":"no"}`, `,"deleted":true`,
				}).Draw(t, "rest")

				m := model[name]
				replaces := m.revision

				if rapid.IntRange(0, 3).Draw(t, "stale") == 0 {
					replaces = apricotway.Offset(rapid.Uint64Range(0, uint64(offset)+1).Draw(t, "replaces"))
				}

				record := changeRecord(offset, fmt.Sprint("id-", offset), version, name, replaces, rest)
				history = append(history, record)

				want := VerdictConflict
				if replaces == m.revision {
					want = VerdictAccepted
				}

				if got := apply(record); got != want {
					t.Fatalf("got %s for a change of revision %d, want %s", got, replaces, want)
				}

				if want != VerdictAccepted {
					return
				}

				if m.deleted {
					m.created = offset
				}

				m.revision, m.deleted = offset, rest == `,"deleted":true`

				switch {
				case m.deleted:
					m.oldInForce, m.newInForce = 0, 0
				case !strings.Contains(rest, `"no"`):
					m.newInForce = offset
					if version == 1 {
						m.oldInForce = offset
					}
				}
			},
			"repeat": func(t *rapid.T) {
				if len(history) == 0 {
					t.Skip("no record yet")
				}

				copied := history[rapid.IntRange(0, len(history)-1).Draw(t, "copy")]
				if replaces := replacesOf(t, copied); replaces >= copied.Offset {
					t.Skip("names a revision that did not exist")
				}

				offset++
				copied.Offset = offset

				if got := apply(copied); got == VerdictAccepted {
					t.Fatal("a second copy was accepted")
				}
			},
			"restart": func(t *rapid.T) {
				restoredOlder, restoredNewer := New(), newFoldOfNewerRelease()
				if err := restoredOlder.Restore(mustCheckpoint(t, newer)); err != nil {
					t.Fatal(err)
				}

				if err := restoredNewer.Restore(mustCheckpoint(t, older)); err != nil {
					t.Fatal(err)
				}

				// A restart loses a specification in force that is older than the kept changes; the model follows in this case only.
				for name, m := range model {
					m.oldInForce = fallback(restoredOlder, name, m.oldInForce)
					m.newInForce = fallback(restoredNewer, name, m.newInForce)
				}

				older, newer = restoredOlder, restoredNewer
			},
			"": func(t *rapid.T) {
				if got, want := mustCheckpoint(t, older), mustCheckpoint(t, newer); !bytes.Equal(got, want) {
					t.Fatalf("got checkpoint %s from the older release, %s from the newer", got, want)
				}

				for name, m := range model {
					checkStatus(t, older, name, m, m.oldInForce)
					checkStatus(t, newer, name, m, m.newInForce)
				}
			},
		})
	})
}

func replacesOf(t *rapid.T, record apricotway.StoredRecord) apricotway.Offset {
	var change Change
	if err := json.Unmarshal(record.Payload, &change); err != nil {
		t.Fatal(err)
	}

	return change.Replaces
}

// fallback returns the wanted revision if the fold still keeps that change, and otherwise the revision in force.
func fallback(f *Fold, name string, want apricotway.Offset) apricotway.Offset {
	current := f.objects[Name{KindService, name}]
	if current == nil {
		return want
	}

	for _, change := range current.kept {
		if change.Revision == want {
			return want
		}
	}

	return current.specRevision
}

func checkStatus(t *rapid.T, f *Fold, name string, m *modelObject, inForce apricotway.Offset) {
	for _, status := range f.Objects() {
		if status.Object != name {
			continue
		}

		if status.Revision != m.revision || status.InForce != inForce || status.Deleted != m.deleted {
			t.Fatalf("got %+v, want revision %d, in force %d, deleted %t", status, m.revision, inForce, m.deleted)
		}

		if (status.Problem == "") != (inForce == m.revision || m.deleted) {
			t.Fatalf("got problem %q with revision %d and %d in force", status.Problem, m.revision, inForce)
		}

		return
	}

	if m.revision != 0 {
		t.Fatalf("no status for %s", name)
	}
}

// TestCheckpointKeepsUnknownFields guards against an older release that drops fields of a newer one when it writes a
// checkpoint, and against a restart after which an older specification is in force.
func TestCheckpointKeepsUnknownFields(t *testing.T) {
	older := New()
	older.Apply(changeRecord(1, "1", 1, "a", 0, `,"spec":{"type":"model","maxTokens":7}`))
	older.Apply(changeRecord(2, "2", 2, "a", 1, `,"spec":{"type":"plain","quota":9}`))

	state := mustCheckpoint(t, older)
	if !bytes.Contains(state, []byte(`"quota":9`)) || !bytes.Contains(state, []byte(`"future":{"kept":true}`)) {
		t.Errorf("got %s, want the unknown fields in it", state)
	}

	for _, test := range []struct {
		name string
		fold *Fold
		want ServiceSpec
	}{
		{"older", New(), ServiceSpec{Type: ServiceModel, MaxTokens: 7}},
		{"newer", newFoldOfNewerRelease(), ServiceSpec{Type: ServicePlain}},
	} {
		if err := test.fold.Restore(state); err != nil {
			t.Fatal(err)
		}

		if got, _ := test.fold.Service("a"); got != test.want {
			t.Errorf("got %+v in force at the %s release, want %+v", got, test.name, test.want)
		}
	}
}

// TestRestoreNeverLowers guards against a checkpoint that reverts an object or the specification in force to an older one.
func TestRestoreNeverLowers(t *testing.T) {
	early, late := New(), New()
	early.Apply(changeRecord(1, "1", 1, "a", 0, `,"spec":{"type":"model"}`))
	late.Apply(changeRecord(1, "1", 1, "a", 0, `,"spec":{"type":"model"}`))
	late.Apply(changeRecord(2, "2", 1, "a", 1, `,"spec":{"type":"plain"}`))

	if err := late.Restore(mustCheckpoint(t, early)); err != nil {
		t.Fatal(err)
	}

	if got := late.RevisionOf(Name{KindService, "a"}); got != 2 {
		t.Errorf("got revision %d after an old checkpoint, want 2", got)
	}

	late.Apply(changeRecord(1, "1", 1, "a", 0, `,"spec":{"type":"model"}`))

	if got := late.Next(); got != 3 {
		t.Errorf("got next offset %d after an old record, want 3", got)
	}

	if err := late.Restore([]byte(`{"next":9,"objects":[]}`)); err == nil {
		t.Error("a checkpoint without a known object was restored")
	}

	// The reader has the changes up to revision 2 in force. The checkpoint keeps revision 1, which has another schema version,
	// and the newer invalid changes, but no longer revision 2.
	writer, reader := New(), newFoldOfNewerRelease()

	for i, rest := range []string{`"model"`, `"plain"`, `"no"`, `"no"`, `"no"`, `"no"`} {
		offset, version := apricotway.Offset(i+1), 1
		if i == 0 {
			version = 2
		}

		record := changeRecord(offset, fmt.Sprint(offset), version, "a", offset-1, `,"spec":{"type":`+rest+`}`)
		writer.Apply(record)

		if i < 2 {
			reader.Apply(record)
		}
	}

	if err := reader.Restore(mustCheckpoint(t, writer)); err != nil {
		t.Fatal(err)
	}

	if got, ok := reader.Service("a"); !ok || got.Type != ServicePlain {
		t.Errorf("got %+v, %t, want the specification that was in force", got, ok)
	}
}

// TestWorkspaceOf guards against a token that is attributed to the wrong workspace, also if a later workspace lists its
// digest.
func TestWorkspaceOf(t *testing.T) {
	f := New()
	digest := TokenDigest(sha256.Sum256([]byte("secret")))

	for i, name := range []string{"mill-2", "mill-1"} {
		record := changeRecord(apricotway.Offset(i+1), name, 1, name, 0, fmt.Sprintf(
			`,"spec":{"owner":"o","weight":1,"tokenHashes":["short",%q]}`, strings.ToUpper(hex.EncodeToString(digest[:]))))
		record.Kind = string(KindWorkspace)
		f.Apply(record)
	}

	if got, ok := f.WorkspaceOf(digest); !ok || got != "mill-2" {
		t.Errorf("got %q, %t, want mill-2", got, ok)
	}

	digest[31]++

	if got, ok := f.WorkspaceOf(digest); ok {
		t.Errorf("got %q for a digest that differs in the last byte", got)
	}
}

func BenchmarkWorkspaceOf(b *testing.B) {
	f := New()
	digest := TokenDigest(sha256.Sum256([]byte("secret")))

	for i := range apricotway.Offset(500) {
		sum := sha256.Sum256([]byte(fmt.Sprint(i)))
		record := changeRecord(i+1, fmt.Sprint(i), 1, fmt.Sprint(i), 0, fmt.Sprintf(
			`,"spec":{"owner":"o","weight":1,"tokenHashes":[%q]}`, hex.EncodeToString(sum[:])))
		record.Kind = string(KindWorkspace)
		f.Apply(record)
	}

	for b.Loop() {
		f.WorkspaceOf(digest)
	}
}
