package daemon

import (
	"time"

	"github.com/apricotway/apricotway"
)

// staticMembership knows this process and the seeds of the settings. It stands in until membership is in place.
type staticMembership struct {
	self     apricotway.Member
	members  []apricotway.Member
	validity time.Duration
}

func (d *Daemon) staticMembership() *staticMembership {
	s := d.settings
	m := &staticMembership{
		self: apricotway.Member{
			Node: s.Node, Region: s.Region, Zone: s.Zone, State: apricotway.MemberAlive,
			Callers: d.callers.address, Peers: d.Peers(), Operator: d.operator.address,
		},
		validity: time.Duration(s.Stop.AddressValidity),
	}

	if s.Advertise.Callers.IsValid() {
		m.self.Callers = s.Advertise.Callers
	}

	for _, seed := range s.Seeds {
		m.members = append(m.members, apricotway.Member{
			Node: apricotway.NodeID(seed.String()), State: apricotway.MemberAlive, Peers: seed,
		})
	}

	return m
}

// Members implements apricotway.Membership.
func (s *staticMembership) Members() []apricotway.Member { return s.members }

// Self implements apricotway.Membership.
func (s *staticMembership) Self() apricotway.Member { return s.self }

// Addresses implements apricotway.Directory.
func (s *staticMembership) Addresses(
	apricotway.Service, apricotway.Workspace,
) ([]apricotway.Address, time.Duration) {
	own := apricotway.Address{Node: s.self.Node, Zone: s.self.Zone, Address: s.self.Callers}
	return []apricotway.Address{own}, s.validity
}
