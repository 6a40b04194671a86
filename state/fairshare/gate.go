package fairshare

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/apricotway/apricotway"
)

const (
	// backOffFraction of the objective is the mean time for which a server that has rejected a call gets none of this process. Its queue is
	// as long as it gets then, so that a call sent at once would be late even if it were taken. defaultBackOff applies without an objective.
	backOffFraction = 0.25
	defaultBackOff  = 75 * time.Millisecond
	// usefulFraction of the time that a caller has left is the longest Retry-After: a longer one leaves too little for the call itself.
	usefulFraction = 0.3
	// idleTime is the time after which a class without calls is forgotten.
	idleTime = 30 * time.Second
)

// Gate admits the calls of one process. It is safe for concurrent use.
type Gate struct {
	mu      sync.Mutex
	random  *rand.Rand
	classes map[Class]*classState
	// answers holds what the servers answered since the last report.
	answers map[apricotway.BackendServerID]*Answers
	// spread holds the throughput of each server of the services that have more calls than they can serve. The inner maps are not changed.
	spread map[apricotway.Service]map[apricotway.BackendServerID]float64
	// until is the time at which the shares and the spread end unless newer ones come.
	until time.Time
	// shed holds the time until which a server of a service gets no calls because it has rejected one.
	shed map[apricotway.Service]map[apricotway.BackendServerID]time.Time
	// waiting holds the calls that wait for a server of a service, in the order in which they are sent.
	waiting map[apricotway.Service][]*Waiter
}

type classState struct {
	// arrivals counts the calls since the last report.
	arrivals Arrivals
	usedAt   time.Time
	// share is the share in force; limited is false if there is none.
	share   Share
	limited bool
	// credit grows by the share with each arrival; a call is admitted for each whole unit. It begins at a random value, so that the
	// processes do not all refuse their first call.
	credit float64
}

// GateOption configures a Gate in NewGate.
type GateOption func(*Gate)

// WithRandom sets the source of random choices.
func WithRandom(random *rand.Rand) GateOption { return func(g *Gate) { g.random = random } }

// NewGate returns a gate that admits all calls.
func NewGate(options ...GateOption) *Gate {
	g := &Gate{
		random:  rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		classes: map[Class]*classState{}, answers: map[apricotway.BackendServerID]*Answers{},
		shed:    map[apricotway.Service]map[apricotway.BackendServerID]time.Time{},
		waiting: map[apricotway.Service][]*Waiter{},
	}
	for _, option := range options {
		option(g)
	}

	return g
}

func (g *Gate) classLocked(now time.Time, class Class) *classState {
	state := g.classes[class]
	if state == nil {
		state = &classState{arrivals: Arrivals{Class: class}, credit: g.random.Float64()}
		g.classes[class] = state
	}

	state.usedAt = now

	return state
}

// Admit counts the arrival of a call and decides whether it may be sent. For a call that may not, it returns the time after which the caller
// may try again, of which remaining is the time that it has left.
func (g *Gate) Admit(now time.Time, class Class, objective, remaining time.Duration) (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()

	state := g.classLocked(now, class)
	state.arrivals.Calls++

	if objective > 0 && (state.arrivals.Objective == 0 || objective < state.arrivals.Objective) {
		state.arrivals.Objective = objective
	}

	if !state.limited || !now.Before(g.until) {
		return 0, true
	}

	state.credit = min(state.credit+state.share.Admitted, 2)
	if state.credit >= 1 {
		state.credit--
		return 0, true
	}

	return g.retryAfterLocked(state.share.Wait, remaining), false
}

// retryAfterLocked returns a time around the given one, bounded to what is useful to the caller.
func (g *Gate) retryAfterLocked(wait, remaining time.Duration) time.Duration {
	longest := min(wait+wait/2, time.Duration(usefulFraction*float64(remaining)))

	return max(time.Duration((0.5+0.5*g.random.Float64())*float64(longest)), time.Millisecond)
}

