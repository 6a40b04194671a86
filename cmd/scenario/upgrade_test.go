package scenario

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"regexp"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/apricotway/apricotway/cmd/internal/faultproxy"
	"github.com/apricotway/apricotway/platform/standin"
)

var (
	upgradeProduction = flag.String("upgrade.production", "", "program of the production build; empty for no upgrade")
	upgradePresent    = flag.String("upgrade.present", "", "program of the present build")
	upgradeTrouble    = flag.Bool("upgrade.trouble", false, "kill processes, and let store, hosts and links fail between the steps")
)

const (
	upgradeHosts = 5
	// presentName is the name of this build.
	presentName = "present"
	// upgradeGap is the time between two steps, in which trouble begins and ends.
	upgradeGap = 3 * time.Second
	// upgradeRevocation is the revocation time of keys that the hosts have by default.
	upgradeRevocation = 5 * time.Second
	// upgradeTries is the number of hosts that a caller tries with one call, and upgradeTimeout its patience over all.
	upgradeTries   = 5
	upgradeTimeout = 4 * time.Second
	// The limit of a workspace over all hosts; its callers ask for several times as much. The operators' rule grants quotaOver more.
	upgradeRate  = 6
	upgradeBurst = 6
	quotaOver    = 0.25
	quotaSlack   = 5

	upgradeConfig = `{"version":%%d,"routes":[
{"name":"chat","host":"h.example","path_prefix":"/chat/","kind":"streaming","timeout_ms":8000,"target_latency_ms":500,"gap_aim_ms":400,
"service":"model","max_attempts":3,"resumable":true},
{"name":"book","host":"h.example","path_prefix":"/book/","kind":"unsafe","timeout_ms":3000,"service":"ledger","max_attempts":1},
{"name":"look","host":"h.example","path_prefix":"/look/","kind":"safe","timeout_ms":3000,"service":"ledger","max_attempts":2}],
"services":[{"name":"model","engine":{"slots":64,"kv_capacity":1000000}},{"name":"ledger"}],"limits":{"max_body_bytes":10000},
"tenants":[{"name":"w","api_keys":["secret"]},{"name":"l","api_keys":["limited"],"rate_per_s":6,"burst":6},
{"name":"r","api_keys":["rotated-%d"]}]}`
)

// build is one of the two builds, by the name that its processes have in their logs.
type build struct{ name, program string }

// upgradeSystem is a system whose hosts are replaced one after the other by those of another build.
type upgradeSystem struct {
	*versionSystem

	began time.Time

	mu sync.Mutex
	// lost counts the calls that no host answered, by path; refused those of them that only got refusals. broken counts unsafe calls that were
	// sent and not answered, which their caller may not send again.
	sent, lost, refused, broken map[string]int
	// rotated holds the time of the confirmation of the configuration with each key, by its number, and outlived counts the calls that were
	// answered with a key after its end.
	rotated  []time.Time
	outlived int
	// granted holds the times of the answers to the limited workspace.
	granted []time.Time
	// ends holds the times at which processes were told to end, by the beginnings of their names.
	ends map[string]time.Time
	// planned counts the steps in which a process was stopped as planned, and killed those in which it was killed.
	planned, killed int
}

func newUpgradeSystem(t *testing.T, seed uint64, from build) *upgradeSystem {
	s := &upgradeSystem{
		versionSystem: &versionSystem{entrySystem: newEntryPlatform(t, seed, fmt.Sprintf(upgradeConfig, 0)), gap: versionGap}, began: time.Now(),
		sent: map[string]int{}, lost: map[string]int{}, refused: map[string]int{}, broken: map[string]int{}, rotated: []time.Time{time.Now()},
		ends: map[string]time.Time{},
	}
	s.retrySlack, s.patience = 1000, 3*time.Second
	s.startVersion("v1", 3)
	s.startEngine("ledger", standin.WithSlots(64), standin.WithWork(30*time.Millisecond))
	s.startEngine("ledger", standin.WithSlots(64), standin.WithWork(30*time.Millisecond))

	s.startEntriesOf(upgradeHosts, func(e *entryProgram) { s.become(e, from) })

	return s
}

// become writes the settings of a host so that its next process is one of a build.
func (s *upgradeSystem) become(e *entryProgram, next build) {
	content, err := os.ReadFile(e.settings)
	if err != nil {
		s.t.Fatal(err)
	}

	// The name of a process tells its build in the logs.
	name, _, _ := strings.Cut(e.name, ".")
	named := name + "." + next.name
	content = []byte(strings.Replace(string(content), fmt.Sprintf(`"node": %q`, e.name), fmt.Sprintf(`"node": %q`, named), 1))

	// Builds up to 9e21fd9 end at keys that they don't know. The hosts of this scenario listen where they are reached.
	content = regexp.MustCompile(`"advertisedPeers": "[^"]*", `).ReplaceAll(content, nil)

	if err := os.WriteFile(e.settings, content, 0o600); err != nil {
		s.t.Fatal(err)
	}

	e.name, e.program = named, next.program
}

