package scenario

import (
	"cmp"
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
	"sync/atomic"
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
	// hostFailures is the number of cases in fail.
	hostFailures = 9
	// recoverTime is the longest time allowed from the end of all failures until every process serves again.
	recoverTime = 30 * time.Second
)

// entryProgram is one entry host: a real process that reaches the platform through a link that can fail.
type entryProgram struct {
	name     string
	settings string
	// program is the path of the program; empty for the one of this build.
	program string
	link    *faultproxy.Link
	// bandwidth is that of the host; nil without a limit.
	bandwidth *faultproxy.Bandwidth
	callers   netip.AddrPort
	directory netip.AddrPort
	operator  netip.AddrPort
	command   *exec.Cmd
	done      chan struct{}
	// pid is that of the process that was started last.
	pid atomic.Int64
	// impaired holds the times in which the process was stopped, ended or cut off from the platform.
	impaired []interval
	// interrupted holds those of them in which it was stopped or ended.
	interrupted []interval
}

// interval is a span of time; end is zero while it lasts.
type interval struct{ begin, end time.Time }

// impair records the beginning of an impairment, and returns the function that records its end.
func (e *entryProgram) impair() (heal func()) {
	e.impaired = append(e.impaired, interval{begin: time.Now()})
	at := len(e.impaired) - 1

	return func() { e.impaired[at].end = time.Now() }
}

// interrupt records the beginning of an impairment that stops or ends the process, and returns the function that records its end.
func (e *entryProgram) interrupt() (heal func()) {
	healed := e.impair()
	e.interrupted = append(e.interrupted, interval{begin: time.Now()})
	at := len(e.interrupted) - 1

	return func() { healed(); e.interrupted[at].end = time.Now() }
}

// attemptResult is the response, or the error, that a caller got for one attempt.
type attemptResult struct {
	attempt, path, body string
	status              int
	err                 error
	// address is the host that the attempt was sent to at the time sent, and begun the time at which its answer began.
	address     netip.AddrPort
	sent, begun time.Time
	// engine is the engine that answered, and limited tells whether the answer states a limit.
	engine  string
	limited bool
	// leaving tells whether the answer says that the engine is leaving.
	leaving bool
}

// entrySystem is a system under test: the platform and the engines run in this process, each entry host in its own.
type entrySystem struct {
	t         *testing.T
	random    *rand.Rand
	directory string
	probeKey  string
	platform  *standin.Platform
	store     netip.AddrPort
	// config is the format of the operators' configuration; its argument is the version.
	config string
	// retrySlack is the slack of the retry budget.
	retrySlack int
	// environment is added to that of the processes.
	environment []string
	// bandwidth returns the bandwidth of an entry host, which its connections to the platform and to other hosts share; nil without limits.
	bandwidth func(name string) *faultproxy.Bandwidth
	version   int
	entries   []*entryProgram

	// storeDown holds the outages of the store.
	storeDown []interval

	mu          sync.Mutex
	engines     []*standin.Engine
	engineCount int
	// crashPart is the prompt part on which the engines of the model crash; empty for none.
	crashPart string
	answers   []attemptResult
}

func newEntrySystem(t *testing.T, seed uint64) *entrySystem {
	t.Helper()

	s := newEntryPlatform(t, seed, entryConfig)
	for _, service := range []string{"model", "model", "model", "ledger", "ledger"} {
		s.startEngine(service)
	}

	s.startEntries(entryCount)

	return s
}

