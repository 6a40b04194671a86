package upstream_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/protocol/relay"
	"github.com/apricotway/apricotway/state/dispatch"
	"github.com/apricotway/apricotway/state/retrybudget"
	"github.com/apricotway/apricotway/state/route"
	"github.com/apricotway/apricotway/state/tally"
	"github.com/apricotway/apricotway/transport/upstream"
)

// catalog is a fake configuration whose content the tests set.
type catalog struct {
	table *route.Table
	stale bool
}

func (c *catalog) Table() *route.Table               { return c.table }
func (c *catalog) AwaitKeys(context.Context) bool    { return !c.stale }
func (c *catalog) AwaitCurrent(context.Context) bool { return !c.stale }
func (c *catalog) Outdated() bool                    { return false }

// limiter is a fake rate limiter that admits calls until its units are used up.
type limiter struct {
	mu   sync.Mutex
	left float64
}

func (l *limiter) Take(_ context.Context, _ apricotway.Workspace, cost float64) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if l.left < cost {
		return 1500 * time.Millisecond, false
	}

	l.left -= cost

	return 0, true
}

func (l *limiter) Return(_ apricotway.Workspace, cost float64) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.left += cost
}

// harness is a relay in front of backend servers whose handlers the test supplies.
type harness struct {
	t       *testing.T
	catalog *catalog
	limiter *limiter
	pool    *dispatch.Pool
	tally   *tally.Counter
	front   *httptest.Server
	// runs counts the calls that reached backend servers.
	runs atomic.Int64
	// move handles requests to move a run to another server; if it is nil they fail.
	move func() (copied bool, err error)
}

// Move implements apricotway.Mover.
func (h *harness) Move(
	ctx context.Context, source netip.AddrPort, _ apricotway.AttemptID, _ netip.AddrPort,
) (apricotway.RunKVCache, bool, error) {
	memory := apricotway.RunKVCache{Source: source, Handle: "handle"}
	if h.move == nil {
		return memory, false, apricotway.ErrRunUnknown
	}

	copied, err := h.move()
	if ctx.Err() != nil {
		return memory, false, ctx.Err()
	}

	return memory, copied, err
}

// deployment returns a configuration with one route of each kind, named after its path.
func deployment() *apricotway.Deployment {
	target := []apricotway.RouteTarget{{Service: "s", Weight: 1}}

	return &apricotway.Deployment{
		Version: 1,
		Routes: []apricotway.Route{
			{
				Name: "safe", Host: "h.example", PathPrefix: "/safe/", Targets: target, Kind: apricotway.RouteSafe,
				MaxAttempts: 2, Timeout: 5 * time.Second, Objective: time.Second,
			},
			{
				Name: "unsafe", Host: "h.example", PathPrefix: "/unsafe/", Targets: target, Kind: apricotway.RouteUnsafe,
				MaxAttempts: 1, Timeout: 5 * time.Second,
			},
			{
				Name: "stream", Host: "h.example", PathPrefix: "/stream/", Targets: target, Kind: apricotway.RouteStream,
				MaxAttempts: 1, Timeout: 5 * time.Second,
			},
			{
				Name: "resumable", Host: "h.example", PathPrefix: "/resumable/", Targets: target,
				Kind: apricotway.RouteStream, Resumable: true, MaxAttempts: 3, Timeout: 5 * time.Second,
			},
			{
				Name: "public", Host: "h.example", PathPrefix: "/public/", Targets: target, Kind: apricotway.RouteSafe,
				MaxAttempts: 1, Timeout: 300 * time.Millisecond, Public: true,
			},
		},
		Services:   []apricotway.ServiceRule{{Name: "s"}},
		Workspaces: []apricotway.WorkspaceRule{{Name: "w", Keys: []string{"secret"}, Limit: apricotway.TokenLimit{Rate: 1}}},
		Limits:     apricotway.CallerLimits{BodyBytes: 1000},
	}
}

func newHarness(t *testing.T, servers ...http.HandlerFunc) *harness {
	t.Helper()

	h := &harness{
		t: t, catalog: &catalog{table: route.New(deployment())}, limiter: &limiter{left: 1000},
		pool: dispatch.New(), tally: tally.New(5 * time.Second),
	}

	for i, serve := range servers {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			h.runs.Add(1)
			w.Header().Set("Attempt", r.Header.Get("Attempt"))
			serve(w, r)
		}))
		t.Cleanup(server.Close)

		h.pool.Update(apricotway.Backend{
			ID: apricotway.BackendServerID(fmt.Sprint("b", i)), Service: "s", Slots: 8,
			Address: netip.MustParseAddrPort(server.Listener.Addr().String()),
		}, time.Now())
	}

	h.replaceRelay(relay.WithMover(h))

	return h
}

