package origins_test

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/coordination/origins"
	"github.com/apricotway/apricotway/internal/bubble"
)

// network connects the processes of a test.
type network struct {
	members  []apricotway.Member
	handlers map[handlerKey]apricotway.PeerHandler

	mu sync.Mutex
	// stopped holds the processes that don't answer, and sent counts the messages.
	stopped map[netip.AddrPort]bool
	sent    int
}

// stop makes the calls from and to a process hang.
func (n *network) stop(process int) {
	n.mu.Lock()
	defer n.mu.Unlock()

	n.stopped[n.members[process].Peers] = true
}

// handlerKey names the handler of a method at a process.
type handlerKey struct {
	process netip.AddrPort
	method  apricotway.Method
}

// host is the place of one process in the network.
type host struct {
	*network

	self apricotway.Member
}

// Self implements apricotway.Membership.
func (h *host) Self() apricotway.Member { return h.self }

// Members implements apricotway.Membership.
func (h *host) Members() []apricotway.Member {
	var others []apricotway.Member

	for _, m := range h.members {
		if m.Node != h.self.Node {
			others = append(others, m)
		}
	}

	return others
}

// Register implements apricotway.PeerRegistry.
func (h *host) Register(method apricotway.Method, handler apricotway.PeerHandler) {
	h.handlers[handlerKey{h.self.Peers, method}] = handler
}

// Call implements apricotway.Peers.
func (h *host) Call(ctx context.Context, to netip.AddrPort, method apricotway.Method, payload []byte) ([]byte, error) {
	h.mu.Lock()
	h.sent++
	hangs := h.stopped[to] || h.stopped[h.self.Peers]
	h.mu.Unlock()

	if hangs {
		<-ctx.Done()
		return nil, ctx.Err()
	}

	return h.handlers[handlerKey{to, method}](ctx, payload)
}

// startNetwork starts processes that hold copies for each other. The first store is that of the first process.
func startNetwork(t *testing.T, stores ...origins.Store) (*network, []*process) {
	return startNetworkOf(t, len(stores), stores...)
}

// startNetworkOf starts those of a number of processes that have one of the stores.
func startNetworkOf(t *testing.T, members int, stores ...origins.Store) (*network, []*process) {
	n := &network{handlers: map[handlerKey]apricotway.PeerHandler{}, stopped: map[netip.AddrPort]bool{}}

	for i := range stores {
		n.members = append(n.members, apricotway.Member{
			Node: apricotway.NodeID(fmt.Sprint("n", i)), Zone: apricotway.Zone(fmt.Sprint("z", i)), State: apricotway.MemberAlive, Ready: true,
			Peers: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1),
		})
	}

	var processes []*process

	for i, s := range stores {
		h := &host{n, n.members[i]}
		processes = append(processes, startWith(t, s, origins.WithCopies(h, h, h),
			origins.WithMembers(func() int { return members })))
	}

	return n, processes
}

// awayStore is a store that one process can't reach.
type awayStore struct {
	origins.Store

	away atomic.Bool
}

// Append implements apricotway.Log.
func (s *awayStore) Append(ctx context.Context, stream apricotway.Stream, records []apricotway.Record) (apricotway.Offset, error) {
	if s.away.Load() {
		return 0, errDown
	}

	return s.Store.Append(ctx, stream, records)
}

// TestStreamsOfProcessOutOfStep guards against refusing streams because the process that began them can't tell the others where: it stands
// still or ended before it saw the second version, has not read it, or can't reach the store.
func TestStreamsOfProcessOutOfStep(t *testing.T) {
	for _, test := range []struct {
		name string
		// before puts the process out of step before the second version joins, and after then.
		before, after func(n *network, out *process, s *awayStore)
		// began is the version of the stream that the process begins after the second version has joined; "" for none.
		began apricotway.SoftwareVersion
	}{
		{
			name:   "stands still",
			before: func(n *network, _ *process, _ *awayStore) { n.stop(0) },
		},
		{
			name:   "ended",
			before: func(_ *network, out *process, _ *awayStore) { out.kill() },
		},
		{
			name:  "has an old list",
			began: "v1",
		},
		{
			name:  "is cut off from the store",
			after: func(_ *network, out *process, s *awayStore) { s.away.Store(true); out.list("v2") },
			began: "v2",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				s := newStore()
				away := &awayStore{Store: s}
				n, processes := startNetwork(t, away, s, s)
				out, others := processes[0], processes[1:]

				for _, p := range processes {
					p.list("v1")
				}

				<-time.After(time.Second)
				out.Began(time.Now(), "before", server("v1"))
				<-time.After(200 * time.Millisecond)

				if test.before != nil {
					test.before(n, out, away)
				}

				for _, p := range others {
					p.list("v2")
				}

				if test.after != nil {
					test.after(n, out, away)
				}

				if test.began != "" {
					out.Began(time.Now(), "after", server(string(test.began)))
				}

				<-time.After(500 * time.Millisecond)

				for _, p := range others {
					p.wantVersion(t, "before", "v1")

					if test.began != "" {
						p.wantVersion(t, "after", test.began)
					}
				}

				for _, p := range processes {
					p.kill()
				}
			})
		})
	}
}

