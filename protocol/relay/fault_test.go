package relay_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/internal/guard"
	"github.com/apricotway/apricotway/protocol/relay"
	"github.com/apricotway/apricotway/state/dispatch"
	"github.com/apricotway/apricotway/state/retrybudget"
	"github.com/apricotway/apricotway/state/route"
	"github.com/apricotway/apricotway/state/tally"
)

// faultyCatalog panics when a call looks for its route.
type faultyCatalog struct{ catalog }

func (faultyCatalog) Table() *route.Table { panic("broken") }

// faultyServers panic when a call is sent, or if they have a body, when it has been read.
type faultyServers struct {
	body   string
	reason any
}

// Send implements apricotway.Upstream.
func (s faultyServers) Send(
	context.Context, netip.AddrPort, apricotway.ForwardedCall,
) (*apricotway.ForwardedAnswer, error) {
	if s.body == "" {
		panic(s.reason)
	}

	return &apricotway.ForwardedAnswer{
		Status: http.StatusOK, Header: http.Header{}, Length: -1,
		Body: io.NopCloser(io.MultiReader(strings.NewReader(s.body), faultyReader{s.reason})),
	}, nil
}

// lostPaths makes every call go through another process.
type lostPaths struct{}

func (lostPaths) Lost() bool                               { return true }
func (lostPaths) Silent(time.Time)                         {}
func (lostPaths) ReportFailure(_ time.Time, report func()) { report() }
func (lostPaths) Failed(apricotway.NodeID)                 {}

func (lostPaths) Next([]apricotway.NodeID) (apricotway.Member, bool) {
	return apricotway.Member{Node: "n"}, true
}

type faultyReader struct{ reason any }

func (r faultyReader) Read([]byte) (int, error) { panic(r.reason) }

// TestFaultEndsCallWithoutAnswer guards against a fault of the program that closes the connection of a call whose answer has not begun, and
// against one that makes a begun answer look complete.
func TestFaultEndsCallWithoutAnswer(t *testing.T) {
	for _, test := range []struct {
		name    string
		kind    apricotway.RouteKind
		catalog relay.Catalog
		servers apricotway.Upstream
		options []relay.Option
		want    int
		cut     bool
	}{
		{
			name: "before the call is sent", kind: apricotway.RouteUnsafe,
			catalog: faultyCatalog{}, servers: faultyServers{}, want: http.StatusServiceUnavailable,
		},
		{
			name: "as the call is sent", kind: apricotway.RouteUnsafe,
			servers: faultyServers{reason: "broken"}, want: http.StatusBadGateway,
		},
		{
			name: "as another process gets the call", kind: apricotway.RouteUnsafe, servers: faultyServers{},
			options: []relay.Option{relay.WithDetours(lostPaths{}, faultyServers{reason: "broken"})}, want: http.StatusBadGateway,
		},
		{
			name: "aborted on purpose", kind: apricotway.RouteUnsafe,
			servers: faultyServers{reason: http.ErrAbortHandler}, want: http.StatusBadGateway,
		},
		{
			name: "in a whole answer", kind: apricotway.RouteUnsafe,
			servers: faultyServers{body: "part", reason: "broken"}, want: http.StatusBadGateway,
		},
		{
			name: "in a stream", kind: apricotway.RouteStream,
			servers: faultyServers{body: "id: 1\ndata: 1\n\n", reason: "broken"}, want: http.StatusOK, cut: true,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			pool := dispatch.New()
			pool.Update(apricotway.Backend{ID: "a", Service: "s", Slots: 8, Address: netip.MustParseAddrPort("127.0.0.1:1")}, time.Now())

			if test.catalog == nil {
				test.catalog = catalog{routes(test.kind, false, 1)}
			}

			budget := retrybudget.New(retrybudget.Limits{Ratio: 1, Window: time.Second, Slack: 100})
			front := httptest.NewServer(guard.Handler(relay.New(dialect{}, test.servers, test.catalog, pool, noLimits{}, budget,
				tally.New(time.Second), test.options...), func(error) {}))
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

			_, err = io.Copy(io.Discard, response.Body)
			if got, cut := response.StatusCode, err != nil; got != test.want || cut != test.cut {
				t.Errorf("got status %d and cut %t, want %d and %t", got, cut, test.want, test.cut)
			}
		})
	}
}
