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
	// refusedPause is the time after which a refused order is given again.
	refusedPause = 2 * time.Second
	// repeatPause is the time after which an order that does not show is given again.
	repeatPause = 8 * time.Second
	// shrinkAfter is the time for which fewer engines must suffice before any is given up.
	shrinkAfter = 6 * time.Second
)

// Terms are the assumptions about one engine.
type Terms struct {
	// Least is the number of engines that are kept without any load.
	Least int
	// PrefillRate is the number of prompt tokens that an engine reads in a second, at a load that still meets objectives.
	PrefillRate float64
	// Running is the number of requests that an engine runs at a time, at a load that still meets objectives.
	Running float64
	// Spare is the part of the engines that is kept beyond the load.
	Spare float64
}

// DefaultTerms returns the terms of the operators' engines: about 57 prompt tokens in a millisecond when nothing else runs, and
// 64 places of which a third can be used without long pauses.
func DefaultTerms() Terms {
	return Terms{Least: 8, PrefillRate: 20000, Running: 14, Spare: 0.25}
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

// zone is what the planner remembers of a zone.
type zone struct {
	ordered      Counts
	orderedAt    [2]time.Time
	known        [2]bool
	refusedUntil [2]time.Time
}

// Planner plans one service. It is not safe for concurrent use.
type Planner struct {
	terms Terms
	zones map[apricotway.Zone]*zone
	// target is the number of engines, and lowerSince the time since when a lower one would do.
	target     int
	lowerSince time.Time
}

// New returns a planner that knows of no orders.
func New(terms Terms) *Planner { return &Planner{terms: terms, zones: map[apricotway.Zone]*zone{}} }

// Order is one order to be given.
type Order struct {
	Zone        apricotway.Zone
	Reclaimable bool
	Count       int
}

// Needed returns the number of engines for a load.
func (t Terms) Needed(load Load) int {
	engines := max(load.Prefill/t.PrefillRate, load.Running/t.Running)
	return max(t.Least, int(math.Ceil(engines*(1+t.Spare))))
}

// Plan returns the orders to be given now. live holds the engines that serve, by zone.
func (p *Planner) Plan(
	now time.Time, rule apricotway.CapacityRule, live map[apricotway.Zone]Counts, load Load,
) []Order {
	p.setTarget(now, p.terms.Needed(load))

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

	wanted := p.divide(now, rule, names, live)

	var orders []Order

	for _, name := range names {
		orders = append(orders, p.zones[name].orders(now, name, wanted[name], live[name])...)
	}

	return orders
}

func (p *Planner) setTarget(now time.Time, needed int) {
	if needed >= p.target {
		p.target, p.lowerSince = needed, now
		return
	}

	if now.Sub(p.lowerSince) >= shrinkAfter {
		p.target--
		p.lowerSince = now
	}
}

// divide spreads the target over the zones, the cheapest ones first among those with equal numbers.
func (p *Planner) divide(
	now time.Time, rule apricotway.CapacityRule, names []apricotway.Zone, live map[apricotway.Zone]Counts,
) map[apricotway.Zone]Counts {
	wanted := make(map[apricotway.Zone]Counts, len(names))
	left := p.target

	usable := func(name apricotway.Zone, kind int) bool {
		return !now.Before(p.zones[name].refusedUntil[kind])
	}

	reclaimable := rule.ReclaimablePrice > 0

	// Reclaimable engines come first, in rounds over the zones that give them.
	for round := 1; reclaimable && left > 0 && round <= rule.Max; round++ {
		for _, name := range names {
			if left > 0 && usable(name, kindReclaimable) {
				c := wanted[name]
				c.Reclaimable = round
				wanted[name] = c
				left--
			}
		}
	}

	serving := 0
	for _, counts := range live {
		serving += counts.Reclaimable + counts.OnDemand
	}

	// On-demand engines stand in for reclaimable ones that do not serve yet or are refused.
	missing := 0
	for _, name := range names {
		missing += max(wanted[name].Reclaimable-live[name].Reclaimable, 0)
	}

	standIn := min(missing+left, p.target)

	for _, name := range names {
		c := wanted[name]
		have := live[name].OnDemand
		// Those that serve already are kept for as long as they stand in; new ones start too late for a short gap.
		keep := min(have, standIn, max(rule.Max-c.Reclaimable, 0))
		standIn -= keep
		c.OnDemand = keep

		if c.Reclaimable+c.OnDemand < rule.Min {
			c.OnDemand = rule.Min - c.Reclaimable
		}

		wanted[name] = c
	}

	for left > 0 {
		placed := false

		for _, name := range names {
			c := wanted[name]
			if left > 0 && c.OnDemand+max(c.Reclaimable, live[name].Reclaimable) < rule.Max && usable(name, kindOnDemand) &&
				serving < p.terms.Least {
				c.OnDemand++
				wanted[name] = c
				left--
				placed = true
			}
		}

		if !placed {
			break
		}
	}

	return wanted
}

// Kinds of engines as indices.
const (
	kindReclaimable = iota
	kindOnDemand
)

func (z *zone) orders(now time.Time, name apricotway.Zone, wanted, live Counts) []Order {
	var orders []Order

	for kind, counts := range [2][3]int{
		kindReclaimable: {wanted.Reclaimable, z.ordered.Reclaimable, live.Reclaimable},
		kindOnDemand:    {wanted.OnDemand, z.ordered.OnDemand, live.OnDemand},
	} {
		want, ordered, have := counts[0], counts[1], counts[2]
		lost := z.known[kind] && want == ordered && have != want && now.Sub(z.orderedAt[kind]) >= repeatPause

		if z.known[kind] && want == ordered && !lost || !z.known[kind] && want == have ||
			now.Before(z.refusedUntil[kind]) {
			continue
		}

		orders = append(orders, Order{Zone: name, Reclaimable: kind == kindReclaimable, Count: want})
	}

	return orders
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

	if err != nil {
		z.refusedUntil[kind] = now.Add(refusedPause)
		z.known[kind] = false

		return
	}

	z.known[kind], z.orderedAt[kind] = true, now

	if order.Reclaimable {
		z.ordered.Reclaimable = order.Count
	} else {
		z.ordered.OnDemand = order.Count
	}
}
