// Package fleetcost simulates the fleet planner and reference policies on generated prices, reclaims and demand, and compares
// their costs.
package fleetcost

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/fleet"
)

const (
	// step is the simulated time between two price changes and between two plans.
	step = time.Minute
	// reclaimablePriceRatio is the price of a reclaimable host relative to an on-demand host of the same class in the same
	// zone, as the mean over all markets and the whole history.
	reclaimablePriceRatio = 0.35
	// reversionPerStep and volatilityPerStep are Ornstein-Uhlenbeck parameters: prices revert to the mean of their market with a
	// half-life of about 6 hours and a standard deviation of about 25%.
	reversionPerStep  = 0.002
	volatilityPerStep = 0.016
	// zoneSpread is the standard deviation of the logarithms of the markets' mean prices.
	zoneSpread = 0.15
	// stepNoise is the standard deviation of the independent noise that is added to the logarithm of a price in every step.
	stepNoise = 0.03
	// zoneReclaimsPerHour and hostReclaimsPerHour are the expected numbers of reclaims per hour of a whole zone and of a single host.
	zoneReclaimsPerHour = 1.0 / 48
	hostReclaimsPerHour = 0.01
	// After a reclaim, a zone refuses orders of reclaimable hosts for a time between shortestRefusal and longestRefusal.
	shortestRefusal = 10 * time.Minute
	longestRefusal  = time.Hour
	// troughRatio is the lowest demand of a day relative to the peak.
	troughRatio = 0.6
)

// class is a machine class of the generated markets with its on-demand price per hour and its tokens per second.
type class struct {
	name   apricotway.MachineClass
	price  float64
	tokens float64
}

var (
	classes = []class{{"standard", 1, 100}, {"large", 2.5, 260}}
	zones   = []apricotway.Zone{"prairie-west-a", "prairie-west-b", "prairie-west-c", "prairie-west-d"}
)

// minute holds the demand and the state of the markets in one step.
type minute struct {
	demand float64
	// prices has the order of history.markets.
	prices []float64
	// reclaimed holds the zones that announce the reclaim of their reclaimable hosts in this minute. The hosts are removed in the
	// next minute.
	reclaimed map[apricotway.Zone]bool
	// refused holds the zones that refuse orders of reclaimable hosts.
	refused map[apricotway.Zone]bool
	// lost is set if the zone with the largest capacity fails in this minute, with all its hosts and without notice.
	lost bool
}

// history is a generated time series of prices, reclaims and demand.
type history struct {
	// markets holds the offers of all markets with their on-demand prices. The prices of a minute replace them.
	markets []fleet.Offer
	minutes []minute
}

// generate returns the history of a fleet with the given peak demand. The same seed gives the same history.
//
// The logarithm of each reclaimable price is an Ornstein-Uhlenbeck process around the market's mean with independent noise added.
// All reclaimable prices are then scaled so that their mean is reclaimablePriceRatio. On-demand prices are fixed and differ by 2%
// from zone to zone. Reclaims of a zone are a Poisson process, and the zone refuses reclaimable hosts after each. Demand follows a
// sine over the day. The largest zone fails once a day, at peak demand.
func generate(seed uint64, days int, peak float64) *history {
	random := rand.New(rand.NewPCG(seed, 0))
	h := &history{}
	means := h.addMarkets(random)
	levels := slices.Clone(means)
	refusedUntil := map[apricotway.Zone]int{}
	sum, count := 0.0, 0

	for t := range days * 24 * 60 {
		m := minute{
			demand:    peak * (1 + troughRatio + (1-troughRatio)*math.Sin(2*math.Pi*float64(t)/(24*60))) / 2,
			reclaimed: map[apricotway.Zone]bool{}, refused: map[apricotway.Zone]bool{},
			lost: t%(24*60) == 6*60,
		}

		for _, zone := range zones {
			if random.Float64() < zoneReclaimsPerHour/60 {
				m.reclaimed[zone] = true
				refusal := shortestRefusal + time.Duration(random.Float64()*float64(longestRefusal-shortestRefusal))
				refusedUntil[zone] = t + int(refusal/step)
			}

			m.refused[zone] = t < refusedUntil[zone]
		}

		for i, offer := range h.markets {
			price := offer.Price

			if offer.Reclaimable {
				levels[i] += reversionPerStep*(means[i]-levels[i]) + volatilityPerStep*random.NormFloat64()
				share := math.Exp(levels[i] + stepNoise*random.NormFloat64())
				price *= share
				sum += share
				count++
			}

			m.prices = append(m.prices, price)
		}

		h.minutes = append(h.minutes, m)
	}

	scale := reclaimablePriceRatio * float64(count) / sum

	for _, m := range h.minutes {
		for i, offer := range h.markets {
			if offer.Reclaimable {
				m.prices[i] *= scale
			}
		}
	}

	return h
}

// addMarkets adds a market for each zone, class and kind of price. It returns the logarithms of the markets' mean prices relative
// to on-demand, before scaling; they are 0 for on-demand markets.
func (h *history) addMarkets(random *rand.Rand) []float64 {
	var means []float64

	for i, zone := range zones {
		for _, c := range classes {
			for _, reclaimable := range []bool{false, true} {
				market := fleet.Market{Zone: zone, MachineClass: c.name, Reclaimable: reclaimable}
				offer := fleet.Offer{Market: market, Price: c.price * (1 + 0.02*float64(i)), TokensPerSecond: c.tokens}
				mean := 0.0

				if reclaimable {
					mean = random.NormFloat64() * zoneSpread
					offer.ReclaimsPerHour = zoneReclaimsPerHour + hostReclaimsPerHour
				}

				h.markets = append(h.markets, offer)
				means = append(means, mean)
			}
		}
	}

	return means
}

// offers returns the offers of all markets at the prices of the minute.
func (h *history) offers(m minute) []fleet.Offer {
	offers := make([]fleet.Offer, len(h.markets))
	for i, offer := range h.markets {
		offer.Price = m.prices[i]
		offers[i] = offer
	}

	return offers
}
