package admission

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/apricotway/apricotway"
	_ "github.com/apricotway/apricotway/internal/fixedseed"
)

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func request(id, workspace string, tokens float64) Request {
	return Request{
		ID: apricotway.RequestID(id), Workspace: apricotway.Workspace(workspace), Priority: apricotway.PriorityNormal,
		Tokens: tokens, Deadline: epoch.Add(time.Hour),
	}
}

func verdicts(decisions []Decision) string {
	text := ""
	for _, d := range decisions {
		text += fmt.Sprintf("%s %s;", d.ID, d.Verdict)
	}

	return text
}

// A workspace that floods the queue must not get more than its weighted share of tokens.
func TestQueueFairShares(t *testing.T) {
	q := NewQueue()
	q.SetLimits(epoch, Limits{Slots: 4, Weights: map[apricotway.Workspace]float64{"a": 1, "b": 2, "c": 1}})

	owner := map[apricotway.RequestID]apricotway.Workspace{}
	got := map[apricotway.Workspace]float64{}

	var running []apricotway.RequestID

	admit := func(decisions []Decision) {
		for _, d := range decisions {
			if d.Verdict == Admitted {
				running = append(running, d.ID)
			}
		}
	}

	for i := range 1000 {
		// Workspace a sends many small requests, b and c few large ones.
		for _, r := range []Request{
			request(fmt.Sprintf("a%d", i), "a", 10), request(fmt.Sprintf("A%d", i), "a", 10),
			request(fmt.Sprintf("b%d", i), "b", 40), request(fmt.Sprintf("c%d", i), "c", 40),
		} {
			owner[r.ID] = r.Workspace
			admit(q.Offer(epoch, r))
		}

		for range 2 {
			id := running[0]
			running = running[1:]
			tokens := q.running[id].Tokens
			got[owner[id]] += tokens

			admit(q.Release(epoch, id, tokens))
		}
	}

	total := got["a"] + got["b"] + got["c"]
	for name, want := range map[apricotway.Workspace]float64{"a": 0.25, "b": 0.5, "c": 0.25} {
		if part := got[name] / total; math.Abs(part-want) > 0.01 {
			t.Errorf("workspace %s: got %.3f of the tokens, want %.2f", name, part, want)
		}
	}
}

// A request whose deadline cannot be met must be refused at once as not started, instead of after its deadline.
func TestQueueRefusals(t *testing.T) {
	q := NewQueue(WithMaxWait(10 * time.Second))
	q.SetLimits(epoch, Limits{Slots: 1})

	late := request("late", "a", 1)
	late.Deadline, late.Duration = epoch.Add(time.Second), 2*time.Second

	got := q.Offer(epoch, late)
	if len(got) != 1 || got[0].Verdict != Refused || got[0].Code != apricotway.CodeDeadlineUnmeetable {
		t.Fatalf("got %+v, want a refusal for the deadline", got)
	}

	if refusal := got[0].Refusal(); refusal.Execution != apricotway.ExecutionNotStarted {
		t.Errorf("got execution %s, want notStarted", refusal.Execution)
	}

	// Establish a rate of 100 tokens a second.
	now := epoch
	for i := range 10 {
		id := fmt.Sprint("r", i)
		q.Offer(now, request(id, "a", 100))
		now = now.Add(time.Second)
		q.Release(now, apricotway.RequestID(id), 100)
	}

	q.Offer(now, request("running", "a", 100))

	for i := range 5 {
		q.Offer(now, request(fmt.Sprint("waiting", i), "a", 200))
	}

	// 1,000 tokens are waiting, which takes 10 s. With the margin, a wait of 2.7 s fits before the deadline.
	tight := request("tight", "a", 100)
	tight.Deadline = now.Add(4 * time.Second)

	got = q.Offer(now, tight)
	if got[0].Verdict != Refused || got[0].Code != apricotway.CodeDeadlineUnmeetable || got[0].RetryAfter.Round(time.Second) != 7*time.Second {
		t.Errorf("got %+v, want a refusal with a Retry-After of 7 s", got[0])
	}

	q.Offer(now, request("last", "a", 300))

	got = q.Offer(now, request("full", "a", 100))
	if got[0].Verdict != Refused || got[0].Code != apricotway.CodeOverloaded || got[0].RetryAfter.Round(time.Second) != 3*time.Second {
		t.Errorf("got %+v, want a refusal of an overloaded queue with a Retry-After of 3 s", got[0])
	}

	if got = q.Offer(now, request("other", "b", 100)); got[0].Verdict != Queued {
		t.Errorf("got %+v, want the other workspace to wait behind its own requests only", got[0])
	}
}

// High priority must come first within a workspace, equal priorities in order, and a cancelled request must not be admitted.
func TestQueueOrder(t *testing.T) {
	q := NewQueue()
	q.SetLimits(epoch, Limits{Slots: 1})
	q.Offer(epoch, request("running", "a", 1))

	for _, r := range []struct {
		id       string
		priority apricotway.Priority
	}{{"low", "low"}, {"n1", "normal"}, {"gone", "normal"}, {"n2", "normal"}, {"high", "high"}} {
		offered := request(r.id, "a", 1)
		offered.Priority = r.priority
		q.Offer(epoch, offered)
	}

	q.Release(epoch, "gone", 0)

	got, id := "", apricotway.RequestID("running")
	for range 5 {
		for _, d := range q.Release(epoch, id, 1) {
			got += string(d.ID) + " "
			id = d.ID
		}
	}

	if want := "high n1 n2 low "; got != want {
		t.Errorf("got order %q, want %q", got, want)
	}
}

