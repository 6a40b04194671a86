package canary

import (
	"math"
	"time"

	"github.com/apricotway/apricotway"
)

const (
	// buckets is the number of classes of latencies. Each class reaches to sqrt(2) times the latency of the one before.
	buckets = 24
	// firstBucket is the upper end of the first class.
	firstBucket = 10 * time.Millisecond
)

// bucketOf returns the class of a latency.
func bucketOf(took time.Duration) int {
	if took <= firstBucket {
		return 0
	}

	return min(int(math.Ceil(2*math.Log2(float64(took)/float64(firstBucket)))), buckets-1)
}

// Entry counts the calls of a route at one backend server.
type Entry struct {
	Route   string
	Version apricotway.SoftwareVersion
	Server  apricotway.BackendServerID
	// Calls counts the calls that got the beginning of an answer, or failed. Failures counts those that failed, and Rejected those that
	// the server rejected without running them, which are not among Calls.
	Calls, Failures, Rejected int
	// Latencies holds the class of the latency of each measured call, or of the age of each call that waits for its answer.
	Latencies []byte
}

// Slice holds the counts of one time slice of an order.
type Slice struct {
	Index   int
	Entries []Entry
}

// ServiceReport holds the counts of one process since an order for a service.
type ServiceReport struct {
	Order   apricotway.StorePosition
	Service apricotway.Service
	// Requests and Exposed are the numbers of requests for the service, and of those that were sent to the ordered version, since the
	// process knows the order.
	Requests, Exposed uint64
	// Slices holds the complete counts of the newest time slices, so that a lost report does no harm.
	Slices []Slice
	// Waiting holds the calls that wait for the beginning of their answers.
	Waiting []Entry
}

type entryKey struct {
	route   string
	version apricotway.SoftwareVersion
	server  apricotway.BackendServerID
}

func (e *Entry) key() entryKey { return entryKey{e.Route, e.Version, e.Server} }

// keptSlices is the number of time slices that a report holds. At least two reports are sent in each.
const keptSlices = 3

// counts holds the counts of one process since an order.
type counts struct {
	requests, exposed uint64
	slices            map[int]map[entryKey]*Entry
	waiting           map[*Call]bool
}

func newCounts() *counts {
	return &counts{slices: map[int]map[entryKey]*Entry{}, waiting: map[*Call]bool{}}
}

// entry returns the counts of a call's route and server in a time slice.
func (c *counts) entry(slice int, call *Call) *Entry {
	entries := c.slices[slice]
	if entries == nil {
		entries = map[entryKey]*Entry{}
		c.slices[slice] = entries

		for index := range c.slices {
			if index <= slice-keptSlices {
				delete(c.slices, index)
			}
		}
	}

	key := entryKey{call.route, call.version, call.server}
	if entries[key] == nil {
		entries[key] = &Entry{Route: key.route, Version: key.version, Server: key.server}
	}

	return entries[key]
}

// Outcome is how a call ended, as far as it tells something of the version of its server.
type Outcome string

// The values of Outcome.
const (
	OutcomeDone     Outcome = "done"
	OutcomeFailed   Outcome = "failed"
	OutcomeRejected Outcome = "rejected"
	// OutcomeNone says nothing of the version.
	OutcomeNone Outcome = "none"
)

// Call is one call to a service under an order. The zero value is a call that is not counted.
type Call struct {
	run     *localRun
	route   string
	version apricotway.SoftwareVersion
	server  apricotway.BackendServerID
	sent    time.Time
	// cold is the time that a server may take for the prompt if it has none of it cached. Answers within that time count as fast: the caches
	// of new servers are empty.
	cold time.Duration
	// unmeasured is set for a server that is still slow after its start.
	unmeasured, answered bool
}

// latency returns the class of the latency of a call whose answer begins at the given time.
func (c *Call) latency(now time.Time) byte {
	took := now.Sub(c.sent)
	if took <= c.cold {
		took = 0
	}

	return byte(bucketOf(took))
}

// First counts the beginning of the answer.
func (c *Call) First(now time.Time) {
	if c.run == nil || c.answered {
		return
	}

	c.answered = true
	delete(c.run.counts.waiting, c)

	entry := c.run.counts.entry(c.run.slice(now), c)
	entry.Calls++

	if !c.unmeasured {
		entry.Latencies = append(entry.Latencies, c.latency(now))
	}
}

// End counts the end of the call.
func (c *Call) End(now time.Time, outcome Outcome) {
	if c.run == nil {
		return
	}

	delete(c.run.counts.waiting, c)

	switch outcome {
	case OutcomeFailed:
		entry := c.run.counts.entry(c.run.slice(now), c)
		entry.Failures++

		if !c.answered {
			entry.Calls++
		}
	case OutcomeRejected:
		c.run.counts.entry(c.run.slice(now), c).Rejected++
	case OutcomeDone, OutcomeNone:
	}

	c.run = nil
}
