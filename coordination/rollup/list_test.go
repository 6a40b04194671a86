package rollup_test

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/coordination/catalog"
	"github.com/apricotway/apricotway/internal/bubble"
	"github.com/apricotway/apricotway/state/tally"
)

// listCatalog is a catalog with a list of backend servers. Those of all processes have the same one.
type listCatalog struct {
	noCatalog

	servers []apricotway.BackendChange

	mu sync.Mutex
	// applied is the news with the list that was applied last.
	applied catalog.News
}

func (c *listCatalog) Position() catalog.Position {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.applied.Position
}

func (c *listCatalog) News(self apricotway.NodeID, after catalog.Position) catalog.News {
	news := catalog.News{Position: catalog.Position{Source: self, Sequence: 7}, Fresh: true, Version: 1}
	if after != news.Position {
		news.Whole = true
		news.Changes = append(news.Changes, c.servers...)
	}

	return news
}

func (c *listCatalog) ApplyNews(_ time.Duration, news catalog.News) {
	c.mu.Lock()
	defer c.mu.Unlock()

	if news.Whole {
		c.applied = news
	}
}

// link delivers the answers to one process at a limited rate. What is given up has to pass nevertheless.
type link struct {
	apricotway.Peers

	bytesPerSecond float64

	mu sync.Mutex
	// freeAt is the time at which the last answer has passed, and late the number of answers that came too late.
	freeAt time.Time
	late   int
}

func (l *link) Call(ctx context.Context, to netip.AddrPort, method apricotway.Method, payload []byte) ([]byte, error) {
	answer, err := l.Peers.Call(ctx, to, method, payload)
	if err != nil {
		return nil, err
	}

	l.mu.Lock()
	now := time.Now()

	if l.freeAt.Before(now) {
		l.freeAt = now
	}

	l.freeAt = l.freeAt.Add(time.Duration(float64(len(answer)) / l.bytesPerSecond * float64(time.Second)))
	passed := l.freeAt.Sub(now)
	l.mu.Unlock()

	select {
	case <-time.After(passed):
		return answer, nil
	case <-ctx.Done():
		l.mu.Lock()
		defer l.mu.Unlock()

		l.late++

		return nil, errors.Wrap(ctx.Err(), "wait for peer")
	}
}

// manyServers returns a list of backend servers.
func manyServers(count int) []apricotway.BackendChange {
	servers := make([]apricotway.BackendChange, count)
	for i := range servers {
		id := apricotway.BackendServerID(fmt.Sprintf("server-%07d", count-i))
		servers[i] = apricotway.BackendChange{ID: id, Backend: &apricotway.Backend{
			ID: id, Service: "search", Zone: "north", Version: "17", Slots: 8, Sequence: uint64(i),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 8221),
		}}
	}

	return servers
}

// TestListOnNarrowLink guards against reports that are given up without end, since each answer holds a whole list that takes longer than a
// report may take.
func TestListOnNarrowLink(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		const (
			servers = 7600
			// bytesPerSecond is what other traffic leaves of 10 Mbit/s.
			bytesPerSecond = 3e5
		)

		list := manyServers(servers)
		catalogs, links := map[apricotway.NodeID]*listCatalog{}, map[apricotway.NodeID]*link{}

		s := newSystem(t, func(n *node) {
			catalogs[n.name] = &listCatalog{servers: list}
			links[n.name] = &link{Peers: n, bytesPerSecond: bytesPerSecond}
			n.catalog, n.peers = catalogs[n.name], links[n.name]
		})
		s.run(20 * time.Second)

		holder := s.holder()

		for _, n := range s.nodes {
			if n == holder {
				continue
			}

			applied, late := catalogs[n.name].applied, links[n.name].late

			named := map[apricotway.BackendServerID]bool{}
			for _, change := range applied.Changes {
				named[change.ID] = true
			}

			if got, want := len(named), servers; got != want || len(applied.Changes) != want || applied.Source != holder.name {
				t.Errorf("%s: got %d servers in %d entries from %q, want %d from %s", n.name, got, len(applied.Changes), applied.Source, want,
					holder.name)
			}

			if got, want := late, 2; got > want {
				t.Errorf("%s: got %d answers given up, want at most %d", n.name, got, want)
			}
		}
	})
}

// lossyLink loses the reports of one process for some time.
type lossyLink struct {
	apricotway.Peers

	lost atomic.Bool
}

func (l *lossyLink) Call(ctx context.Context, to netip.AddrPort, method apricotway.Method, payload []byte) ([]byte, error) {
	if l.lost.Load() && method == "report" {
		<-ctx.Done()
		return nil, errors.Wrap(ctx.Err(), "wait for peer")
	}

	return l.Peers.Call(ctx, to, method, payload)
}

// TestUsageOfLateReports guards against usage reports that lack the calls of a live process, of which the holder knows that it has not reported
// since the end of the window.
func TestUsageOfLateReports(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		links := map[apricotway.NodeID]*lossyLink{}
		s := newSystem(t, func(n *node) {
			links[n.name] = &lossyLink{Peers: n}
			n.peers = links[n.name]
		})

		s.run(20 * time.Second)

		holder, counter := s.holder(), tally.New(window)
		other := s.nodes[0]

		if other == holder {
			other = s.nodes[1]
		}

		lossy := counter.Window(time.Now()) + 1

		for time.Now().Before(counter.End(lossy).Add(-2 * time.Second)) {
			s.run(100 * time.Millisecond)
		}

		links[other.name].lost.Store(true)
		s.run(4 * time.Second)
		links[other.name].lost.Store(false)
		s.run(4 * time.Second)

		s.mu.Lock()
		defer s.mu.Unlock()

		// Each process counts a call each 100 ms.
		want := processes * int64(window/(100*time.Millisecond))
		if got := s.reports[lossy]["w"]; got < want-processes || got > want+processes {
			t.Errorf("got %d calls in the report of the window, want %d", got, want)
		}
	})
}
