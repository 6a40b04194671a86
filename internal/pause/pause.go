// Package pause waits without outliving a context.
package pause

import (
	"context"
	"time"
)

// For waits for the duration and reports whether it passed before the context ended.
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
