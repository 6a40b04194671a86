package fleetcost

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/fleet"
)

const (
	// start is the time from the order of a host to its first token.
	start = 3 * time.Minute
	// headroom is the part by which the planned demand is above that of the current minute, for the demand's rise during start.
	headroom = 0.03
	// floorShare is the floor of on-demand hosts relative to the standard hosts that serve the peak.
	floorShare = 0.05
	// refusalPause is the number of minutes for which a market that refused hosts is not asked again.
	refusalPause = 2
	// rounds bounds the plans of one minute that follow a refusal. The driver plans every second and so passes all markets that
	// refuse within one minute.
	rounds = 16
)

// Policy names what decides on the fleet.
type Policy string

// The policies under measurement.
const (
	PolicyPlanner  Policy = "planner"
	PolicyOnDemand Policy = "allOnDemand"
	PolicyCheapest Policy = "cheapestZoneFirst"
	// PolicyFuture pays in each minute for the cheapest allocation of that minute alone, without headroom. Its hosts start in
	// advance and move without any cost, so that it bounds what any planner reaches with the allocations of state/fleet.
	PolicyFuture Policy = "knowsFuture"
)

// Result is the cost of one policy over one history.
type Result struct {
	Policy Policy  `json:"policy"`
	Cost   float64 `json:"cost"`
	// Unserved is the part of the demanded tokens that were not generated.
	Unserved float64 `json:"unserved"`
	// UnservedAfterLoss is the largest part of the demand that was missing in a minute within start after the loss of the
	// largest zone.
	UnservedAfterLoss float64 `json:"unservedAfterLoss"`
	Created           int     `json:"created"`
}

// Policies lists the policies under measurement.
var Policies = []Policy{PolicyPlanner, PolicyOnDemand, PolicyCheapest, PolicyFuture}

// Measure runs a policy over the history of a fleet whose peak takes about the given number of standard hosts.
func Measure(policy Policy, seed uint64, days, engines int, hysteresis float64) Result {
	// A quarter of the capacity stands by for the loss of the largest of four zones.
	peak := float64(engines) * classes[0].tokens * float64(len(zones)-1) / float64(len(zones))
	s := &simulation{
		policy: policy, history: generate(seed, days, peak), random: rand.New(rand.NewPCG(seed, 1)),
		terms: fleet.Parameters{
			OnDemandFloor: int(math.Ceil(floorShare * float64(engines))), MaxChanges: math.MaxInt32,
			Hysteresis: hysteresis, Hold: 5 * time.Minute, Start: start,
		},
		hosts: map[apricotway.BackendServerID]*host{}, blocked: map[fleet.Market]int{},
	}
	s.planner = fleet.NewPlanner(s.terms)

	return s.run()
}

type host struct {
	fleet.Host

	price int
	ready int
}

type simulation struct {
	policy  Policy
	history *history
	random  *rand.Rand
	terms   fleet.Parameters
	planner *fleet.Planner
	hosts   map[apricotway.BackendServerID]*host
	blocked map[fleet.Market]int
	created int
}

func (s *simulation) run() Result {
	result := Result{Policy: s.policy}

	var demanded, unserved float64

	lost := -1000

	for t, m := range s.history.minutes {
		if s.policy == PolicyFuture {
			result.Cost += s.future(m)
			continue
		}

		s.advance(t, m)

		if m.lost {
			s.loseLargest()

			lost = t
		}

		capacity := 0.0
		// The order is fixed, so that the sum is the same in every run.
		for _, id := range slices.Sorted(maps.Keys(s.hosts)) {
			h := s.hosts[id]
			result.Cost += m.prices[h.price] * step.Hours()

			if h.ready <= t {
				capacity += s.history.markets[h.price].TokensPerSecond
			}
		}

		// The first hour fills the fleet.
		if missing := max(0, m.demand-capacity); t >= 60 {
			demanded += m.demand
			unserved += missing

			if t-lost <= int(start/step) {
				result.UnservedAfterLoss = max(result.UnservedAfterLoss, missing/m.demand)
			}
		}

		s.plan(t, m)
	}

	if demanded > 0 {
		result.Unserved = unserved / demanded
	}

	result.Created = s.created

	return result
}

// future returns the cost of the cheapest allocation for one minute.
func (s *simulation) future(m minute) float64 {
	terms := s.terms
	terms.Hysteresis = 0
	offers := s.history.offers(m)
	target := fleet.Allocate(terms, fleet.Observation{Demand: m.demand, Offers: offers, Blocked: refusedMarkets(offers, m)})
	cost := 0.0

	for _, offer := range offers {
		cost += float64(target.Hosts[offer.Market]) * offer.Price * step.Hours()
	}

	return cost
}

