// Package planning drives the fleet planner of a region under the lease of the region's stream.
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
	// DefaultPeriod is the time between two plans. With the period of the host list it bounds the time from a reclaim notice
	// to the order of a replacement.
	DefaultPeriod = time.Second
	// maxCalls bounds the calls of the cloud API that are underway at the same time.
	maxCalls = 16
	// callBackoff and maxCallBackoff bound the pause before an order whose answer is not known is repeated.
	callBackoff    = time.Second
	maxCallBackoff = time.Minute
	// maxAttempts is the number of orders without an answer after which a creation is given up, so that another zone is
	// tried. A host that is created later all the same is found on the host list by its token.
	maxAttempts = 4

	// appendTimeout bounds one append, with its wait for the append budget.
	appendTimeout = 15 * time.Second
	// readTimeout bounds the reading of the stream to its end. A restore reads all that is kept in one go: three days of
	// renewals are 173 reads.
	readTimeout = time.Minute
	// followPeriod is the time between two readings by a process that does not hold the lease. It keeps what a new holder has
	// to read short, and keeps the state in memory should all checkpoints be trimmed.
	followPeriod = time.Minute
)

// DefaultLags are the default times for which the host list may be behind.
func DefaultLags() fleet.Lags { return fleet.Lags{Start: 10 * time.Minute, List: 30 * time.Second} }

// Target is what the region's fleet has to provide.
type Target struct {
	Service apricotway.Service
	Demand  float64
	Offers  []fleet.Offer
	Terms   fleet.Terms
}

// Step names a point of an intent at which a hook runs.
type Step string

// The steps in the order in which an intent passes them.
const (
	StepBeforeIntent  Step = "beforeIntent"
	StepAfterIntent   Step = "afterIntent"
	StepBeforeCheck   Step = "beforeCheck"
	StepBeforeCall    Step = "beforeCall"
	StepAfterCall     Step = "afterCall"
	StepBeforeOutcome Step = "beforeOutcome"
	StepAfterOutcome  Step = "afterOutcome"
)

// errStopped reports that the hook ended the driver.
var errStopped = errors.New("stopped by the hook")

// Writer appends to the log service within the append budget of the system.
type Writer interface {
	// AppendAll appends records in their order.
	AppendAll(ctx context.Context, stream apricotway.Stream, records []apricotway.Record) error
	// AppendCheckpoint appends a state that includes all records below next.
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
	// followed is the time of the newest reading without the lease.
	followed    time.Time
	checkpoints checkpoints

	fold    *fleet.Fold
	planner *fleet.Planner
	tracker *fleet.Tracker
	lags    fleet.Lags
	// retries holds the open intents whose orders got no answer.
	retries map[uint64]retry
	// listed holds the hosts of the last list by client token.
	listed map[string]apricotway.BackendServerID
}

type retry struct {
	attempts int
	pause    time.Duration
	after    time.Time
}

// Option changes a driver under construction.
type Option func(*Driver)

// WithLogger sets the logger.
func WithLogger(logger logr.Logger) Option {
	return func(d *Driver) { d.logger = logger }
}

// WithPeriod sets the time between two plans.
func WithPeriod(period time.Duration) Option {
	return func(d *Driver) { d.period = period }
}

// WithLags sets the times for which the host list may be behind.
func WithLags(lags fleet.Lags) Option {
	return func(d *Driver) { d.lags = lags }
}

// WithHook sets a function that runs at every step of an intent. When it fails, the driver ends at once without any further
// append or call, as if the process had ended there. Tests stop a holder with it.
func WithHook(hook func(Step, fleet.Intent) error) Option {
	return func(d *Driver) { d.hook = hook }
}

