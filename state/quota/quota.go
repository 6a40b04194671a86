// Package quota enforces the rate limits of workspaces over all processes. One process, the center, keeps the token bucket of
// each limit and grants credit to the others. They spend their credit without asking, and ask the center when a call costs more
// than the credit that is left. A process that cannot reach the center spends from an equal share of the limit, which the
// center sets aside. It is built for days on which one workspace requests many times its usual amount, at processes that change
// from moment to moment.
package quota

import (
	"math"
	"sync"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/cadence"
)

// maxDenial bounds the time for which a denial by the center applies without asking again.
const maxDenial = 250 * time.Millisecond

// Verdict is the result of an attempt to spend.
type Verdict string

// The values of Verdict.
const (
	Spent  Verdict = "spent"
	Denied Verdict = "denied"
	// Ask means that the center has to be asked.
	Ask Verdict = "ask"
	// Wait means that a call that takes up a stream has to try again.
	Wait Verdict = "wait"
)

// Limiter enforces the limits in one process. It is safe for concurrent use.
type Limiter struct {
	mu      sync.Mutex
	buckets map[apricotway.Workspace]*localBucket
	// processes is the number of processes that share the limits; at least minProcesses.
	processes int
	// period is the time between two reports of a process.
	period time.Duration
	// answeredAt is the time of the center's last answer.
	answeredAt time.Time
	// version is the version of the configuration that the limits are from.
	version uint64
}

// minProcesses is the number of processes assumed before others are known, so that processes that all start at once do not
// spend the whole limit each.
const minProcesses = 4

// startShare is the part of its share of the burst that a process begins with. How much of the burst was spent before it started is not known.
const startShare = 0.5

// localBucket is what a process knows of one limit.
type localBucket struct {
	limit apricotway.TokenLimit
	// credit is what the center has granted and this process has not spent.
	credit balance
	// asked counts the units that callers requested since the last report.
	asked float64
	// deniedUntil is the time until which the center has nothing to grant.
	deniedUntil time.Time
	// resumedDeniedUntil is the time until which the center has nothing to grant to streams that are being taken up.
	resumedDeniedUntil time.Time
	// share is what was left of the equal share at time at. The share accrues from the time since on.
	share     balance
	at, since time.Time
	// refusedAt is the time at which a new call was last refused.
	refusedAt time.Time
	// waiting holds the streams that are being taken up and wait for units, in the order of their arrival.
	waiting []*Resumption
}

// New returns a limiter without limits.
func New() *Limiter {
	return &Limiter{buckets: map[apricotway.Workspace]*localBucket{}, processes: minProcesses}
}

// SetLimits applies the limits of a configuration.
func (l *Limiter) SetLimits(now time.Time, version uint64, workspaces map[apricotway.Workspace]*apricotway.WorkspaceRule) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.version = version

	for name, rule := range workspaces {
		b := l.buckets[name]
		if b == nil {
			b = &localBucket{at: now, since: now, share: balance{level: rule.Limit.Burst * startShare / float64(l.processes)}}
			l.buckets[name] = b
		}

		if rule.Limit.Rate < b.limit.Rate {
			// Credit that was granted under a higher rate may exceed the new limit.
			b.credit = balance{}
		}

		b.limit = rule.Limit
	}

	for name := range l.buckets {
		if workspaces[name] == nil {
			delete(l.buckets, name)
		}
	}
}

// SetMembers sets the number of processes that share the limits, and the time between two reports of each.
func (l *Limiter) SetMembers(processes int, period time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.processes, l.period = max(processes, minProcesses), period
}

// Take spends the cost of one call. A denial comes with the time after which the units may be available.
func (l *Limiter) Take(now time.Time, workspace apricotway.Workspace, cost float64) (Verdict, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()

	b := l.buckets[workspace]
	if b == nil || b.limit.Rate <= 0 {
		return Spent, 0
	}

	b.asked += cost
	b.credit.reserve(b.credit.reserved, b.wanted(math.Inf(1)))

	switch {
	case b.credit.spendFree(cost, cost):
		return Spent, 0
	case now.Before(b.deniedUntil):
		b.refusedAt = now
		return Denied, max(refillTime(cost, 0, b.limit.Rate), maxDenial)
	case now.Sub(l.answeredAt) < cadence.Lifetime(l.period):
		return Ask, 0
	default:
		return b.takeShare(now, l.answeredAt, cost, float64(l.processes))
	}
}

