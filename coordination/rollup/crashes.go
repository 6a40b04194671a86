package rollup

import (
	"bytes"
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/quarantine"
)

// restoreCrashes loads the refusals that the previous holder saved, for the case that all processes have ended. The caller holds r.mu.
func (r *Rollup) restoreCrashes(now time.Time) {
	content := r.duty.LastState(apricotway.StateCrashes)
	if content == nil {
		return
	}

	var findings []quarantine.Finding
	if err := json.Unmarshal(content, &findings); err != nil {
		r.logger.Info("failed to decode the refusals saved by the previous duty holder", "event", 359, "error", err.Error())
		return
	}

	r.crashes.Adopt(now, findings)
}

// saveCrashes saves the refusals for a successor if they have changed since the last save. Only the holder does so.
func (r *Rollup) saveCrashes(ctx context.Context, now time.Time) {
	holder, held := r.duty.HeldEvenIfLeaving()

	r.mu.Lock()
	crashes, saved, current := r.crashes, r.savedCrashes, r.collectedUnder == holder.Number
	r.mu.Unlock()

	if !held || !current {
		return
	}

	refused := slices.DeleteFunc(slices.Clone(crashes.Findings(now)), func(f quarantine.Finding) bool { return !f.Refused })
	content, err := json.Marshal(refused)

	if len(refused) == 0 && saved == nil || bytes.Equal(content, saved) {
		return
	}

	if err == nil {
		err = r.duty.SaveState(ctx, apricotway.StateCrashes, content)
	}

	if err != nil {
		r.logger.V(1).Info("failed to save the refusals of contents", "event", 360, "error", err.Error())
		return
	}

	r.mu.Lock()
	r.savedCrashes = content
	r.mu.Unlock()
}
