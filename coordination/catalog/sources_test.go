package catalog_test

import (
	"testing"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/coordination/catalog"
	"github.com/apricotway/apricotway/internal/bubble"
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
