package quarantine_test

import (
	"testing"
	"time"

	"github.com/apricotway/apricotway/state/quarantine"
)

// TestSet guards against harmless requests that stay suspect, crashing requests that get a third engine, two simultaneous
// trials of one digest, and entries that never expire.
func TestSet(t *testing.T) {
	now := time.Unix(1000, 0)
	set, other := quarantine.New(time.Minute), quarantine.New(time.Minute)
	want := func(set *quarantine.Set, at time.Time, state quarantine.State) {
		t.Helper()

		if got := set.Entry(at, "d").State; got != state {
			t.Fatalf("got %s, want %s", got, state)
		}
	}

	crash := set.Crashed(now, "d", 3, false)
	want(set, now, quarantine.StateSuspect)

	if _, ok := set.BeginTrial(now, "d", "e1", now.Add(time.Second)); !ok {
		t.Fatal("the trial of a suspect was refused")
	}

	if _, ok := set.BeginTrial(now, "d", "e2", now.Add(time.Second)); ok {
		t.Fatal("a second trial began beside the first")
	}

	if !set.Reserved(now, "e1") || set.Reserved(now.Add(time.Second), "e1") {
		t.Fatal("the engine must be reserved exactly for the time of the trial")
	}

	cleared, _ := set.EndTrial(now, "d", true)
	want(set, now, quarantine.StateClear)

	if !other.Merge(now, cleared) || other.Merge(now, crash) {
		t.Fatal("a late suspicion must not undo a newer clearance")
	}

	want(other, now, quarantine.StateClear)

	set.Crashed(now, "d", 3, false)
	other.Merge(now, set.Crashed(now, "d", 0, true))
	want(other, now, quarantine.StateQuarantined)
	want(other, now.Add(time.Minute), quarantine.StateClear)
}
