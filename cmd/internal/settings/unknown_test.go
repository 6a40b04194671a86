package settings_test

import (
	"os"
	"strings"
	"testing"

	"github.com/apricotway/apricotway/cmd/internal/settings"
)

// TestUnknownKeys guards against a process that does not start, after a rollback, with settings for a newer build, and against a check that
// does not find a misspelt key.
func TestUnknownKeys(t *testing.T) {
	content, err := os.ReadFile(exampleEntry)
	if err != nil {
		t.Fatal(err)
	}

	for _, test := range []struct {
		name, old, replacement string
		// fault is what check says, and ends tells whether a process with these settings does not start.
		fault string
		ends  bool
	}{
		{"key of a newer build", `"processor"`, `"drainOrder": ["a"], "processor"`, "drainOrder: unknown key", false},
		{"key of a newer build in an object", `"store"`, `"mirror": {"a": 1}, "store"`, "platform/mirror: unknown key", false},
		{"misspelt", `"stopLimit"`, `"stopLimits"`, "stopLimits: unknown key; did you mean stopLimit?", false},
		{"swapped", `"stopLimit"`, `"stopLimti"`, "did you mean stopLimit?", false},
		{"case", `"usageWindow"`, `"usagewindow"`, "did you mean usageWindow?", false},
		{"in another object", `"processor"`, `"writesPerSecond": 1, "processor"`, "did you mean platform/writesPerSecond?", false},
		{"misspelt guard", `"keyRevocation"`, `"keyRevokation"`, "keyRevokation: unknown key; did you mean keyRevocation?", true},
		{"beside the guard", `"keyRevocation"`, `"keyRevocations": [], "keyRevocation"`, "did you mean keyRevocation?", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			changed := []byte(strings.Replace(string(content), test.old, test.replacement, 1))

			_, err := settings.ParseEntry("f", changed)
			if err == nil || !strings.Contains(err.Error(), test.fault) {
				t.Errorf("check: got %v, want it to contain %q", err, test.fault)
			}

			var ignored []settings.Fault

			read, err := settings.ParseEntry("f", changed, settings.WithUnknownKeys(func(f settings.Fault) { ignored = append(ignored, f) }))
			if got := err != nil; got != test.ends {
				t.Fatalf("got %v, want an error: %t", err, test.ends)
			}

			if test.ends {
				return
			}

			if len(ignored) != 1 || !strings.Contains(ignored[0].String(), test.fault) || ignored[0].Line < 2 {
				t.Errorf("got ignored %v, want %q with its line", ignored, test.fault)
			}

			if got, want := read.Retries.Slack, 52.0; got != want {
				t.Errorf("got slack %v, want %v", got, want)
			}
		})
	}
}

// TestFaultBesideUnknownKey guards against starting with a faulty value because the file also has an unknown key.
func TestFaultBesideUnknownKey(t *testing.T) {
	faulty := strings.Replace(valid, `"region": "r"`, `"color": "red", "region": 3`, 1)

	_, err := settings.Parse("f", []byte(faulty), settings.WithUnknownKeys(func(f settings.Fault) { t.Errorf("got %v ignored, want faults only", f) }))
	if err == nil || !strings.Contains(err.Error(), "region") {
		t.Errorf("got %v, want the fault of region", err)
	}
}
