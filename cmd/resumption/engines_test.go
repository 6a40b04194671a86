package resumption

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/cmd/internal/standin"
)

// TestFaults guards against faulty engine streams that reach the caller with gaps, repetitions, tokens of other attempts
// or broken characters, and against requests that fail on one faulty engine although another could finish them.
func TestFaults(t *testing.T) {
	for _, fault := range []standin.Fault{
		{Kind: standin.FaultWrongID},
		{Kind: standin.FaultWrongID, After: 5},
		{Kind: standin.FaultLateTokens, After: 5},
		{Kind: standin.FaultRepeatTokens, After: 5},
		{Kind: standin.FaultSkipToken, After: 5},
		{Kind: standin.FaultCutCharacter, After: 5},
		{Kind: standin.FaultCutStream},
		{Kind: standin.FaultCutStream, After: 39},
		{Kind: standin.FaultFreeze},
		{Kind: standin.FaultFreeze, After: 5},
		{Kind: standin.FaultOutOfMemory},
		{Kind: standin.FaultCrash, After: 5},
	} {
		t.Run(fmt.Sprintf("%s after %d", fault.Kind, fault.After), func(t *testing.T) {
			run(t, func(h *harness) {
				h.startEngine("a", "a").SetFault(fault)
				h.startEngine("b", "b")
				h.startRequests(h.startNode("x", "a"), 6, 40)()
			})
		})
	}
}

// TestReclaim guards against reclaims that end a request or change its answer, against announced stops that count as
// crashes, and against recomputation from the prompt although the notice leaves time to move the KV cache.
func TestReclaim(t *testing.T) {
	const count, tokens = 6, 1000

	for _, test := range []struct {
		name    string
		fault   standin.FaultKind
		reclaim func(*harness)
		// maxRecomputed is the maximum number of tokens that may be computed again. If it is negative, any number is
		// allowed.
		maxRecomputed int
	}{
		{"five seconds of notice", "", func(h *harness) { h.reclaim("a", 5*time.Second) }, count},
		{"import refused", standin.FaultRefuseImport, func(h *harness) { h.reclaim("a", 5*time.Second) }, -1},
		{"imported cache lost", standin.FaultLoseImport, func(h *harness) { h.reclaim("a", 5*time.Second) }, -1},
		{"export refused", standin.FaultRefuseExport, func(h *harness) { h.reclaim("a", 5*time.Second) }, -1},
		{"reclaimed before the notice is read", "", func(h *harness) { h.reclaim("a", 100*time.Millisecond) }, -1},
		{"two zones in turn", "", func(h *harness) {
			h.reclaim("a", 5*time.Second)
			h.sleep(2 * time.Second)
			h.reclaim("b", 5*time.Second)
		}, 3 * count},
		{"notice without death", "", func(h *harness) {
			h.hosts.ReclaimZone("a", time.Now().Add(5*time.Second))
			h.sleep(3 * time.Second)

			for id := range h.engines {
				server := h.server(id)
				server.State, server.Deadline = apricotway.HostLive, time.Time{}
				h.hosts.Add(server)
			}
		}, count},
	} {
		t.Run(test.name, func(t *testing.T) {
			run(t, func(h *harness) {
				for _, id := range []string{"a1", "a2", "b1", "b2", "c1", "c2"} {
					h.startEngine(apricotway.BackendServerID(id), apricotway.Zone(id[:1])).SetFault(standin.Fault{Kind: test.fault})
				}

				n := h.startNode("x", "a")
				wait := h.startRequests(n, count, tokens)

				h.sleep(2 * time.Second)
				test.reclaim(h)
				wait()

				if got := h.recomputed(); test.maxRecomputed >= 0 && got > test.maxRecomputed {
					h.t.Errorf("got %d tokens computed again, want at most %d", got, test.maxRecomputed)
				}

				if got := n.runner.Stats().Crashes; got != 0 {
					h.t.Errorf("got %d crashes, want none", got)
				}
			})
		})
	}
}

// TestFinishInPlace guards against moving generations that would end before the notice runs out.
func TestFinishInPlace(t *testing.T) {
	run(t, func(h *harness) {
		h.startEngine("a", "a")
		h.startEngine("b", "b")

		n := h.startNode("x", "a")
		wait := h.startRequests(n, 4, 300)

		h.sleep(time.Second)
		h.reclaim("a", 5*time.Second)
		wait()

		if got := n.runner.Stats(); got.Moved != 0 || got.Recomputed != 0 {
			h.t.Errorf("got %+v, want no move", got)
		}
	})
}

// TestVersion guards against answers that mix tokens of two model versions. A request must wait if no engine with its
// version is left.
func TestVersion(t *testing.T) {
	run(t, func(h *harness) {
		h.startEngine("a", "a")

		n := h.startNode("x", "a")
		wait := h.startRequests(n, 1, 400)

		h.sleep(time.Second)

		other := h.startEngine("b", "b")
		changed := h.server("b")
		changed.Version = "2"
		h.hosts.Add(changed)
		h.killEngine("a")
		h.sleep(10 * time.Second)

		if got := other.Counters().Started; got != 0 {
			h.t.Errorf("got %d generations on an engine with another version, want none", got)
		}

		h.startEngine("c", "c")
		wait()
	})
}

