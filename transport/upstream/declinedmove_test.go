package upstream_test

import (
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apricotway/apricotway"
)

// TestMovedStreamCutWhenTargetDeclines guards against cutting a stream that was stopped for a move to a server which turns it away, while the
// server that stopped it still has its memory.
func TestMovedStreamCutWhenTargetDeclines(t *testing.T) {
	for name, declined := range map[string]string{
		"rejected":    framed("HTTP/1.1 503 Service Unavailable\r\nAttempt: 1\r\nNot-Run: 1\r\n", "foreign"),
		"misdirected": framed("HTTP/1.1 421 Misdirected Request\r\nAttempt: 1\r\nNot-Run: 1\r\n", "foreign"),
	} {
		t.Run(name, func(t *testing.T) {
			var sends atomic.Int64

			h := newHarness(t)
			stop := make(chan struct{})
			h.move = func() (bool, error) {
				close(stop)
				return true, nil
			}

			var source string

			answer := func(conn net.Conn, head string) bool {
				switch sends.Add(1) {
				case 1:
					source = conn.LocalAddr().String()

					write(conn, streamHead+"\r\n"+event(1))

					for _, backend := range h.pool.Backends() {
						backend.Leaving = backend.Address.String() == source
						h.pool.Update(backend, time.Now())
					}

					write(conn, event(2)+"id: 3\ndata: tok")
					<-stop
				case 2:
					write(conn, declined)
				default:
					if conn.LocalAddr().String() == source && strings.Contains(head, "Last-Event-Id: 2\r\n") &&
						strings.Contains(head, "Memory: "+source+"/handle\r\n") {
						write(conn, framed(streamHead, event(3)+event(4)))
					}
				}

				return false
			}

			for i := range 2 {
				h.pool.Update(apricotway.Backend{
					ID: apricotway.BackendServerID(fmt.Sprint(i)), Service: "s", Slots: 8, Address: newBackend(t, answer).address,
				}, time.Now())
			}

			_, got, err := h.call("/stream/", map[string]string{"Wait": "1s"}) //nolint:bodyclose // The call has read and closed it.
			if want := event(1) + event(2) + event(3) + event(4); err != nil || got != want {
				t.Errorf("got %q and %v, want %q", got, err, want)
			}
		})
	}
}
