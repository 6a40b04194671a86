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

// flight is one request with its attempts. A hedge continues behind the tokens that have arrived, because the text is the
// same on every engine.
type flight struct {
	run     *run
	entry   *router
	arrival *arrival
	work    routing.Work
	long    bool

	mu    sync.Mutex
	first time.Time
	// next is the index of the next token that has not arrived.
	next   int
	used   []apricotway.BackendServerID
	hedges int
	done   chan struct{}
}

func (f *flight) execute(ctx context.Context, expected time.Duration) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	var attempts sync.WaitGroup

	attempts.Go(func() { f.attempt(ctx, 0) })

	if f.entry.hedger != nil && !f.long {
		f.hedge(ctx, &attempts, expected)
	}

	select {
	case <-f.done:
	case <-ctx.Done():
	}

	cancel()
	attempts.Wait()
}

func (f *flight) hedge(ctx context.Context, attempts *sync.WaitGroup, expected time.Duration) {
	started := time.Now()

	delay, known := f.entry.hedger.Delay(expected)
	if !known {
		delay = time.Hour
	}

	timer := time.NewTimer(delay)
	defer timer.Stop()

	select {
	case <-f.done:
		f.entry.hedger.Finished(expected, time.Since(started))
		return
	case <-ctx.Done():
		return
	case <-timer.C:
	}

	f.entry.hedger.Finished(expected, 2*delay)

	if f.entry.scored.WorthHedging(time.Now(), f.attemptID(0)) && f.entry.hedger.Allow() {
		f.hedges++

		attempts.Go(func() { f.attempt(ctx, 1) })
	}
}

func (f *flight) attempt(ctx context.Context, number int) {
	f.mu.Lock()
	work, next := f.work, f.next
	work.Excluded = append([]apricotway.BackendServerID(nil), f.used...)
	f.mu.Unlock()

	policy, now := f.entry.policy, time.Now()
	f.feedProbes(now, policy, number)

	if _, ok := policy.(*routing.Oracle); ok {
		// The oracle knows the length of the answer.
		work.MaxTokens = f.arrival.answer
	}

	index := policy.Choose(now, work, f.run.servers)
	server := f.run.servers[index].ID
	id := f.attemptID(number)
	work.MaxTokens -= next

	f.mu.Lock()
	f.used = append(f.used, server)
	f.mu.Unlock()

	policy.Started(now, server, id, work)

	sent, inFlight := time.Now(), f.run.inFlight(server, now)
	outcome := routing.OutcomeCancelled

	err := f.run.models[server].Generate(ctx, engine.Request{
		Prompt: f.arrival.prompt, MaxTokens: f.arrival.answer, ResumeTokens: next,
		Priority: string(f.enginePriority()),
	}, func(token apricotway.Token) error {
		policy.Token(time.Now(), server, id, 1)

		if token.Index == next {
			f.run.latencies[server].add(inFlight, time.Since(sent))
		}

		f.deliver(token)

		return nil
	})
	if err == nil && next == 0 {
		outcome = routing.OutcomeFinished
	}

	policy.Ended(time.Now(), server, id, outcome)
}

func (f *flight) attemptID(number int) apricotway.AttemptID {
	return apricotway.AttemptID(fmt.Sprintf("%s-%d", f.arrival.id, number))
}

// enginePriority lets predicted long work yield; only the project's own policy predicts.
func (f *flight) enginePriority() apricotway.Priority {
	return routing.EnginePriority(apricotway.PriorityNormal, f.long)
}

// feedProbes answers the probes of hot-cold choice with the engines' present load: its probes are as quick as a request.
func (f *flight) feedProbes(now time.Time, policy routing.Policy, number int) {
	hotCold, ok := policy.(*routing.HotCold)
	if !ok || number > 0 {
		return
	}

	for _, server := range hotCold.ProbeTargets(f.run.servers) {
		inFlight := f.run.inFlight(server, now)
		hotCold.Probed(now, server, inFlight, f.run.latencies[server].estimate(inFlight))
	}
}

// latencies are the first-token times that an engine has observed lately, as its answers to the probes of hot-cold choice
// need them.
type latencies struct {
	mu   sync.Mutex
	past [16]observation
	next int
}

type observation struct {
	inFlight int
	latency  time.Duration
}

func (l *latencies) add(inFlight int, latency time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.past[l.next%len(l.past)] = observation{inFlight, latency}
	l.next++
}

// estimate returns the median of the five observations at the nearest numbers of requests in flight.
func (l *latencies) estimate(inFlight int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()

	near := slices.Clone(l.past[:min(l.next, len(l.past))])
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

func (r *run) inFlight(server apricotway.BackendServerID, now time.Time) int {
	report := r.models[server].Now(now)

	return report.Running + report.Waiting
}

func (f *flight) deliver(token apricotway.Token) {
	f.mu.Lock()
	defer f.mu.Unlock()

	if token.Index != f.next {
		return
	}

	if f.next == 0 {
		f.first = time.Now()
	}

	f.next++

	if f.next == f.arrival.answer {
		close(f.done)
	}
}
