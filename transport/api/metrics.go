package api

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/apricotway/apricotway"
)

// Values of the label "code" for requests that were not refused.
const (
	// codeNone means that the whole answer was written.
	codeNone apricotway.Code = "none"
	// codeCallerGone means that the caller disconnected before its answer was complete.
	codeCallerGone apricotway.Code = "callerGone"
)

type metrics struct {
	requests *prometheus.CounterVec
	duration *prometheus.HistogramVec
}

func newMetrics() *metrics {
	return &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "apricotway_requests_total",
			Help: "Requests of callers by endpoint and refusal code; none is a whole answer, callerGone a connection that broke during the answer.",
		}, []string{"endpoint", "code"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "apricotway_request_duration_seconds",
			Help:    "Time from the arrival of a request to the end of its answer.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 18),
		}, []string{"endpoint"}),
	}
}

func (m *metrics) register(registry prometheus.Registerer) {
	registry.MustRegister(m.requests, m.duration)
}

func (m *metrics) observe(endpoint string, code apricotway.Code, duration time.Duration) {
	m.requests.WithLabelValues(endpoint, string(code)).Inc()
	m.duration.WithLabelValues(endpoint).Observe(duration.Seconds())
}
