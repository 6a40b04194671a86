package rollup

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/thejerf/suture/v4"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/coordination/duty"
	"github.com/apricotway/apricotway/internal/boottime"
	"github.com/apricotway/apricotway/internal/pause"
	"github.com/apricotway/apricotway/state/cadence"
	"github.com/apricotway/apricotway/state/canary"
)

const (
	// shiftStepPeriod is the time between two looks at the orders to shift traffic, and shiftWritePeriod that between two attempts to write
	// their states.
	shiftStepPeriod  = 50 * time.Millisecond
	shiftWritePeriod = 50 * time.Millisecond
)

// shifts is the part of a Rollup that shifts the traffic of services to other software versions.
type shifts struct {
	bounds canary.Bounds
	// store is nil if this process doesn't follow orders to shift traffic.
	store apricotway.VersionShiftStore
	boot  func() time.Duration

	mu sync.Mutex
	// controller is nil unless this process holds the duties and knows what its predecessors have decided.
	controller *canary.Controller
	// decided counts the decisions of this process by outcome.
	decided map[apricotway.VersionShiftState]int
}

// savedShifts is the form in which the states are saved.
type savedShifts struct {
	// At is the time of the save. A successor on another host adds the time since then to the ages.
	At     time.Time      `json:"at"`
	States []canary.State `json:"states"`
}

// WithShifts makes the holder of the duties carry out the orders to shift traffic within the bounds, if these are set.
func WithShifts(store apricotway.VersionShiftStore, bounds canary.Bounds) Option {
	return func(r *Rollup) {
		if bounds.Enabled() {
			r.shifts.store, r.shifts.bounds = store, bounds
		}
	}
}

// addShifts adds the goroutines that carry out orders to shift traffic.
func (r *Rollup) addShifts(supervisor *suture.Supervisor) {
	r.shifts.boot, r.shifts.decided = boottime.Now, map[apricotway.VersionShiftState]int{}

	if r.shifts.store == nil {
		return
	}

	supervisor.Add(apricotway.ServiceFunc{Name: "saved orders to shift traffic", Func: r.learnShifts})
	supervisor.Add(apricotway.Periodic("orders to shift traffic", shiftStepPeriod, func(_ context.Context, now time.Time) {
		r.stepShifts(now)
	}))
	supervisor.Add(apricotway.ServiceFunc{Name: "states of orders to shift traffic", Func: func(ctx context.Context) error {
		for pause.For(ctx, shiftWritePeriod) {
			r.takeShiftsOver(ctx)
			r.writeShifts(ctx)
		}

		return ctx.Err()
	}})
}

// learnShifts reads the saved states when the process starts: nobody may hold the duties for some seconds.
func (r *Rollup) learnShifts(ctx context.Context) error {
	for {
		states, err := r.readShifts(ctx)
		if err == nil {
			r.Pool.LearnShifts(time.Now(), states)
			return suture.ErrDoNotRestart
		}

		if !pause.For(ctx, learnPause) {
			return ctx.Err()
		}
	}
}

func (r *Rollup) readShifts(ctx context.Context) ([]canary.State, error) {
	content, err := r.duty.ReadState(ctx, apricotway.StateShifts)
	if err != nil || content == nil {
		return nil, err
	}

	var saved savedShifts
	if err := json.Unmarshal(content, &saved); err != nil {
		r.logger.Info("failed to decode the saved states of orders to shift traffic", "event", 389, "error", err.Error())
		return nil, nil
	}

	elapsed := max(time.Since(saved.At), 0)
	for i := range saved.States {
		saved.States[i].Age += elapsed
		saved.States[i].Decided += elapsed
	}

	return saved.States, nil
}

// takeShiftsOver begins to carry out the orders once this process holds the duties and has read what its predecessors saved.
func (r *Rollup) takeShiftsOver(ctx context.Context) {
	holder, held := r.duty.Held()

	r.shifts.mu.Lock()
	if !held {
		r.shifts.controller = nil
	}

	current := r.shifts.controller != nil && r.shifts.controller.Term() == holder.Number
	r.shifts.mu.Unlock()

	if !held || current {
		return
	}

	if holder, held = r.duty.ConfirmedHolder(ctx); !held {
		return
	}

	states, err := r.readShifts(ctx)
	if err != nil {
		return
	}

	now := time.Now()
	states = append(states, r.Pool.ShiftStates(now)...)

	r.shifts.mu.Lock()
	defer r.shifts.mu.Unlock()

	if r.shifts.controller != nil && r.shifts.controller.Term() == r.duty.Renewed() {
		// This process has decided all the time; the other processes know its states.
		states = append(states, r.shifts.controller.States(now)...)
	}

	r.shifts.controller = canary.NewController(now, r.shifts.bounds, holder.Number, states)
}

// viewOf returns what this process knows of a service.
func (r *Rollup) viewOf(service apricotway.Service) canary.View {
	view := canary.View{Versions: r.Pool.Capacities(service), Period: cadence.Period(r.countMembers())}
	if table := r.Catalog.Table(); table != nil {
		view.Known = table.Service(service) != nil
	}

	return view
}