// New returns a driver and adds its goroutine to the supervisor. The lease must be that of the region's stream, and node the
// name under which it is claimed. Without a target the driver changes nothing.
func New(
	supervisor *suture.Supervisor, region apricotway.Region, node apricotway.NodeID, log apricotway.Log, writer Writer,
	lease *leasing.Lease, hosts apricotway.HostList, cloud apricotway.Cloud, target func() (Target, bool), options ...Option,
) *Driver {
	stream := fleet.StreamOf(region)
	d := &Driver{
		writer: writer, hosts: hosts, cloud: cloud, lease: lease, node: node, stream: stream, target: target,
		logger: logr.Discard(), hook: func(Step, fleet.Intent) error { return nil },
		period: DefaultPeriod, lags: DefaultLags(), fold: fleet.New(stream),
		planner: fleet.NewPlanner(fleet.Terms{}), retries: map[uint64]retry{},
		checkpoints: checkpoints{interval: DefaultCheckpointInterval},
	}
	for _, option := range options {
		option(d)
	}

	d.tracker = fleet.NewTracker(d.lags)
	// A second copy of a record is void by its sequence number or by the lease record that it replaces.
	d.follower = journal.NewFollower(log, stream, (*driverState)(d), journal.WithSeen(0))

	supervisor.Add(apricotway.ServiceFunc{Name: "planner of " + string(stream), Func: func(ctx context.Context) error {
		ticker := time.NewTicker(d.period)
		defer ticker.Stop()

		for {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-ticker.C:
			}

			err := d.pass(ctx)

			switch {
			case ctx.Err() != nil:
				return ctx.Err()
			case errors.Is(err, errStopped):
				return suture.ErrDoNotRestart
			case errors.Is(err, journal.ErrNoCheckpoint):
				d.logger.Info("fleet state lost: stream trimmed without a checkpoint", "event", 235, "stream", stream,
					"held", d.lease.Held())
				pause.For(ctx, noCheckpointPause)
			case err != nil:
				d.logger.Info("fleet not planned", "event", 241, "stream", stream, "error", err.Error())
			}
		}
	}})

	return d
}

// pass finishes the open intents, then plans and carries out what is new.
func (d *Driver) pass(ctx context.Context) error {
	if !d.lease.Held() {
		return d.follow(ctx)
	}

	target, ok := d.target()
	if !ok {
		// The renewals of the lease go on in this case, so checkpoints have to as well.
		if err := d.read(ctx); err != nil {
			return err
		}

		d.writeCheckpoint(ctx)

		return nil
	}

	// The list is read before the stream: the stream then holds the intent of every host on the list.
	list, listErr := d.hosts.Hosts(ctx)

	d.listed = map[string]apricotway.BackendServerID{}

	for _, server := range list {
		if server.ClientToken != "" {
			d.listed[server.ClientToken] = server.ID
		}
	}

	if err := d.read(ctx); err != nil {
		return err
	}

	// Own records count only once the stream shows this process as the holder.
	if d.fold.Lease().Holder != d.node {
		return nil
	}

	d.writeCheckpoint(ctx)

	if err := d.finish(ctx); err != nil {
		return err
	}

	if listErr != nil {
		return errors.Wrap(listErr, "read host list")
	}

	now := time.Now()
	hosts, intents := d.tracker.Track(now, d.fold, target.Service, list)

	d.planner.SetTerms(target.Terms)

	intents = append(intents, d.planner.Plan(now, fleet.Observation{
		Demand: target.Demand, Offers: target.Offers, Hosts: hosts, Blocked: d.fold.Blocked(now),
	})...)

	if len(intents) == 0 {
		return nil
	}

	if err := d.record(ctx, target.Service, intents); err != nil {
		return err
	}

	return d.finish(ctx)
}

