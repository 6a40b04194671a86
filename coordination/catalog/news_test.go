package catalog_test

import (
	"context"
	"net/netip"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/coordination/catalog"
	"github.com/apricotway/apricotway/internal/bubble"
	"github.com/apricotway/apricotway/state/dispatch"
)

// relay passes the news of one catalog on to another one for a while.
func relay(from, to *catalog.Catalog, duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); {
		sent := to.BootTime()
		to.ApplyNews(sent, from.News("reader", to.Position()))
		<-time.After(100 * time.Millisecond)
		synctest.Wait()
	}
}

func wantKnown(t *testing.T, pool *dispatch.Pool, want map[apricotway.BackendServerID]bool) {
	t.Helper()

	for id, known := range want {
		if got := knows(pool, id); got != known {
			t.Errorf("server %s: got known: %t, want %t", id, got, known)
		}
	}
}

// TestNews guards the processes that don't read the store themselves: they know what the reader knows, including changes, they
// leave the store alone, and they read it again when the news stop.
func TestNews(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		readerStore, receiverStore := newStore(), newStore()
		readerStore.publish(3)
		readerStore.register("a", false)
		readerStore.register("b", false)
		receiverStore.publish(3)

		reader, _ := start(t, readerStore)
		receiver, pool := start(t, receiverStore)

		wait(time.Second)
		relay(reader, receiver, 2*time.Second)
		wantKnown(t, pool, map[apricotway.BackendServerID]bool{"a": true, "b": true})

		// Make the second process's store differ, to show that the process does not read it.
		receiverStore.register("elsewhere", false)
		readerStore.register("c", false)
		readerStore.drop("a")
		readerStore.register("b", true)
		relay(reader, receiver, 2*time.Second)
		wantKnown(t, pool, map[apricotway.BackendServerID]bool{"a": false, "c": true, "elsewhere": false})

		if got, want := pool.Leaving("b"), true; got != want {
			t.Errorf("got leaving: %t, want %t", got, want)
		}

		if got, want := receiver.KeysFresh(), true; got != want {
			t.Errorf("got fresh keys: %t, want %t", got, want)
		}

		// A newer configuration is read from the store.
		readerStore.publish(8)
		receiverStore.publish(8)
		relay(reader, receiver, 3*time.Second)

		if got, want := version(receiver), uint64(8); got != want {
			t.Errorf("got version %d, want %d", got, want)
		}

		wait(4 * time.Second)
		wantKnown(t, pool, map[apricotway.BackendServerID]bool{"elsewhere": true, "c": false})
	})
}

// TestStaleNews guards against accepting revoked keys because of a reader that is cut off from the store: the reader passes
// nothing on, and the others don't take its last proof for a newer one.
func TestStaleNews(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		readerStore, receiverStore := newStore(), newStore()
		readerStore.publish(3)
		readerStore.register("a", false)
		receiverStore.publish(3)

		reader, _ := start(t, readerStore, catalog.WithKeyValidity(4*time.Second))
		receiver, _ := start(t, receiverStore, catalog.WithKeyValidity(4*time.Second))

		wait(time.Second)
		relay(reader, receiver, time.Second)
		readerStore.set(func(s *store) { s.down = true })
		receiverStore.set(func(s *store) { s.down = true })
		relay(reader, receiver, 6*time.Second)

		if got := reader.News("reader", catalog.Position{}); got.Fresh {
			t.Errorf("got news %+v of a cut-off reader, want none", got)
		}

		if got, want := receiver.KeysFresh(), false; got != want {
			t.Errorf("got fresh keys: %t, want %t", got, want)
		}
	})
}

// TestManyChanges guards a process that is far behind against missing changes: it gets the whole list.
func TestManyChanges(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		readerStore, receiverStore := newStore(), newStore()
		readerStore.publish(3)
		readerStore.register("a", false)
		receiverStore.publish(3)

		reader, _ := start(t, readerStore)
		receiver, pool := start(t, receiverStore)

		wait(time.Second)
		relay(reader, receiver, time.Second)

		for i := range 2000 {
			readerStore.register("b", i%2 == 0)
		}

		readerStore.drop("a")
		wait(2 * time.Second)

		if got, want := reader.News("reader", receiver.Position()).Whole, true; got != want {
			t.Errorf("got a whole list: %t, want %t", got, want)
		}

		// Repeat the request, since one answer may be older than what the process has read itself in the meantime.
		relay(reader, receiver, time.Second)
		wantKnown(t, pool, map[apricotway.BackendServerID]bool{"a": false, "b": true})
	})
}

// TestOldList guards against calls to leaving servers while the reader's read of the list hangs: its news are too old, and the
// others read the store themselves.
func TestOldList(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		readerStore, receiverStore := newStore(), newStore()
		readerStore.publish(3)
		readerStore.register("a", false)
		receiverStore.publish(3)
		receiverStore.register("a", false)

		reader, _ := start(t, readerStore)
		receiver, pool := start(t, receiverStore)

		wait(time.Second)
		relay(reader, receiver, time.Second)
		readerStore.set(func(s *store) { s.hanging = true })
		readerStore.register("a", true)
		receiverStore.register("a", true)
		relay(reader, receiver, 2*time.Second)

		if got, want := pool.Leaving("a"), true; got != want {
			t.Errorf("two seconds after the notice: got leaving: %t, want %t", got, want)
		}
	})
}

