package rollup

import (
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/dispatch"
)

// learnRamps adds the counts of a report to those of all processes, and returns the allowances of the servers in slow start. The caller
// holds r.mu.
func (r *Rollup) learnRamps(now time.Time, report Report) map[apricotway.BackendServerID]int {
	for _, change := range r.ramps.Report(now, report.Timings, r.Pool.NewServers, r.Pool.SlotsOf) {
		if change.Began {
			r.logger.Info("slow start of a backend server began", "event", 442, "server", change.Server, "failures", change.Failures)
		} else {
			r.logger.Info("slow start of a backend server ended", "event", 443, "server", change.Server)
		}
	}

	return r.ramps.Allowances()
}

// speedNews returns the speed factors that a process doesn't have, and the allowances. The caller holds r.mu.
func (r *Rollup) speedNews(now time.Time, report Report) dispatch.SpeedNews {
	news := r.learnTimings(now, report)
	news.Ramps = r.learnRamps(now, report)

	return news
}
