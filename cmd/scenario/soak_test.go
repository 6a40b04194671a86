package scenario

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/cmd/internal/faultproxy"
)

var (
	soakSeeds    = flag.Int("soak.seeds", 0, "number of random schedules; 0 runs the fixed seeds of CI")
	soakFirst    = flag.Uint64("soak.first", 1000, "seed of the first random schedule")
	soakDuration = flag.Duration("soak.duration", time.Minute, "least duration of each random schedule")
)

const (
	soakRounds = 4
	soakTokens = 500
	// soakTimeout is the timeout in the header of a call with a key. At its end the process responds that the outcome is unknown.
	soakTimeout = "3s"
	// lateKeys is the number of keys that each process receives for the first time after the failures were detected. With 8 of
	// them most of the 16 shards change their owner.
	lateKeys = 8
	// soakLag is the delay of each response of a slow log in milliseconds.
	soakLag  = 300
	soakSpec = `{"schemaVersion": 1, "kind": %q, "id": %q, "payload": {"object": %q, "replaces": %d, "spec": %s}}`
)

var (
	// fixedSeeds are the seeds that run by default, as in CI. TestFixedSeeds checks that their schedules contain every failure.
	fixedSeeds = []uint64{252, 451}
	entryZones = []string{"a", "b", "c"}
)

func newRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 0)) }

// program is a running process with the fields that it printed at its start.
type program struct {
	*process

	name, zone string
	fields     map[string]string
	// proxy carries the traffic of an entry process: its links "peers" and "probes" lead to the process, its link "log" from
	// the process to the log service.
	proxy *program
}

// system is a system under test, which consists of real processes, with the records of its run.
type system struct {
	t             *testing.T
	directory     string
	probeKey      string
	random        *rand.Rand
	log, hosts    *program
	ledger        *program
	entries       []*program
	engines       []*program
	count         int
	configuration int64
	seed          uint64
	logDown       bool
	// mu guards the fields below.
	mu      sync.Mutex
	records records
}

func (s *system) start(name, zone string, line ...string) *program {
	s.count++
	n := &program{name: fmt.Sprintf("%s%d", name, s.count), zone: zone}

	var err error

	n.process, n.fields, err = launch(s.directory, n.name, os.Environ(), line)
	if n.process != nil {
		s.t.Cleanup(n.kill)
	}

	if err != nil {
		s.t.Fatal(err)
	}

	return n
}

func (n *program) address() string { return n.fields[""] }

func (s *system) startEntry(zone string) {
	seeds := []string{}
	for _, entry := range s.entries {
		seeds = append(seeds, entry.proxy.fields["peers"])
	}

	proxy := s.start("proxy", zone, "apricotctl", "standin", "proxy", "--link", "peers:tcp", "--link", "probes:udp", "--link", "log:tcp")
	s.link(proxy, "log", faultproxy.Fault{Target: netip.MustParseAddrPort(s.log.address())})

	listed, _ := json.Marshal(seeds)
	file := filepath.Join(s.directory, fmt.Sprintf("entry%d.jsonc", s.count))
	settings := fmt.Sprintf(`{"region": "makedonia", "zone": %q, "seeds": %s, "probeKey": %q,
		"listen": {"callers": "127.0.0.1:0", "peers": "127.0.0.1:0", "probes": "127.0.0.1:0", "operator": "127.0.0.1:0"},
		"advertise": {"peers": %q, "probes": %q}, "platform": {"log": %q, "hosts": %q}}`, zone, listed, s.probeKey,
		proxy.fields["peers"], proxy.fields["probes"], proxy.fields["log"], s.hosts.address())

	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		s.t.Fatal(err)
	}

	entry := s.start("entry", zone, "apricotway", "serve", "--settings", file)
	entry.proxy = proxy
	s.entries = append(s.entries, entry)
	s.cut(entry, "")
}

// link sets the fault of a link of a proxy.
func (s *system) link(proxy *program, name string, fault faultproxy.Fault) {
	body, _ := json.Marshal(fault)
	if err := sendRequest(http.MethodPut, proxy.address()+"/links/"+name, string(body), nil); err != nil {
		s.t.Fatal(err)
	}
}

