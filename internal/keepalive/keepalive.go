// Package keepalive configures TCP connections so that they end soon after their path has gone silent without a reset.
package keepalive

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	idle, interval = time.Second, time.Second
	probes         = 3
)

// Limit is the time after which a silent connection ends.
const Limit = idle + probes*interval

// Config returns the keep-alive options of a connection. A silent connection on which no sent data is unacknowledged ends after Limit.
func Config() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: idle, Interval: interval, Count: probes}
}

// NewDialer returns a dialer for connections with these options.
func NewDialer() *net.Dialer { return &net.Dialer{KeepAliveConfig: Config()} }

// NewStrictDialer returns a dialer for connections that also end after Limit if sent data is unacknowledged, where the kernel sends no
// keep-alive probes and retries for many minutes. They end, too, if the other side reads nothing for that time.
func NewStrictDialer() *net.Dialer {
	dialer := NewDialer()
	dialer.Control = func(_, _ string, conn syscall.RawConn) error {
		var optionErr error

		err := conn.Control(func(fd uintptr) {
			optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(Limit.Milliseconds()))
		})
		if err != nil {
			return err
		}

		return optionErr
	}

	return dialer
}
