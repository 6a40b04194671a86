package rollout_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/thejerf/suture/v4"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/coordination/rollout"
	"github.com/apricotway/apricotway/internal/bubble"
)

// board holds the broadcasts of all processes.
type board struct {
	mu      sync.Mutex
	entries []apricotway.BroadcastEntry
}

// host has the broadcasts of all processes, and refuses some first.
type host struct {
	*board

	self   apricotway.Member
	others []apricotway.Member
	refuse int
}

func (h *host) Self() apricotway.Member      { return h.self }
func (h *host) Members() []apricotway.Member { return slices.Clone(h.others) }

func (h *host) Publish(entry apricotway.BroadcastEntry) error {
	if h.refuse > 0 {
		h.refuse--
		return apricotway.ErrBroadcastRefused
	}

	h.mu.Lock()
	defer h.mu.Unlock()

	h.entries = append(h.entries, entry)

	return nil
}

func (h *host) Subscribe(apricotway.Topic, func(key string, version uint64, payload []byte)) {}

func (h *host) Latest(apricotway.Topic) []apricotway.BroadcastEntry {
	h.mu.Lock()
	defer h.mu.Unlock()

	return slices.Clone(h.entries)
}

// TestMembers guards against a process of a build that tells none, or an odd one, being shown with another one's, and against a process whose
// announcement was refused once never telling its build.
func TestMembers(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		broadcasts := &board{entries: []apricotway.BroadcastEntry{
			{Topic: apricotway.TopicBuild, Key: "odd", Payload: []byte(`{"build":7}`)},
			{Topic: apricotway.TopicBuild, Key: "gone", Payload: []byte(`{"build":"first"}`)},
		}}
		member := func(node apricotway.NodeID, state apricotway.MemberState) apricotway.Member {
			return apricotway.Member{Node: node, State: state}
		}
		supervisor := suture.NewSimple("processes")
		hosts := map[string]*rollout.Rollout{}

		for _, name := range []string{"first", "second"} {
			h := &host{board: broadcasts, self: member(apricotway.NodeID(name), apricotway.MemberAlive), refuse: 1}
			for _, other := range []apricotway.NodeID{"first", "second", "odd", "older"} {
				if other != h.self.Node {
					h.others = append(h.others, member(other, apricotway.MemberSuspect))
				}
			}

			h.others = append(h.others, member("gone", apricotway.MemberDead))
			hosts[name] = rollout.New(supervisor, h, h, "build of "+name)
		}

		ctx, cancel := context.WithCancel(t.Context())
		done := supervisor.ServeBackground(ctx)

		<-time.After(3 * time.Second)

		for name, r := range hosts {
			got := map[apricotway.NodeID]string{}
			for _, m := range r.Members() {
				got[m.Node] = m.Build
			}

			want := map[apricotway.NodeID]string{"first": "build of first", "second": "build of second", "odd": "untold", "older": "untold"}
			if fmt.Sprint(got) != fmt.Sprint(want) {
				t.Errorf("%s: got %v, want %v", name, got, want)
			}
		}

		cancel()

		if err := <-done; !errors.Is(err, context.Canceled) {
			t.Errorf("got %v, want %v", err, context.Canceled)
		}
	})
}
