// Package entry assembles and runs the process of an entry host, which forwards callers' requests to the backend servers of the
// operators' platform.
package entry

import (
	"cmp"
	"context"
	"encoding/hex"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/thejerf/suture/v4"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/cmd/internal/callers"
	"github.com/apricotway/apricotway/cmd/internal/process"
	"github.com/apricotway/apricotway/cmd/internal/settings"
	"github.com/apricotway/apricotway/coordination/catalog"
	"github.com/apricotway/apricotway/coordination/detours"
	"github.com/apricotway/apricotway/coordination/duty"
	"github.com/apricotway/apricotway/coordination/era"
	"github.com/apricotway/apricotway/coordination/membership"
	"github.com/apricotway/apricotway/coordination/origins"
	"github.com/apricotway/apricotway/coordination/rollout"
	"github.com/apricotway/apricotway/coordination/rollup"
	"github.com/apricotway/apricotway/coordination/suspect"
	"github.com/apricotway/apricotway/internal/build"
	"github.com/apricotway/apricotway/internal/pause"
	"github.com/apricotway/apricotway/internal/unknown"
	"github.com/apricotway/apricotway/platform"
	"github.com/apricotway/apricotway/protocol/relay"
	"github.com/apricotway/apricotway/state/bodybudget"
	"github.com/apricotway/apricotway/state/callerlimit"
	"github.com/apricotway/apricotway/state/canary"
	"github.com/apricotway/apricotway/state/configcheck"
	"github.com/apricotway/apricotway/state/dispatch"
	"github.com/apricotway/apricotway/state/fairshare"
	"github.com/apricotway/apricotway/state/member"
	"github.com/apricotway/apricotway/state/quota"
	"github.com/apricotway/apricotway/state/reach"
	"github.com/apricotway/apricotway/state/retrybudget"
	"github.com/apricotway/apricotway/state/route"
	"github.com/apricotway/apricotway/state/tally"
	"github.com/apricotway/apricotway/state/timeline"
	"github.com/apricotway/apricotway/transport/operator"
	"github.com/apricotway/apricotway/transport/peer"
	"github.com/apricotway/apricotway/transport/probe"
	"github.com/apricotway/apricotway/transport/upstream"
)

const (
	// largestHeader bounds headers in bytes for the sake of memory, whatever the configuration allows.
	largestHeader = 1 << 20
	// The defaults apply while no configuration states these limits.
	defaultHeaderBytes   = 64 << 10
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
	// sweepPeriod is the interval at which unused connections to backend servers are closed.
	sweepPeriod = 2 * time.Second
	// leaveNoticeTime is how long a leave notice takes to reach every process.
	leaveNoticeTime = 500 * time.Millisecond
	// stopReserve is the part of the stop limit reserved for shutting down after the last request. abortTime and usageTime are the
	// parts of it in which unfinished requests are answered and the last usage counts are sent.
	stopReserve = 750 * time.Millisecond
	abortTime   = 350 * time.Millisecond
	usageTime   = 250 * time.Millisecond
	// keyValidityFraction is the fraction of the key revocation time after which API keys are no longer accepted, unless the configuration
	// has been confirmed as current in the meantime.
	keyValidityFraction = 0.85
	// memoryLimitFraction is the fraction of the host's memory that is set as the Go runtime's soft memory limit.
	memoryLimitFraction = 0.6
	megabyte            = 1 << 20
	// defaultMemoryMegabytes is the memory of the host on which the bounds on bodies and connections rest if the settings don't state it.
	defaultMemoryMegabytes = 512
	// bodiesFraction is the fraction of the memory that the bodies of callers' requests may take. The heap may grow to twice of what is in use
	// before it is collected, so they cost a third.
	bodiesFraction = 6
	// linkMegabitsPerCore is the link bandwidth in Mbit/s that a duty holder needs per core: answering the reports of 295 processes takes
	// 26 Mbit/s and a sixth of a core (500 answers per second of 6.4 KB and 0.3 ms each).
	linkMegabitsPerCore = 160
	millicoresPerCore   = 1000
)

