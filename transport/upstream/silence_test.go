package upstream_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/apricotway/apricotway/protocol/relay"
	"github.com/apricotway/apricotway/state/retrybudget"
	"github.com/apricotway/apricotway/state/route"
	"github.com/apricotway/apricotway/transport/upstream"
)

// TestSilentServerGivenUpWithoutReplacement guards against ending an answer because its server is silent for a while and no other
// server can take over.
func TestSilentServerGivenUpWithoutReplacement(t *testing.T) {
	const objective, silence = 100 * time.Millisecond, 600 * time.Millisecond

	pausing := func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		whole := event(1) + event(2)

		if r.URL.Path == "/resumable/paused" {
			_, _ = io.WriteString(w, event(1))
			_ = http.NewResponseController(w).Flush()
			whole = event(2)
		}

		select {
		case <-time.After(silence):
			_, _ = io.WriteString(w, whole)
		case <-r.Context().Done():
		}
	}

	for _, c := range []struct {
		name    string
		servers []http.HandlerFunc
		slack   float64
	}{
		{"no other server", []http.HandlerFunc{pausing}, 100},
		{"no retry left", []http.HandlerFunc{pausing, pausing}, 0},
	} {
		for _, path := range []string{"/resumable/paused", "/resumable/late", "/safe/late"} {
			t.Run(c.name+path, func(t *testing.T) {
				h := newHarness(t, c.servers...)
				d := deployment()

				for i := range d.Routes {
					d.Routes[i].Objective, d.Routes[i].LongestPause = objective, objective/4
				}

				h.catalog.table = route.New(d)
				budget := retrybudget.New(retrybudget.Limits{Window: 10 * time.Second, Slack: c.slack})
				h.front = httptest.NewServer(relay.New(testDialect{}, upstream.New(), h.catalog, h.pool, h.limiter, budget, h.tally,
					relay.WithPatience(objective)))
				t.Cleanup(h.front.Close)

				response, got, err := h.call(path, nil) //nolint:bodyclose // The call has read and closed it.
				if err != nil {
					t.Fatal(err)
				}

				if want := event(1) + event(2); response.StatusCode != http.StatusOK || got != want {
					t.Errorf("got status %d and %q, want 200 and %q", response.StatusCode, got, want)
				}

				// A call that has not begun may be sent again to the only server.
				if c.slack == 0 || path == "/resumable/paused" {
					h.wantRuns(1)
				}
			})
		}
	}
}

// TestPausedStreamWithoutObjective guards against waiting until the timeout for an engine that stops in the middle of a resumable
// stream, when the route states neither an objective nor a longest pause.
func TestPausedStreamWithoutObjective(t *testing.T) {
	answer := func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Last-Event-Id") == "" {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(w, event(1))
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()

			return
		}

		streamOf(3, 0)(w, r)
	}
	h := newHarness(t, answer, answer)

	_, got, err := h.call("/resumable/", nil) //nolint:bodyclose // The call has read and closed it.
	if want := event(1) + event(2) + event(3); err != nil || got != want {
		t.Errorf("got %q and %v, want %q", got, err, want)
	}
}
