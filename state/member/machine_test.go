package member_test

import (
	"fmt"
	"math/bits"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/apricotway/apricotway"
	_ "github.com/apricotway/apricotway/internal/fixedseed"
	"github.com/apricotway/apricotway/state/member"
)

// network connects machines in simulated time. Packets and exchanges arrive at once unless their link is cut.
type network struct {
	now      time.Time
	machines []*member.Machine
	byProbes map[netip.AddrPort]int
	byPeers  map[netip.AddrPort]int
	// stopped machines neither tick nor receive packets.
	stopped map[int]bool
	cut     func(from, to int) bool
	packets int
	largest int
	// deaths counts how often each machine changed a member to dead.
	deaths map[int]int
}

func address(port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(port))
}

func newNetwork(size int) *network {
	n := &network{
		now: time.Unix(1000, 0), byProbes: map[netip.AddrPort]int{}, byPeers: map[netip.AddrPort]int{},
		stopped: map[int]bool{}, deaths: map[int]int{}, cut: func(int, int) bool { return false },
	}
	for range size {
		n.add()
	}

	for i := 1; i < size; i++ {
		n.exchange(i, 0)
	}

	return n
}

func (n *network) add() int {
	i := len(n.machines)
	entry := member.Entry{
		Node: apricotway.NodeID(fmt.Sprintf("node-%03d", i)), Region: "r", Zone: "z",
		Probes: address(1000 + i), Peers: address(5000 + i),
	}
	n.byProbes[entry.Probes], n.byPeers[entry.Peers] = i, i
	n.machines = append(n.machines,
		member.New(entry, member.DefaultConfig(), rand.New(rand.NewPCG(1, uint64(i))), n.now))

	return i
}

func (n *network) exchange(from, to int) {
	if n.stopped[from] || n.stopped[to] || n.cut(from, to) || n.cut(to, from) {
		return
	}

	state := n.machines[from].State(n.now)
	answer := n.machines[to].State(n.now)
	n.perform(to, n.machines[to].Merge(n.now, state))
	n.perform(from, n.machines[from].Merge(n.now, answer))
}

func (n *network) perform(from int, out member.Output) {
	for _, entry := range out.Changes {
		if entry.State == apricotway.MemberDead {
			n.deaths[from]++
		}
	}

	for _, packet := range out.Packets {
		n.packets++
		n.largest = max(n.largest, len(packet.Message.Entries))

		to, ok := n.byProbes[packet.To]
		if ok && !n.stopped[to] && !n.cut(from, to) {
			n.perform(to, n.machines[to].Receive(n.now, n.machines[from].Self().Probes, packet.Message))
		}
	}

	for _, peer := range out.Exchange {
		if to, ok := n.byPeers[peer]; ok && to != from {
			n.exchange(from, to)
		}
	}
}

// run advances the simulated time in small steps.
func (n *network) run(duration time.Duration) {
	const step = 50 * time.Millisecond

	for end := n.now.Add(duration); n.now.Before(end); {
		n.now = n.now.Add(step)
		for i, machine := range n.machines {
			if !n.stopped[i] && !machine.Next().After(n.now) {
				n.perform(i, machine.Tick(n.now))
			}
		}
	}
}

func (n *network) state(viewer, of int) apricotway.MemberState {
	for _, entry := range n.machines[viewer].Entries() {
		if entry.Node == n.machines[of].Self().Node {
			return entry.State
		}
	}

	return ""
}

