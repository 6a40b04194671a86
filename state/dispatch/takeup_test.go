package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/dispatch"
	"github.com/apricotway/apricotway/state/origin"
)

// takeUpSite is a service of which most servers have the newer one of two software versions.
type takeUpSite struct {
	pools []*dispatch.Pool
	// older counts the take-ups that each server of the older version got.
	older map[apricotway.BackendServerID]int
}

// newTakeUpSite returns a site on which all processes have just started, so that they know no load.
func newTakeUpSite(seed uint64, processes, olderServers, newerServers int, options ...dispatch.Option) *takeUpSite {
	site := &takeUpSite{older: map[apricotway.BackendServerID]int{}}

	for i := range processes {
		pool := dispatch.New(append([]dispatch.Option{dispatch.WithRandom(rand.New(rand.NewPCG(uint64(i), seed)))}, options...)...)
		pool.SetMembers(processes, 240*time.Millisecond)

		for k := range olderServers + newerServers {
			server := apricotway.Backend{ID: apricotway.BackendServerID(fmt.Sprint("s", seed, "-", k)), Service: service, Slots: 64, Version: "v2"}
			if k < olderServers {
				server.Version = "v1"
				site.older[server.ID] = 0
			}

			pool.Update(server, start)
		}

		site.pools = append(site.pools, pool)
	}

	return site
}

// takeUp places a stream of the older version at the process i, and counts its server.
func (s *takeUpSite) takeUp(t *testing.T, now time.Time, i int) {
	t.Helper()

	send, why, _ := s.pools[i].Place(now, dispatch.Request{
		Service: service, PromptTokens: 800, AnswerTokens: 300, Remaining: 5 * time.Second, Origin: origin.At(apricotway.Lineage{Software: "v1"}),
	})
	if send == nil {
		t.Fatalf("stream of v1 at %s: got a refusal, %s; want a server", now.Sub(start), why)
	}

	if _, ok := s.older[send.Backend.ID]; !ok {
		t.Fatalf("stream of v1 at %s: got server %s of %s, want one of v1", now.Sub(start), send.Backend.ID, send.Backend.Version)
	}

	s.older[send.Backend.ID]++
}

// play lets each process take a new call every 5 ms and a take-up every 20 ms for 200 ms, before any of them has heard of the others' work. It
// returns the share of the take-ups that went to the busiest server.
func (s *takeUpSite) play(t *testing.T) (busiest float64) {
	t.Helper()

	all := 0

	for at := time.Duration(0); at < 200*time.Millisecond; at += 5 * time.Millisecond {
		for i, pool := range s.pools {
			now := start.Add(at)
			pool.Place(now, dispatch.Request{Service: service, PromptTokens: 800, AnswerTokens: 300, Remaining: 5 * time.Second})

			if at%(20*time.Millisecond) == 0 {
				s.takeUp(t, now, i)

				all++
			}
		}
	}

	most := 0
	for _, count := range s.older {
		most = max(most, count)
	}

	return float64(most) / float64(all)
}

// TestTakeUpsUseAllServersOfTheirVersion guards against processes that all send the streams which their callers take up to the same one of the
// few servers of the version that began them, after a start of all processes: the streams wait there until their callers give up.
func TestTakeUpsUseAllServersOfTheirVersion(t *testing.T) {
	const seeds = 5

	for _, c := range []struct {
		name                           string
		processes, olderServers, newer int
		options                        []dispatch.Option
		// want is the largest share of a server: the even share and what chance adds.
		want float64
	}{
		{"few of many", 71, 6, 60, nil, 0.22},
		{"few of many, speeds learned", 71, 6, 60, []dispatch.Option{dispatch.WithServerSpeeds()}, 0.22},
		{"half", 71, 30, 30, nil, 0.06},
		{"small deployment", 8, 3, 17, nil, 0.42},
		{"fewer servers than calls are compared on", 8, 2, 17, nil, 0.54},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(seeds) {
				if got := newTakeUpSite(seed, c.processes, c.olderServers, c.newer, c.options...).play(t); got > c.want {
					t.Errorf("seed %d: got %.3f of the streams on one of %d servers, want at most %.3f", seed, got, c.olderServers, c.want)
				}
			}
		})
	}
}

// TestTakeUpOfOnlyServerOfItsVersion guards against a stream that is refused by chance although a server of its version is there.
func TestTakeUpOfOnlyServerOfItsVersion(t *testing.T) {
	site := newTakeUpSite(1, 71, 1, 60)
	if got := site.play(t); got != 1 {
		t.Errorf("got %.3f of the streams on the only server of their version, want all", got)
	}
}
