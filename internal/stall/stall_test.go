package stall_test

import (
	"context"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway/internal/bubble"
	"github.com/apricotway/apricotway/internal/stall"
)

// TestLimit guards operations that go on slowly against being ended, and those that stand still against going on.
func TestLimit(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		ctx, cancel := stall.WithLimit(t.Context(), 2*time.Second, time.Second)
		defer cancel()

		<-time.After(1900 * time.Millisecond)

		for range 20 {
			stall.Progress(ctx)
			<-time.After(900 * time.Millisecond)
		}

		if err := ctx.Err(); err != nil {
			t.Errorf("got %v during progress, want no end", err)
		}

		<-time.After(200 * time.Millisecond)
		stall.Progress(ctx)

		if got, want := context.Cause(ctx), stall.ErrStalled; !errors.Is(got, want) {
			t.Errorf("got %v without progress, want %v", got, want)
		}
	})
}

// TestProgressKeepsFirstLimit guards operations whose answer begins at once and goes on only after a wait against being ended within it.
func TestProgressKeepsFirstLimit(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		ctx, cancel := stall.WithLimit(t.Context(), 2*time.Second, time.Second)
		defer cancel()

		stall.Progress(ctx)
		<-time.After(1900 * time.Millisecond)

		if err := ctx.Err(); err != nil {
			t.Errorf("got %v before the first limit, want no end", err)
		}
	})
}
