package callers

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// Outcome is how a request ended on its caller's connection.
type Outcome string

const (
	// OutcomeWritten requests have their whole answer: all of it was written to the connection.
	OutcomeWritten Outcome = "written"
	// OutcomeNoAnswer requests have no byte of an answer, though the connection had not failed.
	OutcomeNoAnswer Outcome = "noAnswer"
	// OutcomeCut requests have a part of their answer, because their handler broke off.
	OutcomeCut Outcome = "cut"
	// OutcomeCallerLeft requests have no answer or a part of it, and their caller had closed the connection.
	OutcomeCallerLeft Outcome = "callerLeft"
	// OutcomeReset requests met a connection that was reset while their answer was written.
	OutcomeReset Outcome = "reset"
	// OutcomeWriteTimeout requests were cut by the write deadline, because their caller did not read.
	OutcomeWriteTimeout Outcome = "writeTimeout"
	// OutcomeWriteFailed requests met another error while their answer was written.
	OutcomeWriteFailed Outcome = "writeFailed"
)

// Ending tells how a request ended on its caller's connection.
type Ending struct {
	Outcome Outcome
	// Bytes is the number of bytes of the answer that were written, its header included.
	Bytes int64
	// Err is the first error of a write, or that of the read that found the connection closed; nil without one.
	Err error
	// Took is the time from the beginning of the handler until the answer was written or given up.
	Took time.Duration
}

// interim is the beginning of an answer that another one follows.
var interim = []byte("HTTP/1.1 100 ")

// exchange is the request that a connection serves. The mutex of the connection protects it.
type exchange struct {
	request *http.Request
	began   time.Time
	written int64
	// writeErr is the first error of a write, and readErr that of a read that found the connection closed.
	writeErr, readErr error
}

// ending returns how the request ended, by whether its handler returned.
func (e *exchange) ending(returned bool) Ending {
	ending := Ending{Outcome: OutcomeWritten, Bytes: e.written, Err: e.writeErr, Took: time.Since(e.began)}

	switch {
	case errors.Is(e.writeErr, os.ErrDeadlineExceeded):
		ending.Outcome = OutcomeWriteTimeout
	case errors.Is(e.writeErr, syscall.ECONNRESET), errors.Is(e.writeErr, syscall.EPIPE):
		ending.Outcome = OutcomeReset
	case e.writeErr != nil:
		ending.Outcome = OutcomeWriteFailed
	case returned && e.written > 0:
	case e.readErr != nil:
		ending.Outcome, ending.Err = OutcomeCallerLeft, e.readErr
	case e.written > 0:
		ending.Outcome = OutcomeCut
	default:
		ending.Outcome = OutcomeNoAnswer
	}

	return ending
}

// connectionKey is the key of the connection in the contexts of its requests.
type connectionKey struct{}

// withConnection returns a context with the connection.
func withConnection(ctx context.Context, conn net.Conn) context.Context {
	if c := unwrap(conn); c != nil {
		return context.WithValue(ctx, connectionKey{}, c)
	}

	return ctx
}

// observe returns a handler that records which request its connection serves.
func (s *Server) observe(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connectionKey{}).(*connection)
		if !ok {
			handler.ServeHTTP(w, r)
			return
		}

		c.begin(r)
		s.announceIdle(c, w, r)

		returned := false

		defer func() {
			// The HTTP server writes the rest of an answer only after a handler that returned.
			if !returned {
				s.end(c, false)
			}
		}()

		handler.ServeHTTP(w, r)

		returned = true
	})
}

// end reports how the request that the connection serves ended, once.
func (s *Server) end(c *connection, returned bool) {
	c.mu.Lock()
	served := c.serving
	c.serving = nil
	c.mu.Unlock()

	if served != nil {
		s.ended(served.request, served.ending(returned))
	}
}

// begin records that the connection serves a request.
func (c *connection) begin(request *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.serving = &exchange{request: request, began: time.Now()}
}

// Write implements net.Conn.
func (c *connection) Write(content []byte) (int, error) {
	n, err := c.Conn.Write(content)

	c.mu.Lock()
	defer c.mu.Unlock()

	if c.serving == nil || c.serving.written == 0 && bytes.HasPrefix(content, interim) {
		return n, err
	}

	c.serving.written += int64(n)
	if c.serving.writeErr == nil {
		c.serving.writeErr = err
	}

	return n, err
}

// recordReadError records that a read found the connection closed while it serves a request.
func (c *connection) recordReadError(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.serving != nil && c.serving.readErr == nil && (errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET)) {
		c.serving.readErr = err
	}
}
