// Package scaling decides how many engines of each kind every availability zone should have. It answers days on which whole
// zones of reclaimable engines are taken back within seconds and orders for new ones are refused for a while: reclaimable engines
// are spread over the zones with room for the loss of one zone, and on-demand engines stand in only for what cannot be had
// otherwise. It performs no I/O.
package scaling

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/apricotway/apricotway"
)

const (
	// busyDecay is the factor by which the number of busy engines may fall from one plan to the next, half a second later.
	busyDecay = 0.95
	// refusedPause is the time after which a refused order is given again.
	refusedPause = 2 * time.Second
	// repeatPause is the time after which an order that does not show is given again.
	repeatPause = 8 * time.Second
	// floorLoad is the number of engines for each busy one below which on-demand engines are started: they cost several times as
	// much and come after the boot time, but engines that read prompts for over 45% of their time answer late.
	floorLoad = 2.2
	// learnTime is the time under load before engines that were there at the start are given up: the operators started as many
	// as they expect to need.
	learnTime = 6 * time.Second
	// shrinkPart is the part of the target that is given up at a time.
	shrinkPart = 0.05
	// shrinkAfter is the time for which fewer engines must suffice before any is given up.
	shrinkAfter = 4 * time.Second
)

// Terms are the assumptions about one engine.
type Terms struct {
	// Least is the number of engines that are kept without any load.
	Least int
	// PrefillRate is the number of prompt tokens that a busy engine reads in a second.
	PrefillRate float64
	// Headroom is the number of further engines for each square root of the busy ones: the more engines share a load, the less
	// its swings and the loss of a zone weigh.
	Headroom float64
	// Running is the number of requests that an engine runs at a time, at a load that still meets objectives.
	Running float64
}

// DefaultTerms returns the terms of the operators' engines: about 57 prompt tokens in a millisecond when nothing else runs, and
// 64 places of which two thirds can be used without long pauses.
func DefaultTerms() Terms {
	return Terms{Least: 8, PrefillRate: 45000, Headroom: 5, Running: 40}
}

// Load is the work of a service.
type Load struct {
	// Prefill is in prompt tokens a second that are not cached.
	Prefill float64
	Running float64
}

// Counts are the engines of one zone.
type Counts struct {
	Reclaimable, OnDemand int
}

// zone is what the planner remembers of the orders for one zone, by kind.
type zone struct {
	ordered [kinds]int
	// known tells that the platform accepted an order; orderedAt is the time of the last one.
	known     [kinds]bool
	orderedAt [kinds]time.Time
	// refused tells that the last order was refused; it is tried again at retryAt.
	refused [kinds]bool
	retryAt [kinds]time.Time
}

// Kinds of engines as indices.
const (
	kindReclaimable = iota
	kindOnDemand
	kinds
)

func (c Counts) of(kind int) int {
	if kind == kindReclaimable {
		return c.Reclaimable
	}

	return c.OnDemand
}

// Planner plans one service. It is not safe for concurrent use.
type Planner struct {
	terms Terms
	zones map[apricotway.Zone]*zone
	// target is the number of engines, and lowerSince the time since when a lower one would do.
	target     int
	lowerSince time.Time
	// busy is the number of busy engines, which falls slowly.
	busy float64
	// loadedSince is the time at which a load was seen first.
	loadedSince time.Time
}

// New returns a planner that knows of no orders.
func New(terms Terms) *Planner { return &Planner{terms: terms, zones: map[apricotway.Zone]*zone{}} }

// Order is one order to be given.
type Order struct {
	Zone        apricotway.Zone
	Reclaimable bool
	Count       int
}

// busy returns the number of engines that a load would keep busy without a pause.
func (t Terms) busy(load Load) float64 { return load.Prefill / t.PrefillRate }

// Needed returns the number of engines for a load.
func (t Terms) Needed(load Load) int {
	busy := t.busy(load)
	return max(t.Least, int(math.Ceil(busy+t.Headroom*math.Sqrt(busy))), int(math.Ceil(load.Running/t.Running)))
}

// Plan returns the orders to be given now. live holds the engines that serve, by zone.
func (p *Planner) Plan(
	now time.Time, rule apricotway.CapacityRule, live map[apricotway.Zone]Counts, load Load,
) []Order {
	p.busy = max(p.terms.busy(load), p.busy*busyDecay)
	p.setTarget(now, p.terms.Needed(load), load.Prefill+load.Running, live)

	names := make([]apricotway.Zone, 0, len(rule.ZonePrices))
	for name := range rule.ZonePrices {
		names = append(names, name)

		if p.zones[name] == nil {
			p.zones[name] = &zone{}
		}
	}

	slices.SortFunc(names, func(a, b apricotway.Zone) int {
		return cmp.Or(cmp.Compare(rule.ZonePrices[a], rule.ZonePrices[b]), cmp.Compare(a, b))
	})

	wanted := p.divide(rule, names, live)

	var orders []Order

	for _, name := range names {
		for kind := range kinds {
			if order, due := p.zones[name].order(now, name, kind, wanted[name].of(kind), live[name].of(kind)); due {
				orders = append(orders, order)
			}
		}
	}

	return orders
}