// newEntryPlatform returns a system with a configuration, and without engines and entry hosts.
func newEntryPlatform(t *testing.T, seed uint64, config string, options ...standin.Option) *entrySystem {
	t.Helper()

	s := &entrySystem{
		t: t, random: newRandom(seed), directory: t.TempDir(), probeKey: newProbeKey(), platform: standin.New(options...), config: config,
		retrySlack: 10,
	}
	server := httptest.NewServer(s.platform)
	t.Cleanup(server.Close)

	s.store = netip.MustParseAddrPort(server.Listener.Addr().String())
	s.publish()

	t.Cleanup(func() {
		for _, e := range s.entries {
			if e.running() {
				e.end(syscall.SIGKILL)
			}
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

// startEntries adds and starts entry hosts.
func (s *entrySystem) startEntries(count int) {
	s.startEntriesOf(count, func(*entryProgram) {})
}

// startEntriesOf adds entry hosts, prepares them and starts them.
func (s *entrySystem) startEntriesOf(count int, prepare func(*entryProgram)) {
	peers := freeport.Address(s.t)
	for i := range count {
		s.addEntry(fmt.Sprint("n", i), peers, i == 0)
	}

	for _, e := range s.entries {
		prepare(e)
		s.start(e)
	}
}

func (s *entrySystem) publish() {
	s.version++

	if err := s.platform.PutConfig(json.RawMessage(fmt.Sprintf(s.config, s.version))); err != nil {
		s.t.Fatal(err)
	}
}

func (s *entrySystem) startEngine(service string, options ...standin.EngineOption) *standin.Engine {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.engineCount++
	e := standin.NewEngine(s.platform, fmt.Sprint("i-", s.engineCount), service, "a", options...)
	if service == "model" {
		e.CrashOnPart(s.crashPart)
	}

	s.engines = append(s.engines, e)

	return e
}

// addEntry writes the settings of an entry host and opens its link. The first host listens at the seed address of all hosts.
func (s *entrySystem) addEntry(name string, peers netip.AddrPort, first bool) {
	own := peers
	if !first {
		own = freeport.Address(s.t)
	}

	e := &entryProgram{
		name: name, callers: freeport.Address(s.t), directory: freeport.Address(s.t), operator: freeport.Address(s.t), settings: filepath.Join(s.directory, name+".jsonc"),
	}
	advertised := own

	if s.bandwidth != nil {
		e.bandwidth = s.bandwidth(name)
		advertised = s.linkPeers(e, own)
	}

	e.link = s.listen(faultproxy.WithClientBandwidth(func(netip.AddrPort) *faultproxy.Bandwidth { return e.bandwidth }))
	e.link.Set(faultproxy.Fault{Target: s.store})

	content := fmt.Sprintf(`{"node": %q, "region": "r", "zone": "a", "seeds": [%q], "usageWindow": "2s",
		"listen": {"callers": %q, "readiness": %q, "directory": %q, "peers": %q, "advertisedPeers": %q, "probes": %q, "operator": %q},
		"platform": {"store": %q, "cloud": %q}, "probeKey": %q,
		"retries": {"ratio": 0.1, "window": "10s", "slack": %d}}`, name, peers, e.callers, freeport.Address(s.t), e.directory, own,
		advertised, freeport.Address(s.t), e.operator, e.link.Address, e.link.Address, s.probeKey, s.retrySlack)

	if err := os.WriteFile(e.settings, []byte(content), 0o600); err != nil {
		s.t.Fatal(err)
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	s.entries = append(s.entries, e)
}

// listen opens a link that the test's end closes.
func (s *entrySystem) listen(options ...faultproxy.Option) *faultproxy.Link {
	link, err := faultproxy.Listen(s.t.Context(), "tcp", options...)
	if err != nil {
		s.t.Fatal(err)
	}

	s.t.Cleanup(link.Close)

	return link
}

// linkPeers opens the link through which other hosts connect to the given one, and returns its address. Their connections use the bandwidth
// of both hosts.
func (s *entrySystem) linkPeers(e *entryProgram, own netip.AddrPort) netip.AddrPort {
	var link *faultproxy.Link

	link = s.listen(faultproxy.WithTargetBandwidth(e.bandwidth), faultproxy.WithClientBandwidth(func(client netip.AddrPort) *faultproxy.Bandwidth {
		if other := s.processOf(client, link.Address); other != nil {
			return other.bandwidth
		}

		return nil
	}))
	link.Set(faultproxy.Fault{Target: own})

	return link.Address
}

// start starts the process of an entry host, and appends its log to the same file after a restart. It does nothing while the process
// runs, as after the second of two failures that ended it.
func (s *entrySystem) start(e *entryProgram) {
	if e.running() {
		return
	}

	program, err := exec.LookPath(cmp.Or(e.program, "apricotway"))
	if err != nil {
		s.t.Fatal(err)
	}

	output, err := os.OpenFile(e.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		s.t.Fatal(err)
	}

	command := exec.Command(program, "entry", "--settings", e.settings)
	command.Stdout, command.Stderr = output, output
	command.Env = append(os.Environ(), s.environment...)

	if err := command.Start(); err != nil {
		s.t.Fatal(err)
	}

	done := make(chan struct{})
	e.command, e.done = command, done
	e.pid.Store(int64(command.Process.Pid))

	go func() {
		defer close(done)

		_ = command.Wait() // The error only names the signal that the test sent.
		_ = output.Close()
	}()
}

// running reports whether the process has been started and has not ended.
func (e *entryProgram) running() bool {
	if e.done == nil {
		return false
	}

	select {
	case <-e.done:
		return false
	default:
		return true
	}
}

// end sends the signal to the process, after SIGCONT in case it is stopped, and waits for its end.
func (e *entryProgram) end(signal syscall.Signal) {
	_ = e.command.Process.Signal(syscall.SIGCONT)
	_ = e.command.Process.Signal(signal)
	<-e.done
}

// call sends one attempt without prompt parts or body, and reports whether the status was 200.
func (s *entrySystem) call(ctx context.Context, client *http.Client, address netip.AddrPort, attempt string, stream bool) bool {
	c := standin.Call{Address: address, Host: "h.example", Path: "/book/x", Attempt: attempt, Key: "secret"}
	if stream {
		c.Path, c.Tokens = "/chat/x", "100,20"
	}

	return s.send(ctx, client, c)
}

// send sends an attempt with the client, records the response or the error, and reports whether the status was 200.
func (s *entrySystem) send(ctx context.Context, client *http.Client, c standin.Call) bool {
	request, err := c.Request(ctx)
	if err != nil {
		s.t.Error(err)
		return false
	}

	// Without GetBody the client cannot retry by itself, which would send the same attempt twice.
	request.GetBody = nil

	a := attemptResult{attempt: c.Attempt, path: c.Path, address: c.Address, sent: time.Now()}

	response, err := client.Do(request)
	if err == nil {
		var content []byte

		a.begun = time.Now()
		a.engine, a.limited = standin.StatedLimit(response.Header)
		_, a.leaving = standin.StatedLeaving(response.Header)

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

// startCallers starts callers that send attempts to random entry hosts until the context ends. They keep their connections
// alive, so that a failure also breaks connections in use.
func (s *entrySystem) startCallers(ctx context.Context) *sync.WaitGroup {
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

// injectFailure injects one random failure, and returns the function that ends it.
func (s *entrySystem) injectFailure() (heal func()) {
	e := s.entries[s.random.IntN(len(s.entries))]
	nothing := func() {}

	switch s.random.IntN(hostFailures) {
	case 0:
		healed := e.interrupt()
		e.end(syscall.SIGKILL)

		return func() { s.start(e); healed() }
	case 1:
		healed := e.interrupt()
		// The process may already have ended.
		_ = e.command.Process.Signal(syscall.SIGSTOP)

		return func() { _ = e.command.Process.Signal(syscall.SIGCONT); healed() }
	case 2:
		healed := e.interrupt()
		e.end(syscall.SIGTERM)

		return func() { s.start(e); healed() }
	case 3:
		s.platform.SetDown(true)
		s.storeDown = append(s.storeDown, interval{begin: time.Now()})
		at := len(s.storeDown) - 1

		return func() { s.platform.SetDown(false); s.storeDown[at].end = time.Now() }
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
		healed := e.impair()
		e.link.Set(faultproxy.Fault{Target: s.store, Cut: direction, DelayMillis: s.random.IntN(100)})

		return func() { e.link.Set(faultproxy.Fault{Target: s.store}); healed() }
	case 7:
		s.publish()
		return nothing
	default:
		return s.replaceEngine()
	}
}

// injectFailures injects some random failures and ends them.
func (s *entrySystem) injectFailures() {
	var heals []func()

	for range 2 + s.random.IntN(3) {
		heals = append(heals, s.injectFailure())

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
}

// replaceEngine starts an engine and, if the random older one is of the same service, ends that: at once, or only when the
// failure heals, after it has announced that it is draining.
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

// check compares the responses that callers got with the executions of the engines: an unsafe attempt runs at most once and
// never after a refusal, a successful response is complete, and usage reports do not contradict each other.
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
			s.t.Errorf("attempt %s: got status %d (%s), want none of these for a valid call", a.attempt, a.status, a.body)
		case a.status == http.StatusOK && unsafe && a.body != "POST /book/x ":
			s.t.Errorf("attempt %s: got body %q, want the complete body of the server", a.attempt, a.body)
		case a.status == http.StatusOK && !unsafe && a.body != stream:
			s.t.Errorf("attempt %s: got stream %q, want every event once", a.attempt, a.body)
		}
	}

	if _, conflicts := s.platform.Usage(); conflicts != 0 {
		s.t.Errorf("got %d usage reports that contradict earlier ones, want none", conflicts)
	}
}

// awaitServing waits until every process serves streams.
func (s *entrySystem) awaitServing() {
	s.t.Helper()

	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	end := time.Now().Add(recoverTime)

	for _, e := range s.entries {
		for n := 0; !s.call(s.t.Context(), client, e.callers, fmt.Sprint("ready-", e.name, n), true); n++ {
			if time.Now().After(end) {
				s.t.Fatalf("%s did not serve a stream within %s", e.name, recoverTime)
			}

			<-time.After(50 * time.Millisecond)
		}
	}
}

// awaitRecovery waits until every process serves calls of both routes.
func (s *entrySystem) awaitRecovery(when string) {
	s.t.Helper()

	client := &http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	end := time.Now().Add(recoverTime)

	for _, e := range s.entries {
		for n := 0; !s.call(s.t.Context(), client, e.callers, fmt.Sprint(when, e.name, n, "b"), false) ||
			!s.call(s.t.Context(), client, e.callers, fmt.Sprint(when, e.name, n, "s"), true); n++ {
			if time.Now().After(end) {
				s.t.Fatalf("%s: %s did not serve calls of both routes within %s after the failures ended", when, e.name, recoverTime)
			}

			<-time.After(50 * time.Millisecond)
		}
	}
}

func runEntrySchedule(t *testing.T, seed uint64, enough func(rounds int) bool) {
	s := newEntrySystem(t, seed)
	s.awaitRecovery("start")

	for round := 0; !enough(round) && !t.Failed(); round++ {
		ctx, cancel := context.WithCancel(t.Context())
		calling := s.startCallers(ctx)

		s.injectFailures()
		s.awaitRecovery(fmt.Sprint("round", round))
		cancel()
		calling.Wait()
		s.check()
	}

	t.Logf("seed %d: %d attempts", seed, len(s.answers))
}

// keepLogs copies the settings and logs to a directory that outlasts the test.
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

// entrySeeds are the seeds that run by default, as in CI.
var entrySeeds = []uint64{11}

// TestEntryFailures guards against entry hosts that break the rules in check, or do not recover, under failures that follow
// each other and overlap. The entry hosts are real processes; the platform is a stand-in. "make soak-entry" runs other seeds.
func TestEntryFailures(t *testing.T) {
	t.Parallel()

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
