package dispatch_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/dispatch"
)

const (
	service = apricotway.Service("s")
	// processes and reportPeriod are those of a small site, manyProcesses and longPeriod those of a large one.
	processes     = 8
	reportPeriod  = 120 * time.Millisecond
	manyProcesses = 40
	longPeriod    = 480 * time.Millisecond
	// tokensPerMs is the number of prompt tokens that an engine reads in a millisecond.
	tokensPerMs = 50.0
	// stepPart is the part by which each running call slows the reading: a step of 0.1 ms for every 18 ms of a prompt.
	stepPart = 0.0057
	// manyEngines is the number of engines from which a site is large.
	manyEngines = 24
	// longPart is the part of the calls with long prompts.
	longPart = 0.24
)

// job is one call on its way.
type job struct {
	arrived time.Time
	tokens  float64
	long    bool
	left    float64
	answer  int
	began   time.Duration
	failed  bool
	place   *dispatch.Send
	engine  *engine
	// process is the one that took the call.
	process int
}

// aim is the time to the first event that callers want.
func (j *job) aim() time.Duration {
	if j.long {
		return 1200 * time.Millisecond
	}

	return 500 * time.Millisecond
}

// engine reads prompts one after the other, each to its end, takes those of the smallest size first, and answers what it has read
// meanwhile.
type engine struct {
	id      apricotway.BackendServerID
	slow    float64
	fails   float64
	waiting []*job
	running []*job
	// reading is the prompt that has been begun.
	reading *job
}

// site plays processes and engines in steps of a millisecond.
type site struct {
	now time.Time
	// period is the time between two reports of a process.
	period  time.Duration
	random  *rand.Rand
	pools   []*dispatch.Pool
	engines []*engine
	jobs    []*job
	// choose returns the engine of a job; nil leaves the choice to the process's pool.
	choose func(s *site, j *job) *engine
	turn   int
}

func newSite(seed uint64, engines int, choose func(s *site, j *job) *engine) *site {
	s := &site{now: time.Unix(1000, 0), period: reportPeriod, random: rand.New(rand.NewPCG(seed, 2)), choose: choose}
	count := processes

	if engines >= manyEngines {
		count, s.period = manyProcesses, longPeriod
	}

	for i := range count {
		pool := dispatch.New(dispatch.WithRandom(rand.New(rand.NewPCG(uint64(i), seed))))
		pool.SetMembers(count, s.period)
		s.pools = append(s.pools, pool)
	}

	for i := range engines {
		e := &engine{id: apricotway.BackendServerID(fmt.Sprint("e", i)), slow: 1}
		s.engines = append(s.engines, e)

		for _, pool := range s.pools {
			pool.Update(apricotway.Backend{ID: e.id, Service: service, Slots: 64}, s.now)
		}
	}

	return s
}

// arrive makes a call of the sites' mix: a quarter have long prompts of very different sizes.
func (s *site) arrive() {
	j := &job{arrived: s.now, process: s.random.IntN(len(s.pools)), answer: 400 + s.random.IntN(3000)}

	switch share := s.random.Float64(); {
	case share < longPart:
		j.tokens, j.long = min(6000*math.Exp(s.random.NormFloat64()), 54000), true
	case share < 0.63:
		j.tokens = 300 + s.random.Float64()*1000
	default:
		j.tokens, j.answer = 500+s.random.Float64()*3000, 100
	}

	j.left = j.tokens
	s.jobs = append(s.jobs, j)

	if s.choose != nil {
		j.engine = s.choose(s, j)
	} else {
		send, _, _ := s.pools[j.process].Place(s.now, dispatch.Request{
			Service: service, PromptTokens: int(j.tokens), AnswerTokens: 300, Remaining: 15 * time.Second, Objective: j.aim(),
		})
		if send == nil {
			j.failed = true
			return
		}

		j.place = send

		for _, e := range s.engines {
			if e.id == send.Backend.ID {
				j.engine = e
			}
		}
	}

	if s.random.Float64() < j.engine.fails {
		j.failed = true

		if j.place != nil {
			j.place.End(s.now, dispatch.OutcomeFailed)
		}

		return
	}

	j.engine.waiting = append(j.engine.waiting, j)
}

// step lets an engine work for a millisecond.
func (e *engine) step(now time.Time) {
	if e.reading == nil {
		for _, j := range e.waiting {
			if e.reading == nil || dispatch.SizeOf(int(j.tokens)) < dispatch.SizeOf(int(e.reading.tokens)) {
				e.reading = j
			}
		}
	}

	next := e.reading

	if next != nil {
		next.left -= tokensPerMs / e.slow / (1 + stepPart*float64(len(e.running)))

		if next.left <= 0 {
			next.began = now.Sub(next.arrived)
			e.reading = nil
			e.running = append(e.running, next)

			for i, j := range e.waiting {
				if j == next {
					e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
					break
				}
			}

			if next.place != nil {
				next.place.Began(now, nil)
			}
		}
	}

	kept := e.running[:0]

	for _, j := range e.running {
		if j.answer--; j.answer > 0 {
			kept = append(kept, j)
		} else if j.place != nil {
			j.place.End(now, dispatch.OutcomeDone)
		}
	}

	e.running = kept
}

