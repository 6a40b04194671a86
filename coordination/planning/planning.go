// Package planning runs the fleet planner of a region while its process holds the lease of the region's stream: it records
// planned orders as intents in the stream, sends them to the cloud API, and records their outcomes.
package planning

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"github.com/thejerf/suture/v4"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/coordination/journal"
	"github.com/apricotway/apricotway/coordination/leasing"
	"github.com/apricotway/apricotway/internal/pause"
	"github.com/apricotway/apricotway/state/fleet"
	"github.com/apricotway/apricotway/state/lease"
)

const (
	// DefaultPeriod is the default time between two plans. Together with the period of the host list it bounds the time from a
	// reclaim notice to the order of a replacement.
	DefaultPeriod = time.Second
	// maxConcurrentCalls bounds the concurrent calls of the cloud API.
	maxConcurrentCalls = 16
	// minCallBackoff and maxCallBackoff bound the pause before an order is repeated whose outcome is unknown.
	minCallBackoff = time.Second
	maxCallBackoff = time.Minute
	// maxAttempts is the number of unanswered orders after which a creation is given up, so that another zone is tried. A host
	// that is created later nevertheless is found on the host list by its client token.
	maxAttempts = 4

	// appendTimeout bounds one append, including its wait for the append budget.
	appendTimeout = 15 * time.Second
	// readTimeout bounds the reading of the stream to its end. A restore reads all that is kept at once: three days of lease
	// renewals take 173 reads.
	readTimeout = time.Minute
	// followPeriod is the time between two reads of the stream by a process that does not hold the lease. The reads keep short
	// what a new holder has to catch up on, and keep the state in memory in case all checkpoints are trimmed.
	followPeriod = time.Minute
)

// DefaultLags returns the default times by which the host list may lag behind.
func DefaultLags() fleet.Lags { return fleet.Lags{Start: 10 * time.Minute, List: 30 * time.Second} }

// Target describes what the region's fleet has to provide.
type Target struct {
	Service apricotway.Service
	Demand  float64
	Offers  []fleet.Offer
	Terms   fleet.Parameters
}

// Step identifies a point in the processing of an intent at which the hook runs.
type Step string

// The steps, in the order in which an intent passes them.
const (
	StepBeforeIntent  Step = "beforeIntent"
	StepAfterIntent   Step = "afterIntent"
	StepBeforeCheck   Step = "beforeCheck"
	StepBeforeCall    Step = "beforeCall"
	StepAfterCall     Step = "afterCall"
	StepBeforeOutcome Step = "beforeOutcome"
	StepAfterOutcome  Step = "afterOutcome"
)

// errHookStopped reports that the hook stopped the driver.
var errHookStopped = errors.New("stopped by the hook")

// Writer appends to the log service within the system's append budget.
type Writer interface {
	// AppendAll appends records in the given order.
	AppendAll(ctx context.Context, stream apricotway.Stream, records []apricotway.Record) error
	// AppendCheckpoint appends a checkpoint of a state that includes all records below next.
	AppendCheckpoint(ctx context.Context, stream apricotway.Stream, epoch, next apricotway.Offset, state []byte) error
}

// Driver plans the fleet of one region while its process holds the lease.
type Driver struct {
	writer Writer
	hosts  apricotway.HostList
	cloud  apricotway.Cloud
	lease  *leasing.Lease
	node   apricotway.NodeID
	stream apricotway.Stream
	target func() (Target, bool)
	logger logr.Logger
	hook   func(Step, fleet.Intent) error
	period time.Duration

	follower *journal.Follower
	// lastFollowed is the time of the last read of the stream without the lease.
	lastFollowed time.Time
	checkpoints  checkpoints

	fold    *fleet.Fold
	planner *fleet.Planner
	tracker *fleet.Tracker
	lags    fleet.Lags
	// retries holds the retry state of the open intents whose orders were not answered, by sequence number.
	retries map[uint64]retry
	// listedByToken holds the hosts of the last host list by client token.
	listedByToken map[string]apricotway.BackendServerID
}

// retry is the retry state of one open intent.
type retry struct {
	attempts int
	pause    time.Duration
	after    time.Time
}

// Option configures a Driver.
type Option func(*Driver)

// WithLogger sets the logger.
func WithLogger(logger logr.Logger) Option {
	return func(d *Driver) { d.logger = logger }
}

