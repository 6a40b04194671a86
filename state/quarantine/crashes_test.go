package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/quarantine"
)

// TestCrashes guards against contents that crash one server after the other, one crash that counts many times since it broke
// many calls, innocents that stay under suspicion, and counts that never end.
func TestCrashes(t *testing.T) {
	now := time.Unix(1000, 0)
	c := quarantine.NewCrashes(time.Minute)
	add := func(after time.Duration, digest quarantine.Digest, server string) bool {
		return c.Add(now.Add(after), quarantine.Crash{Digest: digest, Server: apricotway.BackendServerID(server)})
	}

	if !c.Empty() || c.Clear("d") {
		t.Error("got a content that nothing reported")
	}

	if !add(0, "d", "e1") || add(100*time.Millisecond, "d", "e1") || !add(100*time.Millisecond, "d", "e2") {
		t.Error("got one crash counted twice, or two servers as one")
	}

	if !add(5*time.Second, "d", "e1") {
		t.Error("got the second crash of a server that came back not counted")
	}

	if got, want := c.Count(now.Add(6*time.Second), "d"), quarantine.CrashLimit; got != want {
		t.Errorf("got %d crashes, want %d", got, want)
	}

	if got := c.Suspects(now.Add(6 * time.Second)); got["d"] != quarantine.CrashLimit || len(got) != 1 {
		t.Errorf("got suspects %v, want the content with %d crashes", got, quarantine.CrashLimit)
	}

	add(6*time.Second, "other", "e1")

	if !c.Clear("d") || c.Count(now.Add(6*time.Second), "d") != 0 || c.Count(now.Add(6*time.Second), "other") != 1 {
		t.Error("got an answered content still counted, or another one cleared with it")
	}

	if got := c.Count(now.Add(2*time.Minute), "other"); got != 0 {
		t.Errorf("got %d crashes after the time, want 0", got)
	}
}

// TestCrashesOfManyCalls plays the crash of engines with thousands of different calls under way, which may not take memory
// without a bound nor refuse any of them.
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
		t.Errorf("got %d contents kept, want a bound", counted)
	}

	if got := c.Suspects(now); len(got) != 0 {
		t.Errorf("got %d suspects after one crash, want none", len(got))
	}

	if !c.Add(now.Add(time.Minute), quarantine.Crash{Digest: "late", Server: "e"}) {
		t.Error("got a content not counted after the others have ended")
	}
}
