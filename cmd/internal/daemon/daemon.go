// Package daemon builds and runs one Apricotway process from its settings.
package daemon

import (
	"cmp"
	"context"
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
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/thejerf/suture/v4"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/cmd/internal/callers"
	"github.com/apricotway/apricotway/cmd/internal/process"
	"github.com/apricotway/apricotway/cmd/internal/settings"
	"github.com/apricotway/apricotway/coordination/configfeed"
	"github.com/apricotway/apricotway/coordination/inventory"
	"github.com/apricotway/apricotway/coordination/journal"
	"github.com/apricotway/apricotway/coordination/membership"
	"github.com/apricotway/apricotway/coordination/rollout"
	"github.com/apricotway/apricotway/coordination/usage"
	"github.com/apricotway/apricotway/internal/unknown"
	"github.com/apricotway/apricotway/protocol/call"
	"github.com/apricotway/apricotway/protocol/completion"
	"github.com/apricotway/apricotway/state/bodybudget"
	"github.com/apricotway/apricotway/state/timeline"
	"github.com/apricotway/apricotway/transport/api"
	"github.com/apricotway/apricotway/transport/logservice"
	"github.com/apricotway/apricotway/transport/operator"
	"github.com/apricotway/apricotway/transport/peer"
	"github.com/apricotway/apricotway/transport/platform"
	"github.com/apricotway/apricotway/transport/service"
)

// closeLimit bounds the write of the last usage batch when the process stops.
const closeLimit = 5 * time.Second

// abortLimit bounds the time in which unfinished requests are answered when the process stops.
const abortLimit = 3 * time.Second

const (
	// memoryLimitFraction is the fraction of the host's memory that is set as the Go runtime's soft memory limit.
	memoryLimitFraction = 0.6
	megabyte            = 1 << 20
	// defaultMemoryMegabytes is the memory of the host on which the bounds on bodies and connections rest if the settings don't state it.
	defaultMemoryMegabytes = 2048
	// bodiesFraction is the fraction of the memory that the bodies of callers' requests may take. A model request takes about twice its body
	// besides, for the decoded prompt and the request to the engine.
	bodiesFraction = 12
)

// headerTimeout bounds the time for reading the header of an HTTP request.
const headerTimeout = 10 * time.Second

// Daemon is a running Apricotway process.
type Daemon struct {
	settings   settings.Settings
	logger     logr.Logger
	supervisor *suture.Supervisor
	writer     *journal.Writer
	feed       *configfeed.Feed
	inventory  *inventory.Inventory
	usage      *usage.Recorder

	clock      *timeline.Clock
	ring       *timeline.Ring
	peerServer *peer.Server
	peers      *peer.Client
	membership *membership.Driver
	rollout    *rollout.Rollout
	unknown    *unknown.Counter
	probes     netip.AddrPort
	leaving    atomic.Bool

	completions *completion.Requests
	bodies      *bodybudget.Budget

	callers       *listener
	callersServer *callers.Server
	operator      *listener
	peerListener  net.Listener
	panics        *process.Panics

	cancel  context.CancelFunc
	stopped <-chan error
}

// listener is an HTTP server with its network listener and the address to which it is bound.
type listener struct {
	address netip.AddrPort
	net     net.Listener
	server  *http.Server
}

// Option configures a Daemon.
type Option func(*Daemon)

// WithLogger sets the logger.
func WithLogger(logger logr.Logger) Option {
	return func(d *Daemon) { d.logger = logger }
}

