package scenario

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/apricotway/apricotway/cmd/internal/faultproxy"
	"github.com/apricotway/apricotway/platform/standin"
)

const (
	cutEntries = 4
	cutCallers = 24
	// cutContact is the time after the beginning of a cut from which the operators' rule counts (contact_ms).
	cutContact = 3 * time.Second
	// cutLength is the time for which calls are counted from then on.
	cutLength = 4 * time.Second
	cutConfig = `{"version":%d,"routes":[
{"name":"chat","host":"h.example","path_prefix":"/chat/","kind":"streaming","timeout_ms":8000,"target_latency_ms":500,"gap_aim_ms":400,
"service":"model","max_attempts":2,"resumable":true},
{"name":"look","host":"h.example","path_prefix":"/look/","kind":"safe","timeout_ms":3000,"target_latency_ms":300,"service":"ledger","max_attempts":2},
{"name":"book","host":"h.example","path_prefix":"/book/","kind":"unsafe","timeout_ms":3000,"target_latency_ms":300,"service":"ledger","max_attempts":1}],
"services":[{"name":"model","health_path":"/healthz","engine":{"slots":64,"kv_capacity":1000000}},{"name":"ledger","health_path":"/healthz"}],
"limits":{"max_body_bytes":10000},"tenants":[{"name":"w","api_keys":["secret"]}]}`
)

// cutSystem is an entry system whose paths to the engines can be cut for each process.
type cutSystem struct {
	*entrySystem

	links   []*faultproxy.Link
	targets []netip.AddrPort
}

func newCutSystem(t *testing.T, seed uint64) *cutSystem {
	s := &cutSystem{entrySystem: newEntryPlatform(t, seed, cutConfig)}
	s.retrySlack = 100

	s.startLinked("model", "v1", 3)
	s.startLinked("model", "v2", 3)
	s.startLinked("ledger", "v1", 3)
	s.startEntries(cutEntries)

	return s
}

// startLinked starts engines of a software version behind links.
func (s *cutSystem) startLinked(service, version string, count int) {
	for range count {
		s.startEngine(service, standin.WithVersion(version), standin.WithSlots(64), standin.WithStream(versionEvents, 15*time.Millisecond),
			standin.WithWork(20*time.Millisecond), standin.WithLink(s.link), standin.WithCallsPerConnection(4))
	}
}

// link opens a link to an engine.
func (s *cutSystem) link(own netip.AddrPort) netip.AddrPort {
	link := s.listen()
	link.Set(faultproxy.Fault{Target: own})
	link.SetGroups(func(client netip.AddrPort) string {
		if e := s.processOf(client, link.Address); e != nil {
			return e.name
		}

		return ""
	})

	s.links, s.targets = append(s.links, link), append(s.targets, own)

	return link.Address
}

// processOf returns the process that has the loopback connection between two addresses, as Linux tells it; nil if there is none.
func (s *entrySystem) processOf(client, server netip.AddrPort) *entryProgram {
	inode := socketInode(client.Port(), server.Port())

	s.mu.Lock()
	entries := slices.Clone(s.entries)
	s.mu.Unlock()

	for _, e := range entries {
		open, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", e.pid.Load()))
		for _, file := range open {
			if target, err := os.Readlink(file); err == nil && target == "socket:["+inode+"]" {
				return e
			}
		}
	}

	return nil
}

