package rollup

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/coordination/duty"
	"github.com/apricotway/apricotway/state/scaling"
)

// minElapsed is the shortest time over which a demand is taken to have been counted. A very short one would turn a few calls into a
// huge rate.
const minElapsed = 100 * time.Millisecond

// smoothDemand returns the demand of a process by service, in tokens per second, averaged over about demandAveragingTime. The
// caller holds r.mu.
func (r *Rollup) smoothDemand(report Report) map[apricotway.Service]scaling.Load {
	seconds := max(report.Elapsed.Seconds(), minElapsed.Seconds())
	loads := map[apricotway.Service]scaling.Load{}
	weight := min(seconds/demandAveragingTime.Seconds(), 1)

	for service, before := range r.loads[report.Node].demand {
		loads[service] = scaling.Load{Prefill: before.Prefill * (1 - weight)}
	}

	for service, demand := range report.Demand {
		load := loads[service]
		load.Prefill += weight * demand.PrefillTokens / seconds
		loads[service] = load
	}

	return loads
}

// orderCapacity orders engines for every service with a capacity rule. Only the holder does so.
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
			if !r.placeOrder(ctx, holder, name, order) {
				return
			}
		}
	}
}

// plan returns the orders that are due for a service.
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

	return planner.Plan(now, rule, live, r.load(now, service))
}

// load returns the load of a service over all processes. The caller holds r.mu.
func (r *Rollup) load(now time.Time, service apricotway.Service) scaling.Load {
	var load scaling.Load

	servers := map[apricotway.BackendServerID]bool{}
	for _, backend := range r.Pool.Backends() {
		servers[backend.ID] = backend.Service == service
	}

	for node, process := range r.loads {
		if now.Sub(process.at) > demandTimeout {
			delete(r.loads, node)
			continue
		}

		load.Prefill += process.demand[service].Prefill
	}

	for server, w := range r.board.Total() {
		if servers[server] {
			load.Running += float64(w.Running)
		}
	}

	return load
}

// placeOrder sends one order to the platform and reports whether this process may send further ones.
func (r *Rollup) placeOrder(
	ctx context.Context, holder apricotway.DutyHolder, service apricotway.Service, order scaling.Order,
) bool {
	if acting, ok := r.duty.AuthorizedHolder(ctx); !ok || acting.Number != holder.Number {
		return false
	}

	limited, cancel := context.WithTimeout(ctx, duty.PlatformCallTimeout)
	defer cancel()

	err := r.calls.OrderCapacity(limited, holder, apricotway.CapacityOrder{
		Service: service, Zone: order.Zone, Reclaimable: order.Reclaimable, Count: order.Count,
	})

	fenced := errors.Is(err, apricotway.ErrOrderFenced)
	if fenced {
		r.duty.MarkFenced(holder.Number)
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
		planner.RecordOrder(time.Now(), order, err)
	}

	return !fenced
}
