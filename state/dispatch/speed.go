package dispatch

import (
	"math"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/cadence"
)

// Kinds of work whose times are measured separately. The time of a plain call, the first event of a short prompt, which mostly waits for
// the calls that run beside it, and the first event of a long prompt, which mostly takes the processing of its tokens.
const (
	kindPlain = iota
	kindShort
	kindLong
	workKinds
)

const (
	// speedStepsPerDoubling is the number of quantised steps of a speed factor by which a server's time doubles: 19% each.
	speedStepsPerDoubling = 4
	// minSpeedStep and maxSpeedStep bound the speed factor of a server relative to its service to 1/4 and 8.
	minSpeedStep, maxSpeedStep = -2 * speedStepsPerDoubling, 3 * speedStepsPerDoubling
	// doublingParts is the number of parts in which doublings are told, and maxDoublings bounds those of one call.
	doublingParts, maxDoublings = 16, 4
	// overdueFactor is the ratio to the expected time from which a call without an answer counts as evidence. Without it, a server that
	// became several times slower would be noticed only when its first late answer comes.
	overdueFactor = 1.25
)

// Timing sums how long calls of one kind took on a server, relative to the time that the model of estimate gives for a server with speed
// factor 1.
type Timing struct {
	// Calls is the number of calls, and Doublings the sum of the binary logarithms of their ratios, in sixteenths. The mean of logarithms
	// is less affected than that of times by single calls that waited long behind calls which no process knew of.
	Calls, Doublings int
}

// ServerTimings holds the timings of one server since the last report.
type ServerTimings struct {
	Plain, Short, Long Timing
	// Failed counts the calls that failed or did not reach the server, and Late those that it rejected or answered late.
	Failed, Late int
}

func (t *ServerTimings) of(kind int) *Timing {
	return [workKinds]*Timing{&t.Plain, &t.Short, &t.Long}[kind]
}

// SpeedPosition names the state of the speed factors that a process has.
type SpeedPosition struct {
	// Holder is the fencing number under which the factors were collected; 0 when the process has none.
	Holder apricotway.Offset
	// Version rises with each change of a factor.
	Version uint64
}

// ServiceSpeed holds the speed factors that the servers of a service have in common, in eighths of a doubling of the model's time.
type ServiceSpeed struct {
	Plain, Short, Long int
}

// SpeedNews holds the speed factors learned from the calls of all processes.
type SpeedNews struct {
	// Position is the state after the news. It is empty in the answer of a build that learns no factors.
	Position SpeedPosition
	// Whole is set when Steps holds all servers whose factor is not 0 steps, not only those that changed.
	Whole bool
	// Steps holds the time of a server relative to the others of its service, in steps of 19%. 0 is the common time.
	Steps map[apricotway.BackendServerID]int
	// Services holds the factors that the servers of each service have in common.
	Services map[apricotway.Service]ServiceSpeed
	// Ramps holds the calls that all processes together may have in flight at a server in slow start, in quarters of a call.
	Ramps map[apricotway.BackendServerID]int
}

// speeds is what a pool knows of the speed factors. The zero value is usable.
type speeds struct {
	position SpeedPosition
	// until is the time until which the factors count. Afterwards each process goes by its own calls.
	until    time.Time
	steps    map[apricotway.BackendServerID]int
	services map[apricotway.Service]ServiceSpeed
	// timings holds what was measured since the last report.
	timings map[apricotway.BackendServerID]*ServerTimings
	// uneven holds the services whose servers' speeds differ.
	uneven map[apricotway.Service]bool
	// waiting holds the calls without an answer whose expected time is known.
	waiting []*Send
}

// learnedSpeed is the learned speed of one server.
type learnedSpeed struct {
	// until is the time until which the factors count.
	until time.Time
	// common holds the ratio of the time of a call on the servers of the service to that of the model, by kind.
	common [workKinds]float64
	// relative is the ratio of the time of the server to that of the others.
	relative float64
	// uneven is set if the speeds of the service's servers differ.
	uneven bool
}

