package fleet

import (
	"cmp"
	"math"
	"slices"

	"github.com/apricotway/apricotway"
)

// limitSteps is the number of evenly spaced zone limits that are tried in addition to the exact ones. They are needed if
// blocked markets or foreign hosts make the zones unequal.
const limitSteps = 12

// Allocation is the number of hosts wanted on each market.
type Allocation struct {
	Hosts map[Market]int
	// Capacity is the total in tokens per second, and Surviving is the rest of it without its largest zone.
	Capacity  float64
	Surviving float64
	// cost is the total price, in which existing hosts are cheaper by the hysteresis.
	cost float64
}

// segment is a supply of hosts of one market at one price: the existing ones, or those that can be created. unit is the price
// per useful token.
type segment struct {
	Offer

	price float64
	unit  float64
	count int
}

// allocator holds the input that is the same for all zone limits.
type allocator struct {
	terms    Parameters
	demand   float64
	segments []segment
	// floors holds two orders in which the on-demand segments are tried for the floor: by unit price, and by the difference in
	// unit price to the cheapest segment of the same zone.
	floors [2][]int
	// foreign is the capacity of the foreign hosts in each zone, which every allocation includes.
	foreign      map[apricotway.Zone]float64
	foreignHosts int
}

// Allocate returns the cheapest allocation that meets the demand without its largest zone and keeps the floor of on-demand
// hosts. If there is none, it returns the one that comes closest.
//
// For a given limit on the capacity of each zone, the cheapest allocation takes the cheapest hosts first. Without blocked
// markets the best limit is the demand divided by k-1 for some number k of zones, since the cost is linear in between.
func Allocate(terms Parameters, observation Observation) Allocation {
	a := newAllocator(terms, observation)

	var best Allocation

	for i, limit := range a.limits(observation.Offers) {
		for j, floor := range a.floors {
			current := a.fill(limit, floor)
			if i+j == 0 || a.better(current, best) {
				best = current
			}
		}
	}

	return best
}

func newAllocator(terms Parameters, observation Observation) *allocator {
	a := &allocator{terms: terms, demand: observation.Demand, foreign: map[apricotway.Zone]float64{}}
	existing := map[Market]int{}
	speed := map[apricotway.MachineClass]float64{}

	for _, offer := range observation.Offers {
		speed[offer.MachineClass] = offer.TokensPerSecond
	}

	for _, host := range observation.Hosts {
		switch {
		case host.State == HostLeaving:
		case host.Foreign:
			a.foreign[host.Zone] += speed[host.MachineClass]
			a.foreignHosts++
		default:
			existing[host.Market]++
		}
	}

	for _, offer := range observation.Offers {
		if offer.TokensPerSecond <= 0 {
			continue
		}

		unit := offer.unitPrice(terms.Start)
		if n := existing[offer.Market]; n > 0 {
			keep := 1 - terms.Hysteresis
			a.segments = append(a.segments, segment{Offer: offer, price: offer.Price * keep, unit: unit * keep, count: n})
		}

		if !observation.Blocked[offer.Market] && !observation.Blocked[wholeZone(offer.Market)] {
			a.segments = append(a.segments, segment{Offer: offer, price: offer.Price, unit: unit, count: math.MaxInt32})
		}
	}

	slices.SortStableFunc(a.segments, func(x, y segment) int { return cmp.Compare(x.unit, y.unit) })

	a.orderFloors()

	return a
}

func (a *allocator) orderFloors() {
	cheapest := map[apricotway.Zone]float64{}

	// The segments are sorted by unit price, so the first one of a zone is its cheapest.
	for i, s := range a.segments {
		if _, ok := cheapest[s.Zone]; !ok {
			cheapest[s.Zone] = s.unit
		}

		if !s.Reclaimable {
			a.floors[0] = append(a.floors[0], i)
		}
	}

	extra := func(i int) float64 { return a.segments[i].unit - cheapest[a.segments[i].Zone] }
	a.floors[1] = slices.Clone(a.floors[0])
	slices.SortStableFunc(a.floors[1], func(i, j int) int { return cmp.Compare(extra(i), extra(j)) })
}

// limits returns the zone limits to try.
func (a *allocator) limits(offers []Offer) []float64 {
	zones, speeds := map[apricotway.Zone]bool{}, map[float64]bool{}
	for _, offer := range offers {
		zones[offer.Zone] = true
		speeds[offer.TokensPerSecond] = true
	}

	var limits []float64

	for k := 1; k < max(len(zones), 2); k++ {
		for speed := range speeds {
			if speed > 0 {
				limits = append(limits, math.Ceil(a.demand/float64(k)/speed)*speed)
			}
		}
	}

	for i := 1; i <= limitSteps; i++ {
		limits = append(limits, a.demand*float64(i)/limitSteps)
	}

	slices.Sort(limits)

	return slices.Compact(limits)
}

// fill allocates the cheapest hosts, after those of the floor in the given order, with no zone above the limit.
func (a *allocator) fill(limit float64, order []int) Allocation {
	result := Allocation{Hosts: map[Market]int{}}
	zones := map[apricotway.Zone]float64{}
	hosts := a.foreignHosts

	for zone, capacity := range a.foreign {
		zones[zone] = capacity
		result.Capacity += capacity
	}

	left := make([]int, len(a.segments))
	for i, s := range a.segments {
		left[i] = s.count
	}

	take := func(i, wanted int) int {
		s := a.segments[i]
		// The small term compensates for the rounding of a limit that is a multiple of the speed.
		room := int((limit-zones[s.Zone])/s.TokensPerSecond + 1e-9)
		n := max(0, min(wanted, left[i], room))

		if a.terms.MaxHosts > 0 {
			n = min(n, max(0, a.terms.MaxHosts-hosts))
		}

		left[i] -= n
		hosts += n
		result.Hosts[s.Market] += n
		result.Capacity += float64(n) * s.TokensPerSecond
		result.cost += float64(n) * s.price
		zones[s.Zone] += float64(n) * s.TokensPerSecond

		return n
	}

	floor := a.terms.OnDemandFloor

	for _, i := range order {
		floor -= take(i, floor)
	}

	for i, s := range a.segments {
		if missing := a.demand + limit - result.Capacity; missing > 0 {
			take(i, int(math.Ceil(missing/s.TokensPerSecond-1e-9)))
		}
	}

	largest := 0.0
	for _, capacity := range zones {
		largest = max(largest, capacity)
	}

	result.Surviving = result.Capacity - largest

	return result
}

// better orders allocations by the demand met without the largest zone, then by the demand met in total, then by cost.
func (a *allocator) better(x, y Allocation) bool {
	const tolerance = 1e-6

	for _, pair := range [][2]float64{
		{min(x.Surviving, a.demand), min(y.Surviving, a.demand)},
		{min(x.Capacity, a.demand), min(y.Capacity, a.demand)},
	} {
		if math.Abs(pair[0]-pair[1]) > tolerance*a.demand {
			return pair[0] > pair[1]
		}
	}

	return x.cost < y.cost
}
