package quota

import (
	"slices"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/cadence"
)

const (
	// minRetry and maxRetry bound the time until a stream that waits for units tries again. The longest one makes a process that has spent
	// its equal share notice soon that there is a center.
	minRetry = 5 * time.Millisecond
	maxRetry = 100 * time.Millisecond
	// minAsk is the shortest time between two requests of a process to the center for streams that wait.
	minAsk = 20 * time.Millisecond
	// maxResumeWait and usefulShare of the time that a caller has left bound the wait: what is left then has to do for the rest of the
	// stream. A process has a center again within maxResumeWait in most cases.
	maxResumeWait = 2 * time.Second
	usefulShare   = 0.3
	// refusalMemory is the time after the refusal of a new call for which streams that wait leave new calls what is not reserved.
	refusalMemory = time.Second
	// maxWaiting bounds the calls of one workspace that wait at a process, since each call at it goes through them.
	maxWaiting = 512
	// waitingLifetime is the time for which the center reserves units for a stream that it denied them, and that hasn't asked again. It covers
	// maxDenial and a request that takes the whole of its time limit.
	waitingLifetime = 500 * time.Millisecond
)

// Resumption is a call by which a caller takes up a stream. Its caller has the beginning of the answer and few tries to get the rest, so the
// call may wait for units, and those that wait get most of what accrues. A caller can state that any call takes up a stream. What it gains is
// bounded: the limit of its workspace holds, other workspaces have buckets of their own, new calls get what is not reserved of each unit
// that accrues (see reservedShare), and nothing is reserved once no call waits.
type Resumption struct {
	workspace apricotway.Workspace
	cost      float64
	until     time.Time
	turn      chan struct{}
	// counted is set once the cost has been counted as requested.
	counted bool
}

// NewResumption returns a call that may wait for units. remaining is the time that its caller has left.
func NewResumption(now time.Time, workspace apricotway.Workspace, cost float64, remaining time.Duration) *Resumption {
	wait := min(time.Duration(usefulShare*float64(remaining)), maxResumeWait)

	return &Resumption{workspace: workspace, cost: cost, until: now.Add(wait), turn: make(chan struct{}, 1)}
}

// Cost returns the cost of the call.
func (r *Resumption) Cost() float64 { return r.cost }

// Turn is ready when the call may have become the first that waits.
func (r *Resumption) Turn() <-chan struct{} { return r.turn }

// Resume spends the cost of a call that takes up a stream, or returns Wait with the time after which it is to be called again unless the
// call's turn comes before. A denial comes with the time after which the units may be available. The caller has to call Leave at the end.
func (l *Limiter) Resume(now time.Time, r *Resumption) (Verdict, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()

	b := l.buckets[r.workspace]
	if b == nil || b.limit.Rate <= 0 {
		return Spent, 0
	}

	if !r.counted {
		r.counted = true
		b.asked += r.cost
	}

	answered := now.Sub(l.answeredAt) < cadence.Lifetime(l.period)

	switch {
	case b.resume(now, &b.credit, r, r.cost):
		return Spent, 0
	case !answered:
		return b.resumeFromShare(now, l.answeredAt, r, float64(l.processes))
	case b.first(r) && !now.Before(b.resumedDeniedUntil):
		return Ask, 0
	default:
		// What the center has for this process isn't known, at most the whole rate.
		return b.wait(now, r, accrualTime(b.unitsUntil(r, b.limit.Burst), b.limit.Rate), b.resumedDeniedUntil.Sub(now))
	}
}

// ResumeFromShare is like Resume, for a call about which the center could not be asked.
func (l *Limiter) ResumeFromShare(now time.Time, r *Resumption) (Verdict, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if b := l.buckets[r.workspace]; b != nil {
		return b.resumeFromShare(now, l.answeredAt, r, float64(l.processes))
	}

	return Spent, 0
}

// RecordResumption records the center's answer about a call that takes up a stream: the time to wait, or 0 when the cost was granted. It
// returns what the call has to do.
func (l *Limiter) RecordResumption(now time.Time, r *Resumption, denied time.Duration) (Verdict, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.answeredAt = now

	b := l.buckets[r.workspace]
	if b == nil {
		return Spent, 0
	}

	if denied <= 0 {
		b.leave(r)
		return Spent, 0
	}

	next := min(max(denied, minAsk), maxDenial)
	b.resumedDeniedUntil = now.Add(next)

	return b.wait(now, r, denied, next)
}

// Leave ends the wait of a call that takes up a stream.
func (l *Limiter) Leave(r *Resumption) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if b := l.buckets[r.workspace]; b != nil {
		b.leave(r)
	}
}

// first reports whether no other call waits before this one.
func (b *localBucket) first(r *Resumption) bool {
	return len(b.waiting) == 0 || b.waiting[0] == r
}

