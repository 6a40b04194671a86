package upstream_test

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/protocol/relay"
	"github.com/apricotway/apricotway/state/quarantine"
)

// TestBrokenOffStreams guards against streams that a server breaks off and that reach the caller as complete, or that are not continued
// elsewhere although they may be.
func TestBrokenOffStreams(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nAttempt: 1\r\nContent-Type: text/event-stream\r\n"

	whole := event(1) + event(2) + event(3)
	chunk := func(content string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(content), content) }
	framings := map[string]func(content string) string{
		"no length": func(content string) string { return head + "\r\n" + content },
		"length": func(content string) string {
			return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(whole), content)
		},
		"chunks": func(content string) string {
			return head + "Transfer-Encoding: chunked\r\n\r\n" + chunk(content + "\n")[:len(content)]
		},
		"whole chunks": func(content string) string {
			return head + "Transfer-Encoding: chunked\r\n\r\n" + chunk(content) + "0\r\n\r\n"
		},
	}
	cuts := map[string]string{
		"before the first event":  "",
		"inside the first event":  event(1)[:9],
		"inside the second event": event(1) + event(2)[:9],
		"before its empty line":   event(1) + event(2)[:len(event(2))-1],
	}

	for framing, frame := range framings {
		for cut, content := range cuts {
			if framing == "whole chunks" && content == "" {
				continue // An empty stream with a proper end is complete.
			}

			for _, path := range []string{"/stream/", "/resumable/"} {
				t.Run(path+framing+"/"+cut, func(t *testing.T) {
					var sends atomic.Int64

					answer := func(conn net.Conn, _ string) bool {
						if sends.Add(1) == 1 {
							write(conn, frame(content))
							return false
						}

						rest := whole
						if len(content) > len(event(1)) {
							rest = event(2) + event(3)
						}

						write(conn, fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(rest), rest))

						return true
					}

					h := newHarness(t)
					for i := range 2 {
						h.pool.Update(apricotway.Backend{
							ID: apricotway.BackendServerID(fmt.Sprint(i)), Service: "s", Slots: 8, Address: newBackend(t, answer).address,
						}, time.Now())
					}

					response, got, err := h.call(path, nil) //nolint:bodyclose // The call has read and closed it.
					succeeded := err == nil && response.StatusCode == http.StatusOK

					if path == "/stream/" && succeeded {
						t.Errorf("got %q as a complete answer, want a failure", got)
					}

					if path == "/resumable/" && (!succeeded || got != whole) {
						t.Errorf("got %q and %v, want every event once", got, err)
					}
				})
			}
		}
	}
}

// TestBrokenOffResumption guards against a resumed stream that looks complete although its second engine sent no event.
func TestBrokenOffResumption(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nAttempt: 1\r\nContent-Type: text/event-stream\r\n\r\n"

	var sends atomic.Int64

	answer := func(conn net.Conn, _ string) bool {
		write(conn, head+[]string{event(1) + "id: 2", "", event(2) + event(3)}[min(sends.Add(1), 3)-1])
		return false
	}

	h := newHarness(t)
	for i := range 3 {
		h.pool.Update(apricotway.Backend{
			ID: apricotway.BackendServerID(fmt.Sprint(i)), Service: "s", Slots: 8, Address: newBackend(t, answer).address,
		}, time.Now())
	}

	_, got, err := h.call("/resumable/", nil) //nolint:bodyclose // The call has read and closed it.
	if want := event(1) + event(2) + event(3); err != nil || got != want {
		t.Errorf("got %q and %v, want %q", got, err, want)
	}
}

// recorder is a quarantine that counts what it is told.
type recorder struct {
	mu               sync.Mutex
	broken, answered int
}

func (r *recorder) HasSuspects() bool                     { return true }
func (r *recorder) Refuses([]quarantine.Fingerprint) bool { return false }

func (r *recorder) RecordBroken([]quarantine.Fingerprint, apricotway.BackendServerID) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.broken++
}

func (r *recorder) RecordAnswered([]quarantine.Fingerprint) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.answered++
}

// TestCrashIsNoAnswer guards against answers that acquit a content although they ended with the connection of a server that may have
// crashed, and against broken ones that raise no suspicion.
func TestCrashIsNoAnswer(t *testing.T) {
	const (
		head   = "HTTP/1.1 200 OK\r\nAttempt: 1\r\n"
		stream = head + "Content-Type: text/event-stream\r\n"
	)

	framed := func(head, content string) string {
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(content), content)
	}

	for name, test := range map[string]struct {
		path, answer     string
		broken, answered int
	}{
		"no head":                          {"/stream/", "", 1, 0},
		"head only":                        {"/stream/", stream + "\r\n", 1, 0},
		"inside the first event":           {"/stream/", stream + "\r\nid: 1\n", 1, 0},
		"inside a chunk":                   {"/stream/", stream + "Transfer-Encoding: chunked\r\n\r\n20\r\nid: 1\n", 1, 0},
		"inside the second event":          {"/stream/", stream + "\r\n" + event(1) + "id: 2", 1, 0},
		"behind an event without length":   {"/stream/", stream + "\r\n" + event(1), 0, 0},
		"whole stream":                     {"/stream/", framed(stream, event(1)), 0, 1},
		"plain answer without length":      {"/unsafe/", head + "\r\nfine", 0, 0},
		"plain answer with less than said": {"/unsafe/", head + "Content-Length: 9\r\n\r\nfine", 1, 0},
		"whole plain answer":               {"/unsafe/", framed(head, "fine"), 0, 1},
	} {
		t.Run(name, func(t *testing.T) {
			r := &recorder{}
			h := newHarness(t)
			h.replaceRelay(relay.WithQuarantine(r))
			h.pool.Update(apricotway.Backend{
				ID: "raw", Service: "s", Slots: 8, Address: newBackend(t, func(conn net.Conn, _ string) bool {
					write(conn, test.answer)
					return false
				}).address,
			}, time.Now())

			_, _, _ = h.call(test.path, nil) //nolint:bodyclose // The call has read and closed it.
			// The relay records a whole answer after the caller has it; Close waits for that.
			h.front.Close()

			r.mu.Lock()
			defer r.mu.Unlock()

			if r.broken != test.broken || r.answered != test.answered {
				t.Errorf("got %d broken and %d answered, want %d and %d", r.broken, r.answered, test.broken, test.answered)
			}
		})
	}
}
