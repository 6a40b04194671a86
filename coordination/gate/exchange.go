package gate

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/thejerf/suture/v4"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/admission"
)

const (
	// publishCheckPeriod is the time between two checks whether an entry is due.
	publishCheckPeriod = time.Second
	// maxEntrySize bounds the topic, key and payload of an entry in bytes, so that one fits into each packet with its envelope.
	maxEntrySize = 160
)

// Exchange broadcasts this process's demand to the other processes and computes this process's part of the capacity from the demand
// of all.
type Exchange struct {
	broadcasts apricotway.Broadcasts
	self       apricotway.NodeID
	own        func() map[apricotway.Service]admission.Demand
	others     func() []apricotway.NodeID
	logger     logr.Logger

	// version, lastEntry and lastSent are used by the publishing goroutine only.
	version   uint64
	lastEntry []byte
	lastSent  time.Time

	mu    sync.Mutex
	state *admission.Exchange
}

// ExchangeOption configures an Exchange.
type ExchangeOption func(*Exchange)

// WithExchangeLogger sets the logger.
func WithExchangeLogger(logger logr.Logger) ExchangeOption {
	return func(x *Exchange) { x.logger = logger }
}

// NewExchange returns an Exchange and adds its goroutine to the supervisor. The function own returns the demand of this process by
// service; others returns the other processes that serve requests.
func NewExchange(
	supervisor *suture.Supervisor, broadcasts apricotway.Broadcasts, self apricotway.NodeID,
	own func() map[apricotway.Service]admission.Demand, others func() []apricotway.NodeID, options ...ExchangeOption,
) *Exchange {
	x := &Exchange{
		broadcasts: broadcasts, self: self, own: own, others: others, logger: logr.Discard(), state: admission.NewExchange(self),
	}
	for _, option := range options {
		option(x)
	}

	broadcasts.Subscribe(apricotway.TopicDemand, x.receive)

	supervisor.Add(apricotway.Periodic("demand exchange", publishCheckPeriod, func(context.Context, time.Time) { x.publish(time.Now()) }))

	return x
}

// publish broadcasts at most one entry per period. An unchanged entry is repeated only when half of its lifetime is over. Entries
// without any demand are sent too, since the other processes reserve slots for a process whose demand they don't know.
func (x *Exchange) publish(now time.Time) {
	processes := len(x.others()) + 1
	period, lifetime := admission.DemandPeriod(processes), admission.DemandLifetime(processes)

	// Allow for a check that runs a little early, so that it does not skip a whole period.
	due := x.lastSent.Add(period - publishCheckPeriod/2)
	if now.Before(due) {
		return
	}

	entry := admission.EncodeDemand(x.own(), maxEntrySize-len(apricotway.TopicDemand)-len(x.self))
	if x.version > 0 && bytes.Equal(entry, x.lastEntry) && now.Sub(x.lastSent) < lifetime/2 {
		return
	}

	x.version++
	x.lastEntry, x.lastSent = entry, now

	if err := x.broadcasts.Publish(apricotway.BroadcastEntry{
		Topic: apricotway.TopicDemand, Key: string(x.self), Version: x.version, Payload: entry, Lifetime: lifetime,
	}); err != nil {
		x.logger.V(1).Info("failed to publish this process's demand", "event", 216, "error", err.Error())
	}
}

// receive takes the demand entry of another process, whose name is the key.
func (x *Exchange) receive(key string, version uint64, payload []byte) {
	lifetime := admission.DemandLifetime(len(x.others()) + 1)

	x.mu.Lock()
	defer x.mu.Unlock()

	now := time.Now()
	x.state.Expire(now)
	x.state.Receive(now, apricotway.NodeID(key), version, payload, lifetime)
}

// Heard returns the number of processes with an unexpired entry.
func (x *Exchange) Heard() int {
	x.mu.Lock()
	defer x.mu.Unlock()

	return x.state.ActivePeers(time.Now())
}

// Limits returns this process's part of a service's capacity as the limits for the gate g. Slots is the capacity over all
// processes; longShare is the share of it that long requests may use.
func (x *Exchange) Limits(
	service apricotway.Service, slots, longShare float64, weights map[apricotway.Workspace]float64, g *Gate,
) admission.Limits {
	own, others := g.Demand(), x.others()

	x.mu.Lock()
	defer x.mu.Unlock()

	return x.state.Limits(time.Now(), service, slots, longShare, weights, own, others)
}
