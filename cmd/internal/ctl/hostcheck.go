package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/coordination/usage"
	"github.com/apricotway/apricotway/state/account"
	"github.com/apricotway/apricotway/state/config"
	"github.com/apricotway/apricotway/state/fleet"
)

// hostCheck compares host batches with the fleet streams and the configuration, as far as both are kept.
type hostCheck struct {
	entries   []entry
	histories map[apricotway.Region]*account.HostHistory
	// unchecked counts the batches whose fleet stream or configuration is no longer kept.
	unchecked int
}

// newHostCheck reads the fleet streams of the regions with a cost rule.
func newHostCheck(ctx context.Context, log apricotway.Log, configuration *history) (*hostCheck, error) {
	c := &hostCheck{entries: configuration.entries, histories: map[apricotway.Region]*account.HostHistory{}}

	for _, object := range configuration.fold.Objects() {
		if object.Kind != config.KindCostRule {
			continue
		}

		region := apricotway.Region(object.Object)
		hosts := account.NewHostHistory(fleet.StreamOf(region))

		err := usage.ReadHostHistory(ctx, log, fleet.StreamOf(region), hosts)
		if errors.Is(err, apricotway.ErrTrimmed) {
			continue
		}

		if err != nil {
			return nil, err
		}

		c.histories[region] = hosts
	}

	return c, nil
}

// check returns what is wrong with a host batch, or nothing.
func (c *hostCheck) check(batch account.HostBatch) string {
	hosts := c.histories[batch.Region]
	if hosts == nil {
		c.unchecked++
		return c.checkConfig(batch)
	}

	hosts.Forget(batch.From)

	got := slices.Clone(batch.Hosts)
	for i := range got {
		got[i].Price, got[i].Revision = 0, 0
	}

	if !slices.Equal(got, hosts.Between(batch.From, batch.To)) {
		return "the time of the hosts differs from the fleet stream"
	}

	return c.checkConfig(batch)
}

// checkConfig compares the rule and the prices with the revisions that the batch names.
func (c *hostCheck) checkConfig(batch account.HostBatch) string {
	var rule config.CostRuleSpec

	switch found, ok := c.spec(config.KindCostRule, batch.Region, batch.Rule.Revision, &rule); {
	case !found:
		c.unchecked++
		return ""
	case !ok || rule.Idle != batch.Rule.Idle || len(rule.Shares) != len(batch.Rule.Shares):
		return fmt.Sprintf("revision %d holds another cost rule", batch.Rule.Revision)
	}

	for _, share := range batch.Rule.Shares {
		if rule.Shares[share.Owner] != share.Share {
			return fmt.Sprintf("revision %d holds another share of %s", batch.Rule.Revision, share.Owner)
		}
	}

	for _, line := range batch.Hosts {
		var prices config.FleetSpec

		found, ok := c.spec(config.KindFleet, batch.Region, line.Revision, &prices)
		if !found {
			c.unchecked++
			return ""
		}

		if !ok || !slices.ContainsFunc(prices.Prices, func(price config.FleetPrice) bool {
			market := fleet.Market{Zone: price.Zone, MachineClass: price.MachineClass, Reclaimable: price.Reclaimable}
			return market == line.Market && account.PriceInMillionths(price.Price) == line.Price
		}) {
			return fmt.Sprintf("revision %d holds another price for %s in %s", line.Revision, line.MachineClass, line.Zone)
		}
	}

	return ""
}

// spec decodes a revision of an object. It reports false when the revision is no longer kept, and whether it is an accepted one
// of the object.
func (c *hostCheck) spec(kind config.Kind, region apricotway.Region, revision apricotway.Offset, spec any) (found, ok bool) {
	if len(c.entries) == 0 || (revision > 0 && revision < c.entries[0].Offset) {
		return false, false
	}

	for _, e := range c.entries {
		if e.Offset != revision {
			continue
		}

		var change config.Change

		ok := e.Kind == string(kind) && e.Object == string(region) && e.Verdict == config.VerdictAccepted &&
			json.Unmarshal(e.Payload, &change) == nil && json.Unmarshal(change.Spec, spec) == nil

		return true, ok
	}

	return true, false
}
