package routing

import (
	"slices"
	"sync"

	"github.com/apricotway/apricotway"
)

// LeastInFlight chooses the server on which the fewest calls of this process run, and servers with equally many in turn. A
// server that answers slowly, or not at all, thereby gets fewer calls. Calls of plain services have no load reports and no
// common measure of work. It is safe for concurrent use.
type LeastInFlight struct {
	mu sync.Mutex
	// running holds the servers that run calls.
	running map[apricotway.BackendServerID]int
	turn    int
}

// NewLeastInFlight returns a policy without calls.
func NewLeastInFlight() *LeastInFlight {
	return &LeastInFlight{running: map[apricotway.BackendServerID]int{}}
}

// Acquire returns the index of the chosen candidate, whose call counts until Release, or -1 when there is none. Excluded servers
// are chosen only when no other is left.
func (l *LeastInFlight) Acquire(candidates []apricotway.BackendServer, excluded []apricotway.BackendServerID) int {
	l.mu.Lock()
	defer l.mu.Unlock()

	chosen, out, fewest := -1, false, 0
	l.turn++

	for step := range candidates {
		index := (l.turn + step) % len(candidates)
		running := l.running[candidates[index].ID]
		failed := slices.Contains(excluded, candidates[index].ID)

		if chosen < 0 || out && !failed || out == failed && running < fewest {
			chosen, out, fewest = index, failed, running
		}
	}

	if chosen >= 0 {
		l.running[candidates[chosen].ID]++
	}

	return chosen
}

// Release ends a call on a server.
func (l *LeastInFlight) Release(server apricotway.BackendServerID) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if l.running[server]--; l.running[server] <= 0 {
		delete(l.running, server)
	}
}
