package membership_test

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/thejerf/suture/v4"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/coordination/era"
	"github.com/apricotway/apricotway/coordination/membership"
	"github.com/apricotway/apricotway/internal/bubble"
	"github.com/apricotway/apricotway/state/member"
)

// latency is the one-way delay of the in-memory network.
const latency = 5 * time.Millisecond

// network carries packets and calls between drivers in virtual time.
type network struct {
	mu    sync.Mutex
	nodes map[netip.AddrPort]*node
	// cut reports whether packets from one node to another are lost. Calls need both directions.
	cut func(from, to *node) bool
	log *memoryLog
	// eras is the tracker of all nodes.
	eras *era.Tracker
	// seeds and key are given to every node.
	seeds []netip.AddrPort
	key   []byte
	next  int
}

type node struct {
	network  *network
	index    int
	region   apricotway.Region
	address  netip.AddrPort
	driver   *membership.Driver
	handlers map[apricotway.Method]apricotway.PeerHandler
	cancel   context.CancelFunc
	done     <-chan error
	// running holds a token except while the driver's timers are paused. It is no mutex, since a goroutine blocked on one would
	// stop the virtual time.
	running chan struct{}
	frozen  bool
}

func newNetwork() *network {
	return &network{
		nodes: map[netip.AddrPort]*node{}, cut: func(_, _ *node) bool { return false }, log: &memoryLog{}, eras: era.New(),
	}
}

func (n *network) setCut(cut func(from, to *node) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()

	n.cut = cut
}

func (n *network) reach(from *node, to netip.AddrPort) *node {
	n.mu.Lock()
	defer n.mu.Unlock()

	target := n.nodes[to]
	if target == nil || target.frozen || from.frozen || n.cut(from, target) {
		return nil
	}

	return target
}

func (n *network) start(region apricotway.Region) *node {
	return n.startAt(region, netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(n.next+1)))
}

func (n *network) startAt(region apricotway.Region, address netip.AddrPort) *node {
	n.next++
	added := &node{
		network: n, index: n.next, region: region, address: address,
		handlers: map[apricotway.Method]apricotway.PeerHandler{}, running: make(chan struct{}, 1),
	}
	added.running <- struct{}{}
	self := apricotway.Member{
		Node: apricotway.NodeID(fmt.Sprintf("node-%03d", n.next)), Region: region, Zone: "z",
		Callers: address, Peers: address, Probes: address,
	}
	supervisor := suture.NewSimple("test")
	added.driver = membership.New(supervisor, self, added, added, added, n.log,
		membership.WithSeeds(n.seeds), membership.WithKey(n.key), membership.WithEras(n.eras), membership.WithRandom(rand.New(rand.NewPCG(1, uint64(n.next)))),
		membership.WithReady(func() bool {
			added.running <- <-added.running
			return true
		}))

	n.mu.Lock()
	n.nodes[address] = added
	n.mu.Unlock()

	var ctx context.Context

	ctx, added.cancel = context.WithCancel(context.Background())
	added.done = supervisor.ServeBackground(ctx)

	return added
}

func (n *network) startMany(t *testing.T, count int, region apricotway.Region) []*node {
	t.Helper()

	var list []*node

	for range count {
		list = append(list, n.start(region))
		<-time.After(100 * time.Millisecond)
	}

	return list
}

// kill ends a node without announcing it.
func (k *node) kill() {
	k.network.mu.Lock()
	delete(k.network.nodes, k.address)
	k.network.mu.Unlock()
	k.cancel()

	if err := <-k.done; !errors.Is(err, context.Canceled) {
		panic(err)
	}
}

func (n *network) stop() {
	for _, k := range n.all() {
		k.kill()
	}
}

func (n *network) all() []*node {
	n.mu.Lock()
	defer n.mu.Unlock()

	var list []*node
	for _, k := range n.nodes {
		list = append(list, k)
	}

	slices.SortFunc(list, func(a, b *node) int { return a.index - b.index })

	return list
}

