package dispatch

import (
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/cadence"
	"github.com/apricotway/apricotway/state/canary"
)

// WithCanary makes the pool keep calls within the exposures of versions to which the traffic of a service is being shifted.
func WithCanary() Option { return func(p *Pool) { p.shifts = canary.NewLocal() } }

// Shifts reports whether the pool follows orders to shift traffic.
func (p *Pool) Shifts() bool { return p.shifts != nil }

// ApplyShifts records what the holder of the duties told of the orders in its answer to a report that was sent at the time asked.
func (p *Pool) ApplyShifts(asked time.Time, answer canary.Answer) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if p.shifts != nil {
		p.shifts.Apply(asked, cadence.Lifetime(p.period), answer, p.random.Float64())
	}
}

// LearnShifts records the states of orders that were saved earlier.
func (p *Pool) LearnShifts(now time.Time, states []canary.State) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if p.shifts != nil {
		p.shifts.Learn(now, states)
	}
}

// ShiftStates returns the newest known states of the orders.
func (p *Pool) ShiftStates(now time.Time) []canary.State {
	p.mu.Lock()
	defer p.mu.Unlock()

	if p.shifts == nil {
		return nil
	}

	return p.shifts.States(now)
}

// ShiftReport returns the counts of this process for the orders that are running.
func (p *Pool) ShiftReport(now time.Time) []canary.ServiceReport {
	p.mu.Lock()
	defer p.mu.Unlock()

	if p.shifts == nil {
		return nil
	}

	return p.shifts.Report(now)
}

// Capacities returns the servers and slots of each version of a service that are not leaving.
func (p *Pool) Capacities(service apricotway.Service) map[apricotway.SoftwareVersion]canary.Capacity {
	p.mu.Lock()
	defer p.mu.Unlock()

	capacities := map[apricotway.SoftwareVersion]canary.Capacity{}

	for _, s := range p.services[service] {
		if !s.leaving() {
			capacity := capacities[s.backend.Version]
			capacity.Servers++
			capacity.Slots += s.backend.Slots
			capacities[s.backend.Version] = capacity
		}
	}

	return capacities
}

// updateVersionLocked records a server's entry, and the one before it if there was one.
func (p *Pool) updateVersionLocked(now time.Time, before *server, backend *apricotway.Backend) {
	if p.shifts == nil || before != nil && before.backend.Service == backend.Service && before.backend.Version == backend.Version {
		return
	}

	if before != nil {
		p.shifts.Drop(&before.backend)
	}

	p.shifts.Add(now, backend)
}

// useLocked returns which versions may get a call.
func (p *Pool) useLocked(now time.Time, request *Request) canary.Use {
	if p.shifts == nil {
		return canary.Use{}
	}

	kind := canary.KindNew

	switch {
	case request.Origin.Begun():
		kind = canary.KindContinued
	case len(request.Avoid) > 0 || request.Repeated:
		kind = canary.KindAgain
	case request.Again:
		kind = canary.KindHeld
	}

	return p.shifts.Choose(now, request.Service, kind)
}

// chooseVersionLocked is like chooseLocked for a request with its use. Without a server of the wanted version that takes the call, another
// version may get it.
func (p *Pool) chooseVersionLocked(now time.Time, request *Request) (*server, estimate) {
	best, e := p.chooseLocked(now, *request)
	if !request.use.Fallback || best != nil && (!e.full || e.wait <= request.Remaining) && !e.tooLate(request.Objective) {
		return best, e
	}

	request.use = p.shifts.Others(request.Service, request.use)

	return p.chooseLocked(now, *request)
}

// beginShiftLocked counts a send for the orders.
func (s *Send) beginShiftLocked(now time.Time) {
	if s.pool.shifts != nil {
		cold := time.Duration(float64(s.request.PromptTokens) / meanPrefillRate * float64(time.Millisecond))
		s.pool.shifts.Begin(now, &s.shift, s.request.Route, &s.Backend, cold)
	}
}

// shiftOutcome returns what an outcome tells of the version of the server.
func shiftOutcome(outcome Outcome) canary.Outcome {
	switch outcome {
	case OutcomeDone:
		return canary.OutcomeDone
	case OutcomeFailed, OutcomeUnreachable:
		return canary.OutcomeFailed
	case OutcomeFull:
		return canary.OutcomeRejected
	case OutcomeMisdirected, OutcomeLeft:
		return canary.OutcomeNone
	default:
		return canary.OutcomeNone
	}
}
