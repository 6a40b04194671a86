package dispatch

import (
	"time"

	"github.com/apricotway/apricotway"
)

const (
	// initialAllowance is the number of calls that all processes together begin with at a server in slow start.
	initialAllowance = 2.0
	// allowanceParts is the number of parts of a call in which an allowance is told.
	allowanceParts = 4
	// rampGrace is the time for which a process holds back a new server that the news do not name yet.
	rampGrace = 1500 * time.Millisecond
	// settledAfter is the time from which a server is not new. A server is held back only beside one that is not.
	settledAfter = 5 * time.Second
	// lateFactor is the ratio to the expected time from which an answer is late.
	lateFactor = 2.5
)

// ramp is the slow start of one server.
type ramp struct {
	// since is the time at which the process saw the server as new; zero for one that is known from the news only.
	since time.Time
	// allowance is the number of calls that all processes together may have in flight there; 0 when the server is not held back.
	allowance float64
}

// startRampLocked begins the slow start of a server that has appeared beside older ones. It is not called for those that the process
// started with: of these it does not know whether they are new.
func (p *Pool) startRampLocked(now time.Time, added *server) {
	if !p.slowStarts {
		return
	}

	for _, s := range p.services[added.backend.Service] {
		if s != added && !s.leaving() && now.Sub(s.added) >= settledAfter {
			added.ramp = ramp{since: now, allowance: initialAllowance}
			return
		}
	}
}

// heldServicesLocked returns the services whose servers in slow start are held back: those of which at least half of the servers are not.
// With fewer, the calls have nowhere else to go.
func (p *Pool) heldServicesLocked(allowances map[apricotway.BackendServerID]int) map[apricotway.Service]bool {
	counts := map[apricotway.Service]int{}

	for id := range allowances {
		if s := p.servers[id]; s != nil {
			counts[s.backend.Service]++
		}
	}

	held := make(map[apricotway.Service]bool, len(counts))
	for service, count := range counts {
		held[service] = 2*count <= len(p.services[service])
	}

	return held
}

// learnRampLocked sets the allowance of a server from the news.
func (s *server) learnRampLocked(now time.Time, parts int) {
	switch {
	case parts > 0:
		if s.ramp.allowance == 0 {
			s.forgetFailures()
		}

		s.ramp.allowance = float64(parts) / allowanceParts
	case s.ramp.allowance > 0 && now.Sub(s.ramp.since) >= rampGrace:
		s.ramp = ramp{}
		s.forgetFailures()
	}
}

// forgetFailures ends the ejection of a server that all processes together decide on.
func (s *server) forgetFailures() {
	s.failureRate, s.consecutiveFailures, s.ejection, s.ejectedUntil = 0, 0, 0, time.Time{}
}

// ramping reports whether the server is held back.
func (p *Pool) ramping(now time.Time, s *server) bool {
	return s.ramp.allowance > 0 && now.Before(p.speeds.until)
}

// rampStep is what slow start does with a server in the choice for one call.
type rampStep string

const (
	// rampNone treats the server as any other.
	rampNone rampStep = ""
	// rampHeld keeps the call from the server while others have room.
	rampHeld rampStep = "held"
	// rampProbe gives the server the call, so that its answers are known.
	rampProbe rampStep = "probe"
)

// rampStepLocked decides by chance whether a server in slow start may get a call, such that the calls of all processes until the next
// news use up its allowance at most: a share in calls would be none for most processes. With the first allowance it gets that many calls,
// whatever its score is, as no process would know otherwise that it has recovered. Afterwards it is compared like others, as often as
// its allowance permits if it always has the lowest score. compared is the share of calls that a server is compared for.
func (p *Pool) rampStepLocked(now time.Time, s *server, request *Request, compared float64, inRange bool) rampStep {
	if !p.ramping(now, s) {
		return rampNone
	}

	work := s.currentWork(now)
	room := s.ramp.allowance - float64(work.Running)
	unseen := p.unseenLocked(now, callKind{request.Service, SizeOf(request.PromptTokens) >= longPromptClass})

	if s.ramp.allowance <= initialAllowance {
		// A retried call, or one that must not run twice, does not go to a server that may fail it.
		if inRange && len(request.Avoid) == 0 && !request.Once && p.random.Float64()*(1+unseen) < room {
			return rampProbe
		}
	} else if p.random.Float64()*(1+unseen*min(compared, 1)) < room {
		return rampNone
	}

	// By chance, as the other processes keep one for the same call.
	if room *= p.random.Float64(); p.spread.held == nil || room > p.spread.heldRoom {
		p.spread.held, p.spread.heldRoom = s, room
	}

	return rampHeld
}

// relieveLocked returns the server that was held back from a call if no other one has room for it.
func (p *Pool) relieveLocked(now time.Time, request Request, chosen *server, e estimate) (*server, estimate) {
	held := p.spread.held
	if held == nil || chosen != nil && chosen.usable(now, e, request) {
		return chosen, e
	}

	if relief := held.estimate(now, request, nil, false); chosen == nil || held.usable(now, relief, request) && !held.recentlyFailed() {
		return held, relief
	}

	return chosen, e
}

// recentlyFailed reports whether this process's last call to the server failed.
func (s *server) recentlyFailed() bool { return s.consecutiveFailures > 0 }

// RampingServer is a server in slow start.
type RampingServer struct {
	Service   apricotway.Service
	Allowance float64
}

// Ramping returns the servers in slow start.
func (p *Pool) Ramping(now time.Time) map[apricotway.BackendServerID]RampingServer {
	p.mu.Lock()
	defer p.mu.Unlock()

	ramping := map[apricotway.BackendServerID]RampingServer{}

	for id, s := range p.servers {
		if p.ramping(now, s) {
			ramping[id] = RampingServer{Service: s.backend.Service, Allowance: s.ramp.allowance}
		}
	}

	return ramping
}

// NewServers returns the servers that have appeared beside older ones and may not have been in the news yet.
func (p *Pool) NewServers(now time.Time) []apricotway.BackendServerID {
	p.mu.Lock()
	defer p.mu.Unlock()

	var found []apricotway.BackendServerID

	for id, s := range p.servers {
		if s.ramp.allowance > 0 && now.Sub(s.ramp.since) < rampGrace {
			found = append(found, id)
		}
	}

	return found
}

// SlotsOf returns the number of calls that a server can run at a time; 0 for an unknown server.
func (p *Pool) SlotsOf(id apricotway.BackendServerID) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()

	s := p.servers[id]
	if s == nil {
		return 0
	}

	return s.slots()
}
