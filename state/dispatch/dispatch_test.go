package dispatch_test

import (
	"testing"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/dispatch"
)

var start = time.Unix(1000, 0)

func backend(id apricotway.BackendServerID) apricotway.Backend {
	return apricotway.Backend{ID: id, Service: service, Slots: 4}
}

// TestLeavingServers guards against calls to servers that are leaving, were removed, or already had the call.
func TestLeavingServers(t *testing.T) {
	p := dispatch.New()

	for _, id := range []apricotway.BackendServerID{"leaves", "gone", "had", "good"} {
		p.Update(backend(id), start)
	}

	leaving := backend("leaves")
	leaving.Leaving = true
	p.Update(leaving, start)
	p.Remove("gone", time.Now())

	for range 50 {
		send, _, _ := p.Place(start, dispatch.Request{
			Service: service, Remaining: time.Second, Avoid: []apricotway.BackendServerID{"had"},
		})
		if send == nil || send.Backend.ID != "good" {
			t.Fatalf("got %+v, want server good", send)
		}

		send.End(start, dispatch.OutcomeDone)
	}

	p.Remove("good", time.Now())

	if send, why, wait := p.Place(start, dispatch.Request{
		Service: service, Avoid: []apricotway.BackendServerID{"had"},
	}); send != nil || why != dispatch.RefusedNoServer || wait <= 0 {
		t.Errorf("got %+v, %s and %s, want a refusal with a retry time", send, why, wait)
	}
}

// TestMisdirected guards against further calls to a server whose address now belongs to another server.
func TestMisdirected(t *testing.T) {
	p := dispatch.New()
	p.Update(backend("moved"), start)
	p.Update(backend("good"), start)

	for range 100 {
		send, _, _ := p.Place(start, dispatch.Request{Service: service, Remaining: time.Second})
		if send.Backend.ID == "moved" {
			send.End(start, dispatch.OutcomeMisdirected)
			break
		}

		defer send.End(start, dispatch.OutcomeDone)
	}

	for range 20 {
		send, _, _ := p.Place(start.Add(time.Second), dispatch.Request{Service: service, Remaining: time.Second})
		if got, want := send.Backend.ID, apricotway.BackendServerID("good"); got != want {
			t.Fatalf("got server %s, want %s", got, want)
		}

		send.End(start, dispatch.OutcomeDone)
	}
}

// TestNewStart guards against keeping the failures of a server after it restarts under the same ID.
func TestNewStart(t *testing.T) {
	p := dispatch.New()
	p.Update(backend("a"), start)

	for range 3 {
		send, _, _ := p.Place(start, dispatch.Request{Service: service, Remaining: time.Second})
		send.End(start, dispatch.OutcomeUnreachable)
	}

	p.Update(backend("b"), start)

	again := backend("a")
	again.Born = start.Add(time.Second)
	p.Update(again, start)

	seen := map[apricotway.BackendServerID]bool{}

	for range 50 {
		send, _, _ := p.Place(start, dispatch.Request{Service: service, Remaining: time.Second})
		seen[send.Backend.ID] = true
	}

	if !seen["a"] || !seen["b"] {
		t.Errorf("got calls at %v, want both servers", seen)
	}
}

// TestSharedPrompt guards the reuse of cached prompts: calls with the same leading parts go to the same engine while it is not
// loaded.
func TestSharedPrompt(t *testing.T) {
	p := dispatch.New()

	for _, id := range []apricotway.BackendServerID{"a", "b", "c", "d", "e", "f"} {
		p.Update(backend(id), start)
	}

	seen := map[apricotway.BackendServerID]int{}

	for i := range 40 {
		send, _, _ := p.Place(start, dispatch.Request{
			Service: service, PromptTokens: 7000, Remaining: time.Minute,
			Parts: []apricotway.PromptPart{{ID: 1, Tokens: 500}, {ID: 2, Tokens: 5000}, {ID: uint64(100 + i), Tokens: 1500}},
		})
		seen[send.Backend.ID]++
		send.RecordFirstEvent(start, nil)
		send.End(start, dispatch.OutcomeDone)
	}

	if got, want := len(seen), 1; got != want {
		t.Errorf("got calls at %d engines (%v), want %d", got, seen, want)
	}
}

// TestFull guards the immediate refusal of a call that gets no slot before its deadline.
func TestFull(t *testing.T) {
	p := dispatch.New()
	p.Update(backend("a"), start)

	for range 40 {
		p.Place(start, dispatch.Request{Service: service, PromptTokens: 1000, Remaining: time.Hour})
	}

	send, why, wait := p.Place(start, dispatch.Request{Service: service, PromptTokens: 1000, Remaining: time.Second})
	if send != nil || why != dispatch.RefusedFull || wait <= 0 {
		t.Errorf("got %+v, %s and %s, want a refusal with a retry time", send, why, wait)
	}
}