// record appends the intents as one unit and reads them back. Those that lost against a newer claim or another record with
// the same sequence number do not appear among the open ones.
func (d *Driver) record(ctx context.Context, service apricotway.Service, intents []fleet.Intent) error {
	records := make([]apricotway.Record, len(intents))

	for i := range intents {
		intents[i].Sequence = d.fold.Sequence() + uint64(i) + 1
		if intents[i].Action == fleet.ActionCreate {
			intents[i].Service = service
		}

		if err := d.step(StepBeforeIntent, intents[i]); err != nil {
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
		if err := d.step(StepAfterIntent, intent); err != nil {
			return err
		}
	}

	return d.read(ctx)
}

// finish carries out the open intents that are due and appends their outcomes.
func (d *Driver) finish(ctx context.Context) error {
	if d.fold.Lease().Holder != d.node {
		return nil
	}

	var (
		group    sync.WaitGroup
		due      []fleet.Open
		now      = time.Now()
		slots    = make(chan struct{}, maxCalls)
		outcomes []fleet.Outcome
		records  []apricotway.Record
	)

	retries := map[uint64]retry{}

	for _, open := range d.fold.Open() {
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

			if calls[i].err = d.step(StepBeforeCheck, open.Intent); calls[i].err != nil {
				return
			}

			// The order is repeatable under its client token, so it has not to wait for the orders of an earlier holder.
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

func (d *Driver) recordOutcomes(ctx context.Context, calls []call, records []apricotway.Record) error {
	if len(records) == 0 {
		return nil
	}

	for i := range calls {
		if err := d.step(StepBeforeOutcome, calls[i].open.Intent); err != nil {
			return err
		}
	}

	// After a lost answer the intents stay open or not as the stream shows; a repeated order creates no second host.
	if err := d.append(ctx, records); err != nil {
		return err
	}

	for i := range calls {
		if err := d.step(StepAfterOutcome, calls[i].open.Intent); err != nil {
			return err
		}
	}

	return d.read(ctx)
}

// outcome returns the outcome of a call, if it is known, and sets the time of its repetition otherwise.
func (d *Driver) outcome(c *call) (fleet.Outcome, bool, error) {
	outcome := fleet.Outcome{Sequence: c.open.Sequence, Host: c.host}

	retry := d.retries[c.open.Sequence]
	retry.attempts++

	refused := errors.Is(c.err, apricotway.ErrHostRefused)

	switch {
	case errors.Is(c.err, errStopped):
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
		// The next holder repeats the order, or this one does when it has renewed its lease meanwhile.
		d.logger.Info("order under an old lease refused", "event", 106, "token", c.open.Token)

		return fleet.Outcome{}, false, nil
	case (refused || retry.attempts >= maxAttempts) && c.open.Action == fleet.ActionCreate:
		outcome.Result = fleet.ResultUnanswered
		if refused {
			outcome.Result = fleet.ResultRefused
		}

		d.logger.Info("host refused", "event", 244, "result", outcome.Result,
			"zone", c.open.Market.Zone, "machineClass", c.open.Market.MachineClass, "reclaimable", c.open.Market.Reclaimable)
	default:
		retry.pause = min(max(2*retry.pause, callBackoff), maxCallBackoff)
		retry.after = time.Now().Add(retry.pause)
		d.retries[c.open.Sequence] = retry
		d.logger.Info("order without an answer", "event", 245, "token", c.open.Token, "error", c.err.Error())

		return fleet.Outcome{}, false, nil
	}

	delete(d.retries, c.open.Sequence)

	return outcome, true, nil
}

// call is one order to the cloud API. It implements leasing.Target, so that the lease is checked immediately before the order.
type call struct {
	driver *Driver
	open   fleet.Open
	host   apricotway.BackendServerID
	err    error
}

// Satisfied implements leasing.Target. A host on the list with the order's token answers an order whose own answer was lost.
func (c *call) Satisfied(context.Context) (bool, error) {
	c.host = c.driver.listed[c.open.Token]
	return c.host != "", nil
}

// Apply implements leasing.Target.
func (c *call) Apply(ctx context.Context, order lease.Order) error {
	if err := c.driver.step(StepBeforeCall, c.open.Intent); err != nil {
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

	if stop := c.driver.step(StepAfterCall, c.open.Intent); stop != nil {
		return stop
	}

	return err
}

func (d *Driver) step(step Step, intent fleet.Intent) error {
	if err := d.hook(step, intent); err != nil {
		return errors.Wrap(errStopped, err.Error())
	}

	return nil
}

func (d *Driver) append(ctx context.Context, records []apricotway.Record) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()

	if err := d.writer.AppendAll(ctx, d.stream, records); err != nil {
		return errors.Wrap(err, "append to the fleet stream")
	}

	return nil
}

// follow reads the stream now and then while another process holds the lease.
func (d *Driver) follow(ctx context.Context) error {
	if time.Since(d.followed) < followPeriod {
		return nil
	}

	d.followed = time.Now()

	return d.read(ctx)
}

// read folds the stream to its end.
func (d *Driver) read(ctx context.Context) error {
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
