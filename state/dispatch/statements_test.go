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
			p.EndLeaveStatement(start, registered("a", sequence), start.Add(writtenAfter))
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
			p.EndLeaveStatement(start, leaving, start.Add(time.Second))
			p.Update(registered("a", 3), start)
		}, false},
		"new start under the same ID": {func(p *dispatch.Pool) {
			again := registered("a", 1)
			again.Born = start.Add(time.Second)
			p.Update(again, start)
		}, true},
		"another server at the address": {func(p *dispatch.Pool) {
			p.Remove("a")
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
