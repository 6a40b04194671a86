package cadence_test

import (
	"testing"
	"time"

	"github.com/apricotway/apricotway/state/cadence"
)

// TestLostReport checks for any number of processes that a report counts until the one after the next has arrived, and that all
// processes learn of a leaving server within 2 s.
func TestLostReport(t *testing.T) {
	// roundTrip is the transit time of a report and its answer, including waits for a busy process.
	const roundTrip = 250 * time.Millisecond

	for _, processes := range []int{1, 6, 80, 250, 295, 390, 1000, 5000} {
		period := cadence.Period(processes)
		if got, want := cadence.Lifetime(period), 2*period+roundTrip; got < want {
			t.Errorf("%d processes: got a report that counts for %s, want %s", processes, got, want)
		}

		if want := 1500 * time.Millisecond; period+roundTrip > want {
			t.Errorf("%d processes: got a period of %s, want the list within %s", processes, period, want)
		}
	}
}
