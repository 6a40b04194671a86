package relay_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/protocol/relay"
	"github.com/apricotway/apricotway/state/dispatch"
	"github.com/apricotway/apricotway/state/origin"
	"github.com/apricotway/apricotway/state/retrybudget"
	"github.com/apricotway/apricotway/state/tally"
)

// sharingOrigins are origins whose store does what a test says.
type sharingOrigins struct {
	sharing origin.Sharing
	settles bool
	// settling is set once a call waits.
	settling bool
}

func (o *sharingOrigins) Began(time.Time, apricotway.AttemptID, apricotway.Backend) origin.Sharing {
	return o.sharing
}

func (o *sharingOrigins) Settle(ctx context.Context, _ apricotway.AttemptID) {
	o.settling = true
	if !o.settles {
		<-ctx.Done()
	}
}

func (*sharingOrigins) Find(context.Context, apricotway.Service, apricotway.AttemptID) origin.Origin {
	return origin.Unknown()
}

func (*sharingOrigins) Await(context.Context) {}

func (*sharingOrigins) Recorded(apricotway.AttemptID) (origin.Origin, bool) {
	return origin.Origin{}, false
}

// answeringServer answers each call with a stream of one event.
type answeringServer struct{}

func (answeringServer) Send(context.Context, netip.AddrPort, apricotway.ForwardedCall) (*apricotway.ForwardedAnswer, error) {
	return &apricotway.ForwardedAnswer{
		Status: http.StatusOK, Header: http.Header{"Content-Type": {"text/event-stream"}}, Length: -1,
		Body: io.NopCloser(strings.NewReader("id: 1\ndata: 1\n\n")),
	}, nil
}

// TestFirstEventBeforeItsOriginIsShared guards against passing on the first event of a stream before other processes can learn where it began, and
// against withholding it for long if nobody can take it for one of another version.
func TestFirstEventBeforeItsOriginIsShared(t *testing.T) {
	for _, test := range []struct {
		name    string
		sharing origin.Sharing
		settles bool
		// waits is set if the event has to wait.
		waits bool
	}{
		{"shared", origin.SharingNone, false, false},
		{"written in time", origin.SharingPending, true, true},
		{"not written in time", origin.SharingPending, false, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			pool := dispatch.New()
			pool.Update(apricotway.Backend{ID: "a", Service: "s", Slots: 8, Address: netip.MustParseAddrPort("127.0.0.1:1")}, time.Now())

			origins := &sharingOrigins{sharing: test.sharing, settles: test.settles}
			budget := retrybudget.New(retrybudget.Limits{Ratio: 1, Window: time.Second, Slack: 100})
			front := httptest.NewServer(relay.New(dialect{}, answeringServer{}, catalog{routes(apricotway.RouteStream, true, 1)}, pool, noLimits{},
				budget, tally.New(time.Second), relay.WithOrigins(origins)))
			defer front.Close()

			request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, front.URL, strings.NewReader("x"))
			if err != nil {
				t.Fatal(err)
			}

			request.Host = "h"

			response, err := front.Client().Do(request)
			if err != nil {
				t.Fatal(err)
			}
			defer response.Body.Close()

			body, err := io.ReadAll(response.Body)
			if err != nil {
				t.Fatal(err)
			}

			if got, want := string(body), "data: 1"; response.StatusCode != http.StatusOK || !strings.Contains(got, want) {
				t.Errorf("got status %d and %q, want %d and a body with %q", response.StatusCode, got, http.StatusOK, want)
			}

			if got, want := origins.settling, test.waits; got != want {
				t.Errorf("got waiting %v, want %v", got, want)
			}
		})
	}
}
