package apricotway

import (
	"context"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
)

// HostState is the state of a backend server's host in the platform's list.
type HostState string

// The values of HostState.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// BackendServer is one entry of the platform's host list.
type BackendServer struct {
	ID           BackendServerID `json:"id"`
	Service      Service         `json:"service"`
	Region       Region          `json:"region"`
	Zone         Zone            `json:"zone"`
	MachineClass MachineClass    `json:"machineClass"`
	Version      ModelVersion    `json:"version,omitempty"`
	// Software is the version of the software of the server.
	Software SoftwareVersion `json:"software,omitempty"`
	Address  netip.AddrPort  `json:"address"`
	State    HostState       `json:"state"`
	// Deadline is the time at which the platform removes the host; zero unless the state is HostLeaving.
	Deadline time.Time `json:"deadline,omitzero"`
	// ClientToken is the token of the order that created the host; empty for hosts that were not ordered through Cloud.
	ClientToken string `json:"clientToken,omitempty"`
}

// Lineage returns the lineage of the texts that the server generates.
func (s *BackendServer) Lineage() Lineage { return Lineage{Model: s.Version, Software: s.Software} }

// HostList is the platform's list of live and leaving hosts, which lags behind the actual state.
type HostList interface {
	Hosts(ctx context.Context) ([]BackendServer, error)
}

// Fencing limits the validity of an order to the lease under which it was given.
type Fencing struct {
	// Number is the fencing number. A platform that checks it refuses a number below the highest one that it has seen.
	Number Offset `json:"number"`
	// NotAfter is the time after which the order must not be carried out.
	NotAfter time.Time `json:"notAfter,omitzero"`
}

// HostOrder asks the cloud API for one host.
type HostOrder struct {
	// ClientToken makes the order idempotent: two orders with one token create one host.
	ClientToken  string       `json:"clientToken"`
	Service      Service      `json:"service"`
	Zone         Zone         `json:"zone"`
	MachineClass MachineClass `json:"machineClass"`
	Reclaimable  bool         `json:"reclaimable"`
	Fencing      Fencing      `json:"fencing"`
}

// Cloud is the platform's API for ordering and releasing hosts.
type Cloud interface {
	// Create orders a host and returns its identifier.
	Create(ctx context.Context, order HostOrder) (BackendServerID, error)
	// Release returns a host to the platform. Releasing an unknown host is no error.
	Release(ctx context.Context, id BackendServerID, fencing Fencing) error
}

// WeightStore is the platform's rate-limited store of model weights.
type WeightStore interface {
	// Reserve asks for the transfer of one version to one backend server. A positive wait means that the transfer was not
	// reserved and when to ask again.
	Reserve(ctx context.Context, version ModelVersion, server BackendServerID) (wait time.Duration, err error)
}

// Errors of the platform clients.
var (
	// ErrPlatformUnavailable reports that a platform service did not answer.
	ErrPlatformUnavailable = errors.New("platform service unavailable")
	// ErrHostRefused reports that the cloud has no such host available at present.
	ErrHostRefused = errors.New("host refused")
	// ErrOrderFenced reports that the cloud has seen an order of a later lease, or received the order after its NotAfter time.
	ErrOrderFenced = errors.New("order under an old lease refused")
)
