package apricotway

import (
	"net/netip"
	"time"
)

// Address is one address at which callers reach the system.
type Address struct {
	Node    NodeID         `json:"node"`
	Zone    Zone           `json:"zone"`
	Address netip.AddrPort `json:"address"`
}

// Directory tells callers which addresses to use.
type Directory interface {
	// Addresses returns the addresses for a workspace's use of a service, the preferred one first, and the time for which
	// a caller may keep the answer.
	Addresses(service Service, workspace Workspace) ([]Address, time.Duration)
}