// replaceRelay starts a relay with the given options in front of the servers.
func (h *harness) replaceRelay(options ...relay.Option) {
	budget := retrybudget.New(retrybudget.Limits{Ratio: 0.2, Window: 10 * time.Second, Slack: 100})
	h.front = httptest.NewServer(relay.New(testDialect{}, upstream.New(), h.catalog, h.pool, h.limiter, budget, h.tally, options...))
	h.t.Cleanup(h.front.Close)
}

// call sends one call and returns the response, its body and an error of sending or reading.
func (h *harness) call(path string, header map[string]string) (*http.Response, string, error) {
	h.t.Helper()

	request, err := http.NewRequestWithContext(h.t.Context(), http.MethodPost, h.front.URL+path, strings.NewReader("body"))
	if err != nil {
		h.t.Fatal(err)
	}

	request.Host = "h.example"
	request.Header.Set("Attempt", "1")
	request.Header.Set("Key", "secret")

	for name, value := range header {
		request.Header.Set(name, value)
	}

	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()

	content, err := io.ReadAll(response.Body)

	return response, string(content), err
}

// wantStatus sends one call, checks the status of the answer and returns its header.
func (h *harness) wantStatus(path string, header map[string]string, want int) http.Header {
	h.t.Helper()

	response, body, err := h.call(path, header) //nolint:bodyclose // The call has read and closed it.
	if err != nil {
		h.t.Fatalf("%s: got error %v, want status %d", path, err, want)
	}

	if got := response.StatusCode; got != want {
		h.t.Errorf("%s: got status %d with %q, want %d", path, got, body, want)
	}

	return response.Header
}

func (h *harness) wantRuns(want int64) {
	h.t.Helper()

	if got := h.runs.Load(); got != want {
		h.t.Errorf("got %d calls at backend servers, want %d", got, want)
	}
}

func ok(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "fine") }

// reset closes the connection after the call has been read.
func reset(w http.ResponseWriter, _ *http.Request) {
	if conn, _, err := w.(http.Hijacker).Hijack(); err == nil {
		_ = conn.Close()
	}
}

func failing(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusInternalServerError)
	_, _ = io.WriteString(w, "broken")
}

func rejecting(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// TestForwarded checks the call that the backend server receives: body and target are unchanged, the workspace replaces the key,
// the time limit is at most the remaining time, and headers reserved for the system are not taken from the caller.
func TestForwarded(t *testing.T) {
	var got *http.Request

	h := newHarness(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		got = r.Clone(context.WithoutCancel(r.Context()))
		got.Header.Set("Body", string(body))
		ok(w, r)
	})
	h.wantStatus("/safe/a%2Fb?q=1", map[string]string{"Wait": "2s", "Workspace": "forged", "Server": "forged", "X": "y"}, 200)

	for name, want := range map[string]string{
		"Body": "body", "Workspace": "w", "Server": "b0", "Key": "", "X": "y", "Attempt": "1",
	} {
		if value := got.Header.Get(name); value != want {
			t.Errorf("header %s: got %q, want %q", name, value, want)
		}
	}

	if want := "/safe/a%2Fb?q=1"; got.RequestURI != want {
		t.Errorf("got target %s, want %s", got.RequestURI, want)
	}

	if left, err := time.ParseDuration(got.Header.Get("Wait")); err != nil || left > 2*time.Second || left <= 0 {
		t.Errorf("got time left %s and %v, want above 0 and at most 2s", left, err)
	}
}

// TestRefusals checks the status and Retry-After header of calls that are refused before anything is sent.
func TestRefusals(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(h *harness)
		path   string
		header map[string]string
		want   int
		retry  bool
	}{
		{name: "no attempt", path: "/safe/", header: map[string]string{"Attempt": ""}, want: 400},
		{name: "no route", path: "/none/", want: 404},
		{name: "unknown key", path: "/safe/", header: map[string]string{"Key": "other"}, want: 401},
		{name: "no key", path: "/safe/", header: map[string]string{"Key": ""}, want: 401},
		{name: "stale keys", path: "/safe/", change: func(h *harness) { h.catalog.stale = true }, want: 503, retry: true},
		{name: "no configuration", path: "/safe/", change: func(h *harness) { h.catalog.table = nil }, want: 503, retry: true},
		{name: "over the limit", path: "/safe/", change: func(h *harness) { h.limiter.left = 0.5 }, want: 429, retry: true},
		{name: "no server", path: "/safe/", change: func(h *harness) { h.pool.Remove("b0", time.Now()) }, want: 503, retry: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, ok)
			if test.change != nil {
				test.change(h)
			}

			header := h.wantStatus(test.path, test.header, test.want)
			if got := header.Get("Retry-After") != ""; got != test.retry {
				t.Errorf("got Retry-After: %t, want %t", got, test.retry)
			}

			h.wantRuns(0)
		})
	}
}

