// Package dispatch chooses the backend server of each call from what this process has seen of the servers: its own sends, the
// sends of the other processes, the load that servers report, and how calls ended. It answers the load of days on which many
// callers come at once while servers are slow, fail, or are taken away. It performs no I/O; the time comes in as an argument.
package dispatch

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/apricotway/apricotway"
)

// Outcome tells how a send ended.
type Outcome string

// The values of Outcome.
const (
	// OutcomeDone is a complete answer.
	OutcomeDone Outcome = "done"
	// OutcomeFull is a rejection: the server did not run the call.
	OutcomeFull Outcome = "full"
	// OutcomeUnreachable is a send that did not reach the server.
	OutcomeUnreachable Outcome = "unreachable"
	// OutcomeMisdirected is an answer by another server that has the address now.
	OutcomeMisdirected Outcome = "misdirected"
	// OutcomeFailed is an error, a cut, a wrong answer or silence.
	OutcomeFailed Outcome = "failed"
	// OutcomeLeft is a call whose caller left or whose time ended; it tells nothing about the server.
	OutcomeLeft Outcome = "left"
)

// Request describes one call to be placed.
type Request struct {
	Service apricotway.Service
	// PromptTokens is 0 for calls of plain services.
	PromptTokens int
	AnswerTokens int
	Parts        []apricotway.PromptPart
	// Remaining is the time that the caller has left.
	Remaining time.Duration
	// Objective is the time to the first event within which the answer has its full worth; 0 when there is none or the call has
	// been sent before.
	Objective time.Duration
	// Avoid lists servers that have had this call.
	Avoid []apricotway.BackendServerID
	// Once tells that the call must not run twice, so that servers that fail weigh more.
	Once bool
}

// Refused tells why no server was chosen.
type Refused string

// The values of Refused.
const (
	RefusedNone Refused = ""
	// RefusedNoServer means that no usable server is known.
	RefusedNoServer Refused = "noServer"
	// RefusedFull means that every server has all its places taken, and no place comes free in time.
	RefusedFull Refused = "full"
	// RefusedLate means that the first event would come too late, and that the call would make others late.
	RefusedLate Refused = "late"
)

// Pool is the view that one process has of all backend servers. It is safe for concurrent use.
type Pool struct {
	mu      sync.Mutex
	random  *rand.Rand
	zone    apricotway.Zone
	servers map[apricotway.BackendServerID]*server
	// services holds the servers of each service in the order of their hashes, the same at all processes.
	services map[apricotway.Service][]*server
	// members is the number of processes that place calls, and period the time between two reports of each.
	members int
	period  time.Duration
	// demand counts what callers asked for since the last report.
	demand map[apricotway.Service]*Demand
	rates  map[callKind]*callRate
	mixes  map[apricotway.Service]*mixture
}

// Demand is what the callers of one process asked of a service since the last report.
type Demand struct {
	Calls float64
	// PrefillTokens and AnswerTokens are the tokens of these calls, parts that were cached left out.
	PrefillTokens, AnswerTokens float64
	// Refused counts calls that found no server.
	Refused float64
}

// Option changes a pool under construction.
type Option func(*Pool)

// WithRandom sets the source of random choices.
func WithRandom(random *rand.Rand) Option { return func(p *Pool) { p.random = random } }

// WithZone sets the availability zone of this process.
func WithZone(zone apricotway.Zone) Option { return func(p *Pool) { p.zone = zone } }

// New returns a pool without servers.
func New(options ...Option) *Pool {
	p := &Pool{
		random:   rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		servers:  map[apricotway.BackendServerID]*server{},
		services: map[apricotway.Service][]*server{},
		demand:   map[apricotway.Service]*Demand{},
		rates:    map[callKind]*callRate{},
		mixes:    map[apricotway.Service]*mixture{},
	}
	for _, option := range options {
		option(p)
	}

	return p
}

