package quarantine_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/quarantine"
)

// content returns the content of a call; equal numbers are equal fingerprints.
func content(parts ...quarantine.Fingerprint) []quarantine.Fingerprint { return parts }

// crashes is a Crashes whose time the test sets.
type crashes struct {
	*quarantine.Crashes

	now time.Time
}

func newCrashes() *crashes {
	return &crashes{quarantine.NewCrashes(10 * time.Minute), time.Unix(1000, 0)}
}

// crash adds the crash of a server with the given suspects, a second after the last one.
func (c *crashes) crash(server string, suspects ...[]quarantine.Fingerprint) {
	c.now = c.now.Add(time.Second)

	for _, suspect := range suspects {
		c.Add(c.now, quarantine.Suspect{Server: apricotway.BackendServerID(server), Content: suspect})
	}
}

func (c *crashes) answer(parts ...quarantine.Fingerprint) { c.Answered(c.now, parts) }

// refuses reports whether a call with the content is refused.
func (c *crashes) refuses(parts ...quarantine.Fingerprint) bool {
	return slices.ContainsFunc(c.Findings(c.now), func(f quarantine.Finding) bool { return f.Refused && f.Concerns(parts) })
}

func (c *crashes) wantRefused(t *testing.T, want bool, parts ...quarantine.Fingerprint) {
	t.Helper()

	if got := c.refuses(parts...); got != want {
		t.Errorf("content %d: got refused %t, want %t (findings %v)", parts, got, want, c.Findings(c.now))
	}
}

// TestCrashes guards against contents that crash one server after another, a crash that counts several times because it failed
// many calls, harmless contents that stay under suspicion, and counts that never expire.
func TestCrashes(t *testing.T) {
	const d, other = 1, 2

	c := newCrashes()
	count := func() int {
		for _, finding := range c.Findings(c.now) {
			if finding.Fingerprint == d {
				return finding.Crashes
			}
		}

		return 0
	}

	if len(c.Findings(c.now)) != 0 || c.Suspects() != 0 {
		t.Error("got a content that was never added")
	}

	c.crash("e1", content(d))
	c.crash("e1", content(d))

	if got := len(c.Findings(c.now)); got != 0 {
		t.Errorf("got %d findings after one crash, want none", got)
	}

	c.crash("e2", content(d))

	if got, want := count(), quarantine.SuspectThreshold; got != want || c.refuses(d) {
		t.Errorf("got %d crashes and refused %t, want %d and false", got, c.refuses(d), want)
	}

	c.now = c.now.Add(5 * time.Second)
	c.crash("e1", content(d), content(other))

	if got, want := count(), quarantine.CrashLimit; got != want || !c.refuses(d) || c.refuses(other) {
		t.Errorf("got %d crashes and refused %t and %t, want %d, true and false", got, c.refuses(d), c.refuses(other), want)
	}

	c.answer(d)

	if got, want := c.Suspects(), 1; got != want || count() != 0 || c.refuses(d) {
		t.Errorf("got %d suspects and %d crashes of the answered content, want %d and none", got, count(), want)
	}

	c.now = c.now.Add(11 * time.Minute)

	if c.Findings(c.now); c.Suspects() != 0 {
		t.Errorf("got %d suspects after the lifetime, want none", c.Suspects())
	}
}

// TestCrashesOfManyCalls guards against unbounded memory, and suspicion of harmless calls, when an engine crashes that runs thousands
// of different calls.
func TestCrashesOfManyCalls(t *testing.T) {
	c := newCrashes()

	for i := range 10000 {
		c.Add(c.now, quarantine.Suspect{Server: "e", Content: content(quarantine.Fingerprint(i))})
	}

	if got := c.Suspects(); got == 0 || got > 4000 {
		t.Errorf("got %d suspects tracked, want 1 to 4000", got)
	}

	if got := len(c.Findings(c.now)); got != 0 {
		t.Errorf("got %d findings after one crash, want none", got)
	}

	for i := range 10000 {
		c.Add(c.now, quarantine.Suspect{Server: apricotway.BackendServerID(fmt.Sprint(i)), Content: content(5)})
	}

	if got := c.Suspects(); got > 5000 {
		t.Errorf("got %d suspects tracked, want at most 5000", got)
	}

	c.now = c.now.Add(11 * time.Minute)
	c.Findings(c.now)
	c.crash("late", content(6))

	if got, want := c.Suspects(), 1; got != want {
		t.Errorf("got %d suspects after the others had expired, want the new one", got)
	}
}

// Fingerprints of the cases below: all calls share first, many share common, and each call has a whole content of its own.
const (
	first  = 1
	common = 2
	bad    = 3
	worse  = 4
)

