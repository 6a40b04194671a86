package upstream_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/transport/upstream"
)

// backend is a test server. For each request it calls a function that writes the raw answer and reports whether to keep the
// connection.
type backend struct {
	address     netip.AddrPort
	connections atomic.Int64
	requests    atomic.Int64
}

func newBackend(t *testing.T, answer func(conn net.Conn, head string) bool) *backend {
	t.Helper()

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}

	t.Cleanup(func() { _ = listener.Close() })

	b := &backend{address: netip.MustParseAddrPort(listener.Addr().String())}

	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}

			b.connections.Add(1)

			go b.serve(conn, answer)
		}
	}()

	return b
}

func (b *backend) serve(conn net.Conn, answer func(conn net.Conn, head string) bool) {
	defer func() { _ = conn.Close() }()

	reader := bufio.NewReader(conn)

	for {
		var head strings.Builder

		for {
			line, err := reader.ReadString('\n')
			if err != nil {
				return
			}

			head.WriteString(line)

			if line == "\r\n" {
				break
			}
		}

		// The port may have been that of a server which processes of other tests still call.
		if !strings.Contains(head.String(), "\r\nHost: h.example\r\n") {
			write(conn, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
			return
		}

		b.requests.Add(1)

		if !answer(conn, head.String()) {
			return
		}
	}
}

func get(target string) apricotway.ForwardedCall {
	return apricotway.ForwardedCall{
		Method: http.MethodGet, Target: target, Host: "h.example", Header: http.Header{"Idempotency-Key": {"k"}},
		IsAnswer: func(_ int, header http.Header) bool { return header.Get("Id") == "1" },
	}
}

func send(t *testing.T, pool *upstream.Pool, b *backend, call apricotway.ForwardedCall) (string, error) {
	t.Helper()

	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()

	answer, err := pool.Send(ctx, b.address, call)
	if err != nil {
		return "", err
	}
	defer answer.Body.Close()

	content, err := io.ReadAll(answer.Body)

	return string(content), err
}

func write(conn net.Conn, text string) { _, _ = io.WriteString(conn, text) }

// TestNoSecondSend guards against a call running twice because the HTTP client retries it on a new connection: the backend
// server closes a reused connection after it has read the call.
func TestNoSecondSend(t *testing.T) {
	var served atomic.Int64

	b := newBackend(t, func(conn net.Conn, _ string) bool {
		if served.Add(1) > 1 {
			return false
		}

		write(conn, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok")

		return true
	})
	pool := upstream.New()

	if got, err := send(t, pool, b, get("/")); got != "ok" || err != nil {
		t.Fatalf("first call: got %q and %v, want ok", got, err)
	}

	_, err := send(t, pool, b, get("/"))
	if err == nil || errors.Is(err, apricotway.ErrNotSent) {
		t.Errorf("got error %v, want an error other than ErrNotSent", err)
	}

	if got, want := b.requests.Load(), int64(2); got != want {
		t.Errorf("got %d requests, want %d", got, want)
	}

	if got, want := b.connections.Load(), int64(1); got != want {
		t.Errorf("got %d connections, want %d", got, want)
	}
}

// TestExactCall checks that target, host and header reach the backend server as the caller wrote them, with nothing added.
func TestExactCall(t *testing.T) {
	heads := make(chan string, 1)
	b := newBackend(t, func(conn net.Conn, head string) bool {
		heads <- head

		write(conn, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 0\r\n\r\n")

		return true
	})

	if _, err := send(t, upstream.New(), b, get("/a%2Fb//c?x=%20&y")); err != nil {
		t.Fatal(err)
	}

	want := "GET /a%2Fb//c?x=%20&y HTTP/1.1\r\nHost: h.example\r\nIdempotency-Key: k\r\n\r\n"
	if got := <-heads; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

// TestForeignAnswer guards against a late answer to an earlier call being returned for the current one: it is skipped, and the
// connection is not used again.
func TestForeignAnswer(t *testing.T) {
	b := newBackend(t, func(conn net.Conn, _ string) bool {
		write(conn, "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 5\r\n\r\nwrongHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\nright")
		return true
	})
	pool := upstream.New()

	for range 2 {
		if got, err := send(t, pool, b, get("/")); got != "right" || err != nil {
			t.Errorf("got %q and %v, want right", got, err)
		}
	}

	if got, want := b.connections.Load(), int64(2); got != want {
		t.Errorf("got %d connections, want %d", got, want)
	}
}

// TestConnectionNotKept checks that a connection in an uncertain state is not used for another call.
func TestConnectionNotKept(t *testing.T) {
	for _, test := range []struct {
		name, answer string
		wantBody     string
		wantErr      bool
	}{
		{"bytes behind the body", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nokHTTP", "ok", false},
		{"close announced", "HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", "ok", false},
		{"no idle time", "HTTP/1.1 200 OK\r\nId: 1\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok", "ok", false},
		{"only foreign answers", strings.Repeat("HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 2\r\n\r\nno", 4), "", true},
		{"no answer in the protocol", "garbage\r\n\r\n", "", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newBackend(t, func(conn net.Conn, _ string) bool {
				write(conn, test.answer)
				return true
			})
			pool := upstream.New()

			for range 2 {
				got, err := send(t, pool, b, get("/"))
				if got != test.wantBody || (err != nil) != test.wantErr {
					t.Errorf("got %q and %v, want %q and an error: %t", got, err, test.wantBody, test.wantErr)
				}
			}

			if got, want := b.connections.Load(), int64(2); got != want {
				t.Errorf("got %d connections, want %d", got, want)
			}
		})
	}
}

// TestShortBody guards against a truncated body being taken for a complete one.
func TestShortBody(t *testing.T) {
	for name, answer := range map[string]string{
		"announced": "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nshort",
		"in chunks": "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			b := newBackend(t, func(conn net.Conn, _ string) bool {
				write(conn, answer)
				return false
			})

			if got, err := send(t, upstream.New(), b, get("/")); err == nil {
				t.Errorf("got body %q without an error, want one", got)
			}
		})
	}
}

