package bench

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/routing"
	"github.com/apricotway/apricotway/transport/engine"
)

// routedRequest is an admitted request and its attempts. A hedged attempt generates only the tokens that have not arrived
// yet, because every engine generates the same text.
type routedRequest struct {
	run     *run
	entry   *router
	arrival *arrival
	work    routing.Work
	long    bool

	mu    sync.Mutex
	first time.Time
	// next is the index of the next token that has not arrived.
	next int
	// used holds the engines of earlier attempts, which later attempts exclude.
	used   []apricotway.BackendServerID
	hedges int
	// done is closed when the last token arrives.
	done chan struct{}
}

// execute runs the first attempt and at most one hedged attempt, and returns when the answer is whole or the context
// ends.
func (r *routedRequest) execute(ctx context.Context, expected time.Duration) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	var attempts sync.WaitGroup

	attempts.Go(func() { r.attempt(ctx, 0) })

	if r.entry.hedger != nil && !r.long {
		r.hedge(ctx, &attempts, expected)
	}

	select {
	case <-r.done:
	case <-ctx.Done():
	}

	cancel()
	attempts.Wait()
}

// hedge starts a second attempt if the request takes longer than the hedging delay, the policy expects a gain, and the
// budget allows it. Only short requests are hedged.
func (r *routedRequest) hedge(ctx context.Context, attempts *sync.WaitGroup, expected time.Duration) {
	started := time.Now()

	delay, known := r.entry.hedger.Delay(expected)
	if !known {
		delay = time.Hour
	}

	timer := time.NewTimer(delay)
	defer timer.Stop()

	select {
	case <-r.done:
		r.entry.hedger.Finished(expected, time.Since(started))
		return
	case <-ctx.Done():
		return
	case <-timer.C:
	}

	r.entry.hedger.Finished(expected, 2*delay)

	if r.entry.scored.WorthHedging(time.Now(), r.attemptID(0)) && r.entry.hedger.Allow() {
		r.hedges++

		attempts.Go(func() { r.attempt(ctx, 1) })
	}
}

func (r *routedRequest) attempt(ctx context.Context, number int) {
	r.mu.Lock()
	work, next := r.work, r.next
	work.Excluded = append([]apricotway.BackendServerID(nil), r.used...)
	r.mu.Unlock()

	policy, now := r.entry.policy, time.Now()
	r.answerProbes(now, policy, number)

	if _, ok := policy.(*routing.Oracle); ok {
		// The oracle policy gets the true length of the answer.
		work.MaxTokens = r.arrival.answerTokens
	}

	index := policy.Choose(now, work, r.run.servers)
	server := r.run.servers[index].ID
	id := r.attemptID(number)
	work.MaxTokens -= next

	r.mu.Lock()
	r.used = append(r.used, server)
	r.mu.Unlock()

	policy.Started(now, server, id, work)

	sent, inFlight := time.Now(), r.run.inFlight(server, now)
	outcome := routing.OutcomeCancelled

	err := r.run.models[server].Generate(ctx, engine.Request{
		Prompt: r.arrival.prompt, MaxTokens: r.arrival.answerTokens, ResumeTokens: next,
		Priority: string(r.enginePriority()),
	}, func(token apricotway.Token) error {
		policy.Token(time.Now(), server, id, 1)

		if token.Index == next {
			r.run.latencies[server].add(inFlight, time.Since(sent))
		}

		r.deliver(token)

		return nil
	})
	if err == nil && next == 0 {
		outcome = routing.OutcomeFinished
	}

	policy.Ended(time.Now(), server, id, outcome)
}

func (r *routedRequest) attemptID(number int) apricotway.AttemptID {
	return apricotway.AttemptID(fmt.Sprintf("%s-%d", r.arrival.id, number))
}

// enginePriority returns a lower priority for requests that are predicted to be long, so that the engine prefers short
// ones. Only the scored policy predicts lengths.
func (r *routedRequest) enginePriority() apricotway.Priority {
	return routing.EnginePriority(apricotway.PriorityNormal, r.long)
}

// answerProbes answers the probes of the hot-cold policy with the current load of the engines. No probe delay is
// modelled. Hedged attempts do not probe.
func (r *routedRequest) answerProbes(now time.Time, policy routing.Policy, number int) {
	hotCold, ok := policy.(*routing.HotCold)
	if !ok || number > 0 {
		return
	}

	for _, server := range hotCold.ProbeTargets(r.run.servers) {
		inFlight := r.run.inFlight(server, now)
		hotCold.Probed(now, server, inFlight, r.run.latencies[server].estimate(inFlight))
	}
}

// latencyHistory is a ring buffer of the latest first-token times of an engine, from which it answers the probes of the
// hot-cold policy.
type latencyHistory struct {
	mu           sync.Mutex
	observations [16]observation
	next         int
}

// observation is the first-token time of a request and the number of requests in flight when it was sent.
type observation struct {
	inFlight int
	latency  time.Duration
}

func (l *latencyHistory) add(inFlight int, latency time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.observations[l.next%len(l.observations)] = observation{inFlight, latency}
	l.next++
}

// estimate returns the median latency of the five observations whose number of requests in flight is nearest to the given
// one, or 0 without observations.
func (l *latencyHistory) estimate(inFlight int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()

	near := slices.Clone(l.observations[:min(l.next, len(l.observations))])
	slices.SortFunc(near, func(a, b observation) int {
		return cmp.Compare(max(a.inFlight-inFlight, inFlight-a.inFlight), max(b.inFlight-inFlight, inFlight-b.inFlight))
	})

	near = near[:min(len(near), 5)]
	if len(near) == 0 {
		return 0
	}

	slices.SortFunc(near, func(a, b observation) int { return cmp.Compare(a.latency, b.latency) })

	return near[len(near)/2].latency
}

// inFlight returns the number of requests that run or wait on an engine.
func (r *run) inFlight(server apricotway.BackendServerID, now time.Time) int {
	report := r.models[server].Now(now)

	return report.Running + report.Waiting
}

// deliver records a token unless another attempt has delivered it already.
func (r *routedRequest) deliver(token apricotway.Token) {
	r.mu.Lock()
	defer r.mu.Unlock()

	if token.Index != r.next {
		return
	}

	if r.next == 0 {
		r.first = time.Now()
	}

	r.next++

	if r.next == r.arrival.answerTokens {
		close(r.done)
	}
}
