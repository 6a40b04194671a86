package dispatch

import (
	"math"
	"time"

	"github.com/apricotway/apricotway"
)

const (
	// rampPeriod is the shortest time between two changes of an allowance: answers to the calls of the last one have to come first.
	rampPeriod = 300 * time.Millisecond
	// failureWindow is the time constant with which failures and answers lose weight.
	failureWindow = time.Second
	// failuresToRamp is the number of recent failures, over all processes, from which a server that answers fewer calls than it fails is
	// held back.
	failuresToRamp = 2.5
	// lapseWindow is the time constant with which lapses lose weight. A server that comes and goes every 1.4 s keeps several of them.
	lapseWindow = 10 * time.Second
	// badShare is the share of late or failed calls from which an allowance shrinks.
	badShare = 0.25
	// maxGrowth is the relative growth of an allowance without repeated lapses.
	maxGrowth = 3.0
	// maxRampIdle is the time without an answer or a failure after which a slow start ends.
	maxRampIdle = 10 * time.Second
)

// RampTable decides on the slow start of servers from the reports of all processes, on the process that collects them. It is not safe
// for concurrent use.
type RampTable struct {
	servers     map[apricotway.BackendServerID]*rampState
	evaluatedAt time.Time
}

// rampState is what the table knows of one server.
type rampState struct {
	at time.Time
	// failed and good are decaying counts of calls. lapses counts the slow starts after failures.
	failed, good, lapses float64
	// newFailed, newLate and newGood count since the last evaluation.
	newFailed, newLate, newGood int
	// allowance is 0 while the server is not held back. heardAt is the time of the last call that ended there.
	allowance float64
	heardAt   time.Time
	// beganAt is the time at which slow start began last. A server that ended it within rampGrace still counts as new.
	beganAt time.Time
}

// RampChange tells that a slow start has begun or ended.
type RampChange struct {
	Server apricotway.BackendServerID
	// Began is false at the end. Failures is set when it began because of failures.
	Began, Failures bool
}

// NewRampTable returns a table that has received no reports.
func NewRampTable() *RampTable {
	return &RampTable{servers: map[apricotway.BackendServerID]*rampState{}}
}

// Report adds the counts of one process. newServers returns the servers that have appeared, and slots the slots of a server.
func (t *RampTable) Report(
	now time.Time, timings map[apricotway.BackendServerID]ServerTimings, newServers func(now time.Time) []apricotway.BackendServerID,
	slots func(id apricotway.BackendServerID) float64,
) []RampChange {
	for id, timing := range timings {
		s := t.serverAt(now, id)
		s.newFailed += timing.Failed
		s.newLate += timing.Late
		s.newGood += max(timing.Plain.Calls+timing.Short.Calls+timing.Long.Calls-timing.Late, 0)
	}

	if now.Sub(t.evaluatedAt) < rampPeriod {
		return nil
	}

	t.evaluatedAt = now

	var changes []RampChange

	for _, id := range newServers(now) {
		if s := t.serverAt(now, id); s.allowance == 0 && now.Sub(s.beganAt) >= 2*rampGrace {
			s.allowance, s.heardAt, s.beganAt = s.least(), now, now
			changes = append(changes, RampChange{Server: id, Began: true})
		}
	}

	for id, s := range t.servers {
		before := s.allowance
		s.evaluate(now, slots(id))

		if after := s.allowance; (before > 0) != (after > 0) {
			changes = append(changes, RampChange{Server: id, Began: after > 0, Failures: after > 0})
		}

		if s.allowance == 0 && now.Sub(s.beganAt) >= 2*rampGrace && s.failed+s.good+s.lapses < forgottenTiming {
			delete(t.servers, id)
		}
	}

	return changes
}

func (t *RampTable) serverAt(now time.Time, id apricotway.BackendServerID) *rampState {
	if t.servers[id] == nil {
		t.servers[id] = &rampState{at: now}
	}

	return t.servers[id]
}

// again returns the recent lapses but one.
func (s *rampState) again() float64 { return max(s.lapses-1, 0) }

// least returns the smallest allowance. Repeated lapses make it smaller, so that a server that comes and goes gets few calls.
func (s *rampState) least() float64 { return initialAllowance / (1 + 2*s.again()) }

// growth returns the factor by which an allowance grows with good answers. From 2 calls to the 32 slots of an engine takes two steps, and
// seven after a second lapse within some seconds.
func (s *rampState) growth() float64 { return 1 + maxGrowth/(1+4*s.again()*s.again()) }

// evaluate changes the allowance by the calls since the last evaluation.
func (s *rampState) evaluate(now time.Time, slots float64) {
	passed := now.Sub(s.at).Seconds()
	s.at = now

	keep := math.Exp(-passed / failureWindow.Seconds())
	s.failed, s.good = s.failed*keep+float64(s.newFailed), s.good*keep+float64(s.newGood)
	s.lapses *= math.Exp(-passed / lapseWindow.Seconds())

	failed, bad, good := s.newFailed, float64(s.newFailed+s.newLate), float64(s.newGood)
	s.newFailed, s.newLate, s.newGood = 0, 0, 0

	if bad+good > 0 {
		s.heardAt = now
	}

	switch {
	case s.allowance == 0 && s.failed >= failuresToRamp && s.failed > s.good:
		s.lapses++
		s.allowance, s.beganAt = s.least(), now
	case s.allowance == 0:
	case slots == 0 || now.Sub(s.heardAt) >= maxRampIdle:
		s.allowance = 0
	case float64(failed) > good:
		// While it stays down, fewer calls try it.
		if s.allowance > s.least() {
			s.lapses++
			s.allowance = s.least()
		} else {
			s.allowance = max(s.allowance/2, s.least()/2)
		}
	case bad > badShare*(bad+good):
		s.allowance = max(s.allowance/2, min(s.allowance, s.least()))
	case good > 0:
		s.allowance = max(s.allowance, s.least()) * s.growth()
	}

	if s.allowance >= slots {
		s.allowance = 0
	}
}

// Allowances returns the allowances of the servers in slow start, in quarters of a call.
func (t *RampTable) Allowances() map[apricotway.BackendServerID]int {
	allowances := map[apricotway.BackendServerID]int{}

	for id, s := range t.servers {
		if s.allowance > 0 {
			allowances[id] = max(int(math.Round(s.allowance*allowanceParts)), 1)
		}
	}

	return allowances
}
