package dispatch_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/dispatch"
)

// placed returns the servers that get calls of a pool.
func placed(p *dispatch.Pool, now time.Time) map[apricotway.BackendServerID]bool {
	seen := map[apricotway.BackendServerID]bool{}

	for range 50 {
		send, _, _ := p.Place(now, dispatch.Request{Service: service, Remaining: time.Minute})
		if send != nil {
			seen[send.Backend.ID] = true
			send.End(now, dispatch.OutcomeLeft)
		}
	}

	return seen
}

// answer places a call on a server and records an answer to it.
func answer(
	t *testing.T, p *dispatch.Pool, now time.Time, id apricotway.BackendServerID, stated apricotway.AnswerMetadata, misdirected bool,
) dispatch.StatementChange {
	t.Helper()

	send := p.PlaceAt(now, id, dispatch.Request{Service: service})
	if send == nil {
		t.Fatalf("got no call at %s, want one", id)
	}

	defer send.End(now, dispatch.OutcomeLeft)

	return send.RecordStatements(now, stated, misdirected)
}

// TestLeaveStatement guards against calls for a server that has said that it is leaving, and against a belief about it that outlasts the
// server or its return.
func TestLeaveStatement(t *testing.T) {
	registered := func(id apricotway.BackendServerID, sequence uint64) apricotway.Backend {
		b := backend(id)
		b.Sequence = sequence

		return b
	}
	ready := func(sequence uint64, writtenAfter time.Duration) func(*dispatch.Pool) {
		return func(p *dispatch.Pool) {
			p.Update(registered("a", sequence), start)
			p.RecordWritten(start, registered("a", sequence), start.Add(writtenAfter), writtenAfter)
		}
	}

	for name, test := range map[string]struct {
		next func(*dispatch.Pool)
		used bool
	}{
		"nothing further":                 {func(*dispatch.Pool) {}, false},
		"entry written before the answer": {ready(2, -time.Second), false},
		"entry written after the answer":  {ready(2, time.Second), true},
		"draining entry after the answer": {func(p *dispatch.Pool) {
			leaving := registered("a", 2)
			leaving.Leaving = true
			p.Update(leaving, start)
			p.RecordWritten(start, leaving, start.Add(time.Second), time.Second)
			p.Update(registered("a", 3), start)
		}, false},
		"new start under the same ID": {func(p *dispatch.Pool) {
			again := registered("a", 1)
			again.Born = start.Add(time.Second)
			p.Update(again, start)
		}, true},
		"another server at the address": {func(p *dispatch.Pool) {
			p.Remove("a", time.Now())
			p.Update(registered("a2", 1), start)
		}, true},
		"answer to an earlier call": {func(p *dispatch.Pool) { answer(t, p, start, "a", apricotway.AnswerMetadata{}, false) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			p := dispatch.New()
			p.Update(registered("a", 1), start)
			p.Update(registered("b", 1), start)

			if change := answer(t, p, start, "a", apricotway.AnswerMetadata{Leaving: true}, false); !change.Leaving || change.Server != "a" {
				t.Errorf("got change %+v, want that a is leaving", change)
			}

			if change := answer(t, p, start, "a", apricotway.AnswerMetadata{Leaving: true}, false); change.Leaving {
				t.Errorf("second answer: got change %+v, want none", change)
			}

			test.next(p)

			seen := placed(p, start)
			if got := seen["a"] || seen["a2"]; got != test.used || !seen["b"] {
				t.Errorf("got calls at %v, want the server to be used: %t", seen, test.used)
			}
		})
	}
}

// TestDoubted guards against reading the list for a server whose entry follows its answers, and against reading it without end.
func TestDoubted(t *testing.T) {
	p := dispatch.New()
	p.Update(backend("a"), start)
	answer(t, p, start, "a", apricotway.AnswerMetadata{Leaving: true}, false)

	for after, want := range map[time.Duration]bool{
		0: false, 4 * time.Second: false, 6 * time.Second: true, 10 * time.Second: false, 36 * time.Second: true,
	} {
		if got := p.Doubted(start.Add(after)); got != want {
			t.Errorf("after %s: got %t, want %t", after, got, want)
		}
	}

	leaving := backend("a")
	leaving.Leaving = true
	p.Update(leaving, start)

	// A new start in the time of which the statement falls, and which leaves by its entry, too.
	leaving.Born = start.Add(-time.Second)
	p.Update(leaving, start)
	answer(t, p, start, "a", apricotway.AnswerMetadata{Leaving: true}, false)

	if p.Doubted(start.Add(6 * time.Second)) {
		t.Error("leaving by the entry: got doubts, want none")
	}

	p.Remove("a", time.Now())

	if p.Doubted(start.Add(6 * time.Second)) {
		t.Error("removed: got doubts, want none")
	}
}

