// Package rollup aggregates the counts of all processes at the one that holds the duties (see package duty). Each process sends
// periodic reports; the answers carry its share of the limits, the other processes' calls in flight, and changes of the list of
// backend servers. From the aggregate the holder reports usage to the platform and orders engines. The traffic of a process other
// than the holder does not grow with the number of processes.
package rollup

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/thejerf/suture/v4"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/coordination/catalog"
	"github.com/apricotway/apricotway/coordination/duty"
	"github.com/apricotway/apricotway/coordination/era"
	"github.com/apricotway/apricotway/coordination/suspect"
	"github.com/apricotway/apricotway/internal/pause"
	"github.com/apricotway/apricotway/state/cadence"
	"github.com/apricotway/apricotway/state/canary"
	"github.com/apricotway/apricotway/state/dispatch"
	"github.com/apricotway/apricotway/state/fairshare"
	"github.com/apricotway/apricotway/state/intake"
	"github.com/apricotway/apricotway/state/quarantine"
	"github.com/apricotway/apricotway/state/quota"
	"github.com/apricotway/apricotway/state/retrybudget"
	"github.com/apricotway/apricotway/state/route"
	"github.com/apricotway/apricotway/state/scaling"
	"github.com/apricotway/apricotway/state/tally"
)

const (
	methodReport apricotway.Method = "report"
	methodTake   apricotway.Method = "take"
	// reportTimeout bounds one report to the holder.
	reportTimeout = time.Second
	// windowGrace is the time after the end of a window by which the counts of all processes have arrived, unless reports are lost.
	windowGrace = 1500 * time.Millisecond
	// reportTransit is the longest time that a report is expected to take.
	reportTransit = 500 * time.Millisecond
	// dutyCheckPeriod is the time between two checks whether usage reports or capacity orders are due.
	dutyCheckPeriod = 500 * time.Millisecond
	// backfillWindows is the number of windows before the current one that processes report, and that a holder without a
	// predecessor starts from.
	backfillWindows = 2
	// stateSavePeriod is the time between two saves of the aggregated counts. If all processes die at once, the calls of that time
	// are lost; up to a twentieth of a window may be missing.
	stateSavePeriod = 250 * time.Millisecond
	// demandAveragingTime is the time constant of the moving average of the demand.
	demandAveragingTime = 1500 * time.Millisecond
	// demandTimeout is the time after which the demand of a process no longer counts without a newer report.
	demandTimeout = 3 * time.Second
)

// Report is the message in which a process sends its counts to the holder.
type Report struct {
	Node apricotway.NodeID
	// Counts holds the complete counts of all recent windows, so that a lost report does no harm.
	Counts tally.Counts
	// Accounts holds the cost that callers asked for since the last report and the remaining credit.
	Accounts map[apricotway.Workspace]quota.Account
	// Work holds the process's calls in flight by backend server.
	Work map[apricotway.BackendServerID]dispatch.Work
	// Demand is the demand since the last report, counted over the time Elapsed.
	Demand  map[apricotway.Service]dispatch.Demand
	Elapsed time.Duration
	// Known is the position up to which the process has the holder's changes of the list of backend servers.
	Known catalog.Position
	// ByParts is set if the process requests a list by parts that is too large for an answer.
	ByParts bool
	// Crashes holds what the process knows about calls that crash backend servers and the holder may not.
	Crashes suspect.Report
	// LastWindow is the newest window whose usage is known to have been reported.
	LastWindow int64
	// Limits holds what the process knows about the limits of backend servers and the last answer did not have.
	Limits []intake.Statement
	// Brittle holds the services whose servers are brittle.
	Brittle []dispatch.BrittleService
	// Usage holds what the calls to plain services did since the last report.
	Usage fairshare.Usage
	// Shifts holds the process's counts since the orders to shift traffic.
	Shifts []canary.ServiceReport
	// Timings holds how long calls took on each server since the last report, and SpeedsKnown names the speed factors that the process has.
	Timings     map[apricotway.BackendServerID]dispatch.ServerTimings
	SpeedsKnown dispatch.SpeedPosition
}

