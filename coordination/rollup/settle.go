package rollup

import (
	"context"
	"slices"
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

// skippedBefore returns the number of windows before the first one of a holder that are in no report as far as is known: nobody held the
// duties for longer than the processes keep their counts.
func (r *Rollup) skippedBefore(first int64) int64 {
	last := max(r.duty.LastWindow(), r.duty.Skipped())
	if last == 0 {
		return 0
	}

	return max(first-1-last, 0)
}

// settleUsage finds out where to continue when the log doesn't tell what was reported, since it was trimmed or the store has come back
// from an older copy: the platform may have received reports whose records are lost. What the members know counts as well. The windows of
// which a report may be unknown to all of them are skipped: a window that is not reported does less harm than one with two counts.
// settleUsage records the result, and reports whether it is done.
func (r *Rollup) settleUsage(ctx context.Context, now time.Time, number apricotway.Offset) bool {
	r.mu.Lock()

	if r.collectedUnder != number {
		r.mu.Unlock()
		return false
	}

	unheard := r.unheardProcesses()
	if len(unheard) > 0 && now.Sub(r.claimedAt) < settleTime {
		r.mu.Unlock()
		return false
	}

	first, pending := max(r.firstWindow(now), r.nextWindow), r.pendingReport
	next, before := first, r.skippedBefore(first)

	since := r.knownSince(unheard)
	for !r.Tally.End(next).Add(windowGrace).After(since) {
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

	r.logSettled(next, before+next-first, unheard, since, number)

	return true
}

// logSettled logs the window from which on a holder reports usage, and how many are in no report.
func (r *Rollup) logSettled(next, skipped int64, unheard []apricotway.NodeID, since time.Time, number apricotway.Offset) {
	r.logger.Info("settled from which window on usage is reported", "event", 363, "window", next, "skipped", skipped,
		"unheard", unheard, "since", since, "number", number)
}

// knownSince returns the time from which on each report is known to this process or to one that was heard. A process that was not heard may
// have been the holder until this one claimed. Before this process took part, holders may have ended of which it has never heard; those
// that it has heard may have started later still. The caller holds r.mu.
func (r *Rollup) knownSince(unheard []apricotway.NodeID) time.Time {
	if len(unheard) > 0 {
		return r.claimedAt
	}

	return r.duty.TakesPartSince()
}

// unheardProcesses returns the members, and the holder before this process, that have not reported since this process claimed. The
// caller holds r.mu.
func (r *Rollup) unheardProcesses() []apricotway.NodeID {
	var unheard []apricotway.NodeID

	for _, member := range r.membership.Members() {
		if r.heard[member.Node].IsZero() {
			unheard = append(unheard, member.Node)
		}
	}

	if before := r.duty.Predecessor(); before != "" && r.heard[before].IsZero() && !slices.Contains(unheard, before) {
		unheard = append(unheard, before)
	}

	return unheard
}
