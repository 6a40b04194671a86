package quarantine

import (
	"sync"
	"time"

	"github.com/apricotway/apricotway"
)

const (
	// firstCheck is the time from a cut to the first check of its server, in which the connections of a process that has ended are closed.
	firstCheck = 50 * time.Millisecond
	// checkGap is the time between two checks of a server.
	checkGap = 300 * time.Millisecond
	// evidenceTime is the time within which a crash shows. The rules leave 3 s from a crash until calls with its content are refused, and the
	// reports between the processes take one of them.
	evidenceTime = 1500 * time.Millisecond
	// maxClockError is the largest difference between the clocks of a server and of this process with which a new start is seen.
	maxClockError = time.Second
	// maxCuts bounds the cut answers of one server that are kept. Further ones count for nothing.
	maxCuts = maxCrashSuspects
)

// Health is how a server responds to a check over a new connection.
type Health string

// The values of Health.
const (
	// HealthAnswered means that it sent anything in answer.
	HealthAnswered Health = "answered"
	// HealthRefused means that it refused the connection, or broke it off before any answer.
	HealthRefused Health = "refused"
	// HealthSilent means that nothing came in time, which tells nothing of the server.
	HealthSilent Health = "silent"
)

// CutVerdict is what is known about why an answer was cut.
type CutVerdict string

// The values of CutVerdict.
const (
	// CutOpen means that the next check may tell more.
	CutOpen CutVerdict = "open"
	// CutCrashed means that the server refused connections after the cut, or started again.
	CutCrashed CutVerdict = "crashed"
	// CutRunning means that the server answers and has kept a connection from before the cut.
	CutRunning CutVerdict = "running"
	// CutUnclear means that nothing showed a crash.
	CutUnclear CutVerdict = "unclear"
)

// CutCheck is the result of one check of a server.
type CutCheck struct {
	// Began is the time at which the check began. It tells nothing of later cuts.
	Began  time.Time
	Health Health
	// HeldSince is the time since which a connection to the server has been open at any time, zero if there is none.
	HeldSince time.Time
	// Born is the start of the server in its newest entry, zero if it is not known.
	Born time.Time
}

// Cuts tells servers that crashed in the middle of an answer from those that cut it for another reason. It is safe for concurrent use.
type Cuts struct {
	mu sync.Mutex
	// servers holds the servers with cuts whose reason is open; each has at least one.
	servers map[apricotway.BackendServerID]*cutServer
}

type cutServer struct {
	cuts []cut
	next time.Time
}

// cut is an answer that was cut.
type cut struct {
	at     time.Time
	server apricotway.Backend
	// report is called if the server has crashed.
	report func()
}

// NewCuts returns a Cuts without any cut.
func NewCuts() *Cuts { return &Cuts{servers: map[apricotway.BackendServerID]*cutServer{}} }

// Add adds an answer that was cut.
func (c *Cuts) Add(at time.Time, server apricotway.Backend, report func()) {
	c.mu.Lock()
	defer c.mu.Unlock()

	known := c.servers[server.ID]
	if known == nil {
		known = &cutServer{next: at.Add(firstCheck)}
		c.servers[server.ID] = known
	}

	if len(known.cuts) < maxCuts {
		known.cuts = append(known.cuts, cut{at: at, server: server, report: report})
	}
}

// Pending reports whether the reason of any cut is open.
func (c *Cuts) Pending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	return len(c.servers) > 0
}

// Due returns the servers that have to be checked now.
func (c *Cuts) Due(now time.Time) []apricotway.Backend {
	c.mu.Lock()
	defer c.mu.Unlock()

	var due []apricotway.Backend

	for _, known := range c.servers {
		if !now.Before(known.next) {
			known.next = now.Add(checkGap)
			due = append(due, known.cuts[0].server)
		}
	}

	return due
}

// Checked takes in the result of a check. It returns the number of cuts by the verdict on them, and calls the reports of a server that has
// crashed.
func (c *Cuts) Checked(now time.Time, id apricotway.BackendServerID, check CutCheck) map[CutVerdict]int {
	c.mu.Lock()

	var reports []func()

	counts := map[CutVerdict]int{}

	if known := c.servers[id]; known != nil {
		var open []cut

		for _, one := range known.cuts {
			verdict := one.judge(now, check)
			counts[verdict]++

			switch verdict {
			case CutOpen:
				open = append(open, one)
			case CutCrashed:
				reports = append(reports, one.report)
			case CutRunning, CutUnclear:
			}
		}

		if known.cuts = open; len(open) == 0 {
			delete(c.servers, id)
		}
	}

	c.mu.Unlock()

	for _, report := range reports {
		report()
	}

	return counts
}

// judge returns the verdict on a cut after a check.
func (c *cut) judge(now time.Time, check CutCheck) CutVerdict {
	switch {
	// The clocks of hosts differ, and the entry with which the call was sent may be older than the last start before the cut.
	case !check.Born.Equal(c.server.Born) && check.Born.After(c.at.Add(-maxClockError)):
		return CutCrashed
	case check.Began.Before(c.at):
		return CutOpen
	case check.Health == HealthRefused:
		return CutCrashed
	case check.Health == HealthAnswered && !check.HeldSince.IsZero() && !check.HeldSince.After(c.at):
		return CutRunning
	case now.Sub(c.at) >= evidenceTime:
		return CutUnclear
	default:
		return CutOpen
	}
}