// TestViews guards against views that go backwards, against a leaving member that is offered to callers again, and against
// views and broadcasts that still differ after the network has healed. It runs random cuts, pauses, leaves and publications.
func TestViews(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const size = 5

		n := newNetwork(size)
		cuts := map[[2]int]bool{}
		n.cut = func(from, to int) bool { return cuts[[2]int{from, to}] }

		leaving := map[int]bool{}
		version := uint64(0)
		incarnations := make([]uint64, size)
		seen := map[[2]int]uint64{}

		node := rapid.IntRange(0, size-1)

		t.Repeat(map[string]func(*rapid.T){
			"run": func(t *rapid.T) {
				n.run(time.Duration(rapid.IntRange(1, 20).Draw(t, "half seconds")) * time.Second / 2)
			},
			"cut":  func(t *rapid.T) { cuts[[2]int{node.Draw(t, "from"), node.Draw(t, "to")}] = true },
			"heal": func(*rapid.T) { clear(cuts) },
			"pause": func(t *rapid.T) {
				paused := node.Draw(t, "node")
				n.stopped[paused] = true
				n.run(time.Duration(rapid.IntRange(1, 60).Draw(t, "seconds")) * time.Second)
				delete(n.stopped, paused)
			},
			"leave": func(t *rapid.T) {
				i := node.Draw(t, "node")
				leaving[i] = true
				n.perform(i, n.machines[i].Leave(n.now))
			},
			"publish": func(t *rapid.T) {
				i := node.Draw(t, "node")
				version++
				out, ok := n.machines[i].Publish(n.now, apricotway.BroadcastEntry{
					Topic: apricotway.TopicQuarantine, Key: "k", Version: version, Lifetime: 20 * time.Hour,
				})
				n.perform(i, out)

				if !ok {
					t.Fatalf("got version %d refused, want it accepted", version)
				}
			},
			"": func(t *rapid.T) {
				for i, machine := range n.machines {
					if got, want := machine.Self().Incarnation, incarnations[i]; got < want {
						t.Fatalf("got own incarnation %d after %d", got, want)
					}

					incarnations[i] = machine.Self().Incarnation

					for _, entry := range machine.Entries() {
						of := n.byProbes[entry.Probes]
						if got, want := entry.Incarnation, seen[[2]int{i, of}]; got < want {
							t.Fatalf("got incarnation %d of %d after %d", got, of, want)
						}

						seen[[2]int{i, of}] = entry.Incarnation

						if entry.Incarnation > n.machines[of].Self().Incarnation {
							t.Fatalf("got incarnation %d of %d, which it never had", entry.Incarnation, of)
						}

						if leaving[of] && entry.Ready && entry.Incarnation == n.machines[of].Self().Incarnation {
							t.Fatalf("got leaving member %d as ready", of)
						}
					}
				}
			},
		})

		clear(cuts)
		n.run(3 * time.Minute)

		for i := range size {
			for of := range size {
				want := apricotway.MemberAlive
				if leaving[of] {
					want = apricotway.MemberLeaving
				}

				if got := n.state(i, of); i != of && got != want {
					t.Fatalf("got %d as %q at %d after healing, want %q", of, got, i, want)
				}
			}

			if list := n.machines[i].Broadcasts(n.now, apricotway.TopicQuarantine); version > 0 && (len(list) != 1 || list[0].Version != version) {
				t.Fatalf("got broadcasts %v at %d, want version %d", list, i, version)
			}
		}
	})
}

// TestDeath guards the detection of a member that stops without notice, its removal after the retention, and the end of the
// probes to it.
func TestDeath(t *testing.T) {
	n := newNetwork(8)
	n.run(5 * time.Second)
	n.stopped[3] = true
	n.run(20 * time.Second)

	if got, want := n.state(0, 3), apricotway.MemberDead; got != want {
		t.Errorf("got state %q after the end, want %q", got, want)
	}

	n.run(member.DefaultConfig().DeadRetention + time.Minute)

	if got := n.state(0, 3); got != "" {
		t.Errorf("got state %q after the retention, want the member to be forgotten", got)
	}
}

// TestIndirect guards against a suspicion when only the link between two members is cut: the indirect probes of the others
// show that the member is alive.
func TestIndirect(t *testing.T) {
	n := newNetwork(6)
	n.run(5 * time.Second)
	n.cut = func(from, to int) bool { return from == 0 && to == 1 }
	n.run(time.Minute)

	for i, machine := range n.machines {
		if got := machine.Stats().Suspicions; got != 0 {
			t.Errorf("got %d suspicions at %d, want none", got, i)
		}
	}
}

// TestPause guards against a process that was paused and afterwards takes the answers it missed for the death of other
// members.
func TestPause(t *testing.T) {
	n := newNetwork(4)
	n.run(5 * time.Second)
	// A suspicion starts before the pause; its refutation is sent during the pause.
	n.cut = func(_, to int) bool { return to == 0 }
	n.run(2500 * time.Millisecond)

	if got := n.machines[0].Stats().Suspicions; got == 0 {
		t.Fatal("got no suspicion before the pause")
	}

	n.stopped[0] = true
	n.now = n.now.Add(30 * time.Second)
	n.cut = func(int, int) bool { return false }
	delete(n.stopped, 0)
	n.perform(0, n.machines[0].Tick(n.now))

	if got := n.deaths[0]; got != 0 {
		t.Errorf("got %d members taken for dead by the process that woke", got)
	}
}

