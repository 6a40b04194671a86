package bench

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/thejerf/suture/v4"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/cmd/internal/standin"
	"github.com/apricotway/apricotway/coordination/gate"
	"github.com/apricotway/apricotway/coordination/inventory"
	"github.com/apricotway/apricotway/state/admission"
	"github.com/apricotway/apricotway/state/routing"
	"github.com/apricotway/apricotway/transport/engine"
)

// Delays and intervals with which the entry processes learn about engines and about each other.
const (
	reportLag    = 250 * time.Millisecond
	reportPeriod = 250 * time.Millisecond
	eventLag     = 500 * time.Millisecond
	eventGap     = 20
	probePeriod  = 100 * time.Millisecond
	limitPeriod  = time.Second
	// routers is the number of entry processes that the load is spread over.
	routers = 4
	// In the slowed scenario, slowCount engines run slowFactor times slower for slowTime in every slowPeriod.
	slowPeriod = 6 * time.Second
	slowTime   = 3 * time.Second
	slowFactor = 4
	slowCount  = 2
	// overcommit is the number of admitted requests per engine slot. The processes divide the slots once a second; with
	// 1.25, requests waited in one process while another still had free slots, which raised the p99 of the wait.
	overcommit = 2
)

// Scenario describes the level and the mix of a load.
type Scenario struct {
	Name string `json:"name"`
	// Load is the arrival rate as a fraction of the capacity of the engines.
	Load float64 `json:"load"`
	// Long adds long requests to the load; without it all requests are short.
	Long bool `json:"long"`
	// Slow makes a changing pair of engines slow in periodic windows.
	Slow bool `json:"slow"`
}

// policySetup is a routing policy to measure and the admission and hedging that go with it.
type policySetup struct {
	name   string
	policy func(*run, uint64) routing.Policy
	gate   bool
	hedge  bool
}

// run executes the load of one scenario on one set of engine models under one policy.
type run struct {
	workload *Workload
	scenario Scenario
	setup    policySetup
	servers  []apricotway.BackendServer
	models   map[apricotway.BackendServerID]*standin.EngineModel
	// latencies holds the recent first-token times of each engine.
	latencies map[apricotway.BackendServerID]*latencyHistory
	routers   []*router
	warmup    time.Duration
	start     time.Time
	end       time.Time

	mu     sync.Mutex
	result Result
	// pending counts the requests and probes that have not ended.
	pending sync.WaitGroup
	// probeCount numbers the probes, so that their attempt IDs are unique.
	probeCount atomic.Int64
}

// router models one entry process, which admits requests and routes them to engines.
type router struct {
	node   apricotway.NodeID
	policy routing.Policy
	scored *routing.Scored
	gate   *gate.Gate
	// exchange divides the engine slots among the gates of the processes.
	exchange *gate.Exchange
	hedger   *routing.Hedger
}

// Result is what one run measured after its warm-up.
type Result struct {
	// All times start at the intended send time and are in microseconds. Wait and Whole are the times of short requests
	// to the first and to the last token. First is the time of all requests to the first token, LongWhole that of long
	// requests to the last token.
	Wait, Whole, First, LongWhole *hdrhistogram.Histogram
	Requests, Refused, Late       int
	Hedged                        int
	// Good is the work by workspace, in engine seconds, of requests that finished by their deadline and within the
	// measured time.
	Good map[apricotway.Workspace]float64
	// Hits is the fraction of the ideal prefix hits that was reached. Imbalance is the work of the busiest engine divided
	// by the mean over all engines.
	Hits, Imbalance float64
	Seconds         float64
	// Drift is the longest delay between an intended send time and the moment the load generator sent the request.
	Drift time.Duration
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), 3)
}

func newRun(workload *Workload, scenario Scenario, setup policySetup, seed uint64, warmup time.Duration) *run {
	r := &run{
		workload: workload, scenario: scenario, setup: setup, warmup: warmup,
		models:    map[apricotway.BackendServerID]*standin.EngineModel{},
		latencies: map[apricotway.BackendServerID]*latencyHistory{},
		result: Result{
			Wait: newHistogram(), Whole: newHistogram(), First: newHistogram(), LongWhole: newHistogram(),
			Good: map[apricotway.Workspace]float64{},
		},
	}

	for i := range workload.Engines {
		id := apricotway.BackendServerID(workload.Name + "-" + strconv.Itoa(i))
		r.servers = append(r.servers, apricotway.BackendServer{
			ID: id, Service: workload.Service, Version: "1", State: apricotway.HostLive,
		})
		r.latencies[id] = &latencyHistory{}
		r.models[id] = standin.NewEngineModel(workload.Times, standin.WithEngineLimits(workload.Limits),
			standin.WithEngineReports(standin.EngineReports{LoadLag: reportLag, EventLag: eventLag, EventGap: eventGap}))
	}

	for i := range routers {
		entry := &router{node: apricotway.NodeID(strconv.Itoa(i)), policy: setup.policy(r, seed*routers+uint64(i))}
		entry.scored, _ = entry.policy.(*routing.Scored)

		if setup.gate {
			entry.gate = gate.New()
		}

		if setup.hedge {
			entry.hedger = routing.NewHedger()
		}

		r.routers = append(r.routers, entry)
	}

	return r
}