// stepShifts takes up new orders and decides on those that are running.
func (r *Rollup) stepShifts(now time.Time) {
	holder, held := r.duty.Held()
	orders, _, known := r.shifts.store.VersionShifts()

	r.shifts.mu.Lock()
	defer r.shifts.mu.Unlock()

	controller := r.shifts.controller
	if !held || controller == nil || controller.Term() != holder.Number {
		return
	}

	// Without a configuration, all services would count as unknown.
	if known && r.Catalog.Table() != nil {
		r.logShifts(controller.TakeOrders(now, orders, r.viewOf))
	}

	r.logShifts(controller.Step(now, r.viewOf))
}

// receiveShifts adds the counts of a process, and returns what it has to know; nil unless this process holds the duties under the number.
func (r *Rollup) receiveShifts(now time.Time, report Report, number apricotway.Offset) *canary.Answer {
	if r.shifts.store == nil {
		return nil
	}

	_, asOf, known := r.shifts.store.VersionShifts()

	r.shifts.mu.Lock()
	defer r.shifts.mu.Unlock()

	controller := r.shifts.controller
	if controller == nil || controller.Term() != number || !known {
		return nil
	}

	controller.Report(report.Node, report.Shifts)

	return &canary.Answer{Term: number, OrdersAge: r.shifts.boot() - asOf, States: controller.States(now)}
}

// writeShifts saves what a successor has to know, and then tells the operators the states of the orders.
func (r *Rollup) writeShifts(ctx context.Context) {
	for r.writeShift(ctx) {
		continue
	}
}

// writeShift makes one write, and reports whether there may be more.
func (r *Rollup) writeShift(ctx context.Context) bool {
	r.shifts.mu.Lock()
	controller := r.shifts.controller

	if controller == nil {
		r.shifts.mu.Unlock()
		return false
	}

	states, change, unsaved := controller.Unsaved(time.Now())

	var (
		status apricotway.VersionShiftStatus
		untold bool
	)

	if !unsaved {
		status, untold = controller.Untold()
	}
	r.shifts.mu.Unlock()

	if !unsaved && !untold {
		return false
	}

	// A process that was suspended may have been replaced.
	if holder, held := r.duty.ConfirmedHolder(ctx); !held || holder.Number != controller.Term() {
		return false
	}

	if unsaved {
		return r.saveShifts(ctx, controller, states, change)
	}

	limited, cancel := context.WithTimeout(ctx, duty.PlatformCallTimeout)
	defer cancel()

	if err := r.shifts.store.RecordVersionShift(limited, status); err != nil {
		r.logShiftWrite(err)
		return false
	}

	r.shifts.mu.Lock()
	defer r.shifts.mu.Unlock()

	r.logShifts(controller.MarkTold(time.Now(), status))

	return true
}

func (r *Rollup) saveShifts(ctx context.Context, controller *canary.Controller, states []canary.State, change uint64) bool {
	content, err := json.Marshal(savedShifts{time.Now(), states})
	if err == nil {
		err = r.duty.SaveState(ctx, apricotway.StateShifts, content)
	}

	if err != nil {
		r.logShiftWrite(err)
		return false
	}

	r.shifts.mu.Lock()
	defer r.shifts.mu.Unlock()

	controller.MarkSaved(change)

	return true
}

func (r *Rollup) logShiftWrite(err error) {
	r.logger.V(1).Info("failed to write the states of orders to shift traffic", "event", 394, "error", err.Error())
}

// logShifts logs what happened to orders. The caller holds r.shifts.mu.
func (r *Rollup) logShifts(events []canary.Event) {
	for i := range events {
		e := &events[i]

		switch e.Kind {
		case canary.EventRefused:
			r.logger.Info("refused an order to shift traffic", "event", 400, "service", e.Refused.Service, "version", e.Refused.Version,
				"problem", e.Problem)
		case canary.EventAccepted:
			r.logger.Info("took up an order to shift traffic", "event", 407, "service", e.State.Service, "version", e.State.Version,
				"duration", e.State.Duration, "others", e.State.Others)
		case canary.EventExposure:
			r.logger.Info("changed the exposure of a version", "event", 408, "service", e.State.Service, "version", e.State.Version,
				"share", e.State.Share, "requests", e.State.Requests, "exposed", e.State.Exposed)
		case canary.EventDecided:
			r.shifts.decided[e.State.State]++
			r.logger.Info("decided an order to shift traffic", "event", 409, "service", e.State.Service, "version", e.State.Version,
				"state", e.State.State, "reason", e.State.Reason, "requests", e.State.Requests, "exposed", e.State.Exposed)
		}
	}
}

// ShiftDecisions returns the numbers of orders that this process has decided, by outcome.
func (r *Rollup) ShiftDecisions() map[apricotway.VersionShiftState]int {
	r.shifts.mu.Lock()
	defer r.shifts.mu.Unlock()

	decided := map[apricotway.VersionShiftState]int{}
	for state, count := range r.shifts.decided {
		decided[state] = count
	}

	return decided
}
