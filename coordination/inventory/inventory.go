// Package inventory maintains the set of known backend servers from the platform's host list, from this process's own calls,
// and from what other processes broadcast.
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

// DefaultPeriod is the time between two reads of the host list by a process that has no other readers to share them with.
// Together with the lag of the list it must stay below the 2 s after which a leaving backend server must receive no new work.
const DefaultPeriod = 500 * time.Millisecond

// Inventory is the set of known backend servers. Package state/inventory decides which servers are usable; this package does
// the reading and the broadcasting.
type Inventory struct {
	hosts      apricotway.HostList
	broadcasts apricotway.Broadcasts
	membership apricotway.Membership
	logger     logr.Logger
	period     time.Duration

	// reading is held while the host list is read; begun is the time at which the last read began.
	reading sync.Mutex
	begun   time.Time

	mu sync.RWMutex
	// listing is the result of the last successful read, sorted by server ID. It stays in use while the list is unreachable,
	// since that says nothing about the servers.
	listing inventory.Listing
	// observations holds what own calls found, and notices what was published, about servers that must not be used although
	// the lagging list still shows them. Entries are removed once they no longer have an effect.
	observations map[apricotway.BackendServerID]inventory.Observation
	notices      map[apricotway.BackendServerID]inventory.Known
	// pauses holds the ends of the pauses that servers have named in answers to this process.
	pauses map[apricotway.BackendServerID]time.Time
	// changes holds the published changes of the host list, own ones included. current is the listing with the changes applied.
	changes map[apricotway.BackendServerID]inventory.KnownChange
	current inventory.Listing
	// currentStale is set when the changes or the listing have been modified since current was computed.
	currentStale bool
	// lastHeard is the time of the last announcement by another process that it reads the list, and announced that of the last
	// own one. readingVersion and listVersion are the highest versions seen of the broadcast entries of TopicHostListReader and
	// TopicReadHostList.
	lastHeard, announced        time.Time
	readingVersion, listVersion uint64
	// rereadAsked is the time of the last request that all processes read the list.
	rereadAsked time.Time
	// subset holds the servers that this process uses; nil means all. It was computed for the members in subsetMembers and the
	// servers in subsetServers, and is computed again when either changes.
	subset        map[apricotway.BackendServerID]bool
	subsetMembers []apricotway.Member
	subsetServers []apricotway.BackendServerID
	// view is replaced as a whole and never modified in place. It was computed at the time mergedAt.
	view     inventory.View
	mergedAt time.Time
	// listeners are called with the servers after every change of the set.
	listeners []func([]apricotway.BackendServer)

	// received wakes the goroutine that merges notices and changes. A burst of them, for example when a zone is reclaimed,
	// causes only a few merges.
	received chan struct{}
	// reread wakes the goroutine that reads the list.
	reread    chan struct{}
	ready     chan struct{}
	readyOnce sync.Once
}

// Option configures an inventory under construction.
type Option func(*Inventory)

// WithLogger sets the logger.
func WithLogger(logger logr.Logger) Option {
	return func(i *Inventory) { i.logger = logger }
}

// WithPeriod sets the time between two reads of the host list by a process that does not share them.
func WithPeriod(period time.Duration) Option {
	return func(i *Inventory) { i.period = period }
}

// WithBroadcasts makes the inventory exchange notices with the other processes.
func WithBroadcasts(broadcasts apricotway.Broadcasts) Option {
	return func(i *Inventory) { i.broadcasts = broadcasts }
}

