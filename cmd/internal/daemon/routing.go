package daemon

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/thejerf/suture/v4"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/coordination/gate"
	"github.com/apricotway/apricotway/coordination/inventory"
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

	mu    sync.Mutex
	gates map[apricotway.Service]*gate.Gate
}

// newEngineRouting returns the routing of one process and adds its loops to the supervisor.
func newEngineRouting(
	supervisor *suture.Supervisor, engines apricotway.EngineClient, inventory *inventory.Inventory, fold *config.Fold,
) *engineRouting {
	r := &engineRouting{
		policy: routing.NewScored(), engines: engines, inventory: inventory, fold: fold,
		gates: map[apricotway.Service]*gate.Gate{},
	}

	for _, loop := range []struct {
		name   string
		period time.Duration
		do     func(context.Context)
	}{
		{"engine reports", reportPeriod, r.readReports},
		{"engine probes", probePeriod, r.probeSlow},
		{"admission limits", limitPeriod, func(context.Context) { r.setLimits() }},
	} {
		supervisor.Add(apricotway.ServiceFunc{Name: loop.name, Func: func(ctx context.Context) error {
			ticker := time.NewTicker(loop.period)
			defer ticker.Stop()

			for {
				select {
				case <-ctx.Done():
					return ctx.Err()
				case <-ticker.C:
					loop.do(ctx)
				}
			}
		}})
	}

	return r
}

// models returns the usable servers of the model services.
func (r *engineRouting) models() []apricotway.BackendServer {
	var models []apricotway.BackendServer

	for _, server := range r.inventory.All() {
		spec, ok := r.fold.Service(server.Service)
		if ok && spec.Type == config.ServiceModel && server.State == apricotway.HostLive {
			models = append(models, server)
		}
	}

	return models
}

// readReports reads all engines at once. An engine that does not answer keeps its last report.
func (r *engineRouting) readReports(ctx context.Context) {
	// An engine that hangs must not hold back the reports of the others for long.
	ctx, cancel := context.WithTimeout(ctx, 2*reportPeriod)
	defer cancel()

	var group sync.WaitGroup

	for _, server := range r.models() {
		group.Go(func() {
			if report, err := r.engines.Load(ctx, server); err == nil {
				r.policy.Reported(time.Now(), server.ID, report)
			}

			if events, err := r.engines.CacheEvents(ctx, server, r.policy.CacheSequence(server.ID)); err == nil {
				r.policy.Cached(time.Now(), server.ID, events)
			}
		})
	}

	group.Wait()
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

// setLimits divides the capacity by the workspaces' weights. Until processes exchange their demand, each one counts with the
// whole capacity.
func (r *engineRouting) setLimits() {
	weights := map[apricotway.Workspace]float64{}

	for _, object := range r.fold.Objects() {
		if spec, ok := r.fold.Workspace(apricotway.Workspace(object.Object)); ok && object.Kind == config.KindWorkspace {
			weights[apricotway.Workspace(object.Object)] = float64(spec.Weight)
		}
	}

	r.mu.Lock()
	defer r.mu.Unlock()

	for service, g := range r.gates {
		capacity := r.policy.Capacity(time.Now(), service)
		g.SetLimits(admission.Limits{
			Slots: overcommit * capacity.Slots, LongSlots: overcommit * capacity.Long, Weights: weights,
		})
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
