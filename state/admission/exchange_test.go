package admission

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/apricotway/apricotway"
)

const (
	engineSlots = 40
	// tokenRate is the number of tokens per second of one slot.
	tokenRate = 100
	// transitSeconds is the number of seconds that an entry needs to arrive.
	transitSeconds = 2
)

// process is one of several processes that share a group of engines.
type process struct {
	node     apricotway.NodeID
	queue    *Queue
	exchange *Exchange
	// entries holds the demand entry of each second, and offered the tokens per second that callers send.
	entries [][]byte
	offered map[apricotway.Workspace]float64
}

type admittedRequest struct {
	process  *process
	request  Request
	finished time.Time
}

// simulation simulates processes and engines. The engines run admitted requests in the order of their admission.
type simulation struct {
	now              time.Time
	processes        []*process
	waiting, running []admittedRequest
	offered          map[apricotway.RequestID]Request
	finishedTokens   map[apricotway.Workspace]float64
}

func (c *simulation) admit(p *process, decisions []Decision) {
	for _, d := range decisions {
		if d.Verdict == Admitted {
			c.waiting = append(c.waiting, admittedRequest{process: p, request: c.offered[d.ID]})
		}
	}
}

// divide performs the exchange and division that a process performs every second.
func (c *simulation) divide(p *process, weights map[apricotway.Workspace]float64) []Decision {
	own := p.queue.Demand()
	p.entries = append(p.entries, EncodeDemand(map[apricotway.Service]Demand{"m": own}, 100))

	var alive []apricotway.NodeID

	for _, other := range c.processes {
		if version := len(other.entries) - transitSeconds; other != p && version > 0 {
			p.exchange.Receive(c.now, other.node, uint64(version), other.entries[version-1], DemandLifetime(4))
		}

		if other != p {
			alive = append(alive, other.node)
		}
	}

	return p.queue.SetLimits(c.now, p.exchange.Limits(c.now, "m", 2*engineSlots, 0.5, weights, own, alive))
}

func (c *simulation) run(random *rand.Rand, duration time.Duration, weights map[apricotway.Workspace]float64) {
	const step = 10 * time.Millisecond

	for tick := range int(duration / step) {
		c.now = c.now.Add(step)

		for i, p := range c.processes {
			if (tick+13*i)%100 == 0 {
				c.admit(p, c.divide(p, weights))
			}

			for _, name := range slices.Sorted(maps.Keys(p.offered)) {
				// Requests have 10 to 30 tokens.
				for chance := p.offered[name] * step.Seconds() / 20; random.Float64() < chance; chance-- {
					r := request(fmt.Sprint(len(c.offered)), string(name), float64(10+random.IntN(21)))
					r.Deadline = c.now.Add(time.Minute)
					c.offered[r.ID] = r
					c.admit(p, p.queue.Offer(c.now, r))
				}
			}
		}

		c.running = slices.DeleteFunc(c.running, func(w admittedRequest) bool {
			if w.finished.After(c.now) {
				return false
			}

			c.finishedTokens[w.request.Workspace] += w.request.Tokens
			c.admit(w.process, w.process.queue.Release(c.now, w.request.ID, w.request.Tokens))

			return true
		})

		for len(c.running) < engineSlots && len(c.waiting) > 0 {
			c.waiting[0].finished = c.now.Add(time.Duration(c.waiting[0].request.Tokens / tokenRate * float64(time.Second)))
			c.running, c.waiting = append(c.running, c.waiting[0]), c.waiting[1:]
		}
	}
}

// TestSharesOverProcesses guards the shares of workspaces against callers that use more processes than others. Without an
// exchange of the demand, a workspace got up to 0.70 of the tokens instead of 0.25. The load is twice the capacity.
func TestSharesOverProcesses(t *testing.T) {
	weights := map[apricotway.Workspace]float64{"a": 1, "b": 2, "c": 1}

	for name, offered := range map[string][]map[apricotway.Workspace]float64{
		"each has a process of its own": {{"a": 3000}, {"b": 3000}, {"c": 2000}},
		"one uses all processes":        {{"a": 500, "b": 3000}, {"a": 500, "c": 2000}, {"a": 1000}, {"a": 1000}},
		"uneven parts":                  {{"a": 1800, "b": 300, "c": 200}, {"a": 100, "b": 2400, "c": 200}, {"a": 100, "b": 300, "c": 2600}},
	} {
		t.Run(name, func(t *testing.T) {
			random, done := rand.New(rand.NewPCG(1, 2)), map[apricotway.Workspace]float64{}
			c := &simulation{now: epoch, offered: map[apricotway.RequestID]Request{}, finishedTokens: done}

			for i, tokens := range offered {
				node := apricotway.NodeID(fmt.Sprint(i))
				c.processes = append(c.processes, &process{node: node, queue: NewQueue(), exchange: NewExchange(node), offered: tokens})
			}

			c.run(random, 20*time.Second, weights)
			clear(done)
			c.run(random, 60*time.Second, weights)

			total := done["a"] + done["b"] + done["c"]
			for workspace, weight := range weights {
				if got, want := done[workspace]/total, weight/4; math.Abs(got-want) > 0.05*want {
					t.Errorf("workspace %s: got %.3f of the tokens, want %.3f", workspace, got, want)
				}
			}

			if got, want := total, 0.95*60*engineSlots*tokenRate; got < want {
				t.Errorf("got %.0f tokens of work, want at least %.0f", got, want)
			}
		})
	}
}

// A malformed entry must not crash a process or replace a valid one, and the largest demand must be sent first.
func TestDemandEntries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demand := Demand{}
		for i, slots := range rapid.SliceOfN(rapid.IntRange(0, 1<<20), 0, 40).Draw(t, "demand") {
			demand[apricotway.Workspace(fmt.Sprint(i))] = float64(slots)
		}

		size := rapid.IntRange(0, 200).Draw(t, "size")
		encoded := EncodeDemand(map[apricotway.Service]Demand{"m": demand}, size)
		decoded, ok := decodeDemand(encoded)
		sent, left := math.Inf(1), 0.0

		for name, want := range demand {
			if got, known := decoded[demandHash("m", name)]; !known {
				left = max(left, want)
			} else if sent = min(sent, want); got != want {
				t.Fatalf("got a demand of %v, want %v", got, want)
			}
		}

		if !ok || len(encoded) > size || left > sent || len(decoded) == 0 && left > 0 && size >= 7 {
			t.Fatalf("got %d of %d bytes, with a demand of %v left out and %v sent", len(encoded), size, left, sent)
		}

		decodeDemand(rapid.SliceOf(rapid.Byte()).Draw(t, "damaged"))
	})
}