// TakeShare spends from the equal share, for a call about which the center could not be asked.
func (l *Limiter) TakeShare(now time.Time, workspace apricotway.Workspace, cost float64) (Verdict, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if b := l.buckets[workspace]; b != nil {
		return b.takeShare(now, l.answeredAt, cost, float64(l.processes))
	}

	return Spent, 0
}

// accrueShare adds what has accrued to the equal share.
func (b *localBucket) accrueShare(now, answeredAt time.Time, processes float64) {
	// The center has granted the whole limit up to its last answer, so the share accrues only from then on.
	if b.since.Before(answeredAt) {
		b.since, b.at, b.share = answeredAt, answeredAt, balance{}
	}

	burst := b.limit.Burst / processes
	b.share.add(max(now.Sub(b.at).Seconds(), 0)*b.limit.Rate/processes, burst, b.wanted(burst))
	b.at = now
}

func (b *localBucket) takeShare(now, answeredAt time.Time, cost, processes float64) (Verdict, time.Duration) {
	rate, burst := b.limit.Rate/processes, b.limit.Burst/processes

	b.accrueShare(now, answeredAt, processes)

	// A call that costs more than the whole share needs a full share, whose level then goes below zero.
	if b.share.spendFree(cost, min(cost, burst)) {
		return Spent, 0
	}

	b.refusedAt = now

	return Denied, refillTime(min(cost, burst), b.share.free(), newCallsRate(rate, len(b.waiting)))
}

// refillTime returns the time until the level reaches the cost.
func refillTime(cost, level, rate float64) time.Duration {
	return time.Duration(max(cost-level, 0) / max(rate, 1) * float64(time.Second))
}

// newCallsRate returns the rate at which new calls get units while streams that are being taken up wait.
func newCallsRate(rate float64, waiting int) float64 {
	if waiting == 0 {
		return rate
	}

	return (1 - reservedShare) * rate
}

// Refund refunds the cost of a call that did not run.
func (l *Limiter) Refund(workspace apricotway.Workspace, cost float64) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if b := l.buckets[workspace]; b != nil && b.limit.Rate > 0 {
		b.credit.level += cost
	}
}

// RecordAnswer records the center's answer about one call: the time to wait, or 0 when the cost was granted.
func (l *Limiter) RecordAnswer(now time.Time, workspace apricotway.Workspace, denied time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.answeredAt = now

	if b := l.buckets[workspace]; b != nil && denied > 0 {
		b.deniedUntil = now.Add(min(denied, maxDenial))
	}
}

// AddCredit adds the credit that the center granted in its answer to a report. Credit that the center takes back may already
// have been spent; the credit is then below zero.
func (l *Limiter) AddCredit(now time.Time, credit map[apricotway.Workspace]float64) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.answeredAt = now

	for name, units := range credit {
		if b := l.buckets[name]; b != nil {
			b.credit.add(units, math.Inf(1), b.wanted(math.Inf(1)))
		}
	}
}

// StatedLimit is the limit that a process goes by.
type StatedLimit struct {
	// Version is the version of the configuration that the limit is from; 0 if it is not told.
	Version uint64
	Limit   apricotway.TokenLimit
}

// Stated returns the limit of a workspace.
func (l *Limiter) Stated(workspace apricotway.Workspace) StatedLimit {
	l.mu.Lock()
	defer l.mu.Unlock()

	if b := l.buckets[workspace]; b != nil {
		return StatedLimit{l.version, b.limit}
	}

	return StatedLimit{}
}

// Account is what a process reports to the center about one limit.
type Account struct {
	Stated StatedLimit
	// Asked is the number of units that callers requested since the last report.
	Asked float64
	// Credit is the credit that is left.
	Credit float64
	// Share is what is left of the equal share, below zero if it is overdrawn.
	Share float64
	// Unanswered is the time in which that share accrued: since the center's last answer, or since the process knows the limit.
	Unanswered time.Duration
}

// Accounts returns the accounts since its last call.
func (l *Limiter) Accounts(now time.Time) map[apricotway.Workspace]Account {
	l.mu.Lock()
	defer l.mu.Unlock()

	accounts := make(map[apricotway.Workspace]Account, len(l.buckets))

	for name, b := range l.buckets {
		if b.limit.Rate > 0 {
			b.accrueShare(now, l.answeredAt, float64(l.processes))

			accounts[name] = Account{
				Stated: StatedLimit{l.version, b.limit}, Asked: b.asked, Credit: b.credit.level, Share: b.share.level, Unanswered: now.Sub(b.since),
			}
			b.asked = 0
		}
	}

	return accounts
}
