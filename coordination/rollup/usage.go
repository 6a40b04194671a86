package rollup

import (
	"bytes"
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/coordination/duty"
	"github.com/apricotway/apricotway/state/tally"
)

// restoreCounts loads the counts that the previous holder saved. Running processes will report theirs again, but those of processes
// that ended are only there. The caller holds r.mu.
func (r *Rollup) restoreCounts() {
	content := r.duty.LastState(apricotway.StateCounts)
	if content == nil {
		return
	}

	counts, err := tally.Decode(content)
	if err != nil {
		r.logger.Info("failed to decode the counts saved by the previous duty holder", "event", 288, "error", err.Error())
		return
	}

	for node, windows := range counts {
		r.collector.Report(node, windows)
	}
}

// saveState saves the aggregated counts for a successor if they have changed since the last save. Only the holder does so.
func (r *Rollup) saveState(ctx context.Context) {
	holder, held := r.duty.HeldEvenIfLeaving()

	r.mu.Lock()
	if !held || r.collectedUnder != holder.Number {
		r.mu.Unlock()
		return
	}

	content, err := tally.Encode(r.collector.All())
	same := bytes.Equal(content, r.savedState)
	r.mu.Unlock()

	if err == nil && !same {
		err = r.duty.SaveState(ctx, apricotway.StateCounts, content)
	}

	if err != nil {
		r.logger.V(1).Info("failed to save the aggregated counts", "event", 289, "error", err.Error())
		return
	}

	r.mu.Lock()
	r.savedState = content
	r.mu.Unlock()
}

// Stop sends the last counts of a leaving process to the holder. If this process is the holder, it saves them for its successor.
func (r *Rollup) Stop(ctx context.Context) {
	now := time.Now()
	r.reportOnce(ctx, now, minElapsed)

	if holder, held := r.duty.HeldEvenIfLeaving(); held {
		r.mu.Lock()
		if r.collectedUnder == holder.Number {
			r.collector.Report(r.membership.Self().Node, r.Tally.Counts(r.Tally.Window(now)-backfillWindows))
		}
		r.mu.Unlock()

		r.saveState(ctx)
	}
}

// reportUsage reports the windows that have ended to the platform, one at a time and in order. Only the holder does so.
func (r *Rollup) reportUsage(ctx context.Context, now time.Time) {
	holder, held := r.duty.Held()
	if !held {
		return
	}

	if !r.duty.UsageSettled() && !r.settleUsage(ctx, now, holder.Number) {
		return
	}

	for {
		report, ok := r.nextUsage(now, holder.Number)
		if !ok {
			return
		}

		if err := r.sendUsage(ctx, holder, report); err != nil {
			r.logger.Info("failed to report usage to the platform", "event", 296, "window", report.Window, "error", err.Error())
			return
		}
	}
}

// nextUsage returns the usage report that is due, if any. A report that is already in the duty log is returned unchanged, since the
// platform may have received it. One of this process may be there without an answer of the log to it.
func (r *Rollup) nextUsage(now time.Time, number apricotway.Offset) (apricotway.UsageReport, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()

	if r.collectedUnder != number {
		return apricotway.UsageReport{}, false
	}

	if r.pendingReport != nil {
		return *r.pendingReport, true
	}

	if r.nextWindow == 0 {
		r.nextWindow = r.firstWindow(now)

		if skipped := r.skippedBefore(r.nextWindow); skipped > 0 {
			r.logSettled(r.nextWindow, skipped, nil, r.duty.TakesPartSince(), number)
		}

		if last := r.duty.LastUsage(); last != nil && last.Window == r.nextWindow-1 {
			r.pendingReport = last
			return *last, true
		}
	}

	if last := r.duty.LastUsage(); last != nil && last.Window >= r.nextWindow {
		r.pendingReport = last
		return *last, true
	}

	if end := r.Tally.End(r.nextWindow); now.Before(end.Add(windowGrace)) || r.awaitsCounts(now, end) {
		return apricotway.UsageReport{}, false
	}

	return apricotway.UsageReport{Window: r.nextWindow, Calls: r.collector.Total(r.nextWindow)}, true
}

// awaitsCounts reports whether a live process has not reported since the end of a window. What it counted in the window can't be reported
// later, so its next report is worth waiting for until the next window has ended. The caller holds r.mu.
func (r *Rollup) awaitsCounts(now, end time.Time) bool {
	if !now.Before(r.Tally.End(r.Tally.Window(end))) {
		return false
	}

	for _, member := range r.membership.Members() {
		alive := member.State == apricotway.MemberAlive || member.State == apricotway.MemberSuspect
		if alive && r.heard[member.Node].Before(end.Add(reportTransit)) {
			return true
		}
	}

	return false
}

// sendUsage appends a report to the duty log before it sends it to the platform, so that a successor repeats exactly the same one.
func (r *Rollup) sendUsage(ctx context.Context, holder apricotway.DutyHolder, report apricotway.UsageReport) error {
	r.mu.Lock()
	recorded := r.pendingReport != nil
	r.mu.Unlock()

	if !recorded {
		err := r.duty.RecordUsage(ctx, report)

		// A record that lies in an era which its writer did not know counts as reported, so only the writer can send it.
		if err == nil || errors.Is(err, duty.ErrEraChanged) {
			r.mu.Lock()
			r.pendingReport = &report
			r.mu.Unlock()
		}

		if err != nil {
			return err
		}
	}

	if acting, ok := r.duty.AuthorizedHolder(ctx); !ok || acting.Number != holder.Number {
		return errors.Wrap(duty.ErrNotHolder, "report usage")
	}

	ctx, cancel := context.WithTimeout(ctx, duty.PlatformCallTimeout)
	defer cancel()

	err := r.calls.ReportUsage(ctx, holder, report)
	if errors.Is(err, apricotway.ErrOrderFenced) {
		r.duty.MarkFenced(holder.Number)
	}

	if err != nil {
		return err
	}

	r.mu.Lock()
	defer r.mu.Unlock()

	r.pendingReport = nil
	r.nextWindow = max(r.nextWindow, report.Window+1)
	r.collector.Forget(report.Window)
	r.logger.Info("reported usage to the platform", "event", 297, "window", report.Window, "workspaces", len(report.Calls),
		"number", holder.Number)

	return nil
}
