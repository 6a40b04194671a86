package completion

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/internal/pause"
	"github.com/apricotway/apricotway/state/quarantine"
)

// placement is the engine of the next attempt.
type placement struct {
	server  apricotway.BackendServer
	handle  string
	covered int
	// trial is set when the engine is reserved for this request alone.
	trial bool
}

// errNoEngine reports that no engine can take a request at present.
var errNoEngine = errors.New("no engine is free")

// place finds the engine of the next attempt. A request that has not begun is refused at once when the service has no
// engine; one that has begun waits for an engine, for example for the replacement of a zone. A suspect waits for an idle
// engine until its deadline.
func (r *Runner) place(ctx context.Context, request Request, done *progress) (placement, error) {
	limit := time.Now().Add(placeLimit)

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

// candidates returns the engines that can run the request: those of its version once a token is delivered, and until then
// those of the version that the release rule gives it.
func (r *Runner) candidates(request Request, done *progress) []apricotway.BackendServer {
	candidates := r.inventory.Usable(request.Service)
	version := done.version

	if done.tokens == 0 {
		rule, ok := r.release(request.Service)
		if !ok {
			return candidates
		}

		version, ok = rule.Version(request.ID, request.Workspace, func(version apricotway.ModelVersion) bool {
			return slices.ContainsFunc(candidates, func(s apricotway.BackendServer) bool { return s.Version == version })
		})
		if !ok {
			return nil
		}
	}

	return slices.DeleteFunc(candidates, func(s apricotway.BackendServer) bool { return s.Version != version })
}

// choose returns the engine to which the generation moves, or else the policy's choice. Engines on trial are left out.
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

// reserve takes an engine for a suspect alone: the engine with the fewest unproven attempts of this process, as soon as it
// reports that it runs nothing else. Attempts that passed a trial on the engine count as absent, so that the many requests
// of one dead engine do not wait for each other's ends. Only part of the engines is reserved at a time, so that suspects do
// not stop everyone else.
func (r *Runner) reserve(
	ctx context.Context, request Request, done *progress, candidates []apricotway.BackendServer,
) (apricotway.BackendServer, bool) {
	now := time.Now()
	used := r.unproven()
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

// waitIdle waits until an engine that is reserved for the request runs nothing but proven attempts. Two such reports in a
// row are needed, since reports lag. It returns false when another process has the engine.
func (r *Runner) waitIdle(ctx context.Context, request Request, server apricotway.BackendServer) bool {
	ctx, cancel := context.WithTimeout(ctx, trialLimit/2)
	defer cancel()

	for idle := 0; idle < 2; {
		report, err := r.engines.Load(ctx, server)

		switch {
		case errors.Is(err, apricotway.ErrNotSent):
			r.inventory.MarkLost(server.ID, time.Now())
			return false
		case err == nil && report.Running+report.Waiting <= r.proven(server.ID):
			idle++
		default:
			idle = 0
		}

		pause.For(ctx, pollPeriod)

		if ctx.Err() != nil || !r.suspects.set.Holds(time.Now(), digest(request), server.ID) {
			return false
		}
	}

	return true
}
