package dispatch_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/dispatch"
)

// TestBoard guards against work of a process that is counted twice, never subtracted, kept after the process stops reporting,
// or returned to the process itself. After each of many random reports it compares the sums with sums computed from scratch.
func TestBoard(t *testing.T) {
	type report struct {
		at   time.Time
		work map[apricotway.BackendServerID]dispatch.Work
	}

	random := rand.New(rand.NewPCG(1, 2))
	now := time.Unix(1000, 0)
	board, reports := dispatch.NewWorkTable(), map[apricotway.NodeID]report{}

	for range 5000 {
		now = now.Add(time.Duration(random.IntN(300)) * time.Millisecond)
		node := apricotway.NodeID(fmt.Sprint("n", random.IntN(20)))
		work := map[apricotway.BackendServerID]dispatch.Work{}

		for server := range 10 {
			if running := random.IntN(4); running > 0 {
				w := dispatch.Work{Running: running}
				w.Prefill[random.IntN(dispatch.Sizes)] = 1000 * random.Float64()
				work[apricotway.BackendServerID(fmt.Sprint("e", server))] = w
			}
		}

		reports[node] = report{at: now, work: work}
		got, want := board.Report(now, node, work), map[apricotway.BackendServerID]dispatch.Work{}

		for other, r := range reports {
			if other == node || now.Sub(r.at) > 3*time.Second {
				continue
			}

			for server, w := range r.work {
				sum := want[server]
				sum.Add(w, 1)
				want[server] = sum
			}
		}

		if len(got) != len(want) {
			t.Fatalf("got work on %d servers, want %d", len(got), len(want))
		}

		for server, sum := range want {
			for size, tokens := range sum.Prefill {
				if math.Abs(got[server].Prefill[size]-tokens) > 0.001 || got[server].Running != sum.Running {
					t.Fatalf("%s: got %v, want %v", server, got[server], sum)
				}
			}
		}
	}
}

// BenchmarkBoard measures one report with 80 processes that share 64 servers.
func BenchmarkBoard(b *testing.B) {
	work := map[apricotway.BackendServerID]dispatch.Work{}
	for server := range 64 {
		work[apricotway.BackendServerID(fmt.Sprint("e", server))] = dispatch.Work{Running: 1}
	}

	board, now := dispatch.NewWorkTable(), time.Unix(1000, 0)

	for i := range b.N {
		board.Report(now, apricotway.NodeID(fmt.Sprint("n", i%80)), work)
	}
}
