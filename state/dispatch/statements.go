package dispatch

import (
	"time"

	"github.com/apricotway/apricotway"
)

// StatementChange is what an answer changed in the belief about the server that it came from.
type StatementChange struct {
	Server  apricotway.BackendServerID
	Service apricotway.Service
	// Leaving is set when the server is known to leave only since this answer.
	Leaving bool
	// Age is the longest time that the statement can be old: the time since the call was sent.
	Age time.Duration
}

// statements is what a server has said of itself in its answers. It belongs to one start of the server and ends with it.
type statements struct {
	// leavingAt is the time of the first answer which said that the server is leaving; zero before that.
	leavingAt time.Time
}

// leaving reports whether the server's entry or one of its answers says that it is leaving.
func (s *server) leaving() bool { return s.backend.Leaving || !s.said.leavingAt.IsZero() }

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

	if answer.Leaving && from.said.leavingAt.IsZero() {
		change.Leaving = !from.backend.Leaving
		from.said.leavingAt = now
	}

	return change
}

// senderLocked returns the server that an answer comes from, given the name that it states. It returns nil if that is not certain.
func (s *Send) senderLocked(named apricotway.BackendServerID, misdirected bool) *server {
	if named == s.Backend.ID || named == "" && !misdirected {
		return s.server
	}

	other := s.pool.servers[named]
	if other == nil || other.backend.Address != s.Backend.Address {
		return nil
	}

	return other
}

// EndLeaveStatement ends the belief that a server is leaving because its answers said so, if it has written since, later than the given
// time and after the answer, an entry which says that it is ready. It returns the age of the statement and whether it has ended.
func (p *Pool) EndLeaveStatement(now time.Time, entry apricotway.Backend, writtenAfter time.Time) (age time.Duration, ended bool) {
	p.mu.Lock()
	defer p.mu.Unlock()

	s := p.servers[entry.ID]
	if s == nil || entry.Leaving || s.said.leavingAt.IsZero() || !writtenAfter.After(s.said.leavingAt) {
		return 0, false
	}

	age = now.Sub(s.said.leavingAt)
	s.said.leavingAt = time.Time{}

	return age, true
}
