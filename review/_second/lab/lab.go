// Command lab plays the cases of the second review: it starts the project's own program as separate processes on loopback addresses,
// with stand-ins of the platform, the engines and the clients, and checks one rule of the operators' pages.
package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/apricotway/apricotway/platform/standin"
)

const (
	exitHeld, exitBroken, exitNotRun = 0, 1, 2
	// heartbeat is the interval at which engines write their entries, as heartbeat_ms of a small deployment.
	heartbeat = 1200 * time.Millisecond
	// lostForGood is later than the end of any case: the stand-in of the store does not write again by itself what a restore has lost.
	lostForGood = time.Hour
	host        = "h.example"
	key         = "key-of-tenant-w"
)

// errNotRun is the error of a case that could not be played.
var errNotRun = errors.New("the case could not run")

// lab is one deployment under test.
type lab struct {
	dir      string
	trouble  bool
	platform *standin.Platform
	store    string
	entries  []*entry
	seed     string

	mu     sync.Mutex
	record io.Writer
	began  time.Time
	closed []func()
	names  atomic.Int64
	// away is set while the store answers nothing, and returned is closed when it is back.
	away     bool
	returned chan struct{}
	engines  []*engine
}

// logf writes a line of the record: what was sent, answered and run.
func (l *lab) logf(format string, arguments ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()

	fmt.Fprintf(l.record, "%8.3f s  %s\n", time.Since(l.began).Seconds(), fmt.Sprintf(format, arguments...))
}

// newLab starts the platform.
func newLab(record io.Writer, trouble bool) (*lab, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}

	l := &lab{dir: dir, trouble: trouble, platform: standin.New(), record: record, began: time.Now()}

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}

	l.store = listener.Addr().String()
	server := &http.Server{Handler: http.HandlerFunc(l.serveStore)}

	go func() { _ = server.Serve(listener) }()

	l.onClose(func() { _ = server.Close() })

	return l, nil
}

// serveStore passes a call on to the platform's store and cloud API. While the store is away, its calls get no answer.
func (l *lab) serveStore(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	away, returned := l.away, l.returned
	l.mu.Unlock()

	if away && strings.HasPrefix(r.URL.Path, "/-/") {
		select {
		case <-returned:
		case <-r.Context().Done():
		}

		panic(http.ErrAbortHandler)
	}

	l.platform.ServeHTTP(w, r)
}

// takeStoreAway makes the store silent: it accepts connections and answers nothing. Engines can't write their entries meanwhile.
func (l *lab) takeStoreAway() {
	l.mu.Lock()
	l.away, l.returned = true, make(chan struct{})
	l.mu.Unlock()
	l.logf("the store is away: it answers nothing")
}

// bringStoreBack ends that. With an age above 0 the store comes back from a copy of that age; engines write their entries again with their
// next heartbeats, the operator its configuration at once.
func (l *lab) bringStoreBack(age time.Duration) {
	if age > 0 {
		l.platform.Restore(age, lostForGood)
		l.logf("the store comes back from a copy that is %v old", age)
	} else {
		l.logf("the store is back")
	}

	l.mu.Lock()
	l.away = false
	close(l.returned)
	l.mu.Unlock()
}

func (l *lab) storeAway() bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.away
}

func (l *lab) onClose(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.closed = append(l.closed, f)
}

// close ends all processes and stand-ins that the lab has started.
func (l *lab) close() {
	for _, e := range l.entries {
		e.kill()
	}

	l.mu.Lock()
	closed := l.closed
	l.mu.Unlock()

	for _, f := range closed {
		f()
	}

	_ = os.RemoveAll(l.dir)
}

// freeAddresses returns loopback addresses with free ports. All of them are held until the last one is known.
func freeAddresses(count int) []string {
	var addresses []string

	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			panic(err)
		}
		defer listener.Close()

		addresses = append(addresses, listener.Addr().String())
	}

	return addresses
}

// entry is one process of the project's program.
type entry struct {
	lab                           *lab
	name                          string
	callers, directory, readiness string
	operator                      string
	settings, log                 string
	command                       *exec.Cmd
	done                          chan struct{}
}

