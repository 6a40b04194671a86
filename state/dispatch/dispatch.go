// Package dispatch chooses the backend server for each call. It uses what this process knows of the servers: the calls it has
// sent, the calls that the other processes have sent, the load that the servers report, and how earlier calls ended. It is
// built for peaks in which many callers arrive at once while servers are slow, fail or are taken away. It performs no I/O;
// callers pass in the current time.
package dispatch

import (
	"cmp"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/canary"
	"github.com/apricotway/apricotway/state/intake"
	"github.com/apricotway/apricotway/state/origin"
)

// Outcome is how one attempt to run a call on a server ended.
type Outcome string

// The values of Outcome.
const (
	// OutcomeDone is a complete answer.
	OutcomeDone Outcome = "done"
	// OutcomeFull is a rejection by a server without free capacity; the server did not run the call.
	OutcomeFull Outcome = "full"
	// OutcomeUnreachable is a call that did not reach the server.
	OutcomeUnreachable Outcome = "unreachable"
	// OutcomeMisdirected is an answer by a different server that now has the address.
	OutcomeMisdirected Outcome = "misdirected"
	// OutcomeFailed is an error, a broken connection, a malformed answer or a timeout.
	OutcomeFailed Outcome = "failed"
	// OutcomeLeft is a call whose caller disconnected or whose deadline passed; it says nothing about the server.
	OutcomeLeft Outcome = "left"
)

// Request describes one call that needs a server.
type Request struct {
	Service apricotway.Service
	// PromptTokens is 0 for calls to services that are not language models.
	PromptTokens int
	AnswerTokens int
	Parts        []apricotway.PromptPart
	// Remaining is the time until the caller's deadline.
	Remaining time.Duration
	// Objective is the latency objective for the first event: the time within which the answer has its full value to the caller.
	// It is 0 when there is none or the call has been sent before.
	Objective time.Duration
	// Avoid lists the servers that this call was already sent to.
	Avoid []apricotway.BackendServerID
	// Origin is the beginning of the stream that the call continues.
	Origin origin.Origin
	// Again is set for a further try to place a call that is held. It does not count as demand once more.
	Again bool
	// Once means that the call must not run twice. The failure rate of a server then counts more in the choice.
	Once bool
	// Spread holds the throughputs of the servers of a plain service that has more calls than it can serve. A server is then chosen by
	// these instead of its load, as long as one answers, and the caller decides which calls are too many.
	Spread map[apricotway.BackendServerID]float64
	// Route is the name of the call's route, by which the versions of a service are judged.
	Route string
	// Repeated is set for a call that has been sent before, also if it may go to the same servers again.
	Repeated bool

	// use tells which software versions may get the call.
	use canary.Use
}

// RefusalReason is the reason why no server was chosen.
type RefusalReason string

// The values of RefusalReason.
const (
	RefusedNone RefusalReason = ""
	// RefusedNoServer means that no usable server is known.
	RefusedNoServer RefusalReason = "noServer"
	// RefusedFull means that every server has all its slots taken, and no slot becomes free within the remaining time.
	RefusedFull RefusalReason = "full"
	// RefusedLate means that the first event would miss the objective, and that running the call would make other calls late.
	RefusedLate RefusalReason = "late"
	// RefusedLimited means that the limits of all usable servers leave no request to this process now.
	RefusedLimited RefusalReason = "limited"
	// RefusedPaused means that all servers which could take the call leave or have named a pause.
	RefusedPaused RefusalReason = "paused"
	// RefusedOrigin means that no server may continue the stream.
	RefusedOrigin RefusalReason = "origin"
	// RefusedBrittle means that the servers which could take the call are brittle and have no room for this process now.
	RefusedBrittle RefusalReason = "brittle"
)

