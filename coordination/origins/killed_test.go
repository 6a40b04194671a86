package origins_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/internal/bubble"
	"github.com/apricotway/apricotway/state/origin"
)

// settle waits like a call that has the first event of a stream.
func (p *process) settle(t *testing.T, attempt apricotway.AttemptID, sharing origin.Sharing) {
	if sharing == origin.SharingNone {
		return
	}

	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()

	p.Settle(ctx, attempt)
}

// TestStreamsOfProcessKilledAtFirstEvent guards against refusing streams because their process was killed as soon as it had passed on their
// first events.
func TestStreamsOfProcessKilledAtFirstEvent(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		const count = 20

		s := newStore()
		p := start(t, s, "v1", "v2")
		<-time.After(time.Second)

		for i := range count {
			attempt := apricotway.AttemptID(fmt.Sprint(i))
			p.settle(t, attempt, p.Began(time.Now(), attempt, server("v1")))
		}

		p.kill()

		again := start(t, s, "v1", "v2")
		<-time.After(time.Second)

		for i := range count {
			again.wantVersion(t, apricotway.AttemptID(fmt.Sprint(i)), "v1")
		}

		again.kill()
	})
}

// TestFirstEventsWhileStoreTakesNoAppends guards against holding the first events of streams while the store takes no appends.
func TestFirstEventsWhileStoreTakesNoAppends(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := newStore()
		p := start(t, s, "v1", "v2")
		<-time.After(time.Second)
		s.setDown(true)

		for i := range 10 {
			attempt := apricotway.AttemptID(fmt.Sprint(i))
			began := time.Now()
			sharing := p.Began(began, attempt, server("v1"))

			if got, want := sharing, origin.SharingPending; got != want {
				t.Errorf("got sharing %q, want %q", got, want)
			}

			p.settle(t, attempt, sharing)

			if got, limit := time.Since(began), 200*time.Millisecond; i > 0 && got > 0 || got > limit {
				t.Errorf("stream %d: held for %v, want none after the first one, and at most %v", i, got, limit)
			}
		}

		p.kill()
	})
}
