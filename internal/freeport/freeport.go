// Package freeport finds free loopback addresses for processes that tests start.
package freeport

import (
	"net"
	"net/netip"
	"os"
	"sync/atomic"
	"testing"
)

const (
	// firstPort and ports define a range below the ephemeral ports. An ephemeral port could be assigned to an outgoing connection
	// of another process after it was found free and before the test's process listens on it.
	firstPort = 10000
	ports     = 20000
	// stride separates the port ranges of test processes that run at the same time, by process ID.
	stride = 211
)

var count atomic.Int64

// Address returns a loopback address whose port is free for TCP and UDP and has not been returned before.
func Address(t testing.TB) netip.AddrPort {
	t.Helper()

	for range ports {
		port := firstPort + (int64(os.Getpid())*stride+count.Add(1))%ports
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(port))

		if free(address) {
			return address
		}
	}

	t.Fatal("found no free port in the range")

	return netip.AddrPort{}
}

func free(address netip.AddrPort) bool {
	stream, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address))
	if err != nil {
		return false
	}
	defer func() { _ = stream.Close() }()

	packets, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return false
	}

	_ = packets.Close() // No data can be lost.

	return true
}
