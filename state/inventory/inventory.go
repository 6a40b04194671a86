// Package inventory decides which backend servers may receive work. It combines the platform's host list, this process's own
// observations and the notices of other processes.
//
// The rules, in descending order of precedence: a leave, from the list or a notice, takes a server out of use, because a host
// that is taken away does not come back under the same ID. An own observation overrides notices that a server died. A notice
// that a server died overrides the list, which lags behind. A server that no rule takes out of use is used as listed.
package inventory

import (
	"time"

	"github.com/apricotway/apricotway"
)

const (
	// DeathLifetime is the time for which an observed death takes a server out of use unless it is observed again. A false one,
	// such as a refused connection to an overloaded server, costs the process that observed it the capacity of that server for at
	// most this time.
	DeathLifetime = time.Minute
	// LeaveGrace is the time after the deadline for which a leave notice overrides any list. It covers the lag of the list and
	// differences between clocks.
	LeaveGrace = 15 * time.Second
	// versionRetention is the time for which the version of an expired notice is kept, so that the next notice on the server does
	// not start with a lower version while other processes still hold the old one.
	versionRetention = time.Minute
)

// NoticeState is the state of a server in a notice.
type NoticeState string

// The values of NoticeState.
const (
	// NoticeLeaving announces that the server's host will be taken away at the deadline.
	NoticeLeaving NoticeState = "leaving"
	// NoticeDead reports that the server was observed to be dead.
	NoticeDead NoticeState = "dead"
	// NoticeAlive corrects a false NoticeDead.
	NoticeAlive NoticeState = "alive"
)

// rank orders notices that were published concurrently, without knowledge of each other.
func (s NoticeState) rank() uint64 {
	switch s {
	case NoticeLeaving:
		return 3
	case NoticeDead:
		return 2
	case NoticeAlive:
		return 1
	default: // a state that only a newer release knows
		return 0
	}
}

// rankBits is the number of low bits of a version that hold the rank.
const rankBits = 2

// Notice is what processes tell each other about a server.
type Notice struct {
	State NoticeState `json:"state"`
	// Deadline is the time at which the host is taken away; zero unless the state is NoticeLeaving.
	Deadline time.Time `json:"deadline,omitzero"`
}

// Known is the newest notice on a server.
type Known struct {
	Notice
	// Version orders the notices on one server. The low bits hold the rank of the state and the other bits are a counter, so that
	// processes that publish different notices concurrently agree on the winner, and equal notices have the same version.
	Version uint64
	// Received is the local time at which the notice arrived. The lifetime of a death notice or of its correction starts there.
	Received time.Time
}

func (k Known) expires() time.Time {
	if k.State != NoticeLeaving {
		return k.Received.Add(DeathLifetime)
	}

	if k.Deadline.Before(k.Received) {
		return k.Received.Add(LeaveGrace)
	}

	return k.Deadline.Add(LeaveGrace)
}

// Lifetime returns the remaining time for which processes keep the notice.
func (k Known) Lifetime(now time.Time) time.Duration { return k.expires().Sub(now) }

// inForce reports whether the notice still counts. A leave notice counts beyond its lifetime until a reading of the list has
// started after the lifetime ended, because an older list cannot refute the notice. So a notice never outlives a newer list,
// and a process that cannot read the list does not return to servers that were taken away.
func (k Known) inForce(now time.Time, listing Listing) bool {
	return now.Before(k.expires()) || k.State == NoticeLeaving && !listing.Begun.After(k.expires())
}

// Observation is what this process observed of a server.
type Observation struct {
	// Lost is the time of the last evidence that the server is dead. It counts for DeathLifetime, unless Reached is later.
	Lost time.Time
	// Reached is the time at which the last successful call started. It invalidates every death observed or received before it.
	Reached time.Time
	// Published is the time of the last NoticeDead by this process. The next one follows after DeathLifetime at the earliest, so
	// that a process that alone cannot reach a server does not publish notices in endless alternation with the corrections of
	// others.
	Published time.Time
}

// Dead reports whether the server is dead according to this process's own observation.
func (o Observation) Dead(now time.Time) bool {
	return !o.Lost.IsZero() && now.Before(o.Lost.Add(DeathLifetime)) && !o.Reached.After(o.Lost)
}

// Listing is one reading of the host list.
type Listing struct {
	Servers []apricotway.BackendServer
	// Begun is the time at which the reading started; zero before the first one. The list may be older than that by its lag.
	Begun time.Time
}

