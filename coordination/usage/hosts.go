package usage

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/account"
	"github.com/apricotway/apricotway/state/config"
	"github.com/apricotway/apricotway/state/fleet"
)

// hostPeriod is the shortest period of a host batch. A changed price applies to the whole period in which it is published.
const hostPeriod = time.Minute

// hosts is the state for writing the host batches of one region.
type hosts struct {
	region        apricotway.Region
	configuration *config.Fold
	history       *account.HostHistory
	// lastPrices holds the last known price and its revision for each market: hosts of a market may run on after the
	// configuration has dropped its price.
	lastPrices map[fleet.Market]account.HostTime
	// waited is the time for which a host batch has been due.
	waited time.Duration
	// trimmed is set when the start of the fleet stream is no longer kept, so that host times cannot be computed.
	trimmed bool
}

// WithHostBatches makes the writer append the host batches of a region while the configuration has a cost rule for it.
func WithHostBatches(region apricotway.Region, configuration *config.Fold) StatementsOption {
	return func(s *Statements) {
		s.hosts = &hosts{
			region: region, configuration: configuration,
			history: account.NewHostHistory(fleet.StreamOf(region)), lastPrices: map[fleet.Market]account.HostTime{},
		}
	}
}

// ReadHostHistory applies the records of a fleet stream up to its end to the history. It fails with apricotway.ErrTrimmed if the
// next record is no longer kept.
func ReadHostHistory(ctx context.Context, log apricotway.Log, stream apricotway.Stream, history *account.HostHistory) error {
	for {
		batch, err := log.Read(ctx, stream, history.Next(), readLimit, 0)
		if err != nil {
			return errors.Wrap(err, "read fleet stream")
		}

		for _, record := range batch.Records {
			history.Apply(record)
		}

		if len(batch.Records) == 0 {
			return nil
		}
	}
}

// stepHosts appends a host batch if one is due and has been for longer than the delay of this process's rank.
func (s *Statements) stepHosts(ctx context.Context, rank int) error {
	h := s.hosts

	rule, ok := account.RuleOf(h.configuration, h.region)
	if !ok || h.trimmed {
		return nil
	}

	h.readPrices()

	err := ReadHostHistory(ctx, s.log, fleet.StreamOf(h.region), h.history)
	if errors.Is(err, apricotway.ErrTrimmed) {
		h.trimmed = true
		s.logger.Info("start of the fleet stream is trimmed; not accounting host costs", "event", 508, "region", h.region)

		return nil
	}

	if err != nil {
		return err
	}

	previous, from := s.reader.Fold().NextHostPeriod(h.region)
	to := h.history.Now()

	if previous == 0 {
		// The first batch covers no time; it only sets the start of the region's account.
		from = to
	}

	if to.IsZero() || (previous > 0 && to.Sub(from) < hostPeriod) {
		h.waited = 0
		return nil
	}

	if h.waited += rankDelay; h.waited <= time.Duration(rank)*rankDelay {
		return nil
	}

	h.waited = 0
	h.history.Forget(from)

	batch := account.HostBatch{
		Region: h.region, Previous: previous, From: from, To: to, Hosts: h.history.Between(from, to), Rule: rule,
	}

	for i := range batch.Hosts {
		line := &batch.Hosts[i]
		price, ok := h.lastPrices[line.Market]

		if !ok {
			s.logger.Info("no price known for running hosts; accounting them at zero", "event", 509, "region", h.region,
				"zone", line.Zone, "class", line.MachineClass)
		}

		line.Price, line.Revision = price.Price, price.Revision
	}

	record, err := batch.Record(s.signer, s.key)
	if err != nil {
		return err
	}

	return s.append(ctx, record)
}

// readPrices updates lastPrices from the configuration.
func (h *hosts) readPrices() {
	spec, ok := h.configuration.Fleet(h.region)
	if !ok {
		return
	}

	revision := h.configuration.InForce(config.Name{Kind: config.KindFleet, Object: string(h.region)})

	for _, price := range spec.Prices {
		market := fleet.Market{Zone: price.Zone, MachineClass: price.MachineClass, Reclaimable: price.Reclaimable}
		h.lastPrices[market] = account.HostTime{Price: account.PriceInMillionths(price.Price), Revision: revision}
	}
}
