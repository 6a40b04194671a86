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

// The delays with which the processes learn about engines and about each other.
const (
	reportLag    = 250 * time.Millisecond
	reportPeriod = 250 * time.Millisecond
	eventLag     = 500 * time.Millisecond
	eventGap     = 20
	probePeriod  = 100 * time.Millisecond
	limitPeriod  = time.Second
	// routers is the number of entry processes that share the load.
	routers = 4
	// slowPeriod is the time from one window of slowness to the next; slowTime is its length.
	slowPeriod = 6 * time.Second
	slowTime   = 3 * time.Second
	slowFactor = 4
	slowCount  = 2
	// overcommit is the number of admitted requests per place of the engines. The processes divide the places once a
	// second; with 1.25 requests waited in one process while another had places left, which raised the p99 of the wait.
	overcommit = 2
)

// Scenario is one load.
type Scenario struct {
	Name string `json:"name"`
	// Load is the rate of arrivals as a part of the capacity.
	Load float64 `json:"load"`
	// Long is false for a load of short requests alone.
	Long bool `json:"long"`
	// Slow engines come and go in windows.
	Slow bool `json:"slow"`
}

// setup is one policy under measurement.
type setup struct {
	name   string
	policy func(*run, uint64) routing.Policy
	gate   bool
	hedge  bool
}

// run is one load on one set of engines under one policy.
type run struct {
	workload *Workload
	scenario Scenario
	setup    setup
	servers  []apricotway.BackendServer
	models   map[apricotway.BackendServerID]*standin.EngineModel
	// latencies are what the engines know about their own first-token times.
	latencies map[apricotway.BackendServerID]*latencies
	routers   []*router
	warmup    time.Duration
	start     time.Time
	end       time.Time

	mu     sync.Mutex
	result Result
	work   sync.WaitGroup
	busy   atomic.Int64
}

// router is one entry process.
type router struct {
	node   apricotway.NodeID
	policy routing.Policy
	scored *routing.Scored
	gate   *gate.Gate
	// exchange divides the places among the gates.
	exchange *gate.Exchange
	hedger   *routing.Hedger
}

// Result is what one run measured after its warm-up.
type Result struct {
	// Wait is the time from the intended send time to the first token, Whole that to the last, of short requests; First
	// is the former of all requests, LongWhole the latter of long ones.
	Wait, Whole, First, LongWhole *hdrhistogram.Histogram
	Requests, Refused, Late       int
	Hedged                        int
	// Good is the work, in engine seconds, of requests that were finished by their deadline within the measured time, by
	// workspace.
	Good map[apricotway.Workspace]float64
	// Hits is the part of the ideal prefix hits that were hits; Imbalance is the highest load of an engine over the mean.
	Hits, Imbalance float64
	Seconds         float64
	// Drift is the greatest delay of the generator itself.
	Drift time.Duration
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), 3)
}