// rotate publishes a configuration with another key, which takes the last one away.
func (s *upgradeSystem) rotate() {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.config = fmt.Sprintf(upgradeConfig, len(s.rotated))
	s.publish()
	s.rotated = append(s.rotated, time.Now())
}

// replace ends the process of a host and starts one of another build.
func (s *upgradeSystem) replace(e *entryProgram, next build, signal syscall.Signal) {
	if signal == syscall.SIGKILL {
		s.killed++
	} else {
		s.planned++
	}

	s.ends[e.name+"-"] = time.Now()
	e.end(signal)
	s.become(e, next)
	s.start(e)
}

// try sends a call to hosts in turn until one answers it. An unsafe call is sent again only if it has not run.
func (s *upgradeSystem) try(ctx context.Context, client *http.Client, random *rand.Rand, name, path, key string) (status int) {
	ctx, cancel := context.WithTimeout(ctx, upgradeTimeout)
	defer cancel()

	refused := false

	for n := 0; n < upgradeTries && ctx.Err() == nil; n++ {
		call := standin.Call{
			Address: s.entries[random.IntN(len(s.entries))].callers, Host: "h.example", Path: path, Attempt: fmt.Sprintf("%s-%d", name, n),
			Key: key,
		}
		ok, unsent, last := s.once(ctx, client, call)

		if ok || last == http.StatusUnauthorized || last == http.StatusTooManyRequests {
			return last
		}

		refused = last == http.StatusServiceUnavailable

		if path == "/book/x" && !unsent && !refused {
			s.count(s.broken, path)
			return 0
		}

		<-time.After(50 * time.Millisecond)
	}

	s.count(s.lost, path)

	if refused {
		s.count(s.refused, path)
	}

	return 0
}

// once sends one attempt. unsent reports whether no connection was made.
func (s *upgradeSystem) once(ctx context.Context, client *http.Client, c standin.Call) (ok, unsent bool, status int) {
	s.entrySystem.mu.Lock()
	before := len(s.answers)
	s.entrySystem.mu.Unlock()

	ok = s.send(ctx, client, c)

	s.entrySystem.mu.Lock()
	defer s.entrySystem.mu.Unlock()

	for _, a := range s.answers[before:] {
		if a.attempt == c.Attempt {
			return ok, a.err != nil && strings.Contains(a.err.Error(), "connection refused"), a.status
		}
	}

	return ok, false, 0
}

func (s *upgradeSystem) count(counts map[string]int, path string) {
	s.mu.Lock()
	defer s.mu.Unlock()

	counts[path]++
}

// repeat calls a function on a period until the context ends, each call in a goroutine of its own and with a context that does not end then.
func (s *upgradeSystem) repeat(
	ctx context.Context, group *sync.WaitGroup, period time.Duration, call func(ctx context.Context, n int, random *rand.Rand),
) {
	seed := s.random.Uint64()

	group.Go(func() {
		for n, ticker := 0, time.NewTicker(period); ; n++ {
			select {
			case <-ctx.Done():
				ticker.Stop()
				return
			case <-ticker.C:
				group.Go(func() { call(context.WithoutCancel(ctx), n, rand.New(rand.NewPCG(seed, uint64(n)))) })
			}
		}
	})
}

// startUpgradeCallers starts the callers of all kinds.
func (s *upgradeSystem) startUpgradeCallers(ctx context.Context) *sync.WaitGroup {
	var group sync.WaitGroup

	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

	for path, period := range map[string]time.Duration{"/book/x": 60 * time.Millisecond, "/look/x": 60 * time.Millisecond} {
		s.repeat(ctx, &group, period, func(ctx context.Context, n int, random *rand.Rand) {
			s.count(s.sent, path)
			s.try(ctx, client, random, fmt.Sprintf("%s-%d", path[1:5], n), path, "secret")
		})
	}

	s.repeat(ctx, &group, 40*time.Millisecond, func(ctx context.Context, n int, random *rand.Rand) {
		if s.try(ctx, client, random, fmt.Sprint("limited-", n), "/look/x", "limited") == http.StatusOK {
			s.mu.Lock()
			s.granted = append(s.granted, time.Now())
			s.mu.Unlock()
		}
	})

	s.repeat(ctx, &group, 100*time.Millisecond, func(ctx context.Context, n int, random *rand.Rand) {
		s.mu.Lock()
		newest := len(s.rotated) - 1
		key := max(newest-random.IntN(3), 0)
		s.mu.Unlock()

		sent := time.Now()
		status := s.try(ctx, client, random, fmt.Sprint("rotated-", n), "/look/x", fmt.Sprint("rotated-", key))

		s.mu.Lock()
		defer s.mu.Unlock()

		if status == http.StatusOK && key+1 < len(s.rotated) && sent.Sub(s.rotated[key+1]) > upgradeRevocation {
			s.outlived++
		}
	})

	return &group
}

