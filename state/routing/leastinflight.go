package routing

import (
	"slices"
	"sync"

	"github.com/apricotway/apricotway"
)

// LeastInFlight chooses the server with the fewest calls of this process in flight, and among equals takes turns. A server
// that answers slowly, or not at all, thereby gets fewer calls. It is meant for plain services, whose calls have no load
// reports and no common measure of work. It is safe for concurrent use.
type LeastInFlight struct {
	mu sync.Mutex
	// running holds the number of calls per server, without zeros.
	running map[apricotway.BackendServerID]int
	turn    int
}

// NewLeastInFlight returns a policy that has no calls in flight.
func NewLeastInFlight() *LeastInFlight {
	return &LeastInFlight{running: map[apricotway.BackendServerID]int{}}
}

// Acquire returns the index of the chosen candidate, or -1 without candidates. The call counts until Release. Excluded
// servers are chosen only when no other is left.
func (l *LeastInFlight) Acquire(candidates []apricotway.BackendServer, excluded []apricotway.BackendServerID) int {
	l.mu.Lock()
	defer l.mu.Unlock()

	chosen, chosenExcluded, fewest := -1, false, 0
	l.turn++

	for step := range candidates {
		index := (l.turn + step) % len(candidates)
		running := l.running[candidates[index].ID]
		isExcluded := slices.Contains(excluded, candidates[index].ID)

		if chosen < 0 || chosenExcluded && !isExcluded || chosenExcluded == isExcluded && running < fewest {
			chosen, chosenExcluded, fewest = index, isExcluded, running
		}
	}

	if chosen >= 0 {
		l.running[candidates[chosen].ID]++
	}

	return chosen
}

// Release reports the end of a call on a server.
func (l *LeastInFlight) Release(server apricotway.BackendServerID) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if l.running[server]--; l.running[server] <= 0 {
		delete(l.running, server)
	}
}