// Pool is the view that one process has of all backend servers. It is safe for concurrent use.
type Pool struct {
	mu      sync.Mutex
	random  *rand.Rand
	zone    apricotway.Zone
	servers map[apricotway.BackendServerID]*server
	// services holds the servers of each service ordered by hash, which is the same order in all processes.
	services map[apricotway.Service][]*server
	// processes is the number of processes that dispatch calls, and period is the time between two reports of each process.
	processes int
	period    time.Duration
	// demand counts what callers requested since the last report.
	demand      map[apricotway.Service]*Demand
	callRates   map[callKind]*callRate
	engineTimes map[apricotway.Service]*engineTime
	// stated holds the servers whose answers said that they are leaving.
	stated map[apricotway.BackendServerID]*server
	// limits decides whether a server may get one more request of this process. Every Send takes its request from it.
	limits *intake.Limits
	// brittleLimits shares the room of brittle servers over the processes. brittleServices holds what the answers of the servers of each
	// service said last of their brittleness, and durations the mean durations of calls.
	brittleLimits   *intake.Limits
	brittleServices map[apricotway.Service]*brittleness
	durations       map[apricotway.Service]meanDuration
	// arrivals holds the rates at which calls for the services arrive at this process.
	arrivals map[apricotway.Service]*arrivals
	// origins holds the versions of the servers and the origins of streams.
	origins *origin.Register
	// shifts is nil unless the pool follows orders to shift traffic to other software versions.
	shifts *canary.Local
	// spread is the space for the servers that one call is spread over.
	spread spread
	// speeds holds the learned speed factors and what was measured since the last report. Without learnsSpeeds it stays empty, and without
	// slowStarts no server is in slow start.
	speeds       speeds
	learnsSpeeds bool
	slowStarts   bool
}

// Demand is what the callers of one process requested of a service since the last report.
type Demand struct {
	Calls float64
	// PrefillTokens and AnswerTokens are the tokens of these calls, without the prompt tokens that were already cached.
	PrefillTokens, AnswerTokens float64
	// Refused counts the calls that were placed on no server.
	Refused float64
}

// Option configures a Pool in New.
type Option func(*Pool)

// WithRandom sets the source of random choices.
func WithRandom(random *rand.Rand) Option { return func(p *Pool) { p.random = random } }

// WithZone sets the availability zone of this process.
func WithZone(zone apricotway.Zone) Option { return func(p *Pool) { p.zone = zone } }

// WithServerSpeeds makes the pool measure how fast the servers are, and choose by what all processes have measured.
func WithServerSpeeds() Option { return func(p *Pool) { p.learnsSpeeds = true } }

// WithSlowStart makes the pool begin with few calls at servers that are new or have failed, as long as others have room. It needs
// WithServerSpeeds.
func WithSlowStart() Option { return func(p *Pool) { p.slowStarts = true } }

// New returns a pool without servers.
func New(options ...Option) *Pool {
	p := &Pool{
		random:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		servers:     map[apricotway.BackendServerID]*server{},
		services:    map[apricotway.Service][]*server{},
		demand:      map[apricotway.Service]*Demand{},
		callRates:   map[callKind]*callRate{},
		engineTimes: map[apricotway.Service]*engineTime{},
		stated:      map[apricotway.BackendServerID]*server{},
		limits:      intake.New(),
		origins:     origin.NewRegister(),

		brittleLimits: newBrittleLimits(), brittleServices: map[apricotway.Service]*brittleness{},
		durations: map[apricotway.Service]meanDuration{}, arrivals: map[apricotway.Service]*arrivals{},
	}
	for _, option := range options {
		option(p)
	}

	return p
}

// Origins returns the register of the origins of streams at the pool's servers.
func (p *Pool) Origins() *origin.Register { return p.origins }

// Update stores the newest entry of a server. An entry with the same ID but another service, address or start time is a new
// server, whose statistics start from scratch.
func (p *Pool) Update(backend apricotway.Backend, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()

	known := p.servers[backend.ID]
	if known != nil && known.backend.Service != backend.Service {
		p.origins.Remove(now, known.backend)
	}

	p.origins.Update(now, backend)
	p.updateVersionLocked(now, known, &backend)

	if known != nil && known.backend.Service == backend.Service && known.backend.Address == backend.Address &&
		known.backend.Born.Equal(backend.Born) {
		known.backend = backend
		return
	}

	added := newServer(backend, now)

	if known != nil {
		p.removeLocked(known)

		if known.backend.Service == backend.Service && known.backend.Address == backend.Address {
			added.said = known.said.since(backend.Born)
		}

		if added.said != nil && !added.said.leavingAt.IsZero() {
			p.stated[backend.ID] = added
		}
	}

	p.applySpeedLocked(added)
	p.startRampLocked(now, added)
	p.servers[backend.ID] = added
	list := p.services[backend.Service]
	at, _ := slices.BinarySearchFunc(list, added.hash, func(s *server, hash uint64) int { return cmp.Compare(s.hash, hash) })
	p.services[backend.Service] = slices.Insert(list, at, added)
}