// addEntry writes the settings of an entry host: the deploy template with the figures of a small deployment.
func (l *lab) addEntry(name string) *entry {
	free := freeAddresses(6)
	peers := free[0]

	if l.seed == "" {
		l.seed = peers
	}

	e := &entry{
		lab: l, name: name, callers: free[1], directory: free[2], readiness: free[3], operator: free[4],
		settings: filepath.Join(l.dir, name+".jsonc"), log: filepath.Join(l.dir, name+".log"),
	}
	content := fmt.Sprintf(`{
  "node": %q, "region": "makedonia", "zone": "giannitsa",
  "listen": {"callers": %q, "readiness": %q, "directory": %q, "peers": %q, "probes": %q, "operator": %q},
  "seeds": [%q],
  "platform": {"store": %q, "cloud": %q, "writesPerSecond": 400},
  "processor": 0.4, "linkMegabits": 1000, "memoryMegabytes": 284,
  "stopLimit": "8s", "keyRevocation": "5000ms", "usageWindow": "5s",
  "retries": {"ratio": 0.2, "window": "10s", "slack": 56},
  "canary": {},
  "probeKey": "6170726963747761792d656e7472792d70726f62652d6b6579",
}`, name, e.callers, e.readiness, e.directory, peers, free[5], e.operator, l.seed, l.store, l.store)

	if err := os.WriteFile(e.settings, []byte(content), 0o600); err != nil {
		panic(err)
	}

	l.entries = append(l.entries, e)

	return e
}

// start starts the process with the command of the deploy file.
func (e *entry) start() error {
	output, err := os.OpenFile(e.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}

	e.command = exec.Command("target/apricotway", "entry")
	e.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + e.lab.dir, "APRICOTWAY_SETTINGS=" + e.settings}
	e.command.Stdout, e.command.Stderr = output, output
	// The process ends with this program, however that ends.
	e.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}

	if err := e.command.Start(); err != nil {
		return err
	}

	done := make(chan struct{})
	e.done = done
	command := e.command

	go func() {
		defer close(done)

		err := command.Wait()
		_ = output.Close()
		e.lab.logf("process %s ended: %v", e.name, err)
	}()

	return nil
}

func (e *entry) signal(s syscall.Signal) {
	e.lab.logf("process %s gets %v", e.name, s)
	_ = e.command.Process.Signal(s)
}

// running reports whether the process lives.
func (e *entry) running() bool {
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

// kill ends the process, also one that is stopped.
func (e *entry) kill() {
	if e.running() {
		_ = e.command.Process.Kill()
		<-e.done
	}
}

// ready asks the process for its readiness as the platform does.
func (e *entry) ready() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

	response, err := client.Get("http://" + e.readiness + "/-/readyz")
	if err != nil {
		return false
	}
	defer response.Body.Close()

	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all processes are ready.
func (l *lab) awaitReady() error {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		all := true
		for _, e := range l.entries {
			all = all && e.ready()
		}

		if all {
			return nil
		}
	}

	return fmt.Errorf("%w: processes not ready", errNotRun)
}

// startEntries starts processes and waits until they are ready.
func (l *lab) startEntries(count int) error {
	for i := range count {
		if err := l.addEntry(fmt.Sprintf("front-giannitsa-%d", i+1)).start(); err != nil {
			return fmt.Errorf("%w: %w", errNotRun, err)
		}
	}

	return l.awaitReady()
}

// putConfig writes a configuration of the operator.
func (l *lab) putConfig(text string) error {
	var value any
	if err := json.Unmarshal([]byte(text), &value); err != nil {
		return fmt.Errorf("%w: %w", errNotRun, err)
	}

	return l.platform.PutConfig(value)
}

// exchange is one request that an engine has read, with its connection.
type exchange struct {
	engine  *engine
	conn    net.Conn
	request *http.Request
	body    []byte
	attempt string
	// reader is the rest of what the connection brings.
	reader *bufio.Reader
}

