package timeline_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/apricotway/apricotway"
	_ "github.com/apricotway/apricotway/internal/fixedseed"
	"github.com/apricotway/apricotway/state/timeline"
)

// TestCausalOrder checks that, however the physical clocks differ, a message is never received before it is sent in the merged
// order.
func TestCausalOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const nodes = 3

		clocks := make([]*timeline.Clock, nodes)
		rings := make([]*timeline.Ring, nodes)

		for i := range nodes {
			skew := time.Duration(rapid.Int64Range(-1e9, 1e9).Draw(t, "skew"))
			now := time.Unix(1000, 0).Add(skew)
			clocks[i] = timeline.NewClock(func() time.Time { now = now.Add(time.Microsecond); return now })
			rings[i] = timeline.NewRing(apricotway.NodeID(fmt.Sprint(i)), clocks[i], 1000)
		}

		messages := rapid.IntRange(1, 50).Draw(t, "messages")
		for i := range messages {
			from, to := rapid.IntRange(0, nodes-1).Draw(t, "from"), rapid.IntRange(0, nodes-1).Draw(t, "to")
			rings[from].Add("sent", apricotway.RequestID(fmt.Sprint(i)), "")

			stamp := clocks[from].Now()
			clocks[to].Observe(stamp)
			rings[to].Add("received", apricotway.RequestID(fmt.Sprint(i)), "")
		}

		merged := timeline.Merge(rings[0].Events(timeline.Filter{}), rings[1].Events(timeline.Filter{}),
			rings[2].Events(timeline.Filter{}))

		for i := range messages {
			request := apricotway.RequestID(fmt.Sprint(i))
			position := func(kind timeline.Kind) int {
				return slices.IndexFunc(merged, func(e timeline.Event) bool { return e.Kind == kind && e.Request == request })
			}

			if got, want := position("received"), position("sent"); got <= want {
				t.Fatalf("got message %d received at position %d, want it after position %d", i, got, want)
			}
		}
	})
}

// TestRing checks the capacity of the ring and the order of the events that it keeps.
func TestRing(t *testing.T) {
	ring := timeline.NewRing("n", timeline.NewClock(time.Now), 3)
	for i := range 5 {
		ring.Add("k", apricotway.RequestID(fmt.Sprint(i)), "")
	}

	var got []apricotway.RequestID
	for _, event := range ring.Events(timeline.Filter{}) {
		got = append(got, event.Request)
	}

	if want := []apricotway.RequestID{"2", "3", "4"}; !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}

	if got := len(ring.Events(timeline.Filter{Request: "3"})); got != 1 {
		t.Errorf("got %d events of one request, want 1", got)
	}
}