// trouble lets something fail, and heals it before it returns.
func (s *upgradeSystem) trouble() {
	e := s.entries[s.random.IntN(len(s.entries))]

	switch s.random.IntN(5) {
	case 0:
		for _, e := range s.entries {
			e.link.Set(faultproxy.Fault{Target: s.store, Cut: faultproxy.Both})
		}

		<-time.After(time.Second)

		for _, e := range s.entries {
			e.link.Set(faultproxy.Fault{Target: s.store})
		}
	case 1:
		s.restore(300*time.Millisecond, time.Duration(1+s.random.IntN(4))*time.Second)
	case 2:
		e.link.Set(faultproxy.Fault{Target: s.store, Cut: faultproxy.Both})
		<-time.After(time.Duration(1000+s.random.IntN(3000)) * time.Millisecond)
		e.link.Set(faultproxy.Fault{Target: s.store})
	case 3:
		process := e.command.Process
		_ = process.Signal(syscall.SIGSTOP) // The process may have ended already.
		<-time.After(time.Duration(1000+s.random.IntN(3000)) * time.Millisecond)
		_ = process.Signal(syscall.SIGCONT)
	default:
	}
}

// upgradeLog is what the logs of the hosts tell.
type upgradeLog struct {
	// results counts the ended calls by build and result, claims the claims of the duties by build.
	results map[string]map[string]int
	claims  map[string]int
	// inTurn counts the claims of a process after one of another one that followed one of its own. It doesn't count if the other one was told
	// to end in between, as then somebody has to claim.
	inTurn int
	// skipped holds the windows that a holder skipped, and reporters the build of the holder that reported a window.
	skipped   map[int64]bool
	reporters map[int64]string
	// unknown holds the lines about what a process did not know.
	unknown []string
}

func (s *upgradeSystem) readLogs() upgradeLog {
	type line struct {
		Event   int
		TS      float64
		Node    string
		Result  string
		Window  int64
		Skipped int64
	}

	log := upgradeLog{results: map[string]map[string]int{}, claims: map[string]int{}, skipped: map[int64]bool{}, reporters: map[int64]string{}}

	var claims []line

	for _, e := range s.entries {
		content, err := os.ReadFile(e.settings + ".log")
		if err != nil {
			s.t.Error(err)
		}

		for text := range strings.Lines(string(content)) {
			var l line
			if json.Unmarshal([]byte(text), &l) != nil {
				s.t.Errorf("%s: got %q, want lines of the log only", e.name, text)
				continue
			}

			_, build, _ := strings.Cut(l.Node, ".")
			build, _, _ = strings.Cut(build, "-")

			switch l.Event {
			case 351:
				if log.results[build] == nil {
					log.results[build] = map[string]int{}
				}

				log.results[build][l.Result]++
			case 292:
				claims = append(claims, l)
				log.claims[build]++
			case 363:
				for window := l.Window - l.Skipped; window < l.Window; window++ {
					log.skipped[window] = true
				}
			case 297:
				log.reporters[l.Window] = build
			case 111, 121, 123, 246, 294, 362, 376, 378:
				log.unknown = append(log.unknown, text)
			}
		}
	}

	slices.SortFunc(claims, func(a, b line) int {
		if a.TS < b.TS {
			return -1
		}

		return 1
	})

	for i := 2; i < len(claims); i++ {
		if claims[i].Node == claims[i-2].Node && claims[i].Node != claims[i-1].Node && !s.ended(claims[i-1].Node, claims[i].TS) {
			log.inTurn++
		}
	}

	return log
}

// resumedBy returns the build of the holder that reported the first window after one that is in no report.
func (l *upgradeLog) resumedBy(window, last int64) string {
	for ; window <= last; window++ {
		if build, ok := l.reporters[window]; ok {
			return build
		}
	}

	return ""
}