// Answer is the holder's answer to a Report.
type Answer struct {
	// Holding reports whether the answering process holds the duties; if not, the rest is empty.
	Holding bool
	// Credit is the cost that the process may spend in addition to its remaining credit.
	Credit map[apricotway.Workspace]float64
	// Others holds the calls in flight of all other processes, by backend server.
	Others map[apricotway.BackendServerID]dispatch.Work
	// News holds what the holder read from the operators' store.
	News catalog.News
	// Verdict holds what the crashes of backend servers have in common.
	Verdict suspect.Verdict
	// LastWindow is the newest window whose usage is known to have been reported.
	LastWindow int64
	// Era is the era of the store that the holder knows. Other processes may not call the store for a long time.
	Era apricotway.StoreEra
	// Limits holds the newest statement about the limit of each backend server that stated one.
	Limits []intake.Statement
	// Brittle holds the services whose servers are brittle, as far as the holder has heard.
	Brittle []dispatch.BrittleService
	// Shares holds the workspaces of which a part of the calls is refused because their service is overloaded.
	Shares fairshare.Shares
	// Shifts holds the orders to shift traffic; nil if the holder doesn't know them.
	Shifts *canary.Answer
	// Speeds holds the changes of the speed factors of backend servers.
	Speeds dispatch.SpeedNews
}

// Catalog gives the newest known configuration and exchanges news of the operators' store; catalog.Catalog implements it.
type Catalog interface {
	Table() *route.Table
	Position() catalog.Position
	BootTime() time.Duration
	News(self apricotway.NodeID, after catalog.Position) catalog.News
	ApplyNews(sent time.Duration, news catalog.News)
	SetReader(self bool, asked time.Duration)
}

// Parts are the components of the process whose counts a Rollup reports and which it updates from the answers.
type Parts struct {
	Catalog Catalog
	Pool    *dispatch.Pool
	Limiter *quota.Limiter
	Budget  *retrybudget.Budget
	Tally   *tally.Counter
	// Suspects holds what this process knows about calls that crash backend servers.
	Suspects *suspect.Suspects
	// Gate admits calls to overloaded services; nil admits all.
	Gate *fairshare.Gate
}

// Rollup sends the reports of one process, and aggregates the reports of all processes while this one holds the duties.
type Rollup struct {
	Parts

	duty       *duty.Duty
	calls      apricotway.DutyClient
	membership apricotway.Membership
	peers      apricotway.Peers
	logger     logr.Logger
	terms      scaling.Parameters
	eras       *era.Tracker

	mu sync.Mutex
	// collectedUnder is the fencing number under which the fields below were collected. They are reset when it changes.
	collectedUnder apricotway.Offset
	collector      *tally.Collector
	center         *quota.Center
	board          *dispatch.WorkTable
	// loads holds the averaged demand of each process.
	loads    map[apricotway.NodeID]load
	crashes  *quarantine.Crashes
	limits   *intake.Board
	sharing  *fairshare.Center
	speeds   *dispatch.SpeedTable
	ramps    *dispatch.RampTable
	planners map[apricotway.Service]*scaling.Planner
	// limitsTable is the configuration from which the limits of center were last set.
	limitsTable *route.Table
	nextWindow  int64
	// claimedAt is the time at which collectedUnder was first used, and heard holds the times of the last reports since.
	claimedAt time.Time
	heard     map[apricotway.NodeID]time.Time
	// pendingReport is the usage report that has been appended to the duty log but not yet accepted by the platform.
	pendingReport *apricotway.UsageReport
	// savedState holds the counts and savedCrashes the refusals that were last saved for a successor.
	savedState, savedCrashes []byte

	shifts shifts

	// list is the copy of the list that the holder gives to the others by parts.
	list listCopy
	// listLeftOut has an element when the last answer left out the list.
	listLeftOut chan struct{}
}

// load is the averaged demand of one process as of its last report.
type load struct {
	at     time.Time
	demand map[apricotway.Service]scaling.Load
}

// Option configures a Rollup.
type Option func(*Rollup)

// WithLogger sets the logger.
func WithLogger(logger logr.Logger) Option { return func(r *Rollup) { r.logger = logger } }

// WithTerms sets the assumptions about engines from which the capacity is planned.
func WithTerms(terms scaling.Parameters) Option { return func(r *Rollup) { r.terms = terms } }

// WithEras sets the tracker of the store's eras.
func WithEras(eras *era.Tracker) Option { return func(r *Rollup) { r.eras = eras } }

