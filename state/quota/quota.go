// Package quota holds workspaces to their limits over all processes. Each process spends from a share of the limit; the
// coordinator divides the limit anew from what the processes ask for. A process that cannot reach the coordinator falls back to
// an even share, so that the sum over all processes keeps to the limit.
package quota

import (
	"sync"
	"time"

	"github.com/apricotway/apricotway"
)

// shareLifetime is the time for which a process spends from a share without a newer one. It is three periods of the exchange
// with the coordinator or more.
const shareLifetime = 2 * time.Second

// Limiter spends the shares of one process. It is safe for concurrent use.
type Limiter struct {
	mu      sync.Mutex
	buckets map[apricotway.Workspace]*bucket
	// members is the number of processes that share the limits; at least 1.
	members int
}

// bucket is the share of one workspace.
type bucket struct {
	limit apricotway.TokenLimit
	// share is the part of the limit from 0 to 1 that this process may spend until the given time.
	share float64
	until time.Time
	// level is what may be spent at the given time; at most share times burst.
	level float64
	at    time.Time
	// asked counts the units asked for since the last report.
	asked float64
}

// New returns a limiter without limits.
func New() *Limiter {
	return &Limiter{buckets: map[apricotway.Workspace]*bucket{}, members: 1}
}

// SetLimits puts the limits of a configuration in force.
func (l *Limiter) SetLimits(now time.Time, workspaces map[apricotway.Workspace]*apricotway.WorkspaceRule) {
	l.mu.Lock()
	defer l.mu.Unlock()

	for name, rule := range workspaces {
		b := l.buckets[name]
		if b == nil {
			b = &bucket{at: now}
			l.buckets[name] = b
			b.limit = rule.Limit
			b.level = l.shareOf(b, now) * rule.Limit.Burst

			continue
		}

		b.refill(now, l.shareOf(b, now))
		b.limit = rule.Limit
		b.level = min(b.level, l.shareOf(b, now)*b.limit.Burst)
	}

	for name := range l.buckets {
		if workspaces[name] == nil {
			delete(l.buckets, name)
		}
	}
}

// SetMembers sets the number of processes that share the limits.
func (l *Limiter) SetMembers(members int) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.members = max(members, 1)
}

// SetShares takes the shares that the coordinator gave, as parts of the limits from 0 to 1.
func (l *Limiter) SetShares(now time.Time, shares map[apricotway.Workspace]float64) {
	l.mu.Lock()
	defer l.mu.Unlock()

	for name, share := range shares {
		if b := l.buckets[name]; b != nil {
			b.refill(now, l.shareOf(b, now))
			b.share, b.until = share, now.Add(shareLifetime)
		}
	}
}

// shareOf returns the part of the limit that the process may spend now.
func (l *Limiter) shareOf(b *bucket, now time.Time) float64 {
	even := 1 / float64(l.members)
	if now.Before(b.until) {
		return b.share
	}

	return even
}

func (b *bucket) refill(now time.Time, share float64) {
	if elapsed := now.Sub(b.at).Seconds(); elapsed > 0 {
		b.level = min(b.level+elapsed*share*b.limit.Rate, max(share*b.limit.Burst, b.level))
		b.at = now
	}
}

// Take spends the cost of one call. When it is over the limit, it returns the time after which the cost can be spent.
func (l *Limiter) Take(now time.Time, workspace apricotway.Workspace, cost float64) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()

	b := l.buckets[workspace]
	if b == nil || b.limit.Rate <= 0 {
		return 0, true
	}

	b.asked += cost
	share := l.shareOf(b, now)
	b.refill(now, share)

	// A call that costs more than the whole share is admitted from a full bucket, and the bucket goes below zero.
	if b.level >= cost || b.level >= share*b.limit.Burst && b.level > 0 {
		b.level -= cost
		return 0, true
	}

	missing := min(cost, share*b.limit.Burst) - b.level
	wait := time.Duration(missing / max(share*b.limit.Rate, 1) * float64(time.Second))

	return max(wait, 0), false
}

// Return gives back the cost of a call that did not run.
func (l *Limiter) Return(workspace apricotway.Workspace, cost float64) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if b := l.buckets[workspace]; b != nil && b.limit.Rate > 0 {
		b.level += cost
	}
}

// Asked returns the units asked for since the last call, by workspace.
func (l *Limiter) Asked() map[apricotway.Workspace]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()

	asked := make(map[apricotway.Workspace]float64, len(l.buckets))

	for name, b := range l.buckets {
		if b.asked > 0 {
			asked[name], b.asked = b.asked, 0
		}
	}

	return asked
}
