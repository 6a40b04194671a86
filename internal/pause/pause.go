// Package pause provides a sleep that ends when a context is canceled.
package pause

import (
	"context"
	"time"
)

// For waits until the duration has passed or the context is done. It reports whether the duration passed first.
func For(ctx context.Context, duration time.Duration) bool {
	if duration <= 0 {
		return ctx.Err() == nil
	}

	timer := time.NewTimer(duration)
	defer timer.Stop()

	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
