package completion

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/internal/pause"
	"github.com/apricotway/apricotway/state/origin"
	"github.com/apricotway/apricotway/state/quarantine"
)

// placement is the engine that was chosen for the next attempt.
type placement struct {
	server apricotway.BackendServer
	// handle and covered are those of a target.
	handle  string
	covered int
	// trial is set when the engine is reserved for this request alone.
	trial bool
}

// errNoEngine reports that no engine can take a request at present.
var errNoEngine = errors.New("no engine is free")

// place finds the engine for the next attempt. A request that has not started is refused at once when the service has no engine;
// one that has started waits for an engine, for example while a lost zone is replaced. A suspect waits until its deadline for an
// engine that it can have alone.
func (r *Runner) place(ctx context.Context, request Request, done *progress) (placement, error) {
	limit := time.Now().Add(placeTimeout)

	for {
		now := time.Now()

		entry := r.suspects.set.Entry(now, digest(request))
		if entry.State == quarantine.StateQuarantined {
			return placement{}, quarantined(entry, done.started)
		}

		candidates := r.candidates(request, done)

		if entry.State == quarantine.StateSuspect {
			if server, ok := r.reserve(ctx, request, done, candidates); ok {
				return placement{server: server, trial: true}, nil
			}
		} else if place, ok := r.choose(now, request, done, candidates); ok {
			return place, nil
		}

		if len(candidates) == 0 && !done.started {
			return placement{}, errNoEngine
		}

		if now.After(limit) && (len(candidates) == 0 || entry.State != quarantine.StateSuspect) {
			return placement{}, errNoEngine
		}

		if !pause.For(ctx, pollPeriod) {
			return placement{}, ctx.Err()
		}
	}
}

// candidates returns the engines that can run the request: those that may continue its first tokens, or, before the first token, those of
// the version that the service's release rule assigns to it.
func (r *Runner) candidates(request Request, done *progress) []apricotway.BackendServer {
	candidates := r.inventory.Usable(request.Service)

	if done.tokens > 0 {
		began := origin.At(done.lineage)
		return slices.DeleteFunc(candidates, func(s apricotway.BackendServer) bool { return !began.Allows(s.Lineage()) })
	}

	rule, ok := r.release(request.Service)
	if !ok {
		return candidates
	}

	version, ok := rule.Version(request.ID, request.Workspace, func(version apricotway.ModelVersion) bool {
		return slices.ContainsFunc(candidates, func(s apricotway.BackendServer) bool { return s.Version == version })
	})
	if !ok {
		return nil
	}

	return slices.DeleteFunc(candidates, func(s apricotway.BackendServer) bool { return s.Version != version })
}

// choose returns the engine to which the generation moves, or otherwise the policy's choice. Engines that are reserved for a trial
// are left out.
func (r *Runner) choose(
	now time.Time, request Request, done *progress, candidates []apricotway.BackendServer,
) (placement, bool) {
	candidates = slices.DeleteFunc(slices.Clone(candidates), func(s apricotway.BackendServer) bool {
		return r.suspects.set.Reserved(now, s.ID)
	})

	for _, server := range candidates {
		if server.ID == done.next.server {
			return placement{server: server, handle: done.next.handle, covered: done.next.covered}, true
		}
	}

	index := r.policy.Choose(now, work(request, done), candidates)
	if index < 0 {
		return placement{}, false
	}

	return placement{server: candidates[index]}, true
}

// reserve reserves one engine for a suspect alone and waits until the engine reports that it runs nothing else. It prefers engines
// with few attempts of this process. Attempts that passed a trial on the engine are not counted, so that the many requests of a
// crashed engine don't have to wait for each other to end. Only a part of the engines is reserved at a time, so that suspects don't
// block all other requests.
func (r *Runner) reserve(
	ctx context.Context, request Request, done *progress, candidates []apricotway.BackendServer,
) (apricotway.BackendServer, bool) {
	now := time.Now()
	used := r.attemptsWithoutTrial()
	reserved := 0

	slices.SortStableFunc(candidates, func(a, b apricotway.BackendServer) int { return used[a.ID] - used[b.ID] })

	for _, server := range candidates {
		if r.suspects.set.Reserved(now, server.ID) {
			reserved++
		}
	}

	if reserved > 0 && reserved >= len(candidates)/trialShare {
		return apricotway.BackendServer{}, false
	}

	for _, server := range candidates {
		if slices.Contains(done.excluded, server.ID) && len(done.excluded) < len(candidates) {
			continue
		}

		if !r.suspects.begin(ctx, digest(request), server.ID) {
			continue
		}

		if r.waitIdle(ctx, request, server) {
			return server, true
		}

		r.suspects.release(ctx, digest(request), server.ID)

		return apricotway.BackendServer{}, false
	}

	return apricotway.BackendServer{}, false
}

// waitIdle waits until an engine that is reserved for the request runs only attempts that passed a trial. Two such load reports in
// a row are needed, since reports lag. It returns false on a timeout, when the engine is lost, and when the reservation is.
func (r *Runner) waitIdle(ctx context.Context, request Request, server apricotway.BackendServer) bool {
	ctx, cancel := context.WithTimeout(ctx, trialTimeout/2)
	defer cancel()

	for idle := 0; idle < 2; {
		report, err := r.engines.Load(ctx, server)

		switch {
		case errors.Is(err, apricotway.ErrNotSent):
			r.inventory.MarkLost(server.ID, time.Now())
			return false
		case err == nil && report.Running+report.Waiting <= r.attemptsPassedTrial(server.ID):
			idle++
		default:
			idle = 0
		}

		pause.For(ctx, pollPeriod)

		if ctx.Err() != nil || !r.suspects.set.TrialHolds(time.Now(), digest(request), server.ID) {
			return false
		}
	}

	return true
}
