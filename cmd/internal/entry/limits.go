package entry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/apricotway/apricotway"
)

// serverLimit is a limit in force in the answer to /v1/limits.
type serverLimit struct {
	Server apricotway.BackendServerID `json:"server"`
	// PerSecond is the number of requests per second that the server accepts from all processes together.
	PerSecond float64 `json:"perSecond"`
	// AgeSeconds is the time since the answer that stated the limit.
	AgeSeconds float64 `json:"ageSeconds"`
	// Node is the process that got that answer.
	Node apricotway.NodeID `json:"node"`
}

// serverLimits returns the limits in force, the most recently stated first.
func (e *Entry) serverLimits(now time.Time) []serverLimit {
	limits := []serverLimit{}

	for _, known := range e.pool.KnownLimits(now) {
		if known.Limit.Statement == apricotway.LimitStated {
			limits = append(limits, serverLimit{
				Server: known.Server, PerSecond: known.Limit.PerSecond, AgeSeconds: known.Age.Seconds(), Node: known.Observation.Node,
			})
		}
	}

	return limits
}

// newLimitGauge returns the metric of the number of limits in force.
func newLimitGauge(count func() int) prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "apricotway_limited_servers", Help: "Backend servers whose limit on their requests is in force at this process.",
	}, func() float64 { return float64(count()) })
}
