package scenario

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apricotway/apricotway/platform/standin"
)

// The operators' rule for brittle servers: from brittleContact after the first statement on, the servers of a service fall over at most
// 2 times and a tenth of their number.
const (
	brittleContact = 3 * time.Second
	brittleHosts   = 6
	brittleServers = 4
	// Each server runs 8 streams of about half a second at a time.
	brittleEvents, brittleGap = 11, 50 * time.Millisecond
	brittleCapacity           = brittleServers * 8 * 2
)

// sendStreams sends streams at a rate over a time, each to the next host, and returns when all of them have been sent.
func (s *entrySystem) sendStreams(
	ctx context.Context, client *http.Client, group *sync.WaitGroup, name string, perSecond int, length time.Duration,
) (sent int) {
	sent = int(float64(perSecond) * length.Seconds())
	ticker := time.NewTicker(length / time.Duration(sent))

	defer ticker.Stop()

	for i := range sent {
		<-ticker.C

		group.Go(func() {
			s.call(ctx, client, s.entries[i%len(s.entries)].callers, fmt.Sprint(name, "-", i), true)
		})
	}

	return sent
}

// streamed returns the number of calls of the given name that were answered with a stream.
func (s *entrySystem) streamed(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()

	count := 0

	for _, answer := range s.answers {
		if answer.err == nil && answer.status == http.StatusOK && strings.HasPrefix(answer.attempt, name+"-") {
			count++
		}
	}

	return count
}

// TestBrittleServersFallOverOnSockets guards against processes that together make brittle servers turn away so many calls that they fall
// over, and against refusing more than 60% of the calls to avoid that.
func TestBrittleServersFallOverOnSockets(t *testing.T) {
	t.Parallel()

	s := newEntryPlatform(t, 1, entryConfig)
	for range brittleServers {
		s.startEngine("model", standin.WithStream(brittleEvents, brittleGap))
	}

	s.startEntries(brittleHosts)
	s.awaitServing()

	for _, e := range s.engines {
		e.SetBrittle(&standin.Brittle{Rejections: 4, Contact: brittleContact, Down: 2 * time.Second})
	}

	var group sync.WaitGroup

	client := &http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	defer client.CloseIdleConnections()

	s.sendStreams(t.Context(), client, &group, "first", brittleCapacity/2, brittleContact)

	sent := s.sendStreams(t.Context(), client, &group, "even", brittleCapacity*11/10, 4*time.Second)

	for round := range 4 {
		// Twice what the servers can run at a time arrives at all hosts at once.
		s.sendStreams(t.Context(), client, &group, fmt.Sprint("burst", round), 10*brittleCapacity, 100*time.Millisecond)
		s.sendStreams(t.Context(), client, &group, fmt.Sprint("after", round), brittleCapacity*3/10, 900*time.Millisecond)
	}

	group.Wait()

	falls, rejections := 0, 0
	for _, e := range s.engines {
		falls += len(e.Falls())
		rejections += len(e.Rejections())
	}

	served := s.streamed("even")
	t.Logf("%d falls, %d rejections, served %d of %d", falls, rejections, served, sent)

	if most := 2 + brittleServers/10; falls > most {
		t.Errorf("got %d falls, want at most %d", falls, most)
	}

	if least := sent * 2 / 5; served < least {
		t.Errorf("got %d of %d calls served, want at least %d", served, sent, least)
	}
}

const (
	// brittleRounds is the number of rounds of a short run.
	brittleRounds = 1
	// brittleCallerGroups is the number of groups of entryCallers that call at a time, so that they want more than the servers can run.
	brittleCallerGroups = 8
)

func runBrittleSchedule(t *testing.T, seed uint64, enough func(rounds int) bool) {
	s := newEntryPlatform(t, seed, entryConfig)
	for range brittleServers {
		s.startEngine("model", standin.WithStream(5, 2*brittleGap))
	}

	s.startEngine("ledger")
	s.startEntries(entryCount)
	s.awaitRecovery("start")

	for round := 0; !enough(round) && !t.Failed(); round++ {
		ctx, cancel := context.WithCancel(t.Context())

		var calling sync.WaitGroup

		for _, e := range s.engineList() {
			e.SetBrittle(&standin.Brittle{Rejections: 4, Contact: brittleContact, Down: 2 * time.Second})
		}

		first := s.startCallers(ctx)
		<-time.After(brittleContact)

		for range brittleCallerGroups - 1 {
			group := s.startCallers(ctx)
			calling.Go(group.Wait)
		}

		s.injectFailures()
		<-time.After(brittleContact)

		falls := 0

		for _, e := range s.engineList() {
			falls += len(e.Falls())
			e.SetBrittle(nil)
		}

		s.awaitRecovery(fmt.Sprint("round", round))
		cancel()
		first.Wait()
		calling.Wait()
		s.check()

		t.Logf("%d falls so far", falls)

		if most := (2 + brittleServers/10) * (round + 1); falls > most {
			t.Errorf("got %d falls in %d rounds, want at most %d", falls, round+1, most)
		}
	}
}

// TestBrittleFailures guards against hosts that make brittle servers fall over under random failures. "make soak-brittle" runs other seeds.
func TestBrittleFailures(t *testing.T) {
	if *soakSeeds == 0 {
		for _, seed := range []uint64{38, 100} {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				runBrittleSchedule(t, seed, func(rounds int) bool { return rounds == brittleRounds })
			})
		}

		return
	}

	for i := range *soakSeeds {
		seed := *soakFirst + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()

			begin := time.Now()
			runBrittleSchedule(t, seed, func(int) bool { return time.Since(begin) >= *soakDuration })
		})
	}
}
