package upstream_test

import (
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apricotway/apricotway"
)

const streamHead = "HTTP/1.1 200 OK\r\nAttempt: 1\r\nContent-Type: text/event-stream\r\n"

// framed returns an answer with a Content-Length.
func framed(head, content string) string {
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(content), content)
}

// TestResumptionsCount guards against more runs of a stream than its route allows: every engine that was asked to continue it and did
// not say that it did not run the call counts.
func TestResumptionsCount(t *testing.T) {
	for name, answer := range map[string]string{
		"status 500": framed("HTTP/1.1 500 Internal Server Error\r\nAttempt: 1\r\n", "failed"), "closed": "",
		"JSON": framed("HTTP/1.1 200 OK\r\nAttempt: 1\r\nContent-Type: application/json\r\n", "{}"),
	} {
		t.Run(name, func(t *testing.T) {
			var sends atomic.Int64

			h := newHarness(t)
			for i := range 8 {
				h.pool.Update(apricotway.Backend{
					ID: apricotway.BackendServerID(fmt.Sprint(i)), Service: "s", Slots: 8,
					Address: newBackend(t, func(conn net.Conn, _ string) bool {
						if sends.Add(1) == 1 {
							write(conn, streamHead+"\r\n"+event(1)+"id: 2")
						} else {
							write(conn, answer)
						}

						return false
					}).address,
				}, time.Now())
			}

			_, _, _ = h.call("/resumable/", nil) //nolint:bodyclose // The call has read and closed it.

			if got, want := sends.Load(), int64(3); got != want {
				t.Errorf("got %d sends, want %d", got, want)
			}
		})
	}
}