// ended reports whether a process was told to end before a time.
func (s *upgradeSystem) ended(node string, before float64) bool {
	for name, at := range s.ends {
		if strings.HasPrefix(node, name) && float64(at.UnixNano())/float64(time.Second) < before {
			return true
		}
	}

	return false
}

// overGranted returns by how many requests the largest span of a few seconds is above what the operators' rule allows the limited workspace.
func (s *upgradeSystem) overGranted() (over int) {
	const span = 4 * time.Second

	allowed := int((upgradeRate*span.Seconds()+upgradeBurst)*(1+quotaOver)) + quotaSlack
	slices.SortFunc(s.granted, time.Time.Compare)

	for i, first := range s.granted {
		end := i
		for end < len(s.granted) && s.granted[end].Sub(first) < span {
			end++
		}

		over = max(over, end-i-allowed)
	}

	return over
}

// checkAnswers compares the answers that callers got with the runs at the engines.
func (s *upgradeSystem) checkAnswers() {
	s.t.Helper()

	runs := map[string]int{}

	for _, e := range s.engines {
		for attempt, count := range e.RunsByAttempt() {
			runs[attempt] += count
		}
	}

	for _, a := range s.answers {
		refused := a.status == http.StatusTooManyRequests || a.status == http.StatusServiceUnavailable

		switch {
		case a.path == "/book/x" && runs[a.attempt] > 1:
			s.t.Errorf("attempt %s: got %d runs, want at most 1", a.attempt, runs[a.attempt])
		case refused && runs[a.attempt] > 0:
			s.t.Errorf("attempt %s: got status %d and %d runs, want none", a.attempt, a.status, runs[a.attempt])
		case a.status == http.StatusOK && a.path != "/chat/x" && a.body != "POST "+a.path+" ":
			s.t.Errorf("attempt %s: got body %q, want that of the server", a.attempt, a.body)
		case a.status == http.StatusNotFound || a.status == http.StatusBadRequest,
			a.status == http.StatusUnauthorized && !strings.HasPrefix(a.attempt, "rotated-"):
			s.t.Errorf("attempt %s: got status %d (%s), want none of these for a valid call", a.attempt, a.status, a.body)
		}
	}
}

// checkUpgrade checks the rules, and logs the figures of the run.
func (s *upgradeSystem) checkUpgrade(fromWindow, toWindow int64) {
	s.t.Helper()

	log := s.readLogs()
	usage, conflicts := s.platform.Usage()

	missing, unnamed, unexplained := 0, 0, 0

	for window := fromWindow; window <= toWindow; window++ {
		if _, ok := usage[window]; ok {
			continue
		}

		missing++

		// Builds up to 9e21fd9 don't name all windows that they skip.
		switch {
		case log.skipped[window]:
		case log.resumedBy(window, toWindow) == "production":
			unnamed++
		default:
			unexplained++
		}
	}

	var begun, whole, joined, takenUp int

	for _, stream := range s.streams {
		if stream.begun {
			begun++
		}

		if stream.complete {
			whole++
		}

		if stream.takenUp {
			takenUp++
		}

		if len(stream.versions) > 1 {
			joined++
		}
	}

	s.t.Logf("%d planned stops, %d kills; plain calls sent %v, lost %v (of these refused %v), unsafe without an answer %v; "+
		"%d streams, %d began, %d whole, %d taken up, %d joined; %d windows, %d missing (%d of them named nowhere by the production build, %d by this one), %d with two counts; "+
		"%d answers with revoked keys; %d granted to the limited workspace, %d over; claims %v, %d in turn; results %v; unknown %d",
		s.planned, s.killed, s.sent, s.lost, s.refused, s.broken, len(s.streams), begun, whole, takenUp, joined,
		toWindow-fromWindow+1, missing, unnamed, unexplained, conflicts, s.outlived, len(s.granted), max(s.overGranted(), 0), log.claims, log.inTurn,
		log.results, len(log.unknown))

	for _, line := range log.unknown[:min(len(log.unknown), 5)] {
		s.t.Log(line)
	}

	for what, count := range map[string]int{
		"streams of two versions": joined, "windows with two counts": conflicts, "answers with revoked keys": s.outlived,
		"requests over the limit": s.overGranted(), "claims in turn": log.inTurn, "windows neither reported nor skipped": unexplained,
	} {
		if count > 0 {
			s.t.Errorf("got %d %s, want none", count, what)
		}
	}

	// Without trouble each call is served.
	if !*upgradeTrouble {
		for what, counts := range map[string]map[string]int{"lost": s.lost, "broken off": s.broken} {
			if len(counts) > 0 {
				s.t.Errorf("got calls %s %v, want none", what, counts)
			}
		}

		if whole < len(s.streams) {
			s.t.Errorf("got %d of %d streams whole, want all", whole, len(s.streams))
		}

		if missing > 0 {
			s.t.Errorf("got %d windows without a report, want none", missing)
		}
	}
}