// unitsUntil returns the units that have to accrue until this call is served, which may not wait yet: what those before it cost and what it
// needs. No call needs more than most.
func (b *localBucket) unitsUntil(r *Resumption, most float64) float64 {
	units := min(r.cost, most)

	for _, other := range b.waiting {
		if other == r {
			break
		}

		units += other.cost
	}

	return units
}

// wanted returns the units that all calls that wait need.
func (b *localBucket) wanted(most float64) float64 {
	wanted := 0.0
	for _, r := range b.waiting {
		wanted += min(r.cost, most)
	}

	return wanted
}

// resume spends the cost of a call that takes up a stream, unless others wait before it, and reports whether it did.
func (b *localBucket) resume(now time.Time, from *balance, r *Resumption, need float64) bool {
	if !b.first(r) || !from.spendReserved(r.cost, need) && (!b.mayUseFree(now) || !from.spendFree(r.cost, need)) {
		return false
	}

	b.leave(r)

	return true
}

// mayUseFree reports whether a stream may spend what is not reserved: while none waits, as any call does, or while new calls don't need it.
// Those that wait would otherwise be the first to find it each time.
func (b *localBucket) mayUseFree(now time.Time) bool {
	return len(b.waiting) == 0 || now.Sub(b.refusedAt) > refusalMemory
}

func (b *localBucket) resumeFromShare(
	now, answeredAt time.Time, r *Resumption, processes float64,
) (Verdict, time.Duration) {
	rate, burst := b.limit.Rate/processes, b.limit.Burst/processes

	b.accrueShare(now, answeredAt, processes)

	if b.resume(now, &b.share, r, min(r.cost, burst)) {
		return Spent, 0
	}

	refill := accrualTime(b.unitsUntil(r, burst)-b.share.forResumed(), reservedShare*rate)

	return b.wait(now, r, refill, refill)
}

// accrualTime returns the time in which the units accrue, an hour at most. The rate is above zero.
func accrualTime(units, rate float64) time.Duration {
	return time.Duration(min(max(units, 0)/rate, time.Hour.Seconds()) * float64(time.Second))
}

// wait makes the call wait if the units are there in time, and denies it at once if not. refill is the time until they are, and next the time
// after which the call tries again if it is the first.
func (b *localBucket) wait(now time.Time, r *Resumption, refill, next time.Duration) (Verdict, time.Duration) {
	if left := r.until.Sub(now); left <= 0 || refill > left {
		b.leave(r)
		return Denied, max(refill, minRetry)
	}

	if !slices.Contains(b.waiting, r) {
		if len(b.waiting) >= maxWaiting {
			return Denied, max(refill, minRetry)
		}

		b.waiting = append(b.waiting, r)
	}

	if !b.first(r) {
		return Wait, r.until.Sub(now)
	}

	return Wait, min(max(next, minRetry), maxRetry, r.until.Sub(now))
}

func (b *localBucket) leave(r *Resumption) {
	at := slices.Index(b.waiting, r)
	if at < 0 {
		return
	}

	b.waiting = slices.Delete(b.waiting, at, at+1)
	if at == 0 && len(b.waiting) > 0 {
		select {
		case b.waiting[0].turn <- struct{}{}:
		default:
		}
	}
}

// waitingNode is what the center knows of the streams that wait at a process: the first of them asks for its units.
type waitingNode struct {
	need  float64
	until time.Time
}

// wanted returns the units for which processes have asked on behalf of streams that are being taken up, and were denied.
func (b *bucket) wanted(now time.Time) float64 {
	wanted := 0.0

	for node, w := range b.waiting {
		if now.After(w.until) {
			delete(b.waiting, node)
			continue
		}

		wanted += w.need
	}

	return wanted
}

// AskResumed is like Ask, for a call by which a caller takes up a stream. While such calls wait, most of what accrues is reserved for them.
func (c *Center) AskResumed(
	now time.Time, node apricotway.NodeID, workspace apricotway.Workspace, stated StatedLimit, cost float64,
) (wait time.Duration, decided bool) {
	b, limited, decided := c.prepareAsk(now, workspace, stated)
	if !limited {
		return 0, decided
	}

	need, mayUseFree := min(cost, b.limit.Burst), len(b.waiting) == 0 || now.Sub(b.refusedAt) > refusalMemory
	if b.spendReserved(cost, need) || mayUseFree && b.spendFree(cost, need) {
		delete(b.waiting, node)
		return 0, true
	}

	b.waiting[node] = waitingNode{need: need, until: now.Add(waitingLifetime)}

	// The time in which all that wait are served. Processes that ask at the end of it ask about as often as they are granted units.
	return max(accrualTime(b.wanted(now)-b.forResumed(), b.limit.Rate*reservedShare), time.Millisecond), true
}
