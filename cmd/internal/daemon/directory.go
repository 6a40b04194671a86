package daemon

import (
	"time"

	"github.com/apricotway/apricotway"
)

// staticDirectory answers with this process and the seeds of the settings.
type staticDirectory struct {
	addresses []apricotway.Address
	validity  time.Duration
}

func (d *Daemon) directory() apricotway.Directory {
	own := d.callers.address
	if d.settings.Advertise.Callers.IsValid() {
		own = d.settings.Advertise.Callers
	}

	addresses := []apricotway.Address{{Node: d.settings.Node, Zone: d.settings.Zone, Address: own}}
	for _, seed := range d.settings.Seeds {
		addresses = append(addresses, apricotway.Address{Address: seed})
	}

	return &staticDirectory{addresses: addresses, validity: time.Duration(d.settings.Stop.AddressValidity)}
}

// Addresses implements apricotway.Directory.
func (s *staticDirectory) Addresses(
	apricotway.Service, apricotway.Workspace,
) ([]apricotway.Address, time.Duration) {
	return s.addresses, s.validity
}
