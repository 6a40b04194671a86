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
	timer *time.Timer
	// pause is the timeout between two events of a stream; 0 for other calls, whose timer isn't restarted.
	pause   time.Duration
	expired atomic.Bool
}

// startSilenceTimer starts the timer of an attempt. Calls that may not be retried have no timeout, since a silent server may still
// be running the call, and neither has the last attempt of a call.
func (c *call) startSilenceTimer(send *dispatch.Send, cancel context.CancelFunc) *silenceTimer {
	t := &silenceTimer{}

	if !c.route.Repeatable() || c.sends+1 >= c.route.MaxAttempts {
		return t
	}

	first := scale(c.route.Objective, safeTimeoutFactor)
	if c.route.Kind == apricotway.RouteStream {
		first = scale(c.route.Objective, streamTimeoutFactor)
		t.pause = max(scale(c.route.LongestPause, pauseTimeoutFactor), scale(c.route.Objective, 1))
	}

	if first <= 0 {
		return t
	}

	t.timer = time.AfterFunc(max(first, expectedTimeoutFactor*send.Expected, minTimeout), func() {
		t.expired.Store(true)
		cancel()
	})

	return t
}

func scale(d time.Duration, factor float64) time.Duration { return time.Duration(float64(d) * factor) }

// progress restarts the timer after an event.
func (t *silenceTimer) progress() {
	if t.timer != nil && t.pause > 0 {
		t.timer.Reset(t.pause)
	}
}

func (t *silenceTimer) stop() {
	if t.timer != nil {
		t.timer.Stop()
	}
}

// fired reports whether the timer cancelled the attempt.
func (t *silenceTimer) fired() bool { return t.expired.Load() }
