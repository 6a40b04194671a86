// Package fleetcost measures the cost of the fleet planner on generated prices and reclaims.
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
	// step is the time between two prices and between two plans.
	step = time.Minute
	// reclaimableShare is the mean price of a reclaimable host over all markets and the whole time, relative to an on-demand
	// host of the same class in the same zone.
	reclaimableShare = 0.35
	// Prices return to the mean of their market with a half-life of about 6 hours and scatter around it by about 25%.
	reversion  = 0.002
	volatility = 0.016
	// zoneSpread is the standard deviation of the logarithm of the markets' mean prices.
	zoneSpread = 0.15
	// noise is the standard deviation of the part of a price that changes every minute.
	noise = 0.03
	// zoneReclaims and hostReclaims are the expected numbers of reclaims of a zone and of a host in one hour.
	zoneReclaims = 1.0 / 48
	hostReclaims = 0.01
	// A reclaimed zone takes no reclaimable hosts for a time between these two.
	shortestRefusal = 10 * time.Minute
	longestRefusal  = time.Hour
	// trough is the smallest demand of a day relative to the largest.
	trough = 0.6
)

// class is a machine class of the generated markets.
type class struct {
	name   apricotway.MachineClass
	price  float64
	tokens float64
}

var (
	classes = []class{{"standard", 1, 100}, {"large", 2.5, 260}}
	zones   = []apricotway.Zone{"prairie-west-a", "prairie-west-b", "prairie-west-c", "prairie-west-d"}
)

// minute is the state of the platform in one minute.
type minute struct {
	demand float64
	prices []float64
	// reclaimed zones put their reclaimable hosts on notice in this minute and take them away in the next.
	reclaimed map[apricotway.Zone]bool
	refused   map[apricotway.Zone]bool
	// lost is set where the largest zone is lost with all its hosts and without notice.
	lost bool
}

// history is a generated course of prices, reclaims and demand.
type history struct {
	// markets carry the mean of their price.
	markets []fleet.Offer
	minutes []minute
}

// generate returns the history of a fleet with the given peak demand. The same seed gives the same history.
//
// The logarithm of each reclaimable price is an Ornstein-Uhlenbeck process around the market's mean with independent noise on
// top; all of them are then scaled to the mean share. On-demand prices are fixed and differ by 2% from zone to zone. Zones are
// reclaimed as Poisson processes and refuse reclaimable hosts afterwards. Demand follows a sine over the day. The largest zone
// is lost once a day at the peak.
func generate(seed uint64, days int, peak float64) *history {
	random := rand.New(rand.NewPCG(seed, 0))
	h := &history{}
	means := h.addMarkets(random)
	levels := slices.Clone(means)
	refusedUntil := map[apricotway.Zone]int{}
	sum, count := 0.0, 0

	for t := range days * 24 * 60 {
		m := minute{
			demand:    peak * (1 + trough + (1-trough)*math.Sin(2*math.Pi*float64(t)/(24*60))) / 2,
			reclaimed: map[apricotway.Zone]bool{}, refused: map[apricotway.Zone]bool{},
			lost: t%(24*60) == 6*60,
		}

		for _, zone := range zones {
			if random.Float64() < zoneReclaims/60 {
				m.reclaimed[zone] = true
				refusal := shortestRefusal + time.Duration(random.Float64()*float64(longestRefusal-shortestRefusal))
				refusedUntil[zone] = t + int(refusal/step)
			}

			m.refused[zone] = t < refusedUntil[zone]
		}

		for i, offer := range h.markets {
			price := offer.Price

			if offer.Reclaimable {
				levels[i] += reversion*(means[i]-levels[i]) + volatility*random.NormFloat64()
				share := math.Exp(levels[i] + noise*random.NormFloat64())
				price *= share
				sum += share
				count++
			}

			m.prices = append(m.prices, price)
		}

		h.minutes = append(h.minutes, m)
	}

	scale := reclaimableShare * float64(count) / sum

	for _, m := range h.minutes {
		for i, offer := range h.markets {
			if offer.Reclaimable {
				m.prices[i] *= scale
			}
		}
	}

	return h
}

// addMarkets adds the markets and returns the logarithms of their mean shares.
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
					offer.ReclaimsPerHour = zoneReclaims + hostReclaims
				}

				h.markets = append(h.markets, offer)
				means = append(means, mean)
			}
		}
	}

	return means
}

// offers returns the markets with their prices in the minute.
func (h *history) offers(m minute) []fleet.Offer {
	offers := make([]fleet.Offer, len(h.markets))
	for i, offer := range h.markets {
		offer.Price = m.prices[i]
		offers[i] = offer
	}

	return offers
}
