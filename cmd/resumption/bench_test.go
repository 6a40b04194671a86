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

// BenchmarkZoneReclaim measures how many tokens are computed again when one of four zones is reclaimed with a notice of
// 5 s, as a percentage of the tokens that restarting the resumed requests from their prompts would compute. Of its 200
// requests, 5% are long. It runs on the real clock and takes about 25 s.
func BenchmarkZoneReclaim(b *testing.B) {
	for range b.N {
		h := newHarness(b)

		for i := range 12 {
			zone := string(rune('a' + i%4))
			h.startEngine(apricotway.BackendServerID(fmt.Sprintf("%s%d", zone, i)), apricotway.Zone(zone))
		}

		n := h.startNode("x", "b")
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

		h.sleep(2 * time.Second)
		h.reclaim("a", 5*time.Second)
		readers.Wait()

		stats := n.runner.Stats()
		b.ReportMetric(float64(stats.Moved), "moved")
		b.ReportMetric(float64(stats.Resumed), "resumed-tokens")
		b.ReportMetric(float64(h.recomputed()), "recomputed-tokens")
		b.ReportMetric(100*float64(h.recomputed())/float64(max(1, stats.Resumed)), "%recomputed")
		h.stop()
	}
}