func (x *exchange) writef(format string, arguments ...any) error {
	_, err := fmt.Fprintf(x.conn, format, arguments...)
	return err
}

// head writes the head of an answer with the headers that each answer of an engine has.
func (x *exchange) head(status string, lines ...string) error {
	return x.writef("HTTP/1.1 %s\r\nApricotway-Attempt-Id: %s\r\nApricotway-Server-Seal: seal-%s-%s\r\nApricotway-Instance-Id: %s\r\n%s\r\n",
		status, x.attempt, x.engine.id, x.attempt, x.engine.id, strings.Join(append(lines, ""), "\r\n"))
}

// engine is a backend server that registers itself in the platform's store.
type engine struct {
	lab                  *lab
	id, service, version string
	address              string
	born                 int64
	slots                int
	listener             net.Listener
	// handle answers one request and reports whether the connection is kept.
	handle func(x *exchange) bool

	mu    sync.Mutex
	seq   int
	state string
	// gone is set once the engine has ended for good, down while it is not running.
	gone, down bool
	conns      map[net.Conn]struct{}
	runs       map[string]int
}

func (l *lab) startEngine(id, service string, handle func(x *exchange) bool) (*engine, error) {
	return l.startEngineOf(id, service, "v1", handle)
}

func (l *lab) startEngineOf(id, service, version string, handle func(x *exchange) bool) (*engine, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}

	e := &engine{
		lab: l, id: id, service: service, version: version, address: listener.Addr().String(), born: time.Now().UnixMilli(), slots: 64, listener: listener,
		handle: handle, state: "ready", conns: map[net.Conn]struct{}{}, runs: map[string]int{},
	}
	if service == "lot-ledger" {
		e.slots = 6
	}

	l.engines = append(l.engines, e)

	go e.accept()
	e.register()

	stop := make(chan struct{})

	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(heartbeat):
				e.register()
			}
		}
	}()

	l.onClose(func() { close(stop); e.close() })

	return e, nil
}

// startVersion starts model engines of a software version at the same time.
func (l *lab) startVersion(version string, count int, handle func(x *exchange) bool) error {
	for i := range count {
		if _, err := l.startEngineOf(fmt.Sprintf("i-%s-%d", version, i+1), "kernel-assist", version, handle); err != nil {
			return fmt.Errorf("%w: %w", errNotRun, err)
		}
	}

	return nil
}

func (e *engine) close() {
	_ = e.listener.Close()
	e.mu.Lock()
	defer e.mu.Unlock()

	e.gone = true
	for c := range e.conns {
		_ = c.Close()
	}
}

func (e *engine) register() {
	e.mu.Lock()
	defer e.mu.Unlock()

	if e.gone || e.down || e.lab.storeAway() {
		return
	}

	e.seq++
	_ = e.lab.platform.PutServer(e.id, map[string]any{
		"service": e.service, "address": e.address, "zone": "giannitsa", "version": e.version, "slots": e.slots, "state": e.state,
		"cold_left_ms": 0, "seq": e.seq, "born": e.born,
	})
}

// ran records that the engine began to work on a request.
func (e *engine) ran(x *exchange) {
	e.mu.Lock()
	e.runs[x.attempt]++
	e.mu.Unlock()
	e.lab.logf("engine %s runs %s (%s %s)", e.id, x.attempt, x.request.Method, x.request.RequestURI)
}

func (e *engine) runsOf(attempt string) int {
	e.mu.Lock()
	defer e.mu.Unlock()

	return e.runs[attempt]
}

func (e *engine) accept() {
	e.mu.Lock()
	listener := e.listener
	e.mu.Unlock()

	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}

		e.mu.Lock()
		e.conns[conn] = struct{}{}
		e.mu.Unlock()

		go e.serve(conn)
	}
}