// cut cuts the links of peers and probes to a process in the given direction; the empty direction restores both.
func (s *system) cut(entry *program, direction faultproxy.Direction) {
	for _, name := range []string{"peers", "probes"} {
		s.link(entry.proxy, name, faultproxy.Fault{Target: netip.MustParseAddrPort(entry.fields[name]), Cut: direction})
	}
}

// setLogFault makes the log fail for one process by a fault of its link; "none" restores the link.
func (s *system) setLogFault(entry *program, failure string) {
	fault := faultproxy.Fault{Target: netip.MustParseAddrPort(s.log.address()), LoseAnswer: failure == "loseAnswer"}

	switch failure {
	case "lag":
		fault.DelayMillis = soakLag
	case "cut":
		fault.Cut = faultproxy.Both
	}

	s.link(entry.proxy, "log", fault)
}

// listsDead reports whether the membership of viewer lists the other process as dead.
func (s *system) listsDead(viewer, other *program) bool {
	var members []apricotway.Member

	_ = sendRequest(http.MethodGet, viewer.fields["operator"]+"/v1/members", "", &members)

	return slices.ContainsFunc(members, func(member apricotway.Member) bool {
		return member.Callers.String() == other.address() && member.State == apricotway.MemberDead
	})
}

func (s *system) startEngine(zone string) {
	s.engines = append(s.engines, s.start("engine", zone, "apricotctl", "standin", "engine", "--id", fmt.Sprintf("engine-%d", s.count),
		"--service", "belt-assistant", "--zone", zone, "--version", "1", "--hosts", s.hosts.address(), "--decode-per-token", "5ms"))
}

// sendRequest sends a request to a stand-in or an operator address. If result is not nil, it decodes the response into it and
// returns an error for a status of 400 and above.
func sendRequest(method, url, body string, result any) error {
	r, err := http.NewRequest(method, "http://"+url, strings.NewReader(body))
	if err != nil {
		return err
	}

	answer, err := callClient.Do(r)
	if err != nil {
		return err
	}
	defer answer.Body.Close()

	content, err := io.ReadAll(answer.Body)
	if err != nil || result == nil {
		return err
	}

	if answer.StatusCode >= http.StatusBadRequest {
		return errors.Errorf("%s: %s", answer.Status, content)
	}

	return json.Unmarshal(content, result)
}

// await waits until the condition holds. After waitLimit it checks the guarantees and fails the test.
func (s *system) await(what string, happened func() bool) {
	s.t.Helper()

	for end := time.Now().Add(waitLimit); !happened(); <-time.After(20 * time.Millisecond) {
		if time.Now().After(end) {
			s.check("timed out waiting for: "+what, true)
			s.t.Fatalf("timed out waiting for: %s; the last calls: %+v", what, s.lastCalls())
		}
	}
}

func (s *system) lastCalls() []sentCall {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.records.calls[max(0, len(s.records.calls)-3):]
}

// publish appends a configuration record and returns its offset.
func (s *system) publish(kind, id, object string, replaces int64, spec string) int64 {
	var answer struct{ First int64 }

	body := `{"records": [` + fmt.Sprintf(soakSpec, kind, id, object, replaces, spec) + `]}`
	if err := sendRequest(http.MethodPost, s.log.address()+"/streams/config/records", body, &answer); err != nil {
		s.t.Fatal(err)
	}

	return answer.First
}

// revision returns and records the configuration revision of belt-assistant that a process reports, or 0 if it reports none.
func (s *system) revision(n *program) int64 {
	var objects []struct {
		Object  string
		InForce int64
	}

	if sendRequest(http.MethodGet, n.fields["operator"]+"/v1/config", "", &objects) != nil {
		return 0
	}

	for _, object := range objects {
		if object.Object == "belt-assistant" {
			s.mu.Lock()
			defer s.mu.Unlock()

			s.records.revisions = append(s.records.revisions, seenRevision{n.name, object.InForce})

			return object.InForce
		}
	}

	return 0
}