// execute sends the load and waits until all requests have ended.
func (r *run) execute(ctx context.Context, seed uint64, duration time.Duration) *Result {
	rate := r.scenario.Load * r.workload.Capacity(r.scenario.Long)
	load := r.workload.arrivals(seed, rate, r.warmup+duration, r.scenario.Long, routers)
	r.start = time.Now()
	r.end = r.start.Add(r.warmup + duration)
	r.scheduleSlowWindows(r.warmup + duration)

	background, cancel := context.WithCancel(ctx)

	var loops sync.WaitGroup

	exchange := r.newExchanges(seed)

	loops.Go(func() { _ = exchange.Serve(background) }) // always returns an error when the context ends
	loops.Go(func() { every(background, reportPeriod, r.deliverReports) })

	if r.routers[0].scored != nil {
		loops.Go(func() { every(background, probePeriod, func() { r.sendProbes(background) }) })
		loops.Go(func() { every(background, limitPeriod, r.setLimits) })
	}

	var before map[apricotway.BackendServerID]standin.EngineWork

	for i := range load {
		intended := r.start.Add(load[i].sendAfter)
		if before == nil && load[i].sendAfter >= r.warmup {
			before = r.engineWork()
		}

		if !sleepUntil(ctx, intended) {
			break
		}

		r.result.Drift = max(r.result.Drift, time.Since(intended))

		r.pending.Go(func() { r.serve(ctx, &load[i], intended) })
	}

	r.summariseEngines(before, load, duration)
	r.pending.Wait()
	cancel()
	loops.Wait()

	return &r.result
}

func sleepUntil(ctx context.Context, when time.Time) bool {
	timer := time.NewTimer(time.Until(when))
	defer timer.Stop()

	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func every(ctx context.Context, period time.Duration, do func()) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()

	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			do()
		}
	}
}

// scheduleSlowWindows schedules the windows in which a pair of engines is slow, with the next pair in each window.
func (r *run) scheduleSlowWindows(duration time.Duration) {
	if !r.scenario.Slow {
		return
	}

	next := 0

	for at := slowPeriod - slowTime; at < duration; at += slowPeriod {
		for range slowCount {
			from := r.start.Add(at)
			r.models[r.servers[next%len(r.servers)].ID].Slow(from, from.Add(slowTime), slowFactor)
			next++
		}
	}
}

// deliverReports delivers the load reports and cache events of the engines to the policies of all processes.
func (r *run) deliverReports() {
	now := time.Now()

	for _, server := range r.servers {
		model := r.models[server.ID]
		report := model.Load(now)

		for _, entry := range r.routers {
			entry.policy.Reported(now, server.ID, report)

			after := uint64(0)
			if entry.scored != nil {
				after = entry.scored.CacheSequence(server.ID)
				entry.policy.Cached(now, server.ID, model.CacheEvents(now, after))
			}
		}
	}
}

// newExchanges creates the exchanges of token counts and of demand between the processes, with the code that the daemon
// uses, and returns the supervisor that runs them.
func (r *run) newExchanges(seed uint64) *suture.Supervisor {
	supervisor := suture.NewSimple("bench")
	joined := newHub(seed)

	for _, entry := range r.routers {
		if entry.scored != nil {
			inventory.NewTokenExchange(supervisor, r, hubPort{joined, entry.node}, entry.node, entry.scored)
		}

		if entry.gate != nil {
			entry.exchange = gate.NewExchange(supervisor, hubPort{joined, entry.node}, entry.node,
				func() map[apricotway.Service]admission.Demand {
					return map[apricotway.Service]admission.Demand{r.workload.Service: entry.gate.Demand()}
				}, func() []apricotway.NodeID { return r.otherNodes(entry) })
		}
	}

	return supervisor
}

// otherNodes returns the IDs of all processes but the given one.
func (r *run) otherNodes(entry *router) []apricotway.NodeID {
	var nodes []apricotway.NodeID

	for _, other := range r.routers {
		if other != entry {
			nodes = append(nodes, other.node)
		}
	}

	return nodes
}

// Tracked implements inventory.Tracker.
func (r *run) Tracked() []apricotway.BackendServer { return r.servers }

func (r *run) sendProbes(ctx context.Context) {
	for _, entry := range r.routers {
		for _, server := range entry.scored.Probes(time.Now()) {
			r.pending.Go(func() { r.probe(ctx, entry, server) })
		}
	}
}

// probeTokens is the length of a probe's answer. Measuring the time per token needs at least two tokens.
const probeTokens = 4

func (r *run) probe(ctx context.Context, entry *router, server apricotway.BackendServerID) {
	id := apricotway.AttemptID(fmt.Sprintf("probe-%s-%d", entry.node, r.probeCount.Add(1)))
	entry.policy.Started(time.Now(), server, id, routing.Work{})

	outcome := routing.OutcomeFinished

	err := r.models[server].Generate(ctx, engine.Request{
		Prompt: "probe", MaxTokens: probeTokens, Priority: string(apricotway.PriorityHigh),
	}, func(apricotway.Token) error {
		entry.policy.Token(time.Now(), server, id, 1)
		return nil
	})
	if err != nil {
		outcome = routing.OutcomeFailed
	}

	entry.policy.Ended(time.Now(), server, id, outcome)
}

