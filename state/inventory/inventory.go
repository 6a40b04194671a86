// Package inventory decides which backend servers may receive work, from the platform's host list, the process's own
// observations and the notices of other processes.
//
// The rules, the strongest first: a leave takes a server out of use, whether the list or a notice tells of it, because a
// host that is taken away does not come back under the same id. An own observation decides over the notices on a death.
// A notice on a death decides over the list, which lags. A server that no rule takes out of use is used as the list has it.
package inventory

import (
	"time"

	"github.com/apricotway/apricotway"
)

const (
	// DeathLifetime is the time for which a death takes a server out of use without being observed again. A false one,
	// such as a connection refused while the server was overloaded, costs the server's work for at most this time at the
	// process that observed it.
	DeathLifetime = time.Minute
	// LeaveGrace is the time after the deadline for which a leave notice holds against any list. It covers the lag of the
	// list and differences between clocks.
	LeaveGrace = 15 * time.Second
	// memory is the time for which the version of an expired notice is kept, so that the next one on the server does not
	// start below it while other processes still hold it.
	memory = time.Minute
)

// NoticeState is what a notice says of a server.
type NoticeState string

// The values of NoticeState.
const (
	// NoticeLeaving announces that the server's host is taken away at the deadline.
	NoticeLeaving NoticeState = "leaving"
	// NoticeDead tells that the server was seen dying.
	NoticeDead NoticeState = "dead"
	// NoticeAlive corrects a false NoticeDead.
	NoticeAlive NoticeState = "alive"
)

// rank orders notices that were published at the same time without knowledge of each other.
func (s NoticeState) rank() uint64 {
	switch s {
	case NoticeLeaving:
		return 3
	case NoticeDead:
		return 2
	case NoticeAlive:
		return 1
	default: // a state of a newer release
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
	// Version orders the notices on one server. Its low bits hold the rank of the state and the others count, so that
	// processes that publish different notices at the same time agree on the winner, and equal notices have one version.
	Version uint64
	// Received is the local time of the arrival. The lifetime of a death or its correction counts from there.
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

// holds reports whether the notice still counts. A leave stays in force beyond its lifetime until a reading of the list
// that began after it: an older list cannot contradict the notice. So it never outlives a newer list, and a process
// without a list does not return to servers that were taken away.
func (k Known) holds(now time.Time, listing Listing) bool {
	return now.Before(k.expires()) || k.State == NoticeLeaving && !listing.Begun.After(k.expires())
}

// Observation is what this process saw of a server.
type Observation struct {
	// Lost is the time of the last proof of death. It counts for DeathLifetime, unless Reached is later.
	Lost time.Time
	// Reached is the time at which the last successful call began. It voids every death observed or received before it.
	Reached time.Time
	// Published is the time of the last own NoticeDead. The next one follows after DeathLifetime at the earliest, so that
	// a process that alone cannot reach a server does not argue with the others for ever.
	Published time.Time
}

// Dead reports whether the server counts as dead by this process's own observation.
func (o Observation) Dead(now time.Time) bool {
	return !o.Lost.IsZero() && now.Before(o.Lost.Add(DeathLifetime)) && !o.Reached.After(o.Lost)
}

// Listing is one reading of the host list.
type Listing struct {
	Servers []apricotway.BackendServer
	// Begun is the time at which the reading began; zero before the first one. The list may be older by its lag.
	Begun time.Time
}

// View is the decision on all servers. It is not changed after Merge returned it.
type View struct {
	// Servers holds the listed servers in the order of the list, with the leaves known from notices.
	Servers []apricotway.BackendServer
	// Usable holds the servers by service that may receive new work: each is live and was not seen dying.
	Usable map[apricotway.Service][]apricotway.BackendServer
}

// Replaces reports whether an arriving notice takes the place of the known one. An expired one gives way to any: its version
// may be above that of a process that has forgotten it.
func (k Known) Replaces(known Known) bool {
	return k.Version > known.Version || known.Version > 0 && !k.Received.Before(known.expires())
}

// Merge decides on all servers of a listing. Of a service, the usable servers are those of the subset; all of them when the
// subset has no usable one. A nil subset holds all servers.
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
		found = found && notice.holds(now, listing)

		if found && notice.State == NoticeLeaving {
			if server.State != apricotway.HostLeaving || notice.Deadline.Before(server.Deadline) {
				server.Deadline = notice.Deadline
			}

			server.State = apricotway.HostLeaving
		}

		view.Servers[i] = server

		told := found && notice.State == NoticeDead && !observation.Reached.After(notice.Received)
		if server.State == apricotway.HostLive && !told && !observation.Dead(now) {
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

// Next returns a notice with the version under which it is published, and false when there is nothing new to tell. Of two
// leaves the one with the earlier deadline stays, so that processes with different readings of the list come to rest.
func Next(now time.Time, listing Listing, known Known, notice Notice) (Known, bool) {
	if notice.State == NoticeLeaving && !now.Before(notice.Deadline.Add(LeaveGrace)) {
		return Known{}, false
	}

	if known.Version > 0 && known.holds(now, listing) {
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

// Forget drops observations and notices that no longer count: those on servers that the list does not show and, some time
// after their end, those on all others.
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
		if !notice.holds(now, listing) && now.After(notice.expires().Add(memory)) {
			delete(notices, id)
		}
	}
}

// Ended reports whether the lifetime of an observation or a notice ended after the first time and not after the second one.
func Ended(
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
		if between(notice.expires()) || between(notice.expires().Add(memory)) {
			return true
		}
	}

	return false
}
