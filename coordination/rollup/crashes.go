package rollup

import (
	"bytes"
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/thejerf/suture/v4"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/internal/pause"
	"github.com/apricotway/apricotway/state/quarantine"
)

// learnPause is the pause between two attempts to read the saved refusals.
const learnPause = 300 * time.Millisecond

// restoreCrashes loads the refusals that the previous holder saved, for the case that all processes have ended. The caller holds r.mu.
func (r *Rollup) restoreCrashes(now time.Time) {
	content := r.duty.LastState(apricotway.StateCrashes)
	if content == nil {
		return
	}

	r.crashes.Adopt(now, r.decodeCrashes(content))
}

func (r *Rollup) decodeCrashes(content []byte) []quarantine.Finding {
	var findings []quarantine.Finding
	if err := json.Unmarshal(content, &findings); err != nil {
		r.logger.Info("failed to decode the refusals saved by the previous duty holder", "event", 359, "error", err.Error())
		return nil
	}

	return findings
}

// learnCrashes reads the saved refusals when the process starts. When all processes were killed, nobody holds the duties for some seconds
// and could tell them.
func (r *Rollup) learnCrashes(ctx context.Context) error {
	for {
		content, err := r.duty.ReadState(ctx, apricotway.StateCrashes)
		if err == nil {
			if content != nil {
				r.Suspects.Learn(r.decodeCrashes(content))
			}

			return suture.ErrDoNotRestart
		}

		if !pause.For(ctx, learnPause) {
			return ctx.Err()
		}
	}
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
