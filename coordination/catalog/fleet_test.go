package catalog_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/coordination/catalog"
	"github.com/apricotway/apricotway/internal/bubble"
	"github.com/apricotway/apricotway/internal/stall"
)

// fleet is a network of many processes whose links carry a limited number of bytes a second.
type fleet struct {
	size           int
	bytesPerSecond int

	mu       sync.Mutex
	handlers map[string]apricotway.PeerHandler
	// free holds the times from which the links are free.
	free map[netip.AddrPort]time.Time
}

// fleetProcess implements the peers, the registry and the membership of one process.
type fleetProcess struct {
	*fleet

	index int
}

func (*fleetProcess) address(index int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(1000+index))
}

func (p *fleetProcess) member(index int) apricotway.Member {
	return apricotway.Member{Node: apricotway.NodeID(fmt.Sprint(index)), Peers: p.address(index), State: apricotway.MemberAlive}
}

func (p *fleetProcess) Self() apricotway.Member { return p.member(p.index) }

func (p *fleetProcess) Members() []apricotway.Member {
	var members []apricotway.Member

	for i := range p.size {
		if i != p.index {
			members = append(members, p.member(i))
		}
	}

	return members
}

func (p *fleetProcess) Register(method apricotway.Method, handler apricotway.PeerHandler) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.handlers[p.address(p.index).String()+string(method)] = handler
}

func (p *fleetProcess) Call(ctx context.Context, to netip.AddrPort, method apricotway.Method, payload []byte) ([]byte, error) {
	p.mu.Lock()
	handler := p.handlers[to.String()+string(method)]
	p.mu.Unlock()

	answer, err := handler(ctx, payload)
	if err != nil {
		return nil, err
	}

	return answer, p.carry(ctx, to, len(answer))
}

// carry sends an answer over the link of a process, in turns with the other answers there.
func (f *fleet) carry(ctx context.Context, from netip.AddrPort, size int) error {
	return f.carryAt(ctx, from, size, f.bytesPerSecond)
}

func (f *fleet) carryAt(ctx context.Context, from netip.AddrPort, size, bytesPerSecond int) error {
	const packet = 6000

	for ; size > 0; size -= packet {
		f.mu.Lock()

		now := time.Now()
		if f.free[from].Before(now) {
			f.free[from] = now
		}

		f.free[from] = f.free[from].Add(time.Duration(min(packet, size)) * time.Second / time.Duration(bytesPerSecond))
		arrival := f.free[from]
		f.mu.Unlock()

		select {
		case <-time.After(time.Until(arrival)):
		case <-ctx.Done():
			return ctx.Err()
		}
	}

	return nil
}

// fleetStore is the store as one process sees it: all reads share what it sends in a second, and those of a process its link.
type fleetStore struct {
	*store
	*fleet

	downlink netip.AddrPort
	// size is the size of a configuration in bytes.
	size int
}

func (s *fleetStore) transfer(ctx context.Context) error {
	const (
		chunk          = 15_000
		bytesPerSecond = 80_000_000
	)

	for sent := 0; sent < s.size; sent += chunk {
		if err := s.carryAt(ctx, netip.AddrPort{}, chunk, bytesPerSecond); err != nil {
			return context.Cause(ctx)
		}

		if err := s.carry(ctx, s.downlink, chunk); err != nil {
			return context.Cause(ctx)
		}

		stall.Progress(ctx)
	}

	return nil
}

func (s *fleetStore) Deployment(ctx context.Context) (*apricotway.Deployment, apricotway.StorePosition, error) {
	deployment, position, err := s.store.Deployment(ctx)
	if err == nil && deployment != nil {
		err = s.transfer(ctx)
	}

	return deployment, position, err
}

func (s *fleetStore) DeploymentAfter(
	ctx context.Context, after apricotway.StorePosition, wait time.Duration,
) (*apricotway.Deployment, apricotway.StorePosition, error) {
	deployment, position, err := s.store.DeploymentAfter(ctx, after, wait)
	if err == nil && deployment != nil {
		err = s.transfer(ctx)
	}

	return deployment, position, err
}

