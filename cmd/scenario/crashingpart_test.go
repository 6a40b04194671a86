package scenario

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/apricotway/apricotway/platform/standin"
)

// The operators' rule for a prompt part that crashes servers: from crashContact after its fifth crash on, at most crashAllowed calls
// with it reach servers from hosts that were not impaired within crashContact. Calls of the same key or first part are still answered
// at least half as often as before.
const (
	crashContact = 3 * time.Second
	crashCount   = 5
	crashAllowed = 3
	// crashingPrefix begins the attempts of the calls with the part.
	crashingPrefix = "crash-"
	// crashingPause is the mean time between two such calls.
	crashingPause = 150 * time.Millisecond
)

// callWithParts sends a streaming call with the given prompt parts to a random host.
func (s *entrySystem) callWithParts(ctx context.Context, random *rand.Rand, client *http.Client, attempt, parts string) bool {
	e := s.entries[random.IntN(len(s.entries))]

	return s.send(ctx, client, standin.Call{
		Address: e.callers, Host: "h.example", Path: "/chat/x", Attempt: attempt, Key: "secret", Tokens: "100,20", Parts: parts,
		Body: strings.NewReader(attempt),
	})
}

// startPromptCallers starts callers whose prompts share the first and some other parts, until the context ends. Some of the prompts
// have the crashing part if there is one and crashing returns true.
func (s *entrySystem) startPromptCallers(ctx context.Context, crashing func() bool) *sync.WaitGroup {
	var group sync.WaitGroup

	repeat := func(pause time.Duration, call func(random *rand.Rand, client *http.Client, n int)) {
		random := rand.New(rand.NewPCG(s.random.Uint64(), 2))

		group.Go(func() {
			client := &http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{}}
			defer client.CloseIdleConnections()

			for n := 0; ctx.Err() == nil; n++ {
				call(random, client, n)

				select {
				case <-time.After(pause/2 + time.Duration(random.Int64N(int64(pause)))):
				case <-ctx.Done():
				}
			}
		})
	}

	for i := range entryCallers {
		repeat(30*time.Millisecond, func(random *rand.Rand, client *http.Client, n int) {
			attempt := fmt.Sprintf("p%d-%d-%d", i, random.Uint32(), n)
			s.callWithParts(context.WithoutCancel(ctx), random, client, attempt, fmt.Sprintf("f:40,%x:40,%x:20", random.IntN(20), random.Uint64()))
		})
	}

	repeat(crashingPause, func(random *rand.Rand, client *http.Client, n int) {
		s.mu.Lock()
		part := s.crashPart
		s.mu.Unlock()

		if part != "" && crashing() {
			attempt := fmt.Sprintf("%s%d-%d", crashingPrefix, random.Uint32(), n)
			s.callWithParts(context.WithoutCancel(ctx), random, client, attempt,
				fmt.Sprintf("f:40,%x:40,%s:10,%x:20", random.IntN(20), part, random.Uint64()))
		}
	})

	return &group
}

// setCrashingPart makes all engines of the model crash on a part, before calls have it; an empty one ends that.
func (s *entrySystem) setCrashingPart(part string) {
	s.mu.Lock()
	defer s.mu.Unlock()

	for _, e := range s.engines {
		if e.Service() == "model" {
			e.CrashOnPart(part)
		}
	}

	s.crashPart = part
}

// checkCrashingPart checks how many calls with the crashing part reached engines after its fifth crash, and returns the number of its
// crashes.
func (s *entrySystem) checkCrashingPart(since time.Time) int {
	s.t.Helper()

	var crashes []time.Time
	for _, e := range s.engineList() {
		crashes = append(crashes, e.Crashes()...)
	}

	crashes = slices.DeleteFunc(crashes, func(at time.Time) bool { return at.Before(since) })
	slices.SortFunc(crashes, time.Time.Compare)

	if len(crashes) < crashCount {
		return len(crashes)
	}

	audit, bound, late := s.limitAudit(), crashes[crashCount-1].Add(crashContact), 0

	for _, e := range s.engineList() {
		for _, arrival := range e.Arrivals() {
			if strings.HasPrefix(arrival.Attempt, crashingPrefix) && arrival.At.After(bound) && audit.inTouch(arrival) && !during(s.storeDown, arrival.At) {
				late++
			}
		}
	}

	if late > crashAllowed {
		s.t.Errorf("got %d calls with a part that crashes engines later than %s after its fifth crash, want at most %d (%d crashes)",
			late, crashContact, crashAllowed, len(crashes))
	}

	return len(crashes)
}

// answeredShare returns the share of the calls with prompts but without the crashing part that were answered, among those sent in the
// given time, and their number.
func (s *entrySystem) answeredShare(from, to time.Time) (share float64, count int) {
	s.mu.Lock()
	defer s.mu.Unlock()

	answered := 0

	for _, a := range s.answers {
		if strings.HasPrefix(a.attempt, "p") && a.sent.After(from) && a.sent.Before(to) {
			count++

			if a.err == nil && a.status == http.StatusOK {
				answered++
			}
		}
	}

	return float64(answered) / float64(max(count, 1)), count
}

