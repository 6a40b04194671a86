package routing

import (
	"time"

	"github.com/apricotway/apricotway"
)

// Oracle chooses the candidate that finishes the work first according to a forecast from the engines' true state, which no
// real process knows. It is an upper bound to compare the other policies with.
type Oracle struct {
	noFeedback

	forecast func(now time.Time, work Work, server apricotway.BackendServerID) time.Duration
}

// NewOracle returns a policy that uses the given forecast.
func NewOracle(forecast func(time.Time, Work, apricotway.BackendServerID) time.Duration) *Oracle {
	return &Oracle{forecast: forecast}
}

// Choose implements Policy.
func (o *Oracle) Choose(now time.Time, work Work, candidates []apricotway.BackendServer) int {
	return least(work, candidates, func(server apricotway.BackendServerID) float64 {
		return float64(o.forecast(now, work, server))
	})
}
