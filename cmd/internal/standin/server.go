// Package standin provides simple substitutes for the services of the platform and for backend servers, for development and
// tests.
package standin

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
)

// headerTimeout bounds the time for reading the header of an HTTP request.
const headerTimeout = 10 * time.Second

// Server is a running HTTP server of a stand-in.
type Server struct {
	// Address is the bound address, with the chosen port.
	Address netip.AddrPort

	server *http.Server
	done   chan struct{}
}

// Listen starts an HTTP server for the handler; port 0 selects a free port.
func Listen(ctx context.Context, address netip.AddrPort, handler http.Handler) (*Server, error) {
	var config net.ListenConfig

	listener, err := config.Listen(ctx, "tcp", address.String())
	if err != nil {
		return nil, errors.Wrap(err, "listen for HTTP connections")
	}

	s := &Server{
		Address: listener.Addr().(*net.TCPAddr).AddrPort(),
		server:  &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout},
		done:    make(chan struct{}),
	}

	go func() {
		defer close(s.done)
		// Serve always returns an error; after Close it is http.ErrServerClosed.
		_ = s.server.Serve(listener)
	}()

	return s, nil
}

// Close closes the listener and all connections, then waits until the server has stopped.
func (s *Server) Close() {
	_ = s.server.Close()
	<-s.done
}
