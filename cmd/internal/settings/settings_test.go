package settings_test

import (
	"os"
	"strings"
	"testing"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway/cmd/internal/settings"
)

const valid = `{
  "region": "r", "zone": "z",
  "listen": {"callers": "127.0.0.1:1", "peers": "127.0.0.1:2", "probes": "127.0.0.1:2", "operator": "127.0.0.1:3"},
  "platform": {"log": "127.0.0.1:4", "hosts": "127.0.0.1:5"},
}`

// TestParse checks that the error lists all faults at once, each with its line and reason.
func TestParse(t *testing.T) {
	for _, test := range []struct {
		name    string
		content string
		want    []string
	}{
		{"valid", valid, nil},
		{"syntax", "{\n  \"region\": \n}", []string{"f:3:"}},
		{"empty", "", []string{"f:1:"}},
		{"no object", "[]", []string{"f:1: got array, want object"}},
		{
			"several faults at once",
			"{\n\"region\": \"r\", \"zone\": \"z\",\n\"listen\": {\"callers\": \"here\", \"peers\": \"127.0.0.1:2\",\n" +
				"\"probes\": \"127.0.0.1:2\", \"operator\": \"127.0.0.1:3\"},\n" +
				"\"platform\": {\"log\": \"127.0.0.1:4\", \"hosts\": \"127.0.0.1:5\"},\n" +
				"\"limits\": {\"bodyBytes\": 1},\n\"color\": \"red\"}",
			[]string{"f:3: listen/callers", "f:6: limits/bodyBytes", "f:7: color: unknown key"},
		},
		{
			"contradiction",
			strings.Replace(valid, `"platform"`, `"limits": {"defaultTimeout": "2h", "maxTimeout": "1h"}, "platform"`, 1),
			[]string{"f:4: limits/defaultTimeout: must not be above limits/maxTimeout"},
		},
		{
			"one address twice",
			strings.Replace(valid, "127.0.0.1:3", "127.0.0.1:1", 1),
			[]string{"f:3: listen/operator: uses the address of listen/callers"},
		},
		{
			"unspecified address without advertise",
			strings.Replace(valid, "127.0.0.1:3", "0.0.0.0:3", 1),
			[]string{"f:3: listen/operator: needs advertise/operator"},
		},
		{
			"seeds without key",
			strings.Replace(valid, `"platform"`, `"seeds": ["127.0.0.1:9"], "platform"`, 1),
			[]string{"f:4: seeds: needs probeKey"},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := settings.Parse("f", []byte(test.content))
			if len(test.want) == 0 {
				if err != nil {
					t.Errorf("got %v, want no error", err)
				}

				return
			}

			var faults *settings.FaultsError
			if !errors.As(err, &faults) {
				t.Fatalf("got %v, want a FaultsError", err)
			}

			for _, want := range test.want {
				if got := faults.Error(); !strings.Contains(got, want) {
					t.Errorf("got %q, want it to contain %q", got, want)
				}
			}
		})
	}
}

// FuzzParse checks that arbitrary content neither causes a panic nor gives an error without text.
func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte(`{"listen": {"callers": 3}, "seeds": [null]}`))
	f.Add([]byte("{\"a\": [1,2,}\n/* "))

	example, err := os.ReadFile("../../../docs/settings.example.jsonc")
	if err != nil {
		f.Fatal(err)
	}

	f.Add(example)
	f.Fuzz(func(t *testing.T, content []byte) {
		if _, err := settings.Parse("f", content); err != nil && err.Error() == "" {
			t.Error("got an error without a reason")
		}
	})
}
