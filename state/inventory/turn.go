package inventory

import (
	"cmp"
	"slices"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/placement"
)

const (
	// shortTurnLength and longTurnLength are the times between two readings of the host list by any of the processes. Together
	// with the time that a notice needs to spread, they stay below the 2 s after which a leaving server must receive no new work.
	// With fewer than longTurnReaders processes, a missed turn costs more than the traffic of more frequent readings.
	shortTurnLength = 500 * time.Millisecond
	longTurnLength  = time.Second
	longTurnReaders = 128
)

// Readers returns the processes that take turns to read the host list: self and the members that are alive.
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
	if readers < longTurnReaders {
		return shortTurnLength
	}

	return longTurnLength
}

// InTurn reports whether it is the turn of a process to read the list at the given time. The readers need no messages to agree:
// a reader that is dead, suspended or has a wrong clock misses only its own turns, and the next turn belongs to another reader.
func InTurn(now time.Time, readers []apricotway.Member, self apricotway.NodeID) bool {
	turn := now.UnixNano() / int64(TurnLength(len(readers)))

	return placement.Turn(readers, uint64(turn)) == self
}

// NextTurn returns the time until the next turn starts.
func NextTurn(now time.Time, readers int) time.Duration {
	length := TurnLength(readers)

	return length - time.Duration(now.UnixNano()%int64(length))
}

const (
	// ChangePrecedence is the time for which a change received from another process overrides this process's own readings of the
	// list, which may be older than the reading that showed the change.
	ChangePrecedence = 15 * time.Second
	// ChangeLifetime is the time for which processes keep a change. A process that receives none for this long reads the list.
	ChangeLifetime = 10 * time.Minute
	// MaxChanges is the maximum number of changes of one reading that are published individually. Each costs about 10 KB in every
	// process, and a reading of 7,600 servers 1.6 MB, so that from about 150 changes on it is cheaper if each process reads the
	// list.
	MaxChanges = 64
)

// Change is what processes tell each other about the list entry of a server. Leaves are published as notices.
type Change struct {
	Server apricotway.BackendServer `json:"server"`
	Gone   bool                     `json:"gone,omitempty"`
}

// KnownChange is the newest change of a server.
type KnownChange struct {
	Change
	// Version is the time in milliseconds at which the reading that showed the change started, or the version of the change that
	// it corrects plus one.
	Version uint64
	// Received is the local time at which the change arrived.
	Received time.Time
}

// overrides reports whether the change overrides a reading of the list.
func (c KnownChange) overrides(listing Listing) bool {
	return c.Received.Add(ChangePrecedence).After(listing.Begun)
}

// Apply returns the listing with the changes applied. The servers of the listing are ordered by ID, and stay so.
func Apply(listing Listing, changes map[apricotway.BackendServerID]KnownChange) Listing {
	changed := map[apricotway.BackendServerID]bool{}

	for id, change := range changes {
		if change.overrides(listing) {
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
			// State and deadline come from the own reading, which may show a leave.
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

// Changes returns the differences between two readings. Both are ordered by ID.
func Changes(before, after Listing) []Change {
	var changes []Change

	known := make(map[apricotway.BackendServerID]apricotway.BackendServer, len(before.Servers))
	for _, server := range before.Servers {
		known[server.ID] = server
	}

	for _, server := range after.Servers {
		if last, ok := known[server.ID]; !ok || comparedFields(last) != comparedFields(server) {
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

// CountNewLeaves returns the number of servers that are leaving in the second reading, and whose leave was known neither from
// the first reading nor from a notice.
func CountNewLeaves(before, after Listing, notices map[apricotway.BackendServerID]Known) int {
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

// comparedFields returns a server without the fields that notices carry and those that only the planner of the fleet uses.
func comparedFields(server apricotway.BackendServer) apricotway.BackendServer {
	server.State, server.Deadline, server.ClientToken = "", time.Time{}, ""

	return server
}

// NextChange returns a change with the version under which the process that saw it in a reading publishes it, and false when a
// newer one is known.
func NextChange(now time.Time, listing Listing, known KnownChange, change Change) (KnownChange, bool) {
	version := uint64(listing.Begun.UnixMilli())

	if version <= known.Version {
		if known.overrides(listing) {
			return KnownChange{}, false
		}

		version = known.Version + 1
	}

	return KnownChange{Change: change, Version: version, Received: now}, true
}

// ForgetChanges drops the changes whose lifetime has ended and that no longer override the listing.
func ForgetChanges(now time.Time, listing Listing, changes map[apricotway.BackendServerID]KnownChange) {
	for id, change := range changes {
		if now.After(change.Received.Add(ChangeLifetime)) && !change.overrides(listing) {
			delete(changes, id)
		}
	}
}
