package upstream

import (
	"net"
	"syscall"

	"github.com/apricotway/apricotway/internal/earlyend"
)

// idleAndOpen reports whether an idle connection is open and has no unread data. Data that arrives on an idle connection answers no
// call, so the connection must not be used again.
func idleAndOpen(conn net.Conn) bool {
	source, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}

	raw, err := source.SyscallConn()
	if err != nil {
		return false
	}

	open := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte

		_, readErr := syscall.Read(int(fd), one[:])
		open = readErr == syscall.EAGAIN

		return true
	})

	return err == nil && open
}

// ended reports whether the server has closed or reset a connection. Other goroutines may use it.
func ended(conn net.Conn) bool {
	state, ok := earlyend.Of(conn)

	return ok && state.Closed
}
