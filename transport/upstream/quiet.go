package upstream

import (
	"net"
	"syscall"
)

// quiet tells whether an unused connection is open and nothing has arrived on it. Bytes that no call asked for belong to none.
func quiet(conn net.Conn) bool {
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
