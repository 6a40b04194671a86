package settings_test

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/apricotway/apricotway/cmd/internal/settings"
)

const exampleEntry = "../../../docs/entry.example.jsonc"

// TestEntryExample checks that the documented example settings of an entry host are valid and decoded correctly.
func TestEntryExample(t *testing.T) {
	e, err := settings.LoadEntry(exampleEntry)
	if err != nil {
		t.Fatal(err)
	}

	if got, want := time.Duration(e.KeyRevocation), 5*time.Second; got != want {
		t.Errorf("got revocation %s, want %s", got, want)
	}

	if got, want := e.Retries.Slack, 52.0; got != want {
		t.Errorf("got slack %v, want %v", got, want)
	}
}

// TestParseEntry checks that the error for invalid settings names the key or the reason.
func TestParseEntry(t *testing.T) {
	content, err := os.ReadFile(exampleEntry)
	if err != nil {
		t.Fatal(err)
	}

	for _, test := range []struct{ name, old, replacement, want string }{
		{"unknown key", `"stopLimit"`, `"stopLimits"`, "stopLimits"},
		{"address", `"127.0.0.1:8229"`, `"here"`, "listen/peers"},
		{"address twice", `"127.0.0.1:8224"`, `"127.0.0.1:8221"`, "listen/readiness: uses the address of listen/callers"},
		{"duration", `"5s"`, `"5"`, "must be a duration above zero"},
		{"no time to stop", `"8s"`, `"1s"`, "addressValidity: must be below stopLimit"},
		{"no cloud", `"cloud": "127.0.0.1:8226",`, ``, "cloud"},
		{"no key", `"probeKey": "00112233445566778899aabbccddeeff",`, ``, "seeds: needs probeKey"},
	} {
		t.Run(test.name, func(t *testing.T) {
			changed := strings.Replace(string(content), test.old, test.replacement, 1)

			_, err := settings.ParseEntry("f", []byte(changed))
			if err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("got error %v, want it to name %s", err, test.want)
			}
		})
	}
}
