// Package scaling decides how many engines of each kind every availability zone should have. It is built for days on which all
// reclaimable engines of a zone are taken back within seconds, and orders for new ones are refused for a while. Reclaimable
// engines are spread over the zones with spare capacity for the loss of one zone, and on-demand engines are used only for what
// cannot be had otherwise. It performs no I/O.
package scaling

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/apricotway/apricotway"
)

const (
	// busyDecay is the factor by which the number of busy engines may fall from one call of Plan to the next, half a second later.
	busyDecay = 0.95
	// refusedRetryAfter is the time after which a refused order is repeated.
	refusedRetryAfter = 2 * time.Second
	// unfilledRetryAfter is the time after which an accepted order is repeated whose engines are not all serving.
	unfilledRetryAfter = 8 * time.Second
	// minEnginesPerBusy is the number of serving engines per busy one below which on-demand engines are ordered. On-demand engines
	// cost several times as much and serve only after their boot time, but engines that process prompts for more than 45% of their
	// time answer late.
	minEnginesPerBusy = 2.2
	// warmUp is the time under load before any engine that ran at the start is released: the operators started as many as they
	// expect to need.
	warmUp = 6 * time.Second
	// shrinkShare is the fraction of the target that is released at a time.
	shrinkShare = 0.05
	// shrinkAfter is the time for which fewer engines must suffice before any is released.
	shrinkAfter = 4 * time.Second
)

// Parameters are the assumptions about one engine and the minimum number of engines.
type Parameters struct {
	// Least is the number of engines that are kept even without load.
	Least int
	// PrefillRate is the number of prompt tokens that a busy engine processes in a second.
	PrefillRate float64
	// Headroom is multiplied by the square root of the number of busy engines to give the number of spare ones: the more engines
	// share a load, the less its fluctuations and the loss of a zone matter.
	Headroom float64
	// Running is the number of requests that an engine can run at a time and still meet latency objectives.
	Running float64
}

// DefaultParameters returns the parameters of the operators' engines, which process about 57 prompt tokens in a millisecond
// when nothing else runs, and have 64 slots, two thirds of which can be used without long pauses.
func DefaultParameters() Parameters {
	return Parameters{Least: 8, PrefillRate: 45000, Headroom: 5, Running: 40}
}

// Load is the load of one service.
type Load struct {
	// Prefill is in uncached prompt tokens a second.
	Prefill float64
	Running float64
}

// Counts are the numbers of engines in one zone.
type Counts struct {
	Reclaimable, OnDemand int
}

// zoneOrders is the state of the orders for one zone, by kind of engine.
type zoneOrders struct {
	ordered [kinds]int
	// accepted means that the platform has accepted an order; orderedAt is the time of the last one.
	accepted  [kinds]bool
	orderedAt [kinds]time.Time
	// refused means that the last order was refused; it is retried at retryAt.
	refused [kinds]bool
	retryAt [kinds]time.Time
}

// The kinds of engines, as array indices.
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

// Planner plans the engines of one service. It is not safe for concurrent use.
type Planner struct {
	terms Parameters
	zones map[apricotway.Zone]*zoneOrders
	// target is the number of engines to have, and surplusSince is the time since which fewer would suffice.
	target       int
	surplusSince time.Time
	// busy is the number of busy engines, which falls by at most busyDecay from one plan to the next.
	busy float64
	// loadedSince is the time at which the planner first saw load.
	loadedSince time.Time
}

// New returns a planner that has placed no orders.
func New(terms Parameters) *Planner {
	return &Planner{terms: terms, zones: map[apricotway.Zone]*zoneOrders{}}
}

// Order asks the platform for a total number of engines of one kind in a zone.
type Order struct {
	Zone        apricotway.Zone
	Reclaimable bool
	Count       int
}

// busy returns the number of engines that the load would keep busy all the time.
func (t Parameters) busy(load Load) float64 { return load.Prefill / t.PrefillRate }

// Needed returns the number of engines that the load needs.
func (t Parameters) Needed(load Load) int {
	busy := t.busy(load)
	return max(t.Least, int(math.Ceil(busy+t.Headroom*math.Sqrt(busy))), int(math.Ceil(load.Running/t.Running)))
}

