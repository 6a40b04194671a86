// Command harness plays one case of the review: it starts real entry processes on loopback addresses, with the platform, the servers and
// the callers as stand-ins in its own process, brings about the disruption and checks one rule.
package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/apricotway/apricotway/platform/standin"
)

// storeAnswerTime is the time that the platform's store takes for an answer, from the sheets.
const storeAnswerTime = 4 * time.Millisecond

// heartbeat is the interval at which servers write their entries, from heartbeat_ms.
const heartbeat = 1200 * time.Millisecond

// system is a small deployment.
type system struct {
	platform  *standin.Platform
	store     string
	directory string
	trouble   bool
	began     time.Time
	entries   []*entry
	engines   []*engine
	stop      context.CancelFunc
	ctx       context.Context
	storeDown atomic.Bool
	// loseUntil is the Unix time in nanoseconds until which one answer of the store is lost; 0 for none.
	loseUntil atomic.Int64
	// holder is the name under which the last usage report came.
	holder atomic.Value

	mu     sync.Mutex
	record *os.File
	// duties holds the accepted calls for duties, appended the time of the last append to each log, and ordered the engines that were ordered.
	duties   []dutyCall
	appended map[string]time.Time
	ordered  map[string][]*engine
	started  int
}

// entry is one entry host and its process.
type entry struct {
	name, settings, callers, readiness, peers, probes, operator string

	command *exec.Cmd
	done    chan struct{}
}

// run is one request that a server began to work on.
type run struct {
	at                      time.Duration
	attempt, tenant, target string
}

// engine is a server that keeps to the operators' protocol. It answers calls that state token counts with a stream, and others after work.
type engine struct {
	id, service, address string
	zone                 string
	spot                 bool
	system               *system
	work                 time.Duration

	mu      sync.Mutex
	runs    []run
	seq     int
	born    int64
	version string
	leaving bool
	// length is the number of events in a stream; 0 for events. silent is the Unix time in nanoseconds until which the server is silent.
	length int
	silent atomic.Int64
	server *http.Server
}

// events is the number of events in a stream, and eventGap the time between two of them, about those of the sheets.
const (
	events   = 49
	eventGap = 50 * time.Millisecond
)

// errCannotRun ends a case that could not be played.
type errCannotRun struct{ reason string }

func (e errCannotRun) Error() string { return e.reason }

func check(err error) {
	if err != nil {
		panic(errCannotRun{err.Error()})
	}
}

func newSystem(record string) *system {
	file, err := os.Create(record)
	check(err)

	directory, err := os.MkdirTemp("", "review")
	check(err)

	s := &system{
		platform: standin.New(), directory: directory, trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), record: file,
		appended: map[string]time.Time{}, ordered: map[string][]*engine{},
	}
	s.ctx, s.stop = context.WithCancel(context.Background())

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)

	s.store = listener.Addr().String()

	go func() { _ = http.Serve(listener, http.HandlerFunc(s.servePlatform)) }()

	s.logf("trouble=%t", s.trouble)

	return s
}

// servePlatform answers for the store and the cloud, and records usage reports with their results.
func (s *system) servePlatform(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeAnswerTime)

	if r.URL.Path == "/-/log-append" && r.URL.Query().Get("topic") == "duties" && s.loses() {
		s.platform.ServeHTTP(&discardWriter{header: http.Header{}}, r)
		s.logf("lost the answer to an append to the log of the duties")
		<-r.Context().Done()

		return
	}

	if r.URL.Path == "/-/log-append" && !strings.HasPrefix(r.URL.Query().Get("topic"), "keyed.") {
		s.mu.Lock()
		s.appended[r.URL.Query().Get("topic")] = time.Now()
		s.mu.Unlock()
	}

	if r.URL.Path != "/usage" && r.URL.Path != "/scaling" {
		s.platform.ServeHTTP(w, r)
		return
	}

	body, _ := io.ReadAll(r.Body)
	r.Body = io.NopCloser(strings.NewReader(string(body)))
	answer := &statusWriter{ResponseWriter: w, status: http.StatusOK}
	s.platform.ServeHTTP(answer, r)
	holder := r.Header.Get("Apricotway-Duty-Holder")
	s.logf("%s from %s with number %s: %s -> %d", r.URL.Path, holder, r.Header.Get("Apricotway-Fencing-Token"), body, answer.status)

	if answer.status != http.StatusOK {
		return
	}

	s.recordDuty(holder, r.URL.Path)

	if r.URL.Path == "/usage" {
		s.holder.Store(holder)
	} else {
		s.fulfil(body)
	}
}