// Start binds the listen addresses of the settings, builds the components of the process and runs them.
func Start(ctx context.Context, s settings.Settings, options ...Option) (*Daemon, error) {
	s.Node = newNodeID(s.Node)

	d := &Daemon{settings: s, logger: logr.Discard(), unknown: unknown.New()}
	d.bodies = bodybudget.New(cmp.Or(s.MemoryMegabytes, defaultMemoryMegabytes) * megabyte / bodiesFraction)

	if s.MemoryMegabytes > 0 {
		debug.SetMemoryLimit(int64(float64(s.MemoryMegabytes) * memoryLimitFraction * megabyte))
	}

	for _, option := range options {
		option(d)
	}

	d.clock = timeline.NewClock(time.Now)
	d.ring = timeline.NewRing(s.Node, d.clock, timeline.DefaultCapacity)
	d.logger = newRecordingLogger(d.logger.WithValues("node", s.Node), d.ring)
	d.panics = process.NewPanics(d.logger)
	d.supervisor = suture.New("apricotway", d.panics.Supervisor())

	if err := d.assemble(ctx); err != nil {
		return nil, err
	}

	ctx, d.cancel = context.WithCancel(context.WithoutCancel(ctx))
	d.stopped = d.supervisor.ServeBackground(ctx)
	process.Started(d.logger, d.callers.address, d.operator.address)

	return d, nil
}

// newNodeID appends a random suffix to the configured name, so that peers and usage records see a restarted process as a new
// node.
func newNodeID(name apricotway.NodeID) apricotway.NodeID {
	if name == "" {
		name = "node"
	}

	return name + apricotway.NodeID("-"+uuid.NewString()[:8])
}

func (d *Daemon) assemble(ctx context.Context) error {
	s := d.settings

	var err error
	if d.callers, err = bind(ctx, s.Listen.Callers); err != nil {
		return errors.Wrap(err, "listen for callers")
	}

	if d.operator, err = bind(ctx, s.Listen.Operator); err != nil {
		return errors.Wrap(err, "listen for operators")
	}

	if d.peerListener, err = listen(ctx, s.Listen.Peers); err != nil {
		return errors.Wrap(err, "listen for peers")
	}

	if err := d.connectPeers(); err != nil {
		return err
	}

	registry := prometheus.NewRegistry()
	d.panics.Register(registry)
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))

	log := logservice.New(s.Platform.Log)
	if d.membership, err = d.startMembership(ctx, log, registry); err != nil {
		return err
	}

	d.startConfig(log)
	hosts := platform.NewHosts(s.Platform.Hosts, platform.WithLogger(d.logger))
	d.inventory = inventory.New(d.supervisor, hosts, inventory.WithLogger(d.logger), inventory.WithBroadcasts(d.membership), inventory.WithMembership(d.membership))

	if err := d.startUsage(log); err != nil {
		return err
	}

	d.startPlanner(log)

	services := service.New()
	calls := call.New(services, d.inventory, call.WithLogger(d.logger), call.WithOnceRunner(d.newLedger(log, services)),
		call.WithAdmission(newCallAdmission(d.supervisor, d.feed.Fold(), d.inventory, d.membership)))

	limits := api.DefaultLimits()
	limits.BodyBytes = s.Limits.BodyBytes
	limits.PromptBytes = s.Limits.PromptBytes
	limits.DefaultTimeout = time.Duration(s.Limits.DefaultTimeout)
	limits.MaxTimeout = time.Duration(s.Limits.MaxTimeout)

	d.completions = d.newCompletions(registry)
	callersAPI := api.New(d.feed.Fold(), d.membership, d.completions, calls,
		api.WithLimits(limits), api.WithLogger(d.logger), api.WithReady(d.Ready),
		api.WithMetrics(registry), api.WithBodies(d.bodies))

	operatorAPI := operator.New(registry, d.Ready)
	d.registerConfig(operatorAPI)
	operatorAPI.HandleJSON("/v1/engines", func() any { return d.inventory.All() })

	d.registerTimeline(operatorAPI)
	d.registerMembers(operatorAPI)
	operatorAPI.HandleJSON("/v1/rollout", func() any { return process.NewRollout(d.rollout, d.unknown) })

	options, err := d.callersOptions(registry)
	if err != nil {
		return err
	}

	d.callersServer = d.serve(ctx, "callers", d.callers, d.closeWhenLeaving(callersAPI), options...)
	d.serve(ctx, "operator", d.operator, operator.Authorise(operatorAPI, operatorDigests(s.Operators)))

	return nil
}

