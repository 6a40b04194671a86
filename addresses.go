package apricotway

import (
	"net/netip"
	"time"
)

// Address is the address of one process for callers.
type Address struct {
	Node    NodeID         `json:"node"`
	Zone    Zone           `json:"zone"`
	Address netip.AddrPort `json:"address"`
}

// Directory provides the addresses that callers should use.
type Directory interface {
	// Addresses returns the addresses at which a workspace should call a service, the preferred one first, and the time for
	// which a caller may cache them.
	Addresses(service Service, workspace Workspace) ([]Address, time.Duration)
}

// MemberState is the state of a process as another process sees it.
type MemberState string

// The values of MemberState.
const (
	MemberAlive   MemberState = "alive"
	MemberSuspect MemberState = "suspect"
	// MemberLeaving processes finish their work and take no new work.
	MemberLeaving MemberState = "leaving"
	MemberDead    MemberState = "dead"
)

// Member is one process of the system as others see it.
type Member struct {
	Node   NodeID      `json:"node"`
	Region Region      `json:"region"`
	Zone   Zone        `json:"zone"`
	State  MemberState `json:"state"`
	// Ready is set once the member has read its configuration, so that callers may be directed to it.
	Ready bool `json:"ready"`
	// Incarnation increases whenever the member refutes a suspicion; the state with the highest incarnation is valid.
	Incarnation uint64         `json:"incarnation"`
	Callers     netip.AddrPort `json:"callers"`
	Peers       netip.AddrPort `json:"peers"`
	Probes      netip.AddrPort `json:"probes"`
	Operator    netip.AddrPort `json:"operator"`
	// Capacity is the processor capacity of the member's host in thousandths of a core; 0 when it is not known.
	Capacity int `json:"capacity,omitempty"`
	// Isolated is set while the member has lost its paths to the backend servers and passes calls on through others.
	Isolated bool `json:"isolated,omitempty"`
}

// Membership provides the known processes of the system.
type Membership interface {
	// Members returns all known members but this process, in the order of their nodes.
	Members() []Member
	// Self returns this process.
	Self() Member
}
