package canary

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/apricotway/apricotway"
)

const (
	// steps are the exposures before the last one as parts of the budget's share, and the part of the time from which each holds. Together
	// they use a third of the budget. The rest is for the last step, in which the version gets all calls so that those at the old servers
	// can end.
	firstStep, secondStep, thirdStep = 0.15, 0.3, 0.5
	secondFrom, thirdFrom            = 0.35, 0.7
	// earlyRate is the number of calls a second that suffices for a comparison before the last step, where the order is too short for more.
	// The steps get their parts of it.
	earlyRate = 100.0
	// budgetShare and budgetSlack are the parts of the bounds that are planned with. The rest is for changes of the load.
	budgetShare, budgetSlack = 0.9, 0.5
	// reserveShare is the part of the duration that is left between the planned completion and the time limit, within the bounds that
	// follow.
	reserveShare           = 0.1
	minReserve, maxReserve = 800 * time.Millisecond, 5 * time.Second
	// maxHoldShare bounds the part of the duration that the last step takes, and idleHold is its length without traffic.
	maxHoldShare = 0.25
	idleHold     = time.Second
	// arrivalShare and maxArrival bound the time for which an order waits for the first server of its version.
	arrivalShare = 0.5
	maxArrival   = 15 * time.Second
	// maxAbsence is the time without any server of the version after which an order is rolled back, or without any other server after which
	// it is completed. The list of backend servers may be incomplete for a moment.
	maxAbsence = 3 * time.Second
	// minCapacity is the part of the slots of the other servers that those of the version need for all calls. The platform may replace many
	// servers by fewer ones.
	minCapacity = 0.25
	// minAnswered is the part of the version's calls that must have been answered, if there were minAnsweredOf or more.
	minAnswered   = 0.2
	minAnsweredOf = 20
	// minTrial is the time for which the version gets calls before the last step, beyond two reports of each process, also under a new
	// holder, which knows none of the earlier counts.
	minTrial = 500 * time.Millisecond
	// judgePeriod is the shortest time between two judgements.
	judgePeriod = 150 * time.Millisecond
	// rateWindow is the time over which the rate of requests is measured.
	rateWindow = 3 * time.Second
	// lapseMargin is the time beyond the last step and one report of each process after which a process that hears nothing of a decision
	// uses the old servers again.
	lapseMargin = 300 * time.Millisecond
	// confirmTime is the time after a decision within which a new holder writes its state once more: the one before may have ended before
	// it did.
	confirmTime = time.Minute
)

// Capacity is what the list of backend servers holds of a version.
type Capacity struct{ Servers, Slots int }

// View is what the holder knows of a service.
type View struct {
	// Known is set if the configuration has the service.
	Known bool
	// Versions holds the versions with servers that are not leaving.
	Versions map[apricotway.SoftwareVersion]Capacity
	// Period is the time between two reports of a process.
	Period time.Duration
}

// EventKind is what happened to an order.
type EventKind string

// The values of EventKind.
const (
	EventAccepted EventKind = "accepted"
	EventRefused  EventKind = "refused"
	EventExposure EventKind = "exposure"
	EventDecided  EventKind = "decided"
)

// Event tells operators what happened to an order.
type Event struct {
	Kind  EventKind
	State State
	// Refused is the order of EventRefused, and Problem the reason.
	Refused apricotway.VersionShift
	Problem string
}

// Controller decides on the orders at the process that holds the duties. It is not safe for concurrent use.
type Controller struct {
	bounds Bounds
	term   apricotway.Offset
	runs   map[apricotway.Service]*run
	// changes counts what a successor has to know, and saved is the count up to which it was saved.
	changes, saved uint64
}

// run is the newest order of one service.
type run struct {
	State

	beganAt, decidedAt time.Time
	collector          *collector
	// trialAt is the time at which the version first got calls under this term, fullAt the time at which it got all; zero before that.
	trialAt, fullAt time.Time
	// hold is the length of the last step, planned when it began.
	hold time.Duration
	// readyAge is the age at which the version had its first server, and ready is set from then on.
	readyAge time.Duration
	ready    bool
	// absentAt is the time since which the version has no server, and aloneAt that since which no other version has one; zero while there
	// are.
	absentAt, aloneAt time.Time
	judgedAt          time.Time
	// history holds the readings of the last time, from historyFrom on: the counts of a new holder jump until all processes have reported.
	history     []reading
	historyFrom time.Time
	// completing is set once the version was found good, until the completion has been recorded, and final from when that may have been.
	completing, final bool
	// changedAt is the count of changes at the last change of this run.
	changedAt uint64
	// status is what the operators have to be told, and told is what they have been.
	status, told *apricotway.VersionShiftStatus
}