// WithPeriod sets the time between two plans.
func WithPeriod(period time.Duration) Option {
	return func(d *Driver) { d.period = period }
}

// WithLags sets the times by which the host list may lag behind.
func WithLags(lags fleet.Lags) Option {
	return func(d *Driver) { d.lags = lags }
}

// WithHook sets a function that runs at every step of an intent. If it fails, the driver ends at once without any further append
// or call, as if the process had ended there. Tests use it to stop a holder at a given step.
func WithHook(hook func(Step, fleet.Intent) error) Option {
	return func(d *Driver) { d.hook = hook }
}

// New returns a Driver and adds its goroutine to the supervisor. The lease must be that of the region's stream, and node the name
// under which it is claimed. While target returns false, the driver plans nothing.
func New(
	supervisor *suture.Supervisor, region apricotway.Region, node apricotway.NodeID, log apricotway.Log, writer Writer,
	lease *leasing.Lease, hosts apricotway.HostList, cloud apricotway.Cloud, target func() (Target, bool), options ...Option,
) *Driver {
	stream := fleet.StreamOf(region)
	d := &Driver{
		writer: writer, hosts: hosts, cloud: cloud, lease: lease, node: node, stream: stream, target: target,
		logger: logr.Discard(), hook: func(Step, fleet.Intent) error { return nil },
		period: DefaultPeriod, lags: DefaultLags(), fold: fleet.New(stream),
		planner: fleet.NewPlanner(fleet.Parameters{}), retries: map[uint64]retry{},
		checkpoints: checkpoints{interval: DefaultCheckpointInterval},
	}
	for _, option := range options {
		option(d)
	}

	d.tracker = fleet.NewTracker(d.lags)
	// The state ignores a second copy of a record because of its sequence number or of the lease record that it replaces.
	d.follower = journal.NewFollower(log, stream, (*followerState)(d), journal.WithRememberedIDs(0))

	supervisor.Add(apricotway.ServiceFunc{Name: "planner of " + string(stream), Func: func(ctx context.Context) error {
		ticker := time.NewTicker(d.period)
		defer ticker.Stop()

		for {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-ticker.C:
			}

			err := d.runOnce(ctx)

			switch {
			case ctx.Err() != nil:
				return ctx.Err()
			case errors.Is(err, errHookStopped):
				return suture.ErrDoNotRestart
			case errors.Is(err, journal.ErrNoCheckpoint):
				d.logger.Info("fleet state unknown: the stream was trimmed and holds no complete checkpoint", "event", 235, "stream", stream,
					"held", d.lease.Held())
				pause.For(ctx, noCheckpointPause)
			case err != nil:
				d.logger.Info("failed to plan the fleet or to carry out its orders", "event", 241, "stream", stream, "error", err.Error())
			}
		}
	}})

	return d
}

// runOnce carries out the open intents, then plans, records and carries out new ones. Without the lease it only follows the
// stream.
func (d *Driver) runOnce(ctx context.Context) error {
	if !d.lease.Held() {
		return d.follow(ctx)
	}

	target, ok := d.target()
	if !ok {
		// The lease is still renewed in this case, so checkpoints have to be written as well.
		if err := d.readToEnd(ctx); err != nil {
			return err
		}

		d.writeCheckpoint(ctx)

		return nil
	}

	// Read the list before the stream, so that the stream then holds the intent of every host on the list.
	list, listErr := d.hosts.Hosts(ctx)

	d.listedByToken = map[string]apricotway.BackendServerID{}

	for _, server := range list {
		if server.ClientToken != "" {
			d.listedByToken[server.ClientToken] = server.ID
		}
	}

	if err := d.readToEnd(ctx); err != nil {
		return err
	}

	// The records of this process count only once the stream shows it as the holder.
	if d.fold.Lease().Holder != d.node {
		return nil
	}

	d.writeCheckpoint(ctx)

	if err := d.carryOutOpen(ctx); err != nil {
		return err
	}

	if listErr != nil {
		return errors.Wrap(listErr, "read host list")
	}

	now := time.Now()
	hosts, intents := d.tracker.Track(now, d.fold, target.Service, list)

	d.planner.SetParameters(target.Terms)

	intents = append(intents, d.planner.Plan(now, fleet.Observation{
		Demand: target.Demand, Offers: target.Offers, Hosts: hosts, Blocked: d.fold.Blocked(now),
	})...)

	if len(intents) == 0 {
		return nil
	}

	if err := d.recordIntents(ctx, target.Service, intents); err != nil {
		return err
	}

	return d.carryOutOpen(ctx)
}

