// Package reach decides whether a process has lost its own paths to the backend servers, rather than some servers having failed: it asks
// several servers at a time, and believes so only while none of them answers. It performs no I/O; callers pass in the current time.
package reach

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/apricotway/apricotway"
)

const (
	// CheckTimeout bounds the time for which a check waits for answers. It is shorter than the timeout for opening a connection, so that a
	// connection that hangs is not taken for a refused one.
	CheckTimeout = 350 * time.Millisecond
	// checkedServers is the number of servers that a check asks. All of them have failed by chance, where a quarter of the servers has, in
	// one of 256 checks.
	checkedServers = 4
	// minServers is the number of known servers from which one failed server can be told from lost paths.
	minServers = 2
	// recheckPause is the pause between two checks while the paths are lost, and calmPause that after a check that found them in order.
	recheckPause, calmPause = 300 * time.Millisecond, time.Second
	// silenceTime is the time without any answer after which a silent server counts as a sign.
	silenceTime = 300 * time.Millisecond
	// signTime is the time for which a sign counts.
	signTime = 2 * time.Second
)

// Monitor decides whether the paths are lost. It is safe for concurrent use.
type Monitor struct {
	// signs has an element after a sign that the paths may be lost.
	signs chan struct{}

	mu sync.Mutex
	// unconnected holds the servers to which no connection could be opened since one last could, with the times.
	unconnected map[netip.AddrPort]time.Time
	// silentAt is the time of the last call that broke off or was not answered, and answeredAt that of the last answer of any server.
	silentAt, answeredAt time.Time
	// silentChecks counts the checks in a row in which no server answered in time. Servers may be silent for about a second, or the host busy.
	silentChecks int
	// checking is set during a check, and nextCheck the earliest time of the next one.
	checking  bool
	nextCheck time.Time
	// lostAt is the time at which the paths were found lost; zero while they are not. foundLostAt is that of the last time.
	lostAt, foundLostAt time.Time
}

// New returns a monitor that believes the paths to be in order.
func New() *Monitor {
	return &Monitor{signs: make(chan struct{}, 1), unconnected: map[netip.AddrPort]time.Time{}}
}

// Signs returns a channel that has an element after a sign that the paths may be lost. Checks may be due from then on for a while.
func (m *Monitor) Signs() <-chan struct{} { return m.signs }

func (m *Monitor) sign() {
	select {
	case m.signs <- struct{}{}:
	default:
	}
}

// Watched reports whether checks may be due without a further sign.
func (m *Monitor) Watched(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()

	return !m.lostAt.IsZero() || len(m.unconnected) > 0 || now.Sub(m.silentAt) < signTime
}

// Unconnected records that no connection to a server could be opened.
func (m *Monitor) Unconnected(now time.Time, server netip.AddrPort) {
	defer m.sign()

	m.mu.Lock()
	defer m.mu.Unlock()

	m.unconnected[server] = now
}

// Silent records that a server broke off a call, or did not answer it in time.
func (m *Monitor) Silent(now time.Time) {
	defer m.sign()

	m.mu.Lock()
	defer m.mu.Unlock()

	m.silentAt = now
}

// Answered records an answer of a server. connected tells whether it came over a new connection.
func (m *Monitor) Answered(now time.Time, connected bool) {
	m.mu.Lock()
	defer m.mu.Unlock()

	m.answeredAt = now

	if connected {
		clear(m.unconnected)
	}
}

// Lost reports whether the paths to the servers are lost.
func (m *Monitor) Lost() bool {
	m.mu.Lock()
	defer m.mu.Unlock()

	return !m.lostAt.IsZero()
}

// LostSince reports whether the paths are lost, or were found lost since a time.
func (m *Monitor) LostSince(since time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()

	return !m.lostAt.IsZero() || m.foundLostAt.After(since)
}

// Check returns the servers to ask now, and none if no check is due. Done has to be called after a check.
func (m *Monitor) Check(now time.Time, servers []apricotway.Backend) []apricotway.Backend {
	m.mu.Lock()
	defer m.mu.Unlock()

	if m.checking || now.Before(m.nextCheck) || m.lostAt.IsZero() && !m.signsLocked(now) {
		return nil
	}

	if now.Sub(m.nextCheck) > signTime {
		m.silentChecks = 0
	}

	if len(servers) < minServers {
		m.lostAt = time.Time{}
		return nil
	}

	// Servers whose connections failed say least, as long as there are others.
	chosen := make([]apricotway.Backend, 0, checkedServers)
	rest := make([]apricotway.Backend, 0, len(servers))

	for _, i := range rand.Perm(len(servers)) {
		if _, failed := m.unconnected[servers[i].Address]; !failed && len(chosen) < checkedServers {
			chosen = append(chosen, servers[i])
		} else {
			rest = append(rest, servers[i])
		}
	}

	chosen = append(chosen, rest[:min(len(rest), checkedServers-len(chosen))]...)
	m.checking = true

	return chosen
}

// signsLocked reports whether there are signs that the paths may be lost: connections to several servers fail and none succeeds, or a
// server is silent while none answers.
func (m *Monitor) signsLocked(now time.Time) bool {
	failed := 0

	for server, at := range m.unconnected {
		if now.Sub(at) > signTime {
			delete(m.unconnected, server)
		} else {
			failed++
		}
	}

	silent := now.Sub(m.silentAt) < signTime && m.silentAt.Sub(m.answeredAt) > 0 && now.Sub(m.answeredAt) >= silenceTime

	return failed >= minServers || silent || failed > 0 && now.Sub(m.answeredAt) >= silenceTime
}

// Result is how a check of several servers ended.
type Result string

// The values of Result.
const (
	// ResultAnswered means that a server answered.
	ResultAnswered Result = "answered"
	// ResultRefused means that no server answered, and that no connection was still being set up or waiting at the end.
	ResultRefused Result = "refused"
	// ResultSilent means that no server answered in time.
	ResultSilent Result = "silent"
)

// maxSilentChecks is the number of silent checks in a row after which the paths count as lost.
const maxSilentChecks = 2

// Done records how a check ended. It reports whether the belief has changed, and for how long the paths were lost if they are in order again.
func (m *Monitor) Done(now time.Time, result Result) (changed bool, lostFor time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()

	m.checking = false
	m.nextCheck = now.Add(recheckPause)

	if result == ResultSilent {
		m.silentChecks++
	}

	if result == ResultSilent && m.silentChecks < maxSilentChecks && m.lostAt.IsZero() {
		// The sign that led to the check counts until the next one.
		m.silentAt = now

		return false, 0
	}

	if result != ResultAnswered {
		changed = m.lostAt.IsZero()
		if changed {
			m.lostAt, m.foundLostAt = now, now
		}

		return changed, 0
	}

	m.nextCheck = now.Add(calmPause)
	m.silentChecks = 0
	m.answeredAt = now
	clear(m.unconnected)

	if m.lostAt.IsZero() {
		return false, 0
	}

	lostFor = now.Sub(m.lostAt)
	m.lostAt = time.Time{}

	return true, lostFor
}
