package httpjson_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/apricotway/apricotway/internal/blackhole"
	"github.com/apricotway/apricotway/internal/keepalive"
	"github.com/apricotway/apricotway/internal/pause"
	"github.com/apricotway/apricotway/transport/httpjson"
)

// TestSilentConnectionUsedAgain guards against requests on a kept connection that has gone silent, although it was unused for longer than
// keep-alive probes take.
func TestSilentConnectionUsedAgain(t *testing.T) {
	t.Parallel()

	listener := blackhole.Listen(t)
	server := &http.Server{
		ReadHeaderTimeout: time.Minute,
		Handler:           http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }),
	}

	go func() { _ = server.Serve(listener) }()

	t.Cleanup(func() { _ = server.Close() })

	transport := httpjson.NewTransport()
	request := func() error {
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()

		return httpjson.Do(ctx, transport, http.MethodPost, httpjson.URL(listener.Address(), "/"), struct{}{}, nil)
	}

	if err := request(); err != nil {
		t.Fatal(err)
	}

	listener.Silence(t)
	pause.For(t.Context(), keepalive.Limit+time.Second)

	if err := request(); err != nil {
		t.Errorf("after a silence of %s: got %v, want an answer on a new connection", keepalive.Limit+time.Second, err)
	}
}