// probeConfig returns the membership timing for an entry host. All processes detect an ended process within about 2 s, stop
// sending callers to it and take over its duties.
func probeConfig() member.Config {
	config := member.DefaultConfig()
	config.Period = 500 * time.Millisecond
	config.AckTimeout = 200 * time.Millisecond
	config.SuspicionPeriods = 3
	config.DeadRetention = 2 * time.Minute
	config.ReconnectPeriod = 2 * time.Second

	return config
}

// Entry is a running entry host process.
type Entry struct {
	settings   settings.Entry
	logger     logr.Logger
	supervisor *suture.Supervisor
	registry   *prometheus.Registry
	unknown    *unknown.Counter
	panics     *process.Panics

	clock      *timeline.Clock
	peerServer *peer.Server
	peers      *peer.Client
	membership *membership.Driver
	rollout    *rollout.Rollout
	eras       *era.Tracker
	platform   *platform.Client
	catalog    *catalog.Catalog
	pool       *dispatch.Pool
	limiter    *quota.Limiter
	gate       *fairshare.Gate
	limits     *callerlimit.Limits
	bodies     *bodybudget.Budget
	suspects   *suspect.Suspects
	rollup     *rollup.Rollup
	relay      *relay.Relay
	// detours is nil until the process is assembled.
	detours atomic.Pointer[detours.Detours]

	// content is the last content of the settings file. Only the goroutine that reloads the settings may access it.
	content []byte

	// leaving is set when the process begins to stop, and stopLimit holds until when it then waits for calls in flight.
	leaving   atomic.Bool
	stopLimit atomic.Pointer[time.Time]

	callers *callers.Server
	servers []*callers.Server
	cancel  context.CancelFunc
	stopped <-chan error
}

// Start binds the configured addresses and starts the process.
func Start(ctx context.Context, s settings.Entry, logger logr.Logger) (*Entry, error) {
	s.Node += apricotway.NodeID("-" + uuid.NewString()[:8])
	e := &Entry{
		settings: s, logger: logger.WithValues("node", s.Node), registry: prometheus.NewRegistry(), unknown: unknown.New(),
		limiter: quota.New(), gate: fairshare.NewGate(), limits: callerlimit.New(statedLimits(apricotway.CallerLimits{})),
		bodies: bodybudget.New(cmp.Or(s.MemoryMegabytes, defaultMemoryMegabytes) * megabyte / bodiesFraction),
	}

	if s.MemoryMegabytes > 0 {
		debug.SetMemoryLimit(int64(float64(s.MemoryMegabytes) * memoryLimitFraction * megabyte))
	}

	e.clock = timeline.NewClock(time.Now)
	e.panics = process.NewPanics(e.logger)
	e.panics.Register(e.registry)
	e.registry.MustRegister(e.unknown)
	e.supervisor = suture.New("apricotway", e.panics.Supervisor())

	if err := e.assemble(ctx); err != nil {
		return nil, err
	}

	ctx, e.cancel = context.WithCancel(context.WithoutCancel(ctx))
	e.stopped = e.supervisor.ServeBackground(ctx)
	process.Started(e.logger, s.Listen.Callers, s.Listen.Operator)

	return e, nil
}

