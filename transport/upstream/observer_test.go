package upstream_test

import (
	"net"
	"net/netip"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/apricotway/apricotway/transport/upstream"
)

// observer counts what it is told.
type observer struct{ unconnected, silent, answered atomic.Int64 }

func (o *observer) Unconnected(time.Time, netip.AddrPort) { o.unconnected.Add(1) }
func (o *observer) Silent(time.Time)                      { o.silent.Add(1) }
func (o *observer) Answered(time.Time, bool)              { o.answered.Add(1) }

// refusing returns an address that refuses connections.
func refusing(t *testing.T) netip.AddrPort {
	t.Helper()

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}

	_ = listener.Close()

	return listener.Addr().(*net.TCPAddr).AddrPort()
}

// hanging returns an address at which connections are not set up: its queue of new connections is full and nobody takes any.
func hanging(t *testing.T) netip.AddrPort {
	t.Helper()

	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}

	t.Cleanup(func() { _ = syscall.Close(socket) })

	if err := syscall.Bind(socket, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}

	if err := syscall.Listen(socket, 0); err != nil {
		t.Fatal(err)
	}

	name, err := syscall.Getsockname(socket)
	if err != nil {
		t.Fatal(err)
	}

	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(name.(*syscall.SockaddrInet4).Port))

	for range 4 {
		conn, err := net.DialTimeout("tcp", address.String(), 200*time.Millisecond)
		if err != nil {
			return address
		}

		t.Cleanup(func() { _ = conn.Close() })
	}

	t.Fatal("connections are still set up")

	return address
}

// resetting returns an address at which connections are reset as soon as they are set up.
func resetting(t *testing.T) netip.AddrPort {
	t.Helper()

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}

	t.Cleanup(func() { _ = listener.Close() })

	go func() {
		for conn, err := listener.Accept(); err == nil; conn, err = listener.Accept() {
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
	}()

	return listener.Addr().(*net.TCPAddr).AddrPort()
}

// TestLostConnectionsAreSigns guards against missing connections that are refused, hang before they are set up, or are reset before any answer
// as signs of lost paths, and against a health check that takes such a server for one that answers.
func TestLostConnectionsAreSigns(t *testing.T) {
	for name, address := range map[string]netip.AddrPort{"refused": refusing(t), "hanging": hanging(t), "reset": resetting(t)} {
		t.Run(name, func(t *testing.T) {
			o := &observer{}
			pool := upstream.New(upstream.WithObserver(o))

			if _, err := pool.Send(t.Context(), address, get("/")); err == nil {
				t.Error("got an answer, want an error")
			}

			if got := o.unconnected.Load(); got != 1 {
				t.Errorf("got %d signs, want 1", got)
			}

			if pool.CheckHealth(t.Context(), address, "/healthz") == nil {
				t.Error("got an answer to the health check, want none")
			}
		})
	}
}
