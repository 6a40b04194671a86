package origins_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/coordination/origins"
	"github.com/apricotway/apricotway/internal/boottime"
	"github.com/apricotway/apricotway/internal/bubble"
)

// TestStreamsBegunBeforeVersionJoinedWhileNoProcessRan guards against refusing the streams of a time with one version because a second one joined
// while all processes were down.
func TestStreamsBegunBeforeVersionJoinedWhileNoProcessRan(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := newStore()
		_, processes := startNetwork(t, s, s, s)

		for _, p := range processes {
			p.list("v1")
		}

		<-time.After(time.Second)

		const count = 300

		for i := range count {
			processes[i%len(processes)].Began(time.Now(), apricotway.AttemptID(fmt.Sprint(i)), server("v1"))
			<-time.After(10 * time.Millisecond)
		}

		for _, p := range processes {
			p.kill()
		}

		again := start(t, s, "v1", "v2")
		<-time.After(time.Second)

		known := 0

		for i := range count {
			if again.Find(t.Context(), service, apricotway.AttemptID(fmt.Sprint(i))).Allows(apricotway.Lineage{Software: "v1"}) {
				known++
			}
		}

		// Streams of 3 s; those of the last 0.6 s may not be written yet.
		if got, want := known, count*8/10; got < want {
			t.Errorf("got %d of %d streams whose version is known, want at least %d", got, count, want)
		}

		again.kill()
	})
}

// TestAppendsOfManyProcesses guards against appends whose number grows with the number of processes, and against first events that are held for
// longer then.
func TestAppendsOfManyProcesses(t *testing.T) {
	for _, test := range []struct {
		processes, writers int
	}{
		{8, 1}, {64, 2},
	} {
		t.Run(fmt.Sprint(test.processes), func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				s := newStore()
				_, processes := startNetwork(t, sameStore(s, test.processes)...)

				for _, p := range processes {
					p.list("v1", "v2")
				}

				<-time.After(2 * time.Second)

				before, started, longest := s.appendCount(), time.Now(), time.Duration(0)

				for i := range 200 {
					attempt, p, began := apricotway.AttemptID(fmt.Sprint(i)), processes[i%len(processes)], time.Now()
					sharing := p.Began(began, attempt, server("v1"))
					p.settle(t, attempt, sharing)
					longest = max(longest, time.Since(began))
					<-time.After(5*time.Millisecond - time.Since(began)%(5*time.Millisecond))
				}

				// Each writer appends 25 times a second at most.
				if got, want := s.appendCount()-before, test.writers*(int(time.Since(started)/(40*time.Millisecond))+1); got > want {
					t.Errorf("got %d appends, want at most %d", got, want)
				}

				// The time for which a first event is held.
				if got, want := longest, 80*time.Millisecond; got > want {
					t.Errorf("got %v until a beginning was in the store, want at most %v", got, want)
				}

				for _, p := range processes {
					p.kill()
				}
			})
		})
	}
}

// TestBeginningsWithoutWriter guards against losing beginnings because the process that writes them for others stands still or can't reach the
// store.
func TestBeginningsWithoutWriter(t *testing.T) {
	for _, test := range []struct {
		name string
		fail func(n *network, s *awayStore)
	}{
		{"writer stands still", func(n *network, _ *awayStore) { n.stop(0) }},
		{"writer without store", func(_ *network, s *awayStore) { s.away.Store(true) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				s := newStore()
				cut := &awayStore{Store: s}
				n, processes := startNetwork(t, cut, s, s)

				for _, p := range processes {
					p.list("v1", "v2")
				}

				<-time.After(time.Second)
				test.fail(n, cut)
				processes[1].Began(time.Now(), "x", server("v2"))
				<-time.After(700 * time.Millisecond)

				for _, p := range processes {
					p.kill()
				}

				again := start(t, s, "v1", "v2")
				<-time.After(time.Second)
				again.wantVersion(t, "x", "v2")
				again.kill()
			})
		})
	}
}

func sameStore(s *store, count int) []origins.Store {
	stores := make([]origins.Store, count)
	for i := range stores {
		stores[i] = s
	}

	return stores
}