// New returns a Rollup, registers its handlers for other processes, and adds its goroutines to the supervisor.
func New(
	supervisor *suture.Supervisor, parts Parts, duties *duty.Duty, calls apricotway.DutyClient,
	membership apricotway.Membership, peers apricotway.Peers, registry apricotway.PeerRegistry, options ...Option,
) *Rollup {
	r := &Rollup{
		Parts: parts, duty: duties, calls: calls, membership: membership, peers: peers, logger: logr.Discard(),
		terms: scaling.DefaultParameters(), eras: era.New(), listLeftOut: make(chan struct{}, 1),
	}
	for _, option := range options {
		option(r)
	}

	r.reset(0)

	apricotway.HandlePeer(registry, methodReport,
		func(_ context.Context, report Report) (Answer, error) { return r.receive(time.Now(), report), nil })

	apricotway.HandlePeer(registry, methodTake,
		func(_ context.Context, request CreditRequest) (CreditDecision, error) {
			return r.decideCredit(time.Now(), request), nil
		})

	apricotway.HandlePeer(registry, methodList,
		func(_ context.Context, request PartRequest) (PartAnswer, error) { return r.listPart(request), nil })

	supervisor.Add(apricotway.ServiceFunc{Name: "list of the holder", Func: r.requestLists})
	supervisor.Add(apricotway.ServiceFunc{Name: "report", Func: r.runReports})
	supervisor.Add(apricotway.ServiceFunc{Name: "saved refusals", Func: r.learnCrashes})
	supervisor.Add(apricotway.Periodic("state of the duties", stateSavePeriod, func(ctx context.Context, now time.Time) {
		r.saveState(ctx)
		r.saveCrashes(ctx, now)
	}))
	supervisor.Add(apricotway.Periodic("usage duty", dutyCheckPeriod, r.reportUsage))
	supervisor.Add(apricotway.Periodic("capacity duty", dutyCheckPeriod, r.orderCapacity))
	r.addShifts(supervisor)

	return r
}

// reset drops everything that was collected under an earlier fencing number. Except in New, the caller holds r.mu.
func (r *Rollup) reset(number apricotway.Offset) {
	r.collectedUnder = number
	r.collector, r.center = tally.NewCollector(), quota.NewCenter()
	r.board, r.loads = dispatch.NewWorkTable(), map[apricotway.NodeID]load{}
	r.crashes, r.limits = quarantine.NewCrashes(suspect.Lifetime), intake.NewBoard()
	r.sharing = fairshare.NewCenter()
	r.speeds, r.ramps = dispatch.NewSpeedTable(), dispatch.NewRampTable()
	r.planners = map[apricotway.Service]*scaling.Planner{}
	r.nextWindow, r.pendingReport, r.limitsTable, r.savedState, r.savedCrashes = 0, nil, nil, nil, nil
}

// runReports reports to the holder periodically until the context ends. The period grows with the number of processes.
func (r *Rollup) runReports(ctx context.Context) error {
	last := time.Now()

	for {
		members := r.countMembers()
		period := cadence.Period(members)
		r.Limiter.SetMembers(members, period)
		r.Pool.SetMembers(members, period)
		r.Budget.SetMembers(members)
		r.Pool.SetSharing(time.Now(), intake.Members{
			Self: r.membership.Self().Node, Nodes: r.servingNodes(), Holder: r.duty.Holder().Number,
		})

		if !pause.For(ctx, period) {
			return ctx.Err()
		}

		now := time.Now()
		r.reportOnce(ctx, now, now.Sub(last))
		last = now
	}
}

// countMembers returns the number of processes that are not known to be dead, including this one.
func (r *Rollup) countMembers() int {
	count := 1

	for _, member := range r.membership.Members() {
		if member.State != apricotway.MemberDead {
			count++
		}
	}

	return count
}

// servingNodes returns the processes that take new work, with this one unless it is leaving.
func (r *Rollup) servingNodes() []apricotway.NodeID {
	var nodes []apricotway.NodeID

	for _, member := range append(r.membership.Members(), r.membership.Self()) {
		if member.State == apricotway.MemberAlive || member.State == apricotway.MemberSuspect {
			nodes = append(nodes, member.Node)
		}
	}

	return nodes
}

// reportOnce sends one report to the holder and applies its answer.
func (r *Rollup) reportOnce(ctx context.Context, now time.Time, elapsed time.Duration) {
	report := Report{
		Node:     r.membership.Self().Node,
		Counts:   r.Tally.Counts(r.Tally.Window(now) - backfillWindows),
		Accounts: r.Limiter.Accounts(now),
		Known:    r.Catalog.Position(), ByParts: true,
		Work: r.Pool.OwnWork(), Demand: r.Pool.TakeDemand(), Elapsed: elapsed,
		Limits: r.Pool.UncollectedLimits(now), Brittle: r.Pool.BrittleServices(now), LastWindow: r.duty.LastWindow(),
		Usage:   r.takeUsage(now),
		Shifts:  r.Pool.ShiftReport(now),
		Timings: r.Pool.TakeTimings(now), SpeedsKnown: r.Pool.SpeedPosition(),
	}

	suspects, markReported := r.Suspects.Report(r.duty.Holder().Number)
	report.Crashes = suspects

	sent := r.Catalog.BootTime()
	_, held := r.duty.Held()
	r.Catalog.SetReader(held, cadence.Period(r.countMembers()))

	if held {
		if answer := r.receive(now, report); answer.Holding {
			markReported()
			r.accept(now, now, answer)
		}

		return
	}

	address, ok := r.holderAddress()
	if !ok {
		return
	}

	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()

	answer, err := apricotway.CallPeer[Answer](ctx, r.peers, address, methodReport, report)
	if err != nil {
		r.logger.V(1).Info("failed to send a report to the duty holder", "event", 295, "error", err.Error())
		r.duty.RequestRefresh()

		return
	}

	if !answer.Holding {
		r.duty.RequestRefresh()
		return
	}

	markReported()
	r.accept(time.Now(), now, answer)
	r.Catalog.ApplyNews(sent, answer.News)

	if answer.News.NoList {
		select {
		case r.listLeftOut <- struct{}{}:
		default:
		}
	}
}

