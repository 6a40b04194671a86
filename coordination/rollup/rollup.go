// Package rollup gathers what the processes count at the one that performs the duties, which divides the limits, tells each
// process what the others have under way, reports usage, and orders engines. The traffic of a process does not grow with the
// number of processes.
package rollup

import (
	"bytes"
	"context"
	"encoding/json"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"github.com/thejerf/suture/v4"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/coordination/catalog"
	"github.com/apricotway/apricotway/coordination/duty"
	"github.com/apricotway/apricotway/internal/pause"
	"github.com/apricotway/apricotway/state/dispatch"
	"github.com/apricotway/apricotway/state/quota"
	"github.com/apricotway/apricotway/state/retrybudget"
	"github.com/apricotway/apricotway/state/route"
	"github.com/apricotway/apricotway/state/scaling"
	"github.com/apricotway/apricotway/state/tally"
)

const (
	methodReport apricotway.Method = "report"
	methodTake   apricotway.Method = "take"
	// leastPeriod is the time between two reports of a process; with many processes periodPerMember for each of them, so
	// that the holder answers a bounded number of reports.
	leastPeriod     = 120 * time.Millisecond
	periodPerMember = 6 * time.Millisecond
	// reportTime bounds one report.
	reportTime = time.Second
	// settleTime is the time after a window's end until the counts of all processes have arrived.
	settleTime = 1500 * time.Millisecond
	// dutyPeriod is the time between two looks at the duties.
	dutyPeriod = 500 * time.Millisecond
	// callTime bounds a call to the cloud API.
	callTime = time.Second
	// firstWindows is the number of windows before the present one that a first holder reports.
	firstWindows = 2
	// statePeriod is the time between two records of the gathered counts. A death of all processes loses that much of a
	// window, of which a twentieth may be missing.
	statePeriod = 250 * time.Millisecond
	// demandLife is the time over which demand is averaged.
	demandLife = 1500 * time.Millisecond
	// workLifetime is the time for which the work of a process counts without a newer report.
	workLifetime = 3 * time.Second
)

// Report is what one process counted.
type Report struct {
	Node apricotway.NodeID
	// Counts holds all recent windows in full.
	Counts tally.Counts
	// Accounts holds what callers asked for since the last report, and the credit left.
	Accounts map[apricotway.Workspace]quota.Account
	Work     map[apricotway.BackendServerID]dispatch.Work
	// Demand is that since the last report, over the time Elapsed.
	Demand  map[apricotway.Service]dispatch.Demand
	Elapsed time.Duration
	// Known is the place up to which the process has the holder's news of the store.
	Known catalog.Position
}

// Answer is what the holder returns.
type Answer struct {
	// Holding tells whether the process holds the duties; otherwise the rest is empty.
	Holding bool
	// Credit is what the process may spend beyond what it has.
	Credit map[apricotway.Workspace]float64
	// Others holds the work of all other processes.
	Others map[apricotway.BackendServerID]dispatch.Work
	// News is what the holder read from the store.
	News catalog.News
}

// Catalog is the configuration as far as the process knows it.
type Catalog interface {
	Table() *route.Table
	Position() catalog.Position
	Now() time.Duration
	News(self apricotway.NodeID, after catalog.Position) catalog.News
	Take(sent time.Duration, news catalog.News)
	Reads(self bool)
}

// Parts are the parts of the process that the rollup reads and sets.
type Parts struct {
	Catalog Catalog
	Pool    *dispatch.Pool
	Limiter *quota.Limiter
	Budget  *retrybudget.Budget
	Tally   *tally.Tally
}

// Rollup reports for one process, and gathers the reports of all while it holds the duties.
type Rollup struct {
	Parts

	duty       *duty.Duty
	calls      apricotway.DutyCalls
	membership apricotway.Membership
	peers      apricotway.Peers
	logger     logr.Logger
	terms      scaling.Terms

	mu sync.Mutex
	// held is the number under which the fields below were gathered.
	held      apricotway.Offset
	collector *tally.Collector
	center    *quota.Center
	reports   map[apricotway.NodeID]work
	demand    map[apricotway.Service]scaling.Load
	planners  map[apricotway.Service]*scaling.Planner
	// limits is the configuration whose limits the center has.
	limits     *route.Table
	nextWindow int64
	// recorded is the report that stands on the log and has not been accepted yet.
	recorded *apricotway.UsageReport
	// left is the state that was recorded last.
	left []byte
}

type work struct {
	at     time.Time
	work   map[apricotway.BackendServerID]dispatch.Work
	demand map[apricotway.Service]scaling.Load
}

// Option changes a rollup under construction.
type Option func(*Rollup)

