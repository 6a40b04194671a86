// Package callers provides an HTTP server for callers that shuts down without dropping a request.
package callers

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway/internal/pause"
)

// drainPollInterval is the interval at which Drain checks for open connections. It is short against a planned stop, which takes
// seconds.
const drainPollInterval = 10 * time.Millisecond

// Server is an HTTP server for callers. http.Server.Shutdown drops the requests that it reads after its start, even on
// connections that were accepted before; Drain answers these requests.
type Server struct {
	server   *http.Server
	listener net.Listener
	accepted func()
	draining atomic.Bool
	// openConnections counts the connections that are neither closed nor hijacked.
	openConnections atomic.Int64
}

// Option configures a Server.
type Option func(*Server)

// WithAccepted sets a function that is called for each accepted connection.
func WithAccepted(accepted func()) Option { return func(s *Server) { s.accepted = accepted } }

// New returns a server for connections of the listener. It sets the ConnState hook of the HTTP server, which must be unused.
func New(server *http.Server, listener net.Listener, options ...Option) *Server {
	s := &Server{server: server, listener: listener, accepted: func() {}}
	for _, option := range options {
		option(s)
	}

	server.ConnState = s.trackConnection

	return s
}

func (s *Server) trackConnection(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.accepted()
		s.openConnections.Add(1)
	case http.StateClosed, http.StateHijacked:
		s.openConnections.Add(-1)
	case http.StateActive, http.StateIdle:
	}
}

// Serve accepts connections until Drain or Close is called, then returns http.ErrServerClosed.
func (s *Server) Serve() error {
	err := s.server.Serve(s.listener)
	if s.draining.Load() {
		return http.ErrServerClosed
	}

	return err
}

// Drain stops accepting connections and waits until the open ones are closed, each after its last request is answered. It returns
// an error if the context ends first.
func (s *Server) Drain(ctx context.Context) error {
	s.draining.Store(true)

	// If closing the listener fails, it is closed when the process exits.
	_ = s.listener.Close()

	for {
		// This closes idle connections, and the others after their next response.
		s.server.SetKeepAlivesEnabled(false)

		if s.openConnections.Load() == 0 {
			return nil
		}

		if !pause.For(ctx, drainPollInterval) {
			return errors.Wrapf(ctx.Err(), "%d connections still open", s.openConnections.Load())
		}
	}
}

// Close closes the listener and all connections immediately.
func (s *Server) Close() {
	s.draining.Store(true)
	_ = s.server.Close() // Closing fails only for connections that are already closed.
}