// kindOf returns the kind of work of a request.
func kindOf(request Request) int {
	switch {
	case request.PromptTokens == 0:
		return kindPlain
	case SizeOf(request.PromptTokens) >= longPromptClass:
		return kindLong
	default:
		return kindShort
	}
}

// timeFactor returns the ratio of the expected time of a call to that of the model. A slowdown that the server reports counts where it is
// above what was learned: the learned factor holds what the server reported before. While the servers of a service have about the same
// speed, each process goes by its own calls and only a server that is slow for all processes counts as such: measured factors of equal
// servers differ by up to 40%, as no process knows all calls that others wait behind, and with them fewer calls were served in time.
func (s *server) timeFactor(now time.Time, kind int) float64 {
	slowdown := s.slowdown(now)

	if now.Before(s.speed.until) && s.speed.uneven {
		return s.speed.common[kind] * max(s.speed.relative, slowdown)
	}

	factor := s.latencyFactor
	if kind == kindPlain {
		factor = s.plainMillis / initialPlainMillis
	}

	if slower := s.slowerBy(now); slower > 1 {
		return max(factor*slowdown, slower)
	}

	return factor * slowdown
}

// slowerBy returns the ratio of the time of calls on the server to that on the other servers, as far as it counts.
func (s *server) slowerBy(now time.Time) float64 {
	if !now.Before(s.speed.until) || !s.speed.uneven && s.speed.relative < stepFactor(slowStep) {
		return 1
	}

	return s.speed.relative
}

// watchLocked keeps a call among those without an answer.
func (p *Pool) watchLocked(s *Send) {
	if !p.learnsSpeeds {
		return
	}

	s.waitIndex = len(p.speeds.waiting) + 1
	p.speeds.waiting = append(p.speeds.waiting, s)
}

// unwatchLocked removes a call from those without an answer.
func (p *Pool) unwatchLocked(s *Send) {
	if s.waitIndex == 0 {
		return
	}

	last := len(p.speeds.waiting) - 1
	moved := p.speeds.waiting[last]
	p.speeds.waiting[s.waitIndex-1], p.speeds.waiting[last] = moved, nil
	moved.waitIndex, s.waitIndex = s.waitIndex, 0
	p.speeds.waiting = p.speeds.waiting[:last]
}

// timingsLocked returns what was measured at a server since the last report.
func (p *Pool) timingsLocked(id apricotway.BackendServerID) *ServerTimings {
	if p.speeds.timings == nil {
		p.speeds.timings = map[apricotway.BackendServerID]*ServerTimings{}
	}

	if p.speeds.timings[id] == nil {
		p.speeds.timings[id] = &ServerTimings{}
	}

	return p.speeds.timings[id]
}

// countOutcomeLocked counts a call that says whether a server takes calls.
func (p *Pool) countOutcomeLocked(s *Send, outcome Outcome) {
	if s.detour {
		return
	}

	switch outcome {
	case OutcomeFailed, OutcomeUnreachable:
		p.timingsLocked(s.Backend.ID).Failed++
	case OutcomeFull:
		p.timingsLocked(s.Backend.ID).Late++
	case OutcomeDone, OutcomeMisdirected, OutcomeLeft:
	}
}

// recordTimingLocked adds the time that the call took so far, as far as it was not added before.
func (p *Pool) recordTimingLocked(now time.Time, s *Send) {
	known := p.timingsLocked(s.Backend.ID)
	timing := known.of(kindOf(s.request))
	if !s.timed {
		timing.Calls++
	}

	if now.Sub(s.sent) > time.Duration(lateFactor*float64(s.usual(now))) && !s.late {
		s.late = true
		known.Late++
	}

	ratio := max(float64(now.Sub(s.sent))/float64(time.Millisecond), 1) / max(s.model, 1)
	doublings := int(math.Round(doublingParts * min(max(math.Log2(ratio), -maxDoublings), maxDoublings)))

	timing.Doublings += doublings - s.timedDoublings
	s.timed, s.timedDoublings = true, doublings
}

