package engine_test

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/transport/engine"
)

// TestPauseOfRefusal guards against losing the pause that an engine names when it turns a request away.
func TestPauseOfRefusal(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Retry-After", "2.5")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer server.Close()

	_, err := engine.New().Generate(t.Context(), apricotway.BackendServer{
		Address: netip.MustParseAddrPort(server.Listener.Addr().String()),
	}, apricotway.GenerateRequest{Attempt: "1"})

	var turnedAway *apricotway.PauseError
	if !errors.Is(err, apricotway.ErrBackendRefused) || !errors.As(err, &turnedAway) || turnedAway.Pause.For != 2500*time.Millisecond {
		t.Errorf("got %v, want a refusal with a pause of 2.5 s", err)
	}
}
