package dispatch

import (
	"time"

	"github.com/apricotway/apricotway"
)

const (
	// maxPause bounds the time for which a server is not used because it named a pause. The operators expect that service is back 12 s
	// after an impairment (recover_s) and let at most two requests come before the end of a pause. A server that named a longer one by
	// mistake is thus out for five times recover_s, and one that means it gets a single request a minute: two in three minutes.
	maxPause = time.Minute
	// pauseStep is the least extension of a pause that counts as a change. Answers to several calls on their way name nearly the same end.
	pauseStep = 250 * time.Millisecond
	// doubtAge, doubtTime and doubtPeriod: see Doubted. Servers write their entries about every 1.2 s.
	doubtAge, doubtTime, doubtPeriod = 5 * time.Second, 4 * time.Second, 30 * time.Second
)

// StatementChange is what an answer changed in the belief about the server that it came from.
type StatementChange struct {
	Server  apricotway.BackendServerID
	Service apricotway.Service
	// Leaving is set when the server is known to leave only since this answer.
	Leaving bool
	// Pause is what changed about the pause of the server, and PausedUntil the time until which it gets no calls.
	Pause       PauseChange
	PausedUntil time.Time
	// Brittle is set when the belief whether the server is brittle has changed, or it said so unreadably for the first time.
	Brittle BrittleChange
	// Age is the longest time that the statement can be old: the time since the call was sent.
	Age time.Duration
}

// PauseChange is what an answer changed about the pause of its server.
type PauseChange string

// The values of PauseChange.
const (
	PauseUnchanged PauseChange = ""
	// PauseNamed is a pause that begins or ends later than the one before.
	PauseNamed PauseChange = "named"
	// PauseOver means that the server answered a call during the pause that it had named, after maxPause.
	PauseOver PauseChange = "over"
	// PauseUnreadable is the first pause of a server that can't be read.
	PauseUnreadable PauseChange = "unreadable"
)

// statements is what a server has said of itself in its answers. It belongs to one start of the server and ends with it.
type statements struct {
	// leavingAt is the time of the last answer which said that the server is leaving; zero without one.
	leavingAt time.Time
	// namedAt is the time of the last answer that named a pause, and namedUntil the latest end of a pause that was named.
	namedAt, namedUntil time.Time
	// pausedUntil is the time until which the server gets no calls, at most namedUntil.
	pausedUntil time.Time
	// unreadable is set once a pause of the server could not be read.
	unreadable bool
}

// pause records the pause in an answer to a call that was sent at the given time.
func (s *statements) pause(now, sent time.Time, named apricotway.RequestPause) PauseChange {
	switch {
	case named.Statement == apricotway.PauseInvalid && !s.unreadable:
		s.unreadable = true
		return PauseUnreadable
	case named.Statement == apricotway.PauseStated && named.For > 0:
		before := s.pausedUntil
		s.namedAt = now

		if end := now.Add(named.For); end.After(s.namedUntil) {
			s.namedUntil = end
		}

		if end := now.Add(min(named.For, maxPause)); end.After(s.pausedUntil) {
			s.pausedUntil = end
		}

		if !now.Before(before) || s.pausedUntil.Sub(before) >= pauseStep {
			return PauseNamed
		}
	case named.Statement == apricotway.PauseAbsent && now.Before(s.namedUntil) && sent.After(s.namedAt):
		s.namedUntil, s.pausedUntil = now, now
		return PauseOver
	}

	return PauseUnchanged
}

// since returns what the start of the server at the given time has said, nil if nothing. An answer of a new start may arrive before its
// entry.
func (s *statements) since(born time.Time) *statements {
	if s == nil || !s.leavingAt.After(born) && !s.namedAt.After(born) {
		return nil
	}

	kept := *s

	if !s.leavingAt.After(born) {
		kept.leavingAt = time.Time{}
	}

	if !s.namedAt.After(born) {
		kept.namedAt, kept.namedUntil, kept.pausedUntil = time.Time{}, time.Time{}, time.Time{}
	}

	return &kept
}

// paused reports whether the server has named a pause that has not ended.
func (s *server) paused(now time.Time) bool { return s.said != nil && now.Before(s.said.pausedUntil) }

// extendPause records a call after maxPause, before the end of the named pause. No other follows until it is answered, or for maxPause.
func (s *statements) extendPause(now time.Time) {
	if s != nil && now.Before(s.namedUntil) {
		s.pausedUntil = now.Add(min(s.namedUntil.Sub(now), maxPause))
	}
}

// leaving reports whether the server's entry or one of its answers says that it is leaving.
func (s *server) leaving() bool {
	return s.backend.Leaving || s.said != nil && !s.said.leavingAt.IsZero()
}

