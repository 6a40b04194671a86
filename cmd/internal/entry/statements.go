package entry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/dispatch"
)

// withheldServers is the metric of the servers that get no calls because of what they say in their answers.
type withheldServers struct {
	states func(now time.Time) map[apricotway.Service]dispatch.ServiceState
	share  *prometheus.Desc
}

func newWithheldServers(states func(now time.Time) map[apricotway.Service]dispatch.ServiceState) *withheldServers {
	return &withheldServers{states: states, share: prometheus.NewDesc("apricotway_withheld_server_share",
		"Share of a service's ready servers that get no calls of this process because of what they say in their answers.",
		[]string{"service", "statement"}, nil)}
}

// Describe implements prometheus.Collector.
func (w *withheldServers) Describe(descriptions chan<- *prometheus.Desc) { descriptions <- w.share }

// Collect implements prometheus.Collector.
func (w *withheldServers) Collect(metrics chan<- prometheus.Metric) {
	for service, state := range w.states(time.Now()) {
		servers := float64(max(state.Servers, 1))

		for statement, count := range map[string]int{"leaving": state.Leaving, "pause": state.Paused} {
			metrics <- prometheus.MustNewConstMetric(w.share, prometheus.GaugeValue, float64(count)/servers, string(service), statement)
		}
	}
}