// reading is the number of requests for the service up to a time.
type reading struct {
	at       time.Time
	requests uint64
}

// NewController returns the controller of a holder of the duties with the fencing number term. states are those that other processes and the
// last holder have told; the newest one of each service counts. Those that were saved come first: of a state of the same revision, the saved
// one may have a completion that was not told to the processes yet.
func NewController(now time.Time, bounds Bounds, term apricotway.Offset, states []State) *Controller {
	c := &Controller{bounds: bounds, term: term, runs: map[apricotway.Service]*run{}}

	for i := range states {
		state := &states[i]
		if known := c.runs[state.Service]; known != nil && !state.newer(&known.State) {
			continue
		}

		adopted := &run{
			State: *state, beganAt: now.Add(-state.Age), decidedAt: now.Add(-state.Decided), collector: newCollector(),
		}
		adopted.Share, adopted.Lapse, adopted.ready = 0, 0, state.Exposed > 0

		if state.State == apricotway.VersionShiftRunning && adopted.ready ||
			state.State != apricotway.VersionShiftRunning && state.State != "" && state.Decided < confirmTime {
			adopted.status = adopted.statusOf()
		}

		c.runs[state.Service] = adopted
	}

	for _, r := range c.runs {
		c.change(r)
	}

	return c
}

// change notes a change that a successor and the other processes have to know.
func (c *Controller) change(r *run) {
	c.changes++
	r.Term, r.Revision, r.changedAt = c.term, r.Revision+1, c.changes
}

func (r *run) statusOf() *apricotway.VersionShiftStatus {
	return &apricotway.VersionShiftStatus{Service: r.Service, Version: r.Version, State: r.State.State, Reason: r.Reason}
}

// TakeOrders takes the newest orders up.
func (c *Controller) TakeOrders(
	now time.Time, orders []apricotway.VersionShift, view func(apricotway.Service) View,
) []Event {
	var events []Event

	for _, order := range orders {
		r := c.runs[order.Service]
		if r != nil && r.knows(&order) {
			continue
		}

		if r == nil {
			r = &run{State: State{Service: order.Service}, collector: newCollector()}
			c.runs[order.Service] = r
		}

		if problem, harmless := r.problemOf(&order, view(order.Service)); problem != "" {
			events = append(events, c.refuse(r, order, problem, harmless))
			continue
		}

		events = append(events, c.accept(now, r, order, view(order.Service)))
	}

	return events
}

// knows reports whether an order is not newer than those taken up. After the store has come back from an older copy, an order may have the
// position of another one.
func (r *run) knows(order *apricotway.VersionShift) bool {
	newest := max(r.Order.Offset, r.Refused.Offset)
	if order.Position.Offset != newest {
		return order.Position.Offset < newest
	}

	return order.Position.Era == max(r.Order.Era, r.Refused.Era) || order.Version == r.Version
}

// problemOf returns why an order is refused, empty if it is not. It is harmless if it only repeats the order that is running.
func (r *run) problemOf(order *apricotway.VersionShift, view View) (problem string, harmless bool) {
	switch {
	case order.Problem != "":
		return order.Problem, false
	case !view.Known:
		return "unknown service " + string(order.Service), false
	case order.Version == "":
		return "the order names no version", false
	case order.Duration <= 0:
		return "the duration is not above 0", false
	case r.State.State != apricotway.VersionShiftRunning:
		return "", false
	case order.Version == r.Version:
		return "the order for this version is running", true
	default:
		return "the order for version " + string(r.Version) + " is running", false
	}
}

func (c *Controller) refuse(r *run, order apricotway.VersionShift, problem string, harmless bool) Event {
	r.Refused = order.Position
	c.change(r)

	switch {
	case harmless:
	case r.State.State == apricotway.VersionShiftRunning:
		r.status = r.statusOf()
		r.status.Reason = "refused the order for version " + string(order.Version) + ": " + problem
	default:
		r.status = &apricotway.VersionShiftStatus{
			Service: order.Service, Version: order.Version, State: apricotway.VersionShiftRolledBack, Reason: "refused: " + problem,
		}
	}

	return Event{Kind: EventRefused, State: r.State, Refused: order, Problem: problem}
}

