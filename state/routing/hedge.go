package routing

import (
	"sync"
	"time"
)

const (
	// hedgeQuantile is the part of the requests that finish before a hedge is sent.
	hedgeQuantile = 0.95
	// hedgeShare bounds the hedges as a part of the requests.
	hedgeShare = 0.05
	// hedgeStep is the relative step with which the quantile follows the observations.
	hedgeStep = 0.05
	// hedgeMinimum is the number of observations before the first hedge.
	hedgeMinimum = 50
	// hedgeBurst bounds the hedges that are saved up.
	hedgeBurst = 10
)

// Hedger decides when a second attempt of an idempotent short request is sent. It compares the time that a request takes
// with the time that was expected for it, because short requests differ in length.
type Hedger struct {
	mu    sync.Mutex
	ratio float64
	seen  int
	// allowance is the number of hedges that may be sent now.
	allowance float64
}

// NewHedger returns a hedger that has to see requests before it allows the first hedge.
func NewHedger() *Hedger { return &Hedger{ratio: 1} }

// Finished reports a request that was not hedged, or the time that the first attempt of a hedged one would have taken at
// least.
func (h *Hedger) Finished(expected, taken time.Duration) {
	if expected <= 0 {
		return
	}

	h.mu.Lock()
	defer h.mu.Unlock()

	h.seen++
	h.allowance = min(h.allowance+hedgeShare, hedgeBurst)

	// Steps up and down balance when the quantile's part of the observations lies below the ratio.
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

	return time.Duration(h.ratio * float64(expected)), h.seen >= hedgeMinimum
}

// Allow takes one hedge from the allowance. It returns false when the hedges' part of the requests is used up.
func (h *Hedger) Allow() bool {
	h.mu.Lock()
	defer h.mu.Unlock()

	if h.allowance < 1 {
		return false
	}

	h.allowance--

	return true
}
