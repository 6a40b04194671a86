package daemon

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/thejerf/suture/v4"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/coordination/gate"
	"github.com/apricotway/apricotway/coordination/inventory"
	"github.com/apricotway/apricotway/coordination/membership"
	"github.com/apricotway/apricotway/protocol/completion"
	"github.com/apricotway/apricotway/state/admission"
	"github.com/apricotway/apricotway/state/config"
	"github.com/apricotway/apricotway/state/routing"
)

const (
	// reportPeriod is the time between two readings of an engine's load report and cache events.
	reportPeriod = 250 * time.Millisecond
	// probePeriod is the time between two looks for slow engines that have to be probed.
	probePeriod = 100 * time.Millisecond
	// limitPeriod is the time between two divisions of the capacity.
	limitPeriod = time.Second
	// overcommit is the number of admitted requests per place of the engines; see docs/serving.md.
	overcommit = 2
	// probeTokens is the length of a probe's answer; the pace needs at least two tokens.
	probeTokens = 4
	// probeTimeout ends the probe of an engine that does not answer.
	probeTimeout = 5 * time.Second
)

// engineRouting feeds the routing policy with what the engines report and admits requests by the policy's view of the
// capacity.
type engineRouting struct {
	policy    *routing.Scored
	engines   apricotway.EngineClient
	inventory *inventory.Inventory
	fold      *config.Fold

	tokens *inventory.TokenExchange
	demand *gate.Exchange

	mu    sync.Mutex
	gates map[apricotway.Service]*gate.Gate
}

// newEngineRouting returns the routing of one process and adds its loops to the supervisor.
func newEngineRouting(
	supervisor *suture.Supervisor, engines apricotway.EngineClient, known *inventory.Inventory, fold *config.Fold,
	members *membership.Driver, logger logr.Logger,
) *engineRouting {
	r := &engineRouting{
		policy: routing.NewScored(), engines: engines, inventory: known, fold: fold,
		gates: map[apricotway.Service]*gate.Gate{},
	}

	self := members.Self().Node
	r.tokens = inventory.NewTokenExchange(supervisor, known, members, self, r.policy, inventory.WithTokenLogger(logger))
	r.demand = gate.NewExchange(supervisor, members, self, r.ownDemand, func() []apricotway.NodeID {
		return serving(members.Members())
	}, gate.WithExchangeLogger(logger))

	supervisor.Add(apricotway.Periodic("engine probes", probePeriod, func(ctx context.Context, _ time.Time) { r.probeSlow(ctx) }))
	supervisor.Add(apricotway.Periodic("admission limits", limitPeriod, func(context.Context, time.Time) { r.setLimits() }))

	inventory.NewPoller(supervisor, known, engines, r.policy.Reported, inventory.WithReportPeriod(reportPeriod),
		inventory.WithServerFilter(r.model), inventory.WithCacheEvents(r.policy.CacheSequence, r.policy.Cached),
		inventory.WithPollerLogger(logger))

	return r
}

// registerExchangeMetrics shows from how many other processes entries are in use.
func (r *engineRouting) registerExchangeMetrics(registry prometheus.Registerer) {
	for entry, heard := range map[string]func() int{"tokens": r.tokens.Heard, "demand": r.demand.Heard} {
		registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "apricotway_exchange_processes", Help: "Other processes whose announcements are in use.",
			ConstLabels: prometheus.Labels{"entry": entry},
		}, func() float64 { return float64(heard()) }))
	}
}

// model reports whether a server is a live one of a model service.
func (r *engineRouting) model(server apricotway.BackendServer) bool {
	spec, ok := r.fold.Service(server.Service)

	return ok && spec.Type == config.ServiceModel && server.State == apricotway.HostLive
}

// models returns the usable servers of the model services.
func (r *engineRouting) models() []apricotway.BackendServer {
	var models []apricotway.BackendServer

	for _, server := range r.inventory.All() {
		if r.model(server) {
			models = append(models, server)
		}
	}

	return models
}