// RecordRejected records that a server rejected a call. The server gets no calls of this process for a short time.
func (g *Gate) RecordRejected(
	now time.Time, service apricotway.Service, server apricotway.BackendServerID, objective time.Duration,
) {
	g.mu.Lock()
	defer g.mu.Unlock()

	g.answersLocked(service, server).Rejected++

	if g.shed[service] == nil {
		g.shed[service] = map[apricotway.BackendServerID]time.Time{}
	}

	backOff := defaultBackOff
	if objective > 0 {
		backOff = time.Duration(backOffFraction * float64(objective))
	}

	// Random, so that the processes that a full server has rejected do not come back at once.
	g.shed[service][server] = now.Add(time.Duration((0.5 + g.random.Float64()) * float64(backOff)))
}

// RecordEnded records that a server answered a call that it ran, the time that it took, and the load that the server reported, if any.
func (g *Gate) RecordEnded(
	service apricotway.Service, server apricotway.BackendServerID, took time.Duration, load *apricotway.BackendLoad,
) {
	g.mu.Lock()
	defer g.mu.Unlock()

	answers := g.answersLocked(service, server)
	answers.Ended++
	answers.Took += took

	if load != nil {
		answers.Slots = load.Slots
	}
}

func (g *Gate) answersLocked(service apricotway.Service, server apricotway.BackendServerID) *Answers {
	if g.answers[server] == nil {
		g.answers[server] = &Answers{Service: service, Server: server}
	}

	return g.answers[server]
}

// Shedding returns the servers that have just rejected calls of this process, appended to a copy of others if there are any, and the time
// until the first of them may get calls again.
func (g *Gate) Shedding(
	now time.Time, service apricotway.Service, others []apricotway.BackendServerID,
) ([]apricotway.BackendServerID, time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()

	if len(g.shed[service]) == 0 {
		return others, 0
	}

	var first time.Duration

	all := slices.Clone(others)

	for server, until := range g.shed[service] {
		rest := until.Sub(now)
		if rest <= 0 {
			delete(g.shed[service], server)
			continue
		}

		all = append(all, server)

		if first == 0 || rest < first {
			first = rest
		}
	}

	return all, first
}

// RetryAfter returns the time after which a caller may try again whose call found only servers that had just rejected calls.
func (g *Gate) RetryAfter(class Class, until, remaining time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()

	wait := max(until, minWait)
	if state := g.classes[class]; state != nil && state.limited {
		wait = max(wait, state.share.Wait)
	}

	return g.retryAfterLocked(wait, remaining)
}

// TakeUsage returns what happened since it was last called.
func (g *Gate) TakeUsage(now time.Time) Usage {
	g.mu.Lock()
	defer g.mu.Unlock()

	var taken Usage

	for _, answers := range g.answers {
		taken.Answers = append(taken.Answers, *answers)
	}

	clear(g.answers)

	for class, state := range g.classes {
		if state.arrivals.Calls > 0 {
			taken.Arrivals = append(taken.Arrivals, state.arrivals)
			state.arrivals = Arrivals{Class: class}
		} else if now.Sub(state.usedAt) > idleTime {
			delete(g.classes, class)
		}
	}

	return taken
}

// Change is a service whose calls this process has begun or ceased to refuse.
type Change struct {
	Service apricotway.Service
	// Limited is the number of classes of which a part is refused, 0 at the end.
	Limited int
}

