package scenario

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/apricotway/apricotway/cmd/internal/faultproxy"
	"github.com/apricotway/apricotway/internal/freeport"
	"github.com/apricotway/apricotway/platform/standin"
)

const (
	entryCount   = 4
	entryRounds  = 2
	entryCallers = 6
	entryConfig  = `{"version":%d,"routes":[{"name":"chat","host":"h.example","path_prefix":"/chat/","kind":"streaming","timeout_ms":5000,"service":"model","max_attempts":3,"resumable":true},{"name":"book","host":"h.example","path_prefix":"/book/","kind":"unsafe","timeout_ms":4000,"service":"ledger","max_attempts":1}],"services":[{"name":"model","engine":{"slots":8,"kv_capacity":1000}},{"name":"ledger"}],"limits":{"max_body_bytes":10000},"tenants":[{"name":"w","api_keys":["secret"]}]}`
	hostFailures = 9
	// recoverTime bounds the time from the end of all failures until every process serves again.
	recoverTime = 30 * time.Second
)

// entryProgram is one entry host: a real process behind a link to the store.
type entryProgram struct {
	name     string
	settings string
	link     *faultproxy.Link
	callers  netip.AddrPort
	command  *exec.Cmd
	done     chan struct{}
}

// answered is what one caller saw of one attempt.
type answered struct {
	attempt, path, body string
	status              int
	err                 error
}

// entrySystem is a platform in the test's process, and entry hosts as processes of their own.
type entrySystem struct {
	t         *testing.T
	random    *rand.Rand
	directory string
	platform  *standin.Platform
	store     netip.AddrPort
	version   int
	entries   []*entryProgram

	mu      sync.Mutex
	engines []*standin.Engine
	born    int
	answers []answered
}

func newEntrySystem(t *testing.T, seed uint64) *entrySystem {
	t.Helper()

	s := &entrySystem{t: t, random: newRandom(seed), directory: t.TempDir(), platform: standin.New()}
	server := httptest.NewServer(s.platform)
	t.Cleanup(server.Close)

	s.store = netip.MustParseAddrPort(server.Listener.Addr().String())
	s.publish()

	for _, service := range []string{"model", "model", "model", "ledger", "ledger"} {
		s.startEngine(service)
	}

	peers := freeport.Address(t)
	for i := range entryCount {
		s.addEntry(fmt.Sprint("n", i), peers, i == 0)
	}

	for _, e := range s.entries {
		s.start(e)
	}

	t.Cleanup(func() {
		for _, e := range s.entries {
			e.end(syscall.SIGKILL)
		}

		for _, e := range s.engines {
			e.Close()
		}

		if t.Failed() {
			s.keepLogs(seed)
		}
	})

	return s
}

func (s *entrySystem) publish() {
	s.version++

	if err := s.platform.PutConfig(json.RawMessage(fmt.Sprintf(entryConfig, s.version))); err != nil {
		s.t.Fatal(err)
	}
}

func (s *entrySystem) startEngine(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.born++
	s.engines = append(s.engines, standin.NewEngine(s.platform, fmt.Sprint("i-", s.born), service, "a"))
}

// addEntry prepares an entry host with its settings.
func (s *entrySystem) addEntry(name string, peers netip.AddrPort, first bool) {
	link, err := faultproxy.Listen(s.t.Context(), "tcp")
	if err != nil {
		s.t.Fatal(err)
	}

	s.t.Cleanup(link.Close)
	link.Set(faultproxy.Fault{Target: s.store})

	own := peers
	if !first {
		own = freeport.Address(s.t)
	}

	e := &entryProgram{
		name: name, link: link, callers: freeport.Address(s.t), settings: filepath.Join(s.directory, name+".jsonc"),
	}
	content := fmt.Sprintf(`{"node": %q, "region": "r", "zone": "a", "seeds": [%q], "usageWindow": "2s",
		"listen": {"callers": %q, "readiness": %q, "directory": %q, "peers": %q, "probes": %q, "operator": %q},
		"platform": {"store": %q, "cloud": %q}, "probeKey": %q}`, name, peers, e.callers, freeport.Address(s.t), freeport.Address(s.t), own,
		freeport.Address(s.t), freeport.Address(s.t), link.Address, link.Address, strings.Repeat("ab", 16))

	if err := os.WriteFile(e.settings, []byte(content), 0o600); err != nil {
		s.t.Fatal(err)
	}

	s.entries = append(s.entries, e)
}