// TestStreamsOfTwoProcessesOutOfStep guards against refusing streams because the process that began them and one that holds their beginnings
// stand still together.
func TestStreamsOfTwoProcessesOutOfStep(t *testing.T) {
	const count = 4

	for second := 1; second < count; second++ {
		bubble.Test(t, func(t *testing.T) {
			s := newStore()
			n, processes := startNetwork(t, s, s, s, s)

			for _, p := range processes {
				p.list("v1")
			}

			<-time.After(time.Second)
			processes[0].Began(time.Now(), "before", server("v1"))
			<-time.After(200 * time.Millisecond)
			n.stop(0)
			n.stop(second)

			for i, p := range processes[1:] {
				if i+1 != second {
					p.list("v2")
				}
			}

			<-time.After(500 * time.Millisecond)

			for i, p := range processes[1:] {
				if i+1 != second {
					p.wantVersion(t, "before", "v1")
				}
			}

			for _, p := range processes {
				p.kill()
			}
		})
	}
}

// TestCopiesCost guards against a message for each stream, and against writing what the process that began a stream writes itself.
func TestCopiesCost(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := newStore()
		n, processes := startNetwork(t, s, s, s)

		for _, p := range processes {
			p.list("v1", "v2")
		}

		<-time.After(time.Second)

		for i := range 1000 {
			processes[0].Began(time.Now(), apricotway.AttemptID(fmt.Sprint(i)), server("v1"))
			<-time.After(time.Millisecond)
		}

		<-time.After(time.Second)

		if got, want := n.sent, 22; got > want {
			t.Errorf("got %d messages within a second, want at most %d", got, want)
		}

		for _, p := range processes[1:] {
			if got, want := len(p.register.TakePending(1)), 0; got != want {
				t.Errorf("got %d beginnings to write at another process, want %d", got, want)
			}
		}

		for _, p := range processes {
			p.kill()
		}
	})
}

// TestCopyOfStreamOfRestartedServer guards against a copy naming the old version of a server that had started again with another one before
// the process that began the stream there learned of it.
func TestCopyOfStreamOfRestartedServer(t *testing.T) {
	for _, test := range []struct {
		name string
		// early and late are set if the other process and the one that began the stream read the new entry before and after the copy was
		// sent.
		early, late bool
		// entry is the version that the process which began the stream knew, and want the one that may continue it.
		entry, want string
	}{
		{"the holder knows first", true, false, "v1", ""},
		{"the holder knows first, then the sender", true, true, "v1", ""},
		{"both learn it later", false, true, "v1", ""},
		{"the holder learns it later", false, false, "v1", ""},
		{"the sender knew", false, false, "v2", "v2"},
		{"both knew", true, true, "v2", "v2"},
	} {
		t.Run(test.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				s := newStore()
				_, processes := startNetwork(t, s, s)
				out, holder := processes[0], processes[1]

				before, after := server("v1"), server("v2")
				after.ID, after.Born = before.ID, time.Now().Add(time.Second)

				for _, p := range processes {
					p.list("v1")
				}

				<-time.After(time.Second)

				if test.early {
					holder.register.Update(time.Now(), after)
				}

				if test.entry == "v2" {
					before = after
					out.register.Update(time.Now(), after)
				}

				out.Began(time.Now(), "x", before)
				<-time.After(500 * time.Millisecond)

				if test.late {
					out.register.Update(time.Now(), after)
				}

				holder.register.Update(time.Now(), after)
				<-time.After(500 * time.Millisecond)
				holder.wantVersion(t, "x", apricotway.SoftwareVersion(test.want))

				for _, p := range processes {
					p.kill()
				}
			})
		})
	}
}

// TestEndBeforeWrite guards against refusing the streams that a process began just before it ended, beside a second version: it had not yet
// written them, but another process had copies.
func TestEndBeforeWrite(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := newStore()
		away := &awayStore{Store: s}
		n, processes := startNetworkOf(t, 100, away, s, s)

		for _, p := range processes {
			p.list("v1", "v2")
		}

		<-time.After(2 * time.Second)
		processes[0].Began(time.Now(), "x", server("v1"))
		<-time.After(500 * time.Millisecond)
		away.away.Store(true)
		n.stop(0)
		processes[0].kill()
		<-time.After(4 * time.Second)

		for _, p := range processes[1:] {
			p.wantVersion(t, "x", "v1")
			p.kill()
		}
	})
}
