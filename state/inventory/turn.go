package inventory

import (
	"cmp"
	"slices"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/placement"
)

const (
	// shortTurn and longTurn are the times between two readings of the host list by any of the processes. Together with the
	// spread of a notice they stay below the 2 s after which a leaving server must receive no new work. Below manyReaders a
	// turn that is left out costs more than the bytes of further readings.
	shortTurn   = 500 * time.Millisecond
	longTurn    = time.Second
	manyReaders = 128
)

// Readers returns the processes that read the host list in turn: self and the members that are alive.
func Readers(members []apricotway.Member, self apricotway.Member) []apricotway.Member {
	readers := []apricotway.Member{self}

	for _, member := range members {
		if member.State == apricotway.MemberAlive {
			readers = append(readers, member)
		}
	}

	return readers
}

// TurnLength returns the time between two readings of the list by any of the readers.
func TurnLength(readers int) time.Duration {
	if readers < manyReaders {
		return shortTurn
	}

	return longTurn
}

// InTurn reports whether a process reads the list in the turn that holds the given time. No message is needed for that: a
// reader that is dead, frozen or wrong about the time leaves out its own turns only, and the next turn is another one's.
func InTurn(now time.Time, readers []apricotway.Member, self apricotway.NodeID) bool {
	turn := now.UnixNano() / int64(TurnLength(len(readers)))

	return placement.Turn(readers, uint64(turn)) == self
}

// NextTurn returns the time until the next turn begins.
func NextTurn(now time.Time, readers int) time.Duration {
	length := TurnLength(readers)

	return length - time.Duration(now.UnixNano()%int64(length))
}

const (
	// Settle is the time for which a change that a process heard of counts against its own readings of the list, which may
	// be older than the reading that showed the change.
	Settle = 15 * time.Second
	// ChangeLifetime is the time for which processes keep a change. One that hears of none for so long reads the list.
	ChangeLifetime = 10 * time.Minute
	// MaxChanges is the number of changes of one reading that are told one by one. Each costs about 10 KB at every process,
	// and a reading of 7,600 servers 1.6 MB, so that from about 150 changes on it is cheaper that each process reads the list.
	MaxChanges = 64
)

// Change is what processes tell each other about the listing of a server. Leaves are told by notices.
type Change struct {
	Server apricotway.BackendServer `json:"server"`
	Gone   bool                     `json:"gone,omitempty"`
}

// KnownChange is the newest change of a server.
type KnownChange struct {
	Change
	// Version is the time in milliseconds at which the reading began that showed the change, or one above the version of the
	// change that it corrects.
	Version uint64
	// Received is the local time of the arrival.
	Received time.Time
}

// holds reports whether the change counts against a reading of the list.
func (c KnownChange) holds(listing Listing) bool { return c.Received.Add(Settle).After(listing.Begun) }

// Apply returns the listing as the changes have it. The listing's servers are in the order of their ids, and stay so.
func Apply(listing Listing, changes map[apricotway.BackendServerID]KnownChange) Listing {
	changed := map[apricotway.BackendServerID]bool{}

	for id, change := range changes {
		if change.holds(listing) {
			changed[id] = true
		}
	}

	if len(changed) == 0 {
		return listing
	}

	servers := make([]apricotway.BackendServer, 0, len(listing.Servers)+len(changed))

	for _, server := range listing.Servers {
		if !changed[server.ID] {
			servers = append(servers, server)
		} else if change := changes[server.ID]; !change.Gone {
			// The own reading may know of a leave.
			change.Server.State, change.Server.Deadline = server.State, server.Deadline
			servers = append(servers, change.Server)
		}

		delete(changed, server.ID)
	}

	for id := range changed {
		if change := changes[id]; !change.Gone {
			servers = append(servers, change.Server)
		}
	}

	slices.SortFunc(servers, func(a, b apricotway.BackendServer) int { return cmp.Compare(a.ID, b.ID) })

	return Listing{Servers: servers, Begun: listing.Begun}
}

// Changes returns what a reading shows that was not known before. Both listings are in the order of their ids.
func Changes(before, after Listing) []Change {
	var changes []Change

	known := make(map[apricotway.BackendServerID]apricotway.BackendServer, len(before.Servers))
	for _, server := range before.Servers {
		known[server.ID] = server
	}

	for _, server := range after.Servers {
		if last, ok := known[server.ID]; !ok || listed(last) != listed(server) {
			server.ClientToken = ""
			changes = append(changes, Change{Server: server})
		}

		delete(known, server.ID)
	}

	for _, server := range before.Servers {
		if _, gone := known[server.ID]; gone {
			changes = append(changes, Change{Server: apricotway.BackendServer{ID: server.ID}, Gone: true})
		}
	}

	return changes
}

// Leaves returns the number of servers that a reading shows as leaving, and of which neither the last one nor a notice has told.
func Leaves(before, after Listing, notices map[apricotway.BackendServerID]Known) int {
	count := 0
	known := map[apricotway.BackendServerID]bool{}

	for _, server := range before.Servers {
		known[server.ID] = server.State == apricotway.HostLeaving
	}

	for _, server := range after.Servers {
		if server.State == apricotway.HostLeaving && !known[server.ID] && notices[server.ID].State != NoticeLeaving {
			count++
		}
	}

	return count
}

// listed returns a server without what notices tell and what only the planner of the fleet uses.
func listed(server apricotway.BackendServer) apricotway.BackendServer {
	server.State, server.Deadline, server.ClientToken = "", time.Time{}, ""

	return server
}

// Tell returns a change with the version under which a process publishes it that saw it in a reading, and false when a newer
// one is known.
func Tell(now time.Time, listing Listing, known KnownChange, change Change) (KnownChange, bool) {
	version := uint64(listing.Begun.UnixMilli())

	if version <= known.Version {
		if known.holds(listing) {
			return KnownChange{}, false
		}

		version = known.Version + 1
	}

	return KnownChange{Change: change, Version: version, Received: now}, true
}

// ForgetChanges drops the changes whose lifetime has ended and that no longer count against the listing.
func ForgetChanges(now time.Time, listing Listing, changes map[apricotway.BackendServerID]KnownChange) {
	for id, change := range changes {
		if now.After(change.Received.Add(ChangeLifetime)) && !change.holds(listing) {
			delete(changes, id)
		}
	}
}
