// Package callers provides an HTTP server for callers that shuts down without dropping a request.
package callers

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/internal/pause"
)

// drainPollInterval is the interval at which Drain checks for open connections. It is short against a planned stop, which takes
// seconds.
const drainPollInterval = 10 * time.Millisecond

// Server is an HTTP server for callers. http.Server.Shutdown drops the requests that it reads after its start, even on
// connections that were accepted before; Drain answers these requests. http.Server.SetKeepAlivesEnabled closes connections whose
// next request it has already read; Drain doesn't.
type Server struct {
	server    *http.Server
	listener  net.Listener
	backlog   *backlog
	tlsConfig *tls.Config
	accepted  func()
	refused   func(caller net.Addr, reason Refusal)
	ended     func(request *http.Request, ending Ending)
	// limits is nil when the HTTP server itself limits its callers.
	limits func() apricotway.CallerLimits
	uptime uptimeClock
	// bounds are those on all connections; zero without.
	bounds      Bounds
	pressed     func(wanted int)
	refusalBody func(code, message string) string
	// refusing holds an element for each connection beyond the bounds that is being answered.
	refusing chan struct{}
	// headerRoom is what the headers that are being read have taken of that of the bounds.
	headerRoom atomic.Int64
	draining   atomic.Bool
	// abort ends the contexts of all requests.
	abort context.CancelCauseFunc

	mu sync.Mutex
	// open holds the connections that are neither closed nor hijacked.
	open map[*connection]struct{}
	// pressedAt is when connections were last closed because few were left.
	pressedAt time.Time
}

// Option configures a Server.
type Option func(*Server)

// WithAccepted sets a function that is called for each accepted connection.
func WithAccepted(accepted func()) Option { return func(s *Server) { s.accepted = accepted } }

// WithEnded sets a function that is called for each request that was passed to the handler, once its answer has been written or can no
// longer be. It must not block.
func WithEnded(ended func(request *http.Request, ending Ending)) Option {
	return func(s *Server) { s.ended = ended }
}

// WithTLS encrypts the connections.
func WithTLS(config *tls.Config) Option { return func(s *Server) { s.tlsConfig = config } }

// New returns a server for connections of the listener. The contexts of requests have the values of ctx but do not end with it. New
// wraps the handler of the HTTP server and sets its BaseContext, ConnContext and ConnState hooks, which must be unused.
func New(ctx context.Context, server *http.Server, listener net.Listener, options ...Option) *Server {
	s := &Server{
		server: server, accepted: func() {}, ended: func(*http.Request, Ending) {}, refused: func(net.Addr, Refusal) {},
		open: map[*connection]struct{}{}, pressed: func(int) {}, refusalBody: plainRefusal, refusing: make(chan struct{}, maxRefusing),
	}
	for _, option := range options {
		option(s)
	}

	ctx, s.abort = context.WithCancelCause(context.WithoutCancel(ctx))
	server.BaseContext = func(net.Listener) context.Context { return ctx }
	server.ConnContext = withConnection
	server.ConnState = s.trackConnection
	server.Handler = s.observe(server.Handler)

	s.backlog = newBacklog(listener)

	s.listener = trackingListener{Listener: listener, server: s}
	if s.tlsConfig != nil {
		s.listener = tls.NewListener(s.listener, s.tlsConfig)
	}

	return s
}

// trackingListener wraps each connection that it accepts in a connection.
type trackingListener struct {
	net.Listener

	server *Server
}

// Accept implements net.Listener.
func (l trackingListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.server.backlog.accept()
		if err != nil {
			return nil, err
		}

		if c := l.wrap(conn); l.server.admit(c) {
			return c, nil
		}
	}
}

func (l trackingListener) wrap(conn net.Conn) *connection {
	c := &connection{
		Conn: conn, server: l.server, encrypted: l.server.tlsConfig != nil, uptime: l.server.uptime.read, refused: l.server.refused,
		limits: l.server.limits, accepted: time.Now(), unusedAt: time.Now(), waiting: true, waitingSince: l.server.uptime.read(),
	}

	if l.server.limits != nil {
		c.idleLimit = l.server.limits().IdleTimeout
	}

	return c
}

// unwrap returns the connection beneath one that the listener returned; nil if there is none.
func unwrap(conn net.Conn) *connection {
	if encrypted, ok := conn.(*tls.Conn); ok {
		conn = encrypted.NetConn()
	}

	c, _ := conn.(*connection) // nil if it isn't one.

	return c
}

func (s *Server) trackConnection(conn net.Conn, state http.ConnState) {
	c := unwrap(conn)
	if c == nil {
		return
	}

	switch state {
	case http.StateNew:
		s.accepted()
		s.mu.Lock()
		s.open[c] = struct{}{}
		s.mu.Unlock()
	case http.StateActive:
		c.use()
		c.headerRead()
	case http.StateIdle:
		c.wait()
		s.end(c, true)

		if s.draining.Load() {
			c.closeUnused()
		}
	case http.StateClosed, http.StateHijacked:
		// A handler that takes the connection over ends its answer itself.
		if state == http.StateClosed {
			s.end(c, true)
		}

		s.mu.Lock()
		delete(s.open, c)
		s.mu.Unlock()
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

// Drain stops accepting connections and waits until the open ones are closed: at once if they wait for a request, the others after
// their answer. It returns an error if the context ends first.
func (s *Server) Drain(ctx context.Context) error {
	s.draining.Store(true)
	s.backlog.close()

	if open := s.awaitClosed(ctx); open > 0 {
		return errors.Wrapf(ctx.Err(), "%d connections still open", open)
	}

	return nil
}

// Abort ends the contexts of the unfinished requests with the cause apricotway.ErrStopping, and reading their bodies, and waits until
// their handlers have ended them. It returns an error if the context ends first.
func (s *Server) Abort(ctx context.Context) error {
	s.abort(apricotway.ErrStopping)

	s.mu.Lock()
	for c := range s.open {
		c.abortReading()
	}
	s.mu.Unlock()

	if open := s.awaitClosed(ctx); open > 0 {
		return errors.Wrapf(ctx.Err(), "%d connections still open", open)
	}

	return nil
}

// awaitClosed closes the connections that wait for a request and waits until no connection is open. It returns the number of open
// connections, which is 0 unless the context ended first.
func (s *Server) awaitClosed(ctx context.Context) int {
	for {
		s.mu.Lock()
		open := len(s.open)

		for c := range s.open {
			c.closeUnused()
		}
		s.mu.Unlock()

		if open == 0 || !pause.For(ctx, drainPollInterval) {
			return open
		}
	}
}

// Close closes the listener and all connections immediately.
func (s *Server) Close() {
	s.draining.Store(true)
	_ = s.server.Close() // Closing fails only for connections that are already closed.
}
