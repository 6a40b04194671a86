package completion

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/origin"
	"github.com/apricotway/apricotway/state/resume"
)

// replanPeriod is the time between two runs of planMoves while generations are left on leaving hosts: their pace changes, and slots
// of other engines become free.
const replanPeriod = 250 * time.Millisecond

// register adds an attempt that has a stream.
func (r *Runner) register(a *attempt) {
	r.mu.Lock()
	r.running[a.id] = a
	r.mu.Unlock()

	// The host may have been announced as leaving since it was chosen.
	if r.announced(a.server.ID) {
		r.planMoves()
	}
}

func (r *Runner) unregister(a *attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()

	delete(r.running, a.id)
}

// attemptsWithoutTrial counts this process's attempts by engine, except those that passed a trial there.
func (r *Runner) attemptsWithoutTrial() map[apricotway.BackendServerID]int {
	r.mu.Lock()
	defer r.mu.Unlock()

	counts := map[apricotway.BackendServerID]int{}

	for _, a := range r.running {
		if !a.passedTrial.Load() {
			counts[a.server.ID]++
		}
	}

	return counts
}

// attemptsPassedTrial counts this process's attempts that passed a trial on the engine.
func (r *Runner) attemptsPassedTrial(server apricotway.BackendServerID) int {
	r.mu.Lock()
	defer r.mu.Unlock()

	count := 0

	for _, a := range r.running {
		if a.server.ID == server && a.passedTrial.Load() {
			count++
		}
	}

	return count
}

// attemptsByEngine counts this process's attempts by engine, including those that are about to move there. The caller holds the
// lock.
func (r *Runner) attemptsByEngine() map[apricotway.BackendServerID]int {
	used := map[apricotway.BackendServerID]int{}

	for _, a := range r.running {
		used[a.server.ID]++

		if a.target != "" {
			used[a.target]++
		}
	}

	return used
}

// planMoves starts moves of generations off leaving hosts. It doesn't block.
func (r *Runner) planMoves() {
	now := time.Now()
	leaving := map[apricotway.BackendServerID]time.Time{}

	for _, server := range r.inventory.All() {
		if server.State == apricotway.HostLeaving {
			leaving[server.ID] = server.Deadline
		}
	}

	if len(leaving) == 0 {
		return
	}

	r.mu.Lock()
	defer r.mu.Unlock()

	running := map[apricotway.Service][]resume.Generation{}

	for _, a := range r.running {
		deadline, ok := leaving[a.server.ID]
		if !ok || a.target != "" || a.trial {
			continue
		}

		tokens := int(a.tokens.Load())
		running[a.request.Service] = append(running[a.request.Service], resume.Generation{
			Attempt:   a.id,
			Origin:    origin.At(a.server.Lineage()),
			Deadline:  a.request.Deadline,
			Leaves:    deadline,
			Context:   apricotway.EstimateTokens(a.request.Prompt) + tokens,
			Remaining: a.request.MaxTokens - tokens,
			Pace:      time.Duration(a.pace.Load()),
		})
	}

	left := 0

	for service, generations := range running {
		moves := resume.Plan(now, generations, r.targets(now, service), r.costs)
		left += len(generations) - len(moves)

		for _, move := range moves {
			a := r.running[move.Attempt]
			a.target = move.Target
			a.moves <- move

			r.moved.Add(1)
			r.logger.V(1).Info("generation moves to another engine", "event", 303, "request", a.request.ID, "server", a.server.ID,
				"target", move.Target, "choice", move.Choice)
		}
	}

	if left == 0 {
		return
	}

	if r.replan == nil {
		r.replan = time.AfterFunc(replanPeriod, r.planMoves)
	} else {
		r.replan.Reset(replanPeriod)
	}
}

// targets returns the engines of a service to which generations may move, with their free slots. The caller holds the lock.
func (r *Runner) targets(now time.Time, service apricotway.Service) []resume.Target {
	used := r.attemptsByEngine()

	var targets []resume.Target

	for _, server := range r.inventory.Usable(service) {
		if !r.suspects.set.Reserved(now, server.ID) {
			targets = append(targets, resume.Target{
				Server: server.ID, Lineage: server.Lineage(), Free: r.engineLimit - used[server.ID],
			})
		}
	}

	return targets
}

// errTargetGone reports that the target of a move is no longer known.
var errTargetGone = errors.New("target engine gone")

// export copies the KV cache of a running attempt to another engine and returns its handle there.
func (r *Runner) export(ctx context.Context, a *attempt, id apricotway.BackendServerID) (string, error) {
	servers := r.inventory.All()

	index := slices.IndexFunc(servers, func(s apricotway.BackendServer) bool { return s.ID == id })
	if index < 0 {
		return "", errTargetGone
	}

	handle, err := r.engines.ExportKV(ctx, a.server, a.id, servers[index])
	if err != nil {
		return "", errors.Wrap(err, "export the KV cache")
	}

	return handle, nil
}