// setLimits sets the limits of each process to its share of the engine slots.
func (r *run) setLimits() {
	if !r.setup.gate {
		return
	}

	for _, entry := range r.routers {
		capacity := entry.scored.Capacity(time.Now(), r.workload.Service)
		entry.gate.SetLimits(entry.exchange.Limits(r.workload.Service, capacity.Slots*overcommit,
			capacity.Long/max(capacity.Slots, 1), nil, entry.gate))
	}
}

// serve handles one request as an entry process does: it predicts the length, acquires admission and sends the request
// to engines.
func (r *run) serve(ctx context.Context, a *arrival, intended time.Time) {
	entry := r.routers[a.router]
	work := routing.Work{
		Service: r.workload.Service, Prompt: a.prompt, PromptTokens: a.promptTokens, MaxTokens: a.maxTokens, Blocks: a.blocks,
	}

	ctx, cancel := context.WithDeadline(ctx, intended.Add(a.deadline))
	defer cancel()

	predicted, long := 0, false
	if entry.scored != nil {
		predicted, long = entry.scored.Predict(work)
	}

	expected := time.Duration(predicted)*r.workload.stepTime() + time.Duration(a.promptTokens)*r.workload.Times.PrefillPerToken

	if entry.gate != nil {
		err := entry.gate.Acquire(ctx, admission.Request{
			ID: a.id, Workspace: a.workspace, Priority: apricotway.PriorityNormal,
			Tokens: r.workload.engineSeconds(float64(a.promptTokens), float64(predicted)) * 1000,
			Long:   long, Duration: expected, Deadline: intended.Add(a.deadline),
		})
		if err != nil {
			r.recordRequest(a, intended, time.Time{}, false, 0)
			return
		}

		defer func() {
			entry.gate.Release(a.id, r.workload.engineSeconds(float64(a.promptTokens), float64(a.answerTokens))*1000)
		}()
	}

	routed := &routedRequest{run: r, entry: entry, arrival: a, work: work, long: long, done: make(chan struct{})}
	routed.execute(ctx, expected)
	r.recordRequest(a, intended, routed.first, routed.next == a.answerTokens, routed.hedges)
}

// recordRequest records the outcome of a request. Work that finishes within the measured time counts towards the goodput
// even if the request arrived during the warm-up; all other figures include only requests that were due after the
// warm-up.
func (r *run) recordRequest(a *arrival, intended, first time.Time, whole bool, hedges int) {
	now := time.Now()

	r.mu.Lock()
	defer r.mu.Unlock()

	if whole && now.After(r.start.Add(r.warmup)) && now.Before(r.end) {
		prefill := float64(a.promptTokens - a.idealHits)
		r.result.Good[a.workspace] += r.workload.engineSeconds(prefill, float64(a.answerTokens))
	}

	if a.sendAfter < r.warmup {
		return
	}

	r.result.Requests++
	r.result.Hedged += hedges

	switch {
	case first.IsZero() && !whole && now.Before(intended.Add(a.deadline)):
		r.result.Refused++
		return
	case !whole:
		r.result.Late++
	}

	if first.IsZero() {
		first = now
	}

	record(r.result.First, first.Sub(intended))

	if a.long {
		record(r.result.LongWhole, now.Sub(intended))
		return
	}

	record(r.result.Wait, first.Sub(intended))
	record(r.result.Whole, now.Sub(intended))
}

func record(histogram *hdrhistogram.Histogram, value time.Duration) {
	// RecordValue fails only for values out of range, and the range of the histogram exceeds every deadline.
	_ = histogram.RecordValue(max(value.Microseconds(), 1))
}

func (r *run) engineWork() map[apricotway.BackendServerID]standin.EngineWork {
	counters := map[apricotway.BackendServerID]standin.EngineWork{}
	for id, model := range r.models {
		counters[id] = model.Work()
	}

	return counters
}

// summariseEngines computes the cache hits and imbalance from the work of the engines between the end of the warm-up and
// the last arrival.
func (r *run) summariseEngines(before map[apricotway.BackendServerID]standin.EngineWork, load []arrival, duration time.Duration) {
	cached, ideal, highest, total := 0, 0, 0.0, 0.0

	for id, after := range r.engineWork() {
		generated := after.Generated - before[id].Generated
		prefilled := after.Prefilled - before[id].Prefilled
		cached += after.Cached - before[id].Cached

		cost := r.workload.engineSeconds(float64(prefilled), float64(generated))
		highest = max(highest, cost)
		total += cost
	}

	for i := range load {
		if load[i].sendAfter >= r.warmup {
			ideal += load[i].idealHits
		}
	}

	r.mu.Lock()
	defer r.mu.Unlock()

	r.result.Hits = float64(cached) / float64(max(ideal, 1))
	r.result.Imbalance = highest / max(total/float64(len(r.models)), 1e-9)
	r.result.Seconds = duration.Seconds()
}
