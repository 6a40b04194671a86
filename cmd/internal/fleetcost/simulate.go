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
	// hostStartTime is the time from ordering a host to its first token.
	hostStartTime = 3 * time.Minute
	// headroom is the fraction added to the current demand for planning, since demand rises while ordered hosts start.
	headroom = 0.03
	// onDemandFloorRatio is the minimum number of on-demand hosts as a fraction of the standard hosts that serve the peak.
	onDemandFloorRatio = 0.05
	// refusalBlockMinutes is the number of minutes for which a market is blocked after it refused a host.
	refusalBlockMinutes = 2
	// maxPlansPerMinute bounds the plans of one minute, each made after a refusal in the one before. The production driver plans
	// every second, so that within a minute it tries the next market after every refusal.
	maxPlansPerMinute = 16
)

// Policy names the rule that decides which hosts are ordered and released.
type Policy string

// The policies that are compared.
const (
	PolicyPlanner  Policy = "planner"
	PolicyOnDemand Policy = "allOnDemand"
	PolicyCheapest Policy = "cheapestZoneFirst"
	// PolicyFuture pays in each minute for the cheapest allocation for that minute's demand, without headroom. It assumes that
	// hosts were started in time and can be moved for free, so that its cost is a lower bound for any planner that uses the
	// allocations of state/fleet.
	PolicyFuture Policy = "knowsFuture"
)

// Result is the cost and the unserved demand of one policy over one history.
type Result struct {
	Policy Policy  `json:"policy"`
	Cost   float64 `json:"cost"`
	// Unserved is the fraction of the demanded tokens that were not generated.
	Unserved float64 `json:"unserved"`
	// UnservedAfterLoss is the largest fraction of a minute's demand that was not served in the first minutes, the start time of a
	// host, after the largest zone failed.
	UnservedAfterLoss float64 `json:"unservedAfterLoss"`
	Created           int     `json:"created"`
}

// Policies lists the policies in the order of the report.
var Policies = []Policy{PolicyPlanner, PolicyOnDemand, PolicyCheapest, PolicyFuture}

// Measure simulates a policy over a generated history. Its peak demand is such that the fleet needs about the given number of
// standard hosts, including the reserve for a lost zone.
func Measure(policy Policy, seed uint64, days, engines int, hysteresis float64) Result {
	// One of the four zones' share of the capacity is reserve for the loss of the largest zone.
	peak := float64(engines) * classes[0].tokens * float64(len(zones)-1) / float64(len(zones))
	s := &simulation{
		policy: policy, history: generate(seed, days, peak), random: rand.New(rand.NewPCG(seed, 1)),
		terms: fleet.Parameters{
			OnDemandFloor: int(math.Ceil(onDemandFloorRatio * float64(engines))), MaxChanges: math.MaxInt32,
			Hysteresis: hysteresis, Hold: 5 * time.Minute, Start: hostStartTime,
		},
		hosts: map[apricotway.BackendServerID]*host{}, blockedUntil: map[fleet.Market]int{},
	}
	s.planner = fleet.NewPlanner(s.terms)

	return s.run()
}

type host struct {
	fleet.Host

	// marketIndex is the index of the host's market in history.markets and minute.prices.
	marketIndex int
	// readyMinute is the minute in which the host starts to serve.
	readyMinute int
}

type simulation struct {
	policy  Policy
	history *history
	random  *rand.Rand
	terms   fleet.Parameters
	planner *fleet.Planner
	hosts   map[apricotway.BackendServerID]*host
	// blockedUntil holds, for each market that refused a host, the minute until which the planner skips it.
	blockedUntil map[fleet.Market]int
	created      int
}

func (s *simulation) run() Result {
	result := Result{Policy: s.policy}

	var demanded, unserved float64

	lossMinute := -1000

	for t, m := range s.history.minutes {
		if s.policy == PolicyFuture {
			result.Cost += s.foresightCost(m)
			continue
		}

		s.advance(t, m)

		if m.lost {
			s.loseLargest()

			lossMinute = t
		}

		capacity := 0.0
		// The order is fixed, since the rounding of a floating-point sum depends on it.
		for _, id := range slices.Sorted(maps.Keys(s.hosts)) {
			h := s.hosts[id]
			result.Cost += m.prices[h.marketIndex] * step.Hours()

			if h.readyMinute <= t {
				capacity += s.history.markets[h.marketIndex].TokensPerSecond
			}
		}

		// The first hour is not counted, since the fleet starts empty.
		if missing := max(0, m.demand-capacity); t >= 60 {
			demanded += m.demand
			unserved += missing

			if t-lossMinute <= int(hostStartTime/step) {
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

// foresightCost returns the cost of the cheapest allocation for one minute, as PolicyFuture pays it.
func (s *simulation) foresightCost(m minute) float64 {
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

// advance removes the hosts whose reclaim was announced in the last minute, announces new reclaims and marks started hosts live.
func (s *simulation) advance(t int, m minute) {
	for _, id := range slices.Sorted(maps.Keys(s.hosts)) {
		h := s.hosts[id]

		switch {
		case h.State == fleet.HostLeaving:
			delete(s.hosts, id)
		case h.Reclaimable && (m.reclaimed[h.Zone] || s.random.Float64() < hostReclaimsPerHour/60):
			h.State = fleet.HostLeaving
		case h.readyMinute <= t:
			h.State = fleet.HostLive
		}
	}
}

func (s *simulation) loseLargest() {
	capacity := map[apricotway.Zone]float64{}
	for _, h := range s.hosts {
		if h.State == fleet.HostLive {
			capacity[h.Zone] += s.history.markets[h.marketIndex].TokensPerSecond
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

// plan applies the policy's plan and repeats it until no market refuses a host, at most maxPlansPerMinute times.
func (s *simulation) plan(t int, m minute) {
	for range maxPlansPerMinute {
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

	for market, until := range s.blockedUntil {
		observation.Blocked[market] = t < until
	}

	if s.policy == PolicyOnDemand {
		observation.Offers = slices.DeleteFunc(observation.Offers, func(o fleet.Offer) bool { return o.Reclaimable })
	}

	return observation
}

// planCheapest orders hosts from the market with the lowest price per token until they cover the demand, without a reserve for
// the loss of a zone. It releases the live hosts that are no longer needed, those of the chosen market only while none are
// pending.
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
		tokens := s.history.markets[s.hosts[h.ID].marketIndex].TokensPerSecond

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
		tokens := s.history.markets[s.hosts[h.ID].marketIndex].TokensPerSecond
		if h.State == fleet.HostLive && (h.Market != market || pending == 0) && live-tokens >= observation.Demand {
			delete(s.hosts, h.ID)

			live -= tokens
		}
	}
}

// create orders a host and reports whether the market supplied it. A refusal blocks the market for refusalBlockMinutes.
func (s *simulation) create(t int, m minute, market fleet.Market) bool {
	if market.Reclaimable && m.refused[market.Zone] {
		s.blockedUntil[market] = t + refusalBlockMinutes
		return false
	}

	s.created++
	id := apricotway.BackendServerID(fmt.Sprintf("host-%08d", s.created))
	price := slices.IndexFunc(s.history.markets, func(o fleet.Offer) bool { return o.Market == market })
	s.hosts[id] = &host{
		Host: fleet.Host{ID: id, Market: market, State: fleet.HostPending}, marketIndex: price, readyMinute: t + int(hostStartTime/step),
	}

	return true
}
