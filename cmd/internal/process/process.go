// Package process logs the start, stop and panics of a process in the same way for all programs.
package process

import (
	"net/http"
	"net/netip"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/thejerf/suture/v4"

	"github.com/apricotway/apricotway/cmd/internal/settings"
	"github.com/apricotway/apricotway/coordination/rollout"
	"github.com/apricotway/apricotway/internal/build"
	"github.com/apricotway/apricotway/internal/guard"
	"github.com/apricotway/apricotway/internal/unknown"
)

// Panics counts and logs the recovered panics of a process. None of them ends the process.
type Panics struct {
	logger      logr.Logger
	panicsTotal *prometheus.CounterVec
}

// NewPanics returns a panic counter that logs to the logger.
func NewPanics(logger logr.Logger) *Panics {
	return &Panics{logger: logger, panicsTotal: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "apricotway_panics_total", Help: "Panics by part of the process. Each ended one call or one round.",
	}, []string{"part"})}
}

// Register registers the counter as a metric.
func (p *Panics) Register(registry prometheus.Registerer) { registry.MustRegister(p.panicsTotal) }

// Count adds a panic of the named part of the process, which the caller has logged.
func (p *Panics) Count(part string) { p.panicsTotal.WithLabelValues(part).Inc() }

// Handler wraps a handler so that a panic ends only the request and is counted and logged.
func (p *Panics) Handler(part string, handler http.Handler) http.Handler {
	return guard.Handler(handler, func(err error) {
		p.Count(part)
		p.logger.Error(err, "handler of a request panicked", "event", 124, "part", part)
	})
}

// Supervisor returns the specification of a supervisor that logs its events and counts panics. It restarts a service that panics.
func (p *Panics) Supervisor() suture.Spec {
	return suture.Spec{EventHook: func(event suture.Event) {
		if panicked, ok := event.(suture.EventServicePanic); ok {
			p.Count(panicked.ServiceName)
		}

		p.logger.Info("supervisor event", "event", 101, "detail", event.String())
	}}
}

// Started logs the start of the process with the addresses to which it is bound.
func Started(logger logr.Logger, callers, operator netip.AddrPort) {
	logger.Info("process started", "event", 102, "callers", callers, "operator", operator, "build", build.Name())
}

// Rollout is how far a roll-out is, as one process sees it.
type Rollout struct {
	// Build is the build of the process.
	Build   string           `json:"build"`
	Members []rollout.Member `json:"members"`
	// Unknown counts by kind what the process left out of account because it does not know it.
	Unknown map[string]uint64 `json:"unknown"`
}

// NewRollout returns what a process knows of a roll-out now.
func NewRollout(r *rollout.Rollout, ignored *unknown.Counter) Rollout {
	return Rollout{Build: r.Build(), Members: r.Members(), Unknown: ignored.Counts()}
}

// UnknownSetting logs a key of the settings file that this build does not know and ignores.
func UnknownSetting(logger logr.Logger, fault settings.Fault) {
	logger.Info("ignored an unknown settings key", "event", 111, "file", fault.File, "line", fault.Line, "key", fault.Reason)
}

// Stopping logs the start of a graceful shutdown.
func Stopping(logger logr.Logger) { logger.Info("process stopping", "event", 103) }

// Stopped logs the end of the process with its reason, usually a cancelled context.
func Stopped(logger logr.Logger, reason error) {
	logger.Info("process stopped", "event", 104, "reason", reason)
}
