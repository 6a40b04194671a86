package routing

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Hedges must stay within 5% of the requests even when every request is late; otherwise hedging would double an overload.
func TestHedgerShare(t *testing.T) {
	h := NewHedger()

	if _, known := h.Delay(time.Second); known {
		t.Error("got a delay before any observation, want none")
	}

	hedges := 0

	for range 10000 {
		h.Finished(time.Second, time.Minute)

		if h.Allow() {
			hedges++
		}
	}

	if want := 10000*hedgeShare + hedgeBurst; float64(hedges) > want {
		t.Errorf("got %d hedges of 10000 requests, want at most %v", hedges, want)
	}
}

// The delay must settle near the p95. With a lower one, the allowance would go to requests that are not late.
func TestHedgerDelay(t *testing.T) {
	h, random := NewHedger(), rand.New(rand.NewPCG(1, 1))

	for range 5000 {
		h.Finished(time.Second, time.Duration((0.5+random.Float64())*float64(time.Second)))
	}

	// The p95 of the uniform distribution over 0.5 s to 1.5 s is 1.45 s.
	if got, _ := h.Delay(time.Second); got < 1350*time.Millisecond || got > 1600*time.Millisecond {
		t.Errorf("got a delay of %v, want about 1.45 s", got)
	}
}

// Without successes the retries must stop; otherwise a failed service would receive a multiple of its load.
func TestRetryBudget(t *testing.T) {
	r, retries := NewRetryBudget(), 0

	for range 1000 {
		if r.Allow() {
			retries++
		}
	}

	if retries != retryBurst {
		t.Errorf("got %d retries without a success, want %d", retries, retryBurst)
	}

	for range 1000 {
		r.Succeeded()

		if r.Allow() {
			retries++
		}
	}

	if want := retryBurst + 100; retries < want-1 || retries > want {
		t.Errorf("got %d retries, want %d: one for ten successes", retries, want)
	}
}

// The predicted length must follow the answers to prompts of the same size, and long work must be told from short work even
// though callers ask for the same maximum.
func TestPredictor(t *testing.T) {
	s, servers := NewScored(), engines(1)
	s.Choose(testStart, promptWork("x"), servers)

	short, long := Work{Service: "m", PromptTokens: 500, MaxTokens: 4096}, Work{Service: "m", PromptTokens: 9000, MaxTokens: 4096}
	if got, isLong := s.Predict(long); got != priorTokens || isLong {
		t.Errorf("got %d, %v before any answer, want %d, false", got, isLong, priorTokens)
	}

	for range 20 {
		stream(s, testStart, servers[0].ID, "short", short, time.Millisecond, 20)
	}

	for range 5 {
		stream(s, testStart, servers[0].ID, "long", long, time.Millisecond, 400)
	}

	if got, isLong := s.Predict(short); got < 18 || got > 22 || isLong {
		t.Errorf("got %d, %v for short work, want about 20, false", got, isLong)
	}

	if got, isLong := s.Predict(long); got < 380 || !isLong {
		t.Errorf("got %d, %v for long work, want about 400, true", got, isLong)
	}
}