// assemble creates the components of the process, adds them to the supervisor and starts the servers.
func (e *Entry) assemble(ctx context.Context) error {
	s := e.settings

	counters := newCounters(e.registry)
	e.eras = era.New(era.WithLogger(e.logger))
	e.platform = platform.New(s.Platform.Store, platform.WithCloud(s.Platform.Cloud), platform.WithObserver(counters.platformCall),
		platform.WithEraObserver(e.eras.Observe))

	if err := e.join(ctx); err != nil {
		return err
	}

	poolOptions := []dispatch.Option{dispatch.WithZone(s.Zone)}
	if canaryBounds(s).Enabled() {
		poolOptions = append(poolOptions, dispatch.WithCanary())
	}

	if s.ServerSpeeds {
		poolOptions = append(poolOptions, dispatch.WithServerSpeeds())
	}

	if s.ServerSpeeds && s.SlowStart {
		poolOptions = append(poolOptions, dispatch.WithSlowStart())
	}

	e.pool = dispatch.New(poolOptions...)
	e.registry.MustRegister(newLimitGauge(func() int { return len(e.serverLimits(time.Now())) }), newWithheldServers(e.pool.ServiceStates),
		newShareGauge(func() int { return len(e.gate.InForce(time.Now())) }), newServerSpeeds(e.pool))

	e.catalog = catalog.New(e.supervisor, e.platform, e.pool, catalog.WithLogger(e.logger), catalog.WithEras(e.eras),
		catalog.WithKeyValidity(keyValidity(s)), catalog.WithPeerNews(e.peers, e.peerServer, e.membership),
		catalog.WithListRead(e.pool.Origins().SetListed), catalog.WithComplete(func() bool {
			return !e.pool.Shifts() || e.platform.VersionShiftsKnown()
		}),
		catalog.WithChanged(func(t *route.Table) {
			e.limits.Replace(time.Now(), statedLimits(t.Limits))
			e.limiter.SetLimits(time.Now(), t.Version, t.Workspaces())
			e.pool.Origins().SetLifetime(t.LongestStream())
		}))

	e.registry.MustRegister(newConfigurationGauges(e.catalog.Versions)...)
	e.registry.MustRegister(newDoubtGauge(e.pool.Origins()))

	monitor := reach.New()
	connections := upstream.New(upstream.WithDialHook(counters.opened.Inc), upstream.WithObserver(monitor))
	e.pool.Origins().SetHeld(connections.HeldSince)

	processes := upstream.New()
	e.supervisor.Add(apricotway.Periodic("unused connections", sweepPeriod, func(_ context.Context, now time.Time) {
		connections.Sweep(now)
		processes.Sweep(now)
	}))

	health := &healthChecker{e.catalog, connections}
	ways := detours.New(e.supervisor, monitor, e.pool, health, e.membership,
		detours.WithLogger(e.logger), detours.WithChanged(e.membership.Announce))
	e.detours.Store(ways)
	e.registry.MustRegister(newPathGauge(ways.Lost))

	usageTally := tally.New(time.Duration(s.UsageWindow))
	budget := retrybudget.New(retrybudget.Limits{
		Ratio: s.Retries.Ratio, Window: time.Duration(s.Retries.Window), Slack: s.Retries.Slack,
	})

	duties := duty.New(e.supervisor, e.platform, e.membership, e.membership, duty.WithLogger(e.logger),
		duty.WithEras(e.eras), duty.WithLease(time.Duration(s.HolderLease)), duty.WithLastContact(e.membership.LastContact),
		duty.WithUnknown(e.unknown.Of("dutyRecord")), duty.WithSettled(e.membership.Settled))
	e.suspects = suspect.New(suspect.WithLogger(e.logger))
	cuts := suspect.NewCuts(e.supervisor, health, connections.HeldSince, e.pool.Backends, suspect.WithCutsLogger(e.logger),
		suspect.WithJudged(counters.cutsJudged))
	e.rollup = rollup.New(e.supervisor, rollup.Parts{
		Catalog: e.catalog, Pool: e.pool, Limiter: e.limiter, Budget: budget, Tally: usageTally, Suspects: e.suspects, Gate: e.gate,
	}, duties, e.platform, e.membership, e.peers, e.peerServer, rollup.WithLogger(e.logger), rollup.WithEras(e.eras),
		rollup.WithShifts(e.platform, canaryBounds(s)))
	e.registry.MustRegister(newShiftMetrics(e.rollup.ShiftDecisions, func() []canary.State { return e.pool.ShiftStates(time.Now()) }))

	streams := origins.New(e.supervisor, e.pool.Origins(), e.platform, e.catalog, origins.WithLogger(e.logger), origins.WithEras(e.eras),
		origins.WithMetrics(counters), origins.WithMembers(func() int { return countLive(e.membership) }),
		origins.WithWriteRate(s.Platform.WritesPerSecond), origins.WithCopies(e.peers, e.peerServer, e.membership),
		origins.WithUnknown(e.unknown.Of("originRecord")))

	e.relay = relay.New(platform.Dialect{}, connections, e.catalog, e.pool, e.rollup, budget, usageTally,
		relay.WithLogger(e.logger), relay.WithMetrics(counters), relay.WithMover(e.platform), relay.WithStop(e.stopping),
		relay.WithQuarantine(e.suspects), relay.WithCuts(cuts), relay.WithOrigins(streams), relay.WithDetours(ways, processes),
		relay.WithGate(e.gate),
		relay.WithBodies(e.bodies), relay.WithBodyLimit(func() int64 { return e.limits.InForce(time.Now()).BodyBytes }))

	return e.serveAll(ctx, counters)
}

