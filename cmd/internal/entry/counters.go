package entry

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/coordination/catalog"
	"github.com/apricotway/apricotway/state/origin"
	"github.com/apricotway/apricotway/state/quarantine"
)

// counters are the metrics of one entry host.
type counters struct {
	ended     *prometheus.CounterVec
	took      *prometheus.HistogramVec
	repeated  *prometheus.CounterVec
	limited   *prometheus.CounterVec
	calls     *prometheus.CounterVec
	opened    prometheus.Counter
	accepted  prometheus.Counter
	answers   *prometheus.CounterVec
	found     *prometheus.CounterVec
	written   prometheus.Counter
	held      *prometheus.CounterVec
	cuts      *prometheus.CounterVec
	takenUp   *prometheus.CounterVec
	writeWait prometheus.Histogram
}

// latencyBuckets are the histogram buckets of call latencies in seconds.
var latencyBuckets = []float64{.005, .01, .025, .05, .1, .2, .3, .5, .8, 1.2, 2, 4, 8, 16}

func newCounters(registry prometheus.Registerer) *counters {
	c := &counters{
		ended: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "apricotway_calls_total", Help: "Calls of callers by route and result.",
		}, []string{"route", "result"}),
		took: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "apricotway_call_seconds", Help: "Time from a call's arrival to its end.", Buckets: latencyBuckets,
		}, []string{"route"}),
		repeated: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "apricotway_repeated_sends_total", Help: "Further sends of a call by service and reason.",
		}, []string{"service", "reason"}),
		limited: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "apricotway_limited_sends_total", Help: "Sends to backend servers that state a limit on their requests.",
		}, []string{"service"}),
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "apricotway_platform_calls_total", Help: "Calls to the platform by status, 0 without an answer.",
		}, []string{"call", "status"}),
		opened: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "apricotway_backend_connections_total", Help: "Connections opened to backend servers.",
		}),
	}
	c.accepted = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "apricotway_caller_connections_total", Help: "Connections of callers that were accepted.",
	})
	c.answers = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "apricotway_caller_answers_total", Help: "Requests by how they ended on their caller's connection.",
	}, []string{"outcome"})
	c.found = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "apricotway_stream_origins_found_total",
		Help: "Streams taken up by their callers, by what their origin is known from; none: refused.",
	}, []string{"evidence"})
	c.written = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "apricotway_stream_origins_written_total", Help: "Beginnings of streams written to the store.",
	})
	c.writeWait = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "apricotway_stream_origins_write_seconds", Help: "Time that it takes to have beginnings of streams in the store.",
		Buckets: latencyBuckets,
	})
	c.takenUp = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "apricotway_taken_up_streams_total", Help: "Streams that callers took up again, by result.",
	}, []string{"result"})
	c.held = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "apricotway_held_calls_total", Help: "Calls that were held because the servers are brittle or have just rejected calls, by whether they were sent then.",
	}, []string{"service", "sent"})
	c.cuts = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "apricotway_cut_answers_total", Help: "Answers that backend servers cut, by whether the servers had crashed.",
	}, []string{"verdict"})
	registry.MustRegister(c.ended, c.took, c.repeated, c.limited, c.calls, c.opened, c.accepted, c.answers, c.found, c.written, c.held, c.cuts,
		c.writeWait, c.takenUp)

	return c
}

// CallEnded implements relay.Metrics.
func (c *counters) CallEnded(route, result string, took time.Duration) {
	c.ended.WithLabelValues(route, result).Inc()
	c.took.WithLabelValues(route).Observe(took.Seconds())
}

// CallRetried implements relay.Metrics.
func (c *counters) CallRetried(service apricotway.Service, reason string) {
	c.repeated.WithLabelValues(string(service), reason).Inc()
}

// LimitedSend implements relay.Metrics.
func (c *counters) LimitedSend(service apricotway.Service) {
	c.limited.WithLabelValues(string(service)).Inc()
}

// OriginFound implements origins.Metrics.
func (c *counters) OriginFound(evidence origin.Evidence) {
	c.found.WithLabelValues(string(evidence)).Inc()
}

// OriginsWritten implements origins.Metrics.
func (c *counters) OriginsWritten(count int, waited time.Duration) {
	c.written.Add(float64(count))
	c.writeWait.Observe(waited.Seconds())
}

// StreamTakenUp implements relay.Metrics.
func (c *counters) StreamTakenUp(result string) { c.takenUp.WithLabelValues(result).Inc() }

// CallHeld implements relay.Metrics.
func (c *counters) CallHeld(service apricotway.Service, sent bool) {
	c.held.WithLabelValues(string(service), strconv.FormatBool(sent)).Inc()
}

func (c *counters) cutsJudged(verdict quarantine.CutVerdict, answers int) {
	c.cuts.WithLabelValues(string(verdict)).Add(float64(answers))
}

func (c *counters) platformCall(call string, status int) {
	c.calls.WithLabelValues(call, strconv.Itoa(status)).Inc()
}

// newDoubtGauge returns the metric of the streams that would not go on here.
func newDoubtGauge(streams *origin.Register) prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "apricotway_doubted_streams", Help: "Streams that are remembered, and of which it is not known at which software version they began.",
	}, func() float64 { return float64(streams.Doubted()) })
}

// newConfigurationGauges returns the metrics of how current the configuration is.
func newConfigurationGauges(versions func() catalog.Versions) []prometheus.Collector {
	gauge := func(name, help string, value func(v catalog.Versions) float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, func() float64 { return value(versions()) })
	}

	return []prometheus.Collector{
		gauge("apricotway_configuration_version", "Version of the configuration in force, 0 without one.",
			func(v catalog.Versions) float64 { return float64(v.InForce) }),
		gauge("apricotway_configuration_known_version", "Newest version of the configuration that this process knows to exist.",
			func(v catalog.Versions) float64 { return float64(v.Known) }),
		gauge("apricotway_configuration_outdated_seconds", "Time since a version newer than the one in force is known, 0 while none is.",
			func(v catalog.Versions) float64 { return v.OutdatedFor.Seconds() }),
		gauge("apricotway_configuration_confirmed_seconds", "Age of the newest proof that no newer version existed.",
			func(v catalog.Versions) float64 { return v.ConfirmedFor.Seconds() }),
	}
}
