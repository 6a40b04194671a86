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

// hostPeriod is the shortest period of a host batch. A change of a price counts from the period on in which it comes.
const hostPeriod = time.Minute

// hosts writes the host batches of one region.
type hosts struct {
	region        apricotway.Region
	configuration *config.Fold
	history       *account.HostHistory
	// priced holds the last known price of each market: a market that is no longer listed still has hosts for a while.
	priced map[fleet.Market]account.HostTime
	waited time.Duration
	// lost is set when the start of the fleet stream is not kept.
	lost bool
}

// WithHosts makes the writer append the host batches of a region when the configuration holds a cost rule for it.
func WithHosts(region apricotway.Region, configuration *config.Fold) StatementsOption {
	return func(s *Statements) {
		s.hosts = &hosts{
			region: region, configuration: configuration,
			history: account.NewHostHistory(fleet.StreamOf(region)), priced: map[fleet.Market]account.HostTime{},
		}
	}
}

// ReadHosts reads a fleet stream to its end. It fails with ErrTrimmed when the stream's start is not kept.
func ReadHosts(ctx context.Context, log apricotway.Log, stream apricotway.Stream, history *account.HostHistory) error {
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

// stepHosts appends a host batch when one is due and the turn of this process has come.
func (s *Statements) stepHosts(ctx context.Context, rank int) error {
	h := s.hosts

	rule, ok := account.RuleOf(h.configuration, h.region)
	if !ok || h.lost {
		return nil
	}

	h.readPrices()

	err := ReadHosts(ctx, s.log, fleet.StreamOf(h.region), h.history)
	if errors.Is(err, apricotway.ErrTrimmed) {
		h.lost = true
		s.logger.Info("fleet stream trimmed, hosts not accounted", "event", 508, "region", h.region)

		return nil
	}

	if err != nil {
		return err
	}

	previous, from := s.reader.Fold().NextHosts(h.region)
	to := h.history.Now()

	if previous == 0 {
		// The first batch only opens the account of the region.
		from = to
	}

	if to.IsZero() || (previous > 0 && to.Sub(from) < hostPeriod) {
		h.waited = 0
		return nil
	}

	if h.waited += statementTurn; h.waited <= time.Duration(rank)*statementTurn {
		return nil
	}

	h.waited = 0
	h.history.Forget(from)

	batch := account.HostBatch{
		Region: h.region, Previous: previous, From: from, To: to, Hosts: h.history.Between(from, to), Rule: rule,
	}

	for i := range batch.Hosts {
		line := &batch.Hosts[i]
		price, ok := h.priced[line.Market]

		if !ok {
			s.logger.Info("host without a price", "event", 509, "region", h.region, "zone", line.Zone, "class", line.MachineClass)
		}

		line.Price, line.Revision = price.Price, price.Revision
	}

	record, err := batch.Record(s.signer, s.key)
	if err != nil {
		return err
	}

	return s.append(ctx, record)
}

func (h *hosts) readPrices() {
	spec, ok := h.configuration.Fleet(h.region)
	if !ok {
		return
	}

	revision := h.configuration.InForce(config.Name{Kind: config.KindFleet, Object: string(h.region)})

	for _, price := range spec.Prices {
		market := fleet.Market{Zone: price.Zone, MachineClass: price.MachineClass, Reclaimable: price.Reclaimable}
		h.priced[market] = account.HostTime{Price: account.PriceUnits(price.Price), Revision: revision}
	}
}
