package entry_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apricotway/apricotway/platform/standin"
)

// TestStopUnderLoad checks a planned stop while callers continue to send: a call that reached a server is answered completely,
// and no call on a connection that the process accepted is aborted without a response.
func TestStopUnderLoad(t *testing.T) {
	s := newSite(t)
	process := s.start()
	s.eventually("the process serves", func() bool { return s.ready(0) })

	before := s.runs()

	earlier, err := process.Counter("apricotway_caller_connections_total")
	if err != nil {
		t.Fatal(err)
	}

	front := s.settings[0].Listen.Callers.String()

	var (
		callers                      sync.WaitGroup
		whole, lost, sent, connected atomic.Int64
	)

	stopped := make(chan struct{})

	// call sends one call and reads its response. It reports whether the connection can be reused.
	call := func(conn net.Conn, reader *bufio.Reader, path string) bool {
		c := standin.Call{
			Address: s.settings[0].Listen.Callers, Path: path, Attempt: fmt.Sprint("stop-", sent.Add(1)), Key: "secret", Host: "h.example",
		}
		if path == "/chat/" {
			c.Tokens = "9,9"
		}

		request, err := c.Request(t.Context())
		if err != nil {
			t.Error(err)
			return false
		}

		if err := request.Write(conn); err != nil {
			return false
		}

		response, err := http.ReadResponse(reader, request)
		if err != nil {
			lost.Add(1)
			return false
		}
		defer response.Body.Close()

		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			lost.Add(1)
			return false
		}

		if response.StatusCode == http.StatusOK {
			whole.Add(1)
		}

		return !response.Close
	}

	for i := range 48 {
		callers.Go(func() {
			path := []string{"/book/", "/chat/"}[i%2]
			// Some callers use each connection once; the others reuse it, some without and some with pauses between calls.
			pause := time.Duration(i%3) * 7 * time.Millisecond

			for {
				select {
				case <-stopped:
					return
				default:
				}

				var dialer net.Dialer

				conn, err := dialer.DialContext(t.Context(), "tcp", front)
				if err != nil {
					<-time.After(5 * time.Millisecond)
					continue
				}

				connected.Add(1)

				reader := bufio.NewReader(conn)
				for call(conn, reader, path) && i%4 != 0 {
					<-time.After(pause)
				}

				_ = conn.Close()
			}
		})
	}

	<-time.After(500 * time.Millisecond)
	process.Stop(context.Background())
	close(stopped)
	callers.Wait()

	if got, want := s.runs()-before, int(whole.Load()); got != want {
		t.Errorf("got %d calls at servers, want the %d that were answered completely", got, want)
	}

	accepted, err := process.Counter("apricotway_caller_connections_total")
	if err != nil {
		t.Fatal(err)
	}

	// The kernel may have established connections that the process had not accepted when it closed its listener.
	if got, want := lost.Load(), connected.Load()-int64(accepted-earlier); got > want {
		t.Errorf("got %d calls without a response, want at most the %d on connections that were not accepted", got, want)
	}
}