// WithLogger sets the logger.
func WithLogger(logger logr.Logger) Option { return func(r *Rollup) { r.logger = logger } }

// WithTerms sets the assumptions about engines.
func WithTerms(terms scaling.Terms) Option { return func(r *Rollup) { r.terms = terms } }

// New returns a rollup and adds its goroutines to the supervisor.
func New(
	supervisor *suture.Supervisor, parts Parts, duties *duty.Duty, calls apricotway.DutyCalls,
	membership apricotway.Membership, peers apricotway.Peers, registry apricotway.PeerRegistry, options ...Option,
) *Rollup {
	r := &Rollup{
		Parts: parts, duty: duties, calls: calls, membership: membership, peers: peers, logger: logr.Discard(),
		terms: scaling.DefaultTerms(),
	}
	for _, option := range options {
		option(r)
	}

	r.reset(0)

	apricotway.HandlePeer(registry, methodReport,
		func(_ context.Context, report Report) (Answer, error) { return r.receive(time.Now(), report), nil })

	apricotway.HandlePeer(registry, methodTake,
		func(_ context.Context, question Question) (Verdict, error) {
			return r.answer(time.Now(), question), nil
		})

	supervisor.Add(apricotway.ServiceFunc{Name: "report", Func: r.runReports})
	supervisor.Add(apricotway.Periodic("state of the duties", statePeriod, func(ctx context.Context, _ time.Time) {
		r.leaveState(ctx)
	}))
	supervisor.Add(apricotway.Periodic("usage duty", dutyPeriod, r.reportUsage))
	supervisor.Add(apricotway.Periodic("capacity duty", dutyPeriod, r.orderCapacity))

	return r
}

// reset drops what was gathered under an earlier number; it needs the lock but in New.
func (r *Rollup) reset(number apricotway.Offset) {
	r.held = number
	r.collector, r.center = tally.NewCollector(), quota.NewCenter()
	r.reports = map[apricotway.NodeID]work{}
	r.demand = map[apricotway.Service]scaling.Load{}
	r.planners = map[apricotway.Service]*scaling.Planner{}
	r.nextWindow, r.recorded, r.limits, r.left = 0, nil, nil, nil
}

// runReports reports to the holder for as long as the context holds.
func (r *Rollup) runReports(ctx context.Context) error {
	last := time.Now()

	for {
		members := r.countMembers()
		r.Limiter.SetMembers(members)
		r.Pool.SetMembers(members, reportPeriod(members))
		r.Budget.SetMembers(members)

		if !pause.For(ctx, reportPeriod(members)) {
			return ctx.Err()
		}

		now := time.Now()
		r.reportOnce(ctx, now, now.Sub(last))
		last = now
	}
}

// reportPeriod is the time between two reports of a process.
func reportPeriod(members int) time.Duration {
	return max(leastPeriod, time.Duration(members)*periodPerMember)
}

// countMembers counts the processes that may be alive, with this one.
func (r *Rollup) countMembers() int {
	count := 1

	for _, member := range r.membership.Members() {
		if member.State != apricotway.MemberDead {
			count++
		}
	}

	return count
}

func (r *Rollup) reportOnce(ctx context.Context, now time.Time, elapsed time.Duration) {
	report := Report{
		Node:     r.membership.Self().Node,
		Counts:   r.Tally.Counts(r.Tally.Window(now) - firstWindows),
		Accounts: r.Limiter.Accounts(),
		Known:    r.Catalog.Position(),
		Work:     r.Pool.OwnWork(), Demand: r.Pool.TakeDemand(), Elapsed: elapsed,
	}

	sent := r.Catalog.Now()
	_, held := r.duty.Held()
	r.Catalog.Reads(held)

	if held {
		r.accept(now, r.receive(now, report))
		return
	}

	address, ok := r.holderAddress()
	if !ok {
		return
	}

	ctx, cancel := context.WithTimeout(ctx, reportTime)
	defer cancel()

	answer, err := apricotway.CallPeer[Answer](ctx, r.peers, address, methodReport, report)
	if err != nil {
		r.logger.V(1).Info("report to the holder of the duties failed", "event", 295, "error", err.Error())
		r.duty.Doubt()

		return
	}

	if !answer.Holding {
		r.duty.Doubt()
		return
	}

	r.accept(time.Now(), answer)
	r.Catalog.Take(sent, answer.News)
}

func (r *Rollup) holderAddress() (address netip.AddrPort, ok bool) {
	holder := r.duty.Holder()

	for _, member := range r.membership.Members() {
		if member.Node == holder.Node {
			return member.Peers, true
		}
	}

	return netip.AddrPort{}, false
}

