// Package intake divides the requests that a backend server accepts from all processes together among the processes.
//
// A server states its limit in its answers. While a limit is in force, time is divided into slots, each for one request, and each
// slot belongs to one process: the one with the highest hash of server, slot and process. All processes derive the same owner from
// the list of members, so the sum over them stays within the limit without a message for each request, and a process that fails
// only leaves its own slots unused.
//
// The package performs no I/O; callers pass in the current time.
package intake

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/apricotway/apricotway"
)

const (
	// settleTime is the time after its start during which a process sends nothing to limited servers: it may not know all members
	// yet and would count slots of others as its own.
	settleTime = 3 * time.Second
	// aloneTime is the same for a process that knows no other one. It may have lost contact with all of them.
	aloneTime = 30 * time.Second
	// confirmPeriod is the age of a limit from which a request to the server is due, so that its answer tells whether the limit holds.
	confirmPeriod = 2 * time.Second
)

// Limits holds the limits of all servers, as one process knows them, and the slots of that process. It is not safe for concurrent
// use.
type Limits struct {
	self     apricotway.NodeID
	selfHash uint64
	// nodes holds the hashes of the processes that share the limits. It lacks self while this process is leaving.
	nodes []uint64
	// sharing is set while nodes has self.
	sharing bool
	// alone is set while no other process is known, and holder is the newest known claim of the duties.
	alone  bool
	holder apricotway.Offset
	// since is the time from which the members have been reliable, or zero before any are known.
	since time.Time
	// ready is set while this process may use its slots. The slots that begin before are nobody's.
	ready   bool
	servers map[apricotway.BackendServerID]*server
	// lifetime is the time from the beginning of a slot during which its owner may use it, at least the length of the slot. alone is the
	// time after its start during which a process that knows no other one sends nothing to limited servers.
	lifetime, aloneTime time.Duration
}

// Option configures Limits in New.
type Option func(*Limits)

// WithSlotLifetime sets the time for which a slot can be used. What a process does not use in it does not add to a later burst.
func WithSlotLifetime(lifetime time.Duration) Option {
	return func(l *Limits) { l.lifetime = lifetime }
}

// WithAloneTime sets the time after its start during which a process that knows no other one sends nothing to limited servers.
func WithAloneTime(aloneTime time.Duration) Option {
	return func(l *Limits) { l.aloneTime = aloneTime }
}

// New returns limits without any server.
func New(options ...Option) *Limits {
	l := &Limits{servers: map[apricotway.BackendServerID]*server{}, lifetime: slotLifetime, aloneTime: aloneTime}
	for _, option := range options {
		option(l)
	}

	return l
}

// Members is what a process knows of the processes that share limits.
type Members struct {
	Self apricotway.NodeID
	// Nodes lacks Self while this process is leaving.
	Nodes []apricotway.NodeID
	// Holder is the number of the newest known claim of the duties.
	Holder apricotway.Offset
}

// SetMembers sets the processes that share the limits. It is called periodically.
func (l *Limits) SetMembers(now time.Time, members Members) {
	l.self, l.selfHash = members.Self, xxhash.Sum64String(string(members.Self))
	l.nodes, l.sharing = l.nodes[:0], false
	alone := true

	for _, node := range members.Nodes {
		l.sharing = l.sharing || node == members.Self
		l.nodes = append(l.nodes, xxhash.Sum64String(string(node)))
		alone = alone && node == members.Self
	}

	// A claim that another process made shows that this one is not alone.
	if l.since.IsZero() || alone != l.alone || alone && members.Holder != l.holder {
		l.since = now
	}

	l.alone, l.holder = alone, members.Holder

	settled := settleTime
	if alone {
		settled = l.aloneTime
	}

	ready := now.Sub(l.since) >= settled
	if ready && !l.ready {
		for _, s := range l.servers {
			s.next = max(s.next, s.slotAt(now)+1)
		}
	}

	l.ready = ready

	for id, s := range l.servers {
		if s.expired(now) {
			delete(l.servers, id)
		}
	}
}

// Observe records what an answer to this process states, given the time at which its call was sent. It returns the limit known
// before and whether that has changed.
func (l *Limits) Observe(
	now, sent time.Time, id apricotway.BackendServerID, limit apricotway.RequestLimit,
) (before apricotway.RequestLimit, changed bool) {
	s := l.servers[id]
	if s != nil {
		before = s.limit
	}

	switch limit.Statement {
	case apricotway.LimitInvalid:
		return before, false
	case apricotway.LimitStated:
		s = l.serverFor(id)
		changed = s.set(now, fact{limit: limit, observation: Observation{l.self, now}, asOf: now})
	case apricotway.LimitAbsent:
		// An answer to a call that was sent earlier may have begun before the limit was stated.
		if s == nil || !sent.After(s.asOf) {
			return before, false
		}

		changed = s.set(now, fact{limit: limit, observation: Observation{l.self, now}, asOf: sent})
	}

	return before, changed
}