func (c *Controller) accept(now time.Time, before *run, order apricotway.VersionShift, view View) Event {
	r := &run{State: State{
		Order: order.Position, Service: order.Service, Version: order.Version, Duration: order.Duration,
		State: apricotway.VersionShiftRunning, Refused: before.Refused, Revision: before.Revision,
		Denied: slices.DeleteFunc(slices.Clone(before.Denied), func(v apricotway.SoftwareVersion) bool { return v == order.Version }),
	}, beganAt: now, collector: newCollector(), told: before.told}

	for _, version := range slices.Sorted(maps.Keys(view.Versions)) {
		if version != order.Version && !slices.Contains(r.Denied, version) {
			r.Others = append(r.Others, version)
		}
	}

	c.runs[order.Service] = r
	c.change(r)

	return Event{Kind: EventAccepted, State: r.State}
}

// Report adds the counts of a process.
func (c *Controller) Report(node apricotway.NodeID, reports []ServiceReport) {
	for i := range reports {
		if r := c.runs[reports[i].Service]; r != nil && r.Order == reports[i].Order && r.State.State == apricotway.VersionShiftRunning {
			r.collector.add(node, &reports[i])
		}
	}
}

// Step changes exposures and decides orders.
func (c *Controller) Step(now time.Time, view func(apricotway.Service) View) []Event {
	var events []Event

	for _, service := range slices.Sorted(maps.Keys(c.runs)) {
		if r := c.runs[service]; r.State.State == apricotway.VersionShiftRunning && !r.final {
			if event, ok := c.step(now, r, view(service)); ok {
				events = append(events, event)
			}
		}
	}

	return events
}

func (c *Controller) step(now time.Time, r *run, view View) (Event, bool) {
	age := now.Sub(r.beganAt)
	capacity := view.Versions[r.Version]

	requests, exposed := r.collector.totals()
	r.Requests, r.Exposed = max(r.Requests, requests), max(r.Exposed, exposed)
	r.record(now, view.Period)

	if capacity.Servers == 0 {
		return c.stepWithout(now, r, age)
	}

	r.absentAt = time.Time{}

	if !r.ready {
		r.ready, r.readyAge = true, age
		r.status = r.statusOf()
	}

	if r.completing {
		return c.recheck(now, r, capacity)
	}

	if !r.hasOthers(view) {
		if r.aloneAt.IsZero() {
			r.aloneAt = now
		}

		if now.Sub(r.aloneAt) < maxAbsence {
			return Event{}, false
		}

		return c.complete(r, "no other version serves")
	}

	r.aloneAt = time.Time{}

	if bad := r.judge(now, capacity, false); bad != "" {
		return c.rollBack(now, r, bad)
	}

	p := c.plan(r, now, view.Period)

	switch {
	case !r.fullAt.IsZero():
		if now.Sub(r.fullAt) < r.hold && r.Exposed < uint64(max(p.budget, 1)) {
			return Event{}, false
		}

		return c.decide(now, r, capacity)
	case age >= r.Duration:
		return c.rollBack(now, r, "the time limit passed before the version could be judged at all calls")
	case p.full && r.suffices(view):
		r.fullAt, r.hold = now, p.hold

		return c.expose(r, 1, p.lapse)
	default:
		if r.trialAt.IsZero() {
			r.trialAt = now
		}

		return c.expose(r, max(p.share, r.Share), 0)
	}
}

// stepWithout decides on an order whose version has no servers at present.
func (c *Controller) stepWithout(now time.Time, r *run, age time.Duration) (Event, bool) {
	if r.absentAt.IsZero() {
		r.absentAt = now
	}

	switch {
	case !r.ready && age >= min(time.Duration(arrivalShare*float64(r.Duration)), maxArrival):
		return c.rollBack(now, r, "unknown version: no server of it has registered")
	case r.ready && now.Sub(r.absentAt) >= maxAbsence:
		return c.rollBack(now, r, "all servers of the version have gone")
	default:
		return Event{}, false
	}
}

// recheck judges a version that was found good until its completion may have been recorded.
func (c *Controller) recheck(now time.Time, r *run, capacity Capacity) (Event, bool) {
	if bad := r.judge(now, capacity, false); bad != "" {
		return c.rollBack(now, r, bad)
	}

	return Event{}, false
}

