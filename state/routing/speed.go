package routing

import (
	"math/bits"
	"slices"
	"time"

	"github.com/apricotway/apricotway"
)

func trailing(word uint64) int { return bits.TrailingZeros64(word) }

const (
	// fitDecay forgets observations of the speed with a half life of about 3,500 tokens.
	fitDecay = 0.9998
	// paceTime is the time over which the pace of an engine is averaged. It has to stay well below the 1 s within which a
	// slow engine loses weight.
	paceTime = 150 * time.Millisecond
	// slowRatio is the pace above which an engine counts as slow. Below it the pace also reflects errors in the estimated
	// number of requests.
	slowRatio = 1.6
	// medianPeriod is the time between two computations of the median pace.
	medianPeriod = 50 * time.Millisecond
	// priorInterval is the expected time per token in seconds before any observation.
	priorInterval = 0.02
	// leastSlope is the least relative growth of the time per token with each request. Without it all engines are equal
	// while the fit knows no slope, and the first one gets every request.
	leastSlope = 0.02
	// prefillPrior is the expected ratio of the time per generated token to that per prompt token before any observation.
	prefillPrior = 200
)

// kind identifies engines whose speeds are compared.
type kind struct {
	service apricotway.Service
	class   apricotway.MachineClass
	version apricotway.ModelVersion
}

// speeds holds what is known about engines of one kind.
type speeds struct {
	// The sums of a decayed linear fit of the time per token in seconds over the number of requests.
	n, x, y, xx, xy float64
	// base and slope are the result of the fit.
	base, slope float64
	// prefillTime and prefillTokens are decayed sums over attempts that did not wait.
	prefillTime, prefillTokens float64
	// slots is the number of requests that an engine runs at once, 0 while unknown: the largest number seen running
	// while others waited.
	slots int
	// paces holds the paces of the kind's engines, median their median.
	paces     []float64
	median    float64
	medianDue time.Time
}

func newSpeeds() *speeds { return &speeds{median: 1, base: priorInterval} }

// interval returns the expected time per token in seconds with n requests on the engine.
func (s *speeds) interval(n float64) float64 {
	if s.slots > 0 {
		n = min(n, float64(s.slots))
	}

	return s.base + max(s.slope, leastSlope*s.base)*n
}

func (s *speeds) prefillPerToken() float64 {
	if s.prefillTokens < 1 {
		return s.base / prefillPrior
	}

	return s.prefillTime / s.prefillTokens
}

func (s *speeds) observe(n, interval float64) {
	s.n = s.n*fitDecay + 1
	s.x = s.x*fitDecay + n
	s.y = s.y*fitDecay + interval
	s.xx = s.xx*fitDecay + n*n
	s.xy = s.xy*fitDecay + n*interval

	mean := s.x / s.n
	variance := s.xx/s.n - mean*mean
	s.slope = 0

	// Without enough spread in n the fit would extrapolate noise.
	if s.n > 50 && variance > 0.5 {
		s.slope = max((s.xy/s.n-mean*s.y/s.n)/variance, 0)
	}

	s.base = max(s.y/s.n-s.slope*mean, 0)
}

func (s *speeds) observePrefill(tokens, seconds float64) {
	const decay = 0.99
	s.prefillTokens = s.prefillTokens*decay + tokens
	s.prefillTime = s.prefillTime*decay + max(seconds, 0)
}

// pace compares an engine's speed with the expectation for its kind.
type pace struct {
	// ratio is the observed time per token over the expected one; 1 before any observation.
	ratio    float64
	lastSeen time.Time
}

// observe averages over time and not over tokens, so that an engine with many streams is not judged by its shortest ones.
func (p *pace) observe(now time.Time, ratio, interval float64) {
	weight := min(interval/paceTime.Seconds(), 0.5)
	p.ratio += weight * (ratio - p.ratio)
	p.lastSeen = now
}

// updateMedian recomputes the median pace of the kind's engines.
func (s *speeds) updateMedian(now time.Time, engines []*engineState) {
	s.medianDue = now.Add(medianPeriod)
	s.paces = s.paces[:0]

	for _, e := range engines {
		if e.speeds == s {
			s.paces = append(s.paces, e.pace.ratio)
		}
	}

	if len(s.paces) > 0 {
		slices.Sort(s.paces)
		s.median = max(s.paces[len(s.paces)/2], 0.1)
	}
}
