package upstream_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apricotway/apricotway/protocol/relay"
	"github.com/apricotway/apricotway/state/retrybudget"
	"github.com/apricotway/apricotway/state/route"
	"github.com/apricotway/apricotway/transport/upstream"
)

// silentAfter answers with a stream of two events, and is silent for a while after the given one. It ends when its caller leaves.
func silentAfter(id int, silence time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)

		var last int

		_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &last)

		for next := last; next <= 2; next++ {
			if next > last {
				_, _ = io.WriteString(w, event(next))
				_ = http.NewResponseController(w).Flush()
			}

			if next != id {
				continue
			}

			select {
			case <-time.After(silence):
			case <-r.Context().Done():
				return
			}
		}
	}
}

// firstThen returns a handler that all servers share: the first call gets one answer, the later ones another.
func firstThen(first, later http.HandlerFunc) http.HandlerFunc {
	var calls atomic.Int64

	return func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) == 1 {
			first(w, r)
			return
		}

		later(w, r)
	}
}

// limitRetries starts a relay before the servers whose retry budget has the given slack, which allows one retry if it is 2, and whose
// streams have an objective of 500 ms, pauses of 400 ms and the given number of attempts.
func (h *harness) limitRetries(slack float64, attempts int) {
	d := deployment()

	for i := range d.Routes {
		d.Routes[i].Objective, d.Routes[i].LongestPause = 500*time.Millisecond, 400*time.Millisecond
		if d.Routes[i].Resumable {
			d.Routes[i].MaxAttempts = attempts
		}
	}

	h.catalog.table = route.New(d)
	budget := retrybudget.New(retrybudget.Limits{Window: 10 * time.Second, Slack: slack})
	h.front = httptest.NewServer(relay.New(testDialect{}, upstream.New(), h.catalog, h.pool, h.limiter, budget, h.tally))
	h.t.Cleanup(h.front.Close)
}

// TestSoundServerReplacedAfterShortSilence guards against moving a stream whose server is silent for little more than a second.
func TestSoundServerReplacedAfterShortSilence(t *testing.T) {
	for name, last := range map[string]int{"before the first event": 0, "between events": 1} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			answer := silentAfter(last, 1400*time.Millisecond)
			h := newHarness(t, answer, answer)
			h.limitRetries(100, 3)

			_, got, err := h.call("/resumable/", nil) //nolint:bodyclose // The call has read and closed it.
			if want := event(1) + event(2); err != nil || got != want {
				t.Errorf("got %q and %v, want %q", got, err, want)
			}

			h.wantRuns(1)
		})
	}
}

// TestDeadServerOutlastsCaller guards against leaving a stream at a server that is silent for good until its caller gives up.
func TestDeadServerOutlastsCaller(t *testing.T) {
	const patience = 3200 * time.Millisecond

	for name, last := range map[string]int{"before the first event": 0, "between events": 1} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			answer := firstThen(silentAfter(last, time.Minute), streamOf(2, 0))
			h := newHarness(t, answer, answer)
			h.limitRetries(2, 2)

			began := time.Now()
			_, got, err := h.call("/resumable/", nil) //nolint:bodyclose // The call has read and closed it.

			if want := event(1) + event(2); err != nil || got != want {
				t.Errorf("got %q and %v, want %q", got, err, want)
			}

			if took := time.Since(began); took >= patience {
				t.Errorf("got the next event after %s, want less than %s", took, patience)
			}
		})
	}
}

// TestSilentStreamEndedBeforeItsTime guards against ending a stream whose only server is silent before its time is used up, and long after.
func TestSilentStreamEndedBeforeItsTime(t *testing.T) {
	const timeout = 2500 * time.Millisecond

	for _, path := range []string{"/stream/", "/resumable/"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()

			h := newHarness(t, silentAfter(1, time.Minute))
			h.limitRetries(100, 2)

			began := time.Now()

			_, got, err := h.call(path, map[string]string{"Wait": timeout.String()}) //nolint:bodyclose // The call has read and closed it.
			if want := event(1); err == nil || got != want {
				t.Errorf("got %q and %v, want %q and an error", got, err, want)
			}

			if took := time.Since(began); took < timeout || took > timeout+time.Second {
				t.Errorf("got the end after %s, want it after %s", took, timeout)
			}

			h.wantRuns(1)
		})
	}
}