// RecordStatements records what the server of an answer says of itself. misdirected is set for an answer by which a server denies to be
// the expected one.
func (s *Send) RecordStatements(now time.Time, answer apricotway.AnswerMetadata, misdirected bool) StatementChange {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()

	from := s.senderLocked(answer.Server, misdirected)
	if from == nil {
		return StatementChange{}
	}

	change := StatementChange{Server: from.backend.ID, Service: from.backend.Service, Age: now.Sub(s.sent)}
	if !s.detour {
		change.Brittle = s.pool.recordBrittleLocked(now, s.sent, from, answer.Brittle)
	}

	if from.said == nil && !answer.Leaving && answer.Pause.Statement == apricotway.PauseAbsent {
		return change
	}

	if from.said == nil {
		from.said = &statements{}
	}

	if answer.Leaving {
		change.Leaving = !from.leaving()
		from.said.leavingAt = now

		if s.pool.servers[from.backend.ID] == from {
			s.pool.stated[from.backend.ID] = from
		}
	}

	change.Pause = from.said.pause(now, s.sent, answer.Pause)
	change.PausedUntil = from.said.pausedUntil

	return change
}

// PauseWait returns the time until the first server of a service ends its pause. It is 0 if a server of the service neither leaves nor
// pauses, or if none pauses.
func (p *Pool) PauseWait(now time.Time, service apricotway.Service) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.pauseWaitLocked(now, Request{Service: service})
}

func (p *Pool) pauseWaitLocked(now time.Time, request Request) time.Duration {
	var first time.Time

	for _, s := range p.services[request.Service] {
		switch {
		case s.leaving() || !p.mayUseLocked(now, request, s):
		case !s.paused(now):
			return 0
		case first.IsZero() || s.said.pausedUntil.Before(first):
			first = s.said.pausedUntil
		}
	}

	if first.IsZero() {
		return 0
	}

	// Callers are told milliseconds.
	return first.Sub(now).Truncate(time.Millisecond) + time.Millisecond
}

// ServiceState is how many servers of a service can get calls of this process.
type ServiceState struct {
	// Servers counts those that are ready by their entries. Leaving and Paused count those of them that this process does not use
	// because of what they said in their answers.
	Servers, Leaving, Paused int
}

// ServiceStates returns the state of each service.
func (p *Pool) ServiceStates(now time.Time) map[apricotway.Service]ServiceState {
	p.mu.Lock()
	defer p.mu.Unlock()

	states := make(map[apricotway.Service]ServiceState, len(p.services))

	for service, servers := range p.services {
		var state ServiceState

		for _, s := range servers {
			switch {
			case s.backend.Leaving:
				continue
			case s.leaving():
				state.Leaving++
			case s.paused(now):
				state.Paused++
			}

			state.Servers++
		}

		states[service] = state
	}

	return states
}

// senderLocked returns the server that an answer comes from, given the name that it states. It returns nil if that is not certain.
func (s *Send) senderLocked(named apricotway.BackendServerID, misdirected bool) *server {
	if s.detour {
		return s.pool.servers[s.Backend.ID]
	}

	if named == s.Backend.ID || named == "" && !misdirected {
		return s.server
	}

	other := s.pool.servers[named]
	if other == nil || other.backend.Address != s.Backend.Address {
		return nil
	}

	return other
}

// RecordWritten records that a server has written an entry later than the given time, since the list was known as of a boot time. It ends the belief
// that the server is leaving because its answers said so, if the answer was before that time and the entry says that the server is ready. It
// returns the age of the statement and whether it has ended.
func (p *Pool) RecordWritten(
	now time.Time, entry apricotway.Backend, writtenAfter time.Time, listed time.Duration,
) (age time.Duration, ended bool) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.origins.Written(entry, writtenAfter, listed)

	s := p.servers[entry.ID]
	if s == nil || entry.Leaving || s.said == nil || s.said.leavingAt.IsZero() || !writtenAfter.After(s.said.leavingAt) {
		return 0, false
	}

	age = now.Sub(s.said.leavingAt)
	s.said.leavingAt = time.Time{}

	delete(p.stated, entry.ID)

	return age, true
}

// Doubted reports whether the entry of a server says that it is ready although its answers said that it is leaving, so that its next
// entries have to be read. Entries usually follow the answers within doubtAge. The reading is tried for doubtTime, every doubtPeriod.
func (p *Pool) Doubted(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	for _, s := range p.stated {
		age := now.Sub(s.said.leavingAt)
		if !s.backend.Leaving && age >= doubtAge && (age-doubtAge)%doubtPeriod < doubtTime {
			return true
		}
	}

	return false
}