// holderAddress returns the address of the newest known holder, if that is a known member.
func (r *Rollup) holderAddress() (address netip.AddrPort, ok bool) {
	holder := r.duty.Holder()

	for _, member := range r.membership.Members() {
		if member.Node == holder.Node {
			return member.Peers, true
		}
	}

	return netip.AddrPort{}, false
}

// accept applies the holder's answer to a report, which was sent at the time asked, to the components of this process.
func (r *Rollup) accept(now, asked time.Time, answer Answer) {
	r.eras.Observe(answer.Era)
	r.duty.LearnWindow(answer.LastWindow)

	for _, change := range r.Pool.LearnLimits(now, asked, answer.Limits) {
		r.logger.Info("another process told the limit of a backend server", "event", 355, "server", change.Server,
			"statement", change.Limit.Statement, "perSecond", change.Limit.PerSecond, "from", change.Observation.Node)
	}

	r.learnBrittle(now, asked, answer.Brittle)
	r.learnShares(now, answer.Shares)

	if answer.Shifts != nil {
		r.Pool.ApplyShifts(asked, *answer.Shifts)
	}

	r.Limiter.AddCredit(now, answer.Credit)
	r.Pool.SetOthersWork(now, answer.Others)
	r.Pool.LearnSpeeds(now, answer.Speeds)
	r.Suspects.Apply(answer.Verdict)
}

// learnBrittle records which services other processes have heard to be brittle, with ages as of the given time.
func (r *Rollup) learnBrittle(now, asOf time.Time, told []dispatch.BrittleService) {
	for _, change := range r.Pool.LearnBrittle(now, asOf, told) {
		r.logger.Info("another process told that the servers of a service are brittle", "event", 385, "service", change.Service,
			"rejections", change.Rejections, "age", change.Age)
	}
}

// receive aggregates the report of a process and returns the answer to it, which is empty if this process is not the holder.
func (r *Rollup) receive(now time.Time, report Report) Answer {
	holder, held := r.duty.Held()
	if !held {
		return Answer{}
	}

	r.mu.Lock()
	defer r.mu.Unlock()

	r.prepare(now, holder.Number)
	r.heard[report.Node] = now
	r.duty.LearnWindow(report.LastWindow)

	r.collector.Report(report.Node, report.Counts)

	r.loads[report.Node] = load{at: now, demand: r.smoothDemand(report)}

	r.limits.Add(now, report.Limits)
	r.learnBrittle(now, now, report.Brittle)

	answer := Answer{
		Shares:  r.decideShares(now, report.Usage),
		Holding: true, Era: r.eras.Current(), LastWindow: r.duty.LastWindow(), Limits: r.limits.Statements(now), Verdict: suspect.Judge(now, r.crashes, report.Crashes),
		Credit: r.center.Report(now, report.Node, report.Elapsed, report.Accounts),
		Others: r.board.Report(now, report.Node, report.Work), Brittle: r.Pool.BrittleServices(now),
		Shifts: r.receiveShifts(now, report, holder.Number),
		Speeds: r.speedNews(now, report),
	}

	if self := r.membership.Self().Node; report.Node != self {
		answer.News = r.newsFor(report)
	}

	return answer
}

// prepare resets the aggregate to the predecessor's saved counts if the fencing number has changed, and applies the limits of the
// newest configuration. The caller holds r.mu.
func (r *Rollup) prepare(now time.Time, number apricotway.Offset) {
	if r.collectedUnder != number {
		r.claimedAt, r.heard = now, map[apricotway.NodeID]time.Time{}
	}

	switch {
	case r.collectedUnder == number:
	case r.collectedUnder > 0 && r.collectedUnder == r.duty.Renewed():
		// The processes have reported here all the time. What was saved may be gone.
		r.collectedUnder, r.savedState, r.savedCrashes = number, nil, nil
	default:
		r.reset(number)
		r.restoreCounts()
		r.restoreCrashes(now)
	}

	if table := r.Catalog.Table(); table != nil && r.limitsTable != table {
		r.limitsTable = table
		r.center.SetLimits(now, table.Version, table.Workspaces())
	}
}