// TestSoftwareVersion guards against answers that mix tokens of two software versions of an engine, also after their process was killed and
// another one has taken them over.
func TestSoftwareVersion(t *testing.T) {
	for _, killed := range []bool{false, true} {
		t.Run(fmt.Sprintf("process killed %t", killed), func(t *testing.T) {
			run(t, func(h *harness) {
				h.startEngine("a", "a")
				h.setSoftware("a", "v1")

				n, other := h.startNode("x", "a"), h.startNode("y", "b")
				c := newCaller("request", "prompt", 400)
				answer := n.requests.Start(c.request)

				_ = c.read(answer, 20) // Ends with the cancelled context.

				if killed {
					h.sleep(time.Second)
					n.kill()
					n.setState(apricotway.MemberDead)

					taken, err := other.requests.Resume(context.Background(), c.request.Workspace, c.request.ID)
					if err != nil {
						t.Fatal(err)
					}

					answer = taken
				}

				newer := h.startEngine("b", "b")
				h.setSoftware("b", "v2")
				h.killEngine("a")
				h.sleep(10 * time.Second)

				if got := newer.Counters().Started; got != 0 {
					t.Errorf("got %d generations on an engine of another software version, want none", got)
				}

				h.startEngine("c", "c")
				h.setSoftware("c", "v1")
				c.check(t, c.read(answer, 0))
			})
		})
	}
}

// TestDeathWithoutNotice guards against late or refused answers after the crash of an engine. Every request on it becomes
// a suspect and is tried alone on an engine. Harmless requests must not stay suspect, wait until each other's answers
// end, or be refused because the other engines are busy for long.
func TestDeathWithoutNotice(t *testing.T) {
	for _, test := range []struct {
		count, tokens int
		// maxTime bounds the time from the crash to the last answer: the wait for an idle engine, the trials, and the
		// rest of one answer.
		maxTime time.Duration
	}{{24, 500, 9 * time.Second}, {8, 4500, 90 * time.Second}} {
		run(t, func(h *harness) {
			for _, id := range []apricotway.BackendServerID{"a", "b", "c", "d"} {
				h.startEngine(id, "a")
			}

			n := h.startNode("x", "a")
			wait := h.startRequests(n, test.count, test.tokens)

			h.sleep(2 * time.Second)
			h.killEngine("b")

			killed := time.Now()
			wait()

			if got := time.Since(killed); got > test.maxTime {
				h.t.Errorf("the last answer ended %s after the crash, want at most %s", got, test.maxTime)
			}

			if got, want := n.runner.Stats().Crashes, int64(test.count/4); got != want {
				h.t.Errorf("got %d attempts ended by a crash, want the %d requests of the crashed engine", got, want)
			}
		})
	}
}

// TestPoison guards against a request that crashes every engine it runs on. Sent ten times to different processes, it may
// crash two engines in total; further attempts are refused at once, with the time after which a retry is useful, and all
// other requests finish. Quarantine entries spread by peer calls in one run and by broadcast in the other.
func TestPoison(t *testing.T) {
	for _, broadcast := range []bool{false, true} {
		run(t, func(h *harness) {
			h.broadcast = broadcast

			for i := range 8 {
				e := h.startEngine(apricotway.BackendServerID(fmt.Sprintf("e%d", i)), "a")
				e.SetFault(standin.Fault{Kind: standin.FaultCrash, Marker: "poison", After: 3})
			}

			nodes := []*node{h.startNode("x", "a"), h.startNode("y", "b"), h.startNode("z", "c")}

			for _, n := range nodes {
				defer h.startRequests(n, 8, 500)()
			}

			h.sleep(time.Second)

			for try := range 10 {
				c := newCaller(fmt.Sprintf("poison-%d", try), "poison", 40)
				started := time.Now()

				refusal := apricotway.AsRefusal(c.read(nodes[try%len(nodes)].requests.Start(c.request), 0))
				if refusal.Code != apricotway.CodeQuarantined || refusal.RetryAfter <= 0 {
					h.t.Errorf("try %d: got %+v, want the quarantined refusal with RetryAfter", try, refusal)
				}

				if try > 0 && (refusal.Execution != apricotway.ExecutionNotStarted || time.Since(started) > time.Second) {
					h.t.Errorf("try %d: got %s after %s, want notStarted at once", try, refusal.Execution, time.Since(started))
				}
			}

			crashes := 0
			for _, e := range h.engines {
				crashes += e.Counters().Crashes
			}

			if crashes != 2 {
				h.t.Errorf("got %d crashed engines, want 2", crashes)
			}
		})
	}
}