// serveAll starts the HTTP servers.
func (e *Entry) serveAll(ctx context.Context, counters *counters) error {
	addresses := e.settings.Listen

	listener, err := listen(ctx, "callers", addresses.Callers)
	if err != nil {
		return err
	}

	bounds := process.BoundCallers(e.logger, e.registry, e.bodies, cmp.Or(e.settings.MemoryMegabytes, defaultMemoryMegabytes))
	e.callers = e.serve(ctx, "callers", listener, e.relay, append(bounds.Callers(), callers.WithAccepted(counters.accepted.Inc),
		callers.WithEnded(func(request *http.Request, ending callers.Ending) {
			counters.answers.WithLabelValues(string(ending.Outcome)).Inc()
			e.logEnding(request, ending)
		}))...)

	operators := operator.New(e.registry, func() error {
		if !e.ready() {
			return errors.New("configuration or list of backend servers not read yet, or leaving") // Part of a response; keep the text.
		}

		return nil
	})
	operators.HandleJSON("/v1/members", func() any { return append(e.membership.Members(), e.membership.Self()) })
	operators.HandleJSON("/v1/rollout", func() any { return process.NewRollout(e.rollout, e.unknown) })
	operators.HandleJSON("/v1/backends", func() any { return e.pool.Backends() })
	operators.HandleJSON("/v1/configuration", func() any { return e.catalog.Versions() })
	operators.HandleJSON("/v1/configuration/content", func() any {
		table := e.catalog.Table()
		if table == nil {
			return nil
		}

		return configcheck.WithoutKeys(table.Deployment())
	})
	operators.HandleJSON("/v1/limits", func() any { return e.serverLimits(time.Now()) })
	operators.HandleJSON("/v1/shares", func() any { return e.shares(time.Now()) })
	operators.HandleJSON("/v1/canaries", func() any { return e.canaries(time.Now()) })
	operators.HandleJSON("/v1/quarantine", func() any { return e.quarantine() })

	for _, entry := range []struct {
		name    string
		address netip.AddrPort
		handler http.Handler
		options []callers.Option
	}{
		{"directory", addresses.Directory, platform.Directory(e.addresses), bounds.Secondary("directory")},
		{"readiness", addresses.Readiness, platform.Readiness(e.ready), bounds.Secondary("readiness")},
		{"operator", addresses.Operator, operators, nil},
	} {
		listener, err := listen(ctx, entry.name, entry.address)
		if err != nil {
			return err
		}

		e.servers = append(e.servers, e.serve(ctx, entry.name, listener, entry.handler, entry.options...))
	}

	return nil
}