func runUpgrade(t *testing.T, seed uint64, steps []build, from build) {
	s := newUpgradeSystem(t, seed, from)
	s.awaitServing()

	ctx, cancel := context.WithCancel(t.Context())
	groups := []*sync.WaitGroup{s.callers(ctx), s.startUpgradeCallers(ctx)}
	fromWindow := windowAt(time.Now()) + 1

	order := s.random.Perm(len(s.entries))

	for i, next := range steps {
		<-time.After(upgradeGap)
		s.rotate()

		// Engines of a second software version serve during a part of the roll-out.
		if i == 1 {
			s.startVersion("v2", 3)
		}

		signal := syscall.SIGTERM

		if *upgradeTrouble {
			s.trouble()

			if s.random.IntN(2) == 0 {
				signal = syscall.SIGKILL
			}
		}

		e := s.entries[order[host(i, len(steps), len(order))]]
		s.replace(e, next, signal)

		if !*upgradeTrouble && next.name == presentName {
			s.awaitRollout(e)
		}
	}

	<-time.After(upgradeGap)
	s.rotate()
	<-time.After(upgradeRevocation + upgradeGap)

	toWindow := windowAt(time.Now()) - 1
	s.awaitWindow(toWindow)
	cancel()

	for _, group := range groups {
		group.Wait()
	}

	s.checkAnswers()
	s.checkUpgrade(fromWindow, toWindow)
}

// awaitRollout waits until a process of this build shows how many processes run it, as the others announce it through the older ones.
func (s *upgradeSystem) awaitRollout(e *entryProgram) {
	s.t.Helper()

	want := 0

	for _, other := range s.entries {
		if strings.HasSuffix(other.name, "."+presentName) {
			want++
		}
	}

	for end := time.Now().Add(recoverTime); ; <-time.After(100 * time.Millisecond) {
		var shown struct {
			Build   string
			Members []struct{ Build string }
		}

		output, err := exec.Command("apricotctl", "rollout", "--json", "--operator", e.operatorAddress(s.t).String()).Output()
		if err == nil {
			err = json.Unmarshal(output, &shown)
		}

		got := 0

		for _, m := range shown.Members {
			if m.Build == shown.Build {
				got++
			}
		}

		if err == nil && got == want && len(shown.Members) == len(s.entries) {
			return
		}

		if time.Now().After(end) {
			s.t.Fatalf("got %v and %+v, want %d of %d processes of this build", err, shown, want, len(s.entries))
		}
	}
}

// host returns the place of the host that a step replaces. A roll-out that is rolled back half way takes the same hosts, the last one first.
func host(step, steps, hosts int) int {
	if steps > hosts && step >= steps/2 {
		return steps - 1 - step
	}

	return step
}

// awaitWindow waits until a window or a later one is reported, for reportTime at most.
func (s *upgradeSystem) awaitWindow(window int64) {
	for end := time.Now().Add(reportTime); time.Now().Before(end); <-time.After(50 * time.Millisecond) {
		if usage, _ := s.platform.Usage(); len(usage) > 0 && slices.Max(slices.Collect(maps.Keys(usage))) >= window {
			return
		}
	}
}

// TestUpgrade guards against broken rules while processes of the production build and of this one run side by side: hosts are replaced one
// after the other, in both directions and rolled back half way. "make upgrade" runs it; it needs the programs of both builds.
func TestUpgrade(t *testing.T) {
	if *upgradeProduction == "" {
		t.Skip("no production build given; see make upgrade")
	}

	production, present := build{"production", *upgradeProduction}, build{presentName, *upgradePresent}

	directions := map[string]struct {
		from  build
		steps []build
	}{
		"up":   {production, slices.Repeat([]build{present}, upgradeHosts)},
		"down": {present, slices.Repeat([]build{production}, upgradeHosts)},
		"back": {production, append(slices.Repeat([]build{present}, upgradeHosts/2+1), slices.Repeat([]build{production}, upgradeHosts/2+1)...)},
	}

	for seed := range uint64(max(*soakSeeds, 1)) {
		seed += *soakFirst

		for name, direction := range directions {
			t.Run(fmt.Sprint(name, "/", seed), func(t *testing.T) {
				t.Parallel()
				runUpgrade(t, seed, direction.steps, direction.from)
			})
		}
	}
}
