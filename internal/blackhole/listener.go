package blackhole

import (
	"net"
	"net/netip"
	"sync"
	"syscall"
	"testing"
)

// Listener accepts connections whose paths can go silent.
type Listener struct {
	net.Listener

	mu       sync.Mutex
	accepted []net.Conn
}

// Listen returns a listener on the loopback interface. The test closes it in its cleanup.
func Listen(t *testing.T) *Listener {
	t.Helper()

	var config net.ListenConfig

	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}

	t.Cleanup(func() { _ = listener.Close() })

	return &Listener{Listener: listener}
}

// Address returns the address that the listener is bound to.
func (l *Listener) Address() netip.AddrPort { return l.Addr().(*net.TCPAddr).AddrPort() }

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}

	l.mu.Lock()
	defer l.mu.Unlock()

	l.accepted = append(l.accepted, conn)

	return conn, nil
}

// Accepted returns the number of connections that were accepted.
func (l *Listener) Accepted() int {
	l.mu.Lock()
	defer l.mu.Unlock()

	return len(l.accepted)
}

// Silence lets the paths of all connections that were accepted go silent.
func (l *Listener) Silence(t *testing.T) {
	t.Helper()

	l.mu.Lock()
	defer l.mu.Unlock()

	for _, conn := range l.accepted {
		Drop(t, conn.(syscall.Conn))
	}
}