// Send implements membership.Sender.
func (k *node) Send(to netip.AddrPort, message member.Message) error {
	time.AfterFunc(latency, func() {
		if target := k.network.reach(k, to); target != nil {
			target.driver.Receive(k.address, message)
		}
	})

	return nil
}

// Call implements apricotway.Peers.
func (k *node) Call(
	ctx context.Context, address netip.AddrPort, method apricotway.Method, payload []byte,
) ([]byte, error) {
	target := k.network.reach(k, address)
	if target == nil || k.network.reach(target, k.address) == nil {
		<-ctx.Done()
		return nil, ctx.Err()
	}

	<-time.After(2 * latency)

	return target.handlers[method](ctx, payload)
}

// Register implements apricotway.PeerRegistry.
func (k *node) Register(method apricotway.Method, handler apricotway.PeerHandler) {
	k.handlers[method] = handler
}

// memoryLog is an in-memory log of one stream.
type memoryLog struct {
	mu      sync.Mutex
	down    bool
	records []apricotway.StoredRecord
	// page bounds the records of one read if it is not 0.
	page int
	// retention is the time for which records are kept; 0 for all time.
	retention time.Duration
	// appends and reads count the calls.
	appends, reads int
}

// oldest returns the lowest offset that is still kept. The caller holds l.mu.
func (l *memoryLog) oldest() apricotway.Offset {
	for _, record := range l.records {
		if l.retention == 0 || time.Since(record.Time) < l.retention {
			return record.Offset
		}
	}

	return apricotway.Offset(len(l.records) + 1)
}

func (l *memoryLog) Append(
	_ context.Context, _ apricotway.Stream, records []apricotway.Record,
) (apricotway.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.appends++

	if l.down {
		return 0, apricotway.ErrLogUnavailable
	}

	for _, record := range records {
		l.records = append(l.records, apricotway.StoredRecord{
			Record: record, Offset: apricotway.Offset(len(l.records) + 1), Time: time.Now(),
		})
	}

	return apricotway.Offset(len(l.records)), nil
}

func (l *memoryLog) Read(
	_ context.Context, _ apricotway.Stream, from apricotway.Offset, limit int, _ time.Duration,
) (apricotway.Batch, error) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.reads++

	if l.down {
		return apricotway.Batch{}, apricotway.ErrLogUnavailable
	}

	oldest := l.oldest()
	if from < oldest {
		return apricotway.Batch{Oldest: oldest}, apricotway.ErrTrimmed
	}

	if l.page > 0 {
		limit = min(limit, l.page)
	}

	rest := l.records[min(int(from)-1, len(l.records)):]
	rest = rest[:min(limit, len(rest))]

	return apricotway.Batch{Records: slices.Clone(rest), Next: from + apricotway.Offset(len(rest)), Oldest: oldest}, nil
}

func (k *node) states() map[apricotway.NodeID]apricotway.MemberState {
	states := map[apricotway.NodeID]apricotway.MemberState{}
	for _, m := range k.driver.Members() {
		states[m.Node] = m.State
	}

	return states
}

func (k *node) name() apricotway.NodeID { return k.driver.Self().Node }

// wantAlive checks that every running node sees all other running ones as alive and any further ones as dead.
func (n *network) wantAlive(t *testing.T, when string) {
	t.Helper()

	all := n.all()
	for _, viewer := range all {
		live := 0

		for _, state := range viewer.states() {
			if state != apricotway.MemberDead {
				live++
			}
		}

		if got, want := live, len(all)-1; got != want {
			t.Errorf("%s: got %d live members at %s, want %d", when, got, viewer.name(), want)
		}

		for _, other := range all {
			if got := viewer.states()[other.name()]; other != viewer && got != apricotway.MemberAlive {
				t.Errorf("%s: got %s as %q at %s, want alive", when, other.name(), got, viewer.name())
			}
		}
	}
}

