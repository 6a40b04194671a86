package bubble_test

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/apricotway/apricotway/internal/bubble"
)

// TestSimultaneousTimers guards against the crash of the race detector when goroutines that a timer has woken start and drain
// timers of the same instant while the bubble still runs others.
func TestSimultaneousTimers(t *testing.T) {
	const rounds, tickers, steps = 20, 64, 20

	for range rounds {
		bubble.Test(t, func(t *testing.T) {
			var ticks atomic.Int64

			for range tickers {
				go func() {
					ticker := time.NewTicker(time.Millisecond)
					defer ticker.Stop()

					for range steps {
						<-ticker.C
						ticks.Add(1)
					}
				}()

				for step := range steps {
					time.AfterFunc(time.Duration(step+1)*time.Millisecond, func() { <-time.NewTimer(0).C })
				}
			}

			<-time.After(time.Second)

			if got, want := ticks.Load(), int64(tickers*steps); got != want {
				t.Errorf("ticks: got %d, want %d", got, want)
			}
		})
	}
}
