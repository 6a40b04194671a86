package dispatch

import (
	"math"
	"time"

	"github.com/apricotway/apricotway"
)

const (
	// timingWindow is the time constant with which timings lose weight. A server that became 4 times slower is at 2.9 times after 2 s.
	timingWindow = 2 * time.Second
	// priorCalls is the number of calls at the common speed that each server counts with besides its own. It keeps few calls from moving
	// a factor, and lets the factor of a server without calls return to 1, so that it gets calls again.
	priorCalls = 3.0
	// keepSpeed is the part of a step by which a factor has to differ from its step before the step changes.
	keepSpeed = 0.7
	// commonStepsPerDoubling is the number of steps of the common factor of a service by which the time doubles.
	commonStepsPerDoubling = 8
	// minCommonFactor and maxCommonFactor bound the common factors.
	minCommonFactor, maxCommonFactor = 0.125, 8.0
	// forgottenTiming is the weight in calls below which a server's timings are dropped.
	forgottenTiming = 0.01
	// slowStep is the step from which operators are told that a server is slow (twice the time of the others), and noLongerSlowStep the one
	// from which it no longer is.
	slowStep, noLongerSlowStep = speedStepsPerDoubling, speedStepsPerDoubling / 2
	// publishPeriod is the shortest time between two evaluations of all factors.
	publishPeriod = 100 * time.Millisecond
)

// SpeedTable learns how fast each server is from the timings that all processes report, on the process that collects the reports. It is
// not safe for concurrent use.
type SpeedTable struct {
	servers     map[apricotway.BackendServerID]*serverSpeed
	services    map[apricotway.Service]ServiceSpeed
	version     uint64
	evaluatedAt time.Time
	// forgotten is the newest version at which a dropped server's factor changed. Older processes get the whole.
	forgotten uint64
}

// serverSpeed is what the table knows of one server.
type serverSpeed struct {
	service apricotway.Service
	at      time.Time
	// calls and doublings are sums with a decay of timingWindow.
	calls, doublings [workKinds]float64
	// slow is set while the factor counts as slow for the operators.
	slow bool
	// step is the published factor, which changed last at version changed.
	step    int
	changed uint64
}

// SpeedChange tells that a server has become slower than the others of its service, or no longer is.
type SpeedChange struct {
	Server  apricotway.BackendServerID
	Service apricotway.Service
	Slow    bool
	// Factor is the time of the server's calls relative to that of the others.
	Factor float64
}

// NewSpeedTable returns a table that has received no timings.
func NewSpeedTable() *SpeedTable {
	return &SpeedTable{servers: map[apricotway.BackendServerID]*serverSpeed{}, services: map[apricotway.Service]ServiceSpeed{}, version: 1}
}

func (s *serverSpeed) decay(now time.Time) {
	keep := math.Exp(-now.Sub(s.at).Seconds() / timingWindow.Seconds())
	s.at = now

	for kind := range workKinds {
		s.calls[kind] *= keep
		s.doublings[kind] *= keep
	}
}

// Report adds the timings of one process. service returns the service of a server, or false for an unknown server.
func (t *SpeedTable) Report(
	now time.Time, timings map[apricotway.BackendServerID]ServerTimings,
	service func(id apricotway.BackendServerID) (apricotway.Service, bool),
) []SpeedChange {
	for id, timing := range timings {
		name, ok := service(id)
		if !ok {
			continue
		}

		known := t.servers[id]
		if known == nil || known.service != name {
			known = &serverSpeed{service: name, at: now, changed: t.version}
			t.servers[id] = known
		}

		known.decay(now)

		for kind := range workKinds {
			add := timing.of(kind)
			known.calls[kind] += float64(add.Calls)
			known.doublings[kind] += float64(add.Doublings) / doublingParts
		}
	}

	if now.Sub(t.evaluatedAt) < publishPeriod {
		return nil
	}

	return t.evaluate(now)
}

// evaluate computes the factors of all services and servers.
func (t *SpeedTable) evaluate(now time.Time) (changes []SpeedChange) {
	t.evaluatedAt = now

	sums := map[apricotway.Service]*serverSpeed{}

	for _, s := range t.servers {
		s.decay(now)

		sum := sums[s.service]
		if sum == nil {
			sum = &serverSpeed{}
			sums[s.service] = sum
		}

		for kind := range workKinds {
			sum.calls[kind] += s.calls[kind]
			sum.doublings[kind] += s.doublings[kind]
		}
	}

	clear(t.services)

	for name, sum := range sums {
		var steps [workKinds]int
		for kind := range workKinds {
			steps[kind] = int(math.Round(commonStepsPerDoubling * sum.doublings[kind] / (sum.calls[kind] + priorCalls)))
		}

		t.services[name] = ServiceSpeed{Plain: steps[kindPlain], Short: steps[kindShort], Long: steps[kindLong]}
	}

	version := t.version + 1

	for id, s := range t.servers {
		exact := speedStepsPerDoubling * s.doublingsAbove(sums[s.service])
		if math.Abs(exact-float64(s.step)) > keepSpeed {
			s.step, s.changed, t.version = min(max(int(math.Round(exact)), minSpeedStep), maxSpeedStep), version, version
		}

		if slow := s.step >= slowStep; slow != s.slow && (slow || s.step <= noLongerSlowStep) {
			s.slow = slow
			changes = append(changes, SpeedChange{Server: id, Service: s.service, Slow: slow, Factor: stepFactor(s.step)})
		}

		if s.step == 0 && s.calls[kindPlain]+s.calls[kindShort]+s.calls[kindLong] < forgottenTiming {
			t.forgotten = max(t.forgotten, s.changed)
			delete(t.servers, id)
		}
	}

	return changes
}

// doublingsAbove returns the binary logarithm of the ratio of the time of the server's calls to that of all servers.
func (s *serverSpeed) doublingsAbove(all *serverSpeed) float64 {
	var sum float64

	calls := priorCalls

	for kind := range workKinds {
		if s.calls[kind] > 0 {
			sum += s.doublings[kind] - s.calls[kind]*all.doublings[kind]/all.calls[kind]
			calls += s.calls[kind]
		}
	}

	return sum / calls
}

// News returns the factors that a process at the given position does not have. holder is the fencing number of the duties.
func (t *SpeedTable) News(holder apricotway.Offset, known SpeedPosition) SpeedNews {
	whole := known.Holder != holder || known.Version > t.version || known.Version < t.forgotten
	news := SpeedNews{
		Position: SpeedPosition{Holder: holder, Version: t.version}, Whole: whole,
		Steps: map[apricotway.BackendServerID]int{}, Services: make(map[apricotway.Service]ServiceSpeed, len(t.services)),
	}

	for id, s := range t.servers {
		if whole && s.step != 0 || !whole && s.changed > known.Version {
			news.Steps[id] = s.step
		}
	}

	for name, speed := range t.services {
		if speed != (ServiceSpeed{}) {
			news.Services[name] = speed
		}
	}

	return news
}

// stepFactor returns the factor of a number of steps of a server.
func stepFactor(step int) float64 {
	return math.Exp2(float64(min(max(step, minSpeedStep), maxSpeedStep)) / speedStepsPerDoubling)
}

// commonFactor returns the factor of a number of steps.
func commonFactor(steps int) float64 {
	return min(max(math.Exp2(float64(steps)/commonStepsPerDoubling), minCommonFactor), maxCommonFactor)
}