// TestContactLostBeforeDeath guards against a process that is declared dead before it can notice that it is cut off. Its shards
// are claimed then, and contactLimit of package shard relies on its last contact being at least that old.
func TestContactLostBeforeDeath(t *testing.T) {
	const contactLimit = 3 * time.Second

	for _, size := range []int{3, 16} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				n := newNetwork()
				all := n.startMany(t, size, "r")
				<-time.After(30 * time.Second)

				for round := range 8 {
					cutOff := all[round%size]
					n.setCut(func(from, to *node) bool { return from == cutOff || to == cutOff })

					dead := func(viewer *node) bool {
						return viewer != cutOff && viewer.states()[cutOff.name()] == apricotway.MemberDead
					}
					for !slices.ContainsFunc(all, dead) {
						<-time.After(50 * time.Millisecond)
					}

					reached := 0

					for _, state := range cutOff.states() {
						if state == apricotway.MemberAlive {
							reached++
						}
					}

					t.Logf("%d of %d members are still alive to the process that is cut off", reached, size-1)

					if got := time.Since(cutOff.driver.LastContact()); got <= contactLimit {
						t.Errorf("got the last contact %s ago, want more than %s", got, contactLimit)
					}

					n.setCut(func(_, _ *node) bool { return false })
					<-time.After(2 * time.Minute)
				}

				n.stop()
			})
		})
	}
}

// TestJoin guards both ways to find first peers: join records in the log, and seeds while the log is down.
func TestJoin(t *testing.T) {
	for _, down := range []bool{false, true} {
		t.Run(fmt.Sprintf("log down %v", down), func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				n := newNetwork()
				defer n.stop()

				n.log.down = down
				if down {
					n.seeds = []netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:1")}
				}

				for range 4 {
					n.start("r")
				}

				<-time.After(10 * time.Second)
				n.wantAlive(t, "after the start")
			})
		})
	}
}

// TestJoinBesideOddRecords checks that processes find each other by their join records among those that another writer may have left.
func TestJoinBesideOddRecords(t *testing.T) {
	const depth = 100_000

	bubble.Test(t, func(t *testing.T) {
		n := newNetwork()
		defer n.stop()

		putOdd := func() {
			for _, payload := range []string{
				"", "null", "\x00\xff", strings.Repeat("[", 256<<10), strings.Repeat("[", depth) + strings.Repeat("]", depth),
				`{"x":` + strings.Repeat(`{"a":`, depth) + "1" + strings.Repeat("}", depth) + `,"peers":"10.0.0.9:1"}`, `{"peers":""}`,
				`{"peers":"10.0.0.9:0"}`, `{"peers":"10.0.0.9:65536"}`, `{"peers":"10.0.0.9:99999999999"}`, `{"peers":1e400}`,
				`{"peers":"0.0.0.0:1"}`, `{"peers":"[fe80::1%eth0]:1"}`, `{"capacity":1e400,"peers":"10.0.0.9:1"}`, `{"node":[],"peers":"10.0.0.9:1"}`,
			} {
				record := apricotway.Record{SchemaVersion: 1, Kind: membership.KindJoin, Payload: []byte(payload)}
				if _, err := n.log.Append(t.Context(), apricotway.StreamControl, []apricotway.Record{record, {Kind: "", SchemaVersion: -1}}); err != nil {
					t.Fatal(err)
				}
			}
		}

		for range 4 {
			putOdd()
			n.start("r")
		}

		<-time.After(20 * time.Second)
		n.wantAlive(t, "after the start")
	})
}

// TestJoinInPages guards against a process that stays alone since one read returns only the oldest of the records before its own.
func TestJoinInPages(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		n := newNetwork()
		defer n.stop()

		n.log.page = 3

		for range 4 {
			for range 5 {
				if _, err := n.log.Append(t.Context(), apricotway.StreamControl, []apricotway.Record{{Kind: "other"}}); err != nil {
					t.Fatal(err)
				}
			}

			n.start("r")
		}

		<-time.After(20 * time.Second)
		n.wantAlive(t, "after the start")
	})
}

