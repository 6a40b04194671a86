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
	// soakTimeout is the deadline of a call with a key, after which its process answers unknown.
	soakTimeout = "3s"
	// lateKeys is the number of keys that are first used by each process after the failures were noticed; with 8 of them most
	// of the 16 shards change hands.
	lateKeys = 8
	// soakLag is the lag of each answer of a slow log in milliseconds.
	soakLag  = 300
	soakSpec = `{"schemaVersion": 1, "kind": %q, "id": %q, "payload": {"object": %q, "replaces": %d, "spec": %s}}`
)

var (
	// The schedules of the fixed seeds hold every failure, see TestFixedSeeds.
	fixedSeeds = []uint64{252, 451}
	entryZones = []string{"a", "b", "c"}
)

func newRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 0)) }

// program is a process of a system under a random schedule.
type program struct {
	*process

	name, zone string
	fields     map[string]string
	// proxy is the proxy before an entry process: its links "peers" and "probes" lead to the process, "log" from it to the log.
	proxy *program
}

// system is a whole system of real processes and the records of its run.
type system struct {
	t             *testing.T
	directory     string
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
	settings := fmt.Sprintf(`{"region": "makedonia", "zone": %q, "seeds": %s, "probeKey": "00112233445566778899aabbccddeeff",
		"listen": {"callers": "127.0.0.1:0", "peers": "127.0.0.1:0", "probes": "127.0.0.1:0", "operator": "127.0.0.1:0"},
		"advertise": {"peers": %q, "probes": %q}, "platform": {"log": %q, "hosts": %q}}`, zone, listed,
		proxy.fields["peers"], proxy.fields["probes"], proxy.fields["log"], s.hosts.address())

	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		s.t.Fatal(err)
	}

	entry := s.start("entry", zone, "apricotway", "serve", "--settings", file)
	entry.proxy = proxy
	s.entries = append(s.entries, entry)
	s.cut(entry, "")
}

// link sets the state of a link of a proxy.
func (s *system) link(proxy *program, name string, fault faultproxy.Fault) {
	body, _ := json.Marshal(fault)
	if err := ask(http.MethodPut, proxy.address()+"/links/"+name, string(body), nil); err != nil {
		s.t.Fatal(err)
	}
}

// cut cuts a direction of the links to a process, or heals them with the empty direction.
func (s *system) cut(entry *program, direction faultproxy.Direction) {
	for _, name := range []string{"peers", "probes"} {
		s.link(entry.proxy, name, faultproxy.Fault{Target: netip.MustParseAddrPort(entry.fields[name]), Cut: direction})
	}
}

// disturbLog sets a failure of the log for one process, or heals it with "none".
func (s *system) disturbLog(entry *program, failure string) {
	fault := faultproxy.Fault{Target: netip.MustParseAddrPort(s.log.address()), LoseAnswer: failure == "loseAnswer"}

	switch failure {
	case "lag":
		fault.DelayMillis = soakLag
	case "cut":
		fault.Cut = faultproxy.Both
	}

	s.link(entry.proxy, "log", fault)
}

// dead tells whether a process takes another one for dead.
func (s *system) dead(viewer, other *program) bool {
	var members []apricotway.Member

	_ = ask(http.MethodGet, viewer.fields["operator"]+"/v1/members", "", &members)

	return slices.ContainsFunc(members, func(member apricotway.Member) bool {
		return member.Callers.String() == other.address() && member.State == apricotway.MemberDead
	})
}

func (s *system) startEngine(zone string) {
	s.engines = append(s.engines, s.start("engine", zone, "apricotctl", "standin", "engine", "--id", fmt.Sprintf("engine-%d", s.count),
		"--service", "belt-assistant", "--zone", zone, "--version", "1", "--hosts", s.hosts.address(), "--decode-per-token", "5ms"))
}