// decide ends an order at the end of its last step.
func (c *Controller) decide(now time.Time, r *run, capacity Capacity) (Event, bool) {
	if bad := r.judge(now, capacity, true); bad != "" {
		return c.rollBack(now, r, bad)
	}

	candidate, _ := r.collector.sides(r.Version, 0)
	answered := 0

	for route := range candidate {
		sum := candidate.sum(route)
		answered += sum.calls
	}

	if _, exposed := r.collector.totals(); exposed >= minAnsweredOf && float64(answered) < minAnswered*float64(exposed) {
		return c.rollBack(now, r, "the version answered "+strconv.Itoa(answered)+" of "+strconv.FormatUint(exposed, 10)+" calls")
	}

	return c.complete(r, "no worse than the versions before it")
}

func (r *run) hasOthers(view View) bool {
	for version := range view.Versions {
		if version != r.Version && !slices.Contains(r.Denied, version) {
			return true
		}
	}

	return false
}

// suffices reports whether the servers of the version can take all calls.
func (r *run) suffices(view View) bool {
	others := 0

	for version, capacity := range view.Versions {
		if version != r.Version && !slices.Contains(r.Denied, version) {
			others += capacity.Slots
		}
	}

	return float64(view.Versions[r.Version].Slots) >= minCapacity*float64(others)
}

// judge judges the version by the newest counts, if the last judgement is not very recent, over short and long times: a version may turn bad
// late.
func (r *run) judge(now time.Time, capacity Capacity, again bool) string {
	if now.Sub(r.judgedAt) < judgePeriod && !again {
		return ""
	}

	r.judgedAt = now
	current := sliceOf(r.Duration, now.Sub(r.beganAt))

	_, whole := r.collector.sides(r.Version, 0)

	for _, covered := range []int{2, keptSlices + 1, 2*keptSlices + 1, current + 1} {
		if covered > current+1 {
			break
		}

		if bad := r.collector.judge(r.Version, current+1-covered, capacity.Servers, whole, !r.fullAt.IsZero()); bad != "" {
			return bad
		}
	}

	return ""
}

// record records the number of requests, from which the rate is determined.
func (r *run) record(now time.Time, period time.Duration) {
	if r.historyFrom.IsZero() {
		r.historyFrom = now.Add(2 * period)
	}

	if now.Before(r.historyFrom) {
		return
	}

	r.history = append(r.history, reading{now, r.Requests})

	for len(r.history) > 1 && now.Sub(r.history[1].at) >= rateWindow {
		r.history = r.history[1:]
	}
}

// rate returns the requests per second.
func (r *run) rate(now time.Time) float64 {
	mean := float64(r.Requests) / max(now.Sub(r.beganAt).Seconds(), 1)
	if len(r.history) == 0 {
		return mean
	}

	first := r.history[0]

	return max(mean, float64(r.Requests-first.requests)/max(now.Sub(first.at).Seconds(), 1))
}

// plan is what an order needs at one time.
type plan struct {
	// share is the exposure before the last step, and full is set when that is due. hold is how long it takes, and lapse the time after
	// which processes that hear nothing leave it.
	share       float64
	full        bool
	hold, lapse time.Duration
	// budget is the number of requests that the version may get until the order is decided.
	budget float64
}

// plan plans an order such that the version, if it turns bad in the last step, has got no more than its budget when processes learn of the
// rollback. A process learns of each change with the answer to its next report, and reports keep their distance, so each process is in the
// last step for as long as the holder is.
func (c *Controller) plan(r *run, now time.Time, period time.Duration) plan {
	age, rate := now.Sub(r.beganAt), r.rate(now)
	expected := float64(r.Requests) + rate*max(r.Duration-age, 0).Seconds()
	budget := budgetShare*c.bounds.Share*expected + budgetSlack*c.bounds.Slack

	p := plan{budget: budget, hold: idleHold}
	longest := time.Duration(maxHoldShare * float64(r.Duration))

	if rate > 0 {
		left := budget - float64(r.Exposed) - r.Share*rate*period.Seconds()
		p.hold = time.Duration(min(max(left, 0)/rate, longest.Seconds()) * float64(time.Second))
	}

	p.hold = min(p.hold, longest)
	p.lapse = p.hold + period + lapseMargin

	reserve := min(max(time.Duration(reserveShare*float64(r.Duration)), minReserve), maxReserve)
	fullAge := r.Duration - reserve - p.hold
	trial := 2*period + minTrial
	p.full = age >= fullAge && !r.trialAt.IsZero() && now.Sub(r.trialAt) >= trial

	progress := float64(age-r.readyAge) / float64(max(fullAge-r.readyAge, time.Millisecond))

	part := thirdStep

	switch {
	case progress < secondFrom:
		part = firstStep
	case progress < thirdFrom:
		part = secondStep
	}

	p.share = part * c.bounds.Share

	// The last step needs the budget more than a comparison that has enough calls.
	if p.hold < trial && rate > 0 {
		p.share = min(p.share, part*earlyRate/rate)
	}

	return p
}

