package routing

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/apricotway/apricotway"
)

// The parameters of hot-cold choice, as published for Prequal (NSDI 2024).
const (
	// hotColdPool bounds the probe answers that are kept.
	hotColdPool = 16
	// hotColdAge is the age at which a probe answer is dropped.
	hotColdAge = time.Second
	// hotColdQuantile is the quantile of the requests in flight above which an engine is hot.
	hotColdQuantile = 0.84
	// hotColdUses bounds the choices that are based on one probe answer.
	hotColdUses = 3
	// hotColdProbes is the number of engines to probe with each request.
	hotColdProbes = 3
)

// HotCold chooses from a pool of recent probe answers: the engine with the lowest latency among the cold ones, or, when all
// are hot, the one with the fewest requests in flight. It learns from probes alone. It is a baseline to compare Scored with.
type HotCold struct {
	noFeedback

	mu       sync.Mutex
	random   *rand.Rand
	pool     []probeAnswer
	removals int
	sorted   []int
}

type probeAnswer struct {
	server   apricotway.BackendServerID
	inFlight int
	latency  time.Duration
	uses     int
	time     time.Time
}

// NewHotCold returns a policy that draws from a generator with the given seed.
func NewHotCold(seed uint64) *HotCold {
	return &HotCold{random: newRandom(seed)}
}

// Choose implements Policy.
func (h *HotCold) Choose(now time.Time, work Work, candidates []apricotway.BackendServer) int {
	if len(candidates) == 0 {
		return -1
	}

	h.mu.Lock()
	defer h.mu.Unlock()

	h.pool = slices.DeleteFunc(h.pool, func(p probeAnswer) bool { return now.Sub(p.time) > hotColdAge })
	threshold := h.threshold()
	best, bestIndex := -1, -1

	for i, answer := range h.pool {
		index := slices.IndexFunc(candidates, func(s apricotway.BackendServer) bool { return s.ID == answer.server })
		if index < 0 || slices.Contains(work.Excluded, answer.server) {
			continue
		}

		if best < 0 || h.better(answer, h.pool[best], threshold) {
			best, bestIndex = i, index
		}
	}

	if best < 0 {
		first := h.random.IntN(len(candidates))

		return least(work, candidates, func(server apricotway.BackendServerID) float64 {
			if server == candidates[first].ID {
				return 0
			}

			return 1
		})
	}

	// Counts the new request, which the engine had not received when it answered the probe.
	h.pool[best].inFlight++
	h.pool[best].uses++

	if h.pool[best].uses >= hotColdUses {
		h.pool = slices.Delete(h.pool, best, best+1)
	}

	h.removeOne(threshold)

	return bestIndex
}

// ProbeTargets draws the engines to probe along with a request.
func (h *HotCold) ProbeTargets(candidates []apricotway.BackendServer) []apricotway.BackendServerID {
	h.mu.Lock()
	defer h.mu.Unlock()

	targets := make([]apricotway.BackendServerID, 0, hotColdProbes)
	for _, index := range h.random.Perm(len(candidates))[:min(hotColdProbes, len(candidates))] {
		targets = append(targets, candidates[index].ID)
	}

	return targets
}

func (h *HotCold) threshold() int {
	h.sorted = h.sorted[:0]
	for _, answer := range h.pool {
		h.sorted = append(h.sorted, answer.inFlight)
	}

	if len(h.sorted) == 0 {
		return 0
	}

	slices.Sort(h.sorted)

	return h.sorted[int(hotColdQuantile*float64(len(h.sorted)-1))]
}

func (h *HotCold) better(a, b probeAnswer, threshold int) bool {
	hotA, hotB := a.inFlight > threshold, b.inFlight > threshold

	switch {
	case hotA != hotB:
		return hotB
	case hotA:
		return a.inFlight < b.inFlight
	default:
		return a.latency < b.latency
	}
}

// removeOne removes the worst answer and the oldest one alternately. Good answers are used up by choices; without this the
// pool would fill with bad ones.
func (h *HotCold) removeOne(threshold int) {
	if len(h.pool) < hotColdPool/2 {
		return
	}

	h.removals++

	chosen := 0
	if h.removals%2 == 0 {
		for i := range h.pool {
			if h.better(h.pool[chosen], h.pool[i], threshold) {
				chosen = i
			}
		}
	}

	h.pool = slices.Delete(h.pool, chosen, chosen+1)
}

// Probed adds the answer to a probe: the engine's requests in flight, and the latency that it measures at about this load.
func (h *HotCold) Probed(now time.Time, server apricotway.BackendServerID, inFlight int, latency time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()

	// Drops the previous answer of the engine. With fewer engines than places in the pool, both would be in it, and the older
	// one would send requests to an engine that is busy by now.
	h.pool = slices.DeleteFunc(h.pool, func(p probeAnswer) bool { return p.server == server })

	if len(h.pool) >= hotColdPool {
		h.pool = slices.Delete(h.pool, 0, 1)
	}

	h.pool = append(h.pool, probeAnswer{server: server, inFlight: inFlight, latency: latency, time: now})
}