// exchange tells each process what the others have under way, as the holder of the duties does.
func (s *site) exchange() {
	board := dispatch.NewBoard()

	for range 2 {
		for i, pool := range s.pools {
			pool.SetOthersWork(s.now, board.Post(s.now, apricotway.NodeID(fmt.Sprint("n", i)), pool.OwnWork()))
		}
	}
}

// run plays a load and returns the part of the calls that began in time, long and short ones.
func (s *site) run(duration time.Duration, perSecond func(at time.Duration) float64) (long, short float64) {
	start := s.now

	for s.now.Sub(start) < duration {
		at := s.now.Sub(start)
		if at%s.period == 0 {
			s.exchange()
		}

		if s.random.Float64() < perSecond(at)/1000 {
			s.arrive()
		}

		for _, e := range s.engines {
			e.step(s.now)
		}

		s.now = s.now.Add(time.Millisecond)
	}

	var inTime, all [2]float64

	for _, j := range s.jobs {
		kind, aim := 0, j.aim()
		if j.long {
			kind = 1
		}

		// Calls that arrived at the very end may still wait.
		if s.now.Sub(j.arrived) < aim {
			continue
		}

		all[kind]++

		if !j.failed && j.began > 0 && j.began <= aim {
			inTime[kind]++
		}
	}

	return inTime[1] / all[1], inTime[0] / all[0]
}

// Two plain ways of choosing, for comparison.
func roundRobin(s *site, _ *job) *engine {
	s.turn++
	return s.engines[s.turn%len(s.engines)]
}

// fewestOwn takes the engine with the fewest calls of the own process.
func fewestOwn(s *site, j *job) *engine {
	var best *engine

	fewest := math.MaxInt

	for _, i := range s.random.Perm(len(s.engines)) {
		e := s.engines[i]
		own := 0

		for _, list := range [][]*job{e.waiting, e.running} {
			for _, other := range list {
				if other.process == j.process {
					own++
				}
			}
		}

		if own < fewest {
			best, fewest = e, own
		}
	}

	return best
}

// compare plays the same load with the pool and with the two plain ways, and checks what callers get: more calls of each kind
// in time than with either, and at least the wanted part.
func compare(t *testing.T, engines int, change func(s *site), perSecond func(at time.Duration) float64, want float64) {
	t.Helper()

	const (
		duration = 40 * time.Second
		days     = 8
	)

	// play returns the means over several days.
	play := func(choose func(s *site, j *job) *engine) (long, short float64) {
		for seed := range uint64(days) {
			s := newSite(seed, engines, choose)
			change(s)

			dayLong, dayShort := s.run(duration, perSecond)
			long += dayLong / days
			short += dayShort / days
		}

		return long, short
	}

	long, short := play(nil)
	if long < want || short < want {
		t.Errorf("got %.3f of the long and %.3f of the short calls in time, want at least %.3f", long, short, want)
	}

	for name, choose := range map[string]func(s *site, j *job) *engine{"round robin": roundRobin, "fewest own": fewestOwn} {
		baseLong, baseShort := play(choose)
		t.Logf("long %.3f, short %.3f; %s: long %.3f, short %.3f", long, short, name, baseLong, baseShort)

		if got, base := long+short, baseLong+baseShort; got <= base {
			t.Errorf("got %.3f in time over both kinds, want more than the %.3f of %s", got, base, name)
		}
	}
}

func steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// TestHeavyDay plays the load of the heaviest days at twelve engines: long prompts of very different sizes between short ones.
func TestHeavyDay(t *testing.T) {
	compare(t, 12, func(*site) {}, steady(100), 0.95)
}

// TestBurst plays callers that come at once: three times the load for five seconds.
func TestBurst(t *testing.T) {
	compare(t, 12, func(*site) {}, func(at time.Duration) float64 {
		if at > 10*time.Second && at < 15*time.Second {
			return 240
		}

		return 80
	}, 0.85)
}

// TestSlowEngines plays two of twelve engines that are five times slower than they say.
func TestSlowEngines(t *testing.T) {
	compare(t, 12, func(s *site) { s.engines[3].slow, s.engines[8].slow = 5, 5 }, steady(80), 0.90)
}

// TestFailingEngine plays an engine that fails almost half of its calls and looks the least loaded by that.
func TestFailingEngine(t *testing.T) {
	compare(t, 12, func(s *site) { s.engines[5].fails = 0.45 }, steady(80), 0.95)
}

// TestManyEngines plays a large site, whose processes know of each other's calls half a second late: short calls must not wait
// behind long prompts that nobody told of.
func TestManyEngines(t *testing.T) {
	compare(t, 48, func(*site) {}, steady(400), 0.95)
}

// TestOverload plays a large site that has lost two thirds of its engines: calls that would be late are refused, so that the
// others are served. At least as many are in time as the engines can read at their best, less a fifth.
func TestOverload(t *testing.T) {
	const (
		engines = 24
		rate    = 400
		days    = 3
		// reading is the mean time in seconds that a prompt of the mix takes an engine.
		reading = 0.0606
		wanted  = 0.8 * engines / (rate * reading)
	)

	var all float64

	for seed := range uint64(days) {
		long, short := newSite(seed, engines, nil).run(30*time.Second, steady(rate))
		t.Logf("long %.3f, short %.3f", long, short)

		all += (longPart*long + (1-longPart)*short) / days
	}

	if all < wanted {
		t.Errorf("got %.3f of the calls in time, want at least %.3f", all, wanted)
	}
}