// TestStaleKeysPublic guards against outdated keys causing refusals on public routes, which need no key.
func TestStaleKeysPublic(t *testing.T) {
	h := newHarness(t, ok)
	h.catalog.stale = true
	h.wantStatus("/public/", map[string]string{"Key": ""}, 200)
}

// TestRepeats checks that a call is sent again only if its route allows repeats or the server reports that it did not run it.
func TestRepeats(t *testing.T) {
	for _, test := range []struct {
		name, path string
		first      http.HandlerFunc
		want       int
		wantRuns   int64
	}{
		{"safe call reset", "/safe/", reset, 200, 2},
		{"safe call failed", "/safe/", failing, 200, 2},
		{"unsafe call reset", "/unsafe/", reset, 502, 1},
		{"unsafe call failed", "/unsafe/", failing, 500, 1},
		{"unsafe call rejected", "/unsafe/", rejecting, 200, 2},
		{"stream reset", "/stream/", reset, 502, 1},
		{"resumable stream reset", "/resumable/", reset, 200, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			var calls atomic.Int64

			answer := func(w http.ResponseWriter, r *http.Request) {
				if calls.Add(1) == 1 {
					test.first(w, r)
					return
				}

				ok(w, r)
			}
			h := newHarness(t, answer, answer)
			h.wantStatus(test.path, nil, test.want)
			h.wantRuns(test.wantRuns)
		})
	}
}

// TestAllRejected checks that 503 is returned if every server reports that it did not run the call, and that the cost of the call
// is refunded to the limiter.
func TestAllRejected(t *testing.T) {
	h := newHarness(t, rejecting, rejecting)
	before := h.limiter.left
	h.wantStatus("/unsafe/", nil, 503)

	if got := h.limiter.left; got != before {
		t.Errorf("got %v units left, want %v", got, before)
	}
}

// TestServerAnswersUnchanged checks that status and body of a server's error answer reach the caller unchanged.
func TestServerAnswersUnchanged(t *testing.T) {
	h := newHarness(t, failing, failing)

	response, body, err := h.call("/safe/", nil) //nolint:bodyclose // The call has read and closed it.
	if err != nil {
		t.Fatal(err)
	}

	if got, want := fmt.Sprint(response.StatusCode, body), "500broken"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

// TestTimeout checks that the caller gets a final answer as soon as the route's timeout expires, and that the call to the server
// is cancelled.
func TestTimeout(t *testing.T) {
	left := make(chan struct{})
	h := newHarness(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		close(left)
	})
	h.wantStatus("/public/", map[string]string{"Key": "", "Wait": "1m"}, 504)
	<-left
}

// TestRelayCallerLeaves guards against engines that keep working for a caller that has closed its connection.
func TestRelayCallerLeaves(t *testing.T) {
	arrived, left := make(chan struct{}), make(chan struct{})
	h := newHarness(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		close(arrived)
		<-r.Context().Done()
		close(left)
	})

	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-arrived
		cancel()
	}()

	request, err := http.NewRequestWithContext(ctx, http.MethodPost, h.front.URL+"/unsafe/", strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}

	request.Host = "h.example"
	request.Header.Set("Attempt", "1")
	request.Header.Set("Key", "secret")

	if response, err := http.DefaultTransport.RoundTrip(request); err == nil {
		response.Body.Close()
		t.Error("got an answer, want an error")
	}

	<-left
}

// event returns the server-sent event with the given ID.
func event(id int) string { return fmt.Sprintf("id: %d\ndata: token %d\n\n", id, id) }

// streamOf returns a handler that streams the events after Last-Event-Id. If cut is above 0, it closes the connection in the
// middle of that event.
func streamOf(events, cut int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var last int

		_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &last)
		w.Header().Set("Content-Type", "text/event-stream")

		for id := last + 1; id <= events; id++ {
			if id == cut {
				_, _ = io.WriteString(w, event(id)[:9])
				_ = http.NewResponseController(w).Flush()

				panic(http.ErrAbortHandler)
			}

			_, _ = io.WriteString(w, event(id))
			_ = http.NewResponseController(w).Flush()
		}
	}
}

