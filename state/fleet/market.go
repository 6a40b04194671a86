// Package fleet decides which hosts make up a region's fleet, and folds the stream that records their creation and release.
// It performs no I/O.
package fleet

import (
	"cmp"
	"time"

	"github.com/apricotway/apricotway"
)

// Market is a source of hosts: all hosts of a market have the same price, and are refused or reclaimed for the same reasons.
type Market struct {
	Zone         apricotway.Zone         `json:"zone"`
	MachineClass apricotway.MachineClass `json:"machineClass"`
	Reclaimable  bool                    `json:"reclaimable"`
}

// compare sorts the reclaimable market of a class first, so that hosts that may be lost are released before on-demand ones,
// which make up the floor.
func (m Market) compare(other Market) int {
	reclaimable := 0
	if m.Reclaimable != other.Reclaimable {
		reclaimable = 1
		if m.Reclaimable {
			reclaimable = -1
		}
	}

	return cmp.Or(cmp.Compare(m.Zone, other.Zone), cmp.Compare(m.MachineClass, other.MachineClass), reclaimable)
}

// wholeZone returns the market without a class that stands for all markets of the same zone.
func wholeZone(market Market) Market { return Market{Zone: market.Zone} }

// Offer is a market with its current price.
type Offer struct {
	Market

	// Price is the price of one host for one hour, in a currency common to all offers.
	Price float64
	// TokensPerSecond is the rate at which one host generates tokens within the latency target.
	TokensPerSecond float64
	// ReclaimsPerHour is the expected number of times that one host is reclaimed in an hour.
	ReclaimsPerHour float64
}

// unitPrice returns the price per useful token. It includes that after each reclaim the replacement is paid for while it
// starts.
func (o Offer) unitPrice(start time.Duration) float64 {
	return o.Price * (1 + o.ReclaimsPerHour*start.Hours()) / o.TokensPerSecond
}

// HostState tells whether a host's capacity can be relied on.
type HostState string

// The values of HostState.
const (
	// HostPending is a host that was ordered and is not on the host list, because it is new or because the list lags.
	HostPending HostState = "pending"
	HostLive    HostState = "live"
	// HostLeaving is a host with a reclaim notice, or with a release in progress. Its capacity counts as lost.
	HostLeaving HostState = "leaving"
)

// Host is a host of the region as the planner sees it.
type Host struct {
	// ID is empty until the order is answered.
	ID apricotway.BackendServerID
	Market
	State HostState
	// Foreign is set for hosts that the planner did not create. Their capacity counts, and they are never released.
	Foreign bool
}

// Observation is the input of a plan.
type Observation struct {
	// Demand is the rate in tokens per second that the fleet must still generate after the loss of its largest zone.
	Demand float64
	Offers []Offer
	Hosts  []Host
	// Blocked holds markets that currently accept no orders. A market without a class stands for all markets of its zone.
	Blocked map[Market]bool
}

// Parameters are the bounds and assumptions that a planner works with.
type Parameters struct {
	// OnDemandFloor is the minimum number of on-demand hosts.
	OnDemandFloor int
	// MaxHosts bounds the hosts of the region, foreign ones included; 0 means no bound.
	MaxHosts int
	// MaxChanges bounds the creations, and separately the releases, of one plan.
	MaxChanges int
	// Hysteresis is the fraction by which another market has to be cheaper before a host is moved to it.
	Hysteresis float64
	// Hold is the time that a host has to be surplus before it is released.
	Hold time.Duration
	// Start is the time from the order of a host to its first generated token.
	Start time.Duration
}

// Action is the kind of change that an intent makes.
type Action string

// The values of Action.
const (
	ActionCreate  Action = "create"
	ActionRelease Action = "release"
)

// Intent is a change of the fleet to be made. With its sequence number set, it is the payload of an intent record.
type Intent struct {
	// Sequence is one above that of the previous intent in the stream. An intent with any other number is void, so that a
	// repeated record has no effect.
	Sequence uint64             `json:"sequence"`
	Action   Action             `json:"action"`
	Service  apricotway.Service `json:"service,omitempty"`
	Market   Market             `json:"market,omitzero"`
	// Host is the host to release.
	Host apricotway.BackendServerID `json:"host,omitempty"`
}
