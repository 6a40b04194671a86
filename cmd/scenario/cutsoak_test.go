package scenario

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/apricotway/apricotway/cmd/internal/faultproxy"
)

const (
	// cutRound is the time in which the failures of a round begin, and cutFailures their number.
	cutRound    = 8 * time.Second
	cutFailures = 10
)

// cutFaults are the ways in which the paths of a process to the servers fail.
var cutFaults = []faultproxy.Fault{{Cut: faultproxy.Both}, {Reset: true}, {RejectNew: true}, {Cut: faultproxy.Backward}, {DelayMillis: 100}}

// fail injects one random failure, and ends it after a while.
func (s *cutSystem) fail(random *rand.Rand, processes []sync.Mutex) {
	lasts := time.Duration(500+random.IntN(3000)) * time.Millisecond
	at := random.IntN(len(s.entries))
	e := s.entries[at]

	switch random.IntN(6) {
	case 0, 1, 2:
		fault := cutFaults[random.IntN(len(cutFaults))]
		s.cut(e, fault)
		<-time.After(lasts)
		s.cut(e, faultproxy.Fault{})
	case 3:
		processes[at].Lock()
		defer processes[at].Unlock()

		e.end([]syscall.Signal{syscall.SIGKILL, syscall.SIGTERM}[random.IntN(2)])
		s.start(e)
	case 4:
		engine := s.engines[random.IntN(len(s.engines))]
		engine.Pause()
		<-time.After(min(lasts, 2*time.Second))
		engine.Resume()
	default:
		s.platform.SetDown(true)
		<-time.After(min(lasts, 1500*time.Millisecond))
		s.platform.SetDown(false)
	}
}

func runCutSchedule(t *testing.T, seed uint64, enough func(rounds int) bool) {
	s := newCutSystem(t, seed)
	streams := &versionSystem{entrySystem: s.entrySystem}

	s.awaitServing()

	for round := 0; !enough(round) && !t.Failed(); round++ {
		ctx, cancel := context.WithCancel(t.Context())
		wait, streaming := s.callers(ctx), streams.callers(ctx)
		processes := make([]sync.Mutex, len(s.entries))

		var failures sync.WaitGroup

		for range cutFailures {
			random := rand.New(rand.NewPCG(s.random.Uint64(), 0))

			failures.Go(func() {
				<-time.After(time.Duration(random.Int64N(int64(cutRound))))
				s.fail(random, processes)
			})
		}

		failures.Wait()
		s.awaitServing()
		cancel()

		calls := wait()

		streaming.Wait()
		s.checkOnce(calls)
		streams.checkJoined()

		served := 0

		for _, call := range calls {
			if call.served {
				served++
			}
		}

		t.Logf("seed %d, round %d: served %d of %d calls, %d streams", seed, round, served, len(calls), len(streams.streams))
	}
}

// TestPathFailures guards against calls that run twice, refusals of calls that run, streams of two software versions, and processes that
// don't serve again, while paths to the servers are cut, processes end, engines are silent and the store is away, all at once.
func TestPathFailures(t *testing.T) {
	t.Parallel()

	if *soakSeeds == 0 {
		runCutSchedule(t, 1, func(rounds int) bool { return rounds == 2 })
		return
	}

	for i := range *soakSeeds {
		seed, begin := *soakFirst+uint64(i), time.Now()
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runCutSchedule(t, seed, func(rounds int) bool { return rounds > 0 && time.Since(begin) >= *soakDuration })
		})
	}
}
