package fairshare

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/apricotway/apricotway"
)

const (
	// minWindow is the time over which rates are averaged, unless reports come less often. A workspace that calls less gives its room back
	// within about this time and two reports.
	minWindow = 500 * time.Millisecond
	// briefWindow is the time within which a rise is noticed, and risenBy the number of standard deviations that counts as one.
	briefWindow = 200 * time.Millisecond
	risenBy     = 2
	// learningWindows is the number of windows after which a new center has heard enough.
	learningWindows = 2
	// minRejections is the number of rejections within the window, and minRejectedFraction their fraction of the calls sent, that shows
	// that servers are full.
	minRejections       = 3
	minRejectedFraction = 0.01
	// saturatedFraction is the fraction of rejections from which the servers' slots are certain to be taken.
	saturatedFraction = 0.05
	// lateFraction of the objective as mean time, with queuedRatio times as many calls at the servers as they have slots, shows that the
	// queues of servers that never reject are too long.
	lateFraction = 0.8
	queuedRatio  = 1.2
	// overloadMemory is the time after the last sign of overload for which shares are decided.
	overloadMemory = 2 * time.Second
	// queueFraction of the objective is the mean time in the queue of a server that the throughput is regulated to: as much again is left for
	// the difference between servers and calls. Without an objective a call may take unknownTarget times as long as it runs.
	queueFraction = 0.3
	unknownTarget = 4
	// gain is the relative correction of the throughput for a mean time of 0 or of twice the target. News takes up to two reports and the
	// window, about a second, in which the correction must not fill or empty more than a queue of the target's length.
	gain          = 0.2
	minCorrection = 0.7
	maxCorrection = 1.15
	// minWait and maxWait bound the time after which callers are told to return.
	minWait = 200 * time.Millisecond
	maxWait = 4 * time.Second
	// minEnded is the number of calls in a window from which the throughput of a server is estimated. unknownPart and minPart: see
	// serviceLoad.throughputs.
	minEnded    = 1
	unknownPart = 0.5
	minPart     = 0.1
	// objectiveMemory is the time for which an objective counts after the last call that has it.
	objectiveMemory = 30 * time.Second
	// minVolume is the number of calls in a window below which a class or a server is forgotten.
	minVolume = 0.01
	// negligible is the fraction of the calls of a class that is not worth refusing.
	negligible = 0.01
)

// Center collects the reports of all processes and decides the shares. It is not safe for concurrent use.
type Center struct {
	startedAt time.Time
	// window is the time over which rates are averaged.
	window   time.Duration
	services map[apricotway.Service]*serviceLoad
}

// NewCenter returns a center that has heard nothing.
func NewCenter() *Center {
	return &Center{window: minWindow, services: map[apricotway.Service]*serviceLoad{}}
}

// serviceLoad is what all processes together reported of one service. The sums decay with the window.
type serviceLoad struct {
	at      time.Time
	arrived map[Class]*counts
	servers map[apricotway.BackendServerID]*serverLoad
	// objective is the shortest objective of calls, last reported at objectiveAt.
	objective   time.Duration
	objectiveAt time.Time
	// overloadedAt is the time of the last sign of overload.
	overloadedAt time.Time
	// state is the last decision.
	state State
}

// serverLoad counts answers of one server.
type serverLoad struct {
	rejected, ended float64
	// took is in seconds.
	took float64
	// slots is what the server said last.
	slots float64
}

// counts are the calls of a class within the window, and within a brief one.
type counts struct{ lasting, brief float64 }

// rate returns the calls per second. A class that begins to call more is noticed within the brief window.
func (c *counts) rate(window time.Duration) float64 {
	lasting := c.lasting / window.Seconds()

	// The variance of a decaying sum of random arrivals is half of its mean.
	mean := lasting * briefWindow.Seconds()
	if c.brief > mean+risenBy*math.Sqrt(mean/2+1) {
		return c.brief / briefWindow.Seconds()
	}

	return lasting
}

// State is what the center has decided for a service, for operators.
type State struct {
	Service apricotway.Service `json:"service"`
	// Overloaded is set while shares are decided.
	Overloaded bool `json:"overloaded"`
	// Arriving, Throughput and Rejected are in calls per second; Throughput is what is admitted at most.
	Arriving   float64 `json:"arriving"`
	Throughput float64 `json:"throughput"`
	Rejected   float64 `json:"rejected"`
	// MeanSeconds is the mean time of a call at the servers.
	MeanSeconds float64 `json:"meanSeconds"`
	// Servers is the part of Throughput of each server.
	Servers []Throughput `json:"servers"`
	// Shares lists the classes of which a part is refused.
	Shares []Share `json:"shares"`
}

