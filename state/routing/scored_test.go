package routing

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/apricotway/apricotway"
	_ "github.com/apricotway/apricotway/internal/fixedseed"
)

var testStart = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func engines(n int) []apricotway.BackendServer {
	list := make([]apricotway.BackendServer, n)
	for i := range list {
		list[i] = apricotway.BackendServer{ID: apricotway.BackendServerID("e" + strconv.Itoa(i)), Service: "m"}
	}

	return list
}

func promptWork(prompt string) Work {
	return Work{
		Service: "m", Prompt: prompt, PromptTokens: apricotway.EstimateTokens(prompt), MaxTokens: 100,
		Blocks: apricotway.PrefixBlocks(nil, prompt),
	}
}

// stream runs an attempt with the given time between its tokens and returns the time at which it ends.
func stream(p Policy, now time.Time, server apricotway.BackendServerID, id string, work Work, interval time.Duration, tokens int) time.Time {
	attempt := apricotway.AttemptID(id)
	p.Started(now, server, attempt, work)

	for range tokens {
		now = now.Add(interval)
		p.Token(now, server, attempt, 1)
	}

	p.Ended(now, server, attempt, OutcomeFinished)

	return now
}

// trainedPolicy returns a policy that has observed 40 tokens from each engine, and the time after that.
func trainedPolicy(servers []apricotway.BackendServer, options ...ScoredOption) (*Scored, time.Time) {
	s := NewScored(options...)
	now := testStart
	s.Choose(now, promptWork("x"), servers)

	for i := range servers {
		stream(s, now, servers[i].ID, "teach"+strconv.Itoa(i), promptWork("x"), 10*time.Millisecond, 40)
	}

	return s, now.Add(400 * time.Millisecond)
}

// A process without observations must spread its requests; the first engine must not get all of them.
func TestScoredSpreadsFromTheStart(t *testing.T) {
	servers, s := engines(4), NewScored()
	started := make([]int, len(servers))

	for i := range 12 {
		index := s.Choose(testStart, promptWork("x"), servers)
		started[index]++
		s.Started(testStart, servers[index].ID, apricotway.AttemptID(strconv.Itoa(i)), promptWork("x"))
	}

	for i, got := range started {
		if got != 3 {
			t.Errorf("engine %d: got %d requests, want 3", i, got)
		}
	}
}

// Work whose prefix is in the cache of an engine must go there; otherwise every engine would prefill it again.
func TestScoredFollowsPrefix(t *testing.T) {
	servers := engines(10)
	s, now := trainedPolicy(servers)
	work := promptWork(strings.Repeat("history ", 400))

	s.Started(now, servers[7].ID, "a", work)
	s.Ended(now, servers[7].ID, "a", OutcomeFinished)

	if got := s.Choose(now, work, servers); got != 7 {
		t.Errorf("got engine %d, want 7, which holds the prefix", got)
	}

	s.Cached(now, servers[7].ID, []apricotway.CacheEvent{{Sequence: 1, Kind: apricotway.CacheEvicted, Block: work.Blocks[0]}})
	s.Cached(now, servers[2].ID, []apricotway.CacheEvent{{Sequence: 9, Kind: apricotway.CacheStored, Block: work.Blocks[0]}})

	if got := s.Choose(now, work, servers); got != 2 {
		t.Errorf("after the events: got engine %d, want 2", got)
	}
}

// Two processes that do not know of each other must send a prefix that is in no cache to the same engine.
func TestScoredMeetsAtHome(t *testing.T) {
	servers := engines(10)
	a, now := trainedPolicy(servers)
	b, _ := trainedPolicy(servers)

	used := map[int]bool{}

	for i := range 40 {
		work := promptWork(strings.Repeat(fmt.Sprintf("prefix %d ", i), 100))

		got, want := a.Choose(now, work, servers), b.Choose(now, work, servers)
		if got != want {
			t.Errorf("prefix %d: got engine %d, want %d as in the other process", i, got, want)
		}

		used[got] = true
	}

	if len(used) < 7 {
		t.Errorf("got %d engines in use, want the prefixes spread over the engines", len(used))
	}
}