// TestResume checks that a resumable stream whose engine disconnects within an event continues on another engine after the last
// complete event, and that the caller gets every event once.
func TestResume(t *testing.T) {
	var calls atomic.Int64

	answer := func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) == 1 {
			streamOf(9, 5)(w, r)
			return
		}

		streamOf(9, 0)(w, r)
	}
	h := newHarness(t, answer, answer)

	_, got, err := h.call("/resumable/", nil) //nolint:bodyclose // The call has read and closed it.
	if err != nil {
		t.Fatal(err)
	}

	want := ""
	for id := 1; id <= 9; id++ {
		want += event(id)
	}

	if got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

// TestBrokenStream checks that a broken stream that is not resumable reaches the caller as far as it arrived and does not look
// complete.
func TestBrokenStream(t *testing.T) {
	h := newHarness(t, streamOf(9, 5), streamOf(9, 5))

	_, got, err := h.call("/stream/", nil) //nolint:bodyclose // The call has read and closed it.
	if err == nil {
		t.Error("got a complete answer, want an error")
	}

	if want := event(1) + event(2) + event(3) + event(4); !strings.HasPrefix(got, want) {
		t.Errorf("got %q, want it to begin with %q", got, want)
	}

	h.wantRuns(1)
}

// TestSilentStream checks that a resumable stream whose engine stops sending continues on another engine.
func TestSilentStream(t *testing.T) {
	var calls atomic.Int64

	answer := func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) == 1 {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(w, event(1))
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()

			return
		}

		streamOf(3, 0)(w, r)
	}
	h := newHarness(t, answer, answer)
	d := deployment()

	for i := range d.Routes {
		d.Routes[i].Objective, d.Routes[i].LongestPause = 20*time.Millisecond, 10*time.Millisecond
	}

	h.catalog.table = route.New(d)

	_, got, err := h.call("/resumable/", nil) //nolint:bodyclose // The call has read and closed it.
	if want := event(1) + event(2) + event(3); err != nil || got != want {
		t.Errorf("got %q and %v, want %q", got, err, want)
	}
}

// TestUsage checks that a call is counted once for its workspace however often it was sent, and that refused calls are not
// counted.
func TestUsage(t *testing.T) {
	var calls atomic.Int64

	answer := func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) == 1 {
			reset(w, r)
			return
		}

		ok(w, r)
	}
	h := newHarness(t, answer, answer)
	h.wantStatus("/safe/", nil, 200)
	h.wantStatus("/safe/", map[string]string{"Key": "other"}, 401)

	var got int64
	for _, window := range h.tally.Counts(0) {
		got += window["w"]
	}

	if want := int64(1); got != want {
		t.Errorf("got %d calls, want %d", got, want)
	}
}

// TestBodies checks that calls with a body that is too large or truncated are not forwarded.
func TestBodies(t *testing.T) {
	h := newHarness(t, ok)

	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, h.front.URL+"/safe/",
		strings.NewReader(strings.Repeat("x", 1001)))
	if err != nil {
		t.Fatal(err)
	}

	request.Host = "h.example"
	request.Header.Set("Attempt", "1")
	request.Header.Set("Key", "secret")

	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		t.Fatal(err)
	}

	response.Body.Close()

	if got, want := response.StatusCode, http.StatusRequestEntityTooLarge; got != want {
		t.Errorf("got status %d, want %d", got, want)
	}

	h.wantRuns(0)
}

// movableStream simulates the engines of a stream that is moved. The first engine disconnects within an event once stop is closed.
type movableStream struct {
	// stop is closed to stop the run; leave is called before the third event.
	stop  chan struct{}
	leave func(server string)
	calls atomic.Int64
	// second is the header of the call that continues the stream.
	second http.Header
}

func (m *movableStream) serve(w http.ResponseWriter, r *http.Request) {
	if m.calls.Add(1) > 1 {
		m.second = r.Header.Clone()
		streamOf(9, 0)(w, r)

		return
	}

	_, _ = io.Copy(io.Discard, r.Body)
	_, _ = io.WriteString(w, event(1)+event(2))
	_ = http.NewResponseController(w).Flush()

	m.leave(r.Header.Get("Server"))

	_, _ = io.WriteString(w, event(3)+event(4)[:5])
	_ = http.NewResponseController(w).Flush()

	select {
	case <-m.stop:
		panic(http.ErrAbortHandler)
	case <-r.Context().Done():
	}
}