// Report adds the report of a process. Each process reports once a period.
func (c *Center) Report(now time.Time, period time.Duration, usage Usage) {
	if c.startedAt.IsZero() {
		c.startedAt = now
	}

	c.window = max(minWindow, period)

	for _, arrivals := range usage.Arrivals {
		load := c.load(now, arrivals.Service)

		class := load.arrived[arrivals.Class]
		if class == nil {
			class = &counts{}
			load.arrived[arrivals.Class] = class
		}

		class.lasting += float64(max(arrivals.Calls, 0))
		class.brief += float64(max(arrivals.Calls, 0))

		if arrivals.Objective > 0 && (arrivals.Objective <= load.objective || now.Sub(load.objectiveAt) > objectiveMemory) {
			load.objective, load.objectiveAt = arrivals.Objective, now
		}
	}

	for _, answers := range usage.Answers {
		load := c.load(now, answers.Service)

		server := load.servers[answers.Server]
		if server == nil {
			server = &serverLoad{}
			load.servers[answers.Server] = server
		}

		server.rejected += float64(max(answers.Rejected, 0))
		server.ended += float64(max(answers.Ended, 0))
		server.took += max(answers.Took, 0).Seconds()

		if answers.Slots > 0 {
			server.slots = float64(answers.Slots)
		}
	}
}

// load returns the load of a service as of the given time.
func (c *Center) load(now time.Time, service apricotway.Service) *serviceLoad {
	load := c.services[service]
	if load == nil {
		load = &serviceLoad{at: now, arrived: map[Class]*counts{}, servers: map[apricotway.BackendServerID]*serverLoad{}}
		c.services[service] = load
	}

	load.decay(now, c.window)

	return load
}

// Decide returns the shares. servers returns the servers of a service that take calls.
func (c *Center) Decide(now time.Time, servers func(apricotway.Service) []Server) Shares {
	if c.startedAt.IsZero() || now.Sub(c.startedAt) < learningWindows*c.window {
		return Shares{}
	}

	decided := Shares{Known: true}

	for service, load := range c.services {
		load.decay(now, c.window)

		if len(load.arrived) == 0 {
			delete(c.services, service)
			continue
		}

		load.decide(now, service, c.window, servers(service))

		if load.state.Overloaded {
			decided.Shares = append(decided.Shares, load.state.Shares...)
			decided.Servers = append(decided.Servers, load.state.Servers...)
		}
	}

	return decided
}

// States returns the last decision for each service.
func (c *Center) States() []State {
	states := make([]State, 0, len(c.services))
	for _, load := range c.services {
		states = append(states, load.state)
	}

	slices.SortFunc(states, func(a, b State) int { return cmp.Compare(a.Service, b.Service) })

	return states
}

// decay ages the sums to the given time.
func (l *serviceLoad) decay(now time.Time, window time.Duration) {
	elapsed := now.Sub(l.at)
	if elapsed <= 0 {
		return
	}

	factor, brief := decayFactor(elapsed, window), decayFactor(elapsed, briefWindow)
	l.at = now

	for id, server := range l.servers {
		server.rejected *= factor
		server.ended *= factor
		server.took *= factor

		if server.rejected+server.ended < minVolume {
			delete(l.servers, id)
		}
	}

	for class, count := range l.arrived {
		count.lasting *= factor
		count.brief *= brief

		if count.lasting < minVolume {
			delete(l.arrived, class)
		}
	}
}