// ask sends a request to a stand-in or an operator address and decodes the answer.
func ask(method, url, body string, result any) error {
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

// await waits for an event; a limit that is reached fails the run.
func (s *system) await(what string, happened func() bool) {
	s.t.Helper()

	for end := time.Now().Add(waitLimit); !happened(); <-time.After(20 * time.Millisecond) {
		if time.Now().After(end) {
			s.check("without "+what, true)
			s.t.Fatalf("%s has not happened; the last calls: %+v", what, s.lastCalls())
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
	if err := ask(http.MethodPost, s.log.address()+"/streams/config/records", body, &answer); err != nil {
		s.t.Fatal(err)
	}

	return answer.First
}

// revision records the configuration revision that a process reports.
func (s *system) revision(n *program) int64 {
	var objects []struct {
		Object  string
		InForce int64
	}

	if ask(http.MethodGet, n.fields["operator"]+"/v1/config", "", &objects) != nil {
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

// ready waits until the processes know the configuration, each other and the backend servers.
func (s *system) ready() {
	for _, entry := range s.entries {
		s.await(entry.name+" has the configuration", func() bool { return s.revision(entry) == s.configuration })
		s.await(entry.name+" knows the others", func() bool {
			var answer struct{ Addresses []struct{ Address string } }

			_ = ask(http.MethodGet, entry.address()+"/v1/addresses", "", &answer)

			return !slices.ContainsFunc(s.entries, func(other *program) bool {
				return !slices.ContainsFunc(answer.Addresses, func(a struct{ Address string }) bool { return a.Address == other.address() })
			})
		})

		var call sentCall

		s.await(entry.name+" runs calls", func() bool {
			// Another key each time, since a key whose outcome is unknown stays so.
			s.count++
			call = s.call(entry.address(), fmt.Sprintf("ready-%d", s.count))

			return call.status == http.StatusCreated
		})
	}
}

// converse reads one text as a caller does that goes on at the next address when its process is lost.
// When all processes are killed, it gives up: the holders of the request have died at once.
func (s *system) converse(prompt string, addresses []string, killed <-chan struct{}) {
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
		got += "\nthe last failure: " + err.Error()
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

// check reports what contradicts the guarantees so far. Calls with the same key may still be underway in the middle of a round.
func (s *system) check(when string, underway bool) {
	s.mu.Lock()
	known := s.records
	s.mu.Unlock()

	var err error
	// The executions are read after the answers, since each answer tells of an earlier execution.
	if known.executions, err = executions(s.ledger.address()); err != nil {
		s.t.Fatal(err)
	}

	known.underway = underway
	if found := known.violations(); len(found) > 0 {
		s.t.Fatalf("seed %d, %s:\n%s", s.seed, when, strings.Join(found, "\n"))
	}
}

// started returns how many requests the engines have started.
func (s *system) started() (total int) {
	for _, engine := range s.engines {
		var counters struct{ Started int }

		_ = ask(http.MethodGet, engine.address()+"/counters", "", &counters)
		total += counters.Started
	}

	return total
}

// round brings about failures together while texts are streamed and calls with the same keys are sent to all processes, heals
// them, and waits until every text and call has its final answer.
func (s *system) round(number int) {
	var group, answered sync.WaitGroup

	addresses := []string{}
	for _, entry := range s.entries {
		addresses = append(addresses, entry.address())
	}

	// The process of the first address is the one that fails; unless all do, no other fails before every text has arrived,
	// since a request survives the loss of one process.
	f := drawFailures(s.random)
	s.t.Logf("round %d: %+v", number, f)

	killed, before := make(chan struct{}), s.started()

	for i := range 4 {
		group.Go(func() {
			s.converse(fmt.Sprintf("round %d text %d", number, i), slices.Concat(addresses[i%2:], addresses[:i%2]), killed)
		})
	}

	s.await("the start of the texts", func() bool { return s.started() >= before+4 })

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

	// Callers repeat their calls while the failures last, and send others once only.
	for i, address := range addresses {
		// A frozen process answers nothing until it wakes.
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
		s.noticed(f)

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
	s.ready()

	for _, key := range keys {
		for _, entry := range s.entries {
			s.await("a final answer for "+key, func() bool { return s.call(entry.address(), key).final })
		}
	}

	s.check(fmt.Sprintf("the end of round %d", number), false)
}

// lateKey returns one of the keys that are sent first after the failures were noticed, each to one process.
func lateKey(round, process, number int) string {
	return fmt.Sprintf("round-%d-late-%d-%d", round, process, number)
}

// logLate lets the log fail, ends the cut of the network, and repeats calls that have run meanwhile.
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
			s.await(entry.name+" knows "+other.name+" again", func() bool { return !s.dead(entry, other) })
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

// step brings about one failure of a round.
func (s *system) step(step int, f failures, number int, killed chan struct{}) {
	switch step {
	case stepChange:
		// Nothing is accepted while the log is down.
		if f.change && !s.logDown {
			s.configuration = s.publish("service", fmt.Sprintf("change-%d", number), "belt-assistant", s.configuration,
				fmt.Sprintf(`{"type": "model", "maxTokens": %d}`, 1000+number))
		}
	case stepReclaim:
		if f.reclaim {
			_ = ask(http.MethodPost, s.hosts.address()+"/zones/"+f.zone+"/reclaim?notice=5s", "", nil)
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
			_ = ask(http.MethodPut, s.log.address()+"/fault?kind=down", "", nil)
			return
		}

		for i, entry := range s.entries {
			if f.logAll || i == f.logIndex {
				s.disturbLog(entry, f.log)
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

// noticed waits until the processes take those for dead that they cannot reach.
func (s *system) noticed(f failures) {
	for i, viewer := range s.entries {
		for j, other := range s.entries {
			gone := j == 0 && (f.entry == "kill" || f.entry == "freeze")
			if i == j || i == 0 && f.entry != "none" || f.entry == "killAll" || f.network != "all" && !gone {
				continue
			}

			// A process that has been told to stop says so before it is cut off, and is not taken for dead.
			if j == 0 && f.entry == "term" {
				continue
			}

			s.await(viewer.name+" takes "+other.name+" for dead", func() bool { return s.dead(viewer, other) })
		}
	}
}

// heal ends the failures of a round and replaces what was lost.
func (s *system) heal(f failures) {
	s.logDown = false
	_ = ask(http.MethodPut, s.log.address()+"/fault", "", nil)

	for _, entry := range s.entries {
		s.disturbLog(entry, "none")
		s.cut(entry, "")
	}

	if f.reclaim {
		for _, engine := range slices.Clone(s.engines) {
			if engine.zone == f.zone {
				s.await(engine.name+" is idle", func() bool {
					var load struct{ Running int }

					return ask(http.MethodGet, engine.address()+"/load", "", &load) == nil && load.Running == 0
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
		s.await("the frozen process is taken for dead", func() bool { return s.dead(s.entries[1], victim) })
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
	s := &system{t: t, directory: t.TempDir(), random: newRandom(seed), seed: seed}
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

	s.ready()

	for rounds := 0; !enough(rounds); rounds++ {
		s.round(rounds)
	}

	t.Logf("seed %d: %d calls, %d texts, %d revisions seen", seed,
		len(s.records.calls), len(s.records.streams), len(s.records.revisions))
}

// TestRandomFailures guards the guarantees against failures that come together, drawn from fixed seeds. "make soak" runs others.
func TestRandomFailures(t *testing.T) {
	if *soakSeeds == 0 {
		for _, seed := range fixedSeeds {
			t.Run(fmt.Sprint(seed), func(t *testing.T) { runSchedule(t, seed, func(rounds int) bool { return rounds == soakRounds }) })
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
