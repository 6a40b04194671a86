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

// hostCheck compares the host batches of the usage stream with the fleet streams and the configuration from which they were
// computed, as far as the log still holds those.
type hostCheck struct {
	entries   []entry
	histories map[apricotway.Region]*account.HostHistory
	// skipped counts the checks that were skipped because the fleet stream or the configuration is no longer in the log. A batch
	// that lacks both counts twice.
	skipped int
}

// newHostCheck reads the fleet streams of the regions with a cost rule. A stream whose start was trimmed is not checked.
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

// check returns a description of what is wrong with a host batch, or an empty string.
func (c *hostCheck) check(batch account.HostBatch) string {
	hosts := c.histories[batch.Region]
	if hosts == nil {
		c.skipped++
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

// checkConfig compares the cost rule and the prices of a batch with the configuration revisions that the batch names. It returns a
// description of the first difference, or an empty string.
func (c *hostCheck) checkConfig(batch account.HostBatch) string {
	var rule config.CostRuleSpec

	switch found, ok := c.decodeSpec(config.KindCostRule, batch.Region, batch.Rule.Revision, &rule); {
	case !found:
		c.skipped++
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

		found, ok := c.decodeSpec(config.KindFleet, batch.Region, line.Revision, &prices)
		if !found {
			c.skipped++
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

// decodeSpec decodes a revision of a region's object into spec. The result found is false if the log no longer holds the
// revision; ok reports whether the revision is an accepted one of that object.
func (c *hostCheck) decodeSpec(kind config.Kind, region apricotway.Region, revision apricotway.Offset, spec any) (found, ok bool) {
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
