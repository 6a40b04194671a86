// Package standin holds small stand-ins for the platform's services and for backend servers, for development and tests.
package standin

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
)

// headerTimeout bounds the time for reading a request's header.
const headerTimeout = 10 * time.Second

// Server is a running HTTP stand-in.
type Server struct {
	// Address is the address at which the server listens.
	Address netip.AddrPort

	server *http.Server
	done   chan struct{}
}

// Listen starts a server for the handler; port 0 chooses a free port.
func Listen(ctx context.Context, address netip.AddrPort, handler http.Handler) (*Server, error) {
	var config net.ListenConfig

	listener, err := config.Listen(ctx, "tcp", address.String())
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}

	s := &Server{
		Address: listener.Addr().(*net.TCPAddr).AddrPort(),
		server:  &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout},
		done:    make(chan struct{}),
	}

	go func() {
		defer close(s.done)
		// Serve always returns an error; after Close it says only that.
		_ = s.server.Serve(listener)
	}()

	return s, nil
}

// Close ends the server and cuts its connections.
func (s *Server) Close() {
	_ = s.server.Close()
	<-s.done
}