// recordIntents appends the intents as one unit and reads them back. Intents that lost against a newer claim or against another
// record with the same sequence number are not among the open ones afterwards.
func (d *Driver) recordIntents(ctx context.Context, service apricotway.Service, intents []fleet.Intent) error {
	records := make([]apricotway.Record, len(intents))

	for i := range intents {
		intents[i].Sequence = d.fold.Sequence() + uint64(i) + 1
		if intents[i].Action == fleet.ActionCreate {
			intents[i].Service = service
		}

		if err := d.runHook(StepBeforeIntent, intents[i]); err != nil {
			return err
		}

		record, err := fleet.NewRecord(fleet.KindIntent, d.fold.Lease().Number, intents[i])
		if err != nil {
			return err
		}

		records[i] = record
	}

	if err := d.append(ctx, records); err != nil {
		return err
	}

	for _, intent := range intents {
		if err := d.runHook(StepAfterIntent, intent); err != nil {
			return err
		}
	}

	return d.readToEnd(ctx)
}

// carryOutOpen sends the orders of the open intents that are due and appends their outcomes.
func (d *Driver) carryOutOpen(ctx context.Context) error {
	if d.fold.Lease().Holder != d.node {
		return nil
	}

	var (
		group    sync.WaitGroup
		due      []fleet.OpenIntent
		now      = time.Now()
		slots    = make(chan struct{}, maxConcurrentCalls)
		outcomes []fleet.Outcome
		records  []apricotway.Record
	)

	retries := map[uint64]retry{}

	for _, open := range d.fold.OrderableIntents() {
		if r, ok := d.retries[open.Sequence]; ok {
			retries[open.Sequence] = r
		}

		if !now.Before(d.retries[open.Sequence].after) {
			due = append(due, open)
		}
	}

	d.retries = retries
	calls := make([]call, len(due))

	for i, open := range due {
		calls[i] = call{driver: d, open: open}

		group.Go(func() {
			slots <- struct{}{}

			defer func() { <-slots }()

			if calls[i].err = d.runHook(StepBeforeCheck, open.Intent); calls[i].err != nil {
				return
			}

			// The client token makes the order repeatable, so it does not have to wait for the orders of an earlier holder.
			calls[i].err = d.lease.Enforce(ctx, &calls[i], true)
		})
	}

	group.Wait()

	for i := range calls {
		outcome, ok, err := d.outcome(&calls[i])
		if err != nil {
			return err
		}

		if ok {
			outcomes = append(outcomes, outcome)
		}
	}

	for _, outcome := range outcomes {
		record, err := fleet.NewRecord(fleet.KindOutcome, d.fold.Lease().Number, outcome)
		if err != nil {
			return err
		}

		records = append(records, record)
	}

	return d.recordOutcomes(ctx, calls, records)
}

// recordOutcomes appends the outcomes of calls and reads them back.
func (d *Driver) recordOutcomes(ctx context.Context, calls []call, records []apricotway.Record) error {
	if len(records) == 0 {
		return nil
	}

	for i := range calls {
		if err := d.runHook(StepBeforeOutcome, calls[i].open.Intent); err != nil {
			return err
		}
	}

	// If the answer to the append is lost, the stream shows which intents are still open; a repeated order creates no second
	// host.
	if err := d.append(ctx, records); err != nil {
		return err
	}

	for i := range calls {
		if err := d.runHook(StepAfterOutcome, calls[i].open.Intent); err != nil {
			return err
		}
	}

	return d.readToEnd(ctx)
}

