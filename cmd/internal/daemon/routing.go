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
	// reportPeriod is the interval at which the load report and cache events of an engine are polled.
	reportPeriod = 250 * time.Millisecond
	// probePeriod is the interval at which slow engines that are due for a probe are looked up.
	probePeriod = 100 * time.Millisecond
	// limitPeriod is the interval at which the admission limits are recomputed.
	limitPeriod = time.Second
	// overcommit is the number of admitted requests per engine slot; see docs/serving.md.
	overcommit = 2
	// probeTokens is the length of the answer to a probe; at least two tokens are needed to measure the token rate.
	probeTokens = 4
	// probeTimeout bounds the probe of an engine that does not answer.
	probeTimeout = 5 * time.Second
)

// engineRouting passes the load reports and cache events of the engines to the routing policy, and admits model requests by the
// capacity that the policy derives from them.
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

// newEngineRouting returns the engine routing of this process and adds its loops to the supervisor.
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
		return nodesNotDead(members.Members())
	}, gate.WithExchangeLogger(logger))

	supervisor.Add(apricotway.Periodic("engine probes", probePeriod, func(ctx context.Context, _ time.Time) { r.probeSlow(ctx) }))
	supervisor.Add(apricotway.Periodic("admission limits", limitPeriod, func(context.Context, time.Time) { r.setLimits() }))

	inventory.NewPoller(supervisor, known, engines, r.policy.Reported, inventory.WithReportPeriod(reportPeriod),
		inventory.WithServerFilter(r.isLiveModelServer), inventory.WithCacheEvents(r.policy.CacheSequence, r.policy.Cached),
		inventory.WithPollerLogger(logger))

	return r
}

// registerExchangeMetrics registers gauges for the number of other processes whose announcements are in use.
func (r *engineRouting) registerExchangeMetrics(registry prometheus.Registerer) {
	for entry, heard := range map[string]func() int{"tokens": r.tokens.Heard, "demand": r.demand.Heard} {
		registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "apricotway_exchange_processes", Help: "Other processes whose announcements are in use.",
			ConstLabels: prometheus.Labels{"entry": entry},
		}, func() float64 { return float64(heard()) }))
	}
}

// isLiveModelServer reports whether the server is live and belongs to a model service.
func (r *engineRouting) isLiveModelServer(server apricotway.BackendServer) bool {
	spec, ok := r.fold.Service(server.Service)

	return ok && spec.Type == config.ServiceModel && server.State == apricotway.HostLive
}

// liveModelServers returns the live servers of all model services.
func (r *engineRouting) liveModelServers() []apricotway.BackendServer {
	var models []apricotway.BackendServer

	for _, server := range r.inventory.All() {
		if r.isLiveModelServer(server) {
			models = append(models, server)
		}
	}

	return models
}

// probeSlow sends a short request to each slow engine that has too few recent observations to notice its recovery.
func (r *engineRouting) probeSlow(ctx context.Context) {
	due := r.policy.Probes(time.Now())
	if len(due) == 0 {
		return
	}

	servers := map[apricotway.BackendServerID]apricotway.BackendServer{}
	for _, server := range r.liveModelServers() {
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

// nodesNotDead returns the members that share the engines. Suspected members count until they are declared dead.
func nodesNotDead(members []apricotway.Member) []apricotway.NodeID {
	var nodes []apricotway.NodeID

	for _, member := range members {
		if member.State != apricotway.MemberDead {
			nodes = append(nodes, member.Node)
		}
	}

	return nodes
}

// ownDemand returns the demand for each service at this process.
func (r *engineRouting) ownDemand() map[apricotway.Service]admission.Demand {
	r.mu.Lock()
	defer r.mu.Unlock()

	demand := map[apricotway.Service]admission.Demand{}
	for service, g := range r.gates {
		demand[service] = g.Demand()
	}

	return demand
}

// liveToUsableRatio returns the ratio of the live servers of a service to the subset that this process uses, at least 1. The policy
// knows the capacity of the subset only; the ratio scales it to that of the service.
func (r *engineRouting) liveToUsableRatio(service apricotway.Service) float64 {
	live := 0

	for _, server := range r.inventory.All() {
		if server.Service == service && server.State == apricotway.HostLive {
			live++
		}
	}

	return max(float64(live)/float64(max(len(r.inventory.Usable(service)), 1)), 1)
}

// setLimits divides the capacity of each service by the weights of the workspaces and the demand at all processes.
func (r *engineRouting) setLimits() {
	weights := workspaceWeights(r.fold)

	r.mu.Lock()
	defer r.mu.Unlock()

	for service, g := range r.gates {
		capacity := r.policy.Capacity(time.Now(), service)
		slots := overcommit * capacity.Slots * r.liveToUsableRatio(service)
		g.SetLimits(r.demand.Limits(service, slots, capacity.Long/max(capacity.Slots, 1), weights, g))
	}
}

// Admit implements completion.Admission. A long request of normal priority runs with low priority on its engine.
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