// TestOwnEntryWithFewerFields guards against endless refutations of entries that an older build passed on without the fields that it does
// not know.
func TestOwnEntryWithFewerFields(t *testing.T) {
	n := newNetwork(2)
	n.perform(0, n.machines[0].SetReady(n.now, true, true))

	before := n.machines[0].Self().Incarnation

	passedOn := n.machines[0].Self()
	passedOn.Isolated, passedOn.Capacity = false, 0
	n.machines[0].Receive(n.now, address(1001), member.Message{Kind: member.KindProbe, From: "node-001", Entries: []member.Entry{passedOn}})

	if got, want := n.machines[0].Self().Incarnation, before; got != want {
		t.Errorf("got incarnation %d, want %d", got, want)
	}

	passedOn.State = apricotway.MemberSuspect
	n.machines[0].Receive(n.now, address(1001), member.Message{Kind: member.KindProbe, From: "node-001", Entries: []member.Entry{passedOn}})

	if got, want := n.machines[0].Self().Incarnation, before+1; got != want {
		t.Errorf("suspected: got incarnation %d, want %d", got, want)
	}
}

// TestAddressReuse guards against a dead member that is held for alive because another process now has its address.
func TestAddressReuse(t *testing.T) {
	n := newNetwork(4)
	n.run(5 * time.Second)
	n.stopped[3] = true
	n.byProbes[address(1003)] = n.add()
	n.run(20 * time.Second)

	// The new process cannot reach the dead member either, so only suspicions raised by the others count.
	suspicions := uint64(0)
	for _, machine := range n.machines[:3] {
		suspicions += machine.Stats().Suspicions
	}

	if suspicions == 0 {
		t.Error("got no suspicion of the dead member")
	}

	if got, want := n.state(0, 3), apricotway.MemberDead; got != want {
		t.Errorf("got state %q, want %q", got, want)
	}
}

// TestLeaveNotice guards the target that every process learns of a leave within 2 s. It runs on machines in simulated time,
// whose random choices do not depend on the scheduler, and lets many members leave one after the other.
func TestLeaveNotice(t *testing.T) {
	n := newNetwork(60)
	n.run(time.Minute)

	for leaving := range 30 {
		n.perform(leaving, n.machines[leaving].Leave(n.now))
		n.run(2 * time.Second)

		for viewer := range n.machines {
			if got, want := n.state(viewer, leaving), apricotway.MemberLeaving; viewer != leaving && got != want {
				t.Errorf("got member %d as %q at %d, want %q", leaving, got, viewer, want)
			}
		}
	}
}

// TestMissedUpdate guards against a process that misses every copy of an update during a short pause and never learns it.
func TestMissedUpdate(t *testing.T) {
	n := newNetwork(5)
	n.run(5 * time.Second)
	n.cut = func(from, to int) bool { return from == 4 || to == 4 }
	out, _ := n.machines[0].Publish(n.now, apricotway.BroadcastEntry{
		Topic: apricotway.TopicQuarantine, Key: "k", Version: 1, Lifetime: time.Hour,
	})
	n.perform(0, out)

	n.run(1500 * time.Millisecond)
	n.cut = func(int, int) bool { return false }
	n.run(20 * time.Second)

	if got := n.machines[4].Broadcasts(n.now, apricotway.TopicQuarantine); len(got) != 1 {
		t.Errorf("got %v at the process that was paused, want the entry", got)
	}
}

// TestRepeats guards the cost for each process: without changes a packet carries no entries, and the number of packets per
// second does not grow with the number of members.
func TestRepeats(t *testing.T) {
	for _, size := range []int{4, 64} {
		n := newNetwork(size)
		n.run(time.Minute)
		n.packets, n.largest = 0, 0
		n.run(20 * time.Second)

		// One probe and one acknowledgement per process and period.
		if got, want := n.packets, size*2*21; got > want {
			t.Errorf("got %d packets with %d members, want at most %d", got, size, want)
		}

		if n.largest != 0 {
			t.Errorf("got %d entries in a packet with %d members and no changes", n.largest, size)
		}
	}
}