// Remove removes a server. Its calls in flight continue.
func (p *Pool) Remove(id apricotway.BackendServerID, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if known := p.servers[id]; known != nil {
		p.origins.Remove(now, known.backend)
		p.removeLocked(known)

		if p.shifts != nil {
			p.shifts.Drop(&known.backend)
		}
	}
}

func (p *Pool) removeLocked(gone *server) {
	delete(p.servers, gone.backend.ID)
	delete(p.stated, gone.backend.ID)

	list := p.services[gone.backend.Service]
	for i, other := range list {
		if other == gone {
			p.services[gone.backend.Service] = append(list[:i:i], list[i+1:]...)
			return
		}
	}
}

// Backends returns the newest entry of every server.
func (p *Pool) Backends() []apricotway.Backend {
	p.mu.Lock()
	defer p.mu.Unlock()

	backends := make([]apricotway.Backend, 0, len(p.servers))
	for _, s := range p.servers {
		backends = append(backends, s.backend)
	}

	return backends
}

// Leaving reports whether a server is leaving, by its entry or its answers, or no longer known.
func (p *Pool) Leaving(id apricotway.BackendServerID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	s := p.servers[id]

	return s == nil || s.leaving()
}

// Send is one call that was placed on a server.
type Send struct {
	Backend apricotway.Backend
	// Expected is the estimated time to the first event of a stream, or to the whole answer.
	Expected time.Duration
	// Limited is set when the server stated a limit on its requests before this call was placed.
	Limited bool

	pool    *Pool
	server  *server
	request Request
	// detour is set for a send to another process. server is then that of no pool.
	detour bool
	// prefill is the number of prompt tokens that the server has to process because they are not cached.
	prefill      float64
	sent         time.Time
	started      bool
	firstEventAt time.Time
	ended        bool
	// shift counts the call for an order to shift traffic.
	shift canary.Call
	// model is the time in milliseconds that the call takes by the model on a server with speed factor 1.
	model float64
	// timed is set when the call was counted in a report, with the time that it had taken until then as timedDoublings.
	timed          bool
	timedDoublings int
	// late is set when the call was counted as late.
	late bool
	// waitIndex is 1 more than the index among the calls without an answer; 0 for a call that is not there.
	waitIndex int
}

// NewDetour returns a send to another process, which passes the call on to a server. It counts nowhere: that process counts its own send.
func (p *Pool) NewDetour(now time.Time, process netip.AddrPort) *Send {
	return &Send{
		Backend: apricotway.Backend{Address: process}, pool: p, server: newServer(apricotway.Backend{}, now), sent: now, detour: true,
	}
}

// Detour reports whether the call is sent to another process.
func (s *Send) Detour() bool { return s.detour }

// SetServer records which server answered through another process.
func (s *Send) SetServer(id apricotway.BackendServerID) {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()

	if known := s.pool.servers[id]; known != nil {
		s.Backend = known.backend
	}
}