// setTarget follows a growing need at once and a falling one slowly. A planner that knows nothing of the load yet, as after its
// predecessor's death, keeps the engines that serve.
func (p *Planner) setTarget(now time.Time, needed int, load float64, live map[apricotway.Zone]Counts) {
	if load > 0 && p.loadedSince.IsZero() {
		p.loadedSince = now
	}

	if p.loadedSince.IsZero() || now.Sub(p.loadedSince) < learnTime {
		var present Counts

		for _, counts := range live {
			present.Reclaimable += counts.Reclaimable
			present.OnDemand += counts.OnDemand
		}

		// Both kinds serve together only while one replaces the other.
		p.target = max(p.target, present.Reclaimable, present.OnDemand)
		p.lowerSince = now
	}

	if needed >= p.target {
		p.target, p.lowerSince = needed, now
		return
	}

	if now.Sub(p.lowerSince) >= shrinkAfter {
		p.target = max(needed, p.target-1-int(shrinkPart*float64(p.target)))
		p.lowerSince = now
	}
}

// divide spreads the target over the zones, the cheapest ones first among those with equal numbers.
func (p *Planner) divide(
	rule apricotway.CapacityRule, names []apricotway.Zone, live map[apricotway.Zone]Counts,
) map[apricotway.Zone]Counts {
	wanted := make(map[apricotway.Zone]Counts, len(names))
	left := p.spread(rule, names, live, wanted)

	// Reclaimable engines that are ordered and do not serve yet, and those that cannot be had, are stood in for by on-demand
	// engines that serve already. They are given up once all are there.
	standIn, expected := left, 0
	for _, name := range names {
		standIn += max(wanted[name].Reclaimable-live[name].Reclaimable, 0)
		expected += live[name].Reclaimable
	}

	for _, name := range names {
		c := wanted[name]
		have := max(live[name].OnDemand, p.zones[name].ordered[kindOnDemand])
		c.OnDemand = min(have, standIn, max(rule.Max-c.Reclaimable, 0))
		standIn -= c.OnDemand
		expected += c.OnDemand
		wanted[name] = c
	}

	p.addOnDemand(rule, names, wanted, min(left, p.floor()-expected))

	for _, name := range names {
		c := wanted[name]
		if p.zones[name].refused[kindReclaimable] {
			// The trial order asks for an even part of the target.
			c.Reclaimable = max(c.Reclaimable, min((p.target+len(names)-1)/len(names), rule.Max-c.OnDemand))
		}

		c.OnDemand = max(c.OnDemand, rule.Min-c.Reclaimable)
		wanted[name] = c
	}

	return wanted
}

// spread gives reclaimable engines to the zones in rounds and returns how many of the target found no place. A zone that
// refuses orders counts with the engines that it has.
func (p *Planner) spread(
	rule apricotway.CapacityRule, names []apricotway.Zone, live, wanted map[apricotway.Zone]Counts,
) int {
	left := p.target
	if rule.ReclaimablePrice <= 0 {
		return left
	}

	for round := 1; left > 0 && round <= rule.Max; round++ {
		for _, name := range names {
			if left == 0 || p.zones[name].refused[kindReclaimable] && round > live[name].Reclaimable {
				continue
			}

			wanted[name] = Counts{Reclaimable: round}
			left--
		}
	}

	return left
}

// floor is the number of engines below which on-demand ones are started.
func (p *Planner) floor() int { return min(int(math.Ceil(floorLoad*p.busy))+1, p.target) }

// addOnDemand adds on-demand engines, the cheapest zones first.
func (p *Planner) addOnDemand(
	rule apricotway.CapacityRule, names []apricotway.Zone, wanted map[apricotway.Zone]Counts, count int,
) {
	for placed := true; placed && count > 0; {
		placed = false

		for _, name := range names {
			c := wanted[name]
			if count <= 0 || c.Reclaimable+c.OnDemand >= rule.Max || p.zones[name].refused[kindOnDemand] {
				continue
			}

			c.OnDemand++
			wanted[name] = c
			count--
			placed = true
		}
	}
}

// order returns the order of one kind that is due in the zone.
func (z *zone) order(now time.Time, name apricotway.Zone, kind, want, have int) (Order, bool) {
	order := Order{Zone: name, Reclaimable: kind == kindReclaimable, Count: want}

	switch {
	case z.refused[kind]:
		return order, want > have && !now.Before(z.retryAt[kind])
	case !z.known[kind]:
		return order, want != have
	case want != z.ordered[kind]:
		return order, true
	default:
		// The engines of an accepted order may have been taken back since.
		return order, have != want && now.Sub(z.orderedAt[kind]) >= repeatPause
	}
}

// Ordered notes the result of an order.
func (p *Planner) Ordered(now time.Time, order Order, err error) {
	z := p.zones[order.Zone]
	if z == nil {
		return
	}

	kind := kindOnDemand
	if order.Reclaimable {
		kind = kindReclaimable
	}

	z.refused[kind] = err != nil
	if err != nil {
		z.retryAt[kind] = now.Add(refusedPause)
		return
	}

	z.known[kind], z.orderedAt[kind], z.ordered[kind] = true, now, order.Count
}
