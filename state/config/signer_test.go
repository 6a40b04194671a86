package config_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/config"
)

var testKey = strings.Repeat("A", 43) + "="

// TestSignerCheck guards against a signer that comes into force with a key that cannot be used to check signatures.
func TestSignerCheck(t *testing.T) {
	for _, test := range []struct {
		name, spec string
		valid      bool
	}{
		{"key", fmt.Sprintf(`{"owner": "a", "publicKey": %q}`, testKey), true},
		{"retired key", fmt.Sprintf(`{"owner": "a", "publicKey": %q, "retiredKeys": [%[1]q]}`, testKey), true},
		{"no owner", fmt.Sprintf(`{"publicKey": %q}`, testKey), false},
		{"no key", `{"owner": "a"}`, false},
		{"short key", `{"owner": "a", "publicKey": "AAAA"}`, false},
		{"not base64", fmt.Sprintf(`{"owner": "a", "publicKey": %q}`, testKey[:43]+"!"), false},
		{"short retired key", fmt.Sprintf(`{"owner": "a", "publicKey": %q, "retiredKeys": ["AAAA"]}`, testKey), false},
		{"not an object", `[]`, false},
	} {
		if err := config.Check("signer", 1, json.RawMessage(test.spec)); (err == nil) != test.valid {
			t.Errorf("%s: got %v, want valid %t", test.name, err, test.valid)
		}
	}
}

// TestSigners guards against an invalid change that puts a signer's key out of force, and against signatures that are no
// longer checked because the only signer object has never been valid.
func TestSigners(t *testing.T) {
	fold := config.New()
	if got := fold.Signers(); got != nil {
		t.Errorf("got signers %v of an empty configuration, want nil", got)
	}

	apply := func(object string, replaces, offset apricotway.Offset, spec string) {
		payload := fmt.Sprintf(`{"object": %q, "replaces": %d, "spec": %s}`, object, replaces, spec)
		fold.Apply(apricotway.StoredRecord{
			Record: apricotway.Record{SchemaVersion: 1, Kind: "signer", ID: fmt.Sprint(offset), Payload: json.RawMessage(payload)},
			Offset: offset,
		})
	}

	apply("mill", 0, 1, `{"owner": "a"}`)

	if got := fold.Signers(); got == nil || len(got) > 0 {
		t.Errorf("got signers %v, want none in a map that is not nil", got)
	}

	apply("mill", 1, 2, fmt.Sprintf(`{"owner": "a", "publicKey": %q}`, testKey))
	apply("mill", 2, 3, `{"owner": "a", "publicKey": "AAAA"}`)

	if got := fold.Signers()["mill"]; got.Owner != "a" || got.PublicKey != testKey {
		t.Errorf("got signer %+v, want the last valid one", got)
	}
}

// TestCostRule guards against a rule without owners to divide the cost of idle hosts among, and against a wrong revision.
func TestCostRule(t *testing.T) {
	for _, test := range []struct {
		spec  string
		valid bool
	}{
		{`{"idle": "tokens", "shares": {"a": 1}}`, true},
		{`{"idle": "reserved", "shares": {"a": 1, "b": 1000000}}`, true},
		{`{"idle": "equal", "shares": {"a": 1, "b": 1}}`, true},
		{`{"idle": "equal"}`, false},
		{`{"idle": "luck", "shares": {"a": 1}}`, false},
		{`{"idle": "reserved", "shares": {"a": 0}}`, false},
		{`{"idle": "reserved", "shares": {"a": 1000001}}`, false},
		{`{"idle": "reserved", "shares": {"": 1}}`, false},
	} {
		if err := config.Check(config.KindCostRule, 1, json.RawMessage(test.spec)); (err == nil) != test.valid {
			t.Errorf("%s: got %v, want valid %t", test.spec, err, test.valid)
		}
	}

	fold := config.New()
	for i, spec := range []string{`{"idle": "equal", "shares": {"a": 1}}`, `{"idle": "luck"}`} {
		payload := fmt.Sprintf(`{"object": "r", "replaces": %d, "spec": %s}`, i, spec)
		fold.Apply(apricotway.StoredRecord{Offset: apricotway.Offset(i + 1), Record: apricotway.Record{
			SchemaVersion: 1, Kind: string(config.KindCostRule), ID: fmt.Sprint(i), Payload: json.RawMessage(payload),
		}})
	}

	spec, revision, ok := fold.CostRule("r")
	if !ok || spec.Idle != config.IdleEqual || revision != 1 {
		t.Errorf("got %v of revision %d, %t; want the rule of revision 1", spec, revision, ok)
	}
}
