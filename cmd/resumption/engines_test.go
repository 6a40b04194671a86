package resumption

import (
	"fmt"
	"testing"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/cmd/internal/standin"
)

// TestFaults guards against streams of faulty engines that reach a caller with gaps, repetitions, tokens of other attempts
// or broken characters, and against one fault that ends a request which another engine can finish.
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
			run(t, func(w *world) {
				w.engine("a", "a").SetFault(fault)
				w.engine("b", "b")
				w.start(w.node("x", "a"), 6, 40)()
			})
		})
	}
}

// TestReclaim guards against requests that a reclaim ends or changes, announced deaths that are taken for crashes, and
// requests that are computed again from their prompts although the notice leaves time to move them.
func TestReclaim(t *testing.T) {
	const count, tokens = 6, 1000

	for _, test := range []struct {
		name    string
		fault   standin.FaultKind
		reclaim func(*world)
		// most is the largest number of tokens that may be computed again; below 0 any number is allowed.
		most int
	}{
		{"five seconds of notice", "", func(w *world) { w.reclaim("a", 5*time.Second) }, count},
		{"import refused", standin.FaultRefuseImport, func(w *world) { w.reclaim("a", 5*time.Second) }, -1},
		{"imported cache lost", standin.FaultLoseImport, func(w *world) { w.reclaim("a", 5*time.Second) }, -1},
		{"export refused", standin.FaultRefuseExport, func(w *world) { w.reclaim("a", 5*time.Second) }, -1},
		{"reclaimed before the notice is read", "", func(w *world) { w.reclaim("a", 100*time.Millisecond) }, -1},
		{"two zones in turn", "", func(w *world) {
			w.reclaim("a", 5*time.Second)
			w.sleep(2 * time.Second)
			w.reclaim("b", 5*time.Second)
		}, 3 * count},
		{"notice without death", "", func(w *world) {
			w.hosts.ReclaimZone("a", time.Now().Add(5*time.Second))
			w.sleep(3 * time.Second)

			for id := range w.engines {
				server := w.server(id)
				server.State, server.Deadline = apricotway.HostLive, time.Time{}
				w.hosts.Add(server)
			}
		}, count},
	} {
		t.Run(test.name, func(t *testing.T) {
			run(t, func(w *world) {
				for _, id := range []string{"a1", "a2", "b1", "b2", "c1", "c2"} {
					w.engine(apricotway.BackendServerID(id), apricotway.Zone(id[:1])).SetFault(standin.Fault{Kind: test.fault})
				}

				n := w.node("x", "a")
				wait := w.start(n, count, tokens)

				w.sleep(2 * time.Second)
				test.reclaim(w)
				wait()

				if got := w.recomputed(); test.most >= 0 && got > test.most {
					w.t.Errorf("got %d tokens computed again, want at most %d", got, test.most)
				}

				if got := n.runner.Stats().Crashes; got != 0 {
					w.t.Errorf("got %d crashes, want none", got)
				}
			})
		})
	}
}

// TestFinishInPlace guards against moves of generations that end within the notice.
func TestFinishInPlace(t *testing.T) {
	run(t, func(w *world) {
		w.engine("a", "a")
		w.engine("b", "b")

		n := w.node("x", "a")
		wait := w.start(n, 4, 300)

		w.sleep(time.Second)
		w.reclaim("a", 5*time.Second)
		wait()

		if got := n.runner.Stats(); got.Moved != 0 || got.Recomputed != 0 {
			w.t.Errorf("got %+v, want no move", got)
		}
	})
}

// TestVersion guards against answers that begin with one model version and end with another: a request whose version has
// no engine left waits for one.
func TestVersion(t *testing.T) {
	run(t, func(w *world) {
		w.engine("a", "a")

		n := w.node("x", "a")
		wait := w.start(n, 1, 400)

		w.sleep(time.Second)

		other := w.engine("b", "b")
		changed := w.server("b")
		changed.Version = "2"
		w.hosts.Add(changed)
		w.killEngine("a")
		w.sleep(10 * time.Second)

		if got := other.Counters().Started; got != 0 {
			w.t.Errorf("got %d generations on another version, want none", got)
		}

		w.engine("c", "c")
		wait()
	})
}

// TestDeathWithoutNotice guards against innocent requests that stay suspect after the death of an engine, that wait for each
// other's ends while they are tried alone, or that are refused because the other engines are busy for long.
func TestDeathWithoutNotice(t *testing.T) {
	for _, test := range []struct {
		count, tokens int
		// most bounds the time to the last answer: the wait for an idle engine, the trials, and the rest of one answer.
		most time.Duration
	}{{24, 500, 9 * time.Second}, {8, 4500, 90 * time.Second}} {
		run(t, func(w *world) {
			for _, id := range []apricotway.BackendServerID{"a", "b", "c", "d"} {
				w.engine(id, "a")
			}

			n := w.node("x", "a")
			wait := w.start(n, test.count, test.tokens)

			w.sleep(2 * time.Second)
			w.killEngine("b")

			killed := time.Now()
			wait()

			if got := time.Since(killed); got > test.most {
				w.t.Errorf("the answers took %s after the death, want at most %s", got, test.most)
			}

			if got, want := n.runner.Stats().Crashes, int64(test.count/4); got != want {
				w.t.Errorf("got %d suspects, want the %d requests of the dead engine", got, want)
			}
		})
	}
}

// TestPoison guards against a request that crashes every engine: re-sent ten times at different addresses it may cost two
// engines, its refusal comes at once with the time of a useful retry, and its innocent neighbours finish. Both ways of
// spreading entries are tested alone.
func TestPoison(t *testing.T) {
	for _, broadcast := range []bool{false, true} {
		run(t, func(w *world) {
			w.broadcast = broadcast

			for i := range 8 {
				e := w.engine(apricotway.BackendServerID(fmt.Sprintf("e%d", i)), "a")
				e.SetFault(standin.Fault{Kind: standin.FaultCrash, Marker: "poison", After: 3})
			}

			nodes := []*node{w.node("x", "a"), w.node("y", "b"), w.node("z", "c")}

			for _, n := range nodes {
				defer w.start(n, 8, 500)()
			}

			w.sleep(time.Second)

			for try := range 10 {
				c := newCaller(fmt.Sprintf("poison-%d", try), "poison", 40)
				begun := time.Now()

				refusal := apricotway.AsRefusal(c.read(nodes[try%len(nodes)].requests.Start(c.request), 0))
				if refusal.Code != apricotway.CodeQuarantined || refusal.RetryAfter <= 0 {
					w.t.Errorf("try %d: got %+v, want a refusal as quarantined with RetryAfter", try, refusal)
				}

				if try > 0 && (refusal.Execution != apricotway.ExecutionNotStarted || time.Since(begun) > time.Second) {
					w.t.Errorf("try %d: got %s after %s, want notStarted at once", try, refusal.Execution, time.Since(begun))
				}
			}

			crashes := 0
			for _, e := range w.engines {
				crashes += e.Counters().Crashes
			}

			if crashes != 2 {
				w.t.Errorf("got %d crashed engines, want 2", crashes)
			}
		})
	}
}