// TestJoinAtReusedAddress guards against two deployments whose processes become members of each other, after the address of a process that has
// ended was given to one of the other deployment.
func TestJoinAtReusedAddress(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		n := newNetwork()
		defer n.stop()

		n.key = []byte("first")
		first := n.startMany(t, 2, "r")

		<-time.After(10 * time.Second)
		first[0].kill()

		n.key, n.log = []byte("second"), &memoryLog{}
		second := n.startAt("r", first[0].address)

		<-time.After(5 * time.Minute)

		for _, test := range []struct{ viewer, other *node }{{first[1], second}, {second, first[1]}} {
			if got, ok := test.viewer.states()[test.other.name()]; ok {
				t.Errorf("got %s as a member of %s that is %s, want none of another deployment", test.other.name(), test.viewer.name(), got)
			}
		}
	})
}

// TestJoinAfterRestore guards against processes that a later one can't find, since the log has come back from a copy without their join
// records.
func TestJoinAfterRestore(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		n := newNetwork()
		defer n.stop()

		n.eras.Observe(1)
		n.startMany(t, 3, "r")
		<-time.After(10 * time.Second)

		n.log.mu.Lock()
		n.log.records = nil
		n.log.mu.Unlock()
		n.eras.Observe(2)
		<-time.After(5 * time.Second)

		n.start("r")
		<-time.After(10 * time.Second)
		n.wantAlive(t, "after the restore")
	})
}

// TestRestartedSeedsFindOthers guards against processes that are killed at once, the seeds among them, and come back as a system of their
// own beside the processes that lived on.
func TestRestartedSeedsFindOthers(t *testing.T) {
	for _, test := range []struct {
		name string
		// forgotten restarts the processes once the others no longer know them as dead.
		forgotten, down bool
		within          time.Duration
	}{
		{name: "expired join records", within: 3 * time.Second},
		{name: "without the store", down: true, within: 8 * time.Second},
		{name: "after the others forgot them", forgotten: true, within: 3 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				n := newNetwork()
				defer n.stop()

				n.log.retention = 20 * time.Second
				n.seeds = []netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.1:2"), netip.MustParseAddrPort("10.0.0.1:3")}

				nodes := n.startMany(t, 6, "r")
				<-time.After(3 * time.Minute)

				n.log.mu.Lock()
				n.log.down = test.down
				n.log.mu.Unlock()

				for _, k := range nodes[:3] {
					k.kill()
				}

				<-time.After(2 * time.Second)

				if test.forgotten {
					<-time.After(member.DefaultConfig().DeadRetention + time.Minute)
				}

				for _, k := range nodes[:3] {
					n.startAt("r", k.address)
				}

				<-time.After(test.within)

				for _, viewer := range n.all() {
					for _, other := range n.all() {
						if got := viewer.states()[other.name()]; other != viewer && got != apricotway.MemberAlive {
							t.Errorf("got %s as %q at %s, want alive", other.name(), got, viewer.name())
						}
					}
				}
			})
		})
	}
}

// TestOneWayCut guards against declaring a member dead because messages to or from only one other process are lost, and against a
// member that stays dead after a cut from all others has healed.
func TestOneWayCut(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		n := newNetwork()
		defer n.stop()

		nodes := n.startMany(t, 6, "r")
		<-time.After(10 * time.Second)

		n.setCut(func(from, to *node) bool { return from == nodes[0] && to == nodes[1] })
		<-time.After(time.Minute)
		n.wantAlive(t, "with one direction of one link cut")

		n.setCut(func(from, _ *node) bool { return from == nodes[2] })
		<-time.After(time.Minute)

		if got := nodes[0].states()[nodes[2].name()]; got != apricotway.MemberDead {
			t.Errorf("got the unheard member as %q, want dead", got)
		}

		n.setCut(func(_, _ *node) bool { return false })
		<-time.After(time.Minute)
		n.wantAlive(t, "after the cut")
	})
}

