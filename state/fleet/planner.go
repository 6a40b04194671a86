package fleet

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/apricotway/apricotway"
)

// Planner turns observations into intents. It is not safe for concurrent use.
type Planner struct {
	terms Terms
	// surplus holds the time from which a host was not needed without a break.
	surplus map[apricotway.BackendServerID]time.Time
}

// NewPlanner returns a planner.
func NewPlanner(terms Terms) *Planner {
	return &Planner{terms: terms, surplus: map[apricotway.BackendServerID]time.Time{}}
}

// SetTerms changes the parameters.
func (p *Planner) SetTerms(terms Terms) { p.terms = terms }

// Plan returns the changes to make now. Creations come first. A host is released only if the live hosts that remain still
// meet the demand without their largest zone and keep the floor: a move creates before it releases.
func (p *Planner) Plan(now time.Time, observation Observation) []Intent {
	target := Allocate(p.terms, observation)
	have := map[Market][]Host{}

	for _, host := range observation.Hosts {
		if host.State != HostLeaving && !host.Foreign {
			have[host.Market] = append(have[host.Market], host)
		}
	}

	return append(p.creations(target, observation, have), p.releases(now, target, observation, have)...)
}

func (p *Planner) creations(target Allocation, observation Observation, have map[Market][]Host) []Intent {
	var intents []Intent

	// The bound on hosts covers those that a move has not released yet.
	room := p.terms.MaxChanges
	if p.terms.MaxHosts > 0 {
		room = min(room, p.terms.MaxHosts-len(observation.Hosts))
	}

	for _, offer := range observation.Offers {
		for n := target.Hosts[offer.Market] - len(have[offer.Market]); n > 0 && len(intents) < room; n-- {
			intents = append(intents, Intent{Action: ActionCreate, Market: offer.Market})
		}
	}

	return intents
}

func (p *Planner) releases(now time.Time, target Allocation, observation Observation, have map[Market][]Host) []Intent {
	live := newLive(observation)
	surplus := map[apricotway.BackendServerID]time.Time{}

	var intents []Intent

	// The order decides which hosts may go where the live capacity does not allow all releases.
	for _, market := range slices.SortedFunc(maps.Keys(have), Market.compare) {
		hosts := have[market]

		extra := len(hosts) - target.Hosts[market]
		if extra <= 0 {
			continue
		}

		// The order is fixed, so that the same hosts are surplus in every plan.
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

// live is the capacity that is there now.
type live struct {
	speed    map[apricotway.MachineClass]float64
	zones    map[apricotway.Zone]float64
	onDemand int
}

func newLive(observation Observation) *live {
	l := &live{speed: map[apricotway.MachineClass]float64{}, zones: map[apricotway.Zone]float64{}}

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

// release takes the host out if the rest is enough, and tells whether it was.
func (l *live) release(host Host, terms Terms, demand float64) bool {
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

func (l *live) surviving() float64 {
	total, largest := 0.0, 0.0
	for _, capacity := range l.zones {
		total += capacity
		largest = max(largest, capacity)
	}

	return total - largest
}
