package routing

import (
	"math/bits"
	"slices"
	"time"

	"github.com/apricotway/apricotway"
)

func trailingZeros(word uint64) int { return bits.TrailingZeros64(word) }

const (
	// fitDecay is the decay per observed token of the speed fit: a half life of about 3,500 tokens.
	fitDecay = 0.9998
	// paceTime is the time constant of the moving average of an engine's pace. It has to stay well below the 1 s within
	// which a slow engine has to lose its traffic.
	paceTime = 150 * time.Millisecond
	// slowRatio is the pace above which an engine counts as slow. Smaller deviations may come from errors in the estimated
	// number of requests on the engine.
	slowRatio = 1.6
	// medianPeriod is the time between two computations of the median pace.
	medianPeriod = 50 * time.Millisecond
	// priorInterval is the expected time per token in seconds before any observation.
	priorInterval = 0.02
	// minSlope is the lower bound of the slope relative to the base. Without it all engines score the same while the fit
	// has no slope yet, and the first candidate gets every request.
	minSlope = 0.02
	// prefillPrior is the expected ratio of the time per generated token to that per prompt token before any observation.
	prefillPrior = 200
)

// engineKind identifies engines that are expected to run at the same speed, and whose speeds are therefore compared.
type engineKind struct {
	service apricotway.Service
	class   apricotway.MachineClass
	version apricotway.ModelVersion
}

// speedModel is the learned speed model of the engines of one kind.
type speedModel struct {
	// The decayed sums of a linear fit of the time per token in seconds (y) over the number of requests on the engine (x).
	n, x, y, xx, xy float64
	// base and slope are the coefficients of the fit.
	base, slope float64
	// prefillTime, in seconds, and prefillTokens are decayed sums over attempts whose prefill did not queue.
	prefillTime, prefillTokens float64
	// slots is the number of requests that an engine runs at once, 0 while unknown. It is the largest number seen running
	// while others waited.
	slots int
	// paces is the scratch buffer for the paces of the kind's engines; median is their median.
	paces     []float64
	median    float64
	medianDue time.Time
}

func newSpeedModel() *speedModel { return &speedModel{median: 1, base: priorInterval} }

// interval returns the expected time per token in seconds with n requests on the engine. Requests beyond the slots wait
// and do not slow the batch down.
func (s *speedModel) interval(n float64) float64 {
	if s.slots > 0 {
		n = min(n, float64(s.slots))
	}

	return s.base + max(s.slope, minSlope*s.base)*n
}

func (s *speedModel) prefillPerToken() float64 {
	if s.prefillTokens < 1 {
		return s.base / prefillPrior
	}

	return s.prefillTime / s.prefillTokens
}

func (s *speedModel) observe(n, interval float64) {
	s.n = s.n*fitDecay + 1
	s.x = s.x*fitDecay + n
	s.y = s.y*fitDecay + interval
	s.xx = s.xx*fitDecay + n*n
	s.xy = s.xy*fitDecay + n*interval

	mean := s.x / s.n
	variance := s.xx/s.n - mean*mean
	s.slope = 0

	// With too little spread in n the slope would be noise.
	if s.n > 50 && variance > 0.5 {
		s.slope = max((s.xy/s.n-mean*s.y/s.n)/variance, 0)
	}

	s.base = max(s.y/s.n-s.slope*mean, 0)
}

func (s *speedModel) observePrefill(tokens, seconds float64) {
	const decay = 0.99
	s.prefillTokens = s.prefillTokens*decay + tokens
	s.prefillTime = s.prefillTime*decay + max(seconds, 0)
}

// pace is the speed of one engine relative to the expectation for its kind.
type pace struct {
	// ratio is the observed time per token over the expected one; 1 before any observation.
	ratio    float64
	lastSeen time.Time
}

// observe weighs a ratio by the time that it covers and not by tokens; otherwise the fastest streams of an engine would
// dominate its pace.
func (p *pace) observe(now time.Time, ratio, interval float64) {
	weight := min(interval/paceTime.Seconds(), 0.5)
	p.ratio += weight * (ratio - p.ratio)
	p.lastSeen = now
}

// updateMedian recomputes the median pace of the kind's engines.
func (s *speedModel) updateMedian(now time.Time, engines []*engineState) {
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
