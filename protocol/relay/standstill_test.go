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

// standstill is longer than the timeout of a call and the reserve for writing its answer.
const standstill = 1500 * time.Millisecond

// standingServers answer after a standstill of the process, in which no timer fires.
type standingServers struct{ *scriptedServers }

func (s standingServers) Send(
	ctx context.Context, address netip.AddrPort, call apricotway.ForwardedCall,
) (*apricotway.ForwardedAnswer, error) {
	<-time.After(standstill)

	return s.scriptedServers.Send(context.WithoutCancel(ctx), address, call)
}

// TestAnswerLostAfterStandstill guards against closing the connection of a call whose answer is there, because the process stood still for
// longer than the call's time.
func TestAnswerLostAfterStandstill(t *testing.T) {
	for _, test := range []struct {
		name   string
		result result
		want   int
	}{
		{"answer", resultAnswered, http.StatusOK},
		{"error of the server", resultFailed, http.StatusInternalServerError},
		{"lost", resultLost, http.StatusGatewayTimeout},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()

			pool := dispatch.New()
			pool.Update(apricotway.Backend{ID: "a", Service: "s", Slots: 8, Address: netip.MustParseAddrPort("127.0.0.1:1")}, time.Now())

			budget := retrybudget.New(retrybudget.Limits{Ratio: 1, Window: time.Second, Slack: 100})
			servers := standingServers{&scriptedServers{results: []result{test.result}}}
			front := httptest.NewServer(relay.New(dialect{}, servers, catalog{routes(apricotway.RouteUnsafe, false, 1)}, pool, noLimits{},
				budget, tally.New(time.Second)))
			defer front.Close()

			request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, front.URL, bytes.NewReader([]byte("x")))
			if err != nil {
				t.Fatal(err)
			}

			request.Host = "h"

			response, err := front.Client().Do(request)
			if err != nil {
				t.Fatalf("got %v, want status %d", err, test.want)
			}
			defer response.Body.Close()

			if _, err := io.Copy(io.Discard, response.Body); err != nil || response.StatusCode != test.want {
				t.Errorf("got status %d and %v, want %d", response.StatusCode, err, test.want)
			}
		})
	}
}