// Place chooses the server for a call and counts the call as running there. If it chooses none, it returns the reason and the
// time after which a slot may be free.
func (p *Pool) Place(now time.Time, request Request) (*Send, RefusalReason, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()

	demand := p.demandLocked(request.Service)
	if request.Again {
		demand.Refused--
	} else {
		demand.Calls++

		kind := callKind{request.Service, SizeOf(request.PromptTokens) >= longPromptClass}
		if p.callRates[kind] == nil {
			p.callRates[kind] = &callRate{window: rateWindow}
		}

		p.callRates[kind].add(now)

		if p.arrivals[request.Service] == nil {
			p.arrivals[request.Service] = newArrivals()
		}

		p.arrivals[request.Service].add(now)
	}

	request.use = p.useLocked(now, &request)

	best, estimate := p.chooseVersionLocked(now, &request)
	best, estimate = p.relieveLocked(now, request, best, estimate)

	if best == nil {
		demand.Refused++

		if !p.continuableLocked(now, request) {
			return nil, RefusedOrigin, 0
		}

		if wait := p.pauseWaitLocked(now, request); wait > 0 {
			if wait > request.Remaining {
				wait = noServerRetryAfter
			}

			return nil, RefusedPaused, wait
		}

		if wait := p.limitedWaitLocked(now, request); wait > 0 {
			return nil, RefusedLimited, wait
		}

		if wait := p.brittleWaitLocked(now, request); wait > 0 {
			return nil, RefusedBrittle, wait
		}

		return nil, RefusedNoServer, noServerRetryAfter
	}

	p.engineTimeLocked(request.Service).add(now, request.PromptTokens, 1, estimate.prefill/meanPrefillRate)

	demand.PrefillTokens += estimate.prefill
	demand.AnswerTokens += float64(request.AnswerTokens)

	if estimate.full && estimate.wait > request.Remaining && len(request.Spread) == 0 {
		demand.Refused++
		return nil, RefusedFull, max(estimate.wait-request.Remaining, minFullRetryAfter)
	}

	if estimate.tooLate(request.Objective) {
		demand.Refused++
		return nil, RefusedLate, max(estimate.wait-request.Objective/2, minFullRetryAfter)
	}

	send := p.sendLocked(now, best, request)
	if send == nil {
		demand.Refused++
		return nil, RefusedLimited, p.limitedWaitLocked(now, request)
	}

	send.Expected, send.prefill, send.model = estimate.wait, estimate.prefill, estimate.model
	p.watchLocked(send)
	best.addPrefill(estimate.prefill, 1, request.PromptTokens)
	best.markCached(now, request.Parts)

	return send, RefusedNone, 0
}

// sendLocked counts a call as running on the server. It returns nil when the server has named a pause, or when its limit leaves no
// request to this process.
func (p *Pool) sendLocked(now time.Time, s *server, request Request) *Send {
	if s.paused(now) || !p.admitsLocked(now, s, p.serviceBrittlenessLocked(now, s.backend.Service)) ||
		!p.limits.Take(now, s.backend.ID) || !p.brittleLimits.Take(now, s.backend.ID) {
		return nil
	}

	s.said.extendPause(now)

	s.own.Running++
	s.sentAt = now

	send := &Send{
		Backend: s.backend, pool: p, server: s, request: request, sent: now, Limited: p.limits.Limited(s.backend.ID),
	}
	send.beginShiftLocked(now)

	return send
}

// PlaceAt places a call on the given server, even one that is leaving: a run that stopped there was placed before this process knew of
// the leaving. It returns nil when the server is not known or has named a pause, or when its limit leaves no request to this process.
func (p *Pool) PlaceAt(now time.Time, id apricotway.BackendServerID, request Request) *Send {
	p.mu.Lock()
	defer p.mu.Unlock()

	request.use = p.useLocked(now, &request)

	s := p.servers[id]
	if s == nil || !p.mayUseLocked(now, request, s) {
		return nil
	}

	return p.sendLocked(now, s, request)
}

func (p *Pool) demandLocked(service apricotway.Service) *Demand {
	if p.demand[service] == nil {
		p.demand[service] = &Demand{}
	}

	return p.demand[service]
}

// SetMembers sets the number of processes that dispatch calls, and the time between two reports of each process.
func (p *Pool) SetMembers(members int, period time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.processes, p.period = members, period
}

// candidatesLocked returns the number of servers out of n that one call is compared on. Between two reports the other processes
// choose by the same data, so without this limit they would all pick the server that looks best and overload it. The more calls
// they place unseen, the fewer servers are compared.
func (p *Pool) candidatesLocked(now time.Time, kind callKind, n int) int {
	unseen := p.unseenLocked(now, kind)
	count := int(math.Round(float64(n) / (1 + unseen/float64(max(n, 1)))))

	return min(max(count, minCandidates), n)
}

// callKind is a class of calls that are placed on the same servers.
type callKind struct {
	service apricotway.Service
	long    bool
}

// callRate is the decaying rate of calls of one kind in this process.
type callRate struct {
	// perSecond is the rate at time at.
	perSecond float64
	at        time.Time
	// window is the time over which the rate is averaged.
	window time.Duration
}

func (r *callRate) current(now time.Time) float64 {
	return r.perSecond * math.Exp(-now.Sub(r.at).Seconds()/r.window.Seconds())
}

