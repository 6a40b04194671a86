// Package blackhole lets the path to a socket go silent in tests: without a reset, and without acknowledgements.
package blackhole

import (
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
)

// Drop lets the kernel drop everything that arrives at the socket from now on.
func Drop(t *testing.T, conn syscall.Conn) {
	t.Helper()

	raw, err := conn.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}

	// A filter that accepts no byte of any packet.
	filter := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K}}

	var optionErr error

	err = raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &filter[0]})
	})
	if err != nil || optionErr != nil {
		t.Fatal(err, optionErr)
	}
}
