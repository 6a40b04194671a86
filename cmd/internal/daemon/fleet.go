package daemon

import (
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/coordination/leasing"
	"github.com/apricotway/apricotway/coordination/planning"
	"github.com/apricotway/apricotway/state/config"
	"github.com/apricotway/apricotway/state/fleet"
	"github.com/apricotway/apricotway/state/lease"
	"github.com/apricotway/apricotway/transport/platform"
)

// planTerms are the planner parameters that operators do not set. Among hysteresis values of 0, 0.05, 0.1, 0.15, 0.2 and 0.3,
// those from 0.15 cost least on generated prices, and 0.2 moves a fifth fewer hosts than 0.15 (docs/fleet.md).
var planTerms = fleet.Parameters{MaxChanges: 256, Hysteresis: 0.2, Hold: 5 * time.Minute, Start: 3 * time.Minute}

// fleetLease lets a successor start planning 10 s after the holder's last renewal.
var fleetLease = lease.Terms{TTL: 9 * time.Second, Margin: time.Second, MaxOrder: 5 * time.Second}

// startPlanner competes for the lease to plan the fleet of this process's region. Without the address of a cloud API in the
// settings it does nothing; the planner changes no hosts while the region has no fleet object in force.
func (d *Daemon) startPlanner(log apricotway.Log) {
	s := d.settings
	if !s.Platform.Cloud.IsValid() {
		return
	}

	regionLease := leasing.New(d.supervisor, log, d.writer, fleet.StreamOf(s.Region), s.Node, fleetLease,
		leasing.WithLogger(d.logger))

	planning.New(d.supervisor, s.Region, s.Node, log, d.writer, regionLease, platform.NewHosts(s.Platform.Hosts),
		platform.NewCloud(s.Platform.Cloud), func() (planning.Target, bool) {
			spec, ok := d.feed.Fold().Fleet(s.Region)
			if !ok {
				return planning.Target{}, false
			}

			return fleetTarget(spec), true
		}, planning.WithLogger(d.logger), planning.WithCheckpointInterval(checkpointInterval))
}

func fleetTarget(spec config.FleetSpec) planning.Target {
	target := planning.Target{Service: spec.Service, Demand: spec.Demand, Terms: planTerms}
	target.Terms.OnDemandFloor, target.Terms.MaxHosts = spec.OnDemandFloor, spec.MaxHosts

	for _, price := range spec.Prices {
		target.Offers = append(target.Offers, fleet.Offer{
			Market: fleet.Market{Zone: price.Zone, MachineClass: price.MachineClass, Reclaimable: price.Reclaimable},
			Price:  price.Price, ReclaimsPerHour: price.ReclaimsPerHour,
			TokensPerSecond: spec.TokensPerSecond[price.MachineClass],
		})
	}

	return target
}