// TestOlderNews guards what a process read itself against news that are older although still recent: a leaving server would be
// taken for one that stays.
func TestOlderNews(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		readerStore, receiverStore := newStore(), newStore()
		readerStore.publish(3)
		readerStore.register("a", false)
		readerStore.register("b", false)
		receiverStore.publish(3)
		receiverStore.register("a", false)
		receiverStore.register("b", false)

		reader, _ := start(t, readerStore)
		receiver, pool := start(t, receiverStore)

		wait(time.Second)
		readerStore.set(func(s *store) { s.hanging = true })
		receiverStore.register("a", true)
		receiverStore.drop("b")
		wait(900 * time.Millisecond)

		for range 5 {
			relay(reader, receiver, 100*time.Millisecond)

			if got, want := pool.Leaving("a"), true; got != want {
				t.Errorf("after older news: got leaving: %t, want %t", got, want)
			}

			wantKnown(t, pool, map[apricotway.BackendServerID]bool{"b": false})
		}
	})
}

// TestLapsedNews guards against servers that reappear after their removal: a reader that keeps them for a while after its outage
// must not pass them on to processes that have read that they are gone.
func TestLapsedNews(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		readerStore, receiverStore := newStore(), newStore()
		readerStore.publish(3)
		readerStore.register("a", false)
		receiverStore.publish(3)
		receiverStore.register("a", false)

		reader, _ := start(t, readerStore)
		receiver, pool := start(t, receiverStore)

		wait(time.Second)
		readerStore.set(func(s *store) { s.down = true })
		wait(3 * time.Second)
		readerStore.drop("a")
		receiverStore.drop("a")
		wait(time.Second)
		wantKnown(t, pool, map[apricotway.BackendServerID]bool{"a": false})

		readerStore.set(func(s *store) { s.down = false })

		for range 30 {
			relay(reader, receiver, 100*time.Millisecond)
			wantKnown(t, pool, map[apricotway.BackendServerID]bool{"a": false})
		}
	})
}

// TestShortFailure guards against postponing a removal after a failure that was too short for an entry to lapse.
func TestShortFailure(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := newStore()
		s.publish(3)
		s.register("a", false)

		_, pool := start(t, s)
		wait(2 * time.Second)
		s.set(func(s *store) { s.down = true })
		wait(700 * time.Millisecond)
		s.drop("a")
		s.set(func(s *store) { s.down = false })
		wait(1300 * time.Millisecond)
		wantKnown(t, pool, map[apricotway.BackendServerID]bool{"a": false})
	})
}

// TestNewsOfManyProcesses guards against needless reads among 80 processes, which ask for the news every 480 ms: those that don't
// read the store while nothing fails must not start to, since their reads are most of the platform's load.
func TestNewsOfManyProcesses(t *testing.T) {
	const (
		asked = 480 * time.Millisecond
		way   = 100 * time.Millisecond
	)

	bubble.Test(t, func(t *testing.T) {
		readerStore, receiverStore := newStore(), newStore()
		readerStore.publish(3)
		receiverStore.publish(3)

		reader, _ := start(t, readerStore)
		receiver, _ := start(t, receiverStore)

		reader.SetReader(true, asked)
		receiver.SetReader(false, asked)
		wait(time.Second)

		before := 0

		for i := range 60 {
			// Servers register all the time with small changes.
			readerStore.register("a", i%2 == 0)

			sent := receiver.BootTime()
			news := reader.News("reader", receiver.Position())

			wait(way)
			receiver.ApplyNews(sent, news)
			wait(asked - way)

			if i == 5 {
				receiverStore.set(func(s *store) { before = s.reads })
			}
		}

		receiverStore.set(func(s *store) {
			if got := s.reads - before; got != 0 {
				t.Errorf("got %d reads of a process that hears the news, want none", got)
			}
		})
	})
}

// exchange connects the processes of a test.
type exchange struct {
	mu       sync.Mutex
	handlers map[string]apricotway.PeerHandler
	cut      bool
	// deliver, if not nil, returns once an answer has arrived, or why it does not.
	deliver func(ctx context.Context, answer []byte) error
}

func (x *exchange) set(change func()) {
	x.mu.Lock()
	defer x.mu.Unlock()

	change()
}

// process implements the peers, the registry and the membership of one process of the exchange.
type process struct {
	*exchange
	node string
}

func (s *process) address(node string) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(node[0]))
}

func (s *process) Register(method apricotway.Method, handler apricotway.PeerHandler) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.handlers[s.address(s.node).String()+string(method)] = handler
}