func (r *Rollup) accept(now time.Time, answer Answer) {
	if !answer.Holding {
		return
	}

	r.Limiter.Credit(now, answer.Credit)
	r.Pool.SetOthersWork(now, answer.Others)
}

// receive takes the report of a process and returns its answer.
func (r *Rollup) receive(now time.Time, report Report) Answer {
	holder, held := r.duty.Held()
	if !held {
		return Answer{}
	}

	r.mu.Lock()
	defer r.mu.Unlock()

	r.prepare(now, holder.Number)
	r.collector.Report(report.Node, report.Counts)
	r.reports[report.Node] = work{at: now, work: report.Work, demand: r.smooth(report)}

	answer := Answer{
		Holding: true, Credit: r.center.Report(now, report.Node, report.Elapsed, report.Accounts),
		Others: map[apricotway.BackendServerID]dispatch.Work{},
	}

	if self := r.membership.Self().Node; report.Node != self {
		answer.News = r.Catalog.News(self, report.Known)
	}

	for node, other := range r.reports {
		if now.Sub(other.at) > workLifetime {
			delete(r.reports, node)
			continue
		}

		if node == report.Node {
			continue
		}

		for server, w := range other.work {
			sum := answer.Others[server]
			sum.Add(w)
			answer.Others[server] = sum
		}
	}

	return answer
}

// prepare starts anew under another number, and puts the limits of the newest configuration in force; it needs the lock.
func (r *Rollup) prepare(now time.Time, number apricotway.Offset) {
	if r.held != number {
		r.reset(number)
		r.restore()
	}

	if table := r.Catalog.Table(); table != nil && r.limits != table {
		r.limits = table
		r.center.SetLimits(now, table.Workspaces())
	}
}

// restore takes the counts that the last holder left; it needs the lock. Processes that still run report theirs anew.
func (r *Rollup) restore() {
	content := r.duty.LastState()
	if content == nil {
		return
	}

	var counts map[apricotway.NodeID]tally.Counts
	if err := json.Unmarshal(content, &counts); err != nil {
		r.logger.Info("counts of the last holder not usable", "event", 288, "error", err.Error())
		return
	}

	for node, windows := range counts {
		r.collector.Report(node, windows)
	}
}

// leaveState records the counts for a successor when they have changed.
func (r *Rollup) leaveState(ctx context.Context) {
	holder, held := r.duty.Holds()

	r.mu.Lock()
	if !held || r.held != holder.Number {
		r.mu.Unlock()
		return
	}

	content, err := json.Marshal(r.collector.All())
	same := bytes.Equal(content, r.left)
	r.mu.Unlock()

	if err == nil && !same {
		err = r.duty.Leave(ctx, content)
	}

	if err != nil {
		r.logger.V(1).Info("counts not recorded", "event", 289, "error", err.Error())
		return
	}

	r.mu.Lock()
	r.left = content
	r.mu.Unlock()
}

// Stop hands the last counts of a leaving process to the holder.
func (r *Rollup) Stop(ctx context.Context) {
	now := time.Now()
	r.reportOnce(ctx, now, leastPeriod)

	if holder, held := r.duty.Holds(); held {
		r.mu.Lock()
		if r.held == holder.Number {
			r.collector.Report(r.membership.Self().Node, r.Tally.Counts(r.Tally.Window(now)-firstWindows))
		}
		r.mu.Unlock()

		r.leaveState(ctx)
	}
}

// smooth returns the demand of a process by service in units a second.
func (r *Rollup) smooth(report Report) map[apricotway.Service]scaling.Load {
	seconds := max(report.Elapsed.Seconds(), leastPeriod.Seconds())
	loads := map[apricotway.Service]scaling.Load{}
	weight := min(seconds/demandLife.Seconds(), 1)

	for service, before := range r.reports[report.Node].demand {
		loads[service] = scaling.Load{Prefill: before.Prefill * (1 - weight)}
	}

	for service, demand := range report.Demand {
		load := loads[service]
		load.Prefill += weight * demand.PrefillTokens / seconds
		loads[service] = load
	}

	return loads
}

// reportUsage reports the windows that have ended, one at a time and in order.
func (r *Rollup) reportUsage(ctx context.Context, now time.Time) {
	holder, held := r.duty.Held()
	if !held {
		return
	}

	for {
		report, ok := r.nextUsage(now, holder.Number)
		if !ok {
			return
		}

		if err := r.sendUsage(ctx, holder, report); err != nil {
			r.logger.Info("usage not reported", "event", 296, "window", report.Window, "error", err.Error())
			return
		}
	}
}

