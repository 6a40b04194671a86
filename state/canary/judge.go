package canary

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"github.com/apricotway/apricotway"
)

const (
	// minBad is the number of bad responses below which no version is judged bad.
	minBad = 4
	// minDeviations is the number of standard deviations by which the bad responses have to exceed those expected. The deviation is that of
	// the sums by server, so that a single failing server does not count as a failing version.
	minDeviations = 3
	// maxChance is the largest probability of that many bad responses at the expected rate. Some hundred tests are made during an order.
	maxChance = 1e-5
	// failureMargin, rejectionMargin and slowMargin are the shares of bad responses beyond those of the baseline that are tolerated.
	// Servers that have just started reject or delay more calls while their caches are empty.
	failureMargin, rejectionMargin, slowMargin = 0.02, 0.25, 0.1
	// laterSlowMargin takes the place of slowMargin if the baseline is of an earlier time, as while it gets no calls.
	laterSlowMargin = 0.2
	// slowBuckets is the number of latency classes above the median of the baseline from which a response is slow: 2 to 2.8 times the
	// median. laterSlowBuckets takes its place if the baseline is of an earlier time.
	slowBuckets, laterSlowBuckets = 3, 4
	// minSlowBucket is the class of latencies above 40 ms. Shorter ones make no difference to callers.
	minSlowBucket = 5
	// minBaseline is the number of calls at the baseline from which it is compared with. With fewer, the baseline of an earlier time is used
	// as well.
	minBaseline = 30
	// minSlowBaseline is the number of latencies from which a median is used.
	minSlowBaseline = 8
)

// cell counts the calls of a route at one server in one time slice.
type cell struct {
	calls, failures, rejected int
	latencies                 [buckets]int
	// waiting counts calls by their ages. A call that waits tells that its latency is at least its age, so short ages tell nothing.
	waiting [buckets]int
}

func (c *cell) add(other *cell) {
	c.calls += other.calls
	c.failures += other.failures
	c.rejected += other.rejected

	for i, count := range other.latencies {
		c.latencies[i] += count
	}

	for i, count := range other.waiting {
		c.waiting[i] += count
	}
}

// slow returns the number of latencies, and of those from a class on.
func (c *cell) slow(from int) (measured, slow int) {
	for i, count := range c.latencies {
		measured += count

		if i >= from {
			measured += c.waiting[i]
			slow += count + c.waiting[i]
		}
	}

	return measured, slow
}

// collector adds up the counts of all processes since one order.
type collector struct {
	// slices holds the sums by time slice, and total those of all.
	slices map[int]map[entryKey]*cell
	total  map[entryKey]*cell
	// counted holds what each process has reported of each time slice, which is in slices already.
	counted map[apricotway.NodeID]map[int]map[entryKey]Entry
	waiting map[apricotway.NodeID][]Entry
	// requests and exposed are the newest totals of each process.
	requests, exposed map[apricotway.NodeID]uint64
}

func newCollector() *collector {
	return &collector{
		slices: map[int]map[entryKey]*cell{}, total: map[entryKey]*cell{}, counted: map[apricotway.NodeID]map[int]map[entryKey]Entry{},
		waiting:  map[apricotway.NodeID][]Entry{},
		requests: map[apricotway.NodeID]uint64{}, exposed: map[apricotway.NodeID]uint64{},
	}
}

// add adds the report of a process.
func (c *collector) add(node apricotway.NodeID, report *ServiceReport) {
	c.requests[node] = max(c.requests[node], report.Requests)
	c.exposed[node] = max(c.exposed[node], report.Exposed)
	c.waiting[node] = report.Waiting

	if c.counted[node] == nil {
		c.counted[node] = map[int]map[entryKey]Entry{}
	}

	counted := c.counted[node]

	for _, slice := range report.Slices {
		if counted[slice.Index] == nil {
			counted[slice.Index] = map[entryKey]Entry{}
		}

		if c.slices[slice.Index] == nil {
			c.slices[slice.Index] = map[entryKey]*cell{}
		}

		for i := range slice.Entries {
			entry := &slice.Entries[i]
			key := entry.key()
			c.addEntry(slice.Index, entry, counted[slice.Index][key])
			counted[slice.Index][key] = *entry
		}

		for index := range counted {
			if index <= slice.Index-2*keptSlices {
				delete(counted, index)
			}
		}
	}
}

