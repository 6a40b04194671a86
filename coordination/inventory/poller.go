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
	// reportSlots bounds the concurrent reads of engines that answered the last read. With 120 engines and a period of 1 s, a
	// read may take a quarter of the period.
	reportSlots = 32
	// retrySlots bounds the concurrent reads of engines that did not answer the last read. They have separate slots, so that a
	// zone of engines that hang does not delay the reports of the others.
	retrySlots = 8
	// eventPause is the time for which no cache events of an engine are read after the policy ignored the last ones. Each read
	// would return the same events again, several hundred kilobytes for a busy engine.
	eventPause = 10 * time.Second
)

// ReportedFunc receives a load report, like the Reported method of routing.Policy.
type ReportedFunc func(now time.Time, server apricotway.BackendServerID, report apricotway.LoadReport)

// CachedFunc receives cache events, like the Cached method of routing.Policy.
type CachedFunc func(now time.Time, server apricotway.BackendServerID, events []apricotway.CacheEvent)

// Poller periodically reads the load reports of the engines that this process uses, and their cache events if configured.
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
	// reading holds the engines that are being read; there is at most one read per engine.
	reading map[apricotway.BackendServerID]bool
	// failed holds the engines that did not answer the last read. The size of these maps is bounded by the engines in use.
	failed map[apricotway.BackendServerID]bool
	// paused holds the time until which no cache events of an engine are read.
	paused map[apricotway.BackendServerID]time.Time
}

// PollerOption configures a poller under construction.
type PollerOption func(*Poller)

// WithPollerLogger sets the logger.
func WithPollerLogger(logger logr.Logger) PollerOption {
	return func(p *Poller) { p.logger = logger }
}

// WithReportPeriod sets the time between two load reports of one engine.
func WithReportPeriod(period time.Duration) PollerOption {
	return func(p *Poller) { p.period = period }
}

// WithServerFilter sets which servers are read; by default those with a version.
func WithServerFilter(accept func(apricotway.BackendServer) bool) PollerOption {
	return func(p *Poller) { p.accept = accept }
}

// WithCacheEvents makes the poller read cache events after each load report. Sequence returns the number of the last event that
// the policy has processed; only later events are read.
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
		// Servers of plain services have no version, and no load report in this form.
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

// round starts one read of each engine, spread evenly over one period.
func (p *Poller) round(ctx context.Context, reads *sync.WaitGroup) {
	begin := time.Now()
	servers := p.targets()
	timer := time.NewTimer(0)

	defer timer.Stop()

	for n := range len(servers) + 1 {
		// The last wait lasts to the end of the period; without engines it is the whole period.
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

// targets returns the engines to read and removes the state of all others.
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

// start reads one report in the background. It skips the engine in this period if its last read is still running or no slot is
// free.
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

		// An engine whose cache events cannot be read has still answered.
		return ctx.Err()
	case errors.Is(err, apricotway.ErrNotSent) && ctx.Err() == nil:
		p.inventory.MarkLost(server.ID, time.Now())
	}

	p.logger.V(1).Info("reading a load report failed", "event", 214, "server", server.ID, "error", err.Error())

	return err
}

// readEvents reads the cache events of an engine. Errors are ignored, since an engine need not provide cache events.
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
