package suspect_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/coordination/suspect"
	"github.com/apricotway/apricotway/state/quarantine"
)

// holder judges the reports of all processes, as the holder of the duties does.
type holder struct{ crashes *quarantine.Crashes }

func newHolder() *holder { return &holder{crashes: quarantine.NewCrashes(suspect.Lifetime)} }

// exchange sends the report of a process to the holder and the answer back. If lost is set, the answer does not reach the process.
func (h *holder) exchange(s *suspect.Suspects, number apricotway.Offset, lost bool) {
	report, confirm := s.Report(number)
	verdict := suspect.Judge(time.Now(), h.crashes, report)

	if !lost {
		confirm()
		s.Apply(verdict)
	}
}

func content(parts ...quarantine.Fingerprint) []quarantine.Fingerprint { return parts }

// TestSuspects guards against a call that crashes one server at each process but is refused by none of them, against crashes that
// are never reported to a new holder of the duties, and against refusing calls that crash nothing.
func TestSuspects(t *testing.T) {
	const d, other = 1, 2

	h := newHolder()
	processes := []*suspect.Suspects{suspect.New(), suspect.New(), suspect.New()}

	for i, s := range processes {
		if s.HasSuspects() {
			t.Errorf("process %d: whole contents are hashed before any crash", i)
		}

		s.RecordBroken(content(d), apricotway.BackendServerID(fmt.Sprint("e", i)))
		h.exchange(s, 1, i == 1)
	}

	wantRefused := func(t *testing.T, i int, want bool) {
		t.Helper()

		s := processes[i]
		if got, of := s.Refuses(content(d)), s.Refuses(content(other)); got != want || of {
			t.Errorf("process %d: got refusals %v of the crashing and %v of the other content, want %v and false", i, got, of, want)
		}
	}

	for i, s := range processes {
		h.exchange(s, 1, false)
		wantRefused(t, i, true)
	}

	successor := newHolder()
	for _, s := range processes {
		successor.exchange(s, 2, false)
	}

	found := successor.crashes.Findings(time.Now())
	if len(found) != 1 || found[0].Fingerprint != d || found[0].Crashes < quarantine.CrashLimit {
		t.Errorf("got findings %v at the next holder, want one of the content with %d crashes at least", found, quarantine.CrashLimit)
	}

	processes = append(processes, suspect.New())
	successor.exchange(processes[3], 2, false)

	for i := range processes {
		wantRefused(t, i, true)
	}

	processes[2].RecordAnswered(content(d))
	successor.exchange(processes[2], 2, false)

	for i, s := range processes {
		successor.exchange(s, 2, false)
		wantRefused(t, i, false)
	}
}

// TestRefusalOutlivesProcesses guards against calls that are let through again once the processes that saw the crashes and the holder
// have ended.
func TestRefusalOutlivesProcesses(t *testing.T) {
	const d = 1

	h, remaining := newHolder(), suspect.New()

	for i := range quarantine.CrashLimit {
		ended := suspect.New()
		ended.RecordBroken(content(d), apricotway.BackendServerID(fmt.Sprint("e", i)))
		h.exchange(ended, 1, false)
	}

	h.exchange(remaining, 1, false)

	successor, started := newHolder(), suspect.New()
	successor.exchange(remaining, 2, true)
	successor.exchange(remaining, 2, false)
	successor.exchange(started, 2, false)

	if !remaining.Refuses(content(d)) || !started.Refuses(content(d)) {
		t.Error("got calls that are let through, want them refused")
	}
}

// TestAnswersReachHolder guards against answers that the holder never learns of because a report or its answer was lost.
func TestAnswersReachHolder(t *testing.T) {
	const d = 1

	h, s := newHolder(), suspect.New()

	for i := range quarantine.CrashLimit {
		s.RecordBroken(content(d), apricotway.BackendServerID(fmt.Sprint("e", i)))
	}

	h.exchange(s, 1, false)

	other := suspect.New()
	h.exchange(other, 1, false)
	other.RecordAnswered(content(d))
	other.Report(1)
	h.exchange(other, 1, false)
	h.exchange(s, 1, false)

	if s.Refuses(content(d)) {
		t.Error("got an answered content refused")
	}
}

// TestTrialIsOneCall guards against more than one call of a refused content that is sent as a trial.
func TestTrialIsOneCall(t *testing.T) {
	const d = 1

	s := suspect.New()
	finding := quarantine.Finding{Fingerprint: d, Common: content(d), Crashes: quarantine.CrashLimit, Refused: true}
	s.Apply(suspect.Verdict{Findings: []quarantine.Finding{finding}, Trials: content(d)})

	for i, want := range []bool{false, true, true} {
		if got := s.Refuses(content(d)); got != want {
			t.Errorf("call %d: got refused %v, want %v", i, got, want)
		}
	}
}

// TestAnswerAcquitsOnlyItsParts guards against a crashing part that is let through because a call was answered that shares another part
// with the crashed ones.
func TestAnswerAcquitsOnlyItsParts(t *testing.T) {
	const common, bad = 1, 2

	s := suspect.New()
	s.Apply(suspect.Verdict{Findings: []quarantine.Finding{
		{Fingerprint: common, Common: content(common, bad), Crashes: quarantine.CrashLimit, Refused: true},
	}})
	s.RecordAnswered(content(common))

	if !s.Refuses(content(3, bad)) || s.Refuses(content(3, common)) {
		t.Errorf("got refusals %v with the part and %v without, want true and false", s.Refuses(content(3, bad)), s.Refuses(content(3, common)))
	}
}

// TestManyBroken guards against crashes that are never reported because more calls were in flight on the crashed engine than one
// report carries.
func TestManyBroken(t *testing.T) {
	s, h := suspect.New(), newHolder()

	const contents = 500

	for i := range contents {
		s.RecordBroken(content(quarantine.Fingerprint(i)), "e")
	}

	for range contents {
		h.exchange(s, 1, false)
	}

	if got := h.crashes.Suspects(); got != contents {
		t.Errorf("got %d suspects at the holder, want %d", got, contents)
	}
}
