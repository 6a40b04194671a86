package scenario

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apricotway/apricotway/platform/standin"
)

const (
	stoppedAttempt = "stopped"
	stoppedEvents  = 100
)

// stoppingEngines are engines that stream without a length. They don't answer orders to move a run, and stop it.
type stoppingEngines struct {
	platform *standin.Platform
	ordered  chan struct{}
	order    sync.Once
}

func streamEvent(id int) string { return fmt.Sprintf("id: %d\ndata: %d\n\n", id, id) }

// start starts an engine and registers it.
func (e *stoppingEngines) start(t *testing.T, id string) {
	t.Helper()

	server := httptest.NewUnstartedServer(nil)
	server.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Apricotway-Attempt-Id", r.Header.Get("Apricotway-Attempt-Id"))
		w.Header().Set("Apricotway-Instance-Id", id)
		w.Header().Set("Content-Type", "text/event-stream")

		_, _ = io.Copy(io.Discard, r.Body) // The body is of no interest.

		switch {
		case r.URL.Path == "/-/kv-move":
			e.order.Do(func() { close(e.ordered) })
			<-r.Context().Done()
		case r.Header.Get("Apricotway-Attempt-Id") == stoppedAttempt && r.Header.Get("Last-Event-Id") == "":
			e.stop(t, w, func() error { return e.register(id, server, "draining", 2) })
		case r.URL.Path != "/healthz":
			last := 0
			_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &last)

			for next := last + 1; next <= stoppedEvents; next++ {
				_, _ = io.WriteString(w, streamEvent(next)) // Fails only if the caller has left.
			}
		}
	})
	server.Start()
	t.Cleanup(server.CloseClientConnections)

	if err := e.register(id, server, "ready", 1); err != nil {
		t.Fatal(err)
	}
}

// register writes the entry of an engine with a state.
func (e *stoppingEngines) register(id string, server *httptest.Server, state string, sequence int) error {
	return e.platform.PutServer(id, map[string]any{
		"service": "model", "address": server.Listener.Addr().String(), "zone": "a", "slots": 8, "state": state, "seq": sequence, "born": 1,
	})
}

// stop streams from an engine that leaves until it has got an order to move the run, and closes the connection between two events.
func (e *stoppingEngines) stop(t *testing.T, w http.ResponseWriter, leave func() error) {
	t.Helper()

	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		t.Error(err)
		return
	}
	defer func() { _ = conn.Close() }()

	head := "HTTP/1.1 200 OK\r\nApricotway-Attempt-Id: " + stoppedAttempt + "\r\nContent-Type: text/event-stream\r\n\r\n"
	if _, err := io.WriteString(conn, head); err != nil {
		t.Error(err)
	}

	if err := leave(); err != nil {
		t.Error(err)
	}

	for id := 1; id < stoppedEvents; id++ {
		_, _ = io.WriteString(conn, streamEvent(id)) // Fails only if the process has given the stream up.

		select {
		case <-e.ordered:
			return
		case <-time.After(40 * time.Millisecond):
		}
	}
}

// TestStreamOfEngineThatStopsItUnanswered guards against an entry host that passes on a part of a stream without a length as the whole, after
// the engine has carried out an order to move the run and not answered it.
func TestStreamOfEngineThatStopsItUnanswered(t *testing.T) {
	t.Parallel()

	s := newEntryPlatform(t, 1, entryConfig)
	engines := &stoppingEngines{platform: s.platform, ordered: make(chan struct{})}
	engines.start(t, "i-1")
	engines.start(t, "i-2")
	s.startEntries(1)
	s.awaitServing()
	s.call(t.Context(), http.DefaultClient, s.entries[0].callers, stoppedAttempt, true)

	got := s.answers[len(s.answers)-1]
	want := strings.Builder{}

	for id := 1; id <= stoppedEvents; id++ {
		want.WriteString(streamEvent(id))
	}

	if got.err != nil || got.body != want.String() {
		t.Errorf("got %d events and %v, want all %d", strings.Count(got.body, "id:"), got.err, stoppedEvents)
	}
}
