// Package inventory keeps the known backend servers current from the platform's host list, from own observations and from
// the notices of other processes.
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
	"github.com/apricotway/apricotway/internal/pause"
	"github.com/apricotway/apricotway/state/inventory"
)

// DefaultPeriod is the time between two readings of the host list. Together with the list's own lag it has to stay below
// the 2 s after which a leaving backend server must receive no new work.
const DefaultPeriod = 500 * time.Millisecond

const (
	// memberPeriod is the time between two readings of the host list by any of the processes. They tell each other what
	// they find, so that more processes may each read less often. One reading of 7,600 servers takes tens of milliseconds of
	// CPU.
	memberPeriod = 50 * time.Millisecond
	// longestPeriod bounds the time after which a process that hears no notices finds out by itself.
	longestPeriod = 10 * time.Second
)

// Inventory is the set of known backend servers. The decisions are those of the package state/inventory.
type Inventory struct {
	hosts      apricotway.HostList
	broadcasts apricotway.Broadcasts
	membership apricotway.Membership
	logger     logr.Logger
	period     time.Duration

	// reading is held while the host list is read. begun is the time at which the last reading began.
	reading sync.Mutex
	begun   time.Time

	mu sync.RWMutex
	// listing is the last successful reading; its servers are in the order of their ids. An unreachable list says nothing
	// about the servers, so the last one stays in use.
	listing inventory.Listing
	// observations and notices hold what takes servers out of use although the lagging list still shows them. Both are
	// forgotten once they no longer count.
	observations map[apricotway.BackendServerID]inventory.Observation
	notices      map[apricotway.BackendServerID]inventory.Known
	// subset holds the servers that this process uses; nil stands for all. It was computed for the members in users and
	// the servers in divided, and is computed again when one of them changes.
	subset  map[apricotway.BackendServerID]bool
	users   []apricotway.Member
	divided []apricotway.BackendServerID
	// view is replaced as a whole and never changed in place.
	view inventory.View
	// listeners are called with every change of the set.
	listeners []func([]apricotway.BackendServer)

	// arrived wakes the goroutine that takes over notices. A burst of them, such as the reclaim of a zone, costs few merges.
	arrived   chan struct{}
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

// WithBroadcasts exchanges notices with the other processes.
func WithBroadcasts(broadcasts apricotway.Broadcasts) Option {
	return func(i *Inventory) { i.broadcasts = broadcasts }
}

// WithMembership divides the servers of large services over the members.
func WithMembership(membership apricotway.Membership) Option {
	return func(i *Inventory) { i.membership = membership }
}

// New returns an inventory and adds its goroutines to the supervisor.
func New(supervisor *suture.Supervisor, hosts apricotway.HostList, options ...Option) *Inventory {
	i := &Inventory{
		hosts:        hosts,
		logger:       logr.Discard(),
		period:       DefaultPeriod,
		observations: map[apricotway.BackendServerID]inventory.Observation{},
		notices:      map[apricotway.BackendServerID]inventory.Known{},
		arrived:      make(chan struct{}, 1),
		ready:        make(chan struct{}),
	}
	for _, option := range options {
		option(i)
	}

	if i.broadcasts != nil {
		i.subscribe()
	}

	supervisor.Add(apricotway.ServiceFunc{Name: "inventory", Func: func(ctx context.Context) error {
		for {
			i.Refresh(ctx)

			if !pause.For(ctx, i.readPeriod()) {
				return ctx.Err()
			}
		}
	}})

	// Notices do not wait for the host list, whose reading takes seconds while it is out of reach.
	supervisor.Add(apricotway.ServiceFunc{Name: "inventory notices", Func: func(ctx context.Context) error {
		ticker := time.NewTicker(i.period)
		defer ticker.Stop()

		for {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-i.arrived:
			case <-ticker.C: // lifetimes end
			}

			i.merge(nil)
		}
	}})

	return i
}

// readPeriod returns the time until the next reading of the host list. A process that is cut off from the others reads as
// often as one alone.
func (i *Inventory) readPeriod() time.Duration {
	if i.broadcasts == nil || i.membership == nil {
		return i.period
	}

	readers := 1

	for _, member := range i.membership.Members() {
		if member.State == apricotway.MemberAlive {
			readers++
		}
	}

	return min(max(i.period, time.Duration(readers)*memberPeriod), max(i.period, longestPeriod))
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
		i.logger.V(1).Info("host list not readable", "event", 211, "error", err.Error())
		return
	}

	slices.SortFunc(servers, func(a, b apricotway.BackendServer) int {
		return strings.Compare(string(a.ID), string(b.ID))
	})

	i.merge(&inventory.Listing{Servers: servers, Begun: i.begun})
	i.readyOnce.Do(func() { close(i.ready) })
	i.publishLeaves(servers)
}

// merge decides anew on all servers, with a new listing if there is one, and tells the listeners of a change.
func (i *Inventory) merge(listing *inventory.Listing) {
	now := time.Now()

	i.mu.Lock()

	if listing != nil {
		i.listing = *listing
	}

	inventory.Forget(now, i.listing, i.observations, i.notices)
	i.divide()

	before := i.view.Servers
	i.view = inventory.Merge(now, i.listing, i.observations, i.notices, i.subset)
	servers, listeners := i.view.Servers, i.listeners
	changed := !slices.Equal(servers, before)

	i.mu.Unlock()

	if changed {
		for _, listener := range listeners {
			listener(servers)
		}
	}
}

// divide computes the subset when the members or the servers have changed. The caller holds the lock.
func (i *Inventory) divide() {
	if i.membership == nil {
		return
	}

	self := i.membership.Self()
	users := inventory.Users(i.membership.Members(), self)
	sameUser := func(a, b apricotway.Member) bool { return a.Node == b.Node && a.Zone == b.Zone }
	sameServer := func(a apricotway.BackendServer, b apricotway.BackendServerID) bool { return a.ID == b }

	if slices.EqualFunc(users, i.users, sameUser) && slices.EqualFunc(i.listing.Servers, i.divided, sameServer) {
		return
	}

	i.users = users
	i.divided = make([]apricotway.BackendServerID, len(i.listing.Servers))

	for n, server := range i.listing.Servers {
		i.divided[n] = server.ID
	}

	i.subset = inventory.Subset(i.listing.Servers, users[1:], self)
}

// Usable returns the servers of a service that may receive new work: live ones of the own subset that were not seen dying.
// The caller may change the result.
func (i *Inventory) Usable(service apricotway.Service) []apricotway.BackendServer {
	i.mu.RLock()
	defer i.mu.RUnlock()

	return slices.Clone(i.view.Usable[service])
}

// All returns every server of the last list, with the leaves known from notices. The result must not be changed.
func (i *Inventory) All() []apricotway.BackendServer {
	i.mu.RLock()
	defer i.mu.RUnlock()

	return i.view.Servers
}

// Tracked returns the servers of the own subset, whether usable or not.
func (i *Inventory) Tracked() []apricotway.BackendServer {
	i.mu.RLock()
	defer i.mu.RUnlock()

	return slices.DeleteFunc(slices.Clone(i.view.Servers), func(s apricotway.BackendServer) bool {
		return i.subset != nil && !i.subset[s.ID]
	})
}

// Notify registers a function that is called with every change of the set. It must not block.
func (i *Inventory) Notify(listener func([]apricotway.BackendServer)) {
	i.mu.Lock()
	defer i.mu.Unlock()

	i.listeners = append(i.listeners, listener)
}

// Ready is closed once the host list was read for the first time.
func (i *Inventory) Ready() <-chan struct{} { return i.ready }
