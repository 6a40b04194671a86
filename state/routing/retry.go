package routing

import "sync"

const (
	// retryShare is the number of retries that each successful request adds to the budget.
	retryShare = 0.1
	// retryBurst bounds the unused retries that accumulate. A new process starts with the full burst, because an engine may
	// fail before the first request succeeds.
	retryBurst = 10
)

// RetryBudget bounds retries as a share of successes, so that retries cannot multiply the load of an overloaded service.
type RetryBudget struct {
	mu        sync.Mutex
	allowance float64
}

// NewRetryBudget returns a budget with the full burst.
func NewRetryBudget() *RetryBudget { return &RetryBudget{allowance: retryBurst} }

// Succeeded reports a request that was answered.
func (r *RetryBudget) Succeeded() {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.allowance = min(r.allowance+retryShare, retryBurst)
}

// Allow takes one retry from the budget. It returns false when the budget is used up.
func (r *RetryBudget) Allow() bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	if r.allowance < 1 {
		return false
	}

	r.allowance--

	return true
}
