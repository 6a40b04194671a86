package relay_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/protocol/relay"
	"github.com/apricotway/apricotway/state/dispatch"
	"github.com/apricotway/apricotway/state/retrybudget"
	"github.com/apricotway/apricotway/state/tally"
)

// restartingServer is the first of two servers. It turns out to have started again at another version while it sends a stream, and breaks off.
type restartingServer struct {
	restart func()
	sends   atomic.Int32
}

// restartingBody runs a function at its end, which is that of a broken connection.
type restartingBody struct {
	io.Reader

	end func()
}

func (b *restartingBody) Read(buffer []byte) (int, error) {
	n, err := b.Reader.Read(buffer)
	if err != nil {
		b.end()

		err = io.ErrUnexpectedEOF
	}

	return n, err
}

// Send implements apricotway.Upstream.
func (s *restartingServer) Send(context.Context, netip.AddrPort, apricotway.ForwardedCall) (*apricotway.ForwardedAnswer, error) {
	answer := &apricotway.ForwardedAnswer{
		Status: http.StatusOK, Header: http.Header{"Content-Type": {"text/event-stream"}}, Length: -1,
		Body: io.NopCloser(strings.NewReader("id: 2\ndata: 2\n\n")),
	}

	if s.sends.Add(1) == 1 {
		answer.Body = io.NopCloser(&restartingBody{strings.NewReader("id: 1\ndata: 1\n\n"), s.restart})
	}

	return answer, nil
}

// TestResumeAfterRestartAtAnotherVersion guards against continuing a stream at the version of an entry that turned out to be older than the
// stream.
func TestResumeAfterRestartAtAnotherVersion(t *testing.T) {
	began := time.Now()
	server := func(id apricotway.BackendServerID, version apricotway.SoftwareVersion) apricotway.Backend {
		return apricotway.Backend{
			ID: id, Service: "s", Slots: 8, Address: netip.MustParseAddrPort("127.0.0.1:1"), Version: version, Born: began.Add(-time.Hour),
		}
	}

	pool := dispatch.New()
	pool.Update(server("a", "v1"), began)

	s := &restartingServer{restart: func() {
		again := server("a", "v2")
		again.Born = began
		pool.Update(again, time.Now())
		pool.Update(server("b", "v1"), time.Now())
	}}
	budget := retrybudget.New(retrybudget.Limits{Ratio: 1, Window: time.Second, Slack: 100})
	front := httptest.NewServer(relay.New(dialect{}, s, catalog{routes(apricotway.RouteStream, true, 3)}, pool, noLimits{}, budget,
		tally.New(time.Second)))
	defer front.Close()

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

	// The stream ends early.
	_, _ = io.Copy(io.Discard, response.Body)

	if got, want := s.sends.Load(), int32(1); got != want {
		t.Errorf("got %d sends, want %d", got, want)
	}
}