func (r *callRate) add(now time.Time) {
	r.perSecond = r.current(now) + 1/r.window.Seconds()
	r.at = now
}

// TakeDemand returns the demand since its last call and resets it.
func (p *Pool) TakeDemand() map[apricotway.Service]Demand {
	p.mu.Lock()
	defer p.mu.Unlock()

	taken := make(map[apricotway.Service]Demand, len(p.demand))

	for service, demand := range p.demand {
		taken[service] = *demand
		*demand = Demand{}
	}

	return taken
}

// chooseLocked returns the server with the lowest estimated cost. Ejected servers are chosen only when no other server is left.
func (p *Pool) chooseLocked(now time.Time, request Request) (*server, estimate) {
	p.spread = spread{servers: p.spread.servers[:0]}

	if len(request.Spread) > 0 {
		if chosen, cost := p.spreadLocked(now, request); chosen != nil {
			return chosen, cost
		}
	}

	return p.compareLocked(now, request)
}

// compareLocked compares servers by their estimated cost. A call is not compared on all of them, so that processes with the same news choose
// different ones.
func (p *Pool) compareLocked(now time.Time, request Request) (*server, estimate) {
	chain := chainOf(request.Parts)
	preferred := p.serverRangeLocked(request)
	home := p.homeLocked(request.Service, chain, preferred)

	var (
		best      *server
		bestScore float64
		chosen    estimate
	)

	all := p.services[request.Service]
	size := p.comparableLocked(now, request, preferred)
	count := p.candidatesLocked(now, callKind{request.Service, SizeOf(request.PromptTokens) >= longPromptClass}, size)
	// Each server is compared with this probability; the home server of the prompt is always compared.
	chance := float64(count) / float64(max(size, 1))

	restricted := len(request.Avoid) > 0 || request.Origin.Begun() || request.use.Restricts()
	spreads := p.spreadsLocked(now, request.Service)

	rank := -1
	brittle := p.serviceBrittlenessLocked(now, request.Service)

	for _, s := range all {
		if s.leaving() {
			continue
		}

		if rank++; s.paused(now) || restricted && !p.mayUseLocked(now, request, s) || !p.limits.Allows(now, s.backend.ID) || !p.admitsLocked(now, s, brittle) {
			continue
		}

		step := p.stepLocked(now, s, &request, rank, preferred, chance, s == home || spreads, best == nil)
		if step == rampHeld {
			continue
		}

		e := s.estimate(now, request, chain, s == home)
		score := e.score

		// Without a call to a limited server nobody would notice that its limit has ended. Retried and moved calls are not used.
		if step == rampProbe || len(request.Avoid) == 0 && p.limits.ConfirmationDue(now, s.backend.ID) && s.usable(now, e, request) {
			return s, e
		}

		score = p.scoreLocked(now, s, score, preferred.contains(rank), preferred)

		if spreads && s != home {
			p.spread.servers = append(p.spread.servers, spreadServer{server: s, score: score, cost: e.cost, estimate: e})
			continue
		}

		if best == nil || score < bestScore {
			best, bestScore, chosen = s, score, e
		}
	}

	if picked := p.pickLocked(now, request, chain, preferred); picked != nil && (best == nil || picked.score < bestScore) {
		return picked.server, picked.estimate
	}

	return best, chosen
}

// scoreLocked returns the score of a server with the penalties that don't depend on the call.
func (p *Pool) scoreLocked(now time.Time, s *server, score float64, inRange bool, preferred serverRange) float64 {
	if now.Before(s.ejectedUntil) && !p.ramping(now, s) {
		score += ejectedPenalty
	}

	if p.learnsSpeeds && now.Before(s.rejectsUntil) {
		score += rejectedPenalty
	}

	if s.backend.Zone != p.zone {
		score += otherZonePenalty
	}

	if !inRange {
		score += preferred.outsidePenalty
	}

	return score * (1 + scoreNoise*p.random.Float64())
}

// usable reports whether the server is expected to serve the request in time.
func (s *server) usable(now time.Time, e estimate, request Request) bool {
	return !now.Before(s.ejectedUntil) && !e.full && !e.tooLate(request.Objective)
}

