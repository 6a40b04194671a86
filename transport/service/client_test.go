package service_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/transport/service"
)

// TestConnectionClosedAfterRead guards against the repetition that http.Transport makes by itself: a pooled connection that
// is closed after the request was read must leave one execution and an error, also with an Idempotency-Key header.
func TestConnectionClosedAfterRead(t *testing.T) {
	var executions atomic.Int32

	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)

		if r.Method != http.MethodPost {
			return
		}

		executions.Add(1)

		connection, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			_ = connection.Close()
		}
	}))
	defer server.Close()

	client := service.New()
	backend := apricotway.BackendServer{Address: server.Listener.Addr().(*net.TCPAddr).AddrPort()}

	for _, once := range []bool{true, false} {
		executions.Store(0)

		// The first call leaves a connection in the pool.
		get := apricotway.ServiceCall{Method: http.MethodGet, Path: "/"}
		if _, err := client.Call(t.Context(), backend, get); err != nil {
			t.Fatal(err)
		}

		_, err := client.Call(t.Context(), backend, apricotway.ServiceCall{
			Method: http.MethodPost, Path: "/", Body: []byte("lot 7"), Once: once,
			Header: http.Header{"Idempotency-Key": {"k"}},
		})
		if err == nil || errors.Is(err, apricotway.ErrNotSent) {
			t.Errorf("once %v: got error %v, want one that leaves the execution open", once, err)
		}

		if got := executions.Load(); got != 1 {
			t.Errorf("once %v: got %d executions, want 1", once, got)
		}
	}
}
