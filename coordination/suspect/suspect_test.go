package suspect_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/coordination/suspect"
	"github.com/apricotway/apricotway/state/quarantine"
)

// holder counts the crashes of all processes, as the holder of the duties does.
type holder struct{ crashes *quarantine.Crashes }

func newHolder() *holder { return &holder{crashes: quarantine.NewCrashes(suspect.Lifetime)} }

// exchange sends the report of a process to the holder and the answer back. If lost is set, the answer does not reach the process.
func (h *holder) exchange(s *suspect.Suspects, number apricotway.Offset, lost bool) {
	now := time.Now()
	report, confirm := s.Report(number)

	for _, digest := range report.Answered {
		h.crashes.Clear(digest)
	}

	for _, crash := range report.Crashes {
		h.crashes.Add(now, crash)
	}

	if !lost {
		confirm()
		s.SetGlobalCounts(h.crashes.Suspects(now))
	}
}

// TestSuspects guards against a call that crashes one server at each process but is refused by none of them, against crashes that
// are never reported to a new holder of the duties, and against refusing calls that crash nothing.
func TestSuspects(t *testing.T) {
	h := newHolder()
	processes := []*suspect.Suspects{suspect.New(), suspect.New(), suspect.New()}

	for i, s := range processes {
		if s.HasSuspects() {
			t.Errorf("process %d: digests are requested before any crash", i)
		}

		s.RecordBroken("d", apricotway.BackendServerID(fmt.Sprint("e", i)))
		h.exchange(s, 1, i == 1)
	}

	for i, s := range processes {
		h.exchange(s, 1, false)

		if !s.Refuses("d") || s.Refuses("other") {
			t.Errorf("process %d: got refusals %v of the crashing and %v of the other content, want true and false", i, s.Refuses("d"), s.Refuses("other"))
		}
	}

	successor := newHolder()
	for _, s := range processes {
		successor.exchange(s, 2, false)
	}

	if got, want := successor.crashes.Count(time.Now(), "d"), quarantine.CrashLimit; got != want {
		t.Errorf("got %d crashes at the next holder, want %d", got, want)
	}

	processes[2].RecordAnswered("d")
	successor.exchange(processes[2], 2, false)

	for i, s := range processes {
		successor.exchange(s, 2, false)

		if s.Refuses("d") {
			t.Errorf("process %d: an answered content is refused", i)
		}
	}
}

// TestManyBroken guards against crashes that are never reported because more calls were in flight on the crashed engine than one
// report carries.
func TestManyBroken(t *testing.T) {
	s, h := suspect.New(), newHolder()

	const contents = 500

	for i := range contents {
		s.RecordBroken(quarantine.Digest(fmt.Sprint(i)), "e")
	}

	for range contents {
		h.exchange(s, 1, false)
	}

	counted := 0

	for i := range contents {
		counted += h.crashes.Count(time.Now(), quarantine.Digest(fmt.Sprint(i)))
	}

	if counted != contents {
		t.Errorf("got %d crashes at the holder, want %d", counted, contents)
	}
}
