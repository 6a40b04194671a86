package entry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/dispatch"
)

// serverSpeeds is the metric of the learned speeds of backend servers.
type serverSpeeds struct {
	factor, allowance *prometheus.Desc

	pool *dispatch.Pool
}

func newServerSpeeds(pool *dispatch.Pool) *serverSpeeds {
	return &serverSpeeds{
		pool: pool, factor: prometheus.NewDesc("apricotway_server_time_factor",
			"Time of calls on the fastest and the slowest server of a service relative to its other servers, as this process uses it.",
			[]string{"service", "server"}, nil),
		allowance: prometheus.NewDesc("apricotway_slow_start_allowance",
			"Calls that all processes together may have in flight at a server in slow start.", []string{"service", "server"}, nil),
	}
}

// Describe implements prometheus.Collector.
func (s *serverSpeeds) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- s.factor
	descriptions <- s.allowance
}

// Collect implements prometheus.Collector.
func (s *serverSpeeds) Collect(metrics chan<- prometheus.Metric) {
	now := time.Now()
	services := map[apricotway.Service]bool{}

	for _, backend := range s.pool.Backends() {
		services[backend.Service] = true
	}

	for id, server := range s.pool.Ramping(now) {
		metrics <- prometheus.MustNewConstMetric(s.allowance, prometheus.GaugeValue, server.Allowance, string(server.Service), string(id))
	}

	for service := range services {
		fastest, slowest := s.pool.SpeedSpread(now, service)
		metrics <- prometheus.MustNewConstMetric(s.factor, prometheus.GaugeValue, fastest, string(service), "fastest")
		metrics <- prometheus.MustNewConstMetric(s.factor, prometheus.GaugeValue, slowest, string(service), "slowest")
	}
}
