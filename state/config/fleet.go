package config

import (
	"encoding/json"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway"
)

// KindFleet is the kind of the object that describes the fleet of one region. The object's name is the region.
const KindFleet Kind = "fleet"

// FleetSpec is the payload of a fleet object, schema version 1.
type FleetSpec struct {
	Region apricotway.Region `json:"region"`
	// Service is the service that the hosts run.
	Service apricotway.Service `json:"service"`
	// Demand is the rate in tokens per second that the fleet must still generate after the loss of its largest zone.
	Demand float64 `json:"demand"`
	// OnDemandFloor is the minimum number of on-demand hosts.
	OnDemandFloor int `json:"onDemandFloor,omitempty"`
	// MaxHosts bounds the hosts of the region; 0 means no bound.
	MaxHosts int `json:"maxHosts,omitempty"`
	// TokensPerSecond is the rate at which one host of each machine class generates tokens within the latency target.
	TokensPerSecond map[apricotway.MachineClass]float64 `json:"tokensPerSecond"`
	// Prices lists the markets in which hosts may be created. No hosts are created in a market that is not listed.
	Prices []FleetPrice `json:"prices"`
}

// FleetPrice is the price of one host for one hour. All prices of an object are in the same currency.
type FleetPrice struct {
	Zone         apricotway.Zone         `json:"zone"`
	MachineClass apricotway.MachineClass `json:"machineClass"`
	Reclaimable  bool                    `json:"reclaimable,omitempty"`
	Price        float64                 `json:"price"`
	// ReclaimsPerHour is the expected number of times that one host is reclaimed in an hour.
	ReclaimsPerHour float64 `json:"reclaimsPerHour,omitempty"`
}

func decodeFleet(payload json.RawMessage) (any, error) {
	var spec FleetSpec
	if err := json.Unmarshal(payload, &spec); err != nil {
		return nil, errors.Wrap(ErrInvalidSpec, err.Error())
	}

	switch {
	case spec.Region == "" || spec.Service == "":
		return nil, errors.Wrap(ErrInvalidSpec, "region and service must be set")
	case spec.Demand <= 0:
		return nil, errors.Wrap(ErrInvalidSpec, "demand must be above zero")
	case spec.OnDemandFloor < 0 || spec.MaxHosts < 0:
		return nil, errors.Wrap(ErrInvalidSpec, "onDemandFloor and maxHosts must not be negative")
	case spec.MaxHosts > 0 && spec.MaxHosts < spec.OnDemandFloor:
		return nil, errors.Wrap(ErrInvalidSpec, "maxHosts must not be below onDemandFloor")
	}

	for _, price := range spec.Prices {
		if price.Price <= 0 || price.ReclaimsPerHour < 0 || spec.TokensPerSecond[price.MachineClass] <= 0 {
			return nil, errors.Wrapf(ErrInvalidSpec,
				"%s in %s needs a price and tokensPerSecond above zero", price.MachineClass, price.Zone)
		}
	}

	return spec, nil
}

// Fleet returns the specification in force for a region's fleet.
func (f *Fold) Fleet(region apricotway.Region) (FleetSpec, bool) {
	spec, ok := f.current().fleets[region]
	return spec, ok && spec.Region == region
}