// throughput estimates the calls per second with which the queue of a server has its target length. It returns false if too few calls have
// ended to tell.
func (l *serverLoad) throughput(window, objective time.Duration, slots float64) (float64, bool) {
	if l == nil || l.ended < minEnded {
		return 0, false
	}

	if slots == 0 {
		slots = l.slots
	}

	mean := l.took / l.ended
	completed := l.ended / window.Seconds()
	rejected := l.rejected / (l.rejected + l.ended)

	// By Little's law completed*mean calls are at the server. If these are fewer than its slots, each of them runs, and all slots would
	// complete slots/mean. If there are more, the slots are taken, and complete what they can.
	capacity := completed
	if rejected < saturatedFraction && mean > 0 {
		capacity = max(completed, slots/mean)
	}

	runs := mean
	if slots > 0 {
		runs = min(mean, slots/capacity)
	}

	target := unknownTarget * runs
	if objective > 0 {
		target = runs + queueFraction*objective.Seconds()
	}

	// Rejections count in addition to the time: a server may reject calls before its queue is long.
	correction := 1 + gain*(target-mean)/max(target, 1e-9) - rejected

	return capacity * min(max(correction, minCorrection), maxCorrection), true
}

// throughputs returns the throughput of each present server, and their sum. A server of which nothing is known counts as half of the mean
// of the others, and none gets less than minPart of the mean, so that it is measured again.
func (l *serviceLoad) throughputs(service apricotway.Service, window time.Duration, servers []Server) ([]Throughput, float64) {
	var sum, known float64

	list := make([]Throughput, 0, len(servers))

	for _, server := range servers {
		perSecond, ok := l.servers[server.ID].throughput(window, l.objective, server.Slots)
		if ok {
			sum += perSecond
			known++
		}

		list = append(list, Throughput{Service: service, Server: server.ID, PerSecond: perSecond})
	}

	if known == 0 {
		return nil, 0
	}

	mean := sum / known
	sum = 0

	for i := range list {
		if list[i].PerSecond == 0 {
			list[i].PerSecond = unknownPart * mean
		}

		list[i].PerSecond = max(list[i].PerSecond, minPart*mean)
		sum += list[i].PerSecond
	}

	return list, sum
}

// decide decides on the service. More is admitted than is served while the servers show no sign of overload.
func (l *serviceLoad) decide(now time.Time, service apricotway.Service, window time.Duration, servers []Server) {
	var total serverLoad

	slots := 0.0

	for _, server := range servers {
		load := l.servers[server.ID]
		if load != nil {
			total.rejected += load.rejected
			total.ended += load.ended
			total.took += load.took
		}

		switch {
		case server.Slots > 0:
			slots += server.Slots
		case load != nil:
			slots += load.slots
		}
	}

	if total.showsOverload(window, l.objective, slots) {
		l.overloadedAt = now
	}

	l.state = State{
		Service: service, Rejected: total.rejected / window.Seconds(), MeanSeconds: total.took / max(total.ended, 1e-9), Shares: []Share{},
	}
	l.state.Servers, l.state.Throughput = l.throughputs(service, window, servers)

	wants := make([]*want, 0, len(l.arrived))

	for class, count := range l.arrived {
		wants = append(wants, &want{class: class, weight: 1, arrives: count.rate(window)})
	}

	slices.SortFunc(wants, func(a, b *want) int {
		return cmp.Or(cmp.Compare(a.class.Rank, b.class.Rank), cmp.Compare(a.class.Workspace, b.class.Workspace))
	})

	for _, w := range wants {
		l.state.Arriving += w.arrives
	}

	// Without a completed call nothing tells what the servers can do.
	if l.overloadedAt.IsZero() || now.Sub(l.overloadedAt) >= overloadMemory || l.state.Throughput == 0 {
		return
	}

	l.state.Overloaded = true

	if l.state.Arriving <= l.state.Throughput {
		return
	}

	l.overloadedAt = now

	divide(l.state.Throughput, wants)

	for _, w := range wants {
		if w.given >= w.arrives*(1-negligible) {
			continue
		}

		wait := time.Duration((w.arrives - w.given) / max(w.given, 1e-3) * float64(time.Second))
		l.state.Shares = append(l.state.Shares, Share{
			Class: w.class, Admitted: w.given / w.arrives, Wait: min(max(wait, minWait), maxWait),
		})
	}
}

// showsOverload reports whether the answers of the servers show by themselves that these have more calls than they can serve in time.
func (l *serverLoad) showsOverload(window, objective time.Duration, slots float64) bool {
	if l.rejected >= minRejections && l.rejected > minRejectedFraction*(l.rejected+l.ended) {
		return true
	}

	return slots > 0 && objective > 0 && l.ended >= minRejections && l.took > l.ended*lateFraction*objective.Seconds() &&
		l.took/window.Seconds() > queuedRatio*slots
}