// RecordFirstEvent records the first event of a stream, or the answer of a call, with the load that the server reported.
func (s *Send) RecordFirstEvent(now time.Time, load *apricotway.BackendLoad) {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()

	if load != nil {
		s.server.setLoad(now, *load)
	}

	if s.started {
		return
	}

	s.started, s.firstEventAt = true, now
	s.shift.First(now)
	s.server.addPrefill(s.prefill, -1, s.request.PromptTokens)

	if s.model > 0 {
		s.pool.unwatchLocked(s)
		s.pool.recordTimingLocked(now, s)
	}

	s.server.observeLatency(now.Sub(s.sent), s.Expected)
}

// RecordLoad records the load that a server reported after the start of the answer.
func (s *Send) RecordLoad(now time.Time, load *apricotway.BackendLoad) {
	if load == nil {
		return
	}

	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()

	s.server.setLoad(now, *load)
}

// RecordLimit records the limit that the answer states. It returns the limit known before and whether that has changed.
func (s *Send) RecordLimit(now time.Time, limit apricotway.RequestLimit) (before apricotway.RequestLimit, changed bool) {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()

	return s.pool.limits.Observe(now, s.sent, s.Backend.ID, limit)
}

// End records how the call ended. Only the first call of End counts.
func (s *Send) End(now time.Time, outcome Outcome) {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()

	if s.ended {
		return
	}

	s.ended = true
	s.shift.End(now, shiftOutcome(outcome))
	s.pool.unwatchLocked(s)
	s.pool.countOutcomeLocked(s, outcome)
	s.server.own.Running--

	if known := s.pool.brittleServices[s.request.Service]; outcome == OutcomeFull && known != nil {
		known.rejectedAt = now
	}

	// While servers of the service are brittle, only their calls tell how long calls last there.
	if brittle := s.pool.serviceBrittlenessLocked(now, s.request.Service); outcome == OutcomeDone && !s.detour &&
		(!brittle.holds || brittle.covers(now, s.server)) {
		s.pool.recordDurationLocked(s.request.Service, now.Sub(s.sent))
	}

	if s.started {
		took := float64(now.Sub(s.firstEventAt)) / float64(time.Millisecond) / runningPerEngine
		s.pool.engineTimeLocked(s.request.Service).add(now, s.request.PromptTokens, 0, took)
	} else {
		s.server.addPrefill(s.prefill, -1, s.request.PromptTokens)
	}

	s.server.recordOutcome(now, outcome)
}

// mayUseLocked reports whether a server may get the call, whatever its state is.
func (p *Pool) mayUseLocked(now time.Time, request Request, s *server) bool {
	return !contains(request.Avoid, s.backend.ID) && request.use.Allows(s.backend.Version) && p.mayContinueLocked(now, request.Origin, s)
}

// mayContinueLocked reports whether a server may generate the rest of a stream, or all of one that has not begun.
func (p *Pool) mayContinueLocked(now time.Time, from origin.Origin, s *server) bool {
	return !from.Begun() || from.Allows(s.backend.Lineage()) && p.origins.Certain(now, s.backend.Address)
}

// continuableLocked reports whether a server that is not leaving may continue the stream of the request.
func (p *Pool) continuableLocked(now time.Time, request Request) bool {
	return !request.Origin.Begun() || slices.ContainsFunc(p.services[request.Service], func(s *server) bool {
		return !s.leaving() && request.use.Allows(s.backend.Version) && p.mayContinueLocked(now, request.Origin, s)
	})
}

// comparableLocked returns the number of servers that calls such as the request are compared on, if on all. For a stream that has begun these
// are the servers that may continue it: those of the preferred range, or the others if there are none.
func (p *Pool) comparableLocked(now time.Time, request Request, preferred serverRange) int {
	all := p.services[request.Service]
	if !request.Origin.Begun() {
		return min(preferred.end, len(all)) - preferred.first
	}

	rank, inside, outside := -1, 0, 0

	for _, s := range all {
		if s.leaving() {
			continue
		}

		switch rank++; {
		case s.paused(now) || !p.mayUseLocked(now, request, s):
		case preferred.contains(rank):
			inside++
		default:
			outside++
		}
	}

	if inside == 0 {
		return outside
	}

	return inside
}

func contains(ids []apricotway.BackendServerID, id apricotway.BackendServerID) bool {
	for _, other := range ids {
		if other == id {
			return true
		}
	}

	return false
}
