package relay_test

import (
	"bytes"
	"context"
	"fmt"
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
	"github.com/apricotway/apricotway/state/retrybudget"
	"github.com/apricotway/apricotway/state/tally"
)

// answerBody is the form of an answer's body.
type answerBody string

const (
	bodyEmpty   answerBody = "empty"
	bodyShort   answerBody = "short"
	bodyLong    answerBody = "long"
	bodyEndless answerBody = "endless"
	bodyCut     answerBody = "cut"
	bodySilent  answerBody = "silent"
)

// repeatingReader never ends.
type repeatingReader struct{}

func (repeatingReader) Read(buffer []byte) (int, error) { return copy(buffer, "full\n"), nil }

// silentReader sends nothing until the context ends.
type silentReader struct{ ctx context.Context }

func (r silentReader) Read([]byte) (int, error) {
	<-r.ctx.Done()
	return 0, r.ctx.Err()
}

// failingServers answer every call with one status.
type failingServers struct {
	status int
	header http.Header
	body   answerBody
}

// Send implements apricotway.Upstream.
func (s failingServers) Send(
	ctx context.Context, _ netip.AddrPort, _ apricotway.ForwardedCall,
) (*apricotway.ForwardedAnswer, error) {
	const long = 2 << 20

	answer := &apricotway.ForwardedAnswer{Status: s.status, Header: s.header.Clone(), Length: -1}

	switch s.body {
	case bodyEmpty:
		answer.Body = io.NopCloser(strings.NewReader(""))
	case bodyShort:
		answer.Body = io.NopCloser(strings.NewReader("full\n"))
	case bodyLong:
		answer.Length, answer.Body = long, io.NopCloser(io.LimitReader(repeatingReader{}, long))
	case bodyEndless:
		answer.CloseDelimited, answer.Body = true, io.NopCloser(repeatingReader{})
	case bodyCut:
		answer.Body = io.NopCloser(truncatedBody{strings.NewReader("full\n")})
	case bodySilent:
		answer.Body = io.NopCloser(silentReader{ctx})
	}

	return answer, nil
}

// TestCallThatRanAnsweredAsNotRun guards against a status by which the caller sends a call again although its server may have run it.
func TestCallThatRanAnsweredAsNotRun(t *testing.T) {
	kinds := []struct {
		kind      apricotway.RouteKind
		resumable bool
		withheld  bool
	}{
		{apricotway.RouteUnsafe, false, true},
		{apricotway.RouteStream, false, true},
		{apricotway.RouteStream, true, false},
		{apricotway.RouteSafe, false, false},
	}

	for _, kind := range kinds {
		for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
			for _, body := range []answerBody{bodyEmpty, bodyShort, bodyLong, bodyEndless, bodyCut, bodySilent} {
				for _, through := range []string{"this process", "another process"} {
					if !kind.withheld && (body == bodyEndless || body == bodyCut || body == bodySilent) {
						continue
					}

					name := fmt.Sprintf("%s, resumable %t, %d, %s body, through %s", kind.kind, kind.resumable, status, body, through)
					t.Run(name, func(t *testing.T) {
						t.Parallel()

						servers, options := failingServers{status, http.Header{}, body}, []relay.Option(nil)
						if through == "another process" {
							servers.header.Set("Apricotway-Detour", "a")
							options = append(options, relay.WithDetours(lostPaths{}, servers))
						}

						want := status
						if kind.withheld {
							want = http.StatusBadGateway
						}

						if got := statusOfCall(t, servers, kind.kind, kind.resumable, options...); got != want {
							t.Errorf("got status %d, want %d", got, want)
						}
					})
				}
			}
		}
	}
}

// TestRefusalOfAnotherProcessPassedOn guards against a call that another process has refused and not sent ending as one that may have run.
func TestRefusalOfAnotherProcessPassedOn(t *testing.T) {
	servers := failingServers{http.StatusServiceUnavailable, http.Header{}, bodyShort}

	got := statusOfCall(t, servers, apricotway.RouteUnsafe, false, relay.WithDetours(lostPaths{}, servers))
	if want := http.StatusServiceUnavailable; got != want {
		t.Errorf("got status %d, want %d", got, want)
	}
}

// statusOfCall sends one call and returns the status of its answer.
func statusOfCall(
	t *testing.T, servers apricotway.Upstream, kind apricotway.RouteKind, resumable bool, options ...relay.Option,
) int {
	t.Helper()

	pool := dispatch.New()
	pool.Update(apricotway.Backend{ID: "a", Service: "s", Slots: 8, Address: netip.MustParseAddrPort("127.0.0.1:1")}, time.Now())

	budget := retrybudget.New(retrybudget.Limits{Ratio: 1, Window: time.Second, Slack: 100})
	front := httptest.NewServer(relay.New(dialect{}, servers, catalog{routes(kind, resumable, 1)}, pool, noLimits{}, budget,
		tally.New(time.Second), options...))
	t.Cleanup(front.Close)

	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, front.URL, bytes.NewReader([]byte("x")))
	if err != nil {
		t.Fatal(err)
	}

	request.Host = "h"

	response, err := front.Client().Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()

	return response.StatusCode
}
