package relay

import (
	"slices"
	"sync"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/duration"
)

// stage is what a call in flight waits for.
type stage string

const (
	// stageBody is the wait for the rest of the caller's request.
	stageBody stage = "callerBody"
	// stageLimit is the wait for credit of the workspace's rate limit.
	stageLimit stage = "limit"
	// stageAnswer is the wait for the header or the first event of a server's answer.
	stageAnswer stage = "answerBegin"
	// stageNextPart is the wait for the next part of an answer of which a part was passed on.
	stageNextPart stage = "answerPart"
	// stageCaller is the wait until the caller has read enough for the next write.
	stageCaller stage = "callerRead"
)

// maxUnfinishedLines bounds the log lines of LogUnfinished.
const maxUnfinishedLines = 200

// progress is how far a call has come, for the log. Other goroutines may read it while the call runs.
type progress struct {
	mu      sync.Mutex
	attempt apricotway.AttemptID
	stage   stage
	since   time.Time
	server  apricotway.BackendServerID
	// read is the time at which the whole request had been read, and route and size are its route and the size of its answer as
	// answerSize states it. They are zero before.
	read  time.Time
	route string
	size  int
	// bytes is the size of the part of a stream that was written to the caller.
	bytes int
	// begun is the time at which the answer began; zero before.
	begun time.Time
	// estimate is how long the call was expected to take when a stopping process took it; 0 if it was taken at any other time.
	estimate time.Duration
}

func (p *progress) identify(attempt apricotway.AttemptID) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.attempt = attempt
}

// bodyRead records that the whole request of a route has been read, whose answer has the given size.
func (p *progress) bodyRead(now time.Time, route string, size int) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.read, p.route, p.size = now, route, size
	p.stage, p.since = stageLimit, now
}

// sample returns how long the call has taken since it was read, and its route; an empty route before that.
func (p *progress) sample(now time.Time) (sample duration.Sample, route string) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if p.begun.IsZero() {
		return duration.Sample{Begin: now.Sub(p.read)}, p.route
	}

	return duration.Sample{Begin: p.begun.Sub(p.read), Rest: now.Sub(p.begun), Size: p.size}, p.route
}

func (p *progress) enter(stage stage, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.stage, p.since = stage, now
}

// sent records that the call is sent to a server.
func (p *progress) sent(server apricotway.BackendServerID, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.server = server
	p.stage, p.since = stageAnswer, now

	if p.bytes > 0 {
		p.stage = stageNextPart
	}
}

func (p *progress) estimated(estimate time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.estimate = estimate
}

func (p *progress) began(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.begun = now
}

// passed records that a part of a stream was written to the caller.
func (p *progress) passed(bytes int, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.bytes += bytes
	p.stage, p.since = stageNextPart, now
}

// inFlight holds the calls that have no final answer yet.
type inFlight struct {
	mu    sync.Mutex
	calls map[*call]struct{}
}

func (f *inFlight) add(c *call) {
	c.progress.enter(stageBody, c.arrived)

	f.mu.Lock()
	defer f.mu.Unlock()

	f.calls[c] = struct{}{}
}

func (f *inFlight) remove(c *call) {
	f.mu.Lock()
	defer f.mu.Unlock()

	delete(f.calls, c)
}

// byArrival returns the calls in flight, the oldest first.
func (f *inFlight) byArrival() []*call {
	f.mu.Lock()
	defer f.mu.Unlock()

	calls := make([]*call, 0, len(f.calls))
	for c := range f.calls {
		calls = append(calls, c)
	}

	slices.SortFunc(calls, func(a, b *call) int { return a.arrived.Compare(b.arrived) })

	return calls
}

// LogUnfinished logs the calls that have no final answer yet, the oldest first, and what each of them waits for. It returns their
// number.
func (r *Relay) LogUnfinished() int {
	now := r.now()
	calls := r.inFlight.byArrival()

	for _, c := range calls[:min(len(calls), maxUnfinishedLines)] {
		c.progress.mu.Lock()
		r.logger.Info("call unfinished at the stop limit", "event", 370, "attempt", c.progress.attempt, "host", c.request.Host,
			"path", c.path(), "caller", c.request.RemoteAddr, "arrived", c.arrived, "read", c.progress.read, "stage", c.progress.stage,
			"inStage", now.Sub(c.progress.since), "server", c.progress.server, "bytes", c.progress.bytes,
			"estimate", c.progress.estimate)
		c.progress.mu.Unlock()
	}

	return len(calls)
}