// probeSlow sends a short request to each slow engine from which nothing is heard.
func (r *engineRouting) probeSlow(ctx context.Context) {
	due := r.policy.Probes(time.Now())
	if len(due) == 0 {
		return
	}

	servers := map[apricotway.BackendServerID]apricotway.BackendServer{}
	for _, server := range r.models() {
		servers[server.ID] = server
	}

	for _, id := range due {
		if server, ok := servers[id]; ok {
			go r.probe(ctx, server)
		}
	}
}

func (r *engineRouting) probe(ctx context.Context, server apricotway.BackendServer) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()

	id := apricotway.AttemptID("probe-" + uuid.NewString())
	r.policy.Started(time.Now(), server.ID, id, routing.Work{})

	outcome := routing.OutcomeFailed
	defer func() { r.policy.Ended(time.Now(), server.ID, id, outcome) }()

	stream, err := r.engines.Generate(ctx, server, apricotway.GenerateRequest{
		Attempt: id, Version: server.Version, Prompt: "probe " + strconv.Itoa(probeTokens), MaxTokens: probeTokens,
		Priority: apricotway.PriorityHigh,
	})
	if err != nil {
		return
	}
	defer stream.Close()

	for {
		token, err := stream.Next()
		if err != nil {
			return
		}

		r.policy.Token(time.Now(), server.ID, id, 1)

		if token.Finish != "" {
			outcome = routing.OutcomeFinished
			return
		}
	}
}

func (r *engineRouting) gate(service apricotway.Service) *gate.Gate {
	r.mu.Lock()
	defer r.mu.Unlock()

	g := r.gates[service]
	if g == nil {
		g = gate.New()
		r.gates[service] = g
	}

	return g
}

// serving returns the members that share the engines. Suspected ones count until they are declared dead.
func serving(members []apricotway.Member) []apricotway.NodeID {
	var nodes []apricotway.NodeID

	for _, member := range members {
		if member.State != apricotway.MemberDead {
			nodes = append(nodes, member.Node)
		}
	}

	return nodes
}

// ownDemand returns the demand of this process by service.
func (r *engineRouting) ownDemand() map[apricotway.Service]admission.Demand {
	r.mu.Lock()
	defer r.mu.Unlock()

	demand := map[apricotway.Service]admission.Demand{}
	for service, g := range r.gates {
		demand[service] = g.Demand()
	}

	return demand
}

// subsetPart returns how many times the live servers of a service exceed those that this process uses. The capacity that the
// policy knows is that of the latter.
func (r *engineRouting) subsetPart(service apricotway.Service) float64 {
	live := 0

	for _, server := range r.inventory.All() {
		if server.Service == service && server.State == apricotway.HostLive {
			live++
		}
	}

	return max(float64(live)/float64(max(len(r.inventory.Usable(service)), 1)), 1)
}

// setLimits divides the capacity by the workspaces' weights and by the demand of all processes.
func (r *engineRouting) setLimits() {
	weights := workspaceWeights(r.fold)

	r.mu.Lock()
	defer r.mu.Unlock()

	for service, g := range r.gates {
		capacity := r.policy.Capacity(time.Now(), service)
		places := overcommit * capacity.Slots * r.subsetPart(service)
		g.SetLimits(r.demand.Limits(service, places, capacity.Long/max(capacity.Slots, 1), weights, g))
	}
}

// Admit implements completion.Admission. Long work of normal priority gets the low priority on its engine.
func (r *engineRouting) Admit(
	ctx context.Context, request completion.Request,
) (completion.Request, func(tokens int), error) {
	prompt := apricotway.EstimateTokens(request.Prompt)
	predicted, long := r.policy.Predict(routing.Work{
		Service: request.Service, PromptTokens: prompt, MaxTokens: request.MaxTokens,
	})

	g := r.gate(request.Service)

	err := g.Acquire(ctx, admission.Request{
		ID: request.ID, Workspace: request.Workspace, Priority: request.Priority, Long: long,
		Tokens: float64(prompt + predicted), Deadline: request.Deadline,
	})
	if err != nil {
		return request, nil, err
	}

	request.Priority = routing.EnginePriority(request.Priority, long)

	return request, func(tokens int) { g.Release(request.ID, float64(prompt+tokens)) }, nil
}
