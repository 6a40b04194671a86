package process

import (
	"net"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/apricotway/apricotway/cmd/internal/callers"
	"github.com/apricotway/apricotway/state/bodybudget"
)

// CallerBounds bounds what callers take of the memory and the descriptors of the host.
type CallerBounds struct {
	logger  logr.Logger
	bodies  *bodybudget.Budget
	bounds  callers.Bounds
	refused *prometheus.CounterVec
}

// BoundCallers returns the bounds for a host with a memory, and registers the metrics of what callers take.
func BoundCallers(
	logger logr.Logger, registry prometheus.Registerer, bodies *bodybudget.Budget, memoryMegabytes int64,
) *CallerBounds {
	refused := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "apricotway_refused_headers_total", Help: "Requests that were refused before their header was read, by reason.",
	}, []string{"reason"})
	gauge := func(name, help string, value func(taken, total int64) int64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, func() float64 {
			return float64(value(bodies.Usage()))
		})
	}

	registry.MustRegister(refused,
		gauge("apricotway_body_bytes", "Memory that bodies of callers' requests take.", func(taken, _ int64) int64 { return taken }),
		gauge("apricotway_body_bytes_limit", "Memory that bodies of callers' requests may take.", func(_, total int64) int64 { return total }))

	return &CallerBounds{logger: logger, bodies: bodies, bounds: callers.BoundsOf(memoryMegabytes), refused: refused}
}

// Callers returns the options of the server for callers.
func (b *CallerBounds) Callers() []callers.Option {
	return b.options("callers", b.bounds, b.bodies.EndSlow)
}

// Secondary returns the options of another server that callers can reach, and whose requests have no bodies to keep.
func (b *CallerBounds) Secondary(name string) []callers.Option {
	return b.options(name, b.bounds.Secondary(), func(time.Time, int) {})
}

func (b *CallerBounds) options(name string, bounds callers.Bounds, endSlow func(now time.Time, count int)) []callers.Option {
	return []callers.Option{
		callers.WithBounds(bounds, func(wanted int) {
			endSlow(time.Now(), wanted)
			b.logger.Info("closed connections without a whole request as few are left", "event", 412, "server", name,
				"most", bounds.Connections, "wanted", wanted)
		}),
		callers.WithRefused(func(caller net.Addr, reason callers.Refusal) {
			b.refused.WithLabelValues(string(reason)).Inc()
			b.logger.Info("refused a request before its header was read", "event", 391, "server", name, "reason", reason, "caller", caller.String())
		}),
	}
}