func (s *process) Call(ctx context.Context, to netip.AddrPort, method apricotway.Method, payload []byte) ([]byte, error) {
	s.mu.Lock()
	handler, cut := s.handlers[to.String()+string(method)], s.cut
	s.mu.Unlock()

	if cut || handler == nil {
		return nil, apricotway.ErrNotSent
	}

	answer, err := handler(ctx, payload)
	if err != nil || s.deliver == nil {
		return answer, err
	}

	return answer, s.deliver(ctx, answer)
}

func (s *process) Self() apricotway.Member { return apricotway.Member{Node: apricotway.NodeID(s.node)} }

func (s *process) Members() []apricotway.Member {
	var members []apricotway.Member

	for _, node := range []string{"a", "b", "c"} {
		if node != s.node {
			members = append(members, apricotway.Member{
				Node: apricotway.NodeID(node), Peers: s.address(node), State: apricotway.MemberAlive,
			})
		}
	}

	return members
}

// TestNeighbours guards the processes that cannot read the store while others can: revoked keys are refused there and all other
// keys still work, and they send nothing to servers that have left in the meantime. A process that reaches nobody accepts no key.
func TestNeighbours(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		network := &exchange{handlers: map[string]apricotway.PeerHandler{}}
		readerStore, receiverStore := newStore(), newStore()

		for _, s := range []*store{readerStore, receiverStore} {
			s.publish(3)
			s.register("a", false)
		}

		begin := func(node string, s *store) (*catalog.Catalog, *dispatch.Pool) {
			self := &process{exchange: network, node: node}
			return start(t, s, catalog.WithPeerNews(self, self, self), catalog.WithKeyValidity(4*time.Second))
		}

		begin("a", readerStore)
		first, firstPool := begin("b", receiverStore)
		second, _ := begin("c", receiverStore)

		wait(2 * time.Second)
		receiverStore.set(func(s *store) { s.down = true })
		readerStore.publish(8)
		readerStore.drop("a")
		readerStore.register("b", false)
		wait(4 * time.Second)

		for range 40 {
			wait(250 * time.Millisecond)

			for name, c := range map[string]*catalog.Catalog{"b": first, "c": second} {
				if got, want := version(c), uint64(8); got != want || !c.KeysFresh() {
					t.Fatalf("process %s: got version %d and fresh keys: %t, want %d and fresh ones", name, got, c.KeysFresh(), want)
				}
			}
		}

		wantKnown(t, firstPool, map[apricotway.BackendServerID]bool{"a": false, "b": true})

		network.mu.Lock()
		network.cut = true
		network.mu.Unlock()

		wait(5 * time.Second)

		if first.KeysFresh() {
			t.Error("got fresh keys at a process that reaches neither store nor others, want none")
		}
	})
}

// TestProofOfOlderVersion guards against revoked keys that are accepted since news pair an older version with the proof of a read that found
// a newer one.
func TestProofOfOlderVersion(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := newStore()
		s.publish(3)
		s.register("a", false)

		begin := time.Now()

		var (
			reader     *catalog.Catalog
			duringNews atomic.Bool
		)

		// A read for a newer proof finds the next version while the news are made.
		reader, _ = start(t, s, catalog.WithKeyValidity(100*time.Millisecond), catalog.WithBootClock(func() time.Duration {
			if duringNews.CompareAndSwap(true, false) {
				s.publish(8)

				for !reader.KeysFresh() {
					runtime.Gosched()
				}
			}

			return time.Hour + time.Since(begin)
		}))

		wait(time.Second)

		asked := reader.BootTime()

		duringNews.Store(true)

		news := reader.News("reader", catalog.Position{})

		if got, want := version(reader), uint64(8); got != want {
			t.Fatalf("got version %d after the news, want %d", got, want)
		}

		if got, want := reader.BootTime()-news.Age, asked; !news.Fresh || news.Version < 8 && got >= want {
			t.Errorf("got a proof of version %d as of %s after the news were asked for, want an earlier one", news.Version, got-want)
		}
	})
}

// TestListBehindOwnReads guards against whole lists without end: each one arrives after the process has read the store once more, and is
// ignored as the older one.
func TestListBehindOwnReads(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := newStore()
		s.publish(3)
		s.register("a", false)

		reader, _ := start(t, s)
		receiver, pool := start(t, s)
		wait(time.Second)

		whole := 0

		for range 10 {
			sent := receiver.BootTime()
			news := reader.News("reader", receiver.Position())

			if news.Whole {
				whole++

				// The transfer takes longer than the time between two own reads.
				wait(1500 * time.Millisecond)
			}

			receiver.ApplyNews(sent, news)
			wait(100 * time.Millisecond)
		}

		if got, want := whole, 2; got > want {
			t.Errorf("got %d whole lists, want at most %d", got, want)
		}

		s.register("b", false)
		s.drop("a")
		relay(reader, receiver, time.Second)
		wantKnown(t, pool, map[apricotway.BackendServerID]bool{"a": false, "b": true})
	})
}