// View is the decision on all servers. It is not modified after Merge has returned it.
type View struct {
	// Servers holds the listed servers in the order of the list, including leaves known from notices.
	Servers []apricotway.BackendServer
	// Usable holds, by service, the servers that may receive new work: they are live and not known to be dead.
	Usable map[apricotway.Service][]apricotway.BackendServer
}

// Replaces reports whether a received notice replaces the known one. An expired notice is replaced by any other, because its
// version may be higher than that of a process that has already dropped it.
func (k Known) Replaces(known Known) bool {
	return k.Version > known.Version || known.Version > 0 && !k.Received.Before(known.expires())
}

// Merge decides on all servers of a listing. For each service, the usable servers are those in the subset, or all usable ones
// if the subset contains none of them. A nil subset contains all servers.
func Merge(
	now time.Time, listing Listing, observations map[apricotway.BackendServerID]Observation,
	notices map[apricotway.BackendServerID]Known, subset map[apricotway.BackendServerID]bool,
) View {
	view := View{
		Servers: make([]apricotway.BackendServer, len(listing.Servers)),
		Usable:  map[apricotway.Service][]apricotway.BackendServer{},
	}

	others := map[apricotway.Service][]apricotway.BackendServer{}

	for i, server := range listing.Servers {
		observation := observations[server.ID]
		notice, found := notices[server.ID]
		found = found && notice.inForce(now, listing)

		if found && notice.State == NoticeLeaving {
			if server.State != apricotway.HostLeaving || notice.Deadline.Before(server.Deadline) {
				server.Deadline = notice.Deadline
			}

			server.State = apricotway.HostLeaving
		}

		view.Servers[i] = server

		reportedDead := found && notice.State == NoticeDead && !observation.Reached.After(notice.Received)
		if server.State == apricotway.HostLive && !reportedDead && !observation.Dead(now) {
			if subset == nil || subset[server.ID] {
				view.Usable[server.Service] = append(view.Usable[server.Service], server)
			} else {
				others[server.Service] = append(others[server.Service], server)
			}
		}
	}

	for service, servers := range others {
		if len(view.Usable[service]) == 0 {
			view.Usable[service] = servers
		}
	}

	return view
}

// NextNotice returns a notice with the version to publish it under, and false when there is nothing new to publish. A leave
// replaces a known leave only if its deadline is earlier, so that processes with different readings of the list converge.
func NextNotice(now time.Time, listing Listing, known Known, notice Notice) (Known, bool) {
	if notice.State == NoticeLeaving && !now.Before(notice.Deadline.Add(LeaveGrace)) {
		return Known{}, false
	}

	if known.Version > 0 && known.inForce(now, listing) {
		switch {
		case known.State == notice.State && !notice.Deadline.Before(known.Deadline):
			return Known{}, false
		case known.State == NoticeLeaving && notice.State != NoticeLeaving:
			// A death after a leave is expected, and its notice would hide the leave.
			return Known{}, false
		}
	}

	return Known{
		Notice: notice, Version: (known.Version>>rankBits+1)<<rankBits | notice.State.rank(), Received: now,
	}, true
}

// Forget drops observations and notices that are no longer needed: the observations of servers that are not listed or have
// expired, and the notices that expired longer ago than versionRetention.
func Forget(
	now time.Time, listing Listing, observations map[apricotway.BackendServerID]Observation,
	notices map[apricotway.BackendServerID]Known,
) {
	listed := make(map[apricotway.BackendServerID]bool, len(listing.Servers))
	for _, server := range listing.Servers {
		listed[server.ID] = true
	}

	for id, observation := range observations {
		last := observation.Lost
		if observation.Reached.After(last) {
			last = observation.Reached
		}

		if !listed[id] || now.After(last.Add(DeathLifetime)) {
			delete(observations, id)
		}
	}

	for id, notice := range notices {
		if !notice.inForce(now, listing) && now.After(notice.expires().Add(versionRetention)) {
			delete(notices, id)
		}
	}
}

// AnyExpired reports whether the lifetime of any observation or notice, or the retention of a notice's version, ended after the
// first time and not after the second.
func AnyExpired(
	after, until time.Time, observations map[apricotway.BackendServerID]Observation,
	notices map[apricotway.BackendServerID]Known,
) bool {
	between := func(end time.Time) bool { return end.After(after) && !end.After(until) }

	for _, observation := range observations {
		if between(observation.Lost.Add(DeathLifetime)) || between(observation.Reached.Add(DeathLifetime)) {
			return true
		}
	}

	for _, notice := range notices {
		if between(notice.expires()) || between(notice.expires().Add(versionRetention)) {
			return true
		}
	}

	return false
}
