package rollup

import (
	"time"

	"github.com/apricotway/apricotway/state/dispatch"
)

// learnTimings adds the timings of a report to those of all processes, and returns the speed factors that the process doesn't have. The
// caller holds r.mu.
func (r *Rollup) learnTimings(now time.Time, report Report) dispatch.SpeedNews {
	for _, change := range r.speeds.Report(now, report.Timings, r.Pool.ServiceOf) {
		if change.Slow {
			r.logger.Info("backend server is slower than the others", "event", 440, "server", change.Server, "service", change.Service,
				"factor", change.Factor)
		} else {
			r.logger.Info("backend server is no longer slower than the others", "event", 441, "server", change.Server, "service", change.Service,
				"factor", change.Factor)
		}
	}

	return r.speeds.News(r.collectedUnder, report.SpeedsKnown)
}
