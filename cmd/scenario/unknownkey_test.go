package scenario

import (
	"bytes"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"github.com/apricotway/apricotway/internal/freeport"
)

// TestUnknownSettingsKey guards against an entry host that does not start, or rejects a change of its settings, because these are for a newer
// build, and against a check that accepts them.
func TestUnknownSettingsKey(t *testing.T) {
	t.Parallel()

	s := newEntryPlatform(t, 1, entryConfig)
	s.startEngine("model")
	s.addEntry("n0", freeport.Address(t), true)

	e := s.entries[0]

	logged := func(count int, what string) {
		t.Helper()

		for end := time.Now().Add(recoverTime); ; {
			content, err := os.ReadFile(e.settings + ".log")
			if err == nil && bytes.Count(content, []byte(what)) >= count {
				return
			}

			if time.Now().After(end) {
				t.Fatalf("got log %s, want %d lines with %s", content, count, what)
			}

			<-time.After(20 * time.Millisecond)
		}
	}

	content, err := os.ReadFile(e.settings)
	if err != nil {
		t.Fatal(err)
	}

	content = bytes.Replace(content, []byte(`"platform"`), []byte(`"drainOrder": "slowest", "platform"`), 1)

	if err := os.WriteFile(e.settings, content, 0o600); err != nil {
		t.Fatal(err)
	}

	s.start(e)
	s.awaitServing()
	logged(1, `"event":111`)

	content = bytes.Replace(content, []byte(`"drainOrder"`), []byte(`"keyRevocation": "3s", "drainOrder"`), 1)
	if err := os.WriteFile(e.settings, content, 0o600); err != nil {
		t.Fatal(err)
	}

	if err := e.command.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}

	logged(2, `"event":111`)
	logged(1, `"keyRevocation":3`)

	output, err := exec.Command("apricotway", "check", "--entry", "--settings", e.settings).CombinedOutput()
	if err == nil || !bytes.Contains(output, []byte("drainOrder: unknown key")) {
		t.Errorf("check: got %v and %s, want a failure that names the key", err, output)
	}
}
