package routing

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/apricotway/apricotway"
)

// LeastReported chooses the candidate with the fewest requests in its last load report. It is a baseline to compare
// Scored with.
type LeastReported struct {
	noFeedback

	mu     sync.Mutex
	random *rand.Rand
	load   map[apricotway.BackendServerID]int
}

// NewLeastReported returns a policy that breaks ties at random, from the given seed.
func NewLeastReported(seed uint64) *LeastReported {
	return &LeastReported{random: newRandom(seed), load: map[apricotway.BackendServerID]int{}}
}

func newRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 0)) }

// Choose implements Policy.
func (l *LeastReported) Choose(_ time.Time, work Work, candidates []apricotway.BackendServer) int {
	l.mu.Lock()
	defer l.mu.Unlock()

	return least(work, candidates, func(server apricotway.BackendServerID) float64 {
		return float64(l.load[server]) + l.random.Float64()
	})
}

// Reported implements Policy.
func (l *LeastReported) Reported(_ time.Time, server apricotway.BackendServerID, report apricotway.LoadReport) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.load[server] = report.Running + report.Waiting
}

// least returns the index of the candidate with the lowest cost. Excluded candidates are considered only when all are
// excluded. It returns -1 without candidates.
func least(
	work Work, candidates []apricotway.BackendServer, cost func(apricotway.BackendServerID) float64,
) int {
	best, lowest, bestExcluded := -1, 0.0, false

	for i := range candidates {
		excluded := slices.Contains(work.Excluded, candidates[i].ID)
		if best >= 0 && excluded && !bestExcluded {
			continue
		}

		value := cost(candidates[i].ID)
		if best < 0 || value < lowest || bestExcluded && !excluded {
			best, lowest, bestExcluded = i, value, excluded
		}
	}

	return best
}

// inFlight counts the requests that this process has on each engine. Policies embed it.
type inFlight struct {
	mu    sync.Mutex
	count map[apricotway.BackendServerID]int
}

func newInFlight() inFlight { return inFlight{count: map[apricotway.BackendServerID]int{}} }

// Started implements Policy.
func (f *inFlight) Started(_ time.Time, server apricotway.BackendServerID, _ apricotway.AttemptID, _ Work) {
	f.mu.Lock()
	defer f.mu.Unlock()

	f.count[server]++
}

// Token implements Policy.
func (f *inFlight) Token(time.Time, apricotway.BackendServerID, apricotway.AttemptID, int) {}

// Ended implements Policy.
func (f *inFlight) Ended(
	_ time.Time, server apricotway.BackendServerID, _ apricotway.AttemptID, _ Outcome,
) {
	f.mu.Lock()
	defer f.mu.Unlock()

	f.count[server]--
}

// Reported implements Policy.
func (f *inFlight) Reported(time.Time, apricotway.BackendServerID, apricotway.LoadReport) {}

// Cached implements Policy.
func (f *inFlight) Cached(time.Time, apricotway.BackendServerID, []apricotway.CacheEvent) {}

// TwoChoices draws two candidates at random and chooses the one with fewer requests of this process in flight. It is a
// baseline to compare Scored with.
type TwoChoices struct {
	inFlight

	random *rand.Rand
}

// NewTwoChoices returns a policy that draws from a generator with the given seed.
func NewTwoChoices(seed uint64) *TwoChoices {
	return &TwoChoices{inFlight: newInFlight(), random: newRandom(seed)}
}

// Choose implements Policy.
func (t *TwoChoices) Choose(_ time.Time, work Work, candidates []apricotway.BackendServer) int {
	if len(candidates) == 0 {
		return -1
	}

	t.mu.Lock()
	defer t.mu.Unlock()

	a, b := t.random.IntN(len(candidates)), t.random.IntN(len(candidates))
	if t.count[candidates[b].ID] < t.count[candidates[a].ID] {
		a = b
	}

	if !slices.Contains(work.Excluded, candidates[a].ID) {
		return a
	}

	return least(work, candidates, func(server apricotway.BackendServerID) float64 { return float64(t.count[server]) })
}

// PrefixHash chooses by rendezvous hashing of the prompt's first block, with bounded loads. It is a baseline to compare
// Scored with.
type PrefixHash struct {
	inFlight
}

// loadBound limits the load of an engine chosen by hash, as a multiple of the mean load of the candidates (consistent
// hashing with bounded loads).
const loadBound = 1.25

// NewPrefixHash returns a policy that has no requests in flight.
func NewPrefixHash() *PrefixHash { return &PrefixHash{inFlight: newInFlight()} }

// Choose implements Policy.
func (p *PrefixHash) Choose(_ time.Time, work Work, candidates []apricotway.BackendServer) int {
	p.mu.Lock()
	defer p.mu.Unlock()

	total := 1
	for i := range candidates {
		total += p.count[candidates[i].ID]
	}

	bound := loadBound * float64(total) / float64(max(len(candidates), 1))
	prefix := affinity(work)

	return least(work, candidates, func(server apricotway.BackendServerID) float64 {
		cost := -float64(rendezvous(prefix, server) >> 1)
		if float64(p.count[server]) > bound {
			// Engines above the bound compare by load. Their cost is positive, so they all rank behind the others, whose cost is
			// negative.
			cost = float64(p.count[server])
		}

		return cost
	})
}
