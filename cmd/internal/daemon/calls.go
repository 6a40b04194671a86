package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/thejerf/suture/v4"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/coordination/gate"
	"github.com/apricotway/apricotway/coordination/inventory"
	"github.com/apricotway/apricotway/protocol/call"
	"github.com/apricotway/apricotway/state/admission"
	"github.com/apricotway/apricotway/state/config"
)

// callAdmission limits the concurrent calls of plain services to their configured CallsPerServer. The slots of a service are
// divided equally among the live processes, each of which gets at least one.
type callAdmission struct {
	fold       *config.Fold
	inventory  *inventory.Inventory
	membership apricotway.Membership

	mu    sync.Mutex
	gates map[apricotway.Service]*gate.Gate
}

// newCallAdmission returns the call admission of this process and adds the loop that updates its limits to the supervisor.
func newCallAdmission(
	supervisor *suture.Supervisor, fold *config.Fold, known *inventory.Inventory, membership apricotway.Membership,
) *callAdmission {
	a := &callAdmission{
		fold: fold, inventory: known, membership: membership, gates: map[apricotway.Service]*gate.Gate{},
	}

	supervisor.Add(apricotway.Periodic("call limits", limitPeriod, func(context.Context, time.Time) { a.setLimits() }))

	return a
}

// Admit implements call.Admission.
func (a *callAdmission) Admit(ctx context.Context, request call.Request) (func(), error) {
	spec, _ := a.fold.Service(request.Service)
	if spec.CallsPerServer == 0 {
		return func() {}, nil
	}

	g := a.gate(request.Service)
	if err := g.Acquire(ctx, admission.Request{
		ID: request.ID, Workspace: request.Workspace, Tokens: 1, Deadline: request.Deadline,
	}); err != nil {
		return nil, err
	}

	return func() { g.Release(request.ID, 1) }, nil
}

func (a *callAdmission) gate(service apricotway.Service) *gate.Gate {
	a.mu.Lock()
	defer a.mu.Unlock()

	g := a.gates[service]
	if g == nil {
		g = gate.New()
		g.SetLimits(a.limits(service, workspaceWeights(a.fold)))
		a.gates[service] = g
	}

	return g
}

// setLimits recomputes the limits of all gates. The waiting calls of a service whose limit was removed start.
func (a *callAdmission) setLimits() {
	a.mu.Lock()
	defer a.mu.Unlock()

	weights := workspaceWeights(a.fold)
	for service, g := range a.gates {
		g.SetLimits(a.limits(service, weights))
	}
}

func (a *callAdmission) limits(
	service apricotway.Service, weights map[apricotway.Workspace]float64,
) admission.Limits {
	spec, _ := a.fold.Service(service)
	if spec.CallsPerServer == 0 {
		return admission.Limits{}
	}

	processes := 1

	for _, member := range a.membership.Members() {
		if member.State != apricotway.MemberDead {
			processes++
		}
	}

	// Calls of a service without servers are refused after admission, with that reason, so they need a slot as well.
	slots := max(len(a.inventory.Usable(service)), 1) * spec.CallsPerServer

	return admission.Limits{Slots: max(float64(slots)/float64(processes), 1), Weights: weights}
}

// workspaceWeights returns the weights by which workspaces share the capacity of a contended service.
func workspaceWeights(fold *config.Fold) map[apricotway.Workspace]float64 {
	weights := map[apricotway.Workspace]float64{}

	for _, object := range fold.Objects() {
		if spec, ok := fold.Workspace(apricotway.Workspace(object.Object)); ok && object.Kind == config.KindWorkspace {
			weights[apricotway.Workspace(object.Object)] = float64(spec.Weight)
		}
	}

	return weights
}