// Long requests must leave slots for short ones and must not block the short ones behind them.
func TestQueueLongSlots(t *testing.T) {
	q := NewQueue()
	q.SetLimits(epoch, Limits{Slots: 3, LongSlots: 2})

	got := ""

	for _, id := range []string{"long1", "long2", "long3", "short"} {
		r := request(id, "a", 10)
		r.Long = id != "short"
		got += verdicts(q.Offer(epoch, r))
	}

	if want := "long1 admitted;long2 admitted;long3 queued;short admitted;"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}

	if got, want := verdicts(q.Release(epoch, "short", 10)), ""; got != want {
		t.Errorf("got %q, want no long request in the slot of a short one", got)
	}

	if got, want := verdicts(q.Release(epoch, "long1", 10)), "long3 admitted;"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

// Every request must receive exactly one final decision, and the limit must hold, in any order of events.
func TestQueueDecidesOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, now, next := NewQueue(), epoch, 0
		limit := rapid.IntRange(1, 5).Draw(t, "limit")
		q.SetLimits(now, Limits{Slots: float64(limit), LongSlots: 1})

		open, running := map[apricotway.RequestID]bool{}, map[apricotway.RequestID]bool{}
		apply := func(decisions []Decision) {
			for _, d := range decisions {
				if d.Verdict == Queued {
					continue
				}

				if !open[d.ID] {
					t.Fatalf("second decision %+v", d)
				}

				delete(open, d.ID)

				if d.Verdict == Admitted {
					running[d.ID] = true
				}
			}

			if len(running) > limit {
				t.Fatalf("got %d running, want at most %d", len(running), limit)
			}
		}

		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				r := request(fmt.Sprint(next), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "workspace"), 10)
				r.Long = rapid.Bool().Draw(t, "long")
				r.Deadline = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "seconds")) * time.Second)
				next++
				open[r.ID] = true
				apply(q.Offer(now, r))
			},
			"release": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
				if len(running) > 0 {
					id := rapid.SampledFrom(slices.Sorted(maps.Keys(running))).Draw(t, "id")
					delete(running, id)
					apply(q.Release(now, id, 10))
				}
			},
		})

		// After all deadlines no request may be left undecided.
		now = now.Add(time.Hour)
		apply(q.SetLimits(now, Limits{}))

		if len(open) > 0 {
			t.Fatalf("got %d requests without a decision, want none", len(open))
		}
	})
}

// The division must distribute the total, give no workspace with demand less than its fair share, and follow the demand of the
// processes.
func TestDivide(t *testing.T) {
	shares := Divide(100, map[apricotway.Workspace]float64{"a": 1, "b": 1, "c": 2}, map[apricotway.NodeID]Demand{
		"n1": {"a": 10, "b": 90}, "n2": {"b": 30, "c": 200}, "n3": {},
	})

	for _, c := range []struct {
		node      apricotway.NodeID
		workspace apricotway.Workspace
		want      float64
	}{{"n1", "a", 10}, {"n1", "b", 22.5}, {"n2", "b", 7.5}, {"n2", "c", 60}, {"n3", "b", 0}} {
		if got := shares[c.node][c.workspace]; math.Abs(got-c.want) > 1e-9 {
			t.Errorf("%s, %s: got %v slots, want %v", c.node, c.workspace, got, c.want)
		}
	}
}

// A workspace that was idle at the division must not be starved until the next division.
func TestLocalLimits(t *testing.T) {
	limits := LocalLimits(map[apricotway.Workspace]float64{"busy": 8, "idle": 0}, Demand{"busy": 9}, nil, 0.5)

	if limits.Slots != 8 || limits.LongSlots != 4 {
		t.Errorf("got %v slots and %v for long requests, want 8 and 4", limits.Slots, limits.LongSlots)
	}

	if got, want := limits.Weights["idle"], 4.0; got != want {
		t.Errorf("got weight %v for the idle workspace, want its fair share %v", got, want)
	}
}

// The division must neither lose nor add slots, whatever the demand is.
func TestDivideConserves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := map[apricotway.NodeID]Demand{}
		for node := range rapid.IntRange(1, 4).Draw(t, "nodes") {
			demand := Demand{"a": 0}
			for _, name := range []apricotway.Workspace{"a", "b", "c"} {
				demand[name] = rapid.Float64Range(0, 50).Draw(t, "demand")
			}

			members[apricotway.NodeID(fmt.Sprint(node))] = demand
		}

		total, got := rapid.Float64Range(1, 100).Draw(t, "total"), 0.0
		for _, share := range Divide(total, map[apricotway.Workspace]float64{"a": 3}, members) {
			for _, slots := range share {
				got += slots
			}
		}

		if math.Abs(got-total) > 1e-6 {
			t.Fatalf("got %v slots in all shares, want %v", got, total)
		}
	})
}
