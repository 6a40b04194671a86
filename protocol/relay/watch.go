package relay

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/dispatch"
)

// silenceTimer cancels an attempt whose server has not answered or sent an event in time, so that another server can take the call.
type silenceTimer struct {
	timer   *time.Timer
	pause   time.Duration
	expired atomic.Bool
}

// startSilenceTimer starts the timer of an attempt. Calls that may not be retried get none: a silent server may still be running
// the call.
func (c *call) startSilenceTimer(send *dispatch.Send, cancel context.CancelFunc) *silenceTimer {
	w := &silenceTimer{}

	if !c.route.Repeatable() || c.sends+1 >= c.route.MaxAttempts {
		return w
	}

	first := scale(c.route.Objective, safeTimeoutFactor)
	if c.route.Kind == apricotway.RouteStream {
		first = scale(c.route.Objective, streamTimeoutFactor)
		w.pause = max(scale(c.route.LongestPause, pauseTimeoutFactor), scale(c.route.Objective, 1))
	}

	if first <= 0 {
		return w
	}

	w.timer = time.AfterFunc(max(first, expectedTimeoutFactor*send.Expected, minTimeout), func() {
		w.expired.Store(true)
		cancel()
	})

	return w
}

func scale(d time.Duration, factor float64) time.Duration { return time.Duration(float64(d) * factor) }

// progress restarts the timer after an event.
func (w *silenceTimer) progress() {
	if w.timer != nil && w.pause > 0 {
		w.timer.Reset(w.pause)
	}
}

func (w *silenceTimer) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}

// fired reports whether the timer cancelled the attempt.
func (w *silenceTimer) fired() bool { return w.expired.Load() }
