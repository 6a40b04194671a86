// Package earlyend tells the end of an answer from the end of a connection whose server has not taken the call whole. An answer without a
// length ends with its connection, and a server that gives up in the middle of a call may close or reset it at any point of the answer.
package earlyend

import (
	"context"
	"io"
	"net"
	"syscall"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// Err reports that a connection was reset, or ended before the server had received all that was sent to it. It matches
// io.ErrUnexpectedEOF.
var Err = errors.Wrap(io.ErrUnexpectedEOF, "connection ended before the call was received whole")

// State is the state of a connection.
type State struct {
	// Closed is set once the other side has closed or reset the connection, also behind unread data, and Reset once it is of no use in both
	// directions.
	Closed, Reset bool
	// Unreceived is the number of bytes that were sent and that the other side has not confirmed.
	Unreceived int
}

// Of returns the state of a connection. It leaves an error of the connection for the next read to report, which a read of any kind would
// take away: the connection then seems to have ended in order. It returns false for connections other than sockets.
func Of(conn net.Conn) (State, bool) {
	source, ok := conn.(syscall.Conn)
	if !ok {
		return State{}, false
	}

	raw, err := source.SyscallConn()
	if err != nil {
		return State{Closed: true, Reset: true}, true
	}

	var state State

	err = raw.Control(func(fd uintptr) {
		poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		// Without a timeout poll fails only when a signal interrupts it, and the connection then counts as open.
		_, _ = unix.Poll(poll, 0)
		state.Closed = poll[0].Revents != 0
		state.Reset = poll[0].Revents&(unix.POLLERR|unix.POLLHUP) != 0
		// Fails only for descriptors other than sockets.
		state.Unreceived, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
	})
	if err != nil {
		return State{Closed: true, Reset: true}, true
	}

	return state, true
}

// Check returns the error of a read of a connection, with Err in place of an end that does not end an answer.
func Check(conn net.Conn, err error) error {
	if !errors.Is(err, io.EOF) {
		return err
	}

	if state, ok := Of(conn); ok && (state.Reset || state.Unreceived > 0) {
		return Err
	}

	return err
}

// Dialer opens connections.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Dial returns a function that opens connections whose reads report Err.
func Dial(dialer Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}

		return &checkedConn{conn}, nil
	}
}

type checkedConn struct{ net.Conn }

// Read implements net.Conn.
func (c *checkedConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)

	return n, Check(c.Conn, err)
}
