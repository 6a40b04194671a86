package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/quarantine"
)

// TestCrashes guards against contents that crash one server after another, a crash that counts several times because it failed
// many calls, harmless contents that stay under suspicion, and counts that never expire.
func TestCrashes(t *testing.T) {
	now := time.Unix(1000, 0)
	c := quarantine.NewCrashes(time.Minute)
	add := func(after time.Duration, digest quarantine.Digest, server string) bool {
		return c.Add(now.Add(after), quarantine.Crash{Digest: digest, Server: apricotway.BackendServerID(server)})
	}

	if !c.Empty() || c.Clear("d") {
		t.Error("got a content that was never added")
	}

	if !add(0, "d", "e1") || add(100*time.Millisecond, "d", "e1") || !add(100*time.Millisecond, "d", "e2") {
		t.Error("got one crash counted twice, or crashes of two servers counted as one")
	}

	if !add(5*time.Second, "d", "e1") {
		t.Error("a later crash of the same server was not counted")
	}

	if got, want := c.Count(now.Add(6*time.Second), "d"), quarantine.CrashLimit; got != want {
		t.Errorf("got %d crashes, want %d", got, want)
	}

	if got := c.Suspects(now.Add(6 * time.Second)); got["d"] != quarantine.CrashLimit || len(got) != 1 {
		t.Errorf("got suspects %v, want the content with %d crashes", got, quarantine.CrashLimit)
	}

	add(6*time.Second, "other", "e1")

	if !c.Clear("d") || c.Count(now.Add(6*time.Second), "d") != 0 || c.Count(now.Add(6*time.Second), "other") != 1 {
		t.Error("the answered content is still counted, or another content was cleared with it")
	}

	if got := c.Count(now.Add(2*time.Minute), "other"); got != 0 {
		t.Errorf("got %d crashes after the lifetime, want 0", got)
	}
}

// TestCrashesOfManyCalls simulates the crash of an engine that runs thousands of different calls. They must not use unbounded
// memory, and none of them may become a suspect.
func TestCrashesOfManyCalls(t *testing.T) {
	now := time.Unix(1000, 0)
	c := quarantine.NewCrashes(time.Minute)
	counted := 0

	for i := range 10000 {
		if c.Add(now, quarantine.Crash{Digest: quarantine.Digest(fmt.Sprint(i)), Server: "e"}) {
			counted++
		}
	}

	if counted == 0 || counted > 4000 {
		t.Errorf("got %d contents tracked, want 1 to 4000", counted)
	}

	if got := c.Suspects(now); len(got) != 0 {
		t.Errorf("got %d suspects after one crash, want none", len(got))
	}

	if !c.Add(now.Add(time.Minute), quarantine.Crash{Digest: "late", Server: "e"}) {
		t.Error("a new content was not counted after the others had expired")
	}
}
