package upstream_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/protocol/relay"
	"github.com/apricotway/apricotway/state/retrybudget"
	"github.com/apricotway/apricotway/state/route"
	"github.com/apricotway/apricotway/transport/upstream"
)

// changingCatalog is a configuration that a test changes while calls wait.
type changingCatalog struct{ table atomic.Pointer[route.Table] }

func (c *changingCatalog) Table() *route.Table            { return c.table.Load() }
func (c *changingCatalog) AwaitKeys(context.Context) bool { return true }

func (c *changingCatalog) AwaitCurrent(context.Context) bool { return true }

func (c *changingCatalog) Outdated() bool { return false }

// waitingLimiter admits a call once the test has changed the configuration.
type waitingLimiter struct {
	*limiter

	asked, changed chan struct{}
}

func (l *waitingLimiter) Take(ctx context.Context, workspace apricotway.Workspace, cost float64) (time.Duration, bool) {
	close(l.asked)
	<-l.changed

	return l.limiter.Take(ctx, workspace, cost)
}

// callWait is what a call waits for while the configuration changes.
type callWait string

const (
	waitBody     callWait = "for its body"
	waitLimit    callWait = "for its limit"
	waitSecond   callWait = "for a second server"
	waitAnswer   callWait = "for its answer"
	waitNextPart callWait = "for the rest of its answer"
)

// waitingCall is a call that waits while the test changes the configuration and the servers.
type waitingCall struct {
	*harness

	catalog *changingCatalog
	wait    callWait
	// waits is closed once the call waits, and changed once everything has changed.
	waits, changed chan struct{}
}

// newWaitingCall returns a call to two servers.
func newWaitingCall(t *testing.T, wait callWait) *waitingCall {
	t.Helper()

	c := &waitingCall{catalog: &changingCatalog{}, wait: wait, waits: make(chan struct{}), changed: make(chan struct{})}

	later := func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		streamOf(2, 0)(w, r)
	}
	first := later

	switch wait {
	case waitBody, waitLimit:
	case waitSecond:
		first = func(w http.ResponseWriter, r *http.Request) {
			close(c.waits)
			<-c.changed
			rejecting(w, r)
		}
	case waitAnswer:
		first = func(w http.ResponseWriter, r *http.Request) {
			close(c.waits)
			<-c.changed
			later(w, r)
		}
	case waitNextPart:
		first = func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(w, event(1))
			_ = http.NewResponseController(w).Flush()

			close(c.waits)
			<-c.changed

			_, _ = io.WriteString(w, event(2))
		}
	}

	answer := firstThen(first, later)
	c.harness = newHarness(t, answer, answer)
	c.catalog.table.Store(route.New(deployment()))

	var limits relay.Limiter = c.limiter
	if wait == waitLimit {
		limits = &waitingLimiter{limiter: c.limiter, asked: c.waits, changed: c.changed}
	}

	budget := retrybudget.New(retrybudget.Limits{Ratio: 0.2, Window: 10 * time.Second, Slack: 100})
	c.front = httptest.NewServer(relay.New(testDialect{}, upstream.New(), c.catalog, c.pool, limits, budget, c.tally))
	t.Cleanup(c.front.Close)

	return c
}

// send sends the call, with the change in its middle, and returns the answer.
func (c *waitingCall) send(path string, change func()) (*http.Response, string, error) {
	conn, err := new(net.Dialer).DialContext(c.t.Context(), "tcp", c.front.Listener.Addr().String())
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = conn.Close() }()

	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\nAttempt: 1\r\nKey: secret\r\nWait: 3s\r\nContent-Length: 4\r\n\r\n", path)
	if c.wait == waitBody {
		write(conn, head+"bo")
		<-time.After(50 * time.Millisecond)
		change()
		write(conn, "dy")
	} else {
		write(conn, head+"body")
		<-c.waits
		change()
		close(c.changed)
	}

	_ = conn.SetReadDeadline(time.Now().Add(4 * time.Second))

	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()

	content, err := io.ReadAll(response.Body)

	return response, string(content), err
}

// changeServers replaces the servers by one of the given service, at the address of one that was there.
func (c *waitingCall) changeServers(service apricotway.Service) {
	var address netip.AddrPort

	for _, backend := range c.pool.Backends() {
		address = backend.Address
		c.pool.Remove(backend.ID, time.Now())
	}

	if service != "" {
		c.pool.Update(apricotway.Backend{ID: "new", Service: service, Slots: 8, Address: address}, time.Now())
	}
}

