package upstream_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
)

// TestHalfHead guards against a head that its server did not finish, before it closed or reset the connection, reaching the caller as an
// answer.
func TestHalfHead(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nAttempt: 1\r\nSeal: s\r\nContent-Type: text/event-stream\r\nContent-Length: 22\r\n\r"

	for _, path := range []string{"/safe/", "/unsafe/", "/stream/", "/resumable/"} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/reset %t", strings.Trim(path, "/"), reset), func(t *testing.T) {
				for size := range len(head) + 1 {
					answer := func(conn net.Conn, _ string) bool {
						write(conn, head[:size])

						if tcp, ok := conn.(*net.TCPConn); ok && reset {
							_ = tcp.SetLinger(0)
						}

						return false
					}

					h := newHarness(t)
					h.addServer("a", "v1", 8, answer)
					h.addServer("b", "v1", 8, answer)

					response, body, err := h.call(path, map[string]string{"Wait": "1s"}) //nolint:bodyclose // The call has read and closed it.
					if err == nil && response.StatusCode < http.StatusInternalServerError {
						t.Errorf("head of %d bytes: got status %d with %q, want a failure", size, response.StatusCode, body)
					}

					if response != nil && response.Header.Get("Seal") != "" {
						t.Errorf("head of %d bytes: got the seal of the server, want none", size)
					}

					if path == "/unsafe/" && err == nil && response.StatusCode == http.StatusServiceUnavailable {
						t.Errorf("head of %d bytes: got status 503 for a call that may have run", size)
					}
				}
			})
		}
	}
}
