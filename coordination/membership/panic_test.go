package membership

import (
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway/internal/guard"
	"github.com/apricotway/apricotway/state/member"
)

// TestPanickingStep guards against a lock that stays held after an unexpected message makes a step panic. The supervisor restarts
// the receiver, but a lock that is still held would block all other components.
func TestPanickingStep(t *testing.T) {
	d := &Driver{wake: make(chan struct{}, 1)}

	err := guard.Call(func() error {
		d.do(func(time.Time) member.Output { panic("unexpected message") })
		return nil
	})
	if !errors.Is(err, guard.ErrPanic) {
		t.Errorf("got %v, want %v", err, guard.ErrPanic)
	}

	if !d.mu.TryLock() {
		t.Error("got the lock taken, want it free")
	}
}
