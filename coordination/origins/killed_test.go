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

// settle waits like a call that has the first event of a stream, and reports whether it may pass the event on.
func (p *process) settle(t *testing.T, attempt apricotway.AttemptID, sharing origin.Sharing) bool {
	if sharing == origin.SharingNone {
		return true
	}

	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()

	return p.Settle(ctx, attempt, sharing) || sharing != origin.SharingDisputed
}

// TestStreamsOfProcessKilledAtFirstEvent guards against refusing streams because their process was killed as soon as it had passed on their
// first events.
func TestStreamsOfProcessKilledAtFirstEvent(t *testing.T) {
	for _, test := range []struct {
		name string
		// answer is the time from a send to the first event.
		answer time.Duration
	}{
		{"servers that answer at once", 0},
		{"servers that take a while", 130 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				const count = 20

				s := newStore()
				p := start(t, s, "v1", "v2")
				<-time.After(time.Second)

				for i := range count {
					attempt := apricotway.AttemptID(fmt.Sprint(i))
					p.Expect(time.Now(), attempt, server("v1"))
					<-time.After(test.answer)

					if !p.settle(t, attempt, p.Began(time.Now(), attempt, server("v1"))) {
						t.Fatalf("stream %d: got a dispute, want none", i)
					}
				}

				p.kill()

				again := start(t, s, "v1", "v2")
				<-time.After(time.Second)

				for i := range count {
					again.wantVersion(t, apricotway.AttemptID(fmt.Sprint(i)), "v1")
				}

				again.kill()
			})
		})
	}
}

// TestStreamBeganAtAnotherVersionThanExpected guards against a stream going on at the version of a server that was sent its call first but did not
// begin it.
func TestStreamBeganAtAnotherVersionThanExpected(t *testing.T) {
	for _, test := range []struct {
		name string
		// away is set if the store is away as the stream begins, and late if the first expectation is written after everything else.
		away, late bool
	}{
		{"store there", false, false},
		{"store away", true, false},
		{"expectation written late", false, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				s := newStore()
				p := start(t, s, "v1", "v2")
				<-time.After(time.Second)

				p.Expect(time.Now(), "x", server("v1"))
				<-time.After(300 * time.Millisecond)
				s.setDown(test.away)

				p.Expect(time.Now(), "x", server("v2"))

				if got, want := p.settle(t, "x", p.Began(time.Now(), "x", server("v2"))), !test.away; got != want {
					t.Errorf("got %v for whether the first event may be passed on, want %v", got, want)
				}

				p.wantVersion(t, "x", "v2")
				p.kill()
				s.setDown(false)

				if test.late {
					again, err := s.Log.Read(t.Context(), "origins-0", 1, 100, 0)
					for log := 1; err == nil && len(again.Records) == 0 && log < 4; log++ {
						again, err = s.Log.Read(t.Context(), apricotway.Stream(fmt.Sprint("origins-", log)), 1, 100, 0)
					}

					if err != nil || len(again.Records) == 0 {
						t.Fatalf("got %d records and error %v, want the expectation", len(again.Records), err)
					}

					if _, err := s.Append(t.Context(), "origins-3", []apricotway.Record{again.Records[0].Record}); err != nil {
						t.Fatal(err)
					}
				}

				again := start(t, s, "v1", "v2")
				<-time.After(time.Second)

				// With the store away, the first event has not been passed on, so that no caller asks.
				if !test.away {
					again.wantVersion(t, "x", "")
				}

				again.kill()
			})
		})
	}
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
