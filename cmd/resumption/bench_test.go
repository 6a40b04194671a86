package resumption

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apricotway/apricotway"
)

// BenchmarkZoneReclaim measures the tokens that are computed again when one of four zones is reclaimed on 5 s notice, in
// percent of those that restarts from the prompts of the resumed requests would compute. It runs on the real clock for
// about 25 s; of 200 requests, 5% are long.
func BenchmarkZoneReclaim(b *testing.B) {
	for range b.N {
		w := newWorld(b)

		for i := range 12 {
			zone := string(rune('a' + i%4))
			w.engine(apricotway.BackendServerID(fmt.Sprintf("%s%d", zone, i)), apricotway.Zone(zone))
		}

		n := w.node("x", "b")
		random := rand.New(rand.NewPCG(1, 2))

		var readers sync.WaitGroup

		for i := range 200 {
			tokens := 200 + random.IntN(500)
			if i%20 == 0 {
				tokens = 2000
			}

			id := fmt.Sprintf("request-%d", i)
			c := newCaller(id, strings.Repeat(id+" of the calibration log; ", 20+random.IntN(500)), tokens)
			answer := n.requests.Start(c.request)

			readers.Go(func() { c.check(b, c.read(answer, 0)) })
		}

		w.sleep(2 * time.Second)
		w.reclaim("a", 5*time.Second)
		readers.Wait()

		stats := n.runner.Stats()
		b.ReportMetric(float64(stats.Moved), "moved")
		b.ReportMetric(float64(stats.Resumed), "resumed-tokens")
		b.ReportMetric(float64(w.recomputed()), "recomputed-tokens")
		b.ReportMetric(100*float64(w.recomputed())/float64(max(1, stats.Resumed)), "%recomputed")
		w.end()
	}
}