// loses reports whether the answer to the present append is lost: the first one in the time set.
func (s *system) loses() bool {
	until := s.loseUntil.Load()
	return until > time.Now().UnixNano() && s.loseUntil.CompareAndSwap(until, 0)
}

// dutyHolder returns who sent the last usage report.
func (s *system) dutyHolder() string {
	holder, _ := s.holder.Load().(string)
	return holder
}

// discardWriter is the answer to a call that is carried out and not answered.
type discardWriter struct{ header http.Header }

func (w *discardWriter) Header() http.Header               { return w.header }
func (w *discardWriter) Write(content []byte) (int, error) { return len(content), nil }
func (w *discardWriter) WriteHeader(int)                   {}

type statusWriter struct {
	http.ResponseWriter
	status int
}

func (w *statusWriter) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

// notef writes a line to the record, with the time since the beginning.
func (s *system) notef(format string, args ...any) string {
	s.mu.Lock()
	defer s.mu.Unlock()

	line := fmt.Sprintf("%8.3f ", time.Since(s.began).Seconds()) + fmt.Sprintf(format, args...)
	_, _ = fmt.Fprintln(s.record, line)

	return line
}

// logf writes a line to the record and to standard output.
func (s *system) logf(format string, args ...any) { fmt.Println(s.notef(format, args...)) }

// putConfig writes the operators' configuration. Its return is the confirmation.
func (s *system) putConfig(config string) time.Time {
	check(s.platform.PutConfig(json.RawMessage(config)))
	return time.Now()
}

// usedPorts holds the ports that were given out.
var usedPorts = map[int]bool{}

// freePort returns an address of this machine with a free port, below those that the system gives to connections.
func freePort(network string) string {
	for {
		port := firstPort + rand.IntN(lastPort-firstPort)
		address := fmt.Sprintf("127.0.0.1:%d", port)

		if usedPorts[port] {
			continue
		}

		var (
			socket io.Closer
			err    error
		)

		if network == "udp" {
			socket, err = net.ListenPacket("udp", address)
		} else {
			socket, err = net.Listen("tcp", address)
		}

		if err == nil {
			usedPorts[port] = true
			_ = socket.Close()

			return address
		}
	}
}

const (
	maxSeeds  = 3
	firstPort = 12000
	lastPort  = 32000
)

// addEntries writes the settings of entry hosts, as deploy/entry.jsonc.template does for a small deployment.
func (s *system) addEntries(count int) {
	for i := range count {
		s.entries = append(s.entries, &entry{
			name: fmt.Sprintf("front-%d", i), callers: freePort("tcp"), readiness: freePort("tcp"), peers: freePort("tcp"), probes: freePort("udp"),
			operator: freePort("tcp"),
			settings: filepath.Join(s.directory, fmt.Sprintf("front-%d.jsonc", i)),
		})
	}

	// The settings name at most three machines.
	var seeds []string
	for _, e := range s.entries[:min(len(s.entries), maxSeeds)] {
		seeds = append(seeds, e.peers)
	}

	for _, e := range s.entries {
		content := fmt.Sprintf(`{
  "node": %q, "region": "prairie-west", "zone": "saskatoon-a",
  "listen": {"callers": %q, "readiness": %q, "directory": %q, "peers": %q, "probes": %q, "operator": %q},
  "seeds": ["%s"],
  "platform": {"store": %q, "cloud": %q, "writesPerSecond": 400},
  "processor": 0.4, "linkMegabits": 1000, "memoryMegabytes": 284,
  "stopLimit": "8s", "keyRevocation": "5000ms", "usageWindow": "5s",
  "retries": {"ratio": 0.2, "window": "10s", "slack": 52},
  "probeKey": "6170726963747761792d656e7472792d70726f62652d6b6579",
}`, e.name, e.callers, e.readiness, freePort("tcp"), e.peers, e.probes, e.operator, strings.Join(seeds, `", "`), s.store, s.store)
		check(os.WriteFile(e.settings, []byte(content), 0o600))
	}
}

// start starts the process of an entry host with the command of the deploy file.
func (s *system) start(e *entry) {
	log, err := os.OpenFile(e.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)

	e.command = exec.Command("target/apricotway", "entry")
	e.command.Env = append(os.Environ(), "APRICOTWAY_SETTINGS="+e.settings)
	e.command.Stdout, e.command.Stderr = log, log
	check(e.command.Start())

	done, command := make(chan struct{}), e.command
	e.done = done

	go func() {
		defer close(done)

		_ = command.Wait()
		_ = log.Close()
	}()

	s.logf("started %s, callers at %s", e.name, e.callers)
}