// outcome returns the outcome of a call if it is known. Otherwise it schedules a retry.
func (d *Driver) outcome(c *call) (fleet.Outcome, bool, error) {
	outcome := fleet.Outcome{Sequence: c.open.Sequence, Host: c.host}

	retry := d.retries[c.open.Sequence]
	retry.attempts++

	refused := errors.Is(c.err, apricotway.ErrHostRefused)

	switch {
	case errors.Is(c.err, errHookStopped):
		return fleet.Outcome{}, false, c.err
	case c.err == nil && c.open.Action == fleet.ActionCreate:
		outcome.Result = fleet.ResultCreated
		d.logger.Info("host created", "event", 242, "host", c.host, "zone", c.open.Market.Zone, "token", c.open.Token)
	case c.err == nil:
		outcome.Result, outcome.Host = fleet.ResultReleased, c.open.Host
		d.logger.Info("host released", "event", 243, "host", c.open.Host)
	case errors.Is(c.err, leasing.ErrNotHeld):
		// The next holder repeats the order.
		return fleet.Outcome{}, false, nil
	case errors.Is(c.err, apricotway.ErrOrderFenced):
		// The next holder repeats the order, or this one does if it has renewed its lease in the meantime.
		d.logger.Info("the platform refused an order under an old lease", "event", 106, "token", c.open.Token)

		return fleet.Outcome{}, false, nil
	case (refused || retry.attempts >= maxAttempts) && c.open.Action == fleet.ActionCreate:
		outcome.Result = fleet.ResultUnanswered
		if refused {
			outcome.Result = fleet.ResultRefused
		}

		d.logger.Info("gave up the creation of a host", "event", 244, "result", outcome.Result,
			"zone", c.open.Market.Zone, "machineClass", c.open.Market.MachineClass, "reclaimable", c.open.Market.Reclaimable)
	default:
		retry.pause = min(max(2*retry.pause, minCallBackoff), maxCallBackoff)
		retry.after = time.Now().Add(retry.pause)
		d.retries[c.open.Sequence] = retry
		d.logger.Info("order failed or was not answered; retrying later", "event", 245, "token", c.open.Token, "error", c.err.Error())

		return fleet.Outcome{}, false, nil
	}

	delete(d.retries, c.open.Sequence)

	return outcome, true, nil
}

// call is one order to the cloud API. It implements leasing.Target, so that the lease is checked immediately before the order is
// sent.
type call struct {
	driver *Driver
	open   fleet.OpenIntent
	host   apricotway.BackendServerID
	err    error
}

// Satisfied implements leasing.Target. A host on the list with the order's client token shows that the order was carried out
// although its answer was lost.
func (c *call) Satisfied(context.Context) (bool, error) {
	c.host = c.driver.listedByToken[c.open.Token]
	return c.host != "", nil
}

// Apply implements leasing.Target.
func (c *call) Apply(ctx context.Context, order lease.Order) error {
	if err := c.driver.runHook(StepBeforeCall, c.open.Intent); err != nil {
		return err
	}

	var err error

	switch {
	case c.host != "":
	case c.open.Action == fleet.ActionCreate:
		c.host, err = c.driver.cloud.Create(ctx, apricotway.HostOrder{
			ClientToken: c.open.Token, Service: c.open.Service, Zone: c.open.Market.Zone,
			MachineClass: c.open.Market.MachineClass, Reclaimable: c.open.Market.Reclaimable,
			Fencing: apricotway.Fencing(order),
		})
	default:
		err = c.driver.cloud.Release(ctx, c.open.Host, apricotway.Fencing(order))
	}

	if stop := c.driver.runHook(StepAfterCall, c.open.Intent); stop != nil {
		return stop
	}

	return err
}

// runHook runs the hook at a step of an intent.
func (d *Driver) runHook(step Step, intent fleet.Intent) error {
	if err := d.hook(step, intent); err != nil {
		return errors.Wrap(errHookStopped, err.Error())
	}

	return nil
}

// append appends records to the fleet stream.
func (d *Driver) append(ctx context.Context, records []apricotway.Record) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()

	if err := d.writer.AppendAll(ctx, d.stream, records); err != nil {
		return errors.Wrap(err, "append to the fleet stream")
	}

	return nil
}

// follow reads the stream every followPeriod while another process holds the lease.
func (d *Driver) follow(ctx context.Context) error {
	if time.Since(d.lastFollowed) < followPeriod {
		return nil
	}

	d.lastFollowed = time.Now()

	return d.readToEnd(ctx)
}

// readToEnd reads the stream to its end and applies the records.
func (d *Driver) readToEnd(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()

	for {
		end, err := d.follower.Step(ctx, 0)
		if err != nil {
			return errors.Wrap(err, "read the fleet stream")
		}

		if end {
			return nil
		}
	}
}
