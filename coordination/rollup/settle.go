package rollup

import (
	"context"
	"time"

	"github.com/apricotway/apricotway"
)

// settleTime is the time from a claim for which the holder waits for the reports of all members.
const settleTime = 2 * time.Second

// firstWindow returns the window from which a holder continues whose log tells what was reported. The caller holds r.mu.
func (r *Rollup) firstWindow(now time.Time) int64 {
	first := r.Tally.Window(now) - backfillWindows

	if last := r.duty.LastWindow(); last >= first-backfillWindows {
		first = last + 1
	}

	return max(first, r.duty.Skipped()+1)
}

// settleUsage finds out where to continue when the log doesn't tell what was reported, since it was trimmed or the store has come back
// from an older copy: the platform may have received reports whose records are lost. What the members know counts as well. A member that
// can't be asked may have been the holder until this process claimed, so the windows that were due before are skipped then: a window that
// is not reported does less harm than one with two counts. settleUsage records the result, and reports whether it is done.
func (r *Rollup) settleUsage(ctx context.Context, now time.Time, number apricotway.Offset) bool {
	r.mu.Lock()

	if r.collectedUnder != number {
		r.mu.Unlock()
		return false
	}

	unheard := r.unheardMembers()
	if len(unheard) > 0 && now.Sub(r.claimedAt) < settleTime {
		r.mu.Unlock()
		return false
	}

	first, pending := max(r.firstWindow(now), r.nextWindow), r.pendingReport
	next := first

	for len(unheard) > 0 && !r.Tally.End(next).Add(windowGrace).After(r.claimedAt) {
		next++
	}

	r.mu.Unlock()

	err := r.duty.RecordSkip(ctx, next-1)
	if err == nil && pending != nil {
		// This holder recorded it before, and has not sent it yet.
		err = r.duty.RecordUsage(ctx, *pending)
	}

	if err != nil {
		r.logger.Info("failed to record which usage was reported", "event", 364, "error", err.Error())
		return false
	}

	r.mu.Lock()
	r.nextWindow = next
	r.mu.Unlock()

	r.logger.Info("settled from which window on usage is reported", "event", 363, "window", next, "skipped", next-first,
		"unheard", unheard, "number", number)

	return true
}

// unheardMembers returns the members that have not reported since this process claimed. The caller holds r.mu.
func (r *Rollup) unheardMembers() []apricotway.NodeID {
	var unheard []apricotway.NodeID

	for _, member := range r.membership.Members() {
		if !r.heard[member.Node] {
			unheard = append(unheard, member.Node)
		}
	}

	return unheard
}