func (s *system) signal(e *entry, signal syscall.Signal) {
	s.logf("%s to %s", signal, e.name)
	check(e.command.Process.Signal(signal))
}

// kill ends a process and waits for its end.
func (s *system) kill(e *entry) {
	s.logf("SIGKILL to %s", e.name)
	check(e.command.Process.Kill())
	<-e.done
}

// awaitReady waits until all entry hosts say that they are ready.
func (s *system) awaitReady(limit time.Duration) {
	client := &http.Client{Timeout: time.Second}

	for end := time.Now().Add(limit); ; time.Sleep(50 * time.Millisecond) {
		ready := 0

		for _, e := range s.entries {
			if answer, err := client.Get("http://" + e.readiness + "/-/readyz"); err == nil {
				_ = answer.Body.Close()

				if answer.StatusCode == http.StatusOK {
					ready++
				}
			}
		}

		if ready == len(s.entries) {
			s.logf("all entry hosts are ready")
			return
		}

		if time.Now().After(end) {
			panic(errCannotRun{"the entry hosts were not ready in time"})
		}
	}
}

// close ends all processes.
func (s *system) close() {
	s.stop()

	for _, e := range s.entries {
		if e.command != nil && e.command.Process != nil {
			_ = e.command.Process.Signal(syscall.SIGCONT)
			_ = e.command.Process.Kill()
			<-e.done
		}
	}

	if os.Getenv("KEEP") != "" {
		fmt.Println("logs kept in", s.directory)
		return
	}

	_ = os.RemoveAll(s.directory)
}

// addEngine starts a server that registers itself.
func (s *system) addEngine(id, service string, work time.Duration) *engine {
	e := &engine{id: id, service: service, zone: "saskatoon-a", system: s, work: work}
	s.engines = append(s.engines, e)
	e.address = freePort("tcp")
	e.boot()

	return e
}

// boot starts the server for the first time, and writes its entry again and again.
func (e *engine) boot() {
	e.mu.Lock()
	left := e.leaving
	e.mu.Unlock()

	if left {
		return
	}

	e.start("1", e.address)

	go func() {
		for ticker := time.NewTicker(heartbeat); ; {
			select {
			case <-ticker.C:
				e.register()
			case <-e.system.ctx.Done():
				return
			}
		}
	}()
}

// leave reports that the server leaves, and stops it after drain_ms.
func (e *engine) leave() {
	e.mu.Lock()
	e.leaving = true
	e.mu.Unlock()

	e.register()
	time.Sleep(2 * time.Second)

	e.mu.Lock()
	server := e.server
	e.server = nil
	e.mu.Unlock()

	if server != nil {
		_ = e.system.platform.PutServer(e.id, nil)
		_ = server.Close()
	}
}

// start starts the server's software at a version, with nothing known of before.
func (e *engine) start(version, address string) {
	listener, err := net.Listen("tcp", address)
	check(err)

	e.mu.Lock()
	e.address, e.version, e.seq, e.born = listener.Addr().String(), version, 0, time.Now().UnixMilli()
	e.server = &http.Server{Handler: e}
	server := e.server
	e.mu.Unlock()

	go func() { _ = server.Serve(listener) }()

	e.register()
}

// crash ends the server's software at once, with all its connections.
func (e *engine) crash() {
	e.mu.Lock()
	server := e.server
	e.server = nil
	e.mu.Unlock()

	_ = server.Close()
}

// register writes the server's entry, unless the server or the store is down.
func (e *engine) register() {
	e.mu.Lock()
	defer e.mu.Unlock()

	if e.server == nil || e.system.storeDown.Load() {
		return
	}

	state := "ready"
	if e.leaving {
		state = "draining"
	}

	e.seq++
	check(e.system.platform.PutServer(e.id, map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": e.version, "slots": 64, "state": state, "cold_left_ms": 0, "spot": e.spot,
		"seq": e.seq, "born": e.born,
	}))
}

// setStoreDown starts or ends an outage of the store.
func (s *system) setStoreDown(down bool) {
	s.storeDown.Store(down)
	s.platform.SetDown(down)
	s.logf("store down: %t", down)
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	header := w.Header()
	header.Set("Apricotway-Instance-Id", e.id)

	if r.URL.Path == "/healthz" {
		return
	}

	attempt := r.Header.Get("Apricotway-Attempt-Id")
	header.Set("Apricotway-Attempt-Id", attempt)

	if expected := r.Header.Get("Apricotway-Expect-Instance"); expected != "" && expected != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}

	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}

	e.mu.Lock()
	e.runs = append(e.runs, run{time.Since(e.system.began).Round(time.Millisecond), attempt, r.Header.Get("Apricotway-Tenant"), r.Method + " " + r.RequestURI})
	e.mu.Unlock()

	if r.Header.Get("Apricotway-Token-Usage") != "" {
		e.stream(w, r)
		return
	}

	time.Sleep(e.work)
	header.Set("Apricotway-Server-Seal", "seal."+e.id+"."+attempt)
	_, _ = fmt.Fprintf(w, "%s %s %s", e.id, attempt, body)
}