// Update takes the newest entry of a server. A server with another start under the same ID is a new one.
func (p *Pool) Update(backend apricotway.Backend, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()

	known := p.servers[backend.ID]
	if known != nil && known.backend.Service == backend.Service && known.backend.Address == backend.Address &&
		known.backend.Born.Equal(backend.Born) {
		known.backend = backend
		return
	}

	if known != nil {
		p.removeLocked(known)
	}

	added := newServer(backend, now)
	p.servers[backend.ID] = added
	list := p.services[backend.Service]
	at, _ := slices.BinarySearchFunc(list, added.hash, func(s *server, hash uint64) int { return cmp.Compare(s.hash, hash) })
	p.services[backend.Service] = slices.Insert(list, at, added)
}

// Remove drops a server. Its calls in flight go on.
func (p *Pool) Remove(id apricotway.BackendServerID) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if known := p.servers[id]; known != nil {
		p.removeLocked(known)
	}
}

func (p *Pool) removeLocked(gone *server) {
	delete(p.servers, gone.backend.ID)

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

// Leaving tells whether a server is leaving or gone.
func (p *Pool) Leaving(id apricotway.BackendServerID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	s := p.servers[id]

	return s == nil || s.backend.Leaving
}

// Send is one call that was placed on a server.
type Send struct {
	Backend apricotway.Backend
	// Expected is the estimated time to the first event or to the whole answer.
	Expected time.Duration

	pool    *Pool
	server  *server
	request Request
	// prefill is the part of the prompt that the server has to read.
	prefill float64
	sent    time.Time
	first   bool
	// began is the time of the first event.
	began time.Time
	done  bool
}

// Place chooses the server of a call. Without one it returns the reason and the time after which a place may be free.
func (p *Pool) Place(now time.Time, request Request) (*Send, Refused, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()

	demand := p.demandLocked(request.Service)
	demand.Calls++

	from := callKind{request.Service, SizeOf(request.PromptTokens) >= longSize}
	if p.rates[from] == nil {
		p.rates[from] = &callRate{}
	}

	p.rates[from].add(now)

	best, estimate := p.chooseLocked(now, request)
	if best == nil {
		demand.Refused++
		return nil, RefusedNoServer, noServerPause
	}

	p.mixLocked(request.Service).add(now, request.PromptTokens, 1, estimate.prefill/readRate)

	demand.PrefillTokens += estimate.prefill
	demand.AnswerTokens += float64(request.AnswerTokens)

	if estimate.full && estimate.wait > request.Remaining {
		demand.Refused++
		return nil, RefusedFull, max(estimate.wait-request.Remaining, fullPause)
	}

	if estimate.late(request.Objective) {
		demand.Refused++
		return nil, RefusedLate, max(estimate.wait-request.Objective/2, fullPause)
	}

	send := &Send{
		Backend: best.backend, Expected: estimate.wait, pool: p, server: best, request: request,
		prefill: estimate.prefill, sent: now,
	}

	best.own.Running++
	best.begin(estimate.prefill, 1, request.PromptTokens)
	best.remember(now, request.Parts)

	return send, RefusedNone, 0
}

// PlaceAt places a call on a given server, leaving or not. It returns nil when the server is gone.
func (p *Pool) PlaceAt(now time.Time, id apricotway.BackendServerID, request Request) *Send {
	p.mu.Lock()
	defer p.mu.Unlock()

	s := p.servers[id]
	if s == nil {
		return nil
	}

	s.own.Running++

	return &Send{Backend: s.backend, pool: p, server: s, request: request, sent: now}
}

func (p *Pool) demandLocked(service apricotway.Service) *Demand {
	if p.demand[service] == nil {
		p.demand[service] = &Demand{}
	}

	return p.demand[service]
}

// SetMembers sets the number of processes that place calls, and the time between two reports of each.
func (p *Pool) SetMembers(members int, period time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.members, p.period = members, period
}

// candidatesLocked returns the number of servers out of n that one call is compared on. Between two reports the other processes
// place calls by the same picture; if all took the server that looks best, they would all take the same one.
func (p *Pool) candidatesLocked(now time.Time, from callKind, n int) int {
	rate := p.rates[from]
	if rate == nil || p.members < 2 {
		return n
	}

	unseen := rate.now(now) * p.period.Seconds() * float64(p.members-1)
	count := int(math.Round(float64(n) / (1 + unseen/float64(max(n, 1)))))

	return min(max(count, leastCandidates), n)
}

// callKind is a kind of calls that are placed on the same servers.
type callKind struct {
	service apricotway.Service
	long    bool
}

// callRate is the rate of calls of one kind at this process.
type callRate struct {
	// perSecond is the rate at the given time.
	perSecond float64
	at        time.Time
}

func (r *callRate) now(now time.Time) float64 {
	return r.perSecond * math.Exp(-now.Sub(r.at).Seconds()/rateLife.Seconds())
}

func (r *callRate) add(now time.Time) {
	r.perSecond = r.now(now) + 1/rateLife.Seconds()
	r.at = now
}

// TakeDemand returns the demand since the last call.
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

// chooseLocked returns the server with the least estimated wait. Servers that failed of late are taken only when no other is left.
func (p *Pool) chooseLocked(now time.Time, request Request) (*server, estimate) {
	chain := chainOf(request.Parts)
	lane := p.laneLocked(request)
	home := p.homeLocked(request.Service, chain, lane)

	var (
		best      *server
		bestScore float64
		chosen    estimate
	)

	all := p.services[request.Service]
	size := min(lane.end, len(all)) - lane.first
	count := p.candidatesLocked(now, callKind{request.Service, SizeOf(request.PromptTokens) >= longSize}, size)
	// Each server is compared with this probability, the home of the prompt always.
	chance := float64(count) / float64(max(size, 1))

	rank := -1

	for _, s := range all {
		if s.backend.Leaving {
			continue
		}

		if rank++; contains(request.Avoid, s.backend.ID) {
			continue
		}

		// The last resort is any server that can take the call.
		if best != nil && s != home && p.random.Float64() >= chance {
			continue
		}

		e := s.estimate(now, request, chain, s == home)
		score := e.score

		if now.Before(s.ejectedUntil) {
			score += ejectedPenalty
		}

		if s.backend.Zone != p.zone {
			score += otherZonePenalty
		}

		if !lane.holds(rank) {
			score += lane.crossing
		}

		score *= 1 + scoreNoise*p.random.Float64()

		if best == nil || score < bestScore {
			best, bestScore, chosen = s, score, e
		}
	}

	return best, chosen
}

// Began reports the first event of a stream, or the answer of a call, with the load that the server reported.
func (s *Send) Began(now time.Time, load *apricotway.BackendLoad) {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()

	if load != nil {
		s.server.report(now, *load)
	}

	if s.first {
		return
	}

	s.first, s.began = true, now
	s.server.begin(s.prefill, -1, s.request.PromptTokens)
	s.server.observe(now.Sub(s.sent), s.Expected)
}

// Report takes the load that a server told with an answer that is no beginning.
func (s *Send) Report(now time.Time, load *apricotway.BackendLoad) {
	if load == nil {
		return
	}

	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()

	s.server.report(now, *load)
}

// End reports how the send ended. Only the first call counts.
func (s *Send) End(now time.Time, outcome Outcome) {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()

	if s.done {
		return
	}

	s.done = true
	s.server.own.Running--

	if s.first {
		took := float64(now.Sub(s.began)) / float64(time.Millisecond) / runningPerEngine
		s.pool.mixLocked(s.request.Service).add(now, s.request.PromptTokens, 0, took)
	} else {
		s.server.begin(s.prefill, -1, s.request.PromptTokens)
	}

	s.server.ended(now, outcome)
}

func contains(ids []apricotway.BackendServerID, id apricotway.BackendServerID) bool {
	for _, other := range ids {
		if other == id {
			return true
		}
	}

	return false
}
