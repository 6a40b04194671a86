package rollup

import (
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/cadence"
	"github.com/apricotway/apricotway/state/fairshare"
)

// takeUsage returns what the calls of this process to plain services did since the last report.
func (r *Rollup) takeUsage(now time.Time) fairshare.Usage {
	if r.Gate == nil {
		return fairshare.Usage{}
	}

	return r.Gate.TakeUsage(now)
}

// decideShares adds the usage of a process and returns the shares in which the throughput of overloaded services is divided. The caller
// holds r.mu.
func (r *Rollup) decideShares(now time.Time, usage fairshare.Usage) fairshare.Shares {
	r.sharing.Report(now, r.Pool.ReportPeriod(), usage)

	return r.sharing.Decide(now, func(service apricotway.Service) []fairshare.Server { return r.Pool.Servers(now, service) })
}

// learnShares puts the holder's shares in force until they are as old as a report may be.
func (r *Rollup) learnShares(now time.Time, shares fairshare.Shares) {
	if r.Gate == nil {
		return
	}

	for _, change := range r.Gate.Learn(now, cadence.Lifetime(r.Pool.ReportPeriod()), shares) {
		r.logger.Info("changed whether calls of an overloaded service are refused by share", "event", 430, "service", change.Service,
			"limited", change.Limited)
	}
}

// SharingStates returns what this process has last decided for the services while it holds the duties, else nothing.
func (r *Rollup) SharingStates() []fairshare.State {
	_, held := r.duty.Held()

	r.mu.Lock()
	defer r.mu.Unlock()

	if !held {
		return nil
	}

	return r.sharing.States()
}
