// Package process logs the course of a process alike for all programs.
package process

import (
	"net/netip"

	"github.com/go-logr/logr"
	"github.com/thejerf/suture/v4"
)

// Supervisor returns the settings of a supervisor that logs its events.
func Supervisor(logger logr.Logger) suture.Spec {
	return suture.Spec{EventHook: func(event suture.Event) {
		logger.Info("supervisor event", "event", 101, "detail", event.String())
	}}
}

// Started logs that the process has bound its addresses.
func Started(logger logr.Logger, callers, operator netip.AddrPort) {
	logger.Info("process started", "event", 102, "callers", callers, "operator", operator)
}

// Stopping logs the beginning of a planned stop.
func Stopping(logger logr.Logger) { logger.Info("process stopping", "event", 103) }

// Stopped logs the end of the process. An ended context is the usual reason.
func Stopped(logger logr.Logger, reason error) {
	logger.Info("process stopped", "event", 104, "reason", reason)
}