// An engine that slows down must lose its traffic within 1 s and get it back after probes show its recovery.
func TestScoredAvoidsSlowEngine(t *testing.T) {
	servers := engines(4)
	s, now := trainedPolicy(servers)

	for i := range servers {
		s.Started(now, servers[i].ID, apricotway.AttemptID("s"+strconv.Itoa(i)), promptWork("x"))
	}

	// One second of streams; the first engine is four times slower.
	for tick := range 100 {
		now = now.Add(10 * time.Millisecond)
		for i := range servers {
			if i > 0 || tick%4 == 0 {
				s.Token(now, servers[i].ID, apricotway.AttemptID("s"+strconv.Itoa(i)), 1)
			}
		}
	}

	for i := range servers {
		s.Ended(now, servers[i].ID, apricotway.AttemptID("s"+strconv.Itoa(i)), OutcomeFinished)
	}

	for range 20 {
		if got := s.Choose(now, promptWork("x"), servers); got == 0 {
			t.Fatal("the slow engine was chosen")
		}
	}

	if got := s.Probes(now); len(got) != 0 {
		t.Errorf("got probes of %v, want none right after a token", got)
	}

	for round := 0; len(s.Probes(now.Add(time.Second))) > 0; round++ {
		if round > 20 {
			t.Fatal("probes at the usual speed did not bring the engine back")
		}

		now = stream(s, now.Add(time.Second), servers[0].ID, "p"+strconv.Itoa(round), Work{}, 10*time.Millisecond, 4)
	}

	for i := 1; i < len(servers); i++ {
		s.Started(now, servers[i].ID, apricotway.AttemptID("busy"+strconv.Itoa(i)), promptWork("x"))
	}

	if got := s.Choose(now, promptWork("x"), servers); got != 0 {
		t.Errorf("got engine %d, want 0, which has recovered and is idle", got)
	}
}

// A hanging engine sends no tokens from which its pace could be computed; it must lose its traffic nevertheless.
func TestScoredAvoidsSilentEngine(t *testing.T) {
	servers := engines(4)
	s, now := trainedPolicy(servers)

	s.Started(now, servers[0].ID, "hung", promptWork("x"))
	s.Token(now.Add(10*time.Millisecond), servers[0].ID, "hung", 1)

	now = now.Add(time.Second)
	for i := 1; i < len(servers); i++ {
		s.Started(now, servers[i].ID, apricotway.AttemptID("a"+strconv.Itoa(i)), promptWork("x"))
	}

	if got := s.Choose(now, promptWork("x"), servers); got == 0 {
		t.Error("the silent engine was chosen")
	}

	if !s.WorthHedging(now, "hung") {
		t.Error("got not stuck, want the attempt on the silent engine to be worth a hedge")
	}
}

// Long work must not take the slots reserved for short work while another engine has budget left.
func TestScoredLongBudget(t *testing.T) {
	servers := engines(2)
	s, now := trainedPolicy(servers)
	// The first report shows the number of slots, the second that no other process uses the engine.
	s.Reported(now, servers[0].ID, apricotway.LoadReport{Running: 4, Waiting: 1, Time: now.Add(-2 * time.Second)})
	s.Reported(now, servers[0].ID, apricotway.LoadReport{Time: now.Add(-time.Second)})

	long := promptWork(strings.Repeat("log ", 5000))
	long.MaxTokens = 10000

	for i := range 3 {
		s.Started(now, servers[0].ID, apricotway.AttemptID("long"+strconv.Itoa(i)), long)
	}

	for i := range 7 {
		s.Started(now, servers[1].ID, apricotway.AttemptID("short"+strconv.Itoa(i)), promptWork("x"))
	}

	if got := s.Choose(now, long, servers); got != 1 {
		t.Errorf("got engine %d, want 1: the budget of engine 0 is spent", got)
	}

	if got := s.Choose(now, promptWork("x"), servers); got != 0 {
		t.Errorf("got engine %d for short work, want 0, which has a free slot", got)
	}
}

// The announcements of peers must count, but not for ever when the peer is gone.
func TestScoredCountsPeers(t *testing.T) {
	servers := engines(2)
	s, now := trainedPolicy(servers)
	s.PeerShares(now, "peer", []Share{{Server: servers[0].ID, Attempts: 5, Decode: 100}})

	for range 5 {
		if got := s.Choose(now, promptWork("x"), servers); got != 1 {
			t.Fatalf("got engine %d, want 1: a peer uses engine 0", got)
		}
	}

	s.Started(now, servers[1].ID, "own", promptWork("x"))

	if got := s.Choose(now.Add(2*PeerLifetime), promptWork("x"), servers); got != 0 {
		t.Errorf("got engine %d, want 0: the announcement is out of date", got)
	}
}