// Plan returns the orders to place now. live holds the serving engines by zone.
func (p *Planner) Plan(
	now time.Time, rule apricotway.CapacityRule, live map[apricotway.Zone]Counts, load Load,
) []Order {
	p.busy = max(p.terms.busy(load), p.busy*busyDecay)
	p.setTarget(now, p.terms.Needed(load), load.Prefill+load.Running, live)

	names := make([]apricotway.Zone, 0, len(rule.ZonePrices))
	for name := range rule.ZonePrices {
		names = append(names, name)

		if p.zones[name] == nil {
			p.zones[name] = &zoneOrders{}
		}
	}

	slices.SortFunc(names, func(a, b apricotway.Zone) int {
		return cmp.Or(cmp.Compare(rule.ZonePrices[a], rule.ZonePrices[b]), cmp.Compare(a, b))
	})

	wanted := p.distribute(rule, names, live)

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

// setTarget raises the target at once and lowers it slowly. A planner that has seen no load yet, as after the crash of the
// process that planned before it, keeps the engines that serve.
func (p *Planner) setTarget(now time.Time, needed int, load float64, live map[apricotway.Zone]Counts) {
	if load > 0 && p.loadedSince.IsZero() {
		p.loadedSince = now
	}

	if p.loadedSince.IsZero() || now.Sub(p.loadedSince) < warmUp {
		var present Counts

		for _, counts := range live {
			present.Reclaimable += counts.Reclaimable
			present.OnDemand += counts.OnDemand
		}

		// Both kinds serve at the same time only while one replaces the other.
		p.target = max(p.target, present.Reclaimable, present.OnDemand)
		p.surplusSince = now
	}

	if needed >= p.target {
		p.target, p.surplusSince = needed, now
		return
	}

	if now.Sub(p.surplusSince) >= shrinkAfter {
		p.target = max(needed, p.target-1-int(shrinkShare*float64(p.target)))
		p.surplusSince = now
	}
}

// distribute spreads the target over the zones. Among zones with equal numbers, the cheapest come first.
func (p *Planner) distribute(
	rule apricotway.CapacityRule, names []apricotway.Zone, live map[apricotway.Zone]Counts,
) map[apricotway.Zone]Counts {
	wanted := make(map[apricotway.Zone]Counts, len(names))
	unplaced := p.spread(rule, names, live, wanted)

	// On-demand engines that already serve substitute for reclaimable engines that are ordered but do not serve yet, and for those
	// that cannot be had. They are released once all reclaimable engines serve.
	substitutes, expected := unplaced, 0
	for _, name := range names {
		substitutes += max(wanted[name].Reclaimable-live[name].Reclaimable, 0)
		expected += live[name].Reclaimable
	}

	for _, name := range names {
		c := wanted[name]
		have := max(live[name].OnDemand, p.zones[name].ordered[kindOnDemand])
		c.OnDemand = min(have, substitutes, max(rule.Max-c.Reclaimable, 0))
		substitutes -= c.OnDemand
		expected += c.OnDemand
		wanted[name] = c
	}

	p.addOnDemand(rule, names, wanted, min(unplaced, p.minServing()-expected))

	for _, name := range names {
		c := wanted[name]
		if p.zones[name].refused[kindReclaimable] {
			// The order that probes whether the zone has engines again asks for an equal share of the target.
			c.Reclaimable = max(c.Reclaimable, min((p.target+len(names)-1)/len(names), rule.Max-c.OnDemand))
		}

		c.OnDemand = max(c.OnDemand, rule.Min-c.Reclaimable)
		wanted[name] = c
	}

	return wanted
}

// spread assigns reclaimable engines to the zones in rounds and returns how many engines of the target it could not place. A
// zone that refuses orders counts only with the engines that it has.
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

// minServing is the number of engines below which on-demand engines are ordered.
func (p *Planner) minServing() int { return min(int(math.Ceil(minEnginesPerBusy*p.busy))+1, p.target) }

// addOnDemand adds on-demand engines, in the cheapest zones first.
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

// order returns the order for one kind of engine in the zone, and whether it is due.
func (z *zoneOrders) order(now time.Time, name apricotway.Zone, kind, want, have int) (Order, bool) {
	order := Order{Zone: name, Reclaimable: kind == kindReclaimable, Count: want}

	switch {
	case z.refused[kind]:
		return order, want > have && !now.Before(z.retryAt[kind])
	case !z.accepted[kind]:
		return order, want != have
	case want != z.ordered[kind]:
		return order, true
	default:
		// The engines of an accepted order may have been taken back since then.
		return order, have != want && now.Sub(z.orderedAt[kind]) >= unfilledRetryAfter
	}
}

// RecordOrder records the result of an order.
func (p *Planner) RecordOrder(now time.Time, order Order, err error) {
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
		z.retryAt[kind] = now.Add(refusedRetryAfter)
		return
	}

	z.accepted[kind], z.orderedAt[kind], z.ordered[kind] = true, now, order.Count
}