// TestDeferredBeginningsWithoutWriter guards against losing the beginnings of a time with one version because the store refuses the process that
// writes them for others.
func TestDeferredBeginningsWithoutWriter(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := newStore()
		cut := &awayStore{Store: s}
		_, processes := startNetwork(t, cut, s, s)

		for _, p := range processes {
			p.list("v1")
		}

		<-time.After(time.Second)
		cut.away.Store(true)
		processes[1].Began(time.Now(), "x", server("v1"))
		<-time.After(5 * time.Second)

		for _, p := range processes {
			p.kill()
		}

		again := start(t, s, "v1", "v2")
		<-time.After(time.Second)
		again.wantVersion(t, "x", "v1")
		again.kill()
	})
}

// TestAppendsWhileNobodyIsReady guards against every process appending for itself as often as a writer, since after a start of all it knows of no
// other that is ready.
func TestAppendsWhileNobodyIsReady(t *testing.T) {
	const members, running, seconds = 390, 64, 4

	bubble.Test(t, func(t *testing.T) {
		s := newStore()
		n, processes := startNetworkOf(t, members, sameStore(s, running)...)

		for i := range n.members {
			n.members[i].Ready = false
		}

		for _, p := range processes {
			p.list("v1", "v2")
		}

		<-time.After(2 * time.Second)
		before := s.appendCount()

		for i := range seconds * 100 {
			for j, p := range processes {
				p.Began(time.Now(), apricotway.AttemptID(fmt.Sprint(i, "-", j)), server("v1"))
			}

			<-time.After(10 * time.Millisecond)
		}

		// A quarter of the 400 writes a second that all processes share, and one append of each at once.
		if got, want := s.appendCount()-before, running+100*seconds; got > want {
			t.Errorf("got %d appends, want at most %d", got, want)
		}

		for _, p := range processes {
			p.kill()
		}
	})
}

// hungStore is a store whose appends may hang.
type hungStore struct {
	*store

	hangs atomic.Bool
}

// Append implements apricotway.Log.
func (s *hungStore) Append(ctx context.Context, stream apricotway.Stream, records []apricotway.Record) (apricotway.Offset, error) {
	if s.hangs.Load() {
		<-ctx.Done()
		return 0, ctx.Err()
	}

	return s.store.Append(ctx, stream, records)
}

// TestAppendsAfterOutage guards against a writer that first appends what processes have given up when the store is back.
func TestAppendsAfterOutage(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := &hungStore{store: newStore()}
		stores := make([]origins.Store, 32)

		for i := range stores {
			stores[i] = s
		}

		_, processes := startNetwork(t, stores...)

		for _, p := range processes {
			p.list("v1", "v2")
		}

		<-time.After(time.Second)
		s.hangs.Store(true)

		for i := range 300 {
			for j, p := range processes {
				p.Began(time.Now(), apricotway.AttemptID(fmt.Sprint(i, "-", j)), server("v1"))
			}

			<-time.After(100 * time.Millisecond)
		}

		s.hangs.Store(false)
		// The processes have tried again, and ask the writer again, after this.
		<-time.After(15 * time.Second)

		for k := range 10 {
			p, attempt, began := processes[k%len(processes)], apricotway.AttemptID(fmt.Sprint("after-", k)), time.Now()
			p.settle(t, attempt, p.Began(began, attempt, server("v1")))

			if got, want := time.Since(began), 200*time.Millisecond; got > want {
				t.Errorf("got %v until a beginning was in the store, want at most %v", got, want)
			}

			<-time.After(500 * time.Millisecond)
		}

		for _, p := range processes {
			p.kill()
		}
	})
}

// TestDeferredBeginningAtRestartedServer guards against a stream going on at the version of the last entry of its server, which had started again
// with another one when the stream began.
func TestDeferredBeginningAtRestartedServer(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := newStore()
		p := start(t, s, "v1")
		p.register.SetListed(boottime.Now())
		<-time.After(time.Second)

		restarted := time.Now()

		<-time.After(500 * time.Millisecond)
		p.Began(time.Now(), "x", server("v1"))
		<-time.After(time.Second)
		p.kill()

		again := startWith(t, s)
		other, same := server("v1"), server("v1")
		other.ID = "other"
		same.Version, same.Born = "v2", restarted
		again.register.Update(time.Now(), same)
		again.register.Update(time.Now(), other)
		<-time.After(2 * time.Second)
		again.wantVersion(t, "x", "")
		again.kill()
	})
}
