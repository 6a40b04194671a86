package inventory

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"github.com/thejerf/suture/v4"

	"github.com/apricotway/apricotway"
)

const (
	// DefaultReportPeriod is the time between two load reports of one engine.
	DefaultReportPeriod = time.Second
	// reportSlots bounds the reads at a time of engines that answered last time. At 120 engines and a period of 1 s it lets
	// a read take a quarter of the period.
	reportSlots = 32
	// retrySlots bounds those of engines that did not answer. They have slots of their own, so that a zone that hangs does
	// not hold up the reports of the others.
	retrySlots = 8
	// eventPause is the time without cache events of an engine whose last ones were not taken. Each read would bring all of
	// them again, several hundred kilobytes of a busy engine.
	eventPause = 10 * time.Second
)

// ReportedFunc takes a load report, as the method Reported of routing.Policy does.
type ReportedFunc func(now time.Time, server apricotway.BackendServerID, report apricotway.LoadReport)

// CachedFunc takes cache events, as the method Cached of routing.Policy does.
type CachedFunc func(now time.Time, server apricotway.BackendServerID, events []apricotway.CacheEvent)

// Poller reads the load reports of the engines that this process uses.
type Poller struct {
	inventory *Inventory
	engines   apricotway.EngineClient
	reported  ReportedFunc
	accept    func(apricotway.BackendServer) bool
	// sequence and cached are nil when cache events are not read.
	sequence func(apricotway.BackendServerID) uint64
	cached   CachedFunc
	logger   logr.Logger
	period   time.Duration

	slots, retries chan struct{}

	mu sync.Mutex
	// reading holds the engines whose read has not ended; each has one read at a time.
	reading map[apricotway.BackendServerID]bool
	// failed holds the engines that did not answer last time. All are bounded by the engines in use.
	failed map[apricotway.BackendServerID]bool
	// paused holds the times until which no cache events are read.
	paused map[apricotway.BackendServerID]time.Time
}

// PollerOption changes a poller under construction.
type PollerOption func(*Poller)

// WithPollerLogger sets the logger.
func WithPollerLogger(logger logr.Logger) PollerOption {
	return func(p *Poller) { p.logger = logger }
}

// WithReportPeriod sets the time between two load reports of one engine.
func WithReportPeriod(period time.Duration) PollerOption {
	return func(p *Poller) { p.period = period }
}

// WithAccept sets which servers are read.
func WithAccept(accept func(apricotway.BackendServer) bool) PollerOption {
	return func(p *Poller) { p.accept = accept }
}

// WithCacheEvents reads the cache events behind a sequence number after each load report.
func WithCacheEvents(sequence func(apricotway.BackendServerID) uint64, cached CachedFunc) PollerOption {
	return func(p *Poller) { p.sequence, p.cached = sequence, cached }
}

// NewPoller returns a poller and adds its goroutine to the supervisor.
func NewPoller(
	supervisor *suture.Supervisor, inventory *Inventory, engines apricotway.EngineClient, reported ReportedFunc,
	options ...PollerOption,
) *Poller {
	p := &Poller{
		inventory: inventory,
		engines:   engines,
		reported:  reported,
		// Servers of plain services have no version and no load report of this form.
		accept:  func(server apricotway.BackendServer) bool { return server.Version != "" },
		logger:  logr.Discard(),
		period:  DefaultReportPeriod,
		slots:   make(chan struct{}, reportSlots),
		retries: make(chan struct{}, retrySlots),
		reading: map[apricotway.BackendServerID]bool{},
		failed:  map[apricotway.BackendServerID]bool{},
		paused:  map[apricotway.BackendServerID]time.Time{},
	}
	for _, option := range options {
		option(p)
	}

	supervisor.Add(apricotway.ServiceFunc{Name: "load reports", Func: func(ctx context.Context) error {
		var reads sync.WaitGroup
		defer reads.Wait()

		for ctx.Err() == nil {
			p.round(ctx, &reads)
		}

		return ctx.Err()
	}})

	return p
}

// round starts the reads of all engines, spread evenly over one period.
func (p *Poller) round(ctx context.Context, reads *sync.WaitGroup) {
	begin := time.Now()
	servers := p.targets()
	timer := time.NewTimer(0)

	defer timer.Stop()

	for n := range len(servers) + 1 {
		// The last wait ends the period; without engines it is the whole one.
		timer.Reset(time.Until(begin.Add(p.period * time.Duration(n) / time.Duration(max(1, len(servers))))))

		if len(servers) == 0 {
			timer.Reset(p.period)
		}

		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}

		if n < len(servers) {
			p.start(ctx, reads, servers[n])
		}
	}
}

// targets returns the engines to read and forgets the state of all others.
func (p *Poller) targets() []apricotway.BackendServer {
	var servers []apricotway.BackendServer

	present := map[apricotway.BackendServerID]bool{}

	for _, server := range p.inventory.Tracked() {
		if p.accept(server) {
			servers = append(servers, server)
			present[server.ID] = true
		}
	}

	p.mu.Lock()
	defer p.mu.Unlock()

	for id := range p.failed {
		if !present[id] {
			delete(p.failed, id)
		}
	}

	for id := range p.paused {
		if !present[id] {
			delete(p.paused, id)
		}
	}

	return servers
}

// start reads one report in the background. The read is left out for this period when the last one of the engine still
// runs, or when no slot is free.
func (p *Poller) start(ctx context.Context, reads *sync.WaitGroup, server apricotway.BackendServer) {
	p.mu.Lock()
	defer p.mu.Unlock()

	slots := p.slots
	if p.failed[server.ID] {
		slots = p.retries
	}

	if p.reading[server.ID] {
		return
	}

	select {
	case slots <- struct{}{}:
	default:
		return
	}

	p.reading[server.ID] = true

	reads.Go(func() {
		err := p.read(ctx, server)

		<-slots

		p.mu.Lock()
		defer p.mu.Unlock()

		delete(p.reading, server.ID)

		if err != nil {
			p.failed[server.ID] = true
		} else {
			delete(p.failed, server.ID)
		}
	})
}

func (p *Poller) read(ctx context.Context, server apricotway.BackendServer) error {
	ctx, cancel := context.WithTimeout(ctx, p.period)
	defer cancel()

	begun := time.Now()
	report, err := p.engines.Load(ctx, server)

	switch {
	case err == nil:
		p.inventory.MarkReached(server.ID, begun)
		p.reported(time.Now(), server.ID, report)

		p.readEvents(ctx, server)

		// An engine that has no cache events still answers.
		return ctx.Err()
	case errors.Is(err, apricotway.ErrNotSent) && ctx.Err() == nil:
		p.inventory.MarkLost(server.ID, time.Now())
	}

	p.logger.V(1).Info("load report not read", "event", 214, "server", server.ID, "error", err.Error())

	return err
}

// readEvents reads the cache events of an engine. An engine that has none is not at fault.
func (p *Poller) readEvents(ctx context.Context, server apricotway.BackendServer) {
	if p.cached == nil {
		return
	}

	p.mu.Lock()
	paused := time.Now().Before(p.paused[server.ID])
	p.mu.Unlock()

	if paused {
		return
	}

	before := p.sequence(server.ID)

	events, err := p.engines.CacheEvents(ctx, server, before)
	if err != nil {
		return
	}

	p.cached(time.Now(), server.ID, events)

	if len(events) > 0 && p.sequence(server.ID) == before {
		p.mu.Lock()
		p.paused[server.ID] = time.Now().Add(eventPause)
		p.mu.Unlock()
	}
}