// start starts the process of an entry host. Its log goes on in the same file.
func (s *entrySystem) start(e *entryProgram) {
	program, err := exec.LookPath("apricotway")
	if err != nil {
		s.t.Fatal(err)
	}

	output, err := os.OpenFile(e.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		s.t.Fatal(err)
	}

	command := exec.Command(program, "entry", "--settings", e.settings)
	command.Stdout, command.Stderr = output, output

	if err := command.Start(); err != nil {
		s.t.Fatal(err)
	}

	done := make(chan struct{})
	e.command, e.done = command, done

	go func() {
		defer close(done)

		_ = command.Wait() // The signal that ended it is no news.
		_ = output.Close()
	}()
}

// end ends the process by a signal and waits for its end. A stopped one is woken first.
func (e *entryProgram) end(signal syscall.Signal) {
	_ = e.command.Process.Signal(syscall.SIGCONT)
	_ = e.command.Process.Signal(signal)
	<-e.done
}

// call sends one call on a kept connection and records what came of it.
func (s *entrySystem) call(ctx context.Context, client *http.Client, address netip.AddrPort, attempt string, stream bool) bool {
	c := standin.Call{Address: address, Host: "h.example", Path: "/book/x", Attempt: attempt, Key: "secret"}
	if stream {
		c.Path, c.Tokens = "/chat/x", "100,20"
	}

	request, err := c.Request(ctx)
	if err != nil {
		s.t.Error(err)
		return false
	}

	// A repeat by the library would be a second send of the same attempt.
	request.GetBody = nil

	a := answered{attempt: attempt, path: c.Path}

	response, err := client.Do(request)
	if err == nil {
		var content []byte

		content, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		a.status, a.body = response.StatusCode, string(content)
	}

	a.err = err

	s.mu.Lock()
	s.answers = append(s.answers, a)
	s.mu.Unlock()

	return err == nil && a.status == http.StatusOK
}

// callers keep calling until the context ends. They use open connections until the process is gone.
func (s *entrySystem) callers(ctx context.Context) *sync.WaitGroup {
	var group sync.WaitGroup

	for i := range entryCallers {
		random := rand.New(rand.NewPCG(s.random.Uint64(), 0))

		group.Go(func() {
			client := &http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{}}
			defer client.CloseIdleConnections()

			for n := 0; ctx.Err() == nil; n++ {
				e := s.entries[random.IntN(len(s.entries))]
				s.call(context.WithoutCancel(ctx), client, e.callers, fmt.Sprintf("c%d-%d-%d", i, random.Uint32(), n), random.IntN(2) == 0)

				select {
				case <-time.After(time.Duration(random.IntN(30)) * time.Millisecond):
				case <-ctx.Done():
				}
			}
		})
	}

	return &group
}

// fail brings one failure about, and returns what ends it.
func (s *entrySystem) fail() (heal func()) {
	e := s.entries[s.random.IntN(len(s.entries))]
	nothing := func() {}

	switch s.random.IntN(hostFailures) {
	case 0:
		e.end(syscall.SIGKILL)
		return func() { s.start(e) }
	case 1:
		// The signal may come after the end of the process.
		_ = e.command.Process.Signal(syscall.SIGSTOP)
		return func() { _ = e.command.Process.Signal(syscall.SIGCONT) }
	case 2:
		e.end(syscall.SIGTERM)
		return func() { s.start(e) }
	case 3:
		s.platform.SetDown(true)
		return func() { s.platform.SetDown(false) }
	case 4:
		s.platform.LoseNextAnswer()
		return nothing
	case 5:
		for _, topic := range []string{"duties", "keyed.servers", "keyed.op", "stream.control"} {
			s.platform.Trim(topic)
		}

		return nothing
	case 6:
		direction := []faultproxy.Direction{faultproxy.Forward, faultproxy.Backward, faultproxy.Both}[s.random.IntN(3)]
		e.link.Set(faultproxy.Fault{Target: s.store, Cut: direction, DelayMillis: s.random.IntN(100)})

		return func() { e.link.Set(faultproxy.Fault{Target: s.store}) }
	case 7:
		s.publish()
		return nothing
	default:
		return s.replaceEngine()
	}
}

// replaceEngine starts an engine and ends another one, after its notice or at once.
func (s *entrySystem) replaceEngine() (heal func()) {
	service := []string{"model", "ledger"}[s.random.IntN(2)]
	s.startEngine(service)

	s.mu.Lock()
	old := s.engines[s.random.IntN(len(s.engines)-1)]
	s.mu.Unlock()

	if old.Service() != service {
		return func() {}
	}

	if s.random.IntN(2) == 0 {
		old.Close()
		return func() {}
	}

	old.Register("draining")

	return old.Close
}