// usual returns the time that the call was expected to take, or that such calls take by the news if that is longer. A process that has
// sent few calls to a server expects what no service may keep to.
func (s *Send) usual(now time.Time) time.Duration {
	if !now.Before(s.server.speed.until) {
		return s.Expected
	}

	return max(s.Expected, milliseconds(s.model*s.server.speed.common[kindOf(s.request)]))
}

// TakeTimings returns what was measured since its last call. Calls whose answer is overdue count with the time that has passed.
func (p *Pool) TakeTimings(now time.Time) map[apricotway.BackendServerID]ServerTimings {
	if !p.learnsSpeeds {
		return nil
	}

	p.mu.Lock()
	defer p.mu.Unlock()

	for _, s := range p.speeds.waiting {
		if float64(now.Sub(s.sent)) > overdueFactor*float64(s.usual(now)) {
			p.recordTimingLocked(now, s)
		}
	}

	taken := make(map[apricotway.BackendServerID]ServerTimings, len(p.speeds.timings))
	for id, timings := range p.speeds.timings {
		taken[id] = *timings
	}

	clear(p.speeds.timings)

	return taken
}

// SpeedPosition returns the state of the speed factors that this process has.
func (p *Pool) SpeedPosition() SpeedPosition {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.speeds.position
}

// LearnSpeeds records the speed factors that the process which collects the reports has learned. News without a position, as an older
// build sends, are ignored.
func (p *Pool) LearnSpeeds(now time.Time, news SpeedNews) {
	if news.Position.Version == 0 || !p.learnsSpeeds {
		return
	}

	if !p.slowStarts {
		news.Ramps = nil
	}

	p.mu.Lock()
	defer p.mu.Unlock()

	if news.Whole || p.speeds.steps == nil {
		p.speeds.steps = make(map[apricotway.BackendServerID]int, len(news.Steps))
	}

	for id, step := range news.Steps {
		if step == 0 {
			delete(p.speeds.steps, id)
		} else {
			p.speeds.steps[id] = step
		}
	}

	p.speeds.position, p.speeds.services, p.speeds.until = news.Position, news.Services, now.Add(cadence.Lifetime(p.period))

	p.updateEvenLocked()

	held := p.heldServicesLocked(news.Ramps)

	for id, s := range p.servers {
		p.applySpeedLocked(s)

		parts := news.Ramps[id]
		if !held[s.backend.Service] {
			parts = 0
		}

		s.learnRampLocked(now, parts)
	}
}

// applySpeedLocked gives a server its learned speed factors.
func (p *Pool) applySpeedLocked(s *server) {
	common := p.speeds.services[s.backend.Service]
	s.speed = learnedSpeed{
		until:    p.speeds.until,
		common:   [workKinds]float64{commonFactor(common.Plain), commonFactor(common.Short), commonFactor(common.Long)},
		relative: stepFactor(p.speeds.steps[s.backend.ID]), uneven: p.speeds.uneven[s.backend.Service],
	}
}

// ServiceOf returns the service of a server, or false if the server is not known.
func (p *Pool) ServiceOf(id apricotway.BackendServerID) (apricotway.Service, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()

	s := p.servers[id]
	if s == nil {
		return "", false
	}

	return s.backend.Service, true
}

// SpeedSpread returns the smallest and the largest learned time of a server relative to the others of the service. Both are 1 without
// learned factors.
func (p *Pool) SpeedSpread(now time.Time, service apricotway.Service) (fastest, slowest float64) {
	p.mu.Lock()
	defer p.mu.Unlock()

	fastest, slowest = math.MaxFloat64, 0

	for _, s := range p.services[service] {
		relative := s.slowerBy(now)
		fastest, slowest = min(fastest, relative), max(slowest, relative)
	}

	if slowest == 0 {
		return 1, 1
	}

	return fastest, slowest
}
