package relay_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/protocol/relay"
	"github.com/apricotway/apricotway/state/dispatch"
	"github.com/apricotway/apricotway/state/retrybudget"
	"github.com/apricotway/apricotway/state/tally"
)

// statingDialect reads what a server says of itself from every answer that has it.
type statingDialect struct{ dialect }

func (d statingDialect) ReadAnswer(status int, header http.Header) apricotway.AnswerMetadata {
	answer := d.dialect.ReadAnswer(status, header)
	answer.Server = apricotway.BackendServerID(header.Get("Server"))
	answer.Leaving = header.Get("Leaving") != ""

	if header.Get("Pause") != "" {
		answer.Pause = apricotway.RequestPause{Statement: apricotway.PauseStated, For: 30 * time.Second}
	}

	return answer
}

// statingServers answers at the address leaving with a result and the given header, and elsewhere completely.
type statingServers struct {
	leaving netip.AddrPort
	stating *scriptedServers
	header  http.Header
	sound   *scriptedServers
}

func (s *statingServers) Send(
	ctx context.Context, address netip.AddrPort, call apricotway.ForwardedCall,
) (*apricotway.ForwardedAnswer, error) {
	if address != s.leaving {
		return s.sound.Send(ctx, address, call)
	}

	answer, err := s.stating.Send(ctx, address, call)
	if err == nil {
		for name, values := range s.header {
			answer.Header[name] = values
		}
	}

	return answer, err
}

// stateAtRelay sends calls to two servers, of which one answers its first call with the given result and header, and returns the number
// of calls at that server.
func stateAtRelay(t *testing.T, kind apricotway.RouteKind, resumable bool, first result, header http.Header) int {
	t.Helper()

	s := &statingServers{
		leaving: netip.MustParseAddrPort("127.0.0.1:1"), header: header,
		stating: &scriptedServers{results: []result{first, resultAnswered}}, sound: &scriptedServers{results: []result{resultAnswered}},
	}

	pool := dispatch.New()
	pool.Update(apricotway.Backend{ID: "a", Service: "s", Slots: 8, Address: s.leaving}, time.Now())

	budget := retrybudget.New(retrybudget.Limits{Ratio: 1, Window: time.Second, Slack: 100})
	front := httptest.NewServer(relay.New(statingDialect{}, s, catalog{routes(kind, resumable, 3)}, pool, noLimits{}, budget,
		tally.New(time.Second)))
	defer front.Close()

	call := func() {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, front.URL, bytes.NewReader([]byte("x")))
		if err != nil {
			t.Fatal(err)
		}

		request.Host = "h"

		response, err := front.Client().Do(request)
		if err != nil {
			return
		}
		defer response.Body.Close()

		// A broken stream ends with an error.
		_, _ = io.Copy(io.Discard, response.Body)
	}

	call()
	pool.Update(apricotway.Backend{ID: "b", Service: "s", Slots: 8, Address: netip.MustParseAddrPort("127.0.0.1:2")}, time.Now())

	for range 20 {
		call()
	}

	s.stating.mu.Lock()
	defer s.stating.mu.Unlock()

	return len(s.stating.sends)
}

// TestSendsToLeavingServer guards against calls, retried and resumed ones among them, for a server whose answer said that it is leaving,
// whatever kind of answer that was.
func TestSendsToLeavingServer(t *testing.T) {
	for _, test := range []struct {
		name      string
		kind      apricotway.RouteKind
		resumable bool
		first     result
	}{
		{"answer", apricotway.RouteSafe, false, resultAnswered},
		{"rejection", apricotway.RouteUnsafe, false, resultRejected},
		{"server error", apricotway.RouteSafe, false, resultFailed},
		{"broken answer", apricotway.RouteSafe, false, resultCut},
		{"stream", apricotway.RouteStream, false, resultAnswered},
		{"broken stream", apricotway.RouteStream, true, resultCut},
		{"denial that names the server", apricotway.RouteSafe, false, resultMisdirected},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got, want := stateAtRelay(t, test.kind, test.resumable, test.first, http.Header{"Leaving": {"1"}, "Server": {"a"}}), 1; got != want {
				t.Errorf("got %d calls, want %d", got, want)
			}
		})
	}
}

// TestSendsDuringPause guards against calls for a server that has turned one away and named a pause.
func TestSendsDuringPause(t *testing.T) {
	for _, kind := range []apricotway.RouteKind{apricotway.RouteSafe, apricotway.RouteUnsafe, apricotway.RouteStream} {
		t.Run(string(kind), func(t *testing.T) {
			if got, want := stateAtRelay(t, kind, kind == apricotway.RouteStream, resultRejected, http.Header{"Pause": {"1"}}), 1; got != want {
				t.Errorf("got %d calls, want %d", got, want)
			}
		})
	}
}