// stream sends the events of a stream after the last one that the caller has.
func (e *engine) stream(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	version := e.version
	e.mu.Unlock()

	header := w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Apricotway-Server-Seal", "seal."+e.id+"."+r.Header.Get("Apricotway-Attempt-Id"))

	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))

	for id := last + 1; id <= cmp.Or(e.length, events); id++ {
		gap := eventGap
		if rest := time.Until(time.Unix(0, e.silent.Load())); rest > 0 {
			gap += rest
		}

		select {
		case <-time.After(gap):
		case <-r.Context().Done():
			return
		}

		if _, err := fmt.Fprintf(w, "id: %d\ndata: version %s of %s\n\n", id, version, e.id); err != nil {
			return
		}

		_ = http.NewResponseController(w).Flush()
	}
}

// runsOf returns the runs of an attempt at all servers.
func (s *system) runsOf(attempt string) []run {
	var runs []run

	for _, e := range s.engines {
		e.mu.Lock()
		for _, r := range e.runs {
			if r.attempt == attempt {
				runs = append(runs, r)
			}
		}
		e.mu.Unlock()
	}

	return runs
}

// caller is a client with connections of its own.
type caller struct {
	system *system
	name   string
	key    string
	client *http.Client
	count  int
	// length is the number of events in a stream, and outcome how the last stream ended.
	length  int
	outcome string
}

// connect opens the connection that the next request uses.
func (c *caller) connect(address string) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		c.system.logf("%s: %v", c.name, err)
		return
	}

	var used atomic.Bool

	c.client.Transport = &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) {
		if used.Swap(true) {
			return nil, net.ErrClosed
		}

		return conn, nil
	}}
}

func (s *system) newCaller(name, key string) *caller {
	return &caller{system: s, name: name, key: key, client: &http.Client{Transport: &http.Transport{}}}
}

// result is the result of one attempt.
type result struct {
	attempt string
	sent    time.Time
	status  int
	err     error
}

// send sends one attempt and waits for its answer.
func (c *caller) send(address, path string, limit time.Duration) result {
	c.count++
	answer := result{attempt: fmt.Sprintf("%s-%d", c.name, c.count), sent: time.Now()}

	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()

	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, strings.NewReader("body of "+answer.attempt))
	check(err)

	request.Host = "h.example"
	request.Header.Set("Apricotway-Attempt-Id", answer.attempt)
	request.Header.Set("Apricotway-Deadline-Ms", fmt.Sprint(limit.Milliseconds()))
	request.Header.Set("Authorization", "Bearer "+c.key)

	response, err := c.client.Do(request)
	if err != nil {
		answer.err = err
		return answer
	}

	defer response.Body.Close()

	if _, answer.err = io.ReadAll(response.Body); answer.err == nil {
		answer.status = response.StatusCode
	}

	return answer
}

// note writes the result to the record.
func (r result) note(s *system, key, address string) {
	s.notef("%s with %s to %s, sent at %.3f: status %d, error %v, runs %v", r.attempt, key, address, r.sent.Sub(s.began).Seconds(), r.status, r.err,
		s.runsOf(r.attempt))
}

// traffic sends calls to all running entry hosts until the returned function is called. Each host has a number of callers, of which each sends
// a call at a steady rate, unless its last one is still under way.
func (s *system) traffic(key, path string, perHost, perSecond int, limit time.Duration) (stop func() (sent, served int)) {
	var (
		wait         sync.WaitGroup
		mu           sync.Mutex
		sent, served int
	)

	done := make(chan struct{})

	for i, e := range s.entries {
		for k := range perHost {
			wait.Add(1)

			go func() {
				defer wait.Done()

				c := s.newCaller(fmt.Sprintf("steady%d.%d", i, k), key)

				for ticker := time.NewTicker(time.Second / time.Duration(perSecond)); ; {
					select {
					case <-ticker.C:
					case <-done:
						return
					}

					answer := c.send(e.callers, path, limit)
					answer.note(s, key, e.callers)

					mu.Lock()
					sent++

					if answer.status == http.StatusOK {
						served++
					}
					mu.Unlock()
				}
			}()
		}
	}

	return func() (int, int) {
		close(done)
		wait.Wait()

		return sent, served
	}
}