// TestStatementsOfOthers guards against taking the statement of another server at the address for one of the expected server.
func TestStatementsOfOthers(t *testing.T) {
	address := netip.MustParseAddrPort("127.0.0.1:1")

	for name, test := range map[string]struct {
		named apricotway.BackendServerID
		other netip.AddrPort
		want  apricotway.BackendServerID
	}{
		"known server at the address": {"b", address, "b"},
		"server at another address":   {"b", netip.MustParseAddrPort("127.0.0.1:2"), ""},
		"unknown server":              {"c", address, ""},
		"unnamed server":              {"", address, ""},
	} {
		t.Run(name, func(t *testing.T) {
			p := dispatch.New()
			a, b := backend("a"), backend("b")
			a.Address, b.Address = address, test.other
			p.Update(a, start)
			p.Update(b, start)

			answer(t, p, start, "a", apricotway.AnswerMetadata{Server: test.named, Leaving: true}, true)

			seen := placed(p, start)
			for _, id := range []apricotway.BackendServerID{"a", "b"} {
				if got, want := seen[id], id != test.want; got != want {
					t.Errorf("server %s: got used: %t, want %t", id, got, want)
				}
			}
		})
	}
}

// TestStatementBeforeEntry guards against losing what a new start of a server has said before its entry was read.
func TestStatementBeforeEntry(t *testing.T) {
	for name, stated := range map[string]apricotway.AnswerMetadata{"leaving": {Leaving: true}, "pause": pauseOf(time.Minute)} {
		t.Run(name, func(t *testing.T) {
			p := dispatch.New()
			p.Update(backend("a"), start)
			answer(t, p, start, "a", stated, false)

			again := backend("a")
			again.Born = start.Add(-time.Millisecond)
			p.Update(again, start)

			if seen := placed(p, start); seen["a"] {
				t.Error("got calls at the new start, want none")
			}
		})
	}
}

// TestStatementOfEarlierStart guards against taking the answer of a server's earlier start for one of the new start.
func TestStatementOfEarlierStart(t *testing.T) {
	p := dispatch.New()
	p.Update(backend("a"), start)
	send, _, _ := p.Place(start, dispatch.Request{Service: service, Remaining: time.Minute})

	again := backend("a")
	again.Born = start.Add(time.Second)
	p.Update(again, start)
	send.RecordStatements(start, apricotway.AnswerMetadata{Leaving: true}, false)

	if seen := placed(p, start); !seen["a"] {
		t.Error("got no calls at the new start, want some")
	}
}

// pauseOf returns an answer that names a pause.
func pauseOf(length time.Duration) apricotway.AnswerMetadata {
	return apricotway.AnswerMetadata{NotRun: true, Pause: apricotway.RequestPause{Statement: apricotway.PauseStated, For: length}}
}

// TestPause guards against calls for a server in the pause that it has named, first and retried ones and those of moved runs, and against
// a pause that lasts longer than the server or its named time.
func TestPause(t *testing.T) {
	const pause = 5 * time.Second

	p := dispatch.New()
	p.Update(backend("a"), start)
	p.Update(backend("b"), start)

	if change := answer(t, p, start, "a", pauseOf(pause), false); change.Pause != dispatch.PauseNamed || !change.PausedUntil.Equal(start.Add(pause)) {
		t.Errorf("got change %+v, want a pause of %s", change, pause)
	}

	for _, after := range []time.Duration{0, pause - time.Millisecond} {
		now := start.Add(after)

		if send := p.PlaceAt(now, "a", dispatch.Request{Service: service}); send != nil {
			t.Errorf("after %s: got a moved run at the server, want none", after)
		}

		if seen := placed(p, now); seen["a"] || !seen["b"] {
			t.Errorf("after %s: got calls at %v, want b only", after, seen)
		}

		retry := dispatch.Request{Service: service, Remaining: time.Minute, Avoid: []apricotway.BackendServerID{"b"}}
		if send, why, wait := p.Place(now, retry); send != nil || why != dispatch.RefusedPaused || wait < pause-after {
			t.Errorf("after %s: got %v, %s and %s, want a refusal until the end of the pause", after, send, why, wait)
		}
	}

	if seen := placed(p, start.Add(pause)); !seen["a"] {
		t.Error("after the pause: got no calls, want some")
	}

	answer(t, p, start.Add(pause), "a", pauseOf(pause), false)

	again := backend("a")
	again.Born = start.Add(pause + time.Second)
	p.Update(again, start.Add(pause))

	if seen := placed(p, start.Add(pause)); !seen["a"] {
		t.Error("new start: got no calls, want some")
	}
}

