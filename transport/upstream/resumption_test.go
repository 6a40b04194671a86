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

func chunk(content string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(content), content) }

// TestStoppedBeforeResumption guards against two engines that work on a stream at a time: the first one sends bytes that are no chunk
// and goes on, and the second one answers once the connection of the first one has ended.
func TestStoppedBeforeResumption(t *testing.T) {
	var sends atomic.Int64

	stopped := make(chan struct{})
	answer := func(conn net.Conn, _ string) bool {
		if sends.Add(1) == 1 {
			write(conn, streamHead+"Transfer-Encoding: chunked\r\n\r\n"+chunk(event(1))+"no chunk\r\n")

			_, _ = conn.Read(make([]byte, 1))

			close(stopped)

			return false
		}

		<-stopped
		write(conn, framed(streamHead, event(2)))

		return true
	}

	h := newHarness(t)
	for i := range 2 {
		h.pool.Update(apricotway.Backend{
			ID: apricotway.BackendServerID(fmt.Sprint(i)), Service: "s", Slots: 8, Address: newBackend(t, answer).address,
		}, time.Now())
	}

	_, got, err := h.call("/resumable/", map[string]string{"Wait": "1s"}) //nolint:bodyclose // The call has read and closed it.
	if want := event(1) + event(2); err != nil || got != want {
		t.Errorf("got %q and %v, want %q", got, err, want)
	}
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