// TestMove checks that a stream of an engine that is leaving is moved, even if its route is not resumable: the run is stopped and
// continues on the server that holds its memory, and the caller gets every event once. If copying the memory failed, the run
// continues on its source.
func TestMove(t *testing.T) {
	for name, copied := range map[string]bool{"copied": true, "copy failed": false} {
		t.Run(name, func(t *testing.T) {
			m := &movableStream{stop: make(chan struct{})}
			h := newHarness(t, m.serve, m.serve)
			source := ""
			m.leave = func(server string) {
				source = server

				for _, backend := range h.pool.Backends() {
					if string(backend.ID) == server {
						backend.Leaving = true
						h.pool.Update(backend, time.Now())
					}
				}
			}
			h.move = func() (bool, error) {
				close(m.stop)
				return copied, nil
			}

			_, got, err := h.call("/stream/", nil) //nolint:bodyclose // The call has read and closed it.

			want := ""
			for id := 1; id <= 9; id++ {
				want += event(id)
			}

			if err != nil || got != want {
				t.Errorf("got %q and %v, want %q", got, err, want)
			}

			if got := m.second.Get("Memory"); got == "" {
				t.Error("the moved run started over, want it continued from its memory")
			}

			if got := m.second.Get("Server") == source; got == copied {
				t.Errorf("got the run at its source: %t, want %t", got, !copied)
			}
		})
	}
}

// TestNotMoved checks that a stream stays on an engine that is leaving if the engine does not know the run any longer.
func TestNotMoved(t *testing.T) {
	h := newHarness(t, streamOf(9, 0))

	for _, backend := range h.pool.Backends() {
		backend.Leaving = true
		defer h.pool.Update(backend, time.Now())
	}

	_, got, err := h.call("/stream/", nil) //nolint:bodyclose // The call has read and closed it.
	if want := event(9); err != nil || !strings.HasSuffix(got, want) {
		t.Errorf("got %q and %v, want it to end with %q", got, err, want)
	}
}

// TestLongAnswer checks answers that are too long to be buffered: they arrive whole, and a truncated one does not look complete.
func TestLongAnswer(t *testing.T) {
	long := strings.Repeat("0123456789abcdef", 200_000)

	for name, cut := range map[string]bool{"whole": false, "cut": true} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Length", fmt.Sprint(len(long)))

				if cut {
					_, _ = io.WriteString(w, long[:2_000_000])

					panic(http.ErrAbortHandler)
				}

				_, _ = io.WriteString(w, long)
			})

			_, got, err := h.call("/unsafe/", nil) //nolint:bodyclose // The call has read and closed it.
			if cut && err == nil {
				t.Errorf("got %d bytes without an error, want one", len(got))
			}

			if !cut && (err != nil || got != long) {
				t.Errorf("got %d bytes and %v, want %d", len(got), err, len(long))
			}
		})
	}
}

// TestEvents checks streams with either line ending, and answers on a stream route that are not event streams.
func TestEvents(t *testing.T) {
	const eventStream, text = "text/event-stream; charset=utf-8", "text/plain"

	for name, test := range map[string]struct {
		contentType string
		content     string
		whole       bool
	}{
		"line feeds":       {eventStream, event(1) + event(2), true},
		"carriage returns": {eventStream, strings.ReplaceAll(event(1)+event(2), "\n", "\r\n"), true},
		"mixed line ends":  {eventStream, event(1) + "id: 2\n\r\n", true},
		"empty lines":      {eventStream, event(1) + "\n\r\n", true},
		"long event":       {eventStream, strings.Repeat("x", 1<<20) + "\n\n", true},
		"no events":        {eventStream, "", true},
		"event cut":        {eventStream, event(1) + "id: 2", false},
		"long event cut":   {eventStream, strings.Repeat("x", 1<<20), false},
		"no event":         {text, strings.Repeat("x", 1<<20), true},
		"no end":           {text, event(1) + "id: 2", true},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", test.contentType)
				_, _ = io.WriteString(w, test.content)
			})

			_, got, err := h.call("/stream/", nil) //nolint:bodyclose // The call has read and closed it.
			if whole := err == nil && got == test.content; whole != test.whole {
				t.Errorf("got %d bytes and %v, want all of %d without an error: %t", len(got), err, len(test.content), test.whole)
			}

			if !strings.HasPrefix(test.content, got) {
				t.Errorf("got %q, want a beginning of the server's answer", got)
			}
		})
	}
}