// TestFurtherPauses guards against a pause that a later answer shortens.
func TestFurtherPauses(t *testing.T) {
	p := dispatch.New()
	p.Update(backend("a"), start)

	var sends []*dispatch.Send
	for range 6 {
		sends = append(sends, p.PlaceAt(start, "a", dispatch.Request{Service: service}))
	}

	for i, test := range []struct {
		answer apricotway.AnswerMetadata
		change dispatch.PauseChange
		until  time.Duration
	}{
		{pauseOf(3 * time.Second), dispatch.PauseNamed, 3 * time.Second},
		{pauseOf(time.Second), dispatch.PauseUnchanged, 3 * time.Second},
		{pauseOf(9 * time.Second), dispatch.PauseNamed, 9 * time.Second},
		{apricotway.AnswerMetadata{}, dispatch.PauseUnchanged, 9 * time.Second},
		{
			apricotway.AnswerMetadata{Pause: apricotway.RequestPause{Statement: apricotway.PauseInvalid}},
			dispatch.PauseUnreadable,
			9 * time.Second,
		},
		{
			apricotway.AnswerMetadata{Pause: apricotway.RequestPause{Statement: apricotway.PauseInvalid}},
			dispatch.PauseUnchanged,
			9 * time.Second,
		},
	} {
		change := sends[i].RecordStatements(start, test.answer, false)
		if got, want := change.PausedUntil, start.Add(test.until); change.Pause != test.change || !got.Equal(want) {
			t.Errorf("answer %d: got %q until %s, want %q until %s", i, change.Pause, got, test.change, want)
		}
	}
}

// TestLongPause guards against a server that is out for the day because it named a huge pause by mistake, and against more than two calls
// within a long pause.
func TestLongPause(t *testing.T) {
	const most = time.Minute

	for name, test := range map[string]struct {
		trial apricotway.AnswerMetadata
		calls int
	}{
		"mistake":   {apricotway.AnswerMetadata{}, 50},
		"confirmed": {pauseOf(time.Duration(1<<63 - 1)), 0},
	} {
		t.Run(name, func(t *testing.T) {
			p := dispatch.New()
			p.Update(backend("a"), start)
			answer(t, p, start, "a", pauseOf(time.Duration(1<<63-1)), false)

			now := start.Add(most - time.Millisecond)
			if seen := placed(p, now); seen["a"] {
				t.Error("before the bound: got calls, want none")
			}

			now = start.Add(most)

			trial, _, _ := p.Place(now, dispatch.Request{Service: service, Remaining: time.Minute})
			if trial == nil {
				t.Fatal("got no call at the bound, want one")
			}

			if seen := placed(p, now.Add(most-time.Millisecond)); seen["a"] {
				t.Error("before the answer to the first call: got further calls, want none")
			}

			trial.RecordStatements(now.Add(time.Second), test.trial, false)

			if got, want := placed(p, now.Add(time.Second))["a"], test.calls > 0; got != want {
				t.Errorf("got further calls: %t, want %t", got, want)
			}
		})
	}
}

// TestRefusalWhilePaused guards against a retry time that is not that of the first server that is back, or that exceeds the time of the
// call.
func TestRefusalWhilePaused(t *testing.T) {
	p := dispatch.New()
	for _, id := range []apricotway.BackendServerID{"a", "b", "c"} {
		p.Update(backend(id), start)
	}

	answer(t, p, start, "a", pauseOf(9*time.Second), false)
	answer(t, p, start, "b", pauseOf(3*time.Second), false)

	if wait := p.PauseWait(start, service); wait != 0 {
		t.Errorf("with a free server: got %s, want 0", wait)
	}

	answer(t, p, start, "c", apricotway.AnswerMetadata{Leaving: true}, false)

	for remaining, most := range map[time.Duration]time.Duration{time.Minute: 3001 * time.Millisecond, time.Second: time.Second} {
		_, why, wait := p.Place(start, dispatch.Request{Service: service, Remaining: remaining})
		if why != dispatch.RefusedPaused || wait > most || wait < most/2 {
			t.Errorf("with %s left: got %s and %s, want a refusal with at most %s", remaining, why, wait, most)
		}
	}

	if got, want := p.ServiceStates(start)[service], (dispatch.ServiceState{Servers: 3, Leaving: 1, Paused: 2}); got != want {
		t.Errorf("got state %+v, want %+v", got, want)
	}
}
