package upstream_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apricotway/apricotway"
)

// refusals are the answers by which a server says that it did not run a call, with the attempt left out.
var refusals = map[string]string{
	"503": "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\n",
	"429": "HTTP/1.1 429 Too Many Requests\r\nNot-Run: 1\r\n",
	"421": "HTTP/1.1 421 Misdirected Request\r\nNot-Run: 1\r\n",
}

// TestRefusalWrittenAgain guards against a refusal that a server writes again being taken for the answer to a later call on the
// connection, which the server runs: that call would be refused as not run, or run at another server too.
func TestRefusalWrittenAgain(t *testing.T) {
	const noBody = "Content-Length: 0\r\n\r\n"

	for refusalName, refusal := range refusals {
		for name, test := range map[string]struct {
			// second is the attempt of the call that runs, copied the refusal that is written again.
			second, copied string
			// atOnce is set when it follows the first one immediately.
			atOnce bool
		}{
			"at once":            {second: "2", copied: refusal + "Attempt: 1\r\n" + noBody, atOnce: true},
			"at once, half":      {second: "2", copied: refusal[:20], atOnce: true},
			"later":              {second: "2", copied: refusal + "Attempt: 1\r\n" + noBody},
			"without an attempt": {second: "2", copied: refusal + noBody},
			"half a body":        {second: "2", copied: refusal + "Attempt: 1\r\nContent-Length: 9\r\n\r\nhalf"},
			"same attempt":       {second: "1", copied: refusal + "Attempt: 1\r\n" + noBody},
			"same attempt, many": {second: "1", copied: strings.Repeat(refusal+"Attempt: 1\r\n"+noBody, 3)},
		} {
			t.Run(refusalName+"/"+name, func(t *testing.T) {
				var (
					runs     atomic.Int64
					refused  sync.Map
					answered = "Content-Length: 3\r\n\r\nown"
				)

				answer := func(conn net.Conn, head string) bool {
					first := strings.Contains(head, "First: 1\r\n")
					if first {
						refused.Store(conn, true)
						write(conn, refusal+"Attempt: 1\r\n"+noBody)

						if test.atOnce {
							write(conn, test.copied)
						}

						return true
					}

					runs.Add(1)

					// The copy arrives before the answer of the call that runs.
					if _, again := refused.Load(conn); again && !test.atOnce {
						write(conn, test.copied)
					}

					write(conn, "HTTP/1.1 200 OK\r\nAttempt: "+test.second+"\r\n"+answered)

					return true
				}

				h := newHarness(t)
				for _, id := range []apricotway.BackendServerID{"a", "b"} {
					h.pool.Update(apricotway.Backend{ID: id, Service: "s", Slots: 8, Address: newBackend(t, answer).address}, time.Now())
				}

				h.call("/unsafe/", map[string]string{"First": "1", "Wait": "50ms"}) //nolint:bodyclose,errcheck // The call has read and closed it.

				response, got, err := h.call("/unsafe/", map[string]string{"Attempt": test.second, "Wait": "1s"}) //nolint:bodyclose // The call has read and closed it.
				if err != nil {
					t.Fatal(err)
				}

				switch response.StatusCode {
				case http.StatusOK:
					if want := "own"; got != want {
						t.Errorf("got %q, want %q", got, want)
					}
				case http.StatusBadGateway:
					if name != "half a body" {
						t.Errorf("got status %d with %q, want 200", response.StatusCode, got)
					}
				default:
					t.Errorf("got status %d, which says that the call did not run", response.StatusCode)
				}

				if got, want := runs.Load(), int64(1); got != want {
					t.Errorf("got %d runs, want %d", got, want)
				}
			})
		}
	}
}

// TestPromiseOfServer guards against statuses which tell the caller that its call did not run, from a server that has not said so. A
// call that may be repeated gets them unchanged.
func TestPromiseOfServer(t *testing.T) {
	for _, status := range []int{
		http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable,
	} {
		for path, want := range map[string]int{
			"/safe/": status, "/unsafe/": http.StatusBadGateway, "/stream/": http.StatusBadGateway, "/resumable/": status,
		} {
			t.Run(fmt.Sprint(status, path), func(t *testing.T) {
				answer := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }
				h := newHarness(t, answer, answer, answer)
				h.wantStatus(path, nil, want)
			})
		}
	}
}
