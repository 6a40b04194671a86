// Package socketoptions reads the options of this process's TCP connections back from the kernel, for tests.
package socketoptions

import (
	"net/netip"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// Options are the options that decide when a silent connection ends.
type Options struct {
	KeepAlive      bool
	Idle, Interval time.Duration
	Probes         int
	// UserTimeout is 0 if TCP_USER_TIMEOUT is not set.
	UserTimeout time.Duration
}

// Connection is an open TCP connection over IPv4.
type Connection struct {
	Local, Remote netip.AddrPort
	// Accepted is set if a listener of this process accepted the connection.
	Accepted bool
	Options  Options
}

// Connections returns the connections that are open.
func Connections(t *testing.T) []Connection {
	t.Helper()

	entries, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Fatal(err)
	}

	var connections []Connection

	listening := map[netip.AddrPort]bool{}

	for _, entry := range entries {
		fd, err := strconv.Atoi(entry.Name())
		if err != nil {
			t.Fatal(err)
		}

		if accepts, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ACCEPTCONN); err == nil && accepts != 0 {
			if local, err := unix.Getsockname(fd); err == nil {
				bound, _ := address(local)
				listening[bound] = true
			}
		}

		// Descriptors of other kinds, and connections that have ended meanwhile, have no peer.
		remote, err := unix.Getpeername(fd)
		if err != nil {
			continue
		}

		local, err := unix.Getsockname(fd)
		if err != nil {
			continue
		}

		if connection, ok := read(fd, local, remote); ok {
			connections = append(connections, connection)
		}
	}

	for i := range connections {
		connections[i].Accepted = listening[connections[i].Local]
	}

	return connections
}

func read(fd int, local, remote unix.Sockaddr) (Connection, bool) {
	from, isLocal := address(local)
	to, isRemote := address(remote)
	complete := isLocal && isRemote

	option := func(level, name int) int {
		value, err := unix.GetsockoptInt(fd, level, name)
		complete = complete && err == nil

		return value
	}

	options := Options{
		KeepAlive:   option(unix.SOL_SOCKET, unix.SO_KEEPALIVE) != 0,
		Idle:        time.Duration(option(unix.IPPROTO_TCP, unix.TCP_KEEPIDLE)) * time.Second,
		Interval:    time.Duration(option(unix.IPPROTO_TCP, unix.TCP_KEEPINTVL)) * time.Second,
		Probes:      option(unix.IPPROTO_TCP, unix.TCP_KEEPCNT),
		UserTimeout: time.Duration(option(unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)) * time.Millisecond,
	}

	return Connection{Local: from, Remote: to, Options: options}, complete
}

func address(of unix.Sockaddr) (netip.AddrPort, bool) {
	v4, ok := of.(*unix.SockaddrInet4)
	if !ok {
		return netip.AddrPort{}, false
	}

	return netip.AddrPortFrom(netip.AddrFrom4(v4.Addr), uint16(v4.Port)), true
}

// Documented reads the table of connections in a page: the options by the name of the row.
func Documented(t *testing.T, page string) map[string]Options {
	t.Helper()

	content, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}

	documented := map[string]Options{}

	for line := range strings.Lines(string(content)) {
		cells := strings.Split(line, "|")
		if len(cells) < 6 {
			continue
		}

		for i := range cells {
			cells[i] = strings.TrimSpace(cells[i])
		}

		idle, idleErr := time.ParseDuration(strings.ReplaceAll(cells[2], " ", ""))
		interval, intervalErr := time.ParseDuration(strings.ReplaceAll(cells[3], " ", ""))
		probes, probesErr := strconv.Atoi(cells[4])

		if idleErr != nil || intervalErr != nil || probesErr != nil {
			continue
		}

		// Without the option the cell says "no".
		userTimeout, _ := time.ParseDuration(strings.ReplaceAll(cells[5], " ", ""))
		documented[cells[1]] = Options{KeepAlive: true, Idle: idle, Interval: interval, Probes: probes, UserTimeout: userTimeout}
	}

	return documented
}
