package service_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/transport/service"
)

// TestConnectionClosedAfterRead guards against http.Transport retrying a request on its own: if the server closes the connection
// after reading the request, there must be one execution and an error, even with an Idempotency-Key header.
func TestConnectionClosedAfterRead(t *testing.T) {
	var executions atomic.Int32

	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)

		if r.Method != http.MethodPost {
			return
		}

		executions.Add(1)

		connection, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			_ = connection.Close()
		}
	}))
	defer server.Close()

	client := service.New()
	backend := apricotway.BackendServer{Address: server.Listener.Addr().(*net.TCPAddr).AddrPort()}

	for _, once := range []bool{true, false} {
		executions.Store(0)

		// If the client pooled connections, this call would leave one in the pool.
		get := apricotway.ServiceCall{Method: http.MethodGet, Path: "/"}
		if _, err := client.Call(t.Context(), backend, get); err != nil {
			t.Fatal(err)
		}

		_, err := client.Call(t.Context(), backend, apricotway.ServiceCall{
			Method: http.MethodPost, Path: "/", Body: []byte("lot 7"), Once: once,
			Header: http.Header{"Idempotency-Key": {"k"}},
		})
		if err == nil || errors.Is(err, apricotway.ErrNotSent) {
			t.Errorf("once %v: got error %v, want an error other than ErrNotSent", once, err)
		}

		if got := executions.Load(); got != 1 {
			t.Errorf("once %v: got %d executions, want 1", once, got)
		}
	}
}

// TestAnswerBody guards against truncated or rejected answers caused by Content-Length: an answer to HEAD has the header but no
// body, and a body that is shorter than its Content-Length must be an error.
func TestAnswerBody(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/chunked":
			_ = http.NewResponseController(w).Flush()
		case "/short":
			w.Header().Set("Content-Length", "9")
		case "/empty":
			w.WriteHeader(http.StatusNoContent)
			return
		case "/large":
			_, _ = w.Write(make([]byte, 100_000))
			return
		}

		_, _ = w.Write([]byte("lot 7"))
	}))
	defer server.Close()

	client := service.New()
	backend := apricotway.BackendServer{Address: server.Listener.Addr().(*net.TCPAddr).AddrPort()}

	for _, test := range []struct {
		method, path string
		want         int
		failure      bool
	}{
		{method: http.MethodGet, path: "/known", want: 5},
		{method: http.MethodGet, path: "/chunked", want: 5},
		{method: http.MethodGet, path: "/large", want: 100_000},
		{method: http.MethodGet, path: "/empty"},
		{method: http.MethodHead, path: "/known"},
		{method: http.MethodGet, path: "/short", failure: true},
	} {
		answer, err := client.Call(t.Context(), backend, apricotway.ServiceCall{Method: test.method, Path: test.path})
		if got := err != nil; got != test.failure {
			t.Errorf("%s %s: got error %v, want an error %v", test.method, test.path, err, test.failure)
		}

		if got := len(answer.Body); got != test.want {
			t.Errorf("%s %s: got %d bytes, want %d", test.method, test.path, got, test.want)
		}
	}
}

// BenchmarkCall measures one call. The test server runs in the same process, so the figures include its work.
func BenchmarkCall(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("lot 7")) }))
	defer server.Close()

	client := service.New()
	backend := apricotway.BackendServer{Address: server.Listener.Addr().(*net.TCPAddr).AddrPort()}
	call := apricotway.ServiceCall{Method: http.MethodGet, Path: "/", Header: http.Header{"Accept": {"*/*"}, "User-Agent": {"b"}}}

	for b.Loop() {
		if _, err := client.Call(b.Context(), backend, call); err != nil {
			b.Fatal(err)
		}
	}

	b.ReportAllocs()
}

// TestLateSecondAnswer guards against returning the answer to another call: the server sends a duplicate of the last answer when
// the next call arrives on the same connection.
func TestLateSecondAnswer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()

	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}

			go func() {
				reader := bufio.NewReader(conn)

				for answer := ""; ; {
					request, err := http.ReadRequest(reader)
					if err != nil {
						_ = conn.Close()
						return
					}

					_, _ = io.WriteString(conn, answer)
					answer = fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(request.URL.Path), request.URL.Path)
					_, _ = io.WriteString(conn, answer)
				}
			}()
		}
	}()

	client := service.New()
	backend := apricotway.BackendServer{Address: listener.Addr().(*net.TCPAddr).AddrPort()}

	for _, want := range []string{"/first", "/second", "/third"} {
		answer, err := client.Call(t.Context(), backend, apricotway.ServiceCall{Method: http.MethodGet, Path: want})
		if got := string(answer.Body); err != nil || got != want {
			t.Errorf("got %q and %v, want %q", got, err, want)
		}
	}
}
