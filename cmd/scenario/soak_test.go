package scenario

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"
)

var (
	soakSeeds    = flag.Int("soak.seeds", 0, "number of random schedules; 0 runs the fixed seeds of CI")
	soakFirst    = flag.Uint64("soak.first", 1000, "seed of the first random schedule")
	soakDuration = flag.Duration("soak.duration", time.Minute, "least duration of each random schedule")
)

const (
	soakRounds = 3
	soakTokens = 500
	soakSpec   = `{"schemaVersion": 1, "kind": %q, "id": %q, "payload": {"object": %q, "replaces": %d, "spec": %s}}`
)

// program is a process of a system under a random schedule.
type program struct {
	*process

	name, zone string
	fields     map[string]string
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
		seeds = append(seeds, entry.fields["peers"])
	}

	listed, _ := json.Marshal(seeds)
	file := filepath.Join(s.directory, fmt.Sprintf("entry%d.jsonc", s.count))
	settings := fmt.Sprintf(`{"region": "makedonia", "zone": %q, "seeds": %s, "probeKey": "00112233445566778899aabbccddeeff",
		"listen": {"callers": "127.0.0.1:0", "peers": "127.0.0.1:0", "probes": "127.0.0.1:0", "operator": "127.0.0.1:0"},
		"platform": {"log": %q, "hosts": %q}}`, zone, listed, s.log.address(), s.hosts.address())

	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		s.t.Fatal(err)
	}

	s.entries = append(s.entries, s.start("entry", zone, "apricotway", "serve", "--settings", file))
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
func (s *system) converse(prompt string, addresses []string) {
	var (
		got, last string
		err       error
	)

	for end, i := time.Now().Add(waitLimit), 0; time.Now().Before(end); i++ {
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

		<-time.After(50 * time.Millisecond)
	}

	if err != nil {
		got += "\nthe last failure: " + err.Error()
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	s.records.streams = append(s.records.streams, sentStream{prompt, got, soakTokens})
}

func (s *system) call(address, key string) sentCall {
	call := callOnce(s.ledger.address(), address, key, "lot of "+key)

	s.mu.Lock()
	defer s.mu.Unlock()

	s.records.calls = append(s.records.calls, call)

	return call
}

// round brings about failures together while texts are streamed and calls with the same keys are sent to all processes, heals
// them, and waits until every text and call has its final answer.
func (s *system) round(number int) {
	var group sync.WaitGroup

	addresses := []string{}
	for _, entry := range s.entries {
		addresses = append(addresses, entry.address())
	}

	// The process of the first address is the one that fails; no other fails before every text has arrived, since a request
	// survives the loss of one process.
	victim := s.entries[0]
	reclaim, logDown, change := s.random.IntN(2) == 0, s.random.IntN(2) == 0, s.random.IntN(2) == 0
	failure := []string{"none", "kill", "freeze", "term"}[s.random.IntN(4)]
	zone := s.engines[s.random.IntN(len(s.engines))].zone
	s.t.Logf("round %d: entry %s, reclaim %t of %s, log down %t, change %t", number, failure, reclaim, zone, logDown, change)

	started := func() (total int) {
		for _, engine := range s.engines {
			var counters struct{ Started int }

			_ = ask(http.MethodGet, engine.address()+"/counters", "", &counters)
			total += counters.Started
		}

		return total
	}
	before := started()

	for i := range 4 {
		group.Go(func() {
			s.converse(fmt.Sprintf("round %d text %d", number, i), slices.Concat(addresses[i%2:], addresses[:i%2]))
		})
	}

	s.await("the start of the texts", func() bool { return started() >= before+4 })

	keys := []string{}
	for i := range 4 {
		key := fmt.Sprintf("round-%d-%d", number, i)
		keys = append(keys, key)

		for _, address := range addresses {
			group.Go(func() { s.call(address, key) })
		}
	}

	down, steps := false, []func(){}
	if change {
		steps = append(steps, func() {
			// Nothing is accepted while the log is down.
			if down {
				return
			}

			s.configuration = s.publish("service", fmt.Sprintf("change-%d", number), "belt-assistant", s.configuration,
				fmt.Sprintf(`{"type": "model", "maxTokens": %d}`, 1000+number))
		})
	}

	if reclaim {
		steps = append(steps, func() { _ = ask(http.MethodPost, s.hosts.address()+"/zones/"+zone+"/reclaim?notice=5s", "", nil) })
	}

	if sig, ok := map[string]syscall.Signal{"kill": syscall.SIGKILL, "freeze": syscall.SIGSTOP, "term": syscall.SIGTERM}[failure]; ok {
		steps = append(steps, func() { _ = victim.command.Process.Signal(sig) })
	}

	if logDown {
		steps = append(steps, func() {
			down = true
			_ = ask(http.MethodPut, s.log.address()+"/fault?kind=down", "", nil)
		})
	}

	s.random.Shuffle(len(steps), func(i, j int) { steps[i], steps[j] = steps[j], steps[i] })

	for _, step := range steps {
		step()
	}

	// Callers repeat their calls while the failures last.
	for _, key := range keys {
		for _, address := range addresses {
			group.Go(func() { s.call(address, key) })
		}
	}

	s.heal(failure, reclaim, zone)
	group.Wait()
	s.ready()

	for _, key := range keys {
		for _, entry := range s.entries {
			s.await("a final answer for "+key, func() bool { return s.call(entry.address(), key).final })
		}
	}
}

// heal ends the failures of a round and replaces what was lost.
func (s *system) heal(failure string, reclaim bool, zone string) {
	if reclaim {
		for _, engine := range slices.Clone(s.engines) {
			if engine.zone == zone {
				s.await(engine.name+" is idle", func() bool {
					var load struct{ Running int }

					return ask(http.MethodGet, engine.address()+"/load", "", &load) == nil && load.Running == 0
				})
				engine.kill()

				s.engines = slices.DeleteFunc(s.engines, func(other *program) bool { return other == engine })
				s.startEngine(zone)
			}
		}
	}

	_ = ask(http.MethodPut, s.log.address()+"/fault", "", nil)

	victim := s.entries[0]

	switch failure {
	case "freeze":
		others := s.entries[1]
		s.await("the frozen process is taken for dead", func() bool {
			var answer json.RawMessage

			return ask(http.MethodGet, others.fields["operator"]+"/v1/members", "", &answer) == nil && strings.Contains(string(answer), `"dead"`)
		})
		_ = victim.command.Process.Signal(syscall.SIGCONT)
	case "kill", "term":
		<-victim.done

		s.entries = s.entries[1:]
		s.startEntry(victim.zone)
	}

	s.entries = append(s.entries[1:], s.entries[0])
}

func runSchedule(t *testing.T, seed uint64, enough func(rounds int) bool) {
	s := &system{t: t, directory: t.TempDir(), random: rand.New(rand.NewPCG(seed, 0))}
	s.log = s.start("log", "", "apricotctl", "standin", "log")
	s.hosts = s.start("hosts", "", "apricotctl", "standin", "hosts")
	s.ledger = s.start("ledger", "", "apricotctl", "standin", "service", "--id", "ledger-1", "--service", "lot-ledger",
		"--zone", "never-reclaimed", "--hosts", s.hosts.address())
	s.publish("service", "1", "lot-ledger", 0, `{"type": "plain"}`)
	s.publish("workspace", "2", "mill-1", 0, `{"owner": "association", "weight": 1,
		"tokenHashes": ["2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"]}`)
	s.configuration = s.publish("service", "3", "belt-assistant", 0, `{"type": "model"}`)

	for _, zone := range []string{"a", "b", "c"} {
		s.startEngine(zone)
		s.startEntry(zone)
	}

	s.ready()

	for rounds := 0; !enough(rounds); rounds++ {
		s.round(rounds)
	}

	var err error
	if s.records.executions, err = executions(s.ledger.address()); err != nil {
		t.Fatal(err)
	}

	for _, violation := range s.records.violations() {
		t.Errorf("seed %d: %s", seed, violation)
	}

	t.Logf("seed %d: %d calls, %d executions, %d texts, %d revisions seen", seed,
		len(s.records.calls), len(s.records.executions), len(s.records.streams), len(s.records.revisions))
}

// TestRandomFailures guards the guarantees against failures that come together, drawn from fixed seeds. "make soak" runs others.
func TestRandomFailures(t *testing.T) {
	if *soakSeeds == 0 {
		// Their schedules hold each failure of a process, reclaims, outages of the log and changes.
		for _, seed := range []uint64{2, 2001} {
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
