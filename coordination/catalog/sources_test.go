package catalog_test

import (
	"context"
	"testing"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/coordination/catalog"
	"github.com/apricotway/apricotway/internal/bubble"
	"github.com/apricotway/apricotway/state/changeset"
	"github.com/apricotway/apricotway/state/dispatch"
)

// forget removes the handler of a method, as of a process of a release that lacks it.
func (s *process) forget(method apricotway.Method) {
	s.mu.Lock()
	defer s.mu.Unlock()

	delete(s.handlers, s.address(s.node).String()+string(method))
}

// TestVersionThatNoAskedProcessHas guards against a process that doesn't read a newer configuration from the store because other processes
// that lack it, too, have answered.
func TestVersionThatNoAskedProcessHas(t *testing.T) {
	for _, validity := range []time.Duration{4 * time.Second, 0} {
		t.Run(validity.String(), func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				network := &exchange{handlers: map[string]apricotway.PeerHandler{}}
				s := newStore()
				s.publish(3)

				catalogs := map[string]*catalog.Catalog{}

				for _, node := range []string{"a", "b", "c"} {
					self := &process{exchange: network, node: node}
					catalogs[node], _ = start(t, s, catalog.WithPeerNews(self, self, self), catalog.WithKeyValidity(validity))
				}

				(&process{exchange: network, node: "a"}).forget("configuration")
				catalogs["a"].SetReader(true, time.Second)

				pass := func(duration time.Duration) {
					for range duration / (100 * time.Millisecond) {
						for _, node := range []string{"b", "c"} {
							news := catalogs["a"].News("a", catalogs[node].Position())
							news.Configuration = nil
							catalogs[node].ApplyNews(catalogs[node].BootTime(), news)
						}

						wait(100 * time.Millisecond)
					}
				}

				wait(time.Second)
				pass(time.Second)
				s.publish(8)
				pass(2 * time.Second)

				for _, node := range []string{"b", "c"} {
					if got, want := version(catalogs[node]), uint64(8); got != want {
						t.Errorf("process %s: got version %d 2 s after it was published, want %d; %+v", node, got, want, catalogs[node].Versions())
					}
				}

				pass(28 * time.Second)

				for _, node := range []string{"b", "c"} {
					if got, want := version(catalogs[node]), uint64(8); got != want {
						t.Errorf("process %s: got version %d 30 s after it was published, want %d; %+v", node, got, want, catalogs[node].Versions())
					}
				}
			})
		})
	}
}

// TestListWithoutConfiguration guards a process that the store doesn't answer against missing changes of the list of backend servers while
// it can't get a newer configuration.
func TestListWithoutConfiguration(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		network := &exchange{handlers: map[string]apricotway.PeerHandler{}}
		readerStore, receiverStore := newStore(), newStore()

		for _, s := range []*store{readerStore, receiverStore} {
			s.publish(3)
			s.register("a", false)
		}

		begin := func(node string, s *store) (*catalog.Catalog, *dispatch.Pool) {
			self := &process{exchange: network, node: node}
			return start(t, s, catalog.WithPeerNews(self, self, self))
		}

		begin("a", readerStore)
		begin("b", readerStore)
		_, pool := begin("c", receiverStore)

		wait(2 * time.Second)

		for _, node := range []string{"a", "b"} {
			(&process{exchange: network, node: node}).forget("configuration")
		}

		receiverStore.set(func(s *store) { s.down = true })
		readerStore.publishLarge(8)
		wait(2 * time.Second)
		readerStore.register("a", true)
		readerStore.register("b", false)
		wait(3 * time.Second)

		if !pool.Leaving("a") {
			t.Error("got a server that stays, want one that leaves")
		}

		wantKnown(t, pool, map[apricotway.BackendServerID]bool{"b": true})
	})
}

// TestLargeChangesFasterThanTheirParts guards against a process that fetches a configuration from another one again and again, which has a newer
// one each time before the last part has come, and never reads the store.
func TestLargeChangesFasterThanTheirParts(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		const bytesPerSecond = 100_000

		network := &exchange{handlers: map[string]apricotway.PeerHandler{}}
		network.deliver = func(ctx context.Context, answer []byte) error {
			select {
			case <-time.After(time.Duration(len(answer)) * time.Second / bytesPerSecond):
				return nil
			case <-ctx.Done():
				return ctx.Err()
			}
		}

		begin := func(node string, s *store) *catalog.Catalog {
			self := &process{exchange: network, node: node}
			c, _ := start(t, s, catalog.WithPeerNews(self, self, self))

			return c
		}

		s := newStore()
		s.publish(2)

		reader, receiver := begin("a", s), begin("c", s)
		begin("b", s)
		wait(time.Second)

		for v := uint64(3); v < 50; v++ {
			deployment := largeDeployment(v)
			for i := range 200 {
				deployment.Routes[i].Timeout = time.Duration(v)
			}

			s.set(func(s *store) { s.deployments = append(s.deployments, deployment) })
			relay(reader, receiver, 600*time.Millisecond)

			if got := receiver.Versions(); got.OutdatedFor > 2*time.Second {
				t.Fatalf("got %+v with a store that answers at once, want a configuration that is at most 2s behind", got)
			}
		}
	})
}

// TestChangeThatDoesNotApply guards against a version that is not put in force since the change after it, in the same answer, can't be used.
func TestChangeThatDoesNotApply(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := newStore()
		s.publish(1)

		c, _ := start(t, s)
		wait(time.Second)
		s.set(func(s *store) { s.down = true })

		document := func(version uint64) *changeset.Document {
			d, err := changeset.New(&apricotway.Deployment{Version: version}, apricotway.StorePosition{})
			if err != nil {
				t.Fatal(err)
			}

			return d
		}

		good, bad := changeset.Between(document(1), document(2)), changeset.Between(document(2), document(3))
		bad.Digest = nil

		news := catalog.News{Fresh: true, Version: 3}

		for _, change := range []*changeset.Change{good, bad} {
			content, err := change.Encode()
			if err != nil {
				t.Fatal(err)
			}

			news.Configuration = append(news.Configuration, content)
		}

		c.ApplyNews(c.BootTime(), news)

		if got, want := version(c), uint64(2); got != want {
			t.Errorf("got version %d, want %d", got, want)
		}
	})
}

// TestVersionOfProcessWithoutProof guards against a newer version that one process has and withholds, since it can't read the store at present.
func TestVersionOfProcessWithoutProof(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		network := &exchange{handlers: map[string]apricotway.PeerHandler{}}
		newerStore, olderStore := newStore(), newStore()
		newerStore.publish(3)
		olderStore.publish(3)

		begin := func(node string, s *store) *catalog.Catalog {
			self := &process{exchange: network, node: node}
			c, _ := start(t, s, catalog.WithPeerNews(self, self, self))

			return c
		}

		begin("a", olderStore)
		begin("b", newerStore)
		c := begin("c", olderStore)

		wait(time.Second)
		olderStore.set(func(s *store) { s.down = true })
		network.set(func() { network.cut = true })
		newerStore.publish(8)
		wait(100 * time.Millisecond)
		newerStore.set(func(s *store) { s.down = true })
		wait(5 * time.Second)
		network.set(func() { network.cut = false })
		wait(2 * time.Second)

		if got, want := version(c), uint64(8); got != want {
			t.Errorf("got version %d, want %d", got, want)
		}

		if c.KeysFresh() {
			t.Error("got fresh keys by a configuration that nobody could confirm, want none")
		}
	})
}
