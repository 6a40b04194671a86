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
	// version is the version of the configuration that the limits were last set from.
	version   uint64
	buckets   map[apricotway.Workspace]*bucket
	processes map[apricotway.NodeID]*process
}

type bucket struct {
	limit apricotway.TokenLimit
	// version is the version of the newest configuration that is known to have the limit.
	version uint64
	balance
	at time.Time
	// refusedAt is the time at which new calls last got less than they need.
	refusedAt time.Time
	// waiting holds the processes at which streams that are being taken up wait for units.
	waiting map[apricotway.NodeID]waitingNode
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

// SetLimits applies the limits of a configuration, except those that a process has stated from a newer one.
func (c *Center) SetLimits(now time.Time, version uint64, workspaces map[apricotway.Workspace]*apricotway.WorkspaceRule) {
	if c.startedAt.IsZero() {
		c.startedAt = now
	}

	c.version = version

	for name, rule := range workspaces {
		if b := c.buckets[name]; b == nil || b.version <= version {
			c.setLimit(now, name, StatedLimit{Version: version, Limit: rule.Limit})
		}
	}

	for name, b := range c.buckets {
		if workspaces[name] == nil && b.version <= version {
			delete(c.buckets, name)
		}
	}
}

func (c *Center) setLimit(now time.Time, workspace apricotway.Workspace, stated StatedLimit) {
	b := c.buckets[workspace]
	if b == nil {
		// The bucket starts empty, because it is unknown how much was spent under the previous center. It gets what the shares of the
		// processes have left when these first report.
		b = &bucket{at: now, waiting: map[apricotway.NodeID]waitingNode{}}
		c.buckets[workspace] = b
	}

	c.refill(now, b)

	// What was not limited so far may begin with a burst.
	if b.version > 0 && b.limit.Rate <= 0 {
		b.level = stated.Limit.Burst
	}

	b.limit, b.version = stated.Limit, stated.Version
	b.level = min(b.level, stated.Limit.Burst)
}

// learn applies the limit that a process goes by, if it is from a newer configuration than the center's: under an older limit, the
// center would grant more than the process may spend.
func (c *Center) learn(now time.Time, workspace apricotway.Workspace, stated StatedLimit) {
	known := c.version
	if b := c.buckets[workspace]; b != nil {
		known = max(known, b.version)
	}

	if stated.Version > known {
		c.setLimit(now, workspace, stated)
	}
}

// refill adds the units of the time since the last refill, less the shares of the processes that have stopped reporting.
func (c *Center) refill(now time.Time, b *bucket) {
	elapsed := now.Sub(b.at).Seconds()
	if elapsed <= 0 {
		return
	}

	b.add(elapsed*b.limit.Rate*c.reportingShare(now), b.limit.Burst, b.wanted(now))
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
		c.learn(now, name, account.Stated)

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
			if free := max(b.free(), 0) * maxGrantShare; units > free {
				units, b.refusedAt = free, now
			}
		}

		if units != 0 {
			b.level -= units
			credit[name] = units
		}
	}

	return credit
}

// Ask grants the cost of one call and returns 0, or returns the time after which the units may be available. It decides nothing if it knows
// no limit and the process doesn't tell whether the center's configuration is newer than its own, which has one.
func (c *Center) Ask(
	now time.Time, workspace apricotway.Workspace, stated StatedLimit, cost float64,
) (wait time.Duration, decided bool) {
	b, limited, decided := c.prepareAsk(now, workspace, stated)
	if !limited {
		return 0, decided
	}

	// A call that costs more than the whole bucket needs a full bucket, whose level then goes below zero.
	if need := min(cost, b.limit.Burst); !b.spendFree(cost, need) {
		b.refusedAt = now
		return max(refillTime(need, b.free(), newCallsRate(b.limit.Rate, len(b.waiting))), time.Millisecond), true
	}

	return 0, true
}

// prepareAsk returns the bucket of a workspace with what has accrued, and reports whether there is a limit. If there is none, it reports
// whether the center can decide that.
func (c *Center) prepareAsk(now time.Time, workspace apricotway.Workspace, stated StatedLimit) (b *bucket, limited, decided bool) {
	c.learn(now, workspace, stated)

	b = c.buckets[workspace]
	if b == nil || b.limit.Rate <= 0 {
		return nil, false, stated.Version > 0
	}

	c.refill(now, b)

	return b, true, true
}