// TestConfigurationChangedWhileCallWaits guards against calls that get neither a whole answer nor a true refusal because the configuration
// or the servers change while they wait.
func TestConfigurationChangedWhileCallWaits(t *testing.T) {
	changes := map[string]func(c *waitingCall, d *apricotway.Deployment){
		"no routes": func(_ *waitingCall, d *apricotway.Deployment) { d.Routes = nil },
		"no keys":   func(_ *waitingCall, d *apricotway.Deployment) { d.Workspaces[0].Keys = []string{"other"} },
		"no workspaces": func(_ *waitingCall, d *apricotway.Deployment) {
			d.Workspaces = nil
		},
		"limit lower": func(_ *waitingCall, d *apricotway.Deployment) {
			d.Workspaces[0].Limit = apricotway.TokenLimit{Rate: 0.001, Burst: 0.001}
		},
		"bodies smaller": func(_ *waitingCall, d *apricotway.Deployment) { d.Limits.BodyBytes = 1 },
		"timeout shorter": func(_ *waitingCall, d *apricotway.Deployment) {
			for i := range d.Routes {
				d.Routes[i].Timeout = time.Millisecond
			}
		},
		"split": func(_ *waitingCall, d *apricotway.Deployment) {
			for i := range d.Routes {
				d.Routes[i].Targets = []apricotway.RouteTarget{{Service: "s", Weight: 1}, {Service: "s2", Weight: 99}}
			}
		},
		"service renamed": func(c *waitingCall, d *apricotway.Deployment) {
			for i := range d.Routes {
				d.Routes[i].Targets = []apricotway.RouteTarget{{Service: "s2", Weight: 1}}
			}

			d.Services = []apricotway.ServiceRule{{Name: "s2"}}

			c.changeServers("s2")
		},
		"servers replaced": func(c *waitingCall, _ *apricotway.Deployment) { c.changeServers("s") },
		"servers gone":     func(c *waitingCall, _ *apricotway.Deployment) { c.changeServers("") },
		"servers leaving": func(c *waitingCall, _ *apricotway.Deployment) {
			for _, backend := range c.pool.Backends() {
				backend.Leaving = true
				c.pool.Update(backend, time.Now())
			}
		},
	}
	// refused are the changes after which a call that has no server gets none.
	refused := map[string]bool{"service renamed": true, "servers gone": true, "servers leaving": true}

	for name, change := range changes {
		for _, wait := range []callWait{waitBody, waitLimit, waitSecond, waitAnswer, waitNextPart} {
			for _, path := range []string{"/safe/x", "/unsafe/x", "/stream/x", "/resumable/x"} {
				t.Run(fmt.Sprintf("%s/%s%s", name, wait, strings.TrimSuffix(path, "/x")), func(t *testing.T) {
					t.Parallel()

					c := newWaitingCall(t, wait)
					d := deployment()
					d.Version = 2

					response, got, err := c.send(path, func() { //nolint:bodyclose // send has read and closed it.
						change(c, d)
						c.catalog.table.Store(route.New(d))
					})
					if err != nil {
						t.Fatalf("got %q and %v, want a whole answer", got, err)
					}

					if refused[name] && wait != waitAnswer && wait != waitNextPart {
						if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" {
							t.Errorf("got status %d with Retry-After %q, want 503 with one", response.StatusCode, response.Header.Get("Retry-After"))
						}

						return
					}

					if want := event(1) + event(2); response.StatusCode != http.StatusOK || got != want {
						t.Errorf("got status %d with %q, want 200 with %q", response.StatusCode, got, want)
					}
				})
			}
		}
	}
}

// provenLate is a configuration whose confirmation comes with a newer one.
type provenLate struct {
	changingCatalog

	newer *route.Table
}

func (c *provenLate) AwaitKeys(context.Context) bool {
	c.table.Store(c.newer)
	return true
}

// TestConfigurationOlderThanItsProof guards against calls that are decided by the configuration of before the wait for its confirmation.
func TestConfigurationOlderThanItsProof(t *testing.T) {
	for _, test := range []struct {
		name   string
		older  func(d *apricotway.Deployment)
		newer  func(d *apricotway.Deployment)
		status int
	}{
		{
			name:   "key taken away",
			newer:  func(d *apricotway.Deployment) { d.Workspaces[0].Keys = []string{"other"} },
			status: http.StatusUnauthorized,
		},
		{
			name:   "key added",
			older:  func(d *apricotway.Deployment) { d.Workspaces[0].Keys = []string{"other"} },
			status: http.StatusOK,
		},
		{
			name:   "route dropped",
			newer:  func(d *apricotway.Deployment) { d.Routes = nil },
			status: http.StatusNotFound,
		},
		{
			name: "route to another service",
			newer: func(d *apricotway.Deployment) {
				for i := range d.Routes {
					d.Routes[i].Targets = []apricotway.RouteTarget{{Service: "none", Weight: 1}}
				}
			},
			status: http.StatusServiceUnavailable,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()

			h := newHarness(t, ok)
			older, newer := deployment(), deployment()
			newer.Version = 2

			if test.older != nil {
				test.older(older)
			}

			if test.newer != nil {
				test.newer(newer)
			}

			catalog := &provenLate{newer: route.New(newer)}
			catalog.table.Store(route.New(older))

			budget := retrybudget.New(retrybudget.Limits{Ratio: 0.2, Window: 10 * time.Second, Slack: 100})
			h.front = httptest.NewServer(relay.New(testDialect{}, upstream.New(), catalog, h.pool, h.limiter, budget, h.tally))
			t.Cleanup(h.front.Close)

			h.wantStatus("/unsafe/", nil, test.status)

			want := int64(0)
			if test.status == http.StatusOK {
				want = 1
			}

			h.wantRuns(want)
		})
	}
}
