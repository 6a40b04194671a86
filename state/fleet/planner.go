package fleet

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/apricotway/apricotway"
)

// Planner compares the hosts of a region with the allocation that it needs, and derives the intents to create and release
// hosts. It is not safe for concurrent use.
type Planner struct {
	terms Parameters
	// surplus holds, for each host that is not needed, the time since when that has been so without interruption.
	surplus map[apricotway.BackendServerID]time.Time
}

// NewPlanner returns a planner that considers no host surplus yet.
func NewPlanner(terms Parameters) *Planner {
	return &Planner{terms: terms, surplus: map[apricotway.BackendServerID]time.Time{}}
}

// SetParameters replaces the parameters from the next plan on.
func (p *Planner) SetParameters(terms Parameters) { p.terms = terms }

// Plan returns the changes to make now, creations first. It releases a host only if the remaining live hosts still meet the
// demand without their largest zone and keep the on-demand floor. A move to another market thus creates before it releases.
func (p *Planner) Plan(now time.Time, observation Observation) []Intent {
	target := Allocate(p.terms, observation)
	owned := map[Market][]Host{}

	for _, host := range observation.Hosts {
		if host.State != HostLeaving && !host.Foreign {
			owned[host.Market] = append(owned[host.Market], host)
		}
	}

	return append(p.creations(target, observation, owned), p.releases(now, target, observation, owned)...)
}

func (p *Planner) creations(target Allocation, observation Observation, owned map[Market][]Host) []Intent {
	var intents []Intent

	// Hosts that a move has not released yet count towards MaxHosts too.
	room := p.terms.MaxChanges
	if p.terms.MaxHosts > 0 {
		room = min(room, p.terms.MaxHosts-len(observation.Hosts))
	}

	for _, offer := range observation.Offers {
		for n := target.Hosts[offer.Market] - len(owned[offer.Market]); n > 0 && len(intents) < room; n-- {
			intents = append(intents, Intent{Action: ActionCreate, Market: offer.Market})
		}
	}

	return intents
}

func (p *Planner) releases(now time.Time, target Allocation, observation Observation, owned map[Market][]Host) []Intent {
	live := newLiveCapacity(observation)
	surplus := map[apricotway.BackendServerID]time.Time{}

	var intents []Intent

	// The order decides which hosts are released if the live capacity does not allow all releases.
	for _, market := range slices.SortedFunc(maps.Keys(owned), Market.compare) {
		hosts := owned[market]

		extra := len(hosts) - target.Hosts[market]
		if extra <= 0 {
			continue
		}

		// A fixed order makes every plan consider the same hosts surplus.
		slices.SortFunc(hosts, func(a, b Host) int { return strings.Compare(string(b.ID), string(a.ID)) })

		for _, host := range hosts[:extra] {
			if host.ID == "" {
				continue
			}

			since, known := p.surplus[host.ID]
			if !known {
				since = now
			}

			surplus[host.ID] = since

			if now.Sub(since) >= p.terms.Hold && len(intents) < p.terms.MaxChanges && live.release(host, p.terms, observation.Demand) {
				intents = append(intents, Intent{Action: ActionRelease, Market: market, Host: host.ID})
			}
		}
	}

	p.surplus = surplus

	slices.SortFunc(intents, func(a, b Intent) int { return strings.Compare(string(a.Host), string(b.Host)) })

	return intents
}

// liveCapacity is the capacity of the live hosts, less the hosts that the current plan releases.
type liveCapacity struct {
	speed    map[apricotway.MachineClass]float64
	zones    map[apricotway.Zone]float64
	onDemand int
}

func newLiveCapacity(observation Observation) *liveCapacity {
	l := &liveCapacity{speed: map[apricotway.MachineClass]float64{}, zones: map[apricotway.Zone]float64{}}

	for _, offer := range observation.Offers {
		l.speed[offer.MachineClass] = offer.TokensPerSecond
	}

	for _, host := range observation.Hosts {
		if host.State != HostLive {
			continue
		}

		l.zones[host.Zone] += l.speed[host.MachineClass]

		if !host.Reclaimable && !host.Foreign {
			l.onDemand++
		}
	}

	return l
}

// release subtracts a host if the rest is sufficient, and reports whether it was.
func (l *liveCapacity) release(host Host, terms Parameters, demand float64) bool {
	if host.State != HostLive {
		return true
	}

	if !host.Reclaimable && l.onDemand <= terms.OnDemandFloor {
		return false
	}

	l.zones[host.Zone] -= l.speed[host.MachineClass]

	if l.surviving() < demand {
		l.zones[host.Zone] += l.speed[host.MachineClass]
		return false
	}

	if !host.Reclaimable {
		l.onDemand--
	}

	return true
}

func (l *liveCapacity) surviving() float64 {
	total, largest := 0.0, 0.0
	for _, capacity := range l.zones {
		total += capacity
		largest = max(largest, capacity)
	}

	return total - largest
}