// TestFlapping guards against a member that stays suspected, or floods the others with messages, after its link failed
// repeatedly.
func TestFlapping(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		n := newNetwork()
		defer n.stop()

		nodes := n.startMany(t, 6, "r")
		for range 10 {
			n.setCut(func(from, to *node) bool { return from == nodes[0] || to == nodes[0] })
			<-time.After(7 * time.Second)
			n.setCut(func(_, _ *node) bool { return false })
			<-time.After(7 * time.Second)
		}

		<-time.After(30 * time.Second)
		n.wantAlive(t, "after the flapping")
	})
}

// TestReplacement guards against views that miss new members or keep old ones when half of the members are replaced within about
// a minute.
func TestReplacement(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		n := newNetwork()
		defer n.stop()

		nodes := n.startMany(t, 20, "r")
		<-time.After(10 * time.Second)

		for i, old := range nodes[:10] {
			n.start("r")

			if i%2 == 0 {
				old.driver.AnnounceLeave()
				<-time.After(2 * time.Second)
				old.driver.AnnounceStop()
			}

			<-time.After(2 * time.Second)
			old.kill()
			<-time.After(2 * time.Second)
		}

		<-time.After(30 * time.Second)
		n.wantAlive(t, "after the replacement")
	})
}

// TestRegionCut guards the views on both sides of a network partition between regions: each side keeps its own members during the
// partition and while it heals, and afterwards the sides find each other again.
func TestRegionCut(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		n := newNetwork()
		defer n.stop()

		n.startMany(t, 6, "east")
		n.startMany(t, 6, "west")
		<-time.After(10 * time.Second)

		sameSide := func(when string) {
			for _, viewer := range n.all() {
				for _, other := range n.all() {
					if got := viewer.states()[other.name()]; other.region == viewer.region && got == apricotway.MemberDead {
						t.Errorf("%s: got %s of the same region dead at %s", when, other.name(), viewer.name())
					}
				}
			}
		}

		n.setCut(func(from, to *node) bool { return from.region != to.region })
		<-time.After(5 * time.Minute)
		sameSide("during the cut")

		n.setCut(func(_, _ *node) bool { return false })

		for range 300 {
			<-time.After(100 * time.Millisecond)
			sameSide("while healing")
		}

		n.wantAlive(t, "after the cut")
	})
}

// TestPausedProcess guards the return of a process that was paused until the others declared it dead, and the others' views when
// it resumes with expired timers.
func TestPausedProcess(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		n := newNetwork()
		defer n.stop()

		nodes := n.startMany(t, 5, "r")
		<-time.After(10 * time.Second)

		freeze := func(frozen bool) {
			n.mu.Lock()
			defer n.mu.Unlock()

			nodes[0].frozen = frozen
		}

		<-nodes[0].running
		freeze(true)
		<-time.After(time.Minute)

		if got := nodes[1].states()[nodes[0].name()]; got != apricotway.MemberDead {
			t.Errorf("got the paused process as %q, want dead", got)
		}

		freeze(false)
		nodes[0].running <- struct{}{}
		<-time.After(20 * time.Second)
		n.wantAlive(t, "after the pause")
	})
}

// TestAddresses guards the addresses given to callers: they contain no member that is leaving, dead or not ready from the moment
// at which its notice is known, even while the leaving member is suspected.
func TestAddresses(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		n := newNetwork()
		defer n.stop()

		nodes := n.startMany(t, 4, "r")
		<-time.After(10 * time.Second)

		given := func(viewer *node) []apricotway.NodeID {
			var list []apricotway.NodeID

			addresses, _ := viewer.driver.Addresses("s", "w")
			for _, address := range addresses {
				list = append(list, address.Node)
			}

			return list
		}

		if got, want := len(given(nodes[0])), 4; got != want {
			t.Errorf("got %d addresses, want %d", got, want)
		}

		n.setCut(func(from, to *node) bool { return from == nodes[2] || to == nodes[2] })

		for nodes[0].states()[nodes[2].name()] != apricotway.MemberSuspect {
			<-time.After(10 * time.Millisecond)
		}

		if got := given(nodes[0]); slices.Contains(got, nodes[2].name()) {
			t.Errorf("got the only suspect in %v", got)
		}

		n.setCut(func(_, _ *node) bool { return false })
		<-time.After(time.Minute)

		nodes[3].driver.AnnounceLeave()
		<-time.After(time.Second)
		// While every other process is suspected, suspected members are given as well.
		n.setCut(func(_, _ *node) bool { return true })

		for range 40 {
			<-time.After(500 * time.Millisecond)

			for _, viewer := range nodes {
				if got := given(viewer); slices.Contains(got, nodes[3].name()) {
					t.Fatalf("got the leaving member in %v at %s", got, viewer.name())
				}
			}
		}
	})
}

