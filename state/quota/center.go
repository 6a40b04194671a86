package quota

import (
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/cadence"
)

const (
	// A process gets credit for its expected demand over minCreditHorizon or over creditPeriods of its report periods, whichever
	// is longer. More credit saves requests to the center: each call that finds no credit costs one.
	minCreditHorizon = 350 * time.Millisecond
	creditPeriods    = 1.2
	// maxGrantShare is the fraction of a bucket that one process may get at a time.
	maxGrantShare = 0.25
	// demandWindow is the time over which demand is averaged.
	demandWindow = time.Second
	// processExpiry is the time without a report after which a process is assumed to spend nothing, because its API keys are no
	// longer fresh then. Before that, a process whose last report no longer counts is assumed to spend its equal share.
	processExpiry = 6 * time.Second
)

// Center keeps the token bucket of each limit. It is not safe for concurrent use.
type Center struct {
	// startedAt is the time from which this center grants.
	startedAt time.Time
	buckets   map[apricotway.Workspace]*bucket
	processes map[apricotway.NodeID]*process
}

type bucket struct {
	limit apricotway.TokenLimit
	level float64
	at    time.Time
}

type process struct {
	reportedAt time.Time
	// period is the time between its last two reports.
	period time.Duration
	// demand is in units a second.
	demand map[apricotway.Workspace]float64
}

// NewCenter returns a center without limits.
func NewCenter() *Center {
	return &Center{buckets: map[apricotway.Workspace]*bucket{}, processes: map[apricotway.NodeID]*process{}}
}

// SetLimits applies the limits of a configuration.
func (c *Center) SetLimits(now time.Time, workspaces map[apricotway.Workspace]*apricotway.WorkspaceRule) {
	if c.startedAt.IsZero() {
		c.startedAt = now
	}

	for name, rule := range workspaces {
		b := c.buckets[name]
		if b == nil {
			// The bucket starts empty, because it is unknown how much was spent under the previous center. It gets what the shares of the
			// processes have left when these first report.
			b = &bucket{at: now}
			c.buckets[name] = b
		}

		b.limit = rule.Limit
		b.level = min(b.level, rule.Limit.Burst)
	}

	for name := range c.buckets {
		if workspaces[name] == nil {
			delete(c.buckets, name)
		}
	}
}

// refill adds the units of the time since the last refill, less the shares of the processes that have stopped reporting.
func (c *Center) refill(now time.Time, b *bucket) {
	elapsed := now.Sub(b.at).Seconds()
	if elapsed <= 0 {
		return
	}

	b.level = min(b.level+elapsed*b.limit.Rate*c.reportingShare(now), b.limit.Burst)
	b.at = now
}

// reportingShare returns the fraction of the known processes whose last report still counts.
func (c *Center) reportingShare(now time.Time) float64 {
	reporting := 0

	for node, p := range c.processes {
		switch age := now.Sub(p.reportedAt); {
		case age > processExpiry:
			delete(c.processes, node)
		case age <= cadence.Lifetime(p.period):
			reporting++
		}
	}

	if len(c.processes) == 0 {
		return 1
	}

	return float64(reporting) / float64(len(c.processes))
}

// Remove removes a process that has ended.
func (c *Center) Remove(node apricotway.NodeID) { delete(c.processes, node) }

// Report handles the accounts of a process and returns the credit that it gets. A negative credit is taken back from the
// process.
func (c *Center) Report(
	now time.Time, node apricotway.NodeID, elapsed time.Duration, accounts map[apricotway.Workspace]Account,
) map[apricotway.Workspace]float64 {
	p := c.processes[node]
	first := p == nil

	if first {
		p = &process{demand: map[apricotway.Workspace]float64{}}
		c.processes[node] = p
	}

	p.reportedAt, p.period = now, elapsed
	horizon := max(minCreditHorizon.Seconds(), creditPeriods*elapsed.Seconds())
	credit := map[apricotway.Workspace]float64{}

	for name, account := range accounts {
		b := c.buckets[name]
		if b == nil {
			continue
		}

		weight := min(elapsed.Seconds()/demandWindow.Seconds(), 1)
		p.demand[name] += weight * (account.Asked/max(elapsed.Seconds(), 0.01) - p.demand[name])

		c.refill(now, b)

		// A share that accrued before this center started was granted to nobody else.
		if first && now.Add(-account.Unanswered).Before(c.startedAt) {
			b.level = min(b.level+account.Share, b.limit.Burst)
		}

		// Credit that a process no longer needs is taken back so that others can have it.
		units := p.demand[name]*horizon - account.Credit
		if units > 0 {
			units = min(units, max(b.level, 0)*maxGrantShare)
		}

		if units != 0 {
			b.level -= units
			credit[name] = units
		}
	}

	return credit
}

// Ask grants the cost of one call and returns 0, or returns the time after which the units may be available.
func (c *Center) Ask(now time.Time, workspace apricotway.Workspace, cost float64) time.Duration {
	b := c.buckets[workspace]
	if b == nil || b.limit.Rate <= 0 {
		return 0
	}

	c.refill(now, b)

	// A call that costs more than the whole bucket needs a full bucket, whose level then goes below zero.
	if need := min(cost, b.limit.Burst); b.level < need {
		return max(refillTime(need, b.level, b.limit.Rate), time.Millisecond)
	}

	b.level -= cost

	return 0
}
