package standin

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/transport/platform"
)

// Weights is a stand-in for the weight store that grants one transfer per interval. It implements apricotway.WeightStore.
type Weights struct {
	interval time.Duration
	mu       sync.Mutex
	next     time.Time
}

// NewWeights returns a store that grants one transfer per interval.
func NewWeights(interval time.Duration) *Weights { return &Weights{interval: interval} }

// Reserve implements apricotway.WeightStore.
func (s *Weights) Reserve(context.Context, apricotway.ModelVersion, apricotway.BackendServerID) (time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()

	now := time.Now()
	if wait := s.next.Sub(now); wait > 0 {
		return wait, nil
	}

	s.next = now.Add(s.interval)

	return 0, nil
}

// Handler serves the store over HTTP.
func (s *Weights) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /transfers", serveJSON(func(r *http.Request, transfer platform.Transfer) (any, error) {
		wait, err := s.Reserve(r.Context(), transfer.Version, transfer.Server)
		// Rounded up, because a wait of 0 ms would be a grant.
		return platform.TransferAnswer{WaitMillis: (wait + time.Millisecond - 1).Milliseconds()}, err
	}))

	return mux
}