// TestNews guards the typed broadcasts: every process gets the newest version of an entry, also one that joins later.
func TestNews(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		n := newNetwork()
		defer n.stop()

		nodes := n.startMany(t, 5, "r")
		<-time.After(10 * time.Second)

		var mu sync.Mutex

		got := map[apricotway.NodeID]int{}

		for _, k := range nodes {
			apricotway.SubscribeValue(k.driver, apricotway.TopicRevision, func(_ string, _ uint64, value int) {
				mu.Lock()
				defer mu.Unlock()

				got[k.name()] = value
			})
		}

		for version := range 3 {
			err := apricotway.PublishValue(nodes[0].driver, apricotway.TopicRevision, "k", uint64(version+1), time.Hour, version+10)
			if err != nil {
				t.Fatal(err)
			}
		}

		<-time.After(5 * time.Second)

		mu.Lock()
		for _, k := range nodes[1:] {
			if got, want := got[k.name()], 12; got != want {
				t.Errorf("got value %d at %s, want %d", got, k.name(), want)
			}
		}
		mu.Unlock()

		late := n.start("r")
		<-time.After(2 * time.Second)

		if latest := late.driver.Latest(apricotway.TopicRevision); len(latest) != 1 || string(latest[0].Payload) != mustJSON(t, 12) {
			t.Errorf("got %v at the process that joined later, want the newest version", latest)
		}
	})
}

func mustJSON(t *testing.T, value any) string {
	t.Helper()

	content, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}

	return string(content)
}

var processes = flag.Int("processes", 30, "number of processes in TestWorkAtStore; 390 take two minutes")

// TestWorkAtStore guards against join records and searches that take more of the log service than a small share of its calls: with all
// processes started together, in use, and after half of them were killed at once and started again.
func TestWorkAtStore(t *testing.T) {
	const (
		// steady is the time in use, and maxRate bounds its calls a second.
		steady, maxRate = 2 * time.Minute, 5
		// maxCalls bounds the calls of one process that starts or has lost others.
		maxCalls = 6
	)

	size := *processes

	bubble.Test(t, func(t *testing.T) {
		n := newNetwork()
		defer n.stop()

		n.log.retention = 20 * time.Second
		n.seeds = []netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.1:2"), netip.MustParseAddrPort("10.0.0.1:3")}

		var appends, reads int

		check := func(phase string, want float64, over time.Duration) {
			n.log.mu.Lock()
			defer n.log.mu.Unlock()

			appended, read := n.log.appends-appends, n.log.reads-reads
			appends, reads = n.log.appends, n.log.reads
			t.Logf("%s: %d appends and %d reads in %s", phase, appended, read, over)

			if got := float64(appended + read); got > want {
				t.Errorf("%s: got %g calls of the log service, want at most %g", phase, got, want)
			}
		}

		for range size {
			n.start("r")
		}

		<-time.After(10 * time.Second)
		check("start", float64(maxCalls*size), 10*time.Second)

		<-time.After(steady)
		check("in use", maxRate*steady.Seconds(), steady)

		killed := n.all()[:size/2]
		for _, k := range killed {
			k.kill()
		}

		<-time.After(2 * time.Second)

		for _, k := range killed {
			n.startAt("r", k.address)
		}

		<-time.After(20 * time.Second)
		check("restart of half", float64(maxCalls*size), 20*time.Second)
	})
}
