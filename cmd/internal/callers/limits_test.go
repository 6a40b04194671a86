package callers_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/cmd/internal/callers"
)

// limited is a server with limits that a test can change, and the clock of its sweeps.
type limited struct {
	server *callers.Server
	dial   func() (net.Conn, *delayedConn)
	limits atomic.Pointer[apricotway.CallerLimits]
	ended  chan callers.Ending
	now    time.Time
}

func startLimited(t *testing.T, limits apricotway.CallerLimits, handler http.HandlerFunc) *limited {
	t.Helper()

	l := &limited{ended: make(chan callers.Ending, 1), now: time.Now()}
	l.limits.Store(&limits)
	l.server, l.dial = start(t, handler, callers.WithLimits(func() apricotway.CallerLimits { return *l.limits.Load() }),
		callers.WithEnded(func(_ *http.Request, ending callers.Ending) { l.ended <- ending }))
	l.server.Sweep(l.now)

	return l
}

// run lets a time pass for the sweeps.
func (l *limited) run(d time.Duration) {
	for end := l.now.Add(d); l.now.Before(end); {
		l.now = l.now.Add(callers.SweepPeriod)
		l.server.Sweep(l.now)
	}
}

// stand lets a time pass in which the process stands still.
func (l *limited) stand(d time.Duration) {
	l.now = l.now.Add(d)
	l.server.Sweep(l.now)
}

// closed reports whether the server closes the connection.
func closed(conn net.Conn) bool {
	_ = conn.SetReadDeadline(time.Now().Add(500 * time.Millisecond)) // Fails on a closed connection only.

	_, err := conn.Read(make([]byte, 1))

	timeout, ok := err.(interface{ Timeout() bool })

	return err != nil && (!ok || !timeout.Timeout())
}

// TestConnectionClosedBeforeItsLimit guards against closing a connection that its caller may use by the limit that it was told or by the newest
// one, and against keeping one for ever.
func TestConnectionClosedBeforeItsLimit(t *testing.T) {
	const second = time.Second

	for _, c := range []struct {
		name        string
		told, newer time.Duration
		stand, run  time.Duration
		want        bool
	}{
		{name: "used for the last time", told: 15 * second, newer: 15 * second, run: 15 * second, want: true},
		{name: "left alone", told: 15 * second, newer: 15 * second, run: 21 * second},
		{name: "limit lowered", told: 30 * second, newer: 5 * second, run: 30 * second, want: true},
		{name: "limit lowered, left alone", told: 30 * second, newer: 5 * second, run: 36 * second},
		{name: "limit raised", told: 5 * second, newer: 30 * second, run: 30 * second, want: true},
		{name: "process stood still", told: 15 * second, newer: 15 * second, stand: time.Minute, run: 15 * second, want: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := startLimited(t, apricotway.CallerLimits{HeaderBytes: 64 << 10, IdleTimeout: c.told}, writeAll)
			conn, _ := l.dial()

			if got, want := exchange(t, conn), "200 OK"; got != want {
				t.Fatalf("got %s, want %s", got, want)
			}

			<-l.ended
			l.limits.Store(&apricotway.CallerLimits{HeaderBytes: 64 << 10, IdleTimeout: c.newer})

			if c.stand > 0 {
				l.stand(c.stand)
			}

			l.run(c.run)

			if !c.want {
				if !closed(conn) {
					t.Error("got an open connection, want a closed one")
				}

				return
			}

			if got, want := exchange(t, conn), "200 OK"; got != want {
				t.Errorf("got %s, want %s", got, want)
			}
		})
	}
}

// TestKeepAliveUntrue guards against answers that announce another time than that for which the connection can be used again.
func TestKeepAliveUntrue(t *testing.T) {
	for _, c := range []struct{ name, request, want string }{
		{"kept", request, "timeout=15"},
		{"closed by the caller", strings.Replace(request, "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1), ""},
		{"HTTP/1.0", strings.Replace(request, "HTTP/1.1", "HTTP/1.0", 1), ""},
		{"HTTP/1.0, kept", "GET / HTTP/1.0\r\nHost: h.example\r\nConnection: keep-alive\r\n\r\n", "timeout=15"},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := startLimited(t, apricotway.CallerLimits{HeaderBytes: 64 << 10, IdleTimeout: 15 * time.Second}, writeAll)
			conn, _ := l.dial()

			if _, err := io.WriteString(conn, c.request); err != nil {
				t.Fatal(err)
			}

			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			defer response.Body.Close()

			if got := response.Header.Get("Keep-Alive"); got != c.want {
				t.Errorf("got Keep-Alive %q, want %q", got, c.want)
			}
		})
	}
}

