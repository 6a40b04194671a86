package upstream_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/protocol/relay"
	"github.com/apricotway/apricotway/transport/upstream"
)

// detours is a fake that names the given processes in turn.
type detours struct {
	lost    atomic.Bool
	members []apricotway.Member
}

func (d *detours) Lost() bool                      { return d.lost.Load() }
func (d *detours) Silent(time.Time)                {}
func (d *detours) ReportFailure(time.Time, func()) {}
func (d *detours) Failed(apricotway.NodeID)        {}

func (d *detours) Next(avoid []apricotway.NodeID) (apricotway.Member, bool) {
	for _, member := range d.members {
		if !slices.Contains(avoid, member.Node) {
			return member, true
		}
	}

	return apricotway.Member{}, false
}

// newDetouring returns a process that has lost its paths, before the given other processes.
func newDetouring(t *testing.T, others ...netip.AddrPort) (*harness, *detours) {
	t.Helper()

	d := &detours{}
	d.lost.Store(true)

	for i, address := range others {
		d.members = append(d.members, apricotway.Member{Node: apricotway.NodeID(fmt.Sprint("n", i)), Callers: address})
	}

	h := newHarness(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTeapot) })
	h.replaceRelay(relay.WithDetours(d, upstream.New()))

	return h, d
}

func (h *harness) address() netip.AddrPort {
	return netip.MustParseAddrPort(strings.TrimPrefix(h.front.URL, "http://"))
}

// TestDetour guards against calls of a process that has lost its paths being refused or changed though another process reaches the servers,
// and against charging them twice.
func TestDetour(t *testing.T) {
	for _, path := range []string{"/safe/x?q=1", "/unsafe/x", "/stream/x", "/resumable/x", "/public/x"} {
		t.Run(path, func(t *testing.T) {
			other := newHarness(t, func(w http.ResponseWriter, r *http.Request) {
				body, _ := io.ReadAll(r.Body)
				w.Header().Set("Seal", "s")
				_, _ = fmt.Fprintf(w, "%s %s %s%s", r.Method, r.RequestURI, body, r.Header.Get("Apricotway-Detour"))
			})
			h, _ := newDetouring(t, other.address())
			before := h.limiter.left

			response, body, err := h.call(path, nil) //nolint:bodyclose // The call has read and closed it.
			if want := "POST " + path + " body"; err != nil || body != want {
				t.Fatalf("got %q and %v, want %q", body, err, want)
			}

			if got := response.Header.Get("Seal") + response.Header.Get("Apricotway-Detour"); got != "s" {
				t.Errorf("got header %q, want the server's only", got)
			}

			h.wantRuns(0)
			other.wantRuns(1)

			if h.limiter.left != before {
				t.Errorf("got %g units left at the first process, want %g", h.limiter.left, before)
			}
		})
	}
}

// TestDetourRunsOnce guards against a call that must not be repeated running twice, or being said not to have run, when the other process
// ends in the middle of it.
func TestDetourRunsOnce(t *testing.T) {
	for path, want := range map[string]int{"/unsafe/": http.StatusBadGateway, "/safe/": http.StatusOK} {
		t.Run(path, func(t *testing.T) {
			other := newHarness(t, ok)
			broken := newBackend(t, func(net.Conn, string) bool { return false })
			h, _ := newDetouring(t, broken.address, other.address())
			h.wantStatus(path, nil, want)

			if want == http.StatusBadGateway {
				other.wantRuns(0)
			}
		})
	}
}

// TestDetourAfterSend guards against a call that must not be repeated being passed on after its server may have run it, and against passing
// on one that may have run as often as its route allows.
func TestDetourAfterSend(t *testing.T) {
	for path, want := range map[string]int64{"/unsafe/": 0, "/stream/": 0, "/public/": 0, "/safe/": 1} {
		t.Run(path, func(t *testing.T) {
			other := newHarness(t, ok)
			h, d := newDetouring(t, other.address())
			d.lost.Store(false)
			h.pool.Remove("b0", time.Now())
			h.addServer("broken", "v1", 8, func(net.Conn, string) bool {
				d.lost.Store(true)
				return false
			})

			status := http.StatusBadGateway
			if want > 0 {
				status = http.StatusOK
			}

			h.wantStatus(path, nil, status)
			other.wantRuns(want)
		})
	}
}

