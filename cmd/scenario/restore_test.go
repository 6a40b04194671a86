package scenario

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// The operators' rules for usage: each window is reported within reportTime after its end, and never with two counts.
const (
	usageWindow = 2 * time.Second
	reportTime  = 10 * time.Second
)

// holder returns the entry host whose process claimed the duties last, nil while there is none.
func (s *entrySystem) holder() *entryProgram {
	var (
		newest *entryProgram
		at     float64
	)

	for _, e := range s.entries {
		content, err := os.ReadFile(e.settings + ".log")
		if err != nil {
			continue
		}

		for line := range strings.Lines(string(content)) {
			var event struct {
				Event int
				TS    float64
			}

			// Other lines, like the output of a panic, are no JSON.
			if json.Unmarshal([]byte(line), &event) == nil && event.Event == 292 && event.TS > at {
				newest, at = e, event.TS
			}
		}
	}

	return newest
}

// windowAt returns the number of the usage window at a time.
func windowAt(at time.Time) int64 { return at.UnixNano() / int64(usageWindow) }

// awaitReports waits until the usage of all windows from one to another is reported. It fails after reportTime from the last one's end.
func (s *entrySystem) awaitReports(from, to int64) {
	s.t.Helper()

	for limit := time.Unix(0, (to+1)*int64(usageWindow)).Add(reportTime); ; <-time.After(50 * time.Millisecond) {
		usage, _ := s.platform.Usage()
		missing := from

		for ; missing <= to; missing++ {
			if _, ok := usage[missing]; !ok {
				break
			}
		}

		if missing > to {
			return
		}

		if time.Now().After(limit) {
			s.t.Errorf("got no usage report of window %d of %d to %d within %s after the last one", missing, from, to, reportTime)
			return
		}
	}
}

// restore makes the store fail for a time and come back from a copy of the given age.
func (s *entrySystem) restore(outage, age time.Duration) {
	s.platform.SetDown(true)
	<-time.After(outage)
	s.platform.Restore(age, 300*time.Millisecond)
	s.platform.SetDown(false)
}

// TestUsageReportsAfterRestore guards against a system that reports no usage, or one window with two counts, after the store has come
// back from a copy that lacks its last records.
func TestUsageReportsAfterRestore(t *testing.T) {
	t.Parallel()

	s := newEntrySystem(t, 2)
	s.awaitRecovery("start")

	ctx, cancel := context.WithCancel(t.Context())
	calling := s.startCallers(ctx)
	began := windowAt(time.Now()) + 1
	s.awaitReports(began, began+2)

	s.restore(time.Second, 5*time.Second)

	back := windowAt(time.Now())
	s.awaitReports(back, back+2)
	cancel()
	calling.Wait()
	s.check()
}

// TestUsageReportsAfterRestoreWithoutHolder guards against a successor that reports a window again with other counts, since the store
// lost the record of the report while the holder of the duties was stopped.
func TestUsageReportsAfterRestoreWithoutHolder(t *testing.T) {
	t.Parallel()

	s := newEntrySystem(t, 3)
	s.awaitRecovery("start")

	ctx, cancel := context.WithCancel(t.Context())
	calling := s.startCallers(ctx)
	began := windowAt(time.Now()) + 1
	s.awaitReports(began, began+2)

	holder := s.holder()
	if holder == nil {
		t.Fatal("got no holder of the duties")
	}

	if err := holder.command.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}

	// The counts of another process are lost with it, so that a successor counts less than the holder did.
	for _, e := range s.entries {
		if e != holder {
			e.end(syscall.SIGKILL)
			break
		}
	}

	s.restore(200*time.Millisecond, 1500*time.Millisecond)
	<-time.After(4 * time.Second)

	if err := holder.command.Process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}

	back := windowAt(time.Now()) + 1
	s.awaitReports(back, back+2)
	cancel()
	calling.Wait()
	s.check()
}

// restoreRounds is the number of rounds of a short run.
const restoreRounds = 2

// restoreAtRandom makes the store go back by some seconds, now and then until the context ends.
func (s *entrySystem) restoreAtRandom(ctx context.Context, random *rand.Rand) {
	for {
		select {
		case <-time.After(time.Duration(1000+random.IntN(5000)) * time.Millisecond):
		case <-ctx.Done():
			return
		}

		s.restore(time.Duration(random.IntN(1500))*time.Millisecond, time.Duration(500+random.IntN(6000))*time.Millisecond)
	}
}

func runRestoreSchedule(t *testing.T, seed uint64, enough func(rounds int) bool) {
	s := newEntrySystem(t, seed)
	s.awaitRecovery("start")

	random := rand.New(rand.NewPCG(seed, 4))

	for round := 0; !enough(round) && !t.Failed(); round++ {
		ctx, cancel := context.WithCancel(t.Context())
		calling := s.startCallers(ctx)
		restoring, stop := context.WithCancel(ctx)

		var restores sync.WaitGroup

		restores.Go(func() { s.restoreAtRandom(restoring, random) })
		s.injectFailures()
		stop()
		restores.Wait()
		s.awaitRecovery(fmt.Sprint("round", round))

		// A killed process is held for dead after 2 s, and the next claim comes within as much again.
		back := windowAt(time.Now().Add(2*usageWindow)) + 1
		s.awaitReports(back, back+1)
		cancel()
		calling.Wait()
		s.check()
	}
}

// TestRestoreFailures guards against usage reports that end or contradict each other, and broken promises to callers, when the store
// comes back from older copies under random failures. "make soak-restores" runs other seeds.
func TestRestoreFailures(t *testing.T) {
	t.Parallel()

	if *soakSeeds == 0 {
		t.Run("41", func(t *testing.T) {
			runRestoreSchedule(t, 41, func(rounds int) bool { return rounds == restoreRounds })
		})

		return
	}

	for i := range *soakSeeds {
		seed := *soakFirst + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()

			begin := time.Now()
			runRestoreSchedule(t, seed, func(int) bool { return time.Since(begin) >= *soakDuration })
		})
	}
}
