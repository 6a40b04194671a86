package config_test

import (
	"strings"
	"testing"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/config"
)

// nested returns a value that is nested depth levels deep.
func nested(depth int) string { return strings.Repeat("[", depth) + strings.Repeat("]", depth) }

// TestOddRecords guards against a record after which no checkpoint can be restored, and checks that records which cannot be decoded change
// nothing.
func TestOddRecords(t *testing.T) {
	const change = `{"object":"o","replaces":0,"spec":`

	for name, payload := range map[string]string{
		"nothing": "", "null": "null", "text": "\x00\xff", "brackets": strings.Repeat("[", 256<<10), "nested": change + nested(100_000) + "}",
		"nested unknown field":   `{"x":` + nested(100_000) + `,"object":"o","replaces":0}`,
		"nested below the limit": change + nested(9_999) + "}", "nested for a checkpoint": change + nested(9_995) + "}",
		"large revision": `{"object":"o","replaces":1e400}`, "negative revision": `{"object":"o","replaces":-1}`,
		"no object": `{"replaces":0}`, "number as object": `{"object":1e300,"replaces":0}`, "text as deleted": `{"object":"o","deleted":"yes"}`,
	} {
		f := config.New()
		odd := apricotway.Record{SchemaVersion: 1, Kind: "workspace", ID: "odd", Payload: []byte(payload)}

		if got, want := f.Apply(apricotway.StoredRecord{Record: odd, Offset: 1}), config.VerdictMalformed; got != want {
			t.Errorf("%s: got verdict %s, want %s", name, got, want)
		}

		valid := apricotway.Record{SchemaVersion: 1, Kind: "k", ID: "valid", Payload: []byte(change + `{"a":1}}`)}
		if got, want := f.Apply(apricotway.StoredRecord{Record: valid, Offset: 2}), config.VerdictAccepted; got != want {
			t.Errorf("%s: got verdict %s of the next record, want %s", name, got, want)
		}

		state, next, err := f.Checkpoint()
		if err != nil || next != 3 {
			t.Errorf("%s: got a checkpoint up to %d and %v, want 3", name, next, err)
		}

		if err := config.New().Restore(state); err != nil {
			t.Errorf("%s: got %v from restoring the checkpoint, want none", name, err)
		}
	}
}
