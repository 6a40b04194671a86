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
	// demandTick is the time between two looks whether an entry is due.
	demandTick = time.Second
	// demandEntry bounds topic, key and payload of an entry in bytes, so that one fits into each packet with its envelope.
	demandEntry = 160
)

// Exchange tells the other processes of the demand of this one and divides the capacity by the demand of all.
type Exchange struct {
	broadcasts apricotway.Broadcasts
	self       apricotway.NodeID
	own        func() map[apricotway.Service]admission.Demand
	others     func() []apricotway.NodeID
	logger     logr.Logger

	// version, last and sent belong to the goroutine that publishes.
	version uint64
	last    []byte
	sent    time.Time

	mu    sync.Mutex
	state *admission.Exchange
}

// ExchangeOption changes an exchange under construction.
type ExchangeOption func(*Exchange)

// WithExchangeLogger sets the logger.
func WithExchangeLogger(logger logr.Logger) ExchangeOption {
	return func(x *Exchange) { x.logger = logger }
}

// NewExchange returns an exchange and adds its goroutine to the supervisor. Own returns the demand of this process by
// service, others the other processes that serve.
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

	supervisor.Add(apricotway.Periodic("demand exchange", demandTick, func(context.Context, time.Time) { x.publish(time.Now()) }))

	return x
}

// publish sends one entry a period, and one that repeats the last only before that expires. Entries without any demand are
// sent too: the others keep places free for a process of which they know nothing.
func (x *Exchange) publish(now time.Time) {
	processes := len(x.others()) + 1
	period, lifetime := admission.DemandPeriod(processes), admission.DemandLifetime(processes)

	// A tick that comes a little early does not skip a period.
	due := x.sent.Add(period - demandTick/2)
	if now.Before(due) {
		return
	}

	entry := admission.EncodeDemand(x.own(), demandEntry-len(apricotway.TopicDemand)-len(x.self))
	if x.version > 0 && bytes.Equal(entry, x.last) && now.Sub(x.sent) < lifetime/2 {
		return
	}

	x.version++
	x.last, x.sent = entry, now

	if err := x.broadcasts.Publish(apricotway.BroadcastEntry{
		Topic: apricotway.TopicDemand, Key: string(x.self), Version: x.version, Payload: entry, Lifetime: lifetime,
	}); err != nil {
		x.logger.V(1).Info("demand not published", "event", 216, "error", err.Error())
	}
}

func (x *Exchange) receive(key string, version uint64, payload []byte) {
	lifetime := admission.DemandLifetime(len(x.others()) + 1)

	x.mu.Lock()
	defer x.mu.Unlock()

	now := time.Now()
	x.state.Expire(now)
	x.state.Receive(now, apricotway.NodeID(key), version, payload, lifetime)
}

// Heard returns the number of processes whose entries count.
func (x *Exchange) Heard() int {
	x.mu.Lock()
	defer x.mu.Unlock()

	return x.state.Heard(time.Now())
}

// Limits returns the limits of this process's gate for a service with the given capacity.
func (x *Exchange) Limits(
	service apricotway.Service, places, longPart float64, weights map[apricotway.Workspace]float64, g *Gate,
) admission.Limits {
	own, others := g.Demand(), x.others()

	x.mu.Lock()
	defer x.mu.Unlock()

	return x.state.Limits(time.Now(), service, places, longPart, weights, own, others)
}
