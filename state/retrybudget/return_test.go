package retrybudget_test

import (
	"testing"
	"time"

	"github.com/apricotway/apricotway/state/retrybudget"
)

// TestReturnRaisesBudget guards against more repeats than the budget allows after repeats of an earlier time were returned.
func TestReturnRaisesBudget(t *testing.T) {
	b := retrybudget.New(retrybudget.Limits{Window: 10 * time.Second, Slack: 100})
	take := func(now time.Time) (taken int) {
		for b.Take(now, service) {
			taken++
		}

		return taken
	}

	begin := time.Unix(1000, 0)
	want := take(begin)

	for range want {
		b.Return(begin, service)
	}

	if got := take(begin.Add(11 * time.Second)); got > want {
		t.Errorf("got %d repeats in a window, want at most %d", got, want)
	}
}