func (c *Controller) expose(r *run, share float64, lapse time.Duration) (Event, bool) {
	if r.Share == share {
		return Event{}, false
	}

	r.Share, r.Lapse = share, lapse
	c.change(r)

	return Event{Kind: EventExposure, State: r.State}, true
}

// complete finds the version good. The order is completed once that has been saved and the operators are told.
func (c *Controller) complete(r *run, reason string) (Event, bool) {
	r.completing, r.Reason = true, reason
	c.change(r)
	r.status = r.statusOf()
	r.status.State = apricotway.VersionShiftCompleted

	return Event{}, false
}

func (c *Controller) rollBack(now time.Time, r *run, reason string) (Event, bool) {
	r.State.State, r.Reason, r.Share, r.Lapse, r.decidedAt = apricotway.VersionShiftRolledBack, reason, 0, 0, now
	r.completing = false
	r.Denied = append(slices.Clone(r.Denied), r.Version)
	c.change(r)
	r.status = r.statusOf()

	return Event{Kind: EventDecided, State: r.State}, true
}

// States returns the states for the other processes.
func (c *Controller) States(now time.Time) []State {
	states := make([]State, 0, len(c.runs))

	for _, service := range slices.Sorted(maps.Keys(c.runs)) {
		r := c.runs[service]
		state := r.State
		state.Age, state.Decided = now.Sub(r.beganAt), now.Sub(r.decidedAt)

		if r.Lapse > 0 {
			// While the completion is being recorded, the version gets all calls.
			state.Lapse = max(r.Lapse-now.Sub(r.fullAt), time.Millisecond)
			if r.completing {
				state.Lapse = 0
			}
		}

		states = append(states, state)
	}

	return states
}

// Unsaved returns the states to save for a successor, with a number for MarkSaved, or false if all have been saved.
func (c *Controller) Unsaved(now time.Time) (states []State, change uint64, ok bool) {
	if c.saved == c.changes {
		return nil, 0, false
	}

	states = c.States(now)
	for i := range states {
		if c.runs[states[i].Service].completing {
			states[i].State, states[i].Decided = apricotway.VersionShiftCompleted, 0
		}
	}

	return states, c.changes, true
}

// MarkSaved records that the states up to a change have been saved.
func (c *Controller) MarkSaved(change uint64) { c.saved = max(c.saved, change) }

// Untold returns a state that the operators have to be told, or false if there is none. It has been saved. The completion of an order is
// final from then on, since it is not known whether telling it succeeds.
func (c *Controller) Untold() (apricotway.VersionShiftStatus, bool) {
	for _, service := range slices.Sorted(maps.Keys(c.runs)) {
		r := c.runs[service]
		if r.status == nil || r.told != nil && *r.told == *r.status || r.changedAt > c.saved {
			continue
		}

		r.final = r.final || r.completing && r.status.State == apricotway.VersionShiftCompleted

		return *r.status, true
	}

	return apricotway.VersionShiftStatus{}, false
}

// MarkTold records that the operators have been told a state.
func (c *Controller) MarkTold(now time.Time, status apricotway.VersionShiftStatus) []Event {
	r := c.runs[status.Service]
	if r == nil {
		return nil
	}

	r.told = &status

	if !r.completing || status.State != apricotway.VersionShiftCompleted || status.Version != r.Version {
		return nil
	}

	r.State.State, r.decidedAt, r.completing = apricotway.VersionShiftCompleted, now, false
	r.Share, r.Lapse = 0, 0
	c.change(r)

	return []Event{{Kind: EventDecided, State: r.State}}
}

// Term returns the fencing number of the holder.
func (c *Controller) Term() apricotway.Offset { return c.term }