// socketInode returns the inode of the loopback TCP socket with a local and a remote port, which it asks the kernel for (sock_diag(7)); a
// list of all sockets takes long to read while many connections have just ended.
func socketInode(local, remote uint16) string {
	const (
		inetDiag, byFamily          = 4, 20
		requestSize, inodeAt        = 72, 84
		familyAt, protocolAt        = 16, 17
		statesAt, portsAt, cookieAt = 20, 24, 64
	)

	socket, err := syscall.Socket(syscall.AF_NETLINK, syscall.SOCK_DGRAM|syscall.SOCK_CLOEXEC, inetDiag)
	if err != nil {
		return ""
	}
	defer func() { _ = syscall.Close(socket) }()

	request := make([]byte, requestSize)
	binary.NativeEndian.PutUint32(request, requestSize)
	binary.NativeEndian.PutUint16(request[4:], byFamily)
	binary.NativeEndian.PutUint16(request[6:], syscall.NLM_F_REQUEST)
	request[familyAt], request[protocolAt] = syscall.AF_INET, syscall.IPPROTO_TCP
	binary.NativeEndian.PutUint32(request[statesAt:], math.MaxUint32)
	binary.BigEndian.PutUint16(request[portsAt:], local)
	binary.BigEndian.PutUint16(request[portsAt+2:], remote)

	loopback := []byte{127, 0, 0, 1}
	copy(request[portsAt+4:], loopback)
	copy(request[portsAt+20:], loopback)
	binary.NativeEndian.PutUint64(request[cookieAt:], math.MaxUint64)

	if err := syscall.Sendto(socket, request, 0, &syscall.SockaddrNetlink{Family: syscall.AF_NETLINK}); err != nil {
		return ""
	}

	answer := make([]byte, syscall.Getpagesize())

	n, _, err := syscall.Recvfrom(socket, answer, 0)
	if err != nil || n < inodeAt+4 {
		return ""
	}

	return strconv.FormatUint(uint64(binary.NativeEndian.Uint32(answer[inodeAt:])), 10)
}

// cut sets the fault on the paths of a process to all engines.
func (s *cutSystem) cut(e *entryProgram, fault faultproxy.Fault) {
	for i, link := range s.links {
		fault.Target = s.targets[i]
		link.SetGroup(e.name, fault)
	}
}

// cutCall is the first try of a call.
type cutCall struct {
	entry   *entryProgram
	route   string
	attempt string
	sent    time.Time
	status  int
	served  bool
}

// cutResult counts first tries.
type cutResult struct{ tries, served int }

func (r cutResult) share() float64 { return float64(r.served) / float64(max(r.tries, 1)) }

// callers sends first tries to all processes in turn until the context ends.
func (s *cutSystem) callers(ctx context.Context) (wait func() []cutCall) {
	var (
		group sync.WaitGroup
		mu    sync.Mutex
		calls []cutCall
	)

	for i := range cutCallers {
		random := rand.New(rand.NewPCG(s.random.Uint64(), 0))

		group.Go(func() {
			client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{}}
			defer client.CloseIdleConnections()

			for n := 0; ctx.Err() == nil; n++ {
				call := s.try(context.WithoutCancel(ctx), client, s.entries[random.IntN(len(s.entries))], random.IntN(3), fmt.Sprintf("c%d-%x-%d", i, random.Uint32(), n))

				mu.Lock()
				calls = append(calls, call)
				mu.Unlock()

				select {
				case <-time.After(time.Duration(50+random.IntN(100)) * time.Millisecond):
				case <-ctx.Done():
				}
			}
		})
	}

	return func() []cutCall {
		group.Wait()
		return calls
	}
}

// try sends one call of a kind to a process.
func (s *cutSystem) try(ctx context.Context, client *http.Client, e *entryProgram, kind int, attempt string) cutCall {
	route := []string{"chat", "look", "book"}[kind]
	call := cutCall{entry: e, route: route, attempt: attempt, sent: time.Now()}
	c := standin.Call{Address: e.callers, Host: "h.example", Path: "/" + route + "/x", Attempt: attempt, Key: "secret", Timeout: 3 * time.Second}

	if route == "chat" {
		c.Tokens = "100,20"
	}

	request, err := c.Request(ctx)
	if err != nil {
		s.t.Error(err)
		return call
	}

	request.GetBody = nil

	response, err := client.Do(request)
	if err != nil {
		return call
	}
	defer response.Body.Close()

	content, err := io.ReadAll(response.Body)
	call.status = response.StatusCode
	call.served = err == nil && call.status == http.StatusOK && (route != "chat" || strings.Contains(string(content), fmt.Sprintf("id: %d\n", versionEvents)))

	return call
}