// TestCrashingPart guards against refusing calls that only share other parts with those that crash servers.
func TestCrashingPart(t *testing.T) {
	c := newCrashes()

	for i := range quarantine.Fingerprint(quarantine.CrashLimit) {
		c.answer(first)
		c.crash(fmt.Sprint("e", i), content(first, common, bad, 100+i), content(first, 200+i))
	}

	c.wantRefused(t, true, first, common, bad, 300)
	c.wantRefused(t, false, first, common, 301)
	c.wantRefused(t, false, first, 302)

	// The crashes can't tell bad and common apart until a call with common is answered.
	c.answer(first, common, 301)
	c.wantRefused(t, true, first, bad, 303)
	c.wantRefused(t, false, first, common, 304)
}

// TestCrashingPartWithChangingOthers guards against a crashing part that is refused only beside the parts of the first crashes.
func TestCrashingPartWithChangingOthers(t *testing.T) {
	c := newCrashes()

	for i := range quarantine.Fingerprint(quarantine.CrashLimit) {
		c.answer(first)
		c.crash(fmt.Sprint("e", i), content(first, 10+i, bad, 100+i))
	}

	c.wantRefused(t, true, first, 20, bad, 300)
}

// TestTwoCrashingParts guards against one crashing part that hides another one.
func TestTwoCrashingParts(t *testing.T) {
	c := newCrashes()

	for i := range quarantine.Fingerprint(quarantine.CrashLimit) {
		c.answer(first)
		c.crash(fmt.Sprint("a", i), content(first, bad, 100+i), content(first, 200+i))
		c.crash(fmt.Sprint("b", i), content(first, worse, 300+i))
	}

	c.wantRefused(t, true, first, bad, 400)
	c.wantRefused(t, true, first, worse, 401)
	c.wantRefused(t, false, first, 402)
}

// TestSimultaneousCrashes guards against refusing the parts that all calls share when many servers crash at once for another reason.
func TestSimultaneousCrashes(t *testing.T) {
	c := newCrashes()
	c.answer(first, common)

	for i := range quarantine.Fingerprint(9) {
		c.Add(c.now, quarantine.Suspect{
			Server: apricotway.BackendServerID(fmt.Sprint("e", i)), Content: content(first, common, 100+i),
		})
	}

	c.wantRefused(t, false, first, common, 300)
	c.wantRefused(t, false, first, 301)
}

// TestRepeatedCall guards against a call that crashes servers and is repeated unchanged, and against refusing others with its parts.
func TestRepeatedCall(t *testing.T) {
	c := newCrashes()

	for i := range quarantine.CrashLimit {
		c.answer(first)
		c.crash(fmt.Sprint("e", i), content(first, common, 100))
	}

	c.wantRefused(t, true, first, common, 100)
	c.wantRefused(t, false, first, common, 101)
}

// TestTrial guards against contents that stay refused for ever although they no longer crash servers, and against trials in quick
// succession.
func TestTrial(t *testing.T) {
	c := newCrashes()

	for i := range quarantine.Fingerprint(quarantine.CrashLimit) {
		c.crash(fmt.Sprint("e", i), content(first, bad, 100+i))
	}

	c.wantRefused(t, true, first, bad, 300)
	fingerprint := c.Findings(c.now)[0].Fingerprint
	trials := 0

	for end := c.now.Add(time.Hour); c.now.Before(end); c.now = c.now.Add(time.Second) {
		if c.GrantTrial(c.now, fingerprint) {
			trials++

			c.crash(fmt.Sprint("trial", trials), content(first, bad, quarantine.Fingerprint(400+trials)))
		}

		if trials == 1 {
			c.wantRefused(t, true, first, bad, 300)
		}
	}

	if got, least, most := trials, 20, 30; got < least || got > most {
		t.Errorf("got %d trials in an hour, want %d to %d", got, least, most)
	}

	c.wantRefused(t, true, first, bad, 300)
	c.answer(first, bad, 500)
	c.wantRefused(t, false, first, bad, 300)
}

// TestAdopt guards against a successor that lets calls through which its predecessor refused.
func TestAdopt(t *testing.T) {
	before, after := newCrashes(), newCrashes()

	for i := range quarantine.Fingerprint(quarantine.CrashLimit) {
		before.crash(fmt.Sprint("a", i), content(bad, 100+i))
		before.crash(fmt.Sprint("b", i), content(worse, 200+i))
	}

	for range 3 {
		after.Adopt(after.now, before.Findings(before.now))
	}

	after.wantRefused(t, true, bad, 300)
	after.wantRefused(t, true, worse, 301)
	after.wantRefused(t, false, first, 302)

	if got, want := after.Suspects(), 2*quarantine.CrashLimit; got != want {
		t.Errorf("got %d suspects, want %d", got, want)
	}

	after.answer(bad)
	after.wantRefused(t, false, bad, 300)
}
