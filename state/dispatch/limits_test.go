package dispatch_test

import (
	"testing"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/dispatch"
	"github.com/apricotway/apricotway/state/intake"
)

// limitedPool returns a pool with the given servers, of which the first states a limit.
func limitedPool(t *testing.T, perSecond float64, ids ...apricotway.BackendServerID) *dispatch.Pool {
	t.Helper()

	p := dispatch.New()
	for _, at := range []time.Time{start.Add(-time.Minute), start} {
		p.SetSharing(at, intake.Members{Self: "a", Nodes: []apricotway.NodeID{"a"}})
	}

	p.Update(backend(ids[0]), start)
	observe(t, p, start, apricotway.RequestLimit{Statement: apricotway.LimitStated, PerSecond: perSecond})

	for _, id := range ids[1:] {
		p.Update(backend(id), start)
	}

	return p
}

// observe sends a call to the only server of the pool, whose answer states a limit.
func observe(t *testing.T, p *dispatch.Pool, now time.Time, limit apricotway.RequestLimit) {
	t.Helper()

	send, _, _ := p.Place(now, dispatch.Request{Service: service, Remaining: time.Minute})
	if send == nil {
		t.Fatal("got no server, want the only one")
	}

	send.RecordLimit(now, limit)
	send.End(now, dispatch.OutcomeDone)
}

// TestLimitCountsEverySend guards against calls that are placed without the limit of their server: new, retried and moved ones.
func TestLimitCountsEverySend(t *testing.T) {
	const perSecond = 5

	p := limitedPool(t, perSecond, "limited", "other")
	counts := map[apricotway.BackendServerID]int{}

	for i := range 4000 {
		now := start.Add(time.Duration(i) * 5 * time.Millisecond)
		request := dispatch.Request{Service: service, PromptTokens: 100, Remaining: time.Minute}

		if i%2 == 0 {
			request.Avoid = []apricotway.BackendServerID{"other"}
		}

		var (
			send *dispatch.Send
			why  dispatch.RefusalReason
			wait time.Duration
		)

		if i%3 == 0 {
			send, why, wait = p.PlaceAt(now, "limited", request), dispatch.RefusedLimited, time.Second
		} else {
			send, why, wait = p.Place(now, request)
		}

		if send == nil {
			if why != dispatch.RefusedLimited || wait <= 0 {
				t.Fatalf("got %s and %s, want a refusal because of the limit with a retry time", why, wait)
			}

			continue
		}

		counts[send.Backend.ID]++
		send.End(now, dispatch.OutcomeDone)
	}

	if got, most := counts["limited"], perSecond*20+1; got < most/2 || got > most {
		t.Errorf("got %d calls at the limited server in 20 s, want %d to %d", got, most/2, most)
	}
}

// TestLimitOutlastsRemoval guards against a limit that is forgotten while the server is missing from the list.
func TestLimitOutlastsRemoval(t *testing.T) {
	p := limitedPool(t, 0, "limited")
	p.Remove("limited", time.Now())
	p.Update(backend("limited"), start)

	again := backend("limited")
	again.Born = start.Add(time.Second)
	p.Update(again, start)

	if send, why, _ := p.Place(start, dispatch.Request{Service: service, Remaining: time.Second}); why != dispatch.RefusedLimited {
		t.Errorf("got %+v and %q, want a refusal because of the limit", send, why)
	}
}

// TestEndOfLimitIsSeen guards against a limit that stays in force because the other servers are faster and get all calls.
func TestEndOfLimitIsSeen(t *testing.T) {
	p := limitedPool(t, 1, "limited", "fast")
	seen := false

	for i := range 1000 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)

		send, _, _ := p.Place(now, dispatch.Request{Service: service, PromptTokens: 5000, Remaining: time.Minute})
		if send.Backend.ID == "limited" {
			seen = true
			send.RecordLimit(now, apricotway.RequestLimit{})
		}

		send.RecordFirstEvent(now.Add(map[bool]time.Duration{true: time.Millisecond, false: time.Second}[send.Backend.ID == "fast"]), nil)
		send.End(now, dispatch.OutcomeDone)
	}

	if known := p.KnownLimits(start.Add(10 * time.Second)); !seen || len(known) > 0 && known[0].Limit.Statement != apricotway.LimitAbsent {
		t.Errorf("got %+v after 10 s and a call at the server %t, want the end of the limit", known, seen)
	}
}