// An engine that failed a request must not get it again while another is left, whatever its score.
func TestPoliciesRespectExclusion(t *testing.T) {
	servers := engines(3)
	scored, now := trainedPolicy(servers)

	for name, policy := range map[string]Policy{
		"scored": scored, "round robin": NewRoundRobin(), "least reported": NewLeastReported(1),
		"two choices": NewTwoChoices(1), "prefix hash": NewPrefixHash(), "hot-cold": NewHotCold(1),
		"oracle": NewOracle(func(time.Time, Work, apricotway.BackendServerID) time.Duration { return 0 }),
	} {
		work := promptWork(strings.Repeat("a ", 300))
		work.Excluded = []apricotway.BackendServerID{servers[0].ID, servers[2].ID}

		for range 20 {
			policy.Reported(now, servers[0].ID, apricotway.LoadReport{Time: now})

			if got := policy.Choose(now, work, servers); got != 1 {
				t.Errorf("%s: got engine %d, want 1, the only one that is not excluded", name, got)
			}
		}

		if got := policy.Choose(now, work, servers[:1]); got != 0 {
			t.Errorf("%s: got %d, want the excluded engine when no other is left", name, got)
		}

		if got := policy.Choose(now, work, nil); got != -1 {
			t.Errorf("%s: got %d without candidates, want -1", name, got)
		}
	}
}

// For any order of events, the own work must be zero once every attempt has ended; a leak would keep an engine out of use
// for ever.
func TestScoredKeepsNoWork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers := engines(3)
		s := NewScored()
		now := testStart
		running := map[apricotway.AttemptID]apricotway.BackendServerID{}
		next := 0

		s.Choose(now, promptWork("x"), servers)

		t.Repeat(map[string]func(*rapid.T){
			"start": func(t *rapid.T) {
				work := promptWork(strings.Repeat("b", rapid.IntRange(1, 2000).Draw(t, "bytes")))
				server := servers[s.Choose(now, work, servers)].ID
				id := apricotway.AttemptID(strconv.Itoa(next))
				next++
				running[id] = server
				s.Started(now, server, id, work)
			},
			"token": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
				if id, ok := pick(t, running); ok {
					s.Token(now, running[id], id, rapid.IntRange(1, 200).Draw(t, "count"))
				}
			},
			"end": func(t *rapid.T) {
				if id, ok := pick(t, running); ok {
					s.Ended(now, running[id], id, rapid.SampledFrom([]Outcome{OutcomeFinished, OutcomeFailed}).Draw(t, "outcome"))
					delete(running, id)
				}
			},
		})

		for id, server := range running {
			s.Ended(now, server, id, OutcomeCancelled)
		}

		for _, e := range s.list {
			if l := e.own; l.attempts != 0 || l.long != 0 || e.decoding != 0 || l.decode > 1e-6 || l.decode < -1e-6 ||
				l.prefill > 1e-6 || l.prefill < -1e-6 {
				t.Fatalf("engine %s: got %+v and %d streams, want none", e.id, l, e.decoding)
			}
		}
	})
}

// pick draws one of the running attempts. It sorts them first, so that the choice depends only on the seed.
func pick(t *rapid.T, running map[apricotway.AttemptID]apricotway.BackendServerID) (apricotway.AttemptID, bool) {
	if len(running) == 0 {
		return "", false
	}

	return rapid.SampledFrom(slices.Sorted(maps.Keys(running))).Draw(t, "attempt"), true
}

// A decision must not allocate: the garbage of thousands of decisions a second would delay requests.
func TestChooseDoesNotAllocate(t *testing.T) {
	s, now, work, servers := choiceInputs(120)

	if got := testing.AllocsPerRun(100, func() { s.Choose(now, work, servers) }); got != 0 {
		t.Errorf("got %v allocations for a decision, want 0", got)
	}
}

func choiceInputs(count int) (*Scored, time.Time, Work, []apricotway.BackendServer) {
	servers := engines(count)
	s, now := trainedPolicy(servers)
	work := promptWork(strings.Repeat("shared prefix of a workspace ", 300))

	for i := range count / 3 {
		s.Started(now, servers[3*i].ID, apricotway.AttemptID("a"+strconv.Itoa(i)), work)
	}

	s.PeerShares(now, "peer", nil)

	return s, now, work, servers
}

func BenchmarkChoose(b *testing.B) {
	for _, count := range []int{12, 40, 120} {
		b.Run(strconv.Itoa(count), func(b *testing.B) {
			s, now, work, servers := choiceInputs(count)
			b.ReportAllocs()

			for b.Loop() {
				s.Choose(now, work, servers)
			}
		})
	}
}
