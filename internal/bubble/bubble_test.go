package bubble_test

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/apricotway/apricotway/internal/bubble"
)

// TestSimultaneousTimers guards against a crash of the race detector that occurs when goroutines woken by a timer start and drain
// timers that fire at the same instant, while other timers of the bubble are still running.
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