// TestLargeChangeReachesAllProcesses guards against many processes that fetch a configuration from the same one, whose link can't carry it to
// all of them in the time of a request.
func TestLargeChangeReachesAllProcesses(t *testing.T) {
	for _, test := range []struct {
		routes, size, bytesPerSecond int
	}{{1400, 71, 1_250_000}, {1400, 71, 600_000}, {1400, 295, 1_250_000}, {3000, 71, 1_250_000}} {
		t.Run(fmt.Sprintf("%d routes, %d processes, %d bytes a second", test.routes, test.size, test.bytesPerSecond), func(t *testing.T) {
			largeChange(t, test.routes, test.size, test.bytesPerSecond)
		})
	}
}

// manyRoutes returns a configuration with the names and paths that operators give.
func manyRoutes(version uint64, routes int) *apricotway.Deployment {
	random := rand.New(rand.NewPCG(1, 1))
	d := &apricotway.Deployment{Version: version}

	for i := range routes {
		name := fmt.Sprintf("%c%c%c%c%d", 'a'+random.IntN(26), 'a'+random.IntN(26), 'a'+random.IntN(26), 'a'+random.IntN(26), random.IntN(1000))
		d.Routes = append(d.Routes, apricotway.Route{
			Name: name, Host: "ficu95.example", PathPrefix: fmt.Sprintf("/%s/%x/", name, i), Kind: apricotway.RouteSafe, Timeout: 3 * time.Second,
			Objective: time.Second, MaxAttempts: 3,
			Targets: []apricotway.RouteTarget{{Service: apricotway.Service(fmt.Sprintf("huvo%d", random.IntN(9))), Weight: 1}},
		})
	}

	return d
}

func largeChange(t *testing.T, routes, size, bytesPerSecond int) {
	const period = 500 * time.Millisecond

	bubble.Test(t, func(t *testing.T) {
		network := &fleet{
			size: size, bytesPerSecond: bytesPerSecond, handlers: map[string]apricotway.PeerHandler{}, free: map[netip.AddrPort]time.Time{},
		}

		s := newStore()
		s.publish(3)

		var catalogs []*catalog.Catalog

		for i := range size {
			self := &fleetProcess{network, i}
			own := &fleetStore{store: s, fleet: network, downlink: netip.AddrPortFrom(netip.IPv6Loopback(), uint16(i)), size: routes * 260}
			c, _ := start(t, own, catalog.WithPeerNews(self, self, self))
			catalogs = append(catalogs, c)
		}

		catalogs[0].SetReader(true, period)
		wait(3 * time.Second)

		ctx, cancel := context.WithCancel(t.Context())

		var group sync.WaitGroup

		for i := 1; i < size; i++ {
			group.Go(func() {
				<-time.After(period * time.Duration(i) / time.Duration(size))

				for ctx.Err() == nil {
					sent := catalogs[i].BootTime()
					news := catalogs[0].News("0", catalogs[i].Position())
					limited, end := context.WithTimeout(ctx, time.Second)

					bytes := 1000
					for _, change := range news.Configuration {
						bytes += len(change)
					}

					if err := network.carry(limited, netip.MustParseAddrPort("127.0.0.1:1000"), bytes); err == nil {
						catalogs[i].ApplyNews(sent, news)
					}

					end()
					<-time.After(period)
				}
			})
		}

		wait(3 * time.Second)

		s.set(func(s *store) { s.deployments = append(s.deployments, manyRoutes(8, routes)) })
		wait(2 * time.Second)

		behind, outdated := 0, 0

		for _, c := range catalogs {
			if version(c) < 8 {
				behind++
			}

			if c.Outdated() {
				outdated++
			}
		}

		if behind > 0 {
			t.Errorf("got %d of %d processes without the version 2s after it was published, %d of which refuse calls, want none", behind, size, outdated)
		}

		cancel()
		group.Wait()
	})
}