// WithMembership makes the members divide the servers of large services among themselves. Together with WithBroadcasts it also
// makes them share the reads of the host list.
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
		pauses:       map[apricotway.BackendServerID]time.Time{},
		changes:      map[apricotway.BackendServerID]inventory.KnownChange{},
		received:     make(chan struct{}, 1),
		reread:       make(chan struct{}, 1),
		ready:        make(chan struct{}),
	}
	for _, option := range options {
		option(i)
	}

	if i.broadcasts != nil {
		i.subscribe()
	}

	if i.sharesReads() {
		i.subscribeChanges()
	}

	supervisor.Add(apricotway.ServiceFunc{Name: "inventory", Func: i.runReads})

	// Notices are merged in a goroutine of their own, since a read of the host list takes seconds while it is unreachable.
	supervisor.Add(apricotway.ServiceFunc{Name: "inventory notices", Func: func(ctx context.Context) error {
		ticker := time.NewTicker(i.period)
		defer ticker.Stop()

		for {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-i.received:
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

// Refresh reads the host list now. Concurrent callers share one read that began after their call.
func (i *Inventory) Refresh(ctx context.Context) { i.read(ctx, true) }

// read reads the host list. If publish is set, it publishes leaving servers and changes to the other processes. After a request
// that all processes read the list nothing is published, because each process would broadcast what all have read.
func (i *Inventory) read(ctx context.Context, publish bool) {
	asked := time.Now()

	i.reading.Lock()
	defer i.reading.Unlock()

	if i.begun.After(asked) {
		return
	}

	i.begun = time.Now()
	i.refresh(ctx, publish)
}

// refresh does the work of read. The caller holds i.reading.
func (i *Inventory) refresh(ctx context.Context, publish bool) {
	servers, err := i.hosts.Hosts(ctx)
	if err != nil {
		i.logger.V(1).Info("reading the host list failed", "event", 211, "error", err.Error())
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

	if !i.sharesReads() {
		i.publishLeaves(servers)
	} else if publish {
		if !first {
			i.publishChanges(before)
		}

		i.publishLeaves(servers)
	}
}

// merge computes the view again, from the new listing if it is not nil, and calls the listeners if the set has changed.
func (i *Inventory) merge(listing *inventory.Listing) {
	now := time.Now()

	i.mu.Lock()

	if listing != nil {
		i.listing = *listing
		i.currentStale = true
	}

	if i.currentStale {
		i.current = inventory.Apply(i.listing, i.changes)
		i.currentStale = false
	}

	inventory.Forget(now, i.current, i.observations, i.notices)
	inventory.ForgetChanges(now, i.listing, i.changes)
	i.updateSubset()

	before := i.view.Servers
	i.mergedAt = now
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

// due reports whether the view has to be computed again although nothing was received: a lifetime has ended, or the members have
// changed.
func (i *Inventory) due() bool {
	i.mu.RLock()
	defer i.mu.RUnlock()

	return inventory.AnyExpired(i.mergedAt, time.Now(), i.observations, i.notices) || !i.sameMembers(i.currentMembers())
}

// currentMembers returns the members among which the servers are divided, with this process first.
func (i *Inventory) currentMembers() []apricotway.Member {
	if i.membership == nil {
		return nil
	}

	return inventory.SubsetMembers(i.membership.Members(), i.membership.Self())
}

func (i *Inventory) sameMembers(members []apricotway.Member) bool {
	return slices.EqualFunc(members, i.subsetMembers, func(a, b apricotway.Member) bool { return a.Node == b.Node && a.Zone == b.Zone })
}

// updateSubset computes the subset again if the members or the servers have changed. The caller holds the lock.
func (i *Inventory) updateSubset() {
	if i.membership == nil {
		return
	}

	members := i.currentMembers()
	sameServer := func(a apricotway.BackendServer, b apricotway.BackendServerID) bool { return a.ID == b }

	if i.sameMembers(members) && slices.EqualFunc(i.current.Servers, i.subsetServers, sameServer) {
		return
	}

	i.subsetMembers = members
	i.subsetServers = make([]apricotway.BackendServerID, len(i.current.Servers))

	for n, server := range i.current.Servers {
		i.subsetServers[n] = server.ID
	}

	i.subset = inventory.Subset(i.current.Servers, members[1:], members[0])
}

// Usable returns the servers of a service that may receive new work: those of the own subset that are live, not known to be dead and
// want no pause. The caller may modify the result.
func (i *Inventory) Usable(service apricotway.Service) []apricotway.BackendServer {
	i.mu.RLock()
	defer i.mu.RUnlock()

	usable := slices.Clone(i.view.Usable[service])
	if len(i.pauses) == 0 {
		return usable
	}

	now := time.Now()

	return slices.DeleteFunc(usable, func(s apricotway.BackendServer) bool { return now.Before(i.pauses[s.ID]) })
}

// All returns every known server of the host list, marked as leaving if a notice says so. The caller must not modify the result.
func (i *Inventory) All() []apricotway.BackendServer {
	i.mu.RLock()
	defer i.mu.RUnlock()

	return i.view.Servers
}

// Tracked returns the servers of the own subset, including unusable ones.
func (i *Inventory) Tracked() []apricotway.BackendServer {
	i.mu.RLock()
	defer i.mu.RUnlock()

	return slices.DeleteFunc(slices.Clone(i.view.Servers), func(s apricotway.BackendServer) bool {
		return i.subset != nil && !i.subset[s.ID]
	})
}

// Notify registers a function that is called with all servers after every change of the set. It must not block.
func (i *Inventory) Notify(listener func([]apricotway.BackendServer)) {
	i.mu.Lock()
	defer i.mu.Unlock()

	i.listeners = append(i.listeners, listener)
}

// Ready returns a channel that is closed once the host list has been read for the first time.
func (i *Inventory) Ready() <-chan struct{} { return i.ready }
