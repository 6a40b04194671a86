package inventory_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/thejerf/suture/v4"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/coordination/inventory"
	"github.com/apricotway/apricotway/state/routing"
)

// TestTokenExchange guards against counts that remain after the work or the process that they belong to has ended, and against
// more than one entry per second or repeated equal entries.
func TestTokenExchange(t *testing.T) {
	simulate(t, servers("a", "b"), func(w *cluster, supervisor *suture.Supervisor, _ *list, known [2]*inventory.Inventory) {
		w.receivers = nil

		many := []routing.Share{{Server: "a", Decode: 3200}}
		for i := range 200 {
			many = append(many, routing.Share{Server: apricotway.BackendServerID(fmt.Sprint(i)), Attempts: 10, Decode: 1600})
		}

		var shares atomic.Pointer[[]routing.Share]

		sending := suture.NewSimple("sending")

		inventory.NewTokenExchange(supervisor, known[1], w, "idle", recordingPolicy{w, func() []routing.Share { return nil }})
		inventory.NewTokenExchange(sending, known[0], w, "busy", recordingPolicy{w, func() []routing.Share { return *shares.Load() }})

		ctx, stop := context.WithCancel(context.Background())
		defer stop()

		for _, step := range []struct {
			shares       []routing.Share
			wait         time.Duration
			a, b, atMost int
		}{
			{[]routing.Share{{Server: "a", Decode: 1600}, {Server: "b", Decode: 160}}, 10 * time.Second, 1600, 160, 4},
			{many, 1100 * time.Millisecond, 3200, 0, 6},
			{nil, 7 * time.Second, 0, 0, 6},
		} {
			if shares.Store(&step.shares); step.shares == nil {
				stop()
			} else if step.atMost == 4 {
				sending.ServeBackground(ctx)
			}

			advance(step.wait)
			w.mu.Lock()

			if got, want := [2]int{w.tokens["a"], w.tokens["b"]}, [2]int{step.a, step.b}; got != want || w.published > step.atMost {
				t.Errorf("got %v tokens after %d entries, want %v after at most %d", got, w.published, want, step.atMost)
			}

			w.mu.Unlock()
		}

		// The membership never sends tokens that take more than 400 bytes with 40 bytes of envelope.
		w.mu.Lock()
		defer w.mu.Unlock()

		if got, want := w.largest, 360; got > want || got < want-16 {
			t.Errorf("got an entry of %d bytes for more engines than fit, want up to %d", got, want)
		}
	})
}

// recordingPolicy returns the shares of a function and records those of the other processes in the cluster.
type recordingPolicy struct {
	*cluster

	shares func() []routing.Share
}

func (p recordingPolicy) Shares() []routing.Share { return p.shares() }

func (p recordingPolicy) PeerShares(_ time.Time, _ apricotway.NodeID, shares []routing.Share) {
	p.mu.Lock()
	defer p.mu.Unlock()

	clear(p.tokens)

	for _, share := range shares {
		p.tokens[share.Server] = int(share.Decode)
	}
}

func (p recordingPolicy) ForgetPeer(peer apricotway.NodeID) { p.PeerShares(time.Time{}, peer, nil) }

// TestBurstsOfTwoProcesses guards against two processes that both send a burst to the engine that an outdated report shows as
// idle.
func TestBurstsOfTwoProcesses(t *testing.T) {
	simulate(t, servers("a", "b"), func(w *cluster, supervisor *suture.Supervisor, _ *list, known [2]*inventory.Inventory) {
		w.receivers = nil
		counts := map[apricotway.BackendServerID]int{}

		var policies [2]*routing.Scored

		for process, node := range []apricotway.NodeID{"n0", "n1"} {
			policy := routing.NewScored()
			policies[process] = policy
			inventory.NewTokenExchange(supervisor, known[process], w, node, policy)
		}

		for process, policy := range policies {
			engines := known[process].Usable("")
			policy.Choose(time.Now(), routing.Work{PromptTokens: 10, MaxTokens: 100}, engines)
			policy.Reported(time.Now(), "a", apricotway.LoadReport{Time: time.Now()})
			policy.Reported(time.Now(), "b", apricotway.LoadReport{Time: time.Now(), Running: 6, TokensInFlight: 600})
		}

		for process, policy := range policies {
			engines := known[process].Usable("")
			for i := range 6 {
				work := routing.Work{PromptTokens: 10, MaxTokens: 100}
				server := engines[policy.Choose(time.Now(), work, engines)].ID
				policy.Started(time.Now(), server, apricotway.AttemptID(fmt.Sprint(process, i)), work)
				counts[server]++
			}

			advance(2 * time.Second)
		}

		// The second process expects the first one to continue as before, so it may send a request or two to the same engine.
		if got, want := counts["a"], 8; got > want {
			t.Errorf("got %d of 12 requests on the engine that the stale report shows as idle, want at most %d", got, want)
		}
	})
}
