package upstream_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
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

// failedResumptions are answers to a call that continues a stream after event 2. None of them is the rest of the stream, so only
// what is named in passed may reach the caller.
var failedResumptions = map[string]struct {
	answer string
	passed string
	// again is what the same answer passes to the caller when it comes once more.
	again string
}{
	"status 500":           {answer: framed("HTTP/1.1 500 Internal Server Error\r\nAttempt: 1\r\n", "foreign")},
	"status 404":           {answer: framed("HTTP/1.1 404 Not Found\r\nAttempt: 1\r\n", "foreign")},
	"status 204":           {answer: "HTTP/1.1 204 No Content\r\nAttempt: 1\r\n\r\n"},
	"redirect":             {answer: framed("HTTP/1.1 302 Found\r\nAttempt: 1\r\nLocation: /foreign\r\n", "foreign")},
	"status 503":           {answer: framed("HTTP/1.1 503 Service Unavailable\r\nAttempt: 1\r\n", "foreign")},
	"rejected":             {answer: framed("HTTP/1.1 503 Service Unavailable\r\nAttempt: 1\r\nNot-Run: 1\r\n", "foreign")},
	"misdirected":          {answer: framed("HTTP/1.1 421 Misdirected Request\r\nAttempt: 1\r\nNot-Run: 1\r\n", "foreign")},
	"chunked error":        {answer: "HTTP/1.1 500 No\r\nAttempt: 1\r\nTransfer-Encoding: chunked\r\n\r\n7\r\nforeign\r\n0\r\n\r\n"},
	"JSON":                 {answer: framed("HTTP/1.1 200 OK\r\nAttempt: 1\r\nContent-Type: application/json\r\n", `{"error":"foreign"}`)},
	"JSON with empty line": {answer: framed("HTTP/1.1 200 OK\r\nAttempt: 1\r\nContent-Type: application/json\r\n", "{\"error\":\n\n\"foreign\"}")},
	"JSON as events":       {answer: framed(streamHead, `{"error":"foreign"}`)},
	"text as events":       {answer: framed(streamHead, "foreign\n\n")},
	"error event":          {answer: framed(streamHead, "event: error\ndata: foreign\n\n")},
	"no event":             {answer: framed(streamHead, "")},
	"no event, in chunks":  {answer: streamHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
	"only comments":        {answer: framed(streamHead, ": waiting\n\n"), passed: ": waiting\n\n", again: ": waiting\n\n"},
	"closed at once":       {answer: ""},
	"half a head":          {answer: "HTTP/1.1 200 OK\r\nAttempt: 1\r\nX: foreign"},
	"head only":            {answer: streamHead + "\r\n"},
	"another attempt":      {answer: framed(strings.Replace(streamHead, "1\r\n", "2\r\n", 1), "id: 3\ndata: foreign\n\n")},
	"from the start":       {answer: framed(streamHead, event(1)+event(2)+event(3)+event(4))},
	"repeated event":       {answer: framed(streamHead, event(2)+event(3)+event(4))},
	"skipped event":        {answer: framed(streamHead, event(4))},
	"skipped later":        {answer: framed(streamHead, event(3)+"id: 5\ndata: foreign\n\n"), passed: event(3)},
	"head behind an event": {
		answer: streamHead + "\r\n" + event(3) + "HTTP/1.1 500 No\r\nX: foreign\r\n\r\nforeign",
		passed: event(3),
	},
	"head in a chunk": {
		answer: streamHead + "Transfer-Encoding: chunked\r\n\r\n" + chunk(event(3)) + chunk("HTTP/1.1 500 No\r\n\r\nforeign\r\n\r\n") + "0\r\n\r\n",
		passed: event(3),
	},
	"head in place of a chunk": {
		answer: streamHead + "Transfer-Encoding: chunked\r\n\r\n" + chunk(event(3)) + "HTTP/1.1 500 No\r\n\r\nforeign",
		passed: event(3),
	},
	"broken chunk size": {
		answer: streamHead + "Transfer-Encoding: chunked\r\n\r\n" + chunk(event(3)) + "1",
		passed: event(3),
	},
	"half an event": {answer: streamHead + "\r\n" + event(3) + "id: 4\ndata: fore", passed: event(3)},
	"long text":     {answer: framed(streamHead, strings.Repeat("foreign ", 8<<10))},
}

func chunk(content string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(content), content) }

// TestFailedResumption guards against foreign text, repeated or missing events in a resumed stream, and against one that looks complete
// before its last event, when the next engine does not continue it.
func TestFailedResumption(t *testing.T) {
	first := streamHead + "\r\n" + event(1) + event(2) + "id: 3\ndata: tok"

	for name, test := range failedResumptions {
		for _, last := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/last attempt %t", name, last), func(t *testing.T) {
				var sends atomic.Int64

				answer := func(conn net.Conn, head string) bool {
					switch sends.Add(1) {
					case 1:
						write(conn, first)
					case 2:
						write(conn, test.answer)
					default:
						if last {
							write(conn, test.answer)
							return false
						}

						rest := event(3) + event(4)
						if strings.Contains(head, "Last-Event-Id: 3\r\n") {
							rest = event(4)
						}

						write(conn, framed(streamHead, rest))
					}

					return false
				}

				h := newHarness(t)
				for i := range 3 {
					h.pool.Update(apricotway.Backend{
						ID: apricotway.BackendServerID(fmt.Sprint(i)), Service: "s", Slots: 8, Address: newBackend(t, answer).address,
					}, time.Now())
				}

				_, got, err := h.call("/resumable/", map[string]string{"Wait": "1s"}) //nolint:bodyclose // The call has read and closed it.

				if last {
					if err == nil {
						t.Errorf("got %q as a complete answer, want an incomplete one", got)
					}

					if want := event(1) + event(2) + test.passed + test.again; got != want {
						t.Errorf("got %q, want %q", got, want)
					}

					return
				}

				want := event(1) + event(2) + test.passed + event(3) + event(4)
				if strings.HasPrefix(test.passed, event(3)) {
					want = event(1) + event(2) + test.passed + event(4)
				}

				if err != nil || got != want {
					t.Errorf("got %q and %v, want %q", got, err, want)
				}
			})
		}
	}
}

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