// addEntry adds what an entry has beyond an earlier one of the same process.
func (c *collector) addEntry(slice int, entry *Entry, before Entry) {
	key := entry.key()

	// Reports may overtake each other.
	more := cell{
		calls: max(entry.Calls-before.Calls, 0), failures: max(entry.Failures-before.Failures, 0), rejected: max(entry.Rejected-before.Rejected, 0),
	}

	for _, class := range entry.Latencies[min(len(before.Latencies), len(entry.Latencies)):] {
		more.latencies[min(int(class), buckets-1)]++
	}

	for _, sums := range []map[entryKey]*cell{c.slices[slice], c.total} {
		if sums[key] == nil {
			sums[key] = &cell{}
		}

		sums[key].add(&more)
	}
}

// totals returns the requests and the exposed ones of all processes.
func (c *collector) totals() (requests, exposed uint64) {
	for _, count := range c.requests {
		requests += count
	}

	for _, count := range c.exposed {
		exposed += count
	}

	return requests, exposed
}

// side holds the counts of the candidate or of the baseline by route and server.
type side map[string]map[apricotway.BackendServerID]*cell

func (s side) at(key entryKey) *cell {
	if s[key.route] == nil {
		s[key.route] = map[apricotway.BackendServerID]*cell{}
	}

	if s[key.route][key.server] == nil {
		s[key.route][key.server] = &cell{}
	}

	return s[key.route][key.server]
}

func (s side) sum(route string) cell {
	var sum cell
	for _, c := range s[route] {
		sum.add(c)
	}

	return sum
}

// sides returns the counts of the candidate and of the baseline in the time slices from the given one on, with the calls that wait.
func (c *collector) sides(version apricotway.SoftwareVersion, from int) (candidate, baseline side) {
	candidate, baseline = side{}, side{}

	add := func(key entryKey, counts *cell) {
		if key.version == version {
			candidate.at(key).add(counts)
		} else {
			baseline.at(key).add(counts)
		}
	}

	if from <= 0 {
		for key, counts := range c.total {
			add(key, counts)
		}
	}

	for index, entries := range c.slices {
		if from <= 0 || index < from {
			continue
		}

		for key, counts := range entries {
			add(key, counts)
		}
	}

	for _, entries := range c.waiting {
		for i := range entries {
			var waiting cell
			for _, class := range entries[i].Latencies {
				waiting.waiting[min(int(class), buckets-1)]++
			}

			add(entries[i].key(), &waiting)
		}
	}

	return candidate, baseline
}

// sample is the number of bad responses of a server, with the number expected.
type sample struct {
	calls, bad, expected float64
}

// exceeds reports whether the bad responses are more than expected, by more than chance and by more than single servers can tell.
func exceeds(samples map[apricotway.BackendServerID]sample, servers int) bool {
	var calls, bad, expected, variance float64

	failing := 0

	for _, s := range samples {
		calls += s.calls
		bad += s.bad
		expected += s.expected

		if s.bad > 0 {
			failing++
		}
	}

	if bad < minBad || bad <= expected || failing < min(servers, 2) {
		return false
	}

	rate := bad / calls
	for _, s := range samples {
		difference := s.bad - s.calls*rate
		variance += difference * difference
	}

	variance = max(variance, calls*rate*(1-rate))

	return bad-expected >= minDeviations*math.Sqrt(variance) && chance(calls, rate, expected/calls) <= maxChance
}

// chance returns a bound of the probability of a share of bad responses (Chernoff).
func chance(calls, rate, expected float64) float64 {
	divergence := rate * math.Log(rate/expected)
	if rate < 1 {
		divergence += (1 - rate) * math.Log((1-rate)/(1-expected))
	}

	return math.Exp(-calls * divergence)
}

