// Package inventory keeps the known backend servers current from the platform's host list and from own observations.
package inventory

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/thejerf/suture/v4"

	"github.com/apricotway/apricotway"
)

// DefaultPeriod is the time between two readings of the host list. Together with the list's own lag it has to stay below
// the 2 s after which a leaving backend server must receive no new work.
const DefaultPeriod = 500 * time.Millisecond

// Inventory is the set of known backend servers.
type Inventory struct {
	hosts  apricotway.HostList
	logger logr.Logger
	period time.Duration

	// reading is held while the host list is read. begun is the time at which the last reading began.
	reading sync.Mutex
	begun   time.Time

	mu sync.RWMutex
	// servers is replaced as a whole and never changed in place.
	servers []apricotway.BackendServer
	// lost holds servers that this process saw dying, with the time of the observation. They stay out of use although
	// the lagging list still shows them.
	lost map[apricotway.BackendServerID]time.Time
	// listeners are called with every change of the set.
	listeners []func([]apricotway.BackendServer)

	ready     chan struct{}
	readyOnce sync.Once
}

// Option changes an inventory under construction.
type Option func(*Inventory)

// WithLogger sets the logger.
func WithLogger(logger logr.Logger) Option {
	return func(i *Inventory) { i.logger = logger }
}

// WithPeriod sets the time between two readings of the host list.
func WithPeriod(period time.Duration) Option {
	return func(i *Inventory) { i.period = period }
}

// New returns an inventory and adds its poller to the supervisor.
func New(supervisor *suture.Supervisor, hosts apricotway.HostList, options ...Option) *Inventory {
	i := &Inventory{
		hosts:  hosts,
		logger: logr.Discard(),
		period: DefaultPeriod,
		lost:   map[apricotway.BackendServerID]time.Time{},
		ready:  make(chan struct{}),
	}
	for _, option := range options {
		option(i)
	}

	supervisor.Add(apricotway.ServiceFunc{Name: "inventory", Func: func(ctx context.Context) error {
		ticker := time.NewTicker(i.period)
		defer ticker.Stop()

		for {
			i.Refresh(ctx)

			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-ticker.C:
			}
		}
	}})

	return i
}

// Refresh reads the host list now. Callers that wait for each other share one reading that began after they asked.
func (i *Inventory) Refresh(ctx context.Context) {
	asked := time.Now()

	i.reading.Lock()
	defer i.reading.Unlock()

	if i.begun.After(asked) {
		return
	}

	i.begun = time.Now()
	i.refresh(ctx)
}

// refresh reads the host list. The caller holds reading.
func (i *Inventory) refresh(ctx context.Context) {
	servers, err := i.hosts.Hosts(ctx)
	if err != nil {
		// The last list stays in use: an unreachable list says nothing about the servers.
		i.logger.V(1).Info("host list not readable", "event", 211, "error", err.Error())
		return
	}

	slices.SortFunc(servers, func(a, b apricotway.BackendServer) int {
		return strings.Compare(string(a.ID), string(b.ID))
	})

	i.mu.Lock()
	i.forgetLost(servers)

	changed := !slices.Equal(servers, i.servers)
	i.servers = servers
	listeners := i.listeners
	i.mu.Unlock()

	i.readyOnce.Do(func() { close(i.ready) })

	if changed {
		for _, listener := range listeners {
			listener(servers)
		}
	}
}

// forgetLost drops observations on servers that the list no longer shows. The caller holds the lock.
func (i *Inventory) forgetLost(servers []apricotway.BackendServer) {
	for id := range i.lost {
		if !slices.ContainsFunc(servers, func(s apricotway.BackendServer) bool { return s.ID == id }) {
			delete(i.lost, id)
		}
	}
}

// Usable returns the servers of a service that may receive new work: live ones that this process did not see dying.
func (i *Inventory) Usable(service apricotway.Service) []apricotway.BackendServer {
	i.mu.RLock()
	defer i.mu.RUnlock()

	var usable []apricotway.BackendServer

	for _, server := range i.servers {
		if _, lost := i.lost[server.ID]; !lost && server.Service == service && server.State == apricotway.HostLive {
			usable = append(usable, server)
		}
	}

	return usable
}

// All returns every server of the last list. The result must not be changed.
func (i *Inventory) All() []apricotway.BackendServer {
	i.mu.RLock()
	defer i.mu.RUnlock()

	return i.servers
}

// MarkLost takes a server out of use that was seen dying.
func (i *Inventory) MarkLost(id apricotway.BackendServerID, now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()

	i.lost[id] = now
}

// Notify registers a function that is called with every change of the set. It must not block.
func (i *Inventory) Notify(listener func([]apricotway.BackendServer)) {
	i.mu.Lock()
	defer i.mu.Unlock()

	i.listeners = append(i.listeners, listener)
}

// Ready is closed once the host list was read for the first time.
func (i *Inventory) Ready() <-chan struct{} { return i.ready }