// check compares what callers saw with what engines ran.
func (s *entrySystem) check() {
	s.t.Helper()

	s.mu.Lock()
	defer s.mu.Unlock()

	runs := map[string]int{}

	for _, e := range s.engines {
		for attempt, count := range e.RunsByAttempt() {
			runs[attempt] += count
		}
	}

	stream := ""
	for id := 1; id <= 5; id++ {
		stream += fmt.Sprintf("id: %d\ndata: %d\n\n", id, id)
	}

	for _, a := range s.answers {
		unsafe := strings.HasPrefix(a.path, "/book/")

		switch {
		case unsafe && runs[a.attempt] > 1:
			s.t.Errorf("attempt %s: got %d runs, want at most 1", a.attempt, runs[a.attempt])
		case unsafe && (a.status == http.StatusTooManyRequests || a.status == http.StatusServiceUnavailable) && runs[a.attempt] > 0:
			s.t.Errorf("attempt %s: got status %d and %d runs, want none", a.attempt, a.status, runs[a.attempt])
		case a.err != nil:
		case a.status == http.StatusUnauthorized || a.status == http.StatusNotFound || a.status == http.StatusBadRequest:
			s.t.Errorf("attempt %s: got status %d (%s), want none of a proper call", a.attempt, a.status, a.body)
		case a.status == http.StatusOK && unsafe && a.body != "POST /book/x ":
			s.t.Errorf("attempt %s: got body %q, want the server's whole one", a.attempt, a.body)
		case a.status == http.StatusOK && !unsafe && a.body != stream:
			s.t.Errorf("attempt %s: got stream %q, want every event once", a.attempt, a.body)
		}
	}

	if _, conflicts := s.platform.Usage(); conflicts != 0 {
		s.t.Errorf("got %d usage reports with other counts, want none", conflicts)
	}
}

// recovered waits until every process serves calls of both kinds.
func (s *entrySystem) recovered(when string) {
	s.t.Helper()

	client := &http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	end := time.Now().Add(recoverTime)

	for _, e := range s.entries {
		for n := 0; !s.call(s.t.Context(), client, e.callers, fmt.Sprint(when, e.name, n, "b"), false) ||
			!s.call(s.t.Context(), client, e.callers, fmt.Sprint(when, e.name, n, "s"), true); n++ {
			if time.Now().After(end) {
				s.t.Fatalf("%s: got no answer of %s in %s, want one", when, e.name, recoverTime)
			}

			<-time.After(50 * time.Millisecond)
		}
	}
}

func runEntrySchedule(t *testing.T, seed uint64, enough func(rounds int) bool) {
	s := newEntrySystem(t, seed)
	s.recovered("start")

	for round := 0; !enough(round) && !t.Failed(); round++ {
		ctx, cancel := context.WithCancel(t.Context())
		calling := s.callers(ctx)

		var heals []func()

		for range 2 + s.random.IntN(3) {
			heals = append(heals, s.fail())

			<-time.After(time.Duration(s.random.IntN(1500)) * time.Millisecond)

			// Some failures end before the next one begins, others overlap.
			if s.random.IntN(2) == 0 {
				heals[len(heals)-1]()
				heals = heals[:len(heals)-1]
			}
		}

		for _, heal := range heals {
			heal()
		}

		s.recovered(fmt.Sprint("round", round))
		cancel()
		calling.Wait()
		s.check()
	}

	t.Logf("seed %d: %d attempts", seed, len(s.answers))
}

// keepLogs keeps the logs of a schedule that failed.
func (s *entrySystem) keepLogs(seed uint64) {
	kept, err := os.MkdirTemp("", fmt.Sprint("entrysoak-", seed, "-"))
	if err != nil {
		s.t.Log(err)
		return
	}

	if err := os.CopyFS(kept, os.DirFS(s.directory)); err != nil {
		s.t.Log(err)
	}

	s.t.Logf("logs are in %s", kept)
}

// entrySeeds are the schedules of CI.
var entrySeeds = []uint64{11}

// TestEntryFailures guards the promises of entry hosts against failures that come together and overlap, with real processes on
// the platform's stand-in. "make soak-entry" runs other seeds.
func TestEntryFailures(t *testing.T) {
	if *soakSeeds == 0 {
		for _, seed := range entrySeeds {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				runEntrySchedule(t, seed, func(rounds int) bool { return rounds == entryRounds })
			})
		}

		return
	}

	for i := range *soakSeeds {
		seed, begin := *soakFirst+uint64(i), time.Now()
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runEntrySchedule(t, seed, func(int) bool { return time.Since(begin) >= *soakDuration })
		})
	}
}
