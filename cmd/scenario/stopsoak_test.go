package scenario

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/apricotway/apricotway/platform/standin"
)

const (
	stopCallers = 150
	stopRounds  = 2
	// stopRound is the time in which the events of a round begin.
	stopRound = 14 * time.Second
)

// stopEngines lists the services of a random schedule, with the options of their engines.
var stopEngines = map[string][]standin.EngineOption{
	"model":  {standin.WithSlots(200), standin.WithStream(stopEvents, 100*time.Millisecond)},
	"queue":  {standin.WithSlots(200), standin.WithStream(stopEvents, 50*time.Millisecond)},
	"pause":  {standin.WithSlots(200), standin.WithStream(stopEvents, 60*time.Millisecond)},
	"ledger": {standin.WithSlots(200), standin.WithWork(200 * time.Millisecond)},
	"large":  {standin.WithSlots(200), standin.WithSize(1 << 20)},
}

// randomCalls sends random requests until over is set. Connections stay in use until their process is gone.
func (s *stopSystem) randomCalls(over *atomic.Bool, random *rand.Rand) {
	for !over.Load() {
		var (
			buffer, perTick int
			idle            time.Duration
		)

		if random.IntN(6) == 0 {
			buffer, perTick = 64<<10, 20<<10
		}

		if random.IntN(2) == 0 {
			idle = time.Duration(random.IntN(2900)) * time.Millisecond
		}

		connection := s.connect(s.entries[random.IntN(len(s.entries))], buffer)
		if connection == nil {
			<-time.After(20 * time.Millisecond)
			continue
		}

		<-time.After(idle)

		for !over.Load() && s.send(connection, randomRequest(random, perTick)) {
			<-time.After(time.Duration(random.IntN(4)*random.IntN(1000)) * time.Millisecond)
		}

		_ = connection.Close()
	}
}

func randomRequest(random *rand.Rand, perTick int) stopRequest {
	paths := []string{"chat", "chat", "book", "book", "pause", "large", "queued-stream", "queued-safe", "queued-unsafe"}
	r := stopRequest{group: paths[random.IntN(len(paths))], body: "first half, second half", perTick: perTick}
	r.path = "/" + r.group + "/x"

	switch random.IntN(8) {
	case 0:
		r.pauseAt, r.resume = "half, second", time.Now().Add(time.Duration(random.IntN(6000))*time.Millisecond)
	case 1:
		r.pauseAt, r.resume = "Authorization", time.Now().Add(time.Duration(random.IntN(2500))*time.Millisecond)
	}

	return r
}

// stopEvent is an event of a random schedule.
type stopEvent struct {
	after time.Duration
	run   func()
}

// randomEvents returns the events of a round in the order of their times.
func (s *stopSystem) randomEvents(random *rand.Rand) []stopEvent {
	var events []stopEvent

	add := func(from, to time.Duration, run func()) {
		events = append(events, stopEvent{from + time.Duration(random.Int64N(int64(to-from))), run})
	}
	limit := 6 * time.Second

	// Some stops are at the same time, others overlap.
	if random.IntN(3) == 0 {
		limit = time.Second + time.Millisecond
	}

	stopped := 1 + random.IntN(len(s.entries)-1)

	for i, at := range random.Perm(len(s.entries)) {
		e := s.entries[at]
		// A process that has just been started would be killed by SIGHUP, so it gets none in the same round.
		if i >= stopped {
			add(0, stopRound, func() { process, _ := s.process(e); _ = process.Signal(syscall.SIGHUP) })
			continue
		}

		signals := map[syscall.Signal]time.Duration{}
		for _, signal := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM}[:random.IntN(3)] {
			signals[signal] = time.Duration(random.Int64N(int64(stopGrace)))
		}

		add(time.Second, limit, func() { s.replaceProcess(e, signals) })
	}

	for range 3 {
		add(0, stopRound, s.publish)
	}

	for _, service := range []string{"model", "queue", "pause", "ledger"} {
		engines := s.enginesOf(service)
		first := engines[0]

		switch random.IntN(4) {
		case 0:
			add(0, stopRound/2, first.Hold)
			add(stopRound/2, stopRound, first.Release)
		case 1:
			// Streams of this service can't be resumed, so nothing could complete them.
			if service == "queue" {
				continue
			}

			add(0, stopRound/2, first.Pause)
			add(stopRound/2, stopRound, first.Resume)
		case 2:
			add(0, stopRound/2, func() {
				s.startEngine(service, stopEngines[service]...)
				first.Register("draining")
			})
			add(stopRound*3/4, stopRound, first.Close)
		}
	}

	slices.SortStableFunc(events, func(a, b stopEvent) int { return int(a.after - b.after) })

	return events
}

// replaceProcess stops a process as planned, sends it further signals meanwhile, and starts the next one when it is gone.
func (s *stopSystem) replaceProcess(e *entryProgram, signals map[syscall.Signal]time.Duration) {
	process, _ := s.process(e)
	gone := s.terminate(e)

	for signal, after := range signals {
		s.at(time.Now().Add(after), func() { _ = process.Signal(signal) }) // The process may have ended.
	}

	s.at(time.Now(), func() {
		<-gone
		s.restart(e)
	})
}

// enginesOf returns the engines of a service that have not been closed, the oldest first.
func (s *stopSystem) enginesOf(service string) []*standin.Engine {
	return slices.DeleteFunc(s.engineList(), func(e *standin.Engine) bool { return e.Service() != service || e.Closed() })
}

func runStopSchedule(t *testing.T, seed uint64, enough func(rounds int) bool) {
	s := newStopSystem(t, entryCount)
	s.random = newRandom(seed)

	for service, options := range stopEngines {
		s.startEngine(service, options...)
		s.startEngine(service, options...)
	}

	for round := 0; !enough(round) && !t.Failed(); round++ {
		for _, e := range s.entries {
			s.awaitReady(e)
		}

		var over atomic.Bool

		for range stopCallers {
			random := rand.New(rand.NewPCG(s.random.Uint64(), 0))
			s.at(time.Now(), func() { s.randomCalls(&over, random) })
		}

		begin := time.Now()
		for _, event := range s.randomEvents(s.random) {
			<-time.After(time.Until(begin.Add(event.after)))
			event.run()
		}

		over.Store(true)
		s.calling.Wait()
		s.judge(t, "")
	}
}

// TestStopFailures guards against calls whose connection ends without a complete answer while processes are stopped as planned and
// started again, one after the other and at the same time, beside SIGHUP, new configurations, and engines that hold requests, pause
// and are replaced. "make soak-stops" runs other seeds.
func TestStopFailures(t *testing.T) {
	t.Parallel()

	if *soakSeeds == 0 {
		t.Run("61", func(t *testing.T) {
			t.Parallel()
			runStopSchedule(t, 61, func(rounds int) bool { return rounds == stopRounds })
		})

		return
	}

	for i := range *soakSeeds {
		seed := *soakFirst + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()

			begin := time.Now()
			runStopSchedule(t, seed, func(int) bool { return time.Since(begin) >= *soakDuration })
		})
	}
}