// TestHeaderTimeoutIgnoresLimit guards against ending a header within the limit in force, or with a connection that is closed without an
// answer after it.
func TestHeaderTimeoutIgnoresLimit(t *testing.T) {
	const second = time.Second

	for _, c := range []struct {
		name          string
		before, newer time.Duration
		// part is sent before the time passes.
		part       string
		stand, run time.Duration
		want       string
	}{
		{name: "in time", part: request[:20], before: 6 * second, newer: 6 * second, run: 6 * second, want: "200 OK"},
		{name: "late", part: request[:20], before: 6 * second, newer: 6 * second, run: 8 * second, want: "408 Request Timeout"},
		{name: "limit raised", part: request[:20], before: 3 * second, newer: 6 * second, run: 6 * second, want: "200 OK"},
		{name: "process stood still", part: request[:20], before: 3 * second, newer: 3 * second, stand: time.Minute, run: second, want: "200 OK"},
		{name: "after empty lines", before: 3 * second, newer: 3 * second, part: "\r\n", run: 8 * second, want: "200 OK"},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := startLimited(t, apricotway.CallerLimits{HeaderBytes: 64 << 10, IdleTimeout: 15 * second, HeaderTimeout: c.before}, writeAll)
			conn, accepted := l.dial()

			if _, err := io.WriteString(conn, "POST"+strings.TrimPrefix(request, "GET")); err != nil {
				t.Fatal(err)
			}

			if got, want := answer(t, conn), "200 OK"; got != want {
				t.Fatalf("got %s, want %s", got, want)
			}

			<-l.ended

			before, reads := accepted.total.Load(), accepted.reads.Load()

			if _, err := io.WriteString(conn, c.part); err != nil {
				t.Fatal(err)
			}

			accepted.awaitRead(t, before+int64(len(c.part)), reads+1)
			l.limits.Store(&apricotway.CallerLimits{HeaderBytes: 64 << 10, IdleTimeout: 15 * second, HeaderTimeout: c.newer})

			if c.stand > 0 {
				l.stand(c.stand)
			}

			l.run(c.run)

			if c.want == "200 OK" {
				if _, err := io.WriteString(conn, strings.TrimPrefix(request, c.part)); err != nil {
					t.Fatal(err)
				}
			}

			if got := answer(t, conn); got != c.want {
				t.Errorf("got %s, want %s", got, c.want)
			}
		})
	}
}

// TestHeaderSizeIgnoresLimit guards against refusing a header within the limit in force, and against a larger one that is served or gets no
// clear answer.
func TestHeaderSizeIgnoresLimit(t *testing.T) {
	for _, c := range []struct {
		name          string
		before, newer int
		size          int
		want          string
	}{
		{"within the limit", 100 << 10, 100 << 10, 99 << 10, "200 OK"},
		{"over the limit", 16 << 10, 16 << 10, 24 << 10, "431 Request Header Fields Too Large"},
		{"far over the limit", 16 << 10, 16 << 10, 800 << 10, "431 Request Header Fields Too Large"},
		{"limit raised on an open connection", 16 << 10, 100 << 10, 99 << 10, "200 OK"},
		{"limit lowered on an open connection", 100 << 10, 16 << 10, 24 << 10, "431 Request Header Fields Too Large"},
	} {
		t.Run(c.name, func(t *testing.T) {
			limits := apricotway.CallerLimits{HeaderBytes: c.before, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
			l := startLimited(t, limits, writeAll)
			conn, _ := l.dial()

			if got, want := exchange(t, conn), "200 OK"; got != want {
				t.Fatalf("got %s, want %s", got, want)
			}

			<-l.ended

			limits.HeaderBytes = c.newer
			l.limits.Store(&limits)

			go func() {
				// The write fails if the server refuses the request before it ends.
				_, _ = io.WriteString(conn, strings.TrimSuffix(request, "\r\n")+"X: "+strings.Repeat("x", c.size)+"\r\n\r\n")
			}()

			if got := answer(t, conn); got != c.want {
				t.Errorf("got %s, want %s", got, c.want)
			}
		})
	}
}
