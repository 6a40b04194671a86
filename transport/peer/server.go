package peer

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/netip"
	"net/rpc"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"github.com/thejerf/suture/v4"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/internal/guard"
	"github.com/apricotway/apricotway/internal/pause"
)

// errInternal is the error that the calling peer receives when a handler panics; the details are only logged.
var errInternal = errors.New("internal error")

// acceptRetryDelay is the delay before accepting again after Accept failed.
const acceptRetryDelay = 100 * time.Millisecond

// Server answers calls of other processes.
type Server struct {
	logger     logr.Logger
	clock      apricotway.Clock
	maxMessage int64
	tls        *tls.Config
	// slots holds one element for each running handler.
	slots chan struct{}
	// isMember reports whether an address belongs to a known member.
	isMember func(netip.Addr) bool
	// onPanic is called for each panic of a handler.
	onPanic func()
	// onUnknown is called for each call of a method without a handler.
	onUnknown func(method string)
	// handlers is not locked: Register must not be called after the first connection.
	handlers map[apricotway.Method]apricotway.PeerHandler

	mu          sync.Mutex
	connections map[net.Conn]struct{}
}

var _ apricotway.PeerRegistry = (*Server)(nil)

// ServerOption configures a Server.
type ServerOption func(*Server)

// WithServerLogger sets the logger; the default discards everything.
func WithServerLogger(logger logr.Logger) ServerOption {
	return func(s *Server) { s.logger = logger }
}

// WithServerTLS makes the server accept TLS connections with the given configuration, which also decides which client
// certificates are accepted.
func WithServerTLS(config *tls.Config) ServerOption {
	return func(s *Server) { s.tls = config }
}

// WithServerLimits sets the size limit of a message in bytes and the limit on concurrent calls.
func WithServerLimits(maxMessage int64, concurrency int) ServerOption {
	return func(s *Server) {
		s.maxMessage = maxMessage
		s.slots = make(chan struct{}, concurrency)
	}
}

// WithServerMemberCheck sets the function that reports whether an address belongs to a known member. Messages from other addresses
// are limited to MaxNonMemberMessage bytes.
func WithServerMemberCheck(isMember func(netip.Addr) bool) ServerOption {
	return func(s *Server) { s.isMember = isMember }
}

// WithServerPanicHook sets a function that is called for each panic of a handler.
func WithServerPanicHook(onPanic func()) ServerOption {
	return func(s *Server) { s.onPanic = onPanic }
}

// WithServerUnknown sets a function that is called for each call of a method without a handler, as one of a newer build.
func WithServerUnknown(onUnknown func(method string)) ServerOption {
	return func(s *Server) { s.onUnknown = onUnknown }
}

// NewServer returns a server whose accept loop runs under the supervisor.
func NewServer(
	supervisor *suture.Supervisor, listener net.Listener, clock apricotway.Clock, options ...ServerOption,
) *Server {
	s := &Server{
		logger:      logr.Discard(),
		clock:       clock,
		maxMessage:  DefaultMaxMessage,
		slots:       make(chan struct{}, DefaultConcurrency),
		isMember:    func(netip.Addr) bool { return true },
		onPanic:     func() {},
		onUnknown:   func(string) {},
		handlers:    map[apricotway.Method]apricotway.PeerHandler{},
		connections: map[net.Conn]struct{}{},
	}
	for _, option := range options {
		option(s)
	}

	if s.tls != nil {
		listener = tls.NewListener(listener, s.tls)
	}

	supervisor.Add(apricotway.ServiceFunc{Name: "peer server", Func: func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() {
			_ = listener.Close()
			s.closeConnections()
		})
		defer stop()

		for {
			connection, err := listener.Accept()
			if ctx.Err() != nil {
				return ctx.Err()
			}

			if errors.Is(err, net.ErrClosed) {
				return errors.Wrap(err, "accept")
			}

			if err != nil {
				// The process may be out of file descriptors. Returning would count as a failure of the service; peers retry.
				s.logger.Error(err, "accepting a peer connection failed; retrying", "event", 122)
				pause.For(ctx, acceptRetryDelay)

				continue
			}

			go s.serveConnection(ctx, connection)
		}
	}})

	return s
}