// TestFailedMove guards against foreign text in a stream that is moved to an engine that does not continue it.
func TestFailedMove(t *testing.T) {
	for name, test := range failedResumptions {
		t.Run(name, func(t *testing.T) {
			var sends atomic.Int64

			h := newHarness(t)
			stop := make(chan struct{})
			h.move = func() (bool, error) {
				close(stop)
				return true, nil
			}

			answer := func(conn net.Conn, _ string) bool {
				if sends.Add(1) > 1 {
					write(conn, test.answer)
					return false
				}

				write(conn, streamHead+"\r\n"+event(1))

				for _, backend := range h.pool.Backends() {
					backend.Leaving = backend.Address.String() == conn.LocalAddr().String()
					h.pool.Update(backend, time.Now())
				}

				write(conn, event(2)+"id: 3\ndata: tok")
				<-stop

				return false
			}

			for i := range 2 {
				h.pool.Update(apricotway.Backend{
					ID: apricotway.BackendServerID(fmt.Sprint(i)), Service: "s", Slots: 8, Address: newBackend(t, answer).address,
				}, time.Now())
			}

			_, got, err := h.call("/stream/", map[string]string{"Wait": "1s"}) //nolint:bodyclose // The call has read and closed it.
			if err == nil {
				t.Errorf("got %q as a complete answer, want an incomplete one", got)
			}

			if want := event(1) + event(2) + test.passed; got != want {
				t.Errorf("got %q, want %q", got, want)
			}
		})
	}
}

// TestResumptionsCount guards against more runs of a stream than its route allows: every engine that was asked to continue it and did
// not say that it did not run the call counts.
func TestResumptionsCount(t *testing.T) {
	for name, answer := range map[string]string{
		"status 500": framed("HTTP/1.1 500 Internal Server Error\r\nAttempt: 1\r\n", "failed"), "closed": "",
		"no event": framed(streamHead, ""), "JSON": framed("HTTP/1.1 200 OK\r\nAttempt: 1\r\nContent-Type: application/json\r\n", "{}"),
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

// TestFailedResumptionOfOldCaller guards against an incomplete stream that looks complete to an HTTP/1.0 caller, for whom closing the
// connection ends the answer.
func TestFailedResumptionOfOldCaller(t *testing.T) {
	for name, test := range failedResumptions {
		t.Run(name, func(t *testing.T) {
			var sends atomic.Int64

			h := newHarness(t)
			for i := range 2 {
				h.pool.Update(apricotway.Backend{
					ID: apricotway.BackendServerID(fmt.Sprint(i)), Service: "s", Slots: 8,
					Address: newBackend(t, func(conn net.Conn, _ string) bool {
						if sends.Add(1) == 1 {
							write(conn, streamHead+"\r\n"+event(1)+event(2)+"id: 3\ndata: tok")
						} else {
							write(conn, test.answer)
						}

						return false
					}).address,
				}, time.Now())
			}

			conn, err := new(net.Dialer).DialContext(t.Context(), "tcp", h.front.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()

			write(conn, "POST /resumable/ HTTP/1.0\r\nHost: h.example\r\nAttempt: 1\r\nKey: secret\r\nWait: 1s\r\nContent-Length: 0\r\n\r\n")

			if got, err := io.ReadAll(conn); err == nil {
				t.Errorf("got %q as a complete answer, want a reset", got)
			}
		})
	}
}

// TestResumedAtSameServer guards against a second copy of a stream's beginning being taken for its rest when its own server continues
// it: both answers name the same attempt.
func TestResumedAtSameServer(t *testing.T) {
	first := streamHead + "Transfer-Encoding: chunked\r\n\r\n" + chunk(event(1)+"id: 2\n") + "0\r\n\r\n"

	var used sync.Map

	b := newBackend(t, func(conn net.Conn, head string) bool {
		if _, again := used.LoadOrStore(conn, true); again {
			write(conn, first)
		}

		if strings.Contains(head, "Last-Event-Id: 1\r\n") {
			write(conn, framed(streamHead, event(2)))
		} else {
			write(conn, first)
		}

		return true
	})
	h := newHarness(t)
	h.pool.Update(apricotway.Backend{ID: "b", Service: "s", Slots: 8, Address: b.address}, time.Now())

	_, got, err := h.call("/resumable/", nil) //nolint:bodyclose // The call has read and closed it.
	if want := event(1) + event(2); err != nil || got != want {
		t.Errorf("got %q and %v, want %q", got, err, want)
	}

	if got, want := b.requests.Load(), int64(2); got != want {
		t.Errorf("got %d sends, want %d", got, want)
	}
}
