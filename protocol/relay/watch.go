package relay

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/dispatch"
)

// watch ends an attempt whose server is silent, where another server may have the call.
type watch struct {
	timer *time.Timer
	pause time.Duration
	ended atomic.Bool
}

// watch starts the watch of an attempt. Calls that may not be repeated are left to run: silence is no proof of an end.
func (c *call) watch(send *dispatch.Send, cancel context.CancelFunc) *watch {
	w := &watch{}

	if !c.route.Repeatable() || c.sends+1 >= c.route.MaxAttempts {
		return w
	}

	first := scale(c.route.Objective, patienceSafe)
	if c.route.Kind == apricotway.RouteStream {
		first = scale(c.route.Objective, patienceStream)
		w.pause = max(scale(c.route.LongestPause, patiencePause), scale(c.route.Objective, 1))
	}

	if first <= 0 {
		return w
	}

	w.timer = time.AfterFunc(max(first, patienceExpected*send.Expected, leastPatience), func() {
		w.ended.Store(true)
		cancel()
	})

	return w
}

func scale(d time.Duration, factor float64) time.Duration { return time.Duration(float64(d) * factor) }

// progress restarts the watch after an event.
func (w *watch) progress() {
	if w.timer != nil && w.pause > 0 {
		w.timer.Reset(w.pause)
	}
}

func (w *watch) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}

// fired tells whether the watch ended the attempt.
func (w *watch) fired() bool { return w.ended.Load() }
