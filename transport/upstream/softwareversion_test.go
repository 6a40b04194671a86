package upstream_test

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/dispatch"
	"github.com/apricotway/apricotway/state/route"
)

// versionEvents is the number of events of a stream in the tests of this file.
const versionEvents = 4

// versionEvent is an event of a server of the given version.
func versionEvent(id int, version string) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", id, version)
}

// addVersion adds a server of the given version, which answers from the last event of a call to the end.
func (h *harness) addVersion(id, version string, slots int) {
	h.addServer(id, version, slots, func(conn net.Conn, head string) bool {
		var last int

		if _, rest, ok := strings.Cut(head, "Last-Event-Id: "); ok {
			_, _ = fmt.Sscan(rest, &last)
		}

		var content strings.Builder
		for id := last + 1; id <= versionEvents; id++ {
			content.WriteString(versionEvent(id, version))
		}

		write(conn, framed(streamHead, content.String()))

		return false
	})
}

func (h *harness) addServer(id, version string, slots int, answer func(conn net.Conn, head string) bool) {
	h.pool.Update(apricotway.Backend{
		ID: apricotway.BackendServerID(id), Service: "s", Slots: slots, Version: apricotway.SoftwareVersion(version),
		Address: newBackend(h.t, answer).address,
	}, time.Now())
}

// addFirst adds a server of version v1 that sends two events, calls broken, and closes the connection in the middle of the third event.
func (h *harness) addFirst(broken func(conn net.Conn)) {
	h.addServer("first", "v1", 8, func(conn net.Conn, _ string) bool {
		write(conn, streamHead+"\r\n"+versionEvent(1, "v1")+versionEvent(2, "v1"))
		broken(conn)
		write(conn, "id: 3\nda")

		return false
	})
}

// addOthers removes the first server and adds many free servers of another version, and one of version v1 if same is set.
func (h *harness) addOthers(same bool) {
	for i := range 6 {
		h.addVersion(fmt.Sprint("new", i), "v2", 64)
	}

	if same {
		h.addVersion("old", "v1", 2)
	}

	h.pool.Remove("first", time.Now())
}

// wantVersion checks that a stream holds events of version v1 only, and that it is complete if a server of that version was left.
func wantVersion(t *testing.T, content string, complete bool) {
	t.Helper()

	want := versionEvent(1, "v1") + versionEvent(2, "v1")
	if complete {
		want += versionEvent(3, "v1") + versionEvent(4, "v1")
	}

	if content != want {
		t.Errorf("got %q, want %q", content, want)
	}
}

// TestStreamJoinedFromTwoVersions guards against an answer whose rest comes from a server of another software version than its beginning.
func TestStreamJoinedFromTwoVersions(t *testing.T) {
	for _, same := range []bool{true, false} {
		for _, test := range []struct {
			name, path string
			broken     func(h *harness, conn net.Conn)
		}{
			{"crashed", "/resumable/", func(h *harness, _ net.Conn) { h.addOthers(same) }},
			{"silent", "/resumable/", func(h *harness, conn net.Conn) {
				h.addOthers(same)

				_, _ = conn.Read(make([]byte, 1))
			}},
			{"moved", "/stream/", func(h *harness, conn net.Conn) {
				stop := make(chan struct{})
				h.move = func() (bool, error) {
					close(stop)
					return true, nil
				}

				h.addOthers(same)
				write(conn, ": still here\n\n")

				select {
				case <-stop:
				case <-time.After(time.Second):
				}
			}},
		} {
			t.Run(fmt.Sprintf("%s/same version left %t", test.name, same), func(t *testing.T) {
				h := newHarness(t)
				h.addFirst(func(conn net.Conn) { test.broken(h, conn) })

				_, got, _ := h.call(test.path, map[string]string{"Wait": "3s"}) //nolint:bodyclose // The call has read and closed it.
				wantVersion(t, strings.ReplaceAll(got, ": still here\n\n", ""), same)
			})
		}
	}
}

