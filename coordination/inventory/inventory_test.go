package inventory_test

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/thejerf/suture/v4"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/coordination/inventory"
	"github.com/apricotway/apricotway/internal/bubble"
	state "github.com/apricotway/apricotway/state/inventory"
)

// cluster connects the processes of a test and answers for the engines. It refuses old versions of broadcasts as the membership
// does and delivers the others without delay.
type cluster struct {
	apricotway.EngineClient

	mu        sync.Mutex
	versions  map[string]uint64
	receivers []func(string, uint64, []byte)
	published int
	largest   int

	// reads and tokens hold counts by engine; the engines in hang do not answer.
	hang          map[apricotway.BackendServerID]bool
	reads, tokens map[apricotway.BackendServerID]int
	running, top  int
}

func (w *cluster) Publish(entry apricotway.BroadcastEntry) error {
	w.mu.Lock()
	defer w.mu.Unlock()

	if entry.Version <= w.versions[entry.Key] || entry.Lifetime <= 0 {
		return apricotway.ErrBroadcastRefused
	}

	w.versions[entry.Key] = entry.Version
	w.published++
	w.largest = max(w.largest, len(entry.Topic)+len(entry.Key)+len(entry.Payload))

	for _, receive := range w.receivers {
		go receive(entry.Key, entry.Version, entry.Payload)
	}

	return nil
}

func (w *cluster) Subscribe(_ apricotway.Topic, receive func(string, uint64, []byte)) {
	w.receivers = append(w.receivers, receive)
}

func (w *cluster) Latest(apricotway.Topic) []apricotway.BroadcastEntry { return nil }

func (w *cluster) Load(ctx context.Context, server apricotway.BackendServer) (apricotway.LoadReport, error) {
	w.mu.Lock()
	w.running++
	w.top = max(w.top, w.running)
	hang := w.hang[server.ID]
	w.mu.Unlock()

	if hang {
		<-ctx.Done()
	}

	w.mu.Lock()
	defer w.mu.Unlock()

	w.running--

	return apricotway.LoadReport{}, ctx.Err()
}

// list is a host list; it is unreachable while it is empty.
type list struct {
	servers atomic.Pointer[[]apricotway.BackendServer]
}

func (l *list) set(servers []apricotway.BackendServer) { l.servers.Store(&servers) }

func (l *list) Hosts(ctx context.Context) ([]apricotway.BackendServer, error) {
	servers := *l.servers.Load()
	if len(servers) == 0 {
		<-ctx.Done()
		return nil, apricotway.ErrPlatformUnavailable
	}

	return slices.Clone(servers), nil
}

func servers(ids ...apricotway.BackendServerID) []apricotway.BackendServer {
	var list []apricotway.BackendServer
	for _, id := range ids {
		list = append(list, apricotway.BackendServer{ID: id, Version: "1", State: apricotway.HostLive})
	}

	return list
}

// simulate runs a test with two processes. The second one cannot reach its host list after the first read.
func simulate(t *testing.T, first []apricotway.BackendServer, run func(*cluster, *suture.Supervisor, *list, [2]*inventory.Inventory)) {
	t.Helper()
	bubble.Test(t, func(t *testing.T) {
		w := &cluster{
			versions: map[string]uint64{}, hang: map[apricotway.BackendServerID]bool{},
			reads: map[apricotway.BackendServerID]int{}, tokens: map[apricotway.BackendServerID]int{},
		}
		supervisor := suture.NewSimple("test")
		reachable, unreachable := &list{}, &list{}
		reachable.set(first)
		unreachable.set(first)

		known := [2]*inventory.Inventory{
			inventory.New(supervisor, reachable, inventory.WithBroadcasts(w)),
			inventory.New(supervisor, unreachable, inventory.WithBroadcasts(w)),
		}

		supervisor.ServeBackground(t.Context())
		synctest.Wait()

		unreachable.set(nil)

		run(w, supervisor, reachable, known)
	})
}

// advance lets the bubble's time pass.
func advance(period time.Duration) {
	<-time.After(period)
	synctest.Wait()
}

func check(t *testing.T, when string, known *inventory.Inventory, want ...apricotway.BackendServerID) {
	t.Helper()
	synctest.Wait()

	var got []apricotway.BackendServerID
	for _, s := range known.Usable("") {
		got = append(got, s.ID)
	}

	if !slices.Equal(got, want) {
		t.Errorf("%s: got %v usable, want %v", when, got, want)
	}
}

