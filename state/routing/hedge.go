package routing

import (
	"sync"
	"time"
)

const (
	// hedgeQuantile is the quantile of the observed times after which a hedge is sent.
	hedgeQuantile = 0.95
	// hedgeShare bounds hedges as a fraction of the requests.
	hedgeShare = 0.05
	// hedgeStep is the relative step by which the estimated quantile follows the observations.
	hedgeStep = 0.05
	// hedgeMinimum is the number of observed requests required before the first hedge.
	hedgeMinimum = 50
	// hedgeBurst bounds the unused hedges that accumulate.
	hedgeBurst = 10
)

// Hedger decides when a second attempt of an idempotent short request is sent. Short requests differ in length, so it works
// with the ratio of the time that a request took to the time that was expected.
type Hedger struct {
	mu       sync.Mutex
	ratio    float64
	observed int
	// allowance is the number of hedges that may be sent now.
	allowance float64
}

// NewHedger returns a hedger that allows no hedge before it has observed enough requests.
func NewHedger() *Hedger { return &Hedger{ratio: 1} }

// Finished records the time of a request that was not hedged, or a lower bound of the time that the first attempt of a
// hedged request would have taken.
func (h *Hedger) Finished(expected, taken time.Duration) {
	if expected <= 0 {
		return
	}

	h.mu.Lock()
	defer h.mu.Unlock()

	h.observed++
	h.allowance = min(h.allowance+hedgeShare, hedgeBurst)

	// The step up is 19 times the step down, so the ratio settles where 95% of the observations lie below it.
	if taken.Seconds() > h.ratio*expected.Seconds() {
		h.ratio *= 1 + hedgeStep*hedgeQuantile
	} else {
		h.ratio *= 1 - hedgeStep*(1-hedgeQuantile)
	}
}

// Delay returns the time after which a request counts as late, and whether enough requests were seen to tell.
func (h *Hedger) Delay(expected time.Duration) (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()

	return time.Duration(h.ratio * float64(expected)), h.observed >= hedgeMinimum
}

// Allow takes one hedge from the allowance. It returns false when the allowance is used up.
func (h *Hedger) Allow() bool {
	h.mu.Lock()
	defer h.mu.Unlock()

	if h.allowance < 1 {
		return false
	}

	h.allowance--

	return true
}
