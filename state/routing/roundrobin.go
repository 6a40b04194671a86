package routing

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/apricotway/apricotway"
)

// RoundRobin chooses the candidates in turn. It is a baseline to compare Scored with.
type RoundRobin struct {
	noFeedback

	turn atomic.Uint64
}

// NewRoundRobin returns a policy that starts at the first candidate.
func NewRoundRobin() *RoundRobin { return &RoundRobin{} }

// Choose implements Policy.
func (r *RoundRobin) Choose(_ time.Time, work Work, candidates []apricotway.BackendServer) int {
	if len(candidates) == 0 {
		return -1
	}

	first := int((r.turn.Add(1) - 1) % uint64(len(candidates)))
	for step := range candidates {
		index := (first + step) % len(candidates)
		if !slices.Contains(work.Excluded, candidates[index].ID) {
			return index
		}
	}

	return first
}
