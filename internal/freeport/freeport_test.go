package freeport_test

import (
	"net/netip"
	"testing"

	"github.com/apricotway/apricotway/internal/freeport"
)

// TestAddress checks that no address is returned twice and that no port is in the ephemeral range, where outgoing connections
// could take it.
func TestAddress(t *testing.T) {
	seen := map[netip.AddrPort]bool{}

	for range 200 {
		address := freeport.Address(t)
		if seen[address] {
			t.Errorf("got %s twice, want it once", address)
		}

		if got, want := address.Port(), uint16(30000); got >= want {
			t.Errorf("got port %d, want one below %d", got, want)
		}

		seen[address] = true
	}
}
