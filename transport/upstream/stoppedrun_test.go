package upstream_test

import (
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/protocol/relay"
	"github.com/apricotway/apricotway/transport/upstream"
)

// lateOutcome is when an engine answers a late order, after the time for which a stream waits for it and the end of the stream.
const lateOutcome = 1300 * time.Millisecond

// errUnanswered is the error of an order of which nobody knows whether the server has it.
var errUnanswered = errors.New("no answer to the order")

// move is the result of an order to move a run. The relay gets it after its time limit if it is late.
type move struct {
	copied, late bool
	err          error
}

// stoppedRun is a stream whose leaving server is told to stop the run, and closes the connection after the third event.
type stoppedRun struct {
	// chunked is set if the stream comes in chunks, and marked if it has the last one, which marks its end.
	chunked, marked bool
	move            move
	// rest is the answer to a request to continue the stream.
	rest string

	continued atomic.Value
}

// call sends a call to the path and returns what its caller got.
func (s *stoppedRun) call(t *testing.T, path string) (string, error) {
	t.Helper()

	var sends atomic.Int64

	h := newHarness(t)
	ordered, ended := make(chan struct{}), make(chan struct{})
	h.move = func() (bool, error) {
		close(ordered)

		if s.move.late {
			<-ended
		}

		return s.move.copied, s.move.err
	}

	head, frame, mark := streamHead+"\r\n", func(content string) string { return content }, ""
	if s.chunked {
		head, frame = streamHead+"Transfer-Encoding: chunked\r\n\r\n", chunk
	}

	if s.marked {
		mark = "0\r\n\r\n"
	}

	answer := func(conn net.Conn, request string) bool {
		if sends.Add(1) > 1 {
			s.continued.Store(request)
			write(conn, s.rest)

			return false
		}

		write(conn, head+frame(event(1)))

		for _, backend := range h.pool.Backends() {
			backend.Leaving = backend.Address.String() == conn.LocalAddr().String()
			h.pool.Update(backend, time.Now())
		}

		write(conn, frame(event(2)))
		<-ordered
		write(conn, frame(event(3))+mark)
		time.AfterFunc(lateOutcome, func() { close(ended) })

		return false
	}

	for i := range 2 {
		h.pool.Update(apricotway.Backend{
			ID: apricotway.BackendServerID(fmt.Sprint(i)), Service: "s", Slots: 8, Address: newBackend(t, answer).address,
		}, time.Now())
	}

	_, got, err := h.call(path, map[string]string{"Wait": "3s"}) //nolint:bodyclose // The call has read and closed it.

	return got, err
}

// TestStoppedStreamPassedOnAsComplete guards against passing on a part of a stream as the whole when its server has stopped the run for a move
// that it did not confirm, and against breaking off streams that are whole.
func TestStoppedStreamPassedOnAsComplete(t *testing.T) {
	const resumable, other = "/resumable/", "/stream/"

	unanswered, moved, late := move{err: errUnanswered}, move{copied: true, late: true}, move{late: true}
	rest := framed(streamHead, event(4)+event(5))
	part := event(1) + event(2) + event(3)
	whole := part + event(4) + event(5)

	for name, test := range map[string]struct {
		run        *stoppedRun
		path, want string
		complete   bool
		// fromMemory is set if the stream has to continue from the memory of the run.
		fromMemory bool
	}{
		"resumed":                  {&stoppedRun{move: unanswered, rest: rest}, resumable, whole, true, false},
		"resumed in vain":          {&stoppedRun{move: unanswered}, resumable, part, false, false},
		"resumed without an end":   {&stoppedRun{move: unanswered, rest: streamHead + "\r\n"}, resumable, part, false, false},
		"nothing left to resume":   {&stoppedRun{move: unanswered, rest: framed(streamHead, "")}, resumable, part, true, false},
		"never confirmed":          {&stoppedRun{move: unanswered, rest: rest}, other, part, false, false},
		"confirmed late":           {&stoppedRun{move: moved, rest: rest}, other, whole, true, true},
		"confirmed late, no copy":  {&stoppedRun{move: late, rest: rest}, other, whole, true, true},
		"confirmed late, chunks":   {&stoppedRun{move: moved, rest: rest, chunked: true}, other, whole, true, true},
		"not ordered":              {&stoppedRun{move: move{err: apricotway.ErrNotSent}}, other, part, true, false},
		"not ordered, known late":  {&stoppedRun{move: move{late: true, err: apricotway.ErrNotSent}}, other, part, true, false},
		"no such run":              {&stoppedRun{move: move{err: apricotway.ErrRunUnknown}}, other, part, true, false},
		"whole in chunks":          {&stoppedRun{move: unanswered, chunked: true, marked: true}, other, part, true, false},
		"whole in chunks, resumed": {&stoppedRun{move: unanswered, chunked: true, marked: true}, resumable, part, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := test.run.call(t, test.path)
			if got != test.want || (err == nil) != test.complete {
				t.Errorf("got %q and %v, want %q, complete: %t", got, err, test.want, test.complete)
			}

			request, _ := test.run.continued.Load().(string)
			if got := strings.Contains(request, "Memory: "); got != test.fromMemory {
				t.Errorf("got the run continued from its memory: %t, want %t", got, test.fromMemory)
			}
		})
	}
}

// TestLaterRunStoppedByEarlierMove guards against passing on a part of a stream as the whole when an order to move an earlier run of the call
// stops a later one at the same server, which this or another process sends there.
func TestLaterRunStoppedByEarlierMove(t *testing.T) {
	for name, lost := range map[string]bool{"same process": false, "other process": true} {
		t.Run(name, func(t *testing.T) {
			var sends atomic.Int64

			ordered := make(chan struct{})
			stopped := func(conn net.Conn, _ string) bool {
				write(conn, streamHead+"\r\n"+event(3))
				return false
			}

			other := newHarness(t)
			other.addServer("first", "", 8, stopped)

			h, d := newDetouring(t, other.address())
			d.lost.Store(false)
			h.replaceRelay(relay.WithDetours(d, upstream.New()), relay.WithMover(h))
			h.pool.Remove("b0", time.Now())
			h.addServer("first", "", 8, func(conn net.Conn, request string) bool {
				if sends.Add(1) > 1 {
					return stopped(conn, request)
				}

				write(conn, streamHead+"\r\n"+event(1))
				h.addVersion("target", "", 8)
				h.setLeaving("first", true)
				write(conn, event(2)+"id: 3\nda")
				<-ordered

				return false
			})

			h.move = func() (bool, error) {
				if sends.Load() == 1 {
					d.lost.Store(lost)
					h.pool.Remove("target", time.Now())
					h.setLeaving("first", false)
					close(ordered)
				}

				return false, errUnanswered
			}

			_, got, err := h.call("/resumable/", map[string]string{"Wait": "3s"}) //nolint:bodyclose // The call has read and closed it.
			if want := event(1) + event(2) + event(3); got != want || err == nil {
				t.Errorf("got %q and %v, want %q and an error", got, err, want)
			}
		})
	}
}

// setLeaving sets whether a server is leaving.
func (h *harness) setLeaving(id apricotway.BackendServerID, leaving bool) {
	for _, backend := range h.pool.Backends() {
		if backend.ID == id {
			backend.Leaving = leaving
			h.pool.Update(backend, time.Now())
		}
	}
}
