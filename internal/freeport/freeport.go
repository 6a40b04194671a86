// Package freeport finds addresses for the processes that tests start.
package freeport

import (
	"net"
	"net/netip"
	"os"
	"sync/atomic"
	"testing"
)

const (
	// firstPort and ports span ports below those that the system gives to outgoing connections: one of these is taken by any
	// other process between the search for it and the start of the process that it is for.
	firstPort = 10000
	ports     = 20000
	// stride keeps test processes that run at the same time apart.
	stride = 211
)

var count atomic.Int64

// Address returns a loopback address whose port is free for TCP and UDP, and was not returned before.
func Address(t testing.TB) netip.AddrPort {
	t.Helper()

	for range ports {
		port := firstPort + (int64(os.Getpid())*stride+count.Add(1))%ports
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(port))

		if free(address) {
			return address
		}
	}

	t.Fatal("got no free port, want one")

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

	_ = packets.Close() // Nothing was received.

	return true
}
