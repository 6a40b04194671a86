package bench

import (
	"context"
	"fmt"
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

	if f.entry.scored.Stuck(time.Now(), f.attemptID(0)) && f.entry.hedger.Allow() {
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

	outcome := routing.OutcomeCancelled

	err := f.run.models[server].Generate(ctx, engine.Request{
		Prompt: f.arrival.prompt, MaxTokens: f.arrival.answer, ResumeTokens: next,
		Priority: string(f.enginePriority()),
	}, func(token apricotway.Token) error {
		policy.Token(time.Now(), server, id, 1)
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
		report := f.run.models[server].Now(now)
		hotCold.Reported(now, server, report)
	}
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
