package rollup_test

import (
	"context"
	"testing"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/internal/bubble"
)

const (
	limited = apricotway.Workspace("w")
	// perSecond is the rate and the burst of the limit; each process has an equal share of it.
	perSecond = 4000
	share     = perSecond / processes
)

// limitedSystem returns a system of processes that know a limit.
func limitedSystem(t *testing.T) *system {
	t.Helper()

	return newSystem(t, func(n *node) {
		n.limiter.SetLimits(time.Now(), 1, map[apricotway.Workspace]*apricotway.WorkspaceRule{
			limited: {Name: limited, Limit: apricotway.TokenLimit{Rate: perSecond, Burst: perSecond, InTokens: true}},
		})
	})
}

// spend makes new calls of a process until one is refused.
func spend(t *testing.T, n *node) {
	t.Helper()

	for range 2 * perSecond / 100 {
		if _, ok := n.rollup.Take(t.Context(), limited, 100); !ok {
			return
		}
	}

	t.Fatal("got twice the burst")
}

// TestStreamWaitsForUnits guards against the refusal of a call that takes up a stream, while the units will be there in time: without a holder,
// at the holder, and at another process.
func TestStreamWaitsForUnits(t *testing.T) {
	for name, choose := range map[string]func(s *system) *node{
		"no holder": func(s *system) *node { return s.nodes[0] },
		"holder": func(s *system) *node {
			s.run(20 * time.Second)
			return s.holder()
		},
		"other process": func(s *system) *node {
			s.run(20 * time.Second)

			for _, n := range s.nodes {
				if n != s.holder() {
					return n
				}
			}

			return nil
		},
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				n := choose(limitedSystem(t))
				spend(t, n)

				began := time.Now()
				if _, ok := n.rollup.TakeResumed(t.Context(), limited, share/2, 20*time.Second); !ok {
					t.Error("got a refusal, want units after a time")
				}

				if got, want := time.Since(began), time.Second; got > want {
					t.Errorf("got units after %s, want at most %s", got, want)
				}

				spend(t, n)

				wait, ok := n.rollup.TakeResumed(t.Context(), limited, share, 100*time.Millisecond)
				if ok || wait <= 0 {
					t.Errorf("got %t and a wait of %s for a caller without time, want a refusal and a time", ok, wait)
				}
			})
		})
	}
}

// TestCallerLeavesWhileWaiting guards against calls that wait behind one whose caller has left.
func TestCallerLeavesWhileWaiting(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		n := limitedSystem(t).nodes[0]
		spend(t, n)

		began := time.Now()
		ctx, cancel := context.WithCancel(t.Context())
		left, served := make(chan bool), make(chan time.Duration)

		go func() {
			_, ok := n.rollup.TakeResumed(ctx, limited, share, 20*time.Second)
			left <- ok
		}()

		go func() {
			<-time.After(10 * time.Millisecond)

			_, _ = n.rollup.TakeResumed(t.Context(), limited, share/10, 20*time.Second)
			served <- time.Since(began)
		}()

		<-time.After(300 * time.Millisecond)
		cancel()

		if <-left {
			t.Error("got units for a caller that has left")
		}

		if got, want := <-served, 400*time.Millisecond; got > want {
			t.Errorf("got units after %s, want at most %s", got, want)
		}
	})
}

// TestStreamBesideNewCalls guards against a holder that isn't told that a call takes up a stream, and doesn't reserve units for it while new calls
// at other processes ask for more than the limit.
func TestStreamBesideNewCalls(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := limitedSystem(t)
		s.run(20 * time.Second)

		holder, ended := s.holder(), make(chan bool)

		var n *node

		for _, other := range s.nodes {
			if other != holder {
				n = other
			}
		}

		ctx, cancel := context.WithCancel(t.Context())

		go func() {
			defer close(ended)

			for ctx.Err() == nil {
				for _, other := range s.nodes {
					if other != n {
						_, _ = other.rollup.Take(ctx, limited, 100)
					}
				}

				<-time.After(5 * time.Millisecond)
			}
		}()

		<-time.After(2 * time.Second)

		if _, ok := n.rollup.TakeResumed(t.Context(), limited, perSecond/2, 20*time.Second); !ok {
			t.Error("got a refusal, want units beside new calls")
		}

		cancel()
		<-ended
	})
}