// checkOnce checks that no call of an unsafe route ran twice, or ran although the answer says that it did not.
func (s *cutSystem) checkOnce(calls []cutCall) {
	s.t.Helper()

	runs := map[string]int{}

	for _, e := range s.engines {
		for attempt, count := range e.RunsByAttempt() {
			runs[attempt] += count
		}
	}

	for _, call := range calls {
		refused := call.status == http.StatusServiceUnavailable || call.status == http.StatusTooManyRequests
		if call.route == "book" && (runs[call.attempt] > 1 || refused && runs[call.attempt] > 0) {
			s.t.Errorf("attempt %s: got status %d and %d runs", call.attempt, call.status, runs[call.attempt])
		}
	}
}

// TestCutFromAllServers guards against callers of processes that have lost their paths to all servers being served far worse than those of
// the others, which still reach both the servers and the cut processes.
func TestCutFromAllServers(t *testing.T) {
	t.Parallel()

	for name, fault := range map[string]faultproxy.Fault{
		"all hang": {Cut: faultproxy.Both}, "all reset": {Reset: true}, "new refused": {RejectNew: true},
	} {
		for _, cut := range []int{1, 3} {
			t.Run(fmt.Sprintf("%s/%d of %d", name, cut, cutEntries), func(t *testing.T) {
				t.Parallel()

				s := newCutSystem(t, 1)
				s.awaitServing()

				ctx, cancel := context.WithCancel(t.Context())
				wait := s.callers(ctx)

				<-time.After(2 * time.Second)

				for _, e := range s.entries[:cut] {
					s.cut(e, fault)
				}

				begin := time.Now().Add(cutContact)

				<-time.After(time.Until(begin.Add(cutLength)))
				cancel()

				calls := wait()
				s.checkShares(calls, begin, cut)
				s.checkOnce(calls)
			})
		}
	}
}

// checkShares checks that first tries at the cut processes are served at least two thirds as often as those at the others, from the given
// time on.
func (s *cutSystem) checkShares(calls []cutCall, begin time.Time, cut int) {
	s.t.Helper()

	var at, others cutResult

	for _, call := range calls {
		if call.sent.Before(begin) {
			continue
		}

		result := &others
		for _, e := range s.entries[:cut] {
			if call.entry == e {
				result = &at
			}
		}

		result.tries++

		if call.served {
			result.served++
		}
	}

	s.t.Logf("served %d of %d at the cut processes, %d of %d at the others", at.served, at.tries, others.served, others.tries)

	if got, want := at.share(), others.share()*2/3; got < want {
		s.t.Errorf("got a share of %.2f served at the cut processes, want at least %.2f", got, want)
	}

	if got, want := others.share(), 0.9; got < want {
		s.t.Errorf("got a share of %.2f served at the other processes, want at least %.2f", got, want)
	}
}

// TestSilentServersStayInUse guards against taking sound servers that are silent for a while for failed ones, or for lost paths: streams that
// they run go on there, and nobody passes calls on through other processes.
func TestSilentServersStayInUse(t *testing.T) {
	t.Parallel()

	s := newCutSystem(t, 1)
	streams := &versionSystem{entrySystem: s.entrySystem}

	s.awaitServing()

	ctx, cancel := context.WithCancel(t.Context())
	wait, streaming := s.callers(ctx), streams.callers(ctx)

	for range 2 {
		<-time.After(1500 * time.Millisecond)

		for _, e := range s.engines {
			e.Pause()
		}

		<-time.After(1200 * time.Millisecond)

		for _, e := range s.engines {
			e.Resume()
		}
	}

	<-time.After(time.Second)
	cancel()

	calls := wait()

	streaming.Wait()
	s.checkOnce(calls)
	streams.checkJoined()

	complete := 0

	for _, stream := range streams.streams {
		if stream.complete && !stream.takenUp {
			complete++
		}
	}

	if got, want := complete, len(streams.streams); got != want {
		t.Errorf("got %d complete streams in one answer, want all %d", got, want)
	}

	for _, e := range s.entries {
		log, err := os.ReadFile(e.settings + ".log")
		if err != nil {
			t.Fatal(err)
		}

		if strings.Contains(string(log), `"event":381`) {
			t.Errorf("%s: got event 381 (paths lost), want none", e.name)
		}
	}
}