// Learn puts the shares of the center in force for the given time, and returns what that changes. Shares that are not known change nothing.
func (g *Gate) Learn(now time.Time, lifetime time.Duration, shares Shares) []Change {
	if !shares.Known {
		return nil
	}

	g.mu.Lock()
	defer g.mu.Unlock()

	before, after := map[apricotway.Service]int{}, map[apricotway.Service]int{}

	for class, state := range g.classes {
		if state.limited && now.Before(g.until) {
			before[class.Service]++
		}

		state.limited = false
	}

	for _, share := range shares.Shares {
		// A fraction that can't be read admits all calls, as without the center.
		if !(share.Admitted >= 0 && share.Admitted < 1) {
			continue
		}

		state := g.classes[share.Class]
		if state == nil {
			state = g.classLocked(now, share.Class)
		}

		state.share, state.limited = share, true
		after[share.Service]++
	}

	g.until = now.Add(lifetime)
	g.spread = map[apricotway.Service]map[apricotway.BackendServerID]float64{}

	for _, server := range shares.Servers {
		if g.spread[server.Service] == nil {
			g.spread[server.Service] = map[apricotway.BackendServerID]float64{}
		}

		g.spread[server.Service][server.Server] = server.PerSecond
	}

	var changes []Change

	for service := range before {
		if after[service] == 0 {
			changes = append(changes, Change{Service: service})
		}
	}

	for service, count := range after {
		if before[service] == 0 {
			changes = append(changes, Change{Service: service, Limited: count})
		}
	}

	return changes
}

// Spread returns the throughput of each server of the service while this has more calls than it can serve, else nil. The caller must not
// modify the result.
func (g *Gate) Spread(now time.Time, service apricotway.Service) map[apricotway.BackendServerID]float64 {
	g.mu.Lock()
	defer g.mu.Unlock()

	if !now.Before(g.until) {
		return nil
	}

	return g.spread[service]
}

// InForce returns the shares in force at this process.
func (g *Gate) InForce(now time.Time) []Share {
	g.mu.Lock()
	defer g.mu.Unlock()

	shares := []Share{}

	if !now.Before(g.until) {
		return shares
	}

	for _, state := range g.classes {
		if state.limited {
			shares = append(shares, state.share)
		}
	}

	slices.SortFunc(shares, func(a, b Share) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Workspace, b.Workspace))
	})

	return shares
}

// Waiter is a call that waits for a server.
type Waiter struct {
	service apricotway.Service
	rank    int
	arrived time.Time
	turn    chan struct{}
}

// Turn is ready when the call may have become the first that waits.
func (w *Waiter) Turn() <-chan struct{} { return w.turn }

// Waiting reports whether calls wait for a server of the service.
func (g *Gate) Waiting(service apricotway.Service) bool {
	g.mu.Lock()
	defer g.mu.Unlock()

	return len(g.waiting[service]) > 0
}

// Join adds a call to those that wait, behind those of the same or a more urgent rank that arrived before it.
func (g *Gate) Join(service apricotway.Service, rank int, arrived time.Time) *Waiter {
	g.mu.Lock()
	defer g.mu.Unlock()

	w := &Waiter{service: service, rank: rank, arrived: arrived, turn: make(chan struct{}, 1)}
	at, _ := slices.BinarySearchFunc(g.waiting[service], w, func(other, w *Waiter) int {
		return cmp.Or(cmp.Compare(other.rank, w.rank), other.arrived.Compare(w.arrived), -1)
	})
	g.waiting[service] = slices.Insert(g.waiting[service], at, w)

	return w
}

// First reports whether the call is the first that waits.
func (g *Gate) First(w *Waiter) bool {
	g.mu.Lock()
	defer g.mu.Unlock()

	return len(g.waiting[w.service]) > 0 && g.waiting[w.service][0] == w
}

// Leave removes a call from those that wait, and tells the one that is then the first.
func (g *Gate) Leave(w *Waiter) {
	g.mu.Lock()
	defer g.mu.Unlock()

	list := g.waiting[w.service]
	if at := slices.Index(list, w); at >= 0 {
		list = slices.Delete(list, at, at+1)
	}

	if len(list) == 0 {
		delete(g.waiting, w.service)
		return
	}

	g.waiting[w.service] = list

	select {
	case list[0].turn <- struct{}{}:
	default:
	}
}

// decayFactor returns the part of a sum that is left after a time.
func decayFactor(elapsed, window time.Duration) float64 {
	return math.Exp(-elapsed.Seconds() / window.Seconds())
}