// nextUsage returns the report that is due. One that stands on the log already is repeated as it is.
func (r *Rollup) nextUsage(now time.Time, number apricotway.Offset) (apricotway.UsageReport, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()

	if r.held != number {
		return apricotway.UsageReport{}, false
	}

	if r.recorded != nil {
		return *r.recorded, true
	}

	if r.nextWindow == 0 {
		r.nextWindow = r.Tally.Window(now) - firstWindows

		if last := r.duty.LastUsage(); last != nil && last.Window >= r.nextWindow-firstWindows {
			r.recorded, r.nextWindow = last, last.Window
			return *last, true
		}
	}

	if now.Before(r.Tally.End(r.nextWindow).Add(settleTime)) {
		return apricotway.UsageReport{}, false
	}

	return apricotway.UsageReport{Window: r.nextWindow, Calls: r.collector.Total(r.nextWindow)}, true
}

// sendUsage records a report before it is sent, so that a successor repeats it exactly.
func (r *Rollup) sendUsage(ctx context.Context, holder apricotway.Holder, report apricotway.UsageReport) error {
	r.mu.Lock()
	recorded := r.recorded != nil
	r.mu.Unlock()

	if !recorded {
		if err := r.duty.Record(ctx, report); err != nil {
			return err
		}

		r.mu.Lock()
		r.recorded = &report
		r.mu.Unlock()
	}

	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()

	err := r.calls.ReportUsage(ctx, holder, report)
	if errors.Is(err, apricotway.ErrOrderFenced) {
		r.duty.Fenced(holder.Number)
	}

	if err != nil {
		return err
	}

	r.mu.Lock()
	defer r.mu.Unlock()

	r.recorded = nil
	r.nextWindow = report.Window + 1
	r.collector.Forget(report.Window)
	r.logger.Info("usage reported", "event", 297, "window", report.Window, "workspaces", len(report.Calls),
		"number", holder.Number)

	return nil
}

// orderCapacity gives the orders for engines that are due.
func (r *Rollup) orderCapacity(ctx context.Context, now time.Time) {
	holder, held := r.duty.Held()
	table := r.Catalog.Table()

	if !held || table == nil {
		return
	}

	for name, rule := range table.Services() {
		if rule.Capacity == nil {
			continue
		}

		for _, order := range r.plan(now, name, *rule.Capacity) {
			if !r.order(ctx, holder, name, order) {
				return
			}
		}
	}
}

func (r *Rollup) plan(now time.Time, service apricotway.Service, rule apricotway.CapacityRule) []scaling.Order {
	live := map[apricotway.Zone]scaling.Counts{}

	for _, backend := range r.Pool.Backends() {
		if backend.Service != service || backend.Leaving {
			continue
		}

		counts := live[backend.Zone]
		if backend.Reclaimable {
			counts.Reclaimable++
		} else {
			counts.OnDemand++
		}

		live[backend.Zone] = counts
	}

	r.mu.Lock()
	defer r.mu.Unlock()

	planner := r.planners[service]
	if planner == nil {
		planner = scaling.New(r.terms)
		r.planners[service] = planner
	}

	return planner.Plan(now, rule, live, r.load(service))
}

// load returns the load of a service over all processes; it needs the lock.
func (r *Rollup) load(service apricotway.Service) scaling.Load {
	var load scaling.Load

	servers := map[apricotway.BackendServerID]bool{}
	for _, backend := range r.Pool.Backends() {
		servers[backend.ID] = backend.Service == service
	}

	for _, process := range r.reports {
		load.Prefill += process.demand[service].Prefill

		for server, w := range process.work {
			if servers[server] {
				load.Running += float64(w.Running)
			}
		}
	}

	return load
}

func (r *Rollup) order(
	ctx context.Context, holder apricotway.Holder, service apricotway.Service, order scaling.Order,
) bool {
	limited, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()

	err := r.calls.OrderCapacity(limited, holder, apricotway.CapacityOrder{
		Service: service, Zone: order.Zone, Reclaimable: order.Reclaimable, Count: order.Count,
	})

	fenced := errors.Is(err, apricotway.ErrOrderFenced)
	if fenced {
		r.duty.Fenced(holder.Number)
	}

	result := "accepted"
	if err != nil {
		result = err.Error()
	}

	r.logger.Info("engines ordered", "event", 298, "service", service, "zone", order.Zone, "reclaimable", order.Reclaimable,
		"count", order.Count, "number", holder.Number, "result", result)

	r.mu.Lock()
	defer r.mu.Unlock()

	if planner := r.planners[service]; planner != nil {
		planner.Ordered(time.Now(), order, err)
	}

	return !fenced
}