func newRun(workload *Workload, scenario Scenario, setup setup, seed uint64, warmup time.Duration) *run {
	r := &run{
		workload: workload, scenario: scenario, setup: setup, warmup: warmup,
		models:    map[apricotway.BackendServerID]*standin.EngineModel{},
		latencies: map[apricotway.BackendServerID]*latencies{},
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
		r.latencies[id] = &latencies{}
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

// execute sends the load and waits for the last answer.
func (r *run) execute(ctx context.Context, seed uint64, duration time.Duration) *Result {
	rate := r.scenario.Load * r.workload.Capacity(r.scenario.Long)
	load := r.workload.arrivals(seed, rate, r.warmup+duration, r.scenario.Long, routers)
	r.start = time.Now()
	r.end = r.start.Add(r.warmup + duration)
	r.slowDown(r.warmup + duration)

	background, cancel := context.WithCancel(ctx)

	var loops sync.WaitGroup

	exchange := r.exchange(seed)

	loops.Go(func() { _ = exchange.Serve(background) }) // reports the end of the context
	loops.Go(func() { every(background, reportPeriod, r.exchangeReports) })

	if r.routers[0].scored != nil {
		loops.Go(func() { every(background, probePeriod, func() { r.sendProbes(background) }) })
		loops.Go(func() { every(background, limitPeriod, r.divide) })
	}

	var before map[apricotway.BackendServerID]standin.EngineWork

	for i := range load {
		intended := r.start.Add(load[i].at)
		if before == nil && load[i].at >= r.warmup {
			before = r.counters()
		}

		if !sleepUntil(ctx, intended) {
			break
		}

		r.result.Drift = max(r.result.Drift, time.Since(intended))

		r.work.Go(func() { r.serve(ctx, &load[i], intended) })
	}

	r.summarise(before, load, duration)
	r.work.Wait()
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

// slowDown plans the windows in which a pair of engines is slow, a different pair in each window.
func (r *run) slowDown(duration time.Duration) {
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

func (r *run) exchangeReports() {
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

// exchange returns the exchange between the processes, which is that of the daemon.
func (r *run) exchange(seed uint64) *suture.Supervisor {
	supervisor := suture.NewSimple("bench")
	joined := newHub(seed)

	for _, entry := range r.routers {
		if entry.scored != nil {
			inventory.NewTokenExchange(supervisor, r, port{joined, entry.node}, entry.node, entry.scored)
		}

		if entry.gate != nil {
			entry.exchange = gate.NewExchange(supervisor, port{joined, entry.node}, entry.node,
				func() map[apricotway.Service]admission.Demand {
					return map[apricotway.Service]admission.Demand{r.workload.Service: entry.gate.Demand()}
				}, func() []apricotway.NodeID { return r.others(entry) })
		}
	}

	return supervisor
}

// others returns the other processes.
func (r *run) others(entry *router) []apricotway.NodeID {
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
			r.work.Go(func() { r.probe(ctx, entry, server) })
		}
	}
}

// probeTokens is the length of a probe's answer; the pace needs at least two tokens.
const probeTokens = 4

func (r *run) probe(ctx context.Context, entry *router, server apricotway.BackendServerID) {
	id := apricotway.AttemptID(fmt.Sprintf("probe-%s-%d", entry.node, r.busy.Add(1)))
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

// divide gives each process its part of the engines' places.
func (r *run) divide() {
	if !r.setup.gate {
		return
	}

	for _, entry := range r.routers {
		capacity := entry.scored.Capacity(time.Now(), r.workload.Service)
		entry.gate.SetLimits(entry.exchange.Limits(r.workload.Service, capacity.Slots*overcommit,
			capacity.Long/max(capacity.Slots, 1), nil, entry.gate))
	}
}

// serve handles one request like an entry process would.
func (r *run) serve(ctx context.Context, a *arrival, intended time.Time) {
	entry := r.routers[a.router]
	work := routing.Work{
		Service: r.workload.Service, Prompt: a.prompt, PromptTokens: a.tokens, MaxTokens: a.maximum, Blocks: a.blocks,
	}

	ctx, cancel := context.WithDeadline(ctx, intended.Add(a.deadline))
	defer cancel()

	predicted, long := 0, false
	if entry.scored != nil {
		predicted, long = entry.scored.Predict(work)
	}

	expected := time.Duration(predicted)*r.workload.step() + time.Duration(a.tokens)*r.workload.Times.PrefillPerToken

	if entry.gate != nil {
		err := entry.gate.Acquire(ctx, admission.Request{
			ID: a.id, Workspace: a.workspace, Priority: apricotway.PriorityNormal,
			Tokens: r.workload.cost(float64(a.tokens), float64(predicted)) * 1000,
			Long:   long, Duration: expected, Deadline: intended.Add(a.deadline),
		})
		if err != nil {
			r.note(a, intended, time.Time{}, false, 0)
			return
		}

		defer func() { entry.gate.Release(a.id, r.workload.cost(float64(a.tokens), float64(a.answer))*1000) }()
	}

	f := &flight{run: r, entry: entry, arrival: a, work: work, long: long, done: make(chan struct{})}
	f.execute(ctx, expected)
	r.note(a, intended, f.first, f.next == a.answer, f.hedges)
}

// note records a request whose intended send time lies after the warm-up.
func (r *run) note(a *arrival, intended, first time.Time, whole bool, hedges int) {
	now := time.Now()

	r.mu.Lock()
	defer r.mu.Unlock()

	// Goodput counts what is finished within the measured time, whenever it arrived.
	if whole && now.After(r.start.Add(r.warmup)) && now.Before(r.end) {
		prefill := float64(a.tokens - a.ideal)
		r.result.Good[a.workspace] += r.workload.cost(prefill, float64(a.answer))
	}

	if a.at < r.warmup {
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
	// The range of the histogram is wider than any deadline.
	_ = histogram.RecordValue(max(value.Microseconds(), 1))
}

func (r *run) counters() map[apricotway.BackendServerID]standin.EngineWork {
	counters := map[apricotway.BackendServerID]standin.EngineWork{}
	for id, model := range r.models {
		counters[id] = model.Work()
	}

	return counters
}

// summarise computes the figures of the engines between the warm-up and the last arrival.
func (r *run) summarise(before map[apricotway.BackendServerID]standin.EngineWork, load []arrival, duration time.Duration) {
	cached, ideal, highest, total := 0, 0, 0.0, 0.0

	for id, after := range r.counters() {
		generated := after.Generated - before[id].Generated
		prefilled := after.Prefilled - before[id].Prefilled
		cached += after.Cached - before[id].Cached

		cost := r.workload.cost(float64(prefilled), float64(generated))
		highest = max(highest, cost)
		total += cost
	}

	for i := range load {
		if load[i].at >= r.warmup {
			ideal += load[i].ideal
		}
	}

	r.mu.Lock()
	defer r.mu.Unlock()

	r.result.Hits = float64(cached) / float64(max(ideal, 1))
	r.result.Imbalance = highest / max(total/float64(len(r.models)), 1e-9)
	r.result.Seconds = duration.Seconds()
}