func refusedMarkets(offers []fleet.Offer, m minute) map[fleet.Market]bool {
	refused := map[fleet.Market]bool{}

	for _, offer := range offers {
		if offer.Reclaimable && m.refused[offer.Zone] {
			refused[offer.Market] = true
		}
	}

	return refused
}

// advance takes away the hosts that were on notice and gives new notices.
func (s *simulation) advance(t int, m minute) {
	for _, id := range slices.Sorted(maps.Keys(s.hosts)) {
		h := s.hosts[id]

		switch {
		case h.State == fleet.HostLeaving:
			delete(s.hosts, id)
		case h.Reclaimable && (m.reclaimed[h.Zone] || s.random.Float64() < hostReclaims/60):
			h.State = fleet.HostLeaving
		case h.ready <= t:
			h.State = fleet.HostLive
		}
	}
}

func (s *simulation) loseLargest() {
	capacity := map[apricotway.Zone]float64{}
	for _, h := range s.hosts {
		if h.State == fleet.HostLive {
			capacity[h.Zone] += s.history.markets[h.price].TokensPerSecond
		}
	}

	largest := zones[0]
	for _, zone := range zones {
		if capacity[zone] > capacity[largest] {
			largest = zone
		}
	}

	maps.DeleteFunc(s.hosts, func(_ apricotway.BackendServerID, h *host) bool { return h.Zone == largest })
}

// plan plans again until no market refuses, as the driver does within one minute.
func (s *simulation) plan(t int, m minute) {
	for range rounds {
		observation := s.observe(t, m)

		if s.policy == PolicyCheapest {
			s.planCheapest(t, m, observation)
			return
		}

		refused := false

		for _, intent := range s.planner.Plan(time.Time{}.Add(time.Duration(t)*step), observation) {
			if intent.Action == fleet.ActionRelease {
				delete(s.hosts, intent.Host)
			} else if !s.create(t, m, intent.Market) {
				refused = true
			}
		}

		if !refused {
			return
		}
	}
}

func (s *simulation) observe(t int, m minute) fleet.Observation {
	observation := fleet.Observation{
		Demand: m.demand * (1 + headroom), Offers: s.history.offers(m), Blocked: map[fleet.Market]bool{},
	}

	for _, id := range slices.Sorted(maps.Keys(s.hosts)) {
		observation.Hosts = append(observation.Hosts, s.hosts[id].Host)
	}

	for market, until := range s.blocked {
		observation.Blocked[market] = t < until
	}

	if s.policy == PolicyOnDemand {
		observation.Offers = slices.DeleteFunc(observation.Offers, func(o fleet.Offer) bool { return o.Reclaimable })
	}

	return observation
}

// planCheapest fills the demand, without regard to the loss of a zone, from the market that is cheapest at present, and releases
// what it replaces.
func (s *simulation) planCheapest(t int, m minute, observation fleet.Observation) {
	best := -1
	live, target, pending := 0.0, 0.0, 0.0

	for i, offer := range observation.Offers {
		if !observation.Blocked[offer.Market] && (best < 0 ||
			offer.Price/offer.TokensPerSecond < observation.Offers[best].Price/observation.Offers[best].TokensPerSecond) {
			best = i
		}
	}

	market := observation.Offers[best].Market

	for _, h := range observation.Hosts {
		tokens := s.history.markets[s.hosts[h.ID].price].TokensPerSecond

		switch h.State {
		case fleet.HostLive:
			live += tokens
		case fleet.HostPending:
			pending += tokens
		case fleet.HostLeaving:
		}

		if h.Market == market && h.State != fleet.HostLeaving {
			target += tokens
		}
	}

	for ; target < observation.Demand; target += observation.Offers[best].TokensPerSecond {
		if !s.create(t, m, market) {
			break
		}
	}

	for _, h := range observation.Hosts {
		tokens := s.history.markets[s.hosts[h.ID].price].TokensPerSecond
		if h.State == fleet.HostLive && (h.Market != market || pending == 0) && live-tokens >= observation.Demand {
			delete(s.hosts, h.ID)

			live -= tokens
		}
	}
}

// create orders a host and tells whether the platform had one.
func (s *simulation) create(t int, m minute, market fleet.Market) bool {
	if market.Reclaimable && m.refused[market.Zone] {
		s.blocked[market] = t + refusalPause
		return false
	}

	s.created++
	id := apricotway.BackendServerID(fmt.Sprintf("host-%08d", s.created))
	price := slices.IndexFunc(s.history.markets, func(o fleet.Offer) bool { return o.Market == market })
	s.hosts[id] = &host{
		Host: fleet.Host{ID: id, Market: market, State: fleet.HostPending}, price: price, ready: t + int(start/step),
	}

	return true
}
