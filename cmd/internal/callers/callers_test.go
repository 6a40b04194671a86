package callers_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/cmd/internal/callers"
)

const request = "GET / HTTP/1.1\r\nHost: h.example\r\n\r\n"

// delayedListener accepts connections whose reads can be held back.
type delayedListener struct {
	net.Listener

	accepted chan *delayedConn
}

func (l delayedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}

	delayed := &delayedConn{Conn: conn, read: make(chan struct{}), closing: make(chan struct{})}
	l.accepted <- delayed

	return delayed, nil
}

// delayedConn delays the return of a read, once delay is set, until the server has begun to close the connection.
type delayedConn struct {
	net.Conn

	delay, delayed atomic.Bool
	read, closing  chan struct{}
	once           sync.Once
	// total is the number of bytes that were read, and reads the number of reads that began.
	total, reads atomic.Int64
}

// awaitRead waits until a number of bytes has been read and the server waits for more.
func (c *delayedConn) awaitRead(t *testing.T, count int64, reads int64) {
	t.Helper()

	for end := time.Now().Add(10 * time.Second); c.total.Load() < count || c.reads.Load() < reads; {
		if time.Now().After(end) {
			t.Fatalf("got %d bytes in %d reads, want %d in %d", c.total.Load(), c.reads.Load(), count, reads)
		}

		<-time.After(time.Millisecond)
	}
}

func (c *delayedConn) Read(buffer []byte) (int, error) {
	c.reads.Add(1)

	n, err := c.Conn.Read(buffer)
	c.total.Add(int64(n))

	if n > 0 && c.delay.CompareAndSwap(true, false) {
		c.delayed.Store(true)
		close(c.read)
		<-c.closing
	}

	return n, err
}

func (c *delayedConn) SetReadDeadline(deadline time.Time) error {
	if !deadline.IsZero() && deadline.Before(time.Now()) {
		c.endDelay()
	}

	return c.Conn.SetReadDeadline(deadline)
}

func (c *delayedConn) Close() error {
	c.endDelay()

	return c.Conn.Close()
}

func (c *delayedConn) endDelay() {
	if c.delayed.Load() {
		c.once.Do(func() { close(c.closing) })
	}
}

// start serves the handler and returns the server and a function that opens a connection to it.
func start(t *testing.T, handler http.HandlerFunc, options ...callers.Option) (*callers.Server, func() (net.Conn, *delayedConn)) {
	t.Helper()

	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}

	delayed := delayedListener{listener, make(chan *delayedConn, 1)}
	server := callers.New(t.Context(), &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}, delayed, options...)

	go func() { _ = server.Serve() }()

	t.Cleanup(server.Close)

	return server, func() (net.Conn, *delayedConn) {
		var dialer net.Dialer

		conn, err := dialer.DialContext(t.Context(), "tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}

		t.Cleanup(func() { _ = conn.Close() })

		return conn, <-delayed.accepted
	}
}

func exchange(t *testing.T, conn net.Conn) string {
	t.Helper()

	if _, err := io.WriteString(conn, request); err != nil {
		t.Fatal(err)
	}

	return answer(t, conn)
}

func answer(t *testing.T, conn net.Conn) string {
	t.Helper()

	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err.Error()
	}
	defer response.Body.Close()

	return response.Status
}

// TestRequestReadWhileIdleConnectionsClose guards against running a request whose connection is closed as idle.
func TestRequestReadWhileIdleConnectionsClose(t *testing.T) {
	var runs atomic.Int32

	server, dial := start(t, func(http.ResponseWriter, *http.Request) { runs.Add(1) })
	conn, accepted := dial()

	if got, want := exchange(t, conn), "200 OK"; got != want {
		t.Fatalf("first request: got %s, want %s", got, want)
	}

	// The next read is that of the second request, after the server has marked the connection as idle.
	accepted.delay.Store(true)

	if _, err := io.WriteString(conn, request); err != nil {
		t.Fatal(err)
	}

	<-accepted.read

	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()

	drained := make(chan error, 1)

	go func() { drained <- server.Drain(ctx) }()

	if got, want := answer(t, conn), "200 OK"; got != want {
		t.Errorf("second request: got %s, want %s", got, want)
	}

	if err := <-drained; err != nil {
		t.Errorf("got %v from Drain, want no error", err)
	}

	t.Logf("the handler ran %d times", runs.Load())
}

