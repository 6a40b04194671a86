package upstream_test

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apricotway/apricotway/protocol/relay"
	"github.com/apricotway/apricotway/state/route"
)

// TestPlacementKeptAfterResume guards against a second placement for a stream that another engine continues after its first one broke off.
func TestPlacementKeptAfterResume(t *testing.T) {
	placed := make(chan int, 10)

	var h *harness

	answer := func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Last-Event-Id") == "" {
			streamOf(2, 2)(w, r)
			return
		}

		w.Header().Set("Content-Type", "text/event-stream")

		for id := 2; id <= 41; id++ {
			_, _ = io.WriteString(w, event(id))
			_ = http.NewResponseController(w).Flush()

			<-time.After(20 * time.Millisecond)
		}

		running := 0
		for _, work := range h.pool.OwnWork() {
			running += work.Running
		}

		placed <- running

		_, _ = io.WriteString(w, event(42))
	}

	h = newHarness(t, answer, answer, answer)
	d := deployment()

	for i := range d.Routes {
		d.Routes[i].Objective = 300 * time.Millisecond
	}

	h.catalog.table = route.New(d)
	h.replaceRelay(relay.WithPatience(time.Millisecond))
	h.wantStatus("/resumable/", nil, http.StatusOK)

	if got, want := <-placed, 1; got != want {
		t.Errorf("got %d placements for one stream, want %d", got, want)
	}

	h.wantRuns(2)
}

// TestKeptConnectionAfterStop guards against an answer without "Connection: close" to a call that was read before the process began
// to stop.
func TestKeptConnectionAfterStop(t *testing.T) {
	var stopping atomic.Bool

	h := newHarness(t, func(w http.ResponseWriter, r *http.Request) {
		stopping.Store(true)
		ok(w, r)
	})
	h.replaceRelay(relay.WithStop(func() (time.Time, bool) { return time.Now().Add(time.Minute), stopping.Load() }))

	response, _, err := h.call("/safe/", nil) //nolint:bodyclose // The call has read and closed it.
	if err != nil {
		t.Fatal(err)
	}

	if !response.Close {
		t.Error("got an answer without Connection: close, want one with it")
	}
}

// TestLongAnswerOutlastsFirstTimeout guards against cutting a long answer that has begun because its first timeout passes.
func TestLongAnswerOutlastsFirstTimeout(t *testing.T) {
	part := make([]byte, 256<<10)
	answer := func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)

		for range 10 {
			_, _ = w.Write(part)
			_ = http.NewResponseController(w).Flush()

			<-time.After(50 * time.Millisecond)
		}
	}
	h := newHarness(t, answer, answer)
	d := deployment()

	for i := range d.Routes {
		// The first timeout passes while the part that is not buffered any more is passed on.
		d.Routes[i].Objective = 500 * time.Millisecond
	}

	h.catalog.table = route.New(d)

	_, got, err := h.call("/safe/", nil) //nolint:bodyclose // The call has read and closed it.
	if err != nil || len(got) != 10*len(part) {
		t.Errorf("got %d bytes and %v, want %d", len(got), err, 10*len(part))
	}

	h.wantRuns(1)
}