// SetRate sets a limit that this process has determined itself, with the time for which a slot can be used, given the time at which it last
// sent a request to the server. The slots of the rate before that have begun remain; without one, those that have begun since that request
// can be used.
func (l *Limits) SetRate(now, lastSent time.Time, id apricotway.BackendServerID, perSecond float64, lifetime time.Duration) {
	s := l.serverFor(id)

	limited := s.limited()
	if limited {
		l.advance(now, s)
	}

	open := s.open
	s.lifetime = lifetime

	s.set(now, fact{
		limit:       apricotway.RequestLimit{Statement: apricotway.LimitStated, PerSecond: perSecond},
		observation: Observation{l.self, now}, asOf: now,
	})
	s.open = open

	if !limited {
		s.next, s.used = 0, lastSent
	}
}

// ClearRate ends a limit that SetRate has set.
func (l *Limits) ClearRate(id apricotway.BackendServerID) { delete(l.servers, id) }

func (l *Limits) serverFor(id apricotway.BackendServerID) *server {
	s := l.servers[id]
	if s == nil {
		s = &server{hash: xxhash.Sum64String(string(id))}
		l.servers[id] = s
	}

	return s
}

// Known returns all statements that this process knows.
func (l *Limits) Known(now time.Time) []Statement {
	return l.statements(now, func(*server) bool { return true })
}

// Uncollected returns the statements that the last answer to a report did not have.
func (l *Limits) Uncollected(now time.Time) []Statement {
	return l.statements(now, func(s *server) bool { return !s.collected })
}

func (l *Limits) statements(now time.Time, include func(*server) bool) []Statement {
	facts := make(map[apricotway.BackendServerID]fact, len(l.servers))

	for id, s := range l.servers {
		if include(s) {
			facts[id] = s.fact
		}
	}

	return statements(now, facts)
}

// Learn records an answer to a report: the statements of all processes. Their ages count from asked, the time before the report. It
// returns the statements that changed a limit.
func (l *Limits) Learn(now, asked time.Time, collected []Statement) (changes []Statement) {
	for _, s := range l.servers {
		s.collected = false
	}

	for _, statement := range collected {
		f := factOf(asked, statement)
		if !f.known() {
			continue
		}

		s := l.servers[statement.Server]
		if s == nil {
			if !f.limited() {
				continue
			}

			s = l.serverFor(statement.Server)
		}

		if s.replacedBy(f) && s.set(now, f) {
			changes = append(changes, statement)
		}

		s.collected = s.same(f)
	}

	return changes
}

// Limited reports whether a limit is in force.
func (l *Limits) Limited(id apricotway.BackendServerID) bool {
	s := l.servers[id]
	return s != nil && s.limited()
}

// Allows reports whether this process may send a request to the server now.
func (l *Limits) Allows(now time.Time, id apricotway.BackendServerID) bool {
	s := l.servers[id]
	if s == nil || !s.limited() {
		return true
	}

	l.advance(now, s)

	return len(s.open) > 0
}

// Take counts a request to the server and returns true, or returns false if this process may not send it now.
func (l *Limits) Take(now time.Time, id apricotway.BackendServerID) bool {
	if !l.Allows(now, id) {
		return false
	}

	if s := l.servers[id]; s != nil && s.limited() {
		s.used = s.open[0].begin

		if s.open[0].left--; s.open[0].left == 0 {
			s.open = s.open[1:]
		}
	}

	return true
}

// ConfirmationDue reports whether a limit is in force that no process has seen confirmed for a while.
func (l *Limits) ConfirmationDue(now time.Time, id apricotway.BackendServerID) bool {
	s := l.servers[id]

	return s != nil && s.limited() && now.Sub(s.asOf) >= confirmPeriod
}

// Wait returns the time in which the server accepts one more request of any process; 0 if no limit is in force.
func (l *Limits) Wait(id apricotway.BackendServerID) time.Duration {
	s := l.servers[id]
	if s == nil || !s.limited() {
		return 0
	}

	return seconds(1 / s.usedRate())
}