// TestUnusedConnectionDelaysStop guards against waiting for, and serving, connections that have sent no request when the server stops.
func TestUnusedConnectionDelaysStop(t *testing.T) {
	server, dial := start(t, func(http.ResponseWriter, *http.Request) {})
	conn, _ := dial()

	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()

	if err := server.Drain(ctx); err != nil {
		t.Errorf("got %v, want no error", err)
	}

	_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second)) // Fails on a closed connection only.

	if n, err := conn.Read(make([]byte, 1)); n != 0 || err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("got %d bytes and error %v, want a closed connection", n, err)
	}
}

// TestAbortWithoutAnswer guards against ending unfinished requests, also those whose body has not arrived, without an answer.
func TestAbortWithoutAnswer(t *testing.T) {
	for _, c := range []struct{ name, request string }{
		{"handler waits", request},
		{"body missing", "POST / HTTP/1.1\r\nHost: h.example\r\nContent-Length: 5\r\n\r\nab"},
	} {
		t.Run(c.name, func(t *testing.T) {
			running := make(chan struct{})
			server, dial := start(t, func(w http.ResponseWriter, r *http.Request) {
				close(running)
				_, _ = io.Copy(io.Discard, r.Body)
				<-r.Context().Done()

				w.Header().Set("Connection", "close")

				if errors.Is(context.Cause(r.Context()), apricotway.ErrStopping) {
					w.WriteHeader(http.StatusBadGateway)
				}
			})
			conn, _ := dial()

			if _, err := io.WriteString(conn, c.request); err != nil {
				t.Fatal(err)
			}

			<-running

			ended, cancel := context.WithCancel(t.Context())
			cancel()

			if err := server.Drain(ended); err == nil {
				t.Error("got no error from Drain, want that of the context")
			}

			ctx, cancelAbort := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancelAbort()

			if err := server.Abort(ctx); err != nil {
				t.Errorf("got %v from Abort, want no error", err)
			}

			if got, want := answer(t, conn), "502 Bad Gateway"; got != want {
				t.Errorf("got %s, want %s", got, want)
			}
		})
	}
}

// TestConnectionResetBeforeItIsAccepted guards against resetting the connections that the system has set up, and the requests on them, when
// a busy process stops to accept connections.
func TestConnectionResetBeforeItIsAccepted(t *testing.T) {
	const late = 20

	busy := make(chan struct{})

	var accepted atomic.Int32

	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}

	server := callers.New(t.Context(), &http.Server{Handler: http.NotFoundHandler(), ReadHeaderTimeout: time.Minute}, listener,
		callers.WithAccepted(func() {
			if accepted.Add(1) == 1 {
				<-busy
			}
		}))

	go func() { _ = server.Serve() }()

	t.Cleanup(server.Close)

	var conns []net.Conn

	for range late + 1 {
		conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}

		t.Cleanup(func() { _ = conn.Close() })

		if _, err := io.WriteString(conn, request); err != nil {
			t.Fatal(err)
		}

		conns = append(conns, conn)
	}

	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()

	drained := make(chan error, 1)

	go func() { drained <- server.Drain(ctx) }()

	<-time.After(100 * time.Millisecond)
	close(busy)

	for i, conn := range conns {
		if got, want := answer(t, conn), "404 Not Found"; got != want {
			t.Errorf("connection %d: got %s, want %s", i, got, want)
		}

		_ = conn.Close()
	}

	if err := <-drained; err != nil {
		t.Errorf("got %v, want the server drained", err)
	}
}