// TestTakeUpAtAnotherVersion guards against a stream that its caller takes up being continued by a server of another software version.
func TestTakeUpAtAnotherVersion(t *testing.T) {
	for _, same := range []bool{true, false} {
		t.Run(fmt.Sprintf("same version left %t", same), func(t *testing.T) {
			h := newHarness(t)
			h.addFirst(func(net.Conn) { h.pool.Remove("first", time.Now()) })

			_, begun, err := h.call("/resumable/", nil) //nolint:bodyclose // The call has read and closed it.
			if err == nil {
				t.Fatalf("got %q as a complete answer, want an incomplete one", begun)
			}

			h.addOthers(same)

			response, rest, err := h.call("/resumable/", map[string]string{ //nolint:bodyclose // The call has read and closed it.
				"Last-Event-Id": "2", "Resumes": "1",
			})
			if err != nil {
				t.Fatal(err)
			}

			if want := map[bool]int{true: 200, false: 503}[same]; response.StatusCode != want {
				t.Errorf("got status %d, want %d", response.StatusCode, want)
			}

			if response.StatusCode != http.StatusOK {
				rest = ""
			}

			wantVersion(t, begun+rest, same)
		})
	}
}

// TestStreamOfServerRestartedWhileStoreWasAway guards against streams joined from two versions, after a server has started again while its entry
// could not be written: neither its own streams nor those that go on there may rest on the entry of its former start. A server whose
// connections have not broken is of that entry.
func TestStreamOfServerRestartedWhileStoreWasAway(t *testing.T) {
	const outage = 2500 * time.Millisecond

	for _, test := range []struct {
		name string
		// begun is set if the stream began before the outage, held if the connections to the other server have not broken since.
		begun, held bool
		want        bool
	}{
		{"began at a server that may be of another version", false, true, false},
		{"would go on at a server that may be of another version", true, false, false},
		{"goes on at a server that has not started again", true, true, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()

			h := newHarness(t)
			h.addFirst(func(net.Conn) {
				if test.begun {
					<-time.After(outage)
				}

				h.addVersion("other", "v1", 8)
			})

			began := time.Now()
			first := h.pool.Backends()[0].Address
			h.pool.Origins().SetHeld(func(address netip.AddrPort) (time.Time, bool) {
				return began.Add(-time.Minute), test.begun && address == first || test.held && address != first
			})
			h.pool.Origins().SetListed(time.Second)

			if !test.begun {
				<-time.After(outage)
			}

			_, got, err := h.call("/resumable/", map[string]string{"Wait": "5s"}) //nolint:bodyclose // The call has read and closed it.
			if whole := err == nil && strings.Contains(got, versionEvent(4, "v1")); whole != test.want {
				t.Errorf("got %q and %v, want a whole stream: %t", got, err, test.want)
			}
		})
	}
}

// TestTakeUpRefusedAsLate guards against refusing a stream that its caller takes up because its first event, which the caller has, would be
// late at servers that are busy.
func TestTakeUpRefusedAsLate(t *testing.T) {
	h := newHarness(t)
	h.catalog.table = route.New(deploymentWith(func(r *apricotway.Route) { r.Objective = time.Millisecond }))
	h.addVersion("a", "v1", 8)

	// The work of other processes delays the first event.
	h.pool.SetOthersWork(time.Now(), map[apricotway.BackendServerID]dispatch.Work{
		"a": {Running: 4, Prefill: [dispatch.Sizes]float64{50000}, Prompts: [dispatch.Sizes]int{9}},
	})

	tokens := map[string]string{"Prompt": "100"}
	h.wantStatus("/resumable/", tokens, http.StatusServiceUnavailable)
	h.wantStatus("/resumable/", map[string]string{"Prompt": "100", "Last-Event-Id": "2", "Resumes": "1"}, http.StatusOK)
}

// deploymentWith returns the configuration of the tests with changed routes.
func deploymentWith(change func(r *apricotway.Route)) *apricotway.Deployment {
	d := deployment()
	for i := range d.Routes {
		change(&d.Routes[i])
	}

	return d
}