// Register implements apricotway.PeerRegistry.
func (s *Server) Register(method apricotway.Method, handler apricotway.PeerHandler) {
	s.handlers[method] = handler
}

func (s *Server) closeConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()

	for connection := range s.connections {
		_ = connection.Close()
	}
}

// serveConnection answers the calls of one connection. Each connection has its own net/rpc server, whose receiver holds a
// context that is cancelled when the connection is lost.
func (s *Server) serveConnection(ctx context.Context, connection net.Conn) {
	s.mu.Lock()
	s.connections[connection] = struct{}{}
	s.mu.Unlock()

	defer func() {
		s.mu.Lock()
		delete(s.connections, connection)
		s.mu.Unlock()
	}()

	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	server := rpc.NewServer()
	if err := server.RegisterName("Peer", &receiver{server: s, context: ctx}); err != nil {
		s.logger.Error(err, "registering the RPC receiver of a peer connection failed", "event", 121)
		return
	}

	server.ServeCodec(newServerCodec(connection, s.messageLimit(connection.RemoteAddr()), cancel))
}

// messageLimit returns a function that gives the message size limit for a remote address. It checks membership again until the
// address is known, since a process can join while it is connected.
func (s *Server) messageLimit(remote net.Addr) func() int64 {
	address := netip.Addr{}
	if tcp, ok := remote.(*net.TCPAddr); ok {
		address = tcp.AddrPort().Addr().Unmap()
	}

	known := false

	return func() int64 {
		if known = known || s.isMember(address); known {
			return s.maxMessage
		}

		return min(s.maxMessage, MaxNonMemberMessage)
	}
}

// receiver is the net/rpc receiver of one connection.
type receiver struct {
	server  *Server
	context context.Context
}

// Call handles one call. It returns errors inside the Answer because net/rpc transmits only the text of an error.
func (r *receiver) Call(request Request, answer *Answer) error {
	*answer = r.server.answer(r.context, request)
	return nil
}

func (s *Server) answer(ctx context.Context, request Request) Answer {
	s.clock.Observe(request.Stamp)

	handler, ok := s.handlers[request.Method]
	if !ok {
		s.onUnknown(string(request.Method))

		return Answer{Stamp: s.clock.Now(), Failure: ErrUnknownMethod.Error(), NotStarted: true}
	}

	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	default:
		return Answer{Stamp: s.clock.Now(), Failure: "too many calls", NotStarted: true}
	}

	ctx, cancel := context.WithTimeout(ctx, request.Remaining)
	defer cancel()

	var payload []byte

	err := guard.Call(func() (err error) {
		payload, err = handler(ctx, request.Payload)
		return err
	})
	if errors.Is(err, guard.ErrPanic) {
		s.onPanic()
		s.logger.Error(err, "handler of a peer call panicked", "event", 123, "method", request.Method)
		err = errInternal
	}

	answer := Answer{Stamp: s.clock.Now(), Payload: payload}

	if err != nil {
		var refusal *apricotway.Refusal
		if errors.As(err, &refusal) {
			answer.Refusal = refusal
		} else {
			answer.Failure = err.Error()
		}
	}

	return answer
}

// serverCodec is a gob codec for net/rpc servers that limits the size of each message. When reading fails, it cancels the
// connection's running calls at once; rpc.Server.ServeCodec alone would wait for them to finish.
type serverCodec struct {
	*messageStream

	cancelCalls func()
}

func newServerCodec(connection io.ReadWriteCloser, limit func() int64, cancelCalls func()) *serverCodec {
	return &serverCodec{messageStream: newMessageStream(connection, limit), cancelCalls: cancelCalls}
}

// ReadRequestHeader implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestHeader(request *rpc.Request) error {
	err := c.readHeader(request)
	if err != nil {
		c.cancelCalls()
	}

	return err
}

// ReadRequestBody implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestBody(body any) error {
	err := c.decoder.Decode(body)
	if err != nil {
		// The start of the next message cannot be found, so the connection cannot be used any longer.
		c.cancelCalls()
		_ = c.connection.Close()
	}

	return err
}

// WriteResponse implements rpc.ServerCodec.
func (c *serverCodec) WriteResponse(response *rpc.Response, body any) error {
	if err := c.write(response, body); err != nil {
		return c.Close()
	}

	return nil
}