// tolerated returns the rate of bad responses that a sound version may have, from the counts of the servers of the baseline.
func tolerated(servers map[apricotway.BackendServerID]*cell, count func(*cell) (calls, bad int), margin float64) float64 {
	var calls, bad, variance float64

	for _, c := range servers {
		n, k := count(c)
		calls += float64(n)
		bad += float64(k)
	}

	if calls == 0 {
		return min(2*margin, 1)
	}

	rate := bad / calls
	for _, c := range servers {
		n, k := count(c)
		difference := float64(k) - float64(n)*rate
		variance += difference * difference
	}

	// Add one bad call, for a baseline of few calls.
	return min((bad+1)/(calls+1)+2*math.Sqrt(variance)/calls+margin, 1)
}

// measure is one way in which a response may be bad.
type measure struct {
	name  string
	count func(*cell) (calls, bad int)
	// margin is the tolerated share beyond that of the baseline.
	margin float64
}

// judge compares a version with the others in the time slices from the given one on, and returns why it is bad; empty if nothing shows that.
// whole is the baseline of all time slices, and servers the number of the version's servers. later is set if the version gets all calls, so
// that the baseline is of an earlier time.
func (c *collector) judge(version apricotway.SoftwareVersion, from, servers int, whole side, later bool) string {
	candidate, baseline := c.sides(version, from)
	pooled := map[apricotway.BackendServerID]sample{}

	for _, route := range slices.Sorted(maps.Keys(candidate)) {
		base := baseline
		if sum := base.sum(route); sum.calls < minBaseline {
			base = whole
		}

		for _, m := range measures(base.sum(route), later) {
			limit := tolerated(base[route], m.count, m.margin)
			samples := map[apricotway.BackendServerID]sample{}

			for server, counts := range candidate[route] {
				calls, bad := m.count(counts)
				samples[server] = sample{float64(calls), float64(bad), float64(calls) * limit}

				if m.name == measureFailures {
					sum := pooled[server]
					pooled[server] = sample{sum.calls + float64(calls), sum.bad + float64(bad), sum.expected + float64(calls)*limit}
				}
			}

			if limit < 1 && exceeds(samples, servers) {
				return describe(m.name, route, samples, limit)
			}
		}
	}

	if exceeds(pooled, servers) {
		return describe(measureFailures, "all", pooled, 0)
	}

	return ""
}

const (
	measureFailures   = "failures"
	measureRejections = "rejections"
	measureSlow       = "slow responses"
)

// measures returns how the responses of a route are judged, given the sum of the baseline.
func measures(baseline cell, later bool) []measure {
	result := []measure{
		{measureFailures, func(c *cell) (int, int) { return c.calls, c.failures }, failureMargin},
	}

	// Without the other servers, a sound version may have to reject more calls too.
	if !later {
		result = append(result, measure{
			measureRejections, func(c *cell) (int, int) { return c.calls + c.rejected, c.rejected }, rejectionMargin,
		})
	}

	if measured, _ := baseline.slow(0); measured >= minSlowBaseline {
		from, margin := baseline.median()+slowBuckets, slowMargin
		if later {
			from, margin = baseline.median()+laterSlowBuckets, laterSlowMargin
		}

		from = min(max(from, minSlowBucket), buckets-1)
		result = append(result, measure{measureSlow, func(c *cell) (int, int) { return c.slow(from) }, margin})
	}

	return result
}

// median returns the class of the median latency.
func (c *cell) median() int {
	measured, _ := c.slow(0)

	for i, below := 0, 0; i < buckets; i++ {
		if below += c.latencies[i]; 2*below >= measured {
			return i
		}
	}

	return buckets - 1
}

func describe(name, route string, samples map[apricotway.BackendServerID]sample, limit float64) string {
	var calls, bad float64

	for _, s := range samples {
		calls += s.calls
		bad += s.bad
	}

	text := fmt.Sprintf("%s on route %s: %.0f of %.0f calls", name, route, bad, calls)
	if limit > 0 {
		text += fmt.Sprintf(", tolerated %.0f%%", 100*limit)
	}

	return text
}
