package daemon

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/thejerf/suture/v4"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/coordination/inventory"
	"github.com/apricotway/apricotway/protocol/call"
	"github.com/apricotway/apricotway/transport/service"
)

// pausingHost is a host list with one server of a service.
type pausingHost struct{ address netip.AddrPort }

func (h pausingHost) Hosts(context.Context) ([]apricotway.BackendServer, error) {
	return []apricotway.BackendServer{{ID: "a", Service: "ledger", Address: h.address, State: apricotway.HostLive}}, nil
}

// TestPlainCallsDuringPause guards against calls for a server that has turned one away and named a pause, and against callers that are not told
// of it.
func TestPlainCallsDuringPause(t *testing.T) {
	var requests atomic.Int32

	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		requests.Add(1)
		w.Header().Set("Retry-After", "20")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer server.Close()

	ctx, cancel := context.WithCancel(t.Context())
	supervisor := suture.NewSimple("test")
	known := inventory.New(supervisor, pausingHost{netip.MustParseAddrPort(server.Listener.Addr().String())})
	done := supervisor.ServeBackground(ctx)

	defer func() {
		cancel()

		if err := <-done; !errors.Is(err, context.Canceled) {
			t.Errorf("got end %v, want %v", err, context.Canceled)
		}
	}()

	<-known.Ready()

	calls := call.New(service.New(), known)
	once := call.NewSender(service.New(), known)
	run := func(timeout time.Duration) error {
		answer, err := calls.Run(ctx, call.Request{
			ID: "1", Service: "ledger", Deadline: time.Now().Add(timeout), Call: apricotway.ServiceCall{Method: http.MethodGet, Path: "/"},
		})
		if err == nil && answer.Status != http.StatusServiceUnavailable {
			t.Errorf("got status %d, want that of the server", answer.Status)
		}

		return err
	}

	if err := run(time.Minute); err != nil {
		t.Fatal(err)
	}

	for timeout, atLeast := range map[time.Duration]time.Duration{time.Minute: 15 * time.Second, 10 * time.Second: time.Second} {
		var refusal *apricotway.Refusal
		if err := run(timeout); !errors.As(err, &refusal) || refusal.RetryAfter < atLeast || refusal.RetryAfter > timeout {
			t.Errorf("with %s left: got %+v, want a refusal with a retry after %s or more", timeout, err, atLeast)
		}
	}

	if _, err := once(ctx, "ledger", apricotway.ServiceCall{Method: http.MethodPost, Path: "/"}); !errors.Is(err, apricotway.ErrNotSent) {
		t.Errorf("call that runs once: got %v, want %v", err, apricotway.ErrNotSent)
	}

	if got, want := requests.Load(), int32(1); got != want {
		t.Errorf("got %d calls at the server, want %d", got, want)
	}
}
