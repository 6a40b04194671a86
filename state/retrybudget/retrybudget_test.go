package retrybudget_test

import (
	"testing"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/retrybudget"
)

const service = apricotway.Service("s")

// TestBudget simulates an outage in which every call fails, in eight processes with uneven traffic. The repeats of all
// processes must stay within the budget in every window.
func TestBudget(t *testing.T) {
	terms := retrybudget.Limits{Ratio: 0.2, Window: 10 * time.Second, Slack: 50}

	budgets := make([]*retrybudget.Budget, 8)
	for i := range budgets {
		budgets[i] = retrybudget.New(terms)
		budgets[i].SetMembers(len(budgets))
	}

	const step = 10 * time.Millisecond

	now := time.Unix(1000, 0)

	var calls, repeats []float64

	for i := range 4000 {
		now = now.Add(step)
		calls, repeats = append(calls, 0), append(repeats, 0)

		// The first process gets half of the calls, and the number of calls doubles halfway through.
		for j := range 1 + i/2000 {
			process := (i + j) % len(budgets)
			if i%2 == 0 {
				process = 0
			}

			budgets[process].AddCall(now, service)
			calls[i]++

			for budgets[process].Take(now, service) {
				repeats[i]++
			}
		}
	}

	const window = int(10 * time.Second / step)
	for end := window; end < len(calls); end++ {
		var called, repeated float64
		for i := end - window; i < end; i++ {
			called += calls[i]
			repeated += repeats[i]
		}

		if got, want := repeated, terms.Ratio*called+terms.Slack; got > want {
			t.Fatalf("got %.0f repeats for %.0f calls, want at most %.0f", got, called, want)
		}
	}
}

// TestIdleProcess guards against a process without traffic that can never repeat a call.
func TestIdleProcess(t *testing.T) {
	b := retrybudget.New(retrybudget.Limits{Ratio: 0.2, Window: 10 * time.Second, Slack: 50})
	b.SetMembers(8)

	now := time.Unix(1000, 0)
	b.AddCall(now, service)

	if got, want := b.Take(now, service), true; got != want {
		t.Errorf("got %t, want %t", got, want)
	}
}