// awaitReady waits until every process has the current configuration, lists all processes as addresses, and completes calls.
func (s *system) awaitReady() {
	for _, entry := range s.entries {
		s.await(entry.name+" has the configuration", func() bool { return s.revision(entry) == s.configuration })
		s.await(entry.name+" knows the others", func() bool {
			var answer struct{ Addresses []struct{ Address string } }

			_ = sendRequest(http.MethodGet, entry.address()+"/v1/addresses", "", &answer)

			return !slices.ContainsFunc(s.entries, func(other *program) bool {
				return !slices.ContainsFunc(answer.Addresses, func(a struct{ Address string }) bool { return a.Address == other.address() })
			})
		})

		var call sentCall

		s.await(entry.name+" runs calls", func() bool {
			// Each try uses a new key, since a key whose outcome is unknown stays unknown.
			s.count++
			call = s.call(entry.address(), fmt.Sprintf("ready-%d", s.count))

			return call.status == http.StatusCreated
		})
	}
}

// streamCompletion streams one completion as a caller that resumes at the next address when a stream breaks. It gives up if
// killed is closed: all processes have died, and with them every copy of the request.
func (s *system) streamCompletion(prompt string, addresses []string, killed <-chan struct{}) {
	var (
		got, last string
		err       error
		lost      bool
	)

	for end, i := time.Now().Add(waitLimit), 0; time.Now().Before(end) && !lost; i++ {
		answer, failure := openStream("http://"+addresses[i%len(addresses)]+"/v1/completions", "secret", prompt, soakTokens, last)
		if err = failure; err == nil {
			var text, id string

			text, id, err = readStream(answer.Body, 0)
			_ = answer.Body.Close()
			got += text

			if id != "" {
				last = id
			}

			if err == nil {
				break
			}
		}

		select {
		case <-killed:
			lost = true
		case <-time.After(50 * time.Millisecond):
		}
	}

	if err != nil && !lost {
		got += "\nthe last error: " + err.Error()
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	s.records.streams = append(s.records.streams, sentStream{prompt, got, soakTokens, lost})
}

func (s *system) call(address, key string) sentCall {
	call := callOnce(s.ledger.address(), address, key, "lot of "+key, soakTimeout)

	s.mu.Lock()
	defer s.mu.Unlock()

	s.records.calls = append(s.records.calls, call)

	return call
}

// check fails the test if the records so far violate a guarantee. In the middle of a round, where calls may still be in
// progress, underway must be true.
func (s *system) check(when string, underway bool) {
	s.mu.Lock()
	known := s.records
	s.mu.Unlock()

	var err error
	// The executions are read after the responses, so that they include the execution behind every response.
	if known.executions, err = executions(s.ledger.address()); err != nil {
		s.t.Fatal(err)
	}

	known.inProgress = underway
	if found := known.violations(); len(found) > 0 {
		s.t.Fatalf("seed %d, %s:\n%s", s.seed, when, strings.Join(found, "\n"))
	}
}

// startedRequests returns how many requests the engines have started.
func (s *system) startedRequests() (total int) {
	for _, engine := range s.engines {
		var counters struct{ Started int }

		_ = sendRequest(http.MethodGet, engine.address()+"/counters", "", &counters)
		total += counters.Started
	}

	return total
}

// round injects several failures while completions are streamed and calls with the same keys are sent to all processes, ends
// the failures, and waits until every stream and call has its final response.
func (s *system) round(number int) {
	var group, answered sync.WaitGroup

	addresses := []string{}
	for _, entry := range s.entries {
		addresses = append(addresses, entry.address())
	}

	// Unless all processes are killed, only the first one fails, and no other one before every stream has ended: a request is
	// guaranteed to survive the loss of one process only.
	f := drawFailures(s.random)
	s.t.Logf("round %d: %+v", number, f)

	killed, before := make(chan struct{}), s.startedRequests()

	for i := range 4 {
		group.Go(func() {
			s.streamCompletion(fmt.Sprintf("round %d text %d", number, i), slices.Concat(addresses[i%2:], addresses[:i%2]), killed)
		})
	}

	s.await("the engines to start the streams", func() bool { return s.startedRequests() >= before+4 })

	keys := []string{}
	for i := range 4 {
		key := fmt.Sprintf("round-%d-%d", number, i)
		keys = append(keys, key)

		for _, address := range addresses {
			group.Go(func() { s.call(address, key) })
		}
	}

	for _, step := range f.order {
		if step == stepLog && f.late() {
			continue
		}

		s.step(step, f, number, killed)
		s.check(fmt.Sprintf("round %d after step %d", number, step), true)
	}

	// While the failures last, callers repeat the calls, and send other calls that are never repeated.
	for i, address := range addresses {
		// A stopped process responds only after it is resumed, so these calls are not awaited before the failures end.
		waited := &answered
		if f.entry == "freeze" && i == 0 {
			waited = &group
		}

		for _, key := range keys {
			waited.Go(func() { s.call(address, key) })
		}

		for single := range 4 {
			waited.Go(func() { s.call(address, fmt.Sprintf("round-%d-once-%d-%d", number, i, single)) })
		}
	}

	if f.hold != "taken" {
		answered.Wait()
		s.check(fmt.Sprintf("round %d under the failures", number), true)
	}

	if f.hold == "noticed" {
		s.awaitDetection(f)

		for i, address := range addresses[1:] {
			for _, key := range keys {
				answered.Go(func() { s.call(address, key) })
			}

			for late := range lateKeys {
				answered.Go(func() { s.call(address, lateKey(number, i, late)) })
			}
		}

		answered.Wait()
		s.check(fmt.Sprintf("round %d after the failures were noticed", number), true)
	}

	if f.late() {
		s.logLate(f, number)
	}

	s.heal(f)
	group.Wait()
	answered.Wait()
	s.check(fmt.Sprintf("round %d after its failures", number), false)
	s.awaitReady()

	for _, key := range keys {
		for _, entry := range s.entries {
			s.await("a final answer for "+key, func() bool { return s.call(entry.address(), key).final })
		}
	}

	s.check(fmt.Sprintf("the end of round %d", number), false)
}

// lateKey returns one of the keys that are sent for the first time after the failures were detected, each to one process.
func lateKey(round, process, number int) string {
	return fmt.Sprintf("round-%d-late-%d-%d", round, process, number)
}

// logLate makes the log fail, restores the network, and repeats at every running process the calls that ran during the cut.
func (s *system) logLate(f failures, number int) {
	s.step(stepLog, f, number, nil)

	for _, entry := range s.entries {
		s.cut(entry, "")
	}

	running := s.entries
	if f.entry != "none" {
		running = running[1:]
	}

	if f.entry == "killAll" {
		return
	}

	var group sync.WaitGroup

	for _, entry := range running {
		for _, other := range running {
			s.await(entry.name+" knows "+other.name+" again", func() bool { return !s.listsDead(entry, other) })
		}

		for i := range s.entries[1:] {
			for late := range lateKeys {
				group.Go(func() { s.call(entry.address(), lateKey(number, i, late)) })
			}
		}
	}

	group.Wait()
	s.check(fmt.Sprintf("round %d under the late failure of the log", number), true)
}

// step takes one step of a round: it injects the failure, the reclaim or the configuration change, if the schedule has it.
func (s *system) step(step int, f failures, number int, killed chan struct{}) {
	switch step {
	case stepChange:
		// The log accepts no records while it is down.
		if f.change && !s.logDown {
			s.configuration = s.publish("service", fmt.Sprintf("change-%d", number), "belt-assistant", s.configuration,
				fmt.Sprintf(`{"type": "model", "maxTokens": %d}`, 1000+number))
		}
	case stepReclaim:
		if f.reclaim {
			_ = sendRequest(http.MethodPost, s.hosts.address()+"/zones/"+f.zone+"/reclaim?notice=5s", "", nil)
		}
	case stepEntry:
		if f.entry == "killAll" {
			for _, entry := range s.entries {
				_ = entry.command.Process.Kill()
			}

			for _, entry := range s.entries {
				<-entry.done
			}

			close(killed)
		} else if sig, ok := map[string]syscall.Signal{"kill": syscall.SIGKILL, "freeze": syscall.SIGSTOP, "term": syscall.SIGTERM}[f.entry]; ok {
			_ = s.entries[0].command.Process.Signal(sig)
		}
	case stepLog:
		s.logDown = f.log == "down"
		if s.logDown {
			_ = sendRequest(http.MethodPut, s.log.address()+"/fault?kind=down", "", nil)
			return
		}

		for i, entry := range s.entries {
			if f.logAll || i == f.logIndex {
				s.setLogFault(entry, f.log)
			}
		}
	case stepNetwork:
		for i, entry := range s.entries {
			switch {
			case f.network == "all":
				s.cut(entry, faultproxy.Both)
			case f.network != "none" && i == f.cutIndex:
				s.cut(entry, faultproxy.Direction(f.network))
			}
		}
	}
}

// awaitDetection waits until each running process lists every process as dead that it cannot reach.
func (s *system) awaitDetection(f failures) {
	for i, viewer := range s.entries {
		for j, other := range s.entries {
			gone := j == 0 && (f.entry == "kill" || f.entry == "freeze")
			if i == j || i == 0 && f.entry != "none" || f.entry == "killAll" || f.network != "all" && !gone {
				continue
			}

			// A process that gets SIGTERM announces that it leaves, and is not listed as dead.
			if j == 0 && f.entry == "term" {
				continue
			}

			s.await(viewer.name+" lists "+other.name+" as dead", func() bool { return s.listsDead(viewer, other) })
		}
	}
}

// heal ends the failures of a round, and replaces the engines of a reclaimed zone and the processes that have ended.
func (s *system) heal(f failures) {
	s.logDown = false
	_ = sendRequest(http.MethodPut, s.log.address()+"/fault", "", nil)

	for _, entry := range s.entries {
		s.setLogFault(entry, "none")
		s.cut(entry, "")
	}

	if f.reclaim {
		for _, engine := range slices.Clone(s.engines) {
			if engine.zone == f.zone {
				s.await(engine.name+" is idle", func() bool {
					var load struct{ Running int }

					return sendRequest(http.MethodGet, engine.address()+"/load", "", &load) == nil && load.Running == 0
				})
				engine.kill()

				s.engines = slices.DeleteFunc(s.engines, func(other *program) bool { return other == engine })
				s.startEngine(f.zone)
			}
		}
	}

	victim := s.entries[0]

	switch f.entry {
	case "freeze":
		s.await("the stopped process is listed as dead", func() bool { return s.listsDead(s.entries[1], victim) })
		_ = victim.command.Process.Signal(syscall.SIGCONT)
	case "kill", "term":
		<-victim.done
		victim.proxy.kill()

		s.entries = s.entries[1:]
		s.startEntry(victim.zone)

		return
	case "killAll":
		for _, entry := range s.entries {
			entry.proxy.kill()
		}

		s.entries = nil
		for _, zone := range entryZones {
			s.startEntry(zone)
		}

		return
	}

	s.entries = append(s.entries[1:], victim)
}

func runSchedule(t *testing.T, seed uint64, enough func(rounds int) bool) {
	s := &system{t: t, directory: t.TempDir(), probeKey: newProbeKey(), random: newRandom(seed), seed: seed}
	s.log = s.start("log", "", "apricotctl", "standin", "log")
	s.hosts = s.start("hosts", "", "apricotctl", "standin", "hosts")
	s.ledger = s.start("ledger", "", "apricotctl", "standin", "service", "--id", "ledger-1", "--service", "lot-ledger",
		"--zone", "never-reclaimed", "--hosts", s.hosts.address())
	s.publish("service", "1", "lot-ledger", 0, `{"type": "plain"}`)
	s.publish("workspace", "2", "mill-1", 0, `{"owner": "association", "weight": 1,
		"tokenHashes": ["2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"]}`)
	s.configuration = s.publish("service", "3", "belt-assistant", 0, `{"type": "model"}`)

	for _, zone := range entryZones {
		s.startEngine(zone)
		s.startEntry(zone)
	}

	s.awaitReady()

	for rounds := 0; !enough(rounds); rounds++ {
		s.round(rounds)
	}

	t.Logf("seed %d: %d calls, %d streams, %d observed revisions", seed,
		len(s.records.calls), len(s.records.streams), len(s.records.revisions))
}

// TestRandomFailures guards against violations of the guarantees (see records.violations) under several failures at once, drawn
// from fixed seeds. "make soak" runs other seeds.
func TestRandomFailures(t *testing.T) {
	t.Parallel()

	if *soakSeeds == 0 {
		for _, seed := range fixedSeeds {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				runSchedule(t, seed, func(rounds int) bool { return rounds == soakRounds })
			})
		}

		return
	}

	for i := range *soakSeeds {
		seed, begin := *soakFirst+uint64(i), time.Now()
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runSchedule(t, seed, func(int) bool { return time.Since(begin) >= *soakDuration })
		})
	}
}
