package scenario

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/apricotway/apricotway/platform/standin"
)

// The operators' rules for what a server says of itself. A request that a caller sent later than drainTime after a host had passed on an
// answer which says that the engine is leaving does not reach it from that host, unless the host was stopped or started since. From
// pauseNotice after an engine turned a request of a host away until the end of the named pause, at most pauseRequests reach it from that
// host, unless it was impaired meanwhile.
const (
	drainTime     = 2 * time.Second
	pauseNotice   = 500 * time.Millisecond
	pauseRequests = 2
)

// overlaps reports whether one of the intervals has a part in the given time.
func overlaps(intervals []interval, begin, end time.Time) bool {
	return slices.ContainsFunc(intervals, func(i interval) bool {
		return i.begin.Before(end) && (i.end.IsZero() || i.end.After(begin))
	})
}

// checkStatements reports the requests that reached engines against what these had said.
func (s *entrySystem) checkStatements() (leaving, turnedAway int) {
	s.t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()

	attempts := map[string]attemptResult{}
	for _, result := range s.answers {
		attempts[result.attempt] = result
	}

	hosts := map[string]*entryProgram{}
	for _, e := range s.entries {
		hosts[e.callers.String()] = e
	}

	for _, e := range s.engines {
		for _, l := range e.Leavings() {
			leaving += s.checkLeaving(e, l, attempts, hosts)
		}

		for _, t := range e.TurnedAway() {
			turnedAway++

			s.checkPause(e, t, attempts, hosts)
		}
	}

	return leaving, turnedAway
}

// checkLeaving checks one time in which an engine said that it was leaving, and returns the number of answers that said so. The caller
// holds s.mu.
func (s *entrySystem) checkLeaving(
	e *standin.Engine, l standin.Leaving, attempts map[string]attemptResult, hosts map[string]*entryProgram,
) (told int) {
	s.t.Helper()

	within := func(at time.Time) bool { return !at.Before(l.Begin) && (l.End.IsZero() || at.Before(l.End)) }
	first := map[string]time.Time{}
	arrivals := slices.DeleteFunc(e.Arrivals(), func(a standin.Arrival) bool { return !within(a.At) })

	for _, arrival := range arrivals {
		answer := attempts[arrival.Attempt]
		if !answer.leaving || !within(answer.begun) {
			continue
		}

		told++

		host := answer.address.String()
		if at, ok := first[host]; !ok || answer.begun.Before(at) {
			first[host] = answer.begun
		}
	}

	for _, arrival := range arrivals {
		call := attempts[arrival.Attempt]
		at, ok := first[call.address.String()]

		if ok && call.sent.After(at.Add(drainTime)) && !overlaps(hosts[call.address.String()].interrupted, at, arrival.At) {
			s.t.Errorf("engine %s: got attempt %s, sent %s after its host passed on that the engine is leaving", e.ID(), call.attempt,
				call.sent.Sub(at))
		}
	}

	return told
}

// checkPause checks the pause that one answer of an engine named. The caller holds s.mu.
func (s *entrySystem) checkPause(
	e *standin.Engine, t standin.TurnedAway, attempts map[string]attemptResult, hosts map[string]*entryProgram,
) {
	s.t.Helper()

	begin, end := t.At.Add(pauseNotice), t.At.Add(t.Pause)
	host := hosts[attempts[t.Attempt].address.String()]

	if host == nil || overlaps(host.impaired, t.At, end) {
		return
	}

	count := 0

	for _, arrival := range e.Arrivals() {
		if arrival.Start == t.Start && arrival.At.After(begin) && arrival.At.Before(end) &&
			attempts[arrival.Attempt].address == host.callers {
			count++
		}
	}

	if count > pauseRequests {
		s.t.Errorf("engine %s: got %d requests of %s in the pause of %s that it had named, want at most %d", e.ID(), count, host.name,
			t.Pause, pauseRequests)
	}
}

// changeStatements makes random engines say that they are leaving or want a pause until the context ends, and then ends all of that.
// Engines that leave end, or start again at their address.
func (s *entrySystem) changeStatements(ctx context.Context, random *rand.Rand) {
	wait := func(longest int) {
		select {
		case <-time.After(time.Duration(random.IntN(longest)) * time.Millisecond):
		case <-ctx.Done():
		}
	}

	for ctx.Err() == nil {
		engines := s.engineList()
		e := engines[random.IntN(len(engines))]

		switch random.IntN(4) {
		case 0:
			e.SetLeaving(true)
			wait(6000)

			if random.IntN(2) == 0 {
				e.Register("draining")
				wait(2000)
			}

			e.Reborn(random.IntN(2) == 0)
		case 1:
			e.Reborn(random.IntN(2) == 0)
		default:
			pause := time.Duration(500+random.IntN(4000)) * time.Millisecond
			seconds := strconv.FormatFloat(pause.Seconds(), 'f', 3, 64)

			switch random.IntN(4) {
			case 0:
				e.TurnAway(pause, "soon", seconds)
			case 1:
				e.TurnAwayUntil(time.Now().Add(pause))
			default:
				e.TurnAway(pause, seconds)
			}

			wait(5000)

			if random.IntN(3) == 0 {
				e.Reborn(random.IntN(2) == 0)
			}

			e.Admit()
		}

		wait(1500)
	}

	for _, e := range s.engineList() {
		e.Admit()
		e.Reborn(true)
	}
}

func runStatementSchedule(t *testing.T, seed uint64, enough func(rounds int) bool) {
	s := newEntrySystem(t, seed)
	s.awaitRecovery("start")

	random := rand.New(rand.NewPCG(seed, 2))

	for round := 0; !enough(round) && !t.Failed(); round++ {
		ctx, cancel := context.WithCancel(t.Context())
		calling := s.startCallers(ctx)
		stating, stop := context.WithCancel(ctx)

		var changing sync.WaitGroup

		for range 2 {
			changes := rand.New(rand.NewPCG(random.Uint64(), 3))
			changing.Go(func() { s.changeStatements(stating, changes) })
		}

		s.injectFailures()
		<-time.After(limitCalm)
		stop()
		changing.Wait()
		s.awaitRecovery(fmt.Sprint("round", round))
		cancel()
		calling.Wait()
		s.check()

		leaving, turnedAway := s.checkStatements()
		t.Logf("seed %d, round %d: %d answers of leaving engines, %d requests turned away, %d attempts", seed, round, leaving, turnedAway,
			len(s.answers))
	}
}

// TestStatementFailures guards against hosts that use servers against what these say in their answers, while servers start again at their
// addresses and hosts, links and the store fail. "make soak-statements" runs other seeds.
func TestStatementFailures(t *testing.T) {
	t.Parallel()

	if *soakSeeds == 0 {
		t.Run("31", func(t *testing.T) {
			runStatementSchedule(t, 31, func(rounds int) bool { return rounds == limitRounds })
		})

		return
	}

	for i := range *soakSeeds {
		seed := *soakFirst + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()

			begin := time.Now()
			runStatementSchedule(t, seed, func(int) bool { return time.Since(begin) >= *soakDuration })
		})
	}
}