func listen(ctx context.Context, address netip.AddrPort) (net.Listener, error) {
	var config net.ListenConfig

	return config.Listen(ctx, "tcp", address.String())
}

func bind(ctx context.Context, address netip.AddrPort) (*listener, error) {
	listening, err := listen(ctx, address)
	if err != nil {
		return nil, errors.Wrap(err, "bind TCP address")
	}

	bound, err := netip.ParseAddrPort(listening.Addr().String())
	if err != nil {
		return nil, errors.Wrap(err, "parse bound address")
	}

	return &listener{address: bound, net: listening}, nil
}

// serve adds an HTTP server for the listener to the supervisor.
func (d *Daemon) serve(
	ctx context.Context, name string, l *listener, handler http.Handler, options ...callers.Option,
) *callers.Server {
	l.server = &http.Server{
		Handler:           d.panics.Handler(name, handler),
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    d.settings.Limits.HeaderBytes,
	}

	server := callers.New(ctx, l.server, l.net, options...)

	d.supervisor.Add(apricotway.ServiceFunc{Name: name, Func: func(context.Context) error {
		if err := server.Serve(); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "serve "+name)
		}

		return suture.ErrDoNotRestart
	}})

	return server
}

// Callers returns the address on which the process accepts connections from callers.
func (d *Daemon) Callers() netip.AddrPort { return d.callers.address }

// Operator returns the address on which the process accepts connections from operators.
func (d *Daemon) Operator() netip.AddrPort { return d.operator.address }

// Peers returns the address on which the process accepts connections from other processes.
func (d *Daemon) Peers() netip.AddrPort { return d.peerListener.Addr().(*net.TCPAddr).AddrPort() }

// Ready returns nil once the process can serve requests: it has read the configuration and the host list, and has looked
// for other processes. Until then it returns a refusal with the reason.
func (d *Daemon) Ready() error {
	for _, part := range []struct {
		ready  func() bool
		reason string
	}{
		{func() bool { return isClosed(d.feed.Ready()) }, "the configuration has not been read yet"},
		{func() bool { return isClosed(d.inventory.Ready()) }, "the host list has not been read yet"},
		{d.membership.Searched, "the other processes have not been looked for yet"},
	} {
		if !part.ready() {
			return &apricotway.Refusal{
				Code:       apricotway.CodeNotReady,
				Execution:  apricotway.ExecutionNotStarted,
				Message:    part.reason,
				RetryAfter: time.Second,
			}
		}
	}

	return nil
}

// isClosed reports whether a channel that is never sent on has been closed.
func isClosed(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}

// Stop shuts the process down gracefully. It keeps serving until the addresses that callers have resolved expire, then waits
// for the requests in flight until the context ends.
func (d *Daemon) Stop(ctx context.Context) error {
	process.Stopping(d.logger)

	d.withdraw(ctx)

	err := d.callersServer.Drain(ctx)

	// Peers take over the requests of a stopped member on their own, so the hand-over has to come before Stopped.
	d.handOver(ctx)

	if err != nil {
		d.abortRequests(ctx)
	}

	d.membership.AnnounceStop()

	_ = d.operator.server.Close()

	// The requests in flight may have used up the time of ctx, so the last usage batch gets its own timeout.
	closing, cancelClosing := context.WithTimeout(context.WithoutCancel(ctx), closeLimit)
	defer cancelClosing()

	if closeErr := d.usage.Close(closing); closeErr != nil {
		d.logger.Info("last usage batch not written", "event", 502, "error", closeErr.Error())
	}

	d.peers.Close()
	d.cancel()
	process.Stopped(d.logger, <-d.stopped)

	if err != nil {
		return errors.Wrap(err, "wait for requests in flight")
	}

	return nil
}

// abortRequests ends the requests in flight with an answer, and waits until the answers of requests that were handed over are written.
func (d *Daemon) abortRequests(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), abortLimit)
	defer cancel()

	if err := d.callersServer.Abort(ctx); err != nil {
		d.logger.Info("requests without an answer end with the process", "event", 372, "error", err.Error())
	}
}
