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
	"github.com/apricotway/apricotway/state/inventory"
)

// DefaultPeriod is the time between two readings of the host list by a process that is alone. Together with the list's own
// lag it has to stay below the 2 s after which a leaving backend server must receive no new work.
const DefaultPeriod = 500 * time.Millisecond

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
	// changes holds what readings of other processes, and own ones, told of the listing. current is the listing with them.
	changes map[apricotway.BackendServerID]inventory.KnownChange
	current inventory.Listing
	// altered is set while the changes or the listing differ from those in current.
	altered bool
	// heard is the time of the last sign that another process reads the list, and announced that of the last own one.
	// readingVersion and listVersion are the highest versions of these entries.
	heard, announced            time.Time
	readingVersion, listVersion uint64
	// asked is the time of the last request that every process reads the list.
	asked time.Time
	// subset holds the servers that this process uses; nil stands for all. It was computed for the members in users and
	// the servers in divided, and is computed again when one of them changes.
	subset  map[apricotway.BackendServerID]bool
	users   []apricotway.Member
	divided []apricotway.BackendServerID
	// view is replaced as a whole and never changed in place. It was decided at the time merged.
	view   inventory.View
	merged time.Time
	// listeners are called with every change of the set.
	listeners []func([]apricotway.BackendServer)

	// arrived wakes the goroutine that takes over notices. A burst of them, such as the reclaim of a zone, costs few merges.
	arrived chan struct{}
	// reread wakes the goroutine that reads the list.
	reread    chan struct{}
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
		changes:      map[apricotway.BackendServerID]inventory.KnownChange{},
		arrived:      make(chan struct{}, 1),
		reread:       make(chan struct{}, 1),
		ready:        make(chan struct{}),
	}
	for _, option := range options {
		option(i)
	}

	if i.broadcasts != nil {
		i.subscribe()
	}

	if i.shares() {
		i.subscribeChanges()
	}

	supervisor.Add(apricotway.ServiceFunc{Name: "inventory", Func: i.runReadings})

	// Notices do not wait for the host list, whose reading takes seconds while it is out of reach.
	supervisor.Add(apricotway.ServiceFunc{Name: "inventory notices", Func: func(ctx context.Context) error {
		ticker := time.NewTicker(i.period)
		defer ticker.Stop()

		for {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-i.arrived:
			case <-ticker.C:
				if !i.due() {
					continue
				}
			}

			i.merge(nil)
		}
	}})

	return i
}

// Refresh reads the host list now. Callers that wait for each other share one reading that began after they asked.
func (i *Inventory) Refresh(ctx context.Context) { i.read(ctx, true) }

// read reads the host list and tells the other processes of leaves and changes if asked to. The readings that one process asks
// all of them for tell nothing: each would fill the broadcasts with what all have read.
func (i *Inventory) read(ctx context.Context, tell bool) {
	asked := time.Now()

	i.reading.Lock()
	defer i.reading.Unlock()

	if i.begun.After(asked) {
		return
	}

	i.begun = time.Now()
	i.refresh(ctx, tell)
}

// refresh reads the host list. The caller holds reading.
func (i *Inventory) refresh(ctx context.Context, tell bool) {
	servers, err := i.hosts.Hosts(ctx)
	if err != nil {
		i.logger.V(1).Info("host list not readable", "event", 211, "error", err.Error())
		return
	}

	slices.SortFunc(servers, func(a, b apricotway.BackendServer) int {
		return strings.Compare(string(a.ID), string(b.ID))
	})

	i.mu.RLock()
	before, first := i.current, i.listing.Begun.IsZero()
	i.mu.RUnlock()

	i.merge(&inventory.Listing{Servers: servers, Begun: i.begun})
	i.readyOnce.Do(func() { close(i.ready) })

	if !i.shares() {
		i.publishLeaves(servers)
	} else if tell {
		if !first {
			i.publishChanges(before)
		}

		i.publishLeaves(servers)
	}
}

// merge decides anew on all servers, with a new listing if there is one, and tells the listeners of a change.
func (i *Inventory) merge(listing *inventory.Listing) {
	now := time.Now()

	i.mu.Lock()

	if listing != nil {
		i.listing = *listing
		i.altered = true
	}

	if i.altered {
		i.current = inventory.Apply(i.listing, i.changes)
		i.altered = false
	}

	inventory.Forget(now, i.current, i.observations, i.notices)
	inventory.ForgetChanges(now, i.listing, i.changes)
	i.divide()

	before := i.view.Servers
	i.merged = now
	i.view = inventory.Merge(now, i.current, i.observations, i.notices, i.subset)
	servers, listeners := i.view.Servers, i.listeners
	changed := !slices.Equal(servers, before)

	i.mu.Unlock()

	if changed {
		for _, listener := range listeners {
			listener(servers)
		}
	}
}

// due reports whether time alone may change the view: a lifetime ends, or the members have changed.
func (i *Inventory) due() bool {
	i.mu.RLock()
	defer i.mu.RUnlock()

	return inventory.Ended(i.merged, time.Now(), i.observations, i.notices) || !i.sameUsers(i.currentUsers())
}

// currentUsers returns self and the members among which the servers are divided.
func (i *Inventory) currentUsers() []apricotway.Member {
	if i.membership == nil {
		return nil
	}

	return inventory.Users(i.membership.Members(), i.membership.Self())
}

func (i *Inventory) sameUsers(users []apricotway.Member) bool {
	return slices.EqualFunc(users, i.users, func(a, b apricotway.Member) bool { return a.Node == b.Node && a.Zone == b.Zone })
}

// divide computes the subset when the members or the servers have changed. The caller holds the lock.
func (i *Inventory) divide() {
	if i.membership == nil {
		return
	}

	users := i.currentUsers()
	sameServer := func(a apricotway.BackendServer, b apricotway.BackendServerID) bool { return a.ID == b }

	if i.sameUsers(users) && slices.EqualFunc(i.current.Servers, i.divided, sameServer) {
		return
	}

	i.users = users
	i.divided = make([]apricotway.BackendServerID, len(i.current.Servers))

	for n, server := range i.current.Servers {
		i.divided[n] = server.ID
	}

	i.subset = inventory.Subset(i.current.Servers, users[1:], users[0])
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