func (e *engine) serve(conn net.Conn) {
	defer func() {
		e.mu.Lock()
		delete(e.conns, conn)
		e.mu.Unlock()
		_ = conn.Close()
	}()

	reader := bufio.NewReader(conn)

	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}

		x := &exchange{engine: e, conn: conn, request: request, attempt: request.Header.Get("Apricotway-Attempt-Id"), reader: reader}

		if request.URL.Path == "/healthz" {
			_, _ = io.Copy(io.Discard, request.Body)
			_ = x.writef("HTTP/1.1 200 OK\r\nApricotway-Instance-Id: %s\r\nApricotway-Load-Report: 0,0,%d,100\r\nContent-Length: 0\r\n\r\n", e.id, e.slots)

			continue
		}

		if x.body, err = io.ReadAll(request.Body); err != nil {
			return
		}

		if expected := request.Header.Get("Apricotway-Expect-Instance"); expected != "" && expected != e.id {
			_ = x.head("421 Misdirected Request", "Content-Length: 0")
			continue
		}

		e.mu.Lock()
		handle := e.handle
		e.mu.Unlock()

		if !handle(x) {
			return
		}
	}
}

// answerPlain runs a request and answers it as a sound plain server.
func answerPlain(x *exchange) bool {
	x.engine.ran(x)

	body := x.request.Method + " " + x.request.RequestURI + " " + string(x.body)

	return x.head("200 OK", "Content-Type: text/plain", fmt.Sprintf("Content-Length: %d", len(body))) == nil && x.writef("%s", body) == nil
}

// result is what a client got for one attempt.
type result struct {
	attempt string
	status  int
	header  http.Header
	body    string
	// complete is set when the answer was read to its end.
	complete bool
	err      error
	took     time.Duration
}

// call describes one attempt of a client.
type call struct {
	method, path, body string
	headers            []string
	deadline           time.Duration
	noKey              bool
}

func (l *lab) attempt() string {
	return fmt.Sprintf("a%04d%012x", l.names.Add(1), time.Now().UnixNano()&0xffffffffffff)
}

// text returns the request as it is written to the connection.
func (c call) text(attempt string) string {
	deadline := c.deadline
	if deadline == 0 {
		deadline = 3 * time.Second
	}

	lines := []string{
		fmt.Sprintf("%s %s HTTP/1.1", c.method, c.path), "Host: " + host, "Apricotway-Attempt-Id: " + attempt,
		fmt.Sprintf("Apricotway-Deadline-Ms: %d", deadline.Milliseconds()),
	}
	if !c.noKey {
		lines = append(lines, "Authorization: Bearer "+key)
	}

	lines = append(lines, c.headers...)
	if c.method == http.MethodPost {
		lines = append(lines, fmt.Sprintf("Content-Length: %d", len(c.body)))
	}

	return strings.Join(lines, "\r\n") + "\r\n\r\n" + c.body
}

// send sends one attempt on a new connection and reads the answer.
func (l *lab) send(ctx context.Context, address string, c call) result {
	attempt := l.attempt()
	r := result{attempt: attempt}
	began := time.Now()

	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", address)
	if err != nil {
		r.err = err
		return r
	}
	defer conn.Close()

	_ = conn.SetDeadline(time.Now().Add(max(c.deadline, 3*time.Second) + 2*time.Second))

	l.logf("client sends %s (%s %s)", attempt, c.method, c.path)

	if _, err := io.WriteString(conn, c.text(attempt)); err != nil {
		r.err = err
		return r
	}

	return l.readAnswer(bufio.NewReader(conn), c.method, r, began)
}

func (l *lab) readAnswer(reader *bufio.Reader, method string, r result, began time.Time) result {
	response, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		r.err, r.took = err, time.Since(began)
		l.logf("client got no answer to %s: %v", r.attempt, err)

		return r
	}
	defer response.Body.Close()

	content, err := io.ReadAll(response.Body)
	r.status, r.header, r.body, r.err, r.complete, r.took = response.StatusCode, response.Header, string(content), err, err == nil, time.Since(began)
	shown := r.body[:min(len(r.body), 100)]
	l.logf("client got %d for %s after %d ms, %d bytes, complete: %t, seal %q, body %q", r.status, r.attempt, r.took.Milliseconds(), len(r.body),
		r.complete, r.header.Get("Apricotway-Server-Seal"), shown)

	return r
}