// TestDetourOutlastsStop guards against a call that a stopping process passes on and that then ends with the process.
func TestDetourOutlastsStop(t *testing.T) {
	other := newHarness(t, ok)
	h, d := newDetouring(t, other.address())
	h.replaceRelay(relay.WithDetours(d, upstream.New()), relay.WithStop(func() (time.Time, bool) { return time.Now().Add(time.Second), true }))
	h.wantStatus("/unsafe/", nil, http.StatusServiceUnavailable)
	other.wantRuns(0)
}

// TestSecondDetourOutlastsStop guards against a call that a stopping process passes on too late, after another process has turned it away.
func TestSecondDetourOutlastsStop(t *testing.T) {
	slow := newHarness(t, ok)
	slow.front = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		<-time.After(800 * time.Millisecond)
		w.Header().Set("Apricotway-Detour", "paths lost")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	t.Cleanup(slow.front.Close)

	other := newHarness(t, ok)
	h, d := newDetouring(t, slow.address(), other.address())

	var limit time.Time

	h.replaceRelay(relay.WithDetours(d, upstream.New()), relay.WithStop(func() (time.Time, bool) { return limit, !limit.IsZero() }))
	d.lost.Store(false)
	h.wantStatus("/unsafe/", nil, http.StatusTeapot)
	d.lost.Store(true)

	// After the first call, which was short, the next one is expected to take the time for which a server may be silent, 1.5 s.
	limit = time.Now().Add(2 * time.Second)
	h.wantStatus("/unsafe/", nil, http.StatusServiceUnavailable)
	other.wantRuns(0)
}

// TestDetourHeaderOfServer guards against a server whose answer has the header by which processes say that a call has not run: the call would
// run once more.
func TestDetourHeaderOfServer(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusServiceUnavailable} {
		odd := newHarness(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Apricotway-Detour", "paths lost")
			w.WriteHeader(status)
		})
		second := newHarness(t, ok)
		h, _ := newDetouring(t, odd.address(), second.address())

		_, _, _ = h.call("/unsafe/", nil) //nolint:bodyclose // The call has read and closed it.

		odd.wantRuns(1)
		second.wantRuns(0)
	}
}

// TestDetourLoops guards against calls that processes without paths pass on to each other, and against a refusal that costs the caller time.
func TestDetourLoops(t *testing.T) {
	other, lost := newDetouring(t)
	lost.members = []apricotway.Member{{Node: "self", Callers: other.address()}}
	h, _ := newDetouring(t, other.address())

	h.pool.Remove("b0", time.Now())
	other.pool.Remove("b0", time.Now())

	begun := time.Now()
	h.wantStatus("/unsafe/", nil, http.StatusServiceUnavailable)

	if got, want := time.Since(begun), time.Second; got > want {
		t.Errorf("got a refusal after %s, want it within %s", got, want)
	}
}

// TestDetourNextHelper guards against refusing a call because the first process asked has lost its paths too.
func TestDetourNextHelper(t *testing.T) {
	first, _ := newDetouring(t)
	second := newHarness(t, ok)
	h, _ := newDetouring(t, first.address(), second.address())
	h.wantStatus("/unsafe/", nil, http.StatusOK)
	second.wantRuns(1)
}

// TestDetourStream guards against a resumable stream breaking off when the process that passes it on ends.
func TestDetourStream(t *testing.T) {
	second := newHarness(t)
	second.addVersion("other", "v1", 8)

	first := newBackend(t, func(conn net.Conn, _ string) bool {
		_, _ = io.WriteString(conn, streamHead+"\r\n"+versionEvent(1, "v1")+versionEvent(2, "v1")+"id: 3\nda")
		return false
	})
	h, _ := newDetouring(t, first.address, second.address())

	_, got, err := h.call("/resumable/", nil) //nolint:bodyclose // The call has read and closed it.
	if err != nil {
		t.Errorf("got error %v, want a complete stream", err)
	}

	wantVersion(t, got, true)
}
