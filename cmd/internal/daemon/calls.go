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

// callAdmission holds the calls of plain services to the bound of their configuration. Every live process gets an equal part of
// the places, and at least one.
type callAdmission struct {
	fold       *config.Fold
	inventory  *inventory.Inventory
	membership apricotway.Membership

	mu    sync.Mutex
	gates map[apricotway.Service]*gate.Gate
}

// newCallAdmission returns the admission of one process and adds the loop that renews its limits to the supervisor.
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

// setLimits renews the limits. A service whose bound was removed lets its waiting calls start.
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

	// A service without servers refuses its calls later, with the reason.
	places := max(len(a.inventory.Usable(service)), 1) * spec.CallsPerServer

	return admission.Limits{Slots: max(float64(places)/float64(processes), 1), Weights: weights}
}

// workspaceWeights returns the workspaces' parts of a contended service.
func workspaceWeights(fold *config.Fold) map[apricotway.Workspace]float64 {
	weights := map[apricotway.Workspace]float64{}

	for _, object := range fold.Objects() {
		if spec, ok := fold.Workspace(apricotway.Workspace(object.Object)); ok && object.Kind == config.KindWorkspace {
			weights[apricotway.Workspace(object.Object)] = float64(spec.Weight)
		}
	}

	return weights
}