// logEnding logs a request whose answer was not written whole to its caller's connection.
func (e *Entry) logEnding(request *http.Request, ending callers.Ending) {
	if ending.Outcome == callers.OutcomeWritten {
		return
	}

	message := ""
	if ending.Err != nil {
		message = ending.Err.Error()
	}

	// A request without an attempt identifier has an empty one.
	metadata, _ := platform.Dialect{}.ReadCall(request.Header)
	e.logger.Info("answer not written whole to the caller's connection", "event", 390, "attempt", metadata.Attempt, "outcome", ending.Outcome,
		"bytes", ending.Bytes, "error", message, "took", ending.Took, "host", request.Host, "path", request.URL.EscapedPath(),
		"caller", request.RemoteAddr)
}

// join starts the peer server, the probe socket and the membership.
func (e *Entry) join(ctx context.Context) error {
	s := e.settings

	listener, err := listen(ctx, "peers", s.Listen.Peers)
	if err != nil {
		return err
	}

	e.peerServer = peer.NewServer(e.supervisor, listener, e.clock, peer.WithServerLogger(e.logger),
		peer.WithServerMemberCheck(e.isPeerAddress), peer.WithServerPanicHook(func() { e.panics.Count("peers") }),
		peer.WithServerUnknown(e.unknown.Of("method")))
	e.peers = peer.NewClient(e.clock)

	key, err := hex.DecodeString(s.ProbeKey)
	if err != nil {
		return errors.Wrap(err, "decode probe key")
	}

	socket, err := probe.Listen(ctx, s.Listen.Probes, key, e.registry)
	if err != nil {
		return errors.Wrap(err, "listen for membership probes")
	}

	peers := s.Listen.Peers
	if s.Listen.AdvertisedPeers.IsValid() {
		peers = s.Listen.AdvertisedPeers
	}

	self := apricotway.Member{
		Node: s.Node, Region: s.Region, Zone: s.Zone, Callers: s.Listen.Callers, Peers: peers,
		Probes: s.Listen.Probes, Operator: s.Listen.Operator, Capacity: capacity(s),
	}
	e.membership = membership.New(e.supervisor, self, socket, e.peers, e.peerServer, e.platform,
		membership.WithLogger(e.logger), membership.WithKey(key), membership.WithEras(e.eras), membership.WithSeeds(s.Seeds),
		membership.WithConfig(probeConfig()),
		membership.WithValidity(time.Duration(s.AddressValidity)), membership.WithReady(e.ready), membership.WithIsolated(e.isolated),
		membership.WithUnknown(e.unknown.Of("member")))
	e.membership.Register(e.registry)
	socket.Receive(e.supervisor, e.membership.Receive)

	e.rollout = rollout.New(e.supervisor, e.membership, e.membership, build.Name(), rollout.WithLogger(e.logger))
	e.rollout.Register(e.registry)

	return nil
}

// capacity returns the host's capacity for duties in thousandths of a core. A link below linkMegabitsPerCore per core reduces it.
func capacity(s settings.Entry) int {
	if s.LinkMegabits > 0 {
		return int(millicoresPerCore * min(s.Processor, s.LinkMegabits/linkMegabitsPerCore))
	}

	return int(millicoresPerCore * s.Processor)
}

// isPeerAddress reports whether an address is the peer address of a member.
func (e *Entry) isPeerAddress(address netip.Addr) bool {
	for _, member := range e.membership.Members() {
		if member.Peers.Addr() == address {
			return true
		}
	}

	return false
}

func listen(ctx context.Context, name string, address netip.AddrPort) (net.Listener, error) {
	var config net.ListenConfig

	listener, err := config.Listen(ctx, "tcp", address.String())
	if err != nil {
		return nil, errors.Wrap(err, "listen: "+name)
	}

	return listener, nil
}

// serve starts an HTTP server in which a panic ends only the request that caused it.
func (e *Entry) serve(
	ctx context.Context, name string, listener net.Listener, handler http.Handler, options ...callers.Option,
) *callers.Server {
	server := callers.New(ctx, &http.Server{
		Handler: e.panics.Handler(name, handler), MaxHeaderBytes: largestHeader,
	}, listener, append(options, callers.WithLimits(func() apricotway.CallerLimits {
		return e.limits.InForce(time.Now())
	}))...)

	e.supervisor.Add(apricotway.ServiceFunc{Name: name, Func: func(context.Context) error {
		if err := server.Serve(); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "serve "+name)
		}

		return suture.ErrDoNotRestart
	}})
	e.supervisor.Add(apricotway.Periodic("connections of "+name, callers.SweepPeriod, func(_ context.Context, now time.Time) {
		server.Sweep(now)
	}))

	return server
}

