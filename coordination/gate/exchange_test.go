package gate

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/thejerf/suture/v4"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/internal/bubble"
	"github.com/apricotway/apricotway/state/admission"
)

// link delivers the entries of one exchange to another one and records their number and greatest size.
type link struct {
	apricotway.Broadcasts

	to               *Exchange
	entries, longest int
}

func (w *link) Publish(entry apricotway.BroadcastEntry) error {
	w.entries++
	w.longest = max(w.longest, len(entry.Topic)+len(entry.Key)+len(entry.Payload))
	w.to.receive(entry.Key, entry.Version, entry.Payload)

	return nil
}

func (*link) Subscribe(apricotway.Topic, func(string, uint64, []byte)) {}

// TestExchange guards the division of the capacity against processes whose demand is not known yet and against processes that are
// gone, and the membership packets against entries that are too large or too frequent.
func TestExchange(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		links := [2]*link{{}, {}}
		supervisor := suture.NewSimple("test")
		busy, others := admission.Demand{"a": 30}, []apricotway.NodeID{"n2"}

		for i := range 100 {
			busy[apricotway.Workspace(fmt.Sprint(i))] = 1
		}

		links[1].to = NewExchange(supervisor, links[0], "n1", func() map[apricotway.Service]admission.Demand { return nil },
			func() []apricotway.NodeID { return others })
		links[0].to = NewExchange(supervisor, links[1], "n2", func() map[apricotway.Service]admission.Demand {
			return map[apricotway.Service]admission.Demand{"m": busy}
		}, func() []apricotway.NodeID { return []apricotway.NodeID{"n1"} })

		own := New()
		if err := own.Acquire(t.Context(), request("own", time.Hour)); err != nil { // of workspace a
			t.Fatal(err)
		}

		check := func(when string, want float64) {
			t.Helper()

			limits := links[1].to.Limits("m", 31, 0.5, map[apricotway.Workspace]float64{"a": 1}, own)
			if limits.Slots != want || limits.LongSlots != want/2 {
				t.Errorf("%s: got %v slots and %v for long requests, want %v and half of it", when, limits.Slots, limits.LongSlots, want)
			}
		}

		check("without an entry of the other process", 15.5)

		ctx, stop := context.WithCancel(t.Context())
		stopped := supervisor.ServeBackground(ctx)

		<-time.After(20*time.Second + time.Millisecond)
		check("with the demand of the other process", 1)

		stop()

		if err := <-stopped; err == nil {
			t.Error("supervisor stopped without a reason")
		}

		others = nil
		check("without the other process", 31)

		for i, got := range links {
			if got.entries < 2 || got.entries > 4 || got.longest > 160 {
				t.Errorf("process %d: got %d entries of up to %d bytes in 20 s of unchanged demand, want 2 to 4 of up to 160",
					i, got.entries, got.longest)
			}
		}
	})
}
