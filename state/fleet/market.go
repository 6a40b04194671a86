// Package fleet decides which hosts a region's fleet consists of and folds the stream that records their creation and
// release. It performs no I/O.
package fleet

import (
	"cmp"
	"time"

	"github.com/apricotway/apricotway"
)

// Market is what a host is bought on: the price, the refusals and the reclaims of its hosts have one cause.
type Market struct {
	Zone         apricotway.Zone         `json:"zone"`
	MachineClass apricotway.MachineClass `json:"machineClass"`
	Reclaimable  bool                    `json:"reclaimable"`
}

// compare puts the reclaimable markets of a class first: what may be lost is released before what is the floor.
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

// wholeZone returns what stands for all markets of the market's zone.
func wholeZone(market Market) Market { return Market{Zone: market.Zone} }

// Offer is a market with its current price.
type Offer struct {
	Market

	// Price is the price of one host for one hour, in any currency that is the same for all offers.
	Price float64
	// TokensPerSecond is what one host generates within the latency target.
	TokensPerSecond float64
	// ReclaimsPerHour is the expected number of reclaims of one host in one hour.
	ReclaimsPerHour float64
}

// unitPrice returns the price per useful token: a reclaimed host is paid for while its replacement starts.
func (o Offer) unitPrice(start time.Duration) float64 {
	return o.Price * (1 + o.ReclaimsPerHour*start.Hours()) / o.TokensPerSecond
}

// HostState tells how far a host's capacity can be relied on.
type HostState string

// The values of HostState.
const (
	// HostPending is a host that was ordered and that the host list does not show yet, or does not show at present.
	HostPending HostState = "pending"
	HostLive    HostState = "live"
	// HostLeaving is a host with a reclaim notice. It counts as lost from the notice on.
	HostLeaving HostState = "leaving"
)

// Host is a host of the region as the planner sees it.
type Host struct {
	// ID is empty while the order has no answer.
	ID apricotway.BackendServerID
	Market
	State HostState
	// Foreign is set for hosts that the planner did not create. They count as capacity and are never released.
	Foreign bool
}

// Observation is everything that a plan depends on.
type Observation struct {
	// Demand is the number of tokens a second that the fleet must still generate without its largest zone.
	Demand float64
	Offers []Offer
	Hosts  []Host
	// Blocked holds markets that take no new hosts at present. A market without a class stands for all markets of its zone.
	Blocked map[Market]bool
}

// Terms are the parameters of a planner.
type Terms struct {
	// OnDemandFloor is the smallest number of on-demand hosts.
	OnDemandFloor int
	// MaxHosts bounds the hosts of the region, foreign ones included; 0 stands for no bound.
	MaxHosts int
	// MaxChanges bounds the creations and the releases of one plan.
	MaxChanges int
	// Hysteresis is the part by which another market has to be cheaper before a host moves there.
	Hysteresis float64
	// Hold is the time for which a host has to be surplus before it is released.
	Hold time.Duration
	// Start is the time from the order of a host to its first token.
	Start time.Duration
}

// Action tells what an intent does.
type Action string

// The values of Action.
const (
	ActionCreate  Action = "create"
	ActionRelease Action = "release"
)

// Intent is one wanted change of the fleet. It is the payload of an intent record once the sequence number is set.
type Intent struct {
	// Sequence is one above that of the intent before it in the stream. An intent with another number is void, so a second
	// copy of a record has no effect.
	Sequence uint64             `json:"sequence"`
	Action   Action             `json:"action"`
	Service  apricotway.Service `json:"service,omitempty"`
	Market   Market             `json:"market,omitzero"`
	// Host is the host to release.
	Host apricotway.BackendServerID `json:"host,omitempty"`
}