// statedLimits returns the limits on callers of a configuration, with a default for each that it doesn't state.
func statedLimits(limits apricotway.CallerLimits) apricotway.CallerLimits {
	if limits.HeaderBytes <= 0 {
		limits.HeaderBytes = defaultHeaderBytes
	}

	if limits.BodyBytes <= 0 {
		limits.BodyBytes = relay.DefaultBodyBytes
	}

	if limits.HeaderTimeout <= 0 {
		limits.HeaderTimeout = defaultHeaderTimeout
	}

	if limits.IdleTimeout <= 0 {
		limits.IdleTimeout = defaultIdleTimeout
	}

	return limits
}

// ready reports whether the process accepts callers.
func (e *Entry) ready() bool {
	return !e.leaving.Load() && e.catalog != nil && e.catalog.Ready() && e.membership.Searched()
}

// isolated reports whether the process has lost its paths to the backend servers. It is called before the process is assembled.
func (e *Entry) isolated() bool {
	detours := e.detours.Load()
	return detours != nil && detours.Lost()
}

// addresses returns the caller addresses of all ready processes and how long callers may cache them.
func (e *Entry) addresses(apricotway.Zone) ([]netip.AddrPort, time.Duration) {
	available := e.membership.Available()

	addresses := make([]netip.AddrPort, len(available))
	for i, m := range available {
		addresses[i] = m.Callers
	}

	return addresses, time.Duration(e.settings.AddressValidity)
}

// stopping reports whether the process is stopping, and until when it waits for calls in flight.
func (e *Entry) stopping() (limit time.Time, stopping bool) {
	if at := e.stopLimit.Load(); at != nil {
		return *at, true
	}

	return time.Time{}, false
}

// Stop shuts the process down gracefully: it announces its leave, keeps serving until the addresses that callers have cached
// expire, and then waits for the requests in flight until shortly before the stop limit. Requests that are unfinished by then are
// answered or aborted.
func (e *Entry) Stop(ctx context.Context) {
	process.Stopping(e.logger)

	limit := time.Now().Add(time.Duration(e.settings.StopLimit) - stopReserve)
	ctx, cancel := context.WithDeadline(ctx, limit)

	defer cancel()

	e.stopLimit.Store(&limit)
	e.leaving.Store(true)
	e.membership.AnnounceLeave()
	pause.For(ctx, time.Duration(e.settings.AddressValidity)+leaveNoticeTime)

	if err := e.callers.Drain(ctx); err != nil {
		e.logger.Info("requests in flight aborted at the stop limit", "event", 107, "error", err.Error(),
			"calls", e.relay.LogUnfinished())
		e.abortCalls(ctx)
	}

	// The deadline of ctx may have passed already, so the final usage counts are sent with a deadline of their own.
	closing, cancelClosing := context.WithTimeout(context.WithoutCancel(ctx), usageTime)
	defer cancelClosing()

	e.rollup.Stop(closing)
	e.membership.AnnounceStop()

	for _, server := range e.servers {
		server.Close() // Aborts only directory, readiness and operator requests.
	}

	e.peers.Close()
	e.cancel()
	process.Stopped(e.logger, <-e.stopped)
}

// abortCalls ends the calls in flight: those whose answer has not begun get one.
func (e *Entry) abortCalls(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), abortTime)
	defer cancel()

	if err := e.callers.Abort(ctx); err != nil {
		e.logger.Info("requests in flight end with the process", "event", 371, "error", err.Error(), "calls", e.relay.LogUnfinished())
	}
}