// TestRepeatLimit guards the limit on how often one update is sent, which grows with the logarithm of the member count.
func TestRepeatLimit(t *testing.T) {
	for _, size := range []int{4, 100} {
		n := newNetwork(size)
		n.run(time.Minute)
		n.cut = func(int, int) bool { return true }

		sent := 0
		out, _ := n.machines[0].Publish(n.now, apricotway.BroadcastEntry{
			Topic: apricotway.TopicRevision, Key: "k", Version: 1, Lifetime: time.Hour,
		})

		for range 100 {
			for _, packet := range out.Packets {
				sent += len(packet.Message.Broadcasts)
			}

			n.now = n.now.Add(500 * time.Millisecond)
			out = n.machines[0].Tick(n.now)
		}

		if got, want := sent, 2*bits.Len(uint(size)); got != want {
			t.Errorf("got an update sent %d times with %d members, want %d", got, size, want)
		}
	}
}

// TestBroadcast guards against an older version that replaces a newer one, and against entries over the size limit.
func TestBroadcast(t *testing.T) {
	n := newNetwork(1)
	publish := func(version uint64, payload int) bool {
		_, ok := n.machines[0].Publish(n.now, apricotway.BroadcastEntry{
			Topic: apricotway.TopicTokens, Key: "k", Version: version, Payload: make([]byte, payload), Lifetime: time.Minute,
		})

		return ok
	}

	for _, test := range []struct {
		version uint64
		payload int
		want    bool
	}{{2, 1, true}, {2, 1, false}, {1, 1, false}, {3, apricotway.MaxBroadcastBytes, false}, {3, 1, true}} {
		if got := publish(test.version, test.payload); got != test.want {
			t.Errorf("got %v for version %d with %d bytes, want %v", got, test.version, test.payload, test.want)
		}
	}

	n.run(2 * time.Minute)

	if got := n.machines[0].Broadcasts(n.now, apricotway.TopicTokens); len(got) != 0 {
		t.Errorf("got %v after the lifetime, want nothing", got)
	}
}

// TestFrequentEntriesTakeTurns guards against processes whose frequent entries are never sent: when the entries that all
// processes renew every second exceed the budget of the packets, those with the first names took all of it.
func TestFrequentEntriesTakeTurns(t *testing.T) {
	const size = 16

	n := newNetwork(size)
	known := [size]int{}

	for second := range 60 {
		for i, machine := range n.machines {
			out, _ := machine.Publish(n.now, apricotway.BroadcastEntry{
				Topic: apricotway.TopicTokens, Key: string(machine.Self().Node), Version: uint64(second + 1),
				Payload: make([]byte, 40), Lifetime: 5 * time.Second,
			})
			n.perform(i, out)
		}

		n.run(time.Second)

		for _, machine := range n.machines {
			for _, entry := range machine.Broadcasts(n.now, apricotway.TopicTokens) {
				known[slices.IndexFunc(n.machines, func(m *member.Machine) bool { return string(m.Self().Node) == entry.Key })]++
			}
		}
	}

	if got, want := slices.Min(known[:]), slices.Max(known[:])*2/3; got < want {
		t.Errorf("got entries of a process known %d times, want at least %d; all: %v", got, want, known)
	}
}

// TestHostListTopics guards against topics of the host list that do not fit into any packet.
func TestHostListTopics(t *testing.T) {
	n := newNetwork(4)
	n.run(10 * time.Second)

	for topic, payload := range map[apricotway.Topic]int{
		apricotway.TopicHostListReader: 100, apricotway.TopicHostChange: 350, apricotway.TopicReadHostList: 100,
	} {
		out, ok := n.machines[0].Publish(n.now, apricotway.BroadcastEntry{
			Topic: topic, Key: "k", Version: 1, Payload: make([]byte, payload), Lifetime: time.Minute,
		})
		if !ok {
			t.Errorf("topic %s: refused", topic)
		}

		n.perform(0, out)
		n.run(20 * time.Second)

		for node, machine := range n.machines {
			if got, want := len(machine.Broadcasts(n.now, topic)), 1; got != want {
				t.Errorf("topic %s at %d: got %d entries, want %d", topic, node, got, want)
			}
		}
	}
}