// TestLeaveNotice guards against a process without a host list that sends work to leaving servers: it must stop using them
// within 2 s and not use them again after the notice has expired. A server that was restarted under a new ID is used.
func TestLeaveNotice(t *testing.T) {
	simulate(t, servers("a", "b"), func(_ *cluster, _ *suture.Supervisor, reachable *list, known [2]*inventory.Inventory) {
		leaving := servers("a", "b")
		leaving[0].State, leaving[0].Deadline = apricotway.HostLeaving, time.Now().Add(5*time.Second)
		reachable.set(leaving)

		advance(2 * time.Second)
		check(t, "with the list", known[0], "b")
		check(t, "without a list", known[1], "b")

		if got, want := known[1].All()[0], leaving[0]; got.State != want.State || !got.Deadline.Equal(want.Deadline) {
			t.Errorf("got %v until %v, want %v until %v", got.State, got.Deadline, want.State, want.Deadline)
		}

		reachable.set(servers("a2", "b"))

		advance(time.Hour)
		check(t, "an hour later with the list", known[0], "a2", "b")
		check(t, "an hour later without a list", known[1], "b")
	})
}

// TestDeathNotice guards against a dead server that stays in use at the other processes, and against a live one that stays out of
// use: the notice of a failed call must arrive at once, and end with a later successful call or with its lifetime.
func TestDeathNotice(t *testing.T) {
	simulate(t, servers("a", "b"), func(w *cluster, _ *suture.Supervisor, _ *list, known [2]*inventory.Inventory) {
		known[1].MarkLost("a", time.Now())
		check(t, "after a failed call", known[1], "b")
		check(t, "after the notice", known[0], "b")
		advance(time.Second)
		known[0].MarkReached("a", time.Now())
		check(t, "after a successful call of the other process", known[0], "a", "b")
		check(t, "after the correction", known[1], "b")
		known[1].MarkLost("a", time.Now())
		check(t, "after a further failed call", known[0], "a", "b")
		advance(time.Second)
		known[1].MarkReached("a", time.Now())
		check(t, "after an own call", known[1], "a", "b")

		if got, want := w.published, 2; got != want {
			t.Errorf("got %d notices published, want %d", got, want)
		}

		known[1].MarkLost("b", time.Now())
		check(t, "after a death", known[0], "a")
		advance(state.DeathLifetime + inventory.DefaultPeriod)
		check(t, "after its lifetime", known[0], "a", "b")
	})
}

// TestReadPeriod guards against a process that reads the host list too rarely to find leaving servers in time when no other
// process reads it: because it is alone, or because members that count as alive announce no reads. TestListReads checks processes
// that share the reads.
func TestReadPeriod(t *testing.T) {
	alive := apricotway.Member{State: apricotway.MemberAlive}
	dead := apricotway.Member{State: apricotway.MemberDead}

	for _, test := range []struct {
		name    string
		members []apricotway.Member
		// silence is the additional time until the first read after the start.
		silence time.Duration
		want    time.Duration
	}{
		{"alone", nil, 0, 500 * time.Millisecond},
		{"all others out of reach", slices.Repeat([]apricotway.Member{dead}, 389), 0, 500 * time.Millisecond},
		{"nobody else reads", slices.Repeat([]apricotway.Member{alive}, 389), 30 * time.Second, 10 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				hosts := &countedHosts{}
				supervisor := suture.NewSimple("test")
				inventory.New(supervisor, hosts, inventory.WithBroadcasts(noBroadcasts{}), inventory.WithMembership(fixedMembers(test.members)))

				ctx, cancel := context.WithCancel(t.Context())
				stopped := supervisor.ServeBackground(ctx)

				<-time.After(test.silence + 10*test.want + test.want/2)
				cancel()

				if err := <-stopped; err == nil {
					t.Error("supervisor stopped without a reason")
				}

				if got, want := hosts.readings.Load(), int64(11); got != want {
					t.Errorf("got %d readings in 10 periods, want %d", got, want)
				}
			})
		})
	}
}

type countedHosts struct{ readings atomic.Int64 }

func (c *countedHosts) Hosts(context.Context) ([]apricotway.BackendServer, error) {
	c.readings.Add(1)
	return nil, nil
}

type noBroadcasts struct{}

func (noBroadcasts) Publish(apricotway.BroadcastEntry) error { return nil }

func (noBroadcasts) Subscribe(apricotway.Topic, func(string, uint64, []byte)) {}

func (noBroadcasts) Latest(apricotway.Topic) []apricotway.BroadcastEntry { return nil }

type fixedMembers []apricotway.Member

func (f fixedMembers) Members() []apricotway.Member { return f }

func (f fixedMembers) Self() apricotway.Member { return apricotway.Member{Node: "self"} }