// TestPartCrashesEnginesAtAllHosts guards against calls that share one prompt part and crash one engine after the other.
func TestPartCrashesEnginesAtAllHosts(t *testing.T) {
	t.Parallel()

	const (
		calm    = 3 * time.Second
		crashes = 12 * time.Second
	)

	s := newEntrySystem(t, 1)
	for range 3 {
		s.startEngine("model")
	}

	s.awaitRecovery("start")

	ctx, cancel := context.WithCancel(t.Context())
	began := time.Now()
	calling := s.startPromptCallers(ctx, func() bool { return time.Since(began) > calm })

	s.setCrashingPart("bad")
	<-time.After(calm + crashes)
	cancel()
	calling.Wait()
	s.check()

	if got := s.checkCrashingPart(began); got == 0 {
		t.Error("got no crash, want some")
	}

	before, _ := s.answeredShare(began, began.Add(calm))
	after, count := s.answeredShare(began.Add(calm+crashes/2), time.Now())

	if after < before/2 || count < 20 {
		t.Errorf("got %.2f of %d calls without the part answered, want half of the %.2f before", after, count, before)
	}
}

// crashRounds is the number of rounds of a short run, and crashCalm the time without failures in each round.
const (
	crashRounds = 2
	crashCalm   = 2 * crashContact
)

// crashEngines crashes several random engines at once, now and then until the context ends.
func (s *entrySystem) crashEngines(ctx context.Context, random *rand.Rand) {
	for {
		select {
		case <-time.After(time.Duration(1000+random.IntN(4000)) * time.Millisecond):
		case <-ctx.Done():
			return
		}

		for _, e := range s.engineList() {
			if e.Service() == "model" && random.IntN(2) == 0 {
				e.Crash()
			}
		}
	}
}

func runCrashSchedule(t *testing.T, seed uint64, enough func(rounds int) bool) {
	s := newEntrySystem(t, seed)
	for range 3 {
		s.startEngine("model")
	}

	s.awaitRecovery("start")

	random := rand.New(rand.NewPCG(seed, 3))

	for round := 0; !enough(round) && !t.Failed(); round++ {
		ctx, cancel := context.WithCancel(t.Context())
		began := time.Now()
		calling := s.startPromptCallers(ctx, func() bool { return true })
		others := s.startCallers(ctx)
		crashing, stop := context.WithCancel(ctx)

		var crashes sync.WaitGroup

		crashes.Go(func() { s.crashEngines(crashing, random) })
		s.setCrashingPart(fmt.Sprintf("bad%d", round))
		s.injectFailures()
		stop()
		crashes.Wait()
		<-time.After(crashCalm)
		count := s.checkCrashingPart(began)
		s.setCrashingPart("")
		s.awaitRecovery(fmt.Sprint("round", round))
		cancel()
		calling.Wait()
		others.Wait()
		s.check()

		share, calls := s.answeredShare(time.Now().Add(-crashContact), time.Now())
		t.Logf("round %d: %d crashes, %.2f of the last %d calls without the part answered", round, count, share, calls)
	}
}

// TestCrashFailures guards against calls with one prompt part that go on crashing engines, and streams that these break off, while
// engines crash for other reasons and hosts fail at random. "make soak-crashes" runs other seeds.
func TestCrashFailures(t *testing.T) {
	t.Parallel()

	if *soakSeeds == 0 {
		t.Run("31", func(t *testing.T) {
			runCrashSchedule(t, 31, func(rounds int) bool { return rounds == crashRounds })
		})

		return
	}

	for i := range *soakSeeds {
		seed := *soakFirst + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()

			begin := time.Now()
			runCrashSchedule(t, seed, func(int) bool { return time.Since(begin) >= *soakDuration })
		})
	}
}

// TestRefusalsOutliveAllProcesses guards against calls that crash engines again when all processes have been killed, and nobody holds the
// duties yet.
func TestRefusalsOutliveAllProcesses(t *testing.T) {
	t.Parallel()

	const after = 3 * time.Second

	s := newEntrySystem(t, 4)
	for range 3 {
		s.startEngine("model")
	}

	s.awaitRecovery("start")

	ctx, cancel := context.WithCancel(t.Context())
	began := time.Now()
	calling := s.startPromptCallers(ctx, func() bool { return true })

	s.setCrashingPart("bad")
	<-time.After(2 * crashContact)

	before := s.checkCrashingPart(began)

	for _, e := range s.entries {
		e.end(syscall.SIGKILL)
	}

	for _, e := range s.entries {
		s.start(e)
	}

	<-time.After(after)
	cancel()
	calling.Wait()
	s.check()

	if got := s.checkCrashingPart(began) - before; got > 0 || before == 0 {
		t.Errorf("got %d crashes before and %d within %s after all processes were killed, want some and none", before, got, after)
	}
}
