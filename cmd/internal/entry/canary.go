package entry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/cmd/internal/process"
	"github.com/apricotway/apricotway/cmd/internal/settings"
	"github.com/apricotway/apricotway/state/canary"
)

func canaryBounds(s settings.Entry) canary.Bounds {
	return canary.Bounds{Share: s.Canary.Share, Slack: s.Canary.Slack, Rollback: time.Duration(s.Canary.RollbackTime)}
}

// canaries returns the newest order of each service to shift its traffic to another software version, as far as this process knows.
func (e *Entry) canaries(now time.Time) []process.Canary {
	canaries := []process.Canary{}

	for _, state := range e.pool.ShiftStates(now) {
		canaries = append(canaries, process.NewCanary(state))
	}

	return canaries
}

// shiftMetrics are the metrics of the orders to shift traffic.
type shiftMetrics struct {
	decided map[apricotway.VersionShiftState]*prometheus.Desc
	share   *prometheus.Desc
	counts  func() map[apricotway.VersionShiftState]int
	states  func() []canary.State
}

func newShiftMetrics(counts func() map[apricotway.VersionShiftState]int, states func() []canary.State) *shiftMetrics {
	m := &shiftMetrics{
		counts: counts, states: states, decided: map[apricotway.VersionShiftState]*prometheus.Desc{},
		share: prometheus.NewDesc("apricotway_canary_share", "Share of new calls that the version of a running canary release gets.",
			[]string{"service", "version"}, nil),
	}

	for _, state := range []apricotway.VersionShiftState{apricotway.VersionShiftCompleted, apricotway.VersionShiftRolledBack} {
		m.decided[state] = prometheus.NewDesc("apricotway_canaries_total", "Canary releases that this process has decided.", nil,
			prometheus.Labels{"state": string(state)})
	}

	return m
}

// Describe implements prometheus.Collector.
func (m *shiftMetrics) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- m.share

	for _, description := range m.decided {
		descriptions <- description
	}
}

// Collect implements prometheus.Collector.
func (m *shiftMetrics) Collect(metrics chan<- prometheus.Metric) {
	counts := m.counts()
	for state, description := range m.decided {
		metrics <- prometheus.MustNewConstMetric(description, prometheus.CounterValue, float64(counts[state]))
	}

	for _, state := range m.states() {
		if state.State == apricotway.VersionShiftRunning {
			metrics <- prometheus.MustNewConstMetric(m.share, prometheus.GaugeValue, state.Share, string(state.Service), string(state.Version))
		}
	}
}