// TestUnreachable checks that ErrNotSent is returned if nothing was sent, so that the call may go to another server.
func TestUnreachable(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}

	address := netip.MustParseAddrPort(listener.Addr().String())
	_ = listener.Close()

	if _, err := upstream.New().Send(t.Context(), address, get("/")); !errors.Is(err, apricotway.ErrNotSent) {
		t.Errorf("got error %v, want %v", err, apricotway.ErrNotSent)
	}
}

// TestCallerLeaves guards against engines that keep working for a caller that has disconnected: cancelling the context closes the
// connection.
func TestCallerLeaves(t *testing.T) {
	closed := make(chan struct{})
	arrived := make(chan struct{})
	b := newBackend(t, func(conn net.Conn, _ string) bool {
		close(arrived)

		_, _ = conn.Read(make([]byte, 1))

		close(closed)

		return false
	})

	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-arrived
		cancel()
	}()

	if _, err := upstream.New().Send(ctx, b.address, get("/")); !errors.Is(err, context.Canceled) {
		t.Errorf("got error %v, want %v", err, context.Canceled)
	}

	<-closed
}

// TestClosedIdleConnection guards against sending a call on an idle connection that the backend server has closed.
func TestClosedIdleConnection(t *testing.T) {
	closed := make(chan struct{}, 2)
	b := newBackend(t, func(conn net.Conn, _ string) bool {
		write(conn, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok")
		_ = conn.Close()

		closed <- struct{}{}

		return false
	})
	pool := upstream.New()

	for range 2 {
		if got, err := send(t, pool, b, get("/")); got != "ok" || err != nil {
			t.Errorf("got %q and %v, want ok", got, err)
		}

		<-closed
	}
}

// TestHeldSince guards against a server counting as of the same start after all connections to it have broken, and after it was reached again.
func TestHeldSince(t *testing.T) {
	breakOff := make(chan struct{})
	backend := newBackend(t, func(conn net.Conn, _ string) bool {
		write(conn, framed(streamHead, versionEvent(1, "v1")))
		<-breakOff

		return false
	})
	pool := upstream.New()

	if _, ok := pool.HeldSince(backend.address); ok {
		t.Error("got a held server before the first connection, want none")
	}

	send := func() {
		answer, err := pool.Send(t.Context(), backend.address, apricotway.ForwardedCall{Method: http.MethodPost, Target: "/", Host: "h.example"})
		if err != nil {
			t.Fatal(err)
		}

		if _, err := io.ReadAll(answer.Body); err != nil {
			t.Fatal(err)
		}

		if err := answer.Body.Close(); err != nil {
			t.Fatal(err)
		}
	}

	send()

	first, ok := pool.HeldSince(backend.address)
	if !ok {
		t.Fatal("got no held server with an unused connection, want one")
	}

	if again, ok := pool.HeldSince(backend.address); !ok || !again.Equal(first) {
		t.Errorf("got held since %v, %t, want %v", again, ok, first)
	}

	close(breakOff)
	<-time.After(100 * time.Millisecond)

	if since, ok := pool.HeldSince(backend.address); ok {
		t.Errorf("got held since %v after the connection has broken, want none", since)
	}

	send()

	if since, ok := pool.HeldSince(backend.address); ok && !since.After(first) {
		t.Errorf("got held since %v after the server was reached again, want later than %v", since, first)
	}
}
