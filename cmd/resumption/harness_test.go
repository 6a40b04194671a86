// Package resumption tests that model requests survive host reclaims, engine failures and the loss of entry processes.
// The tests run the complete protocol layer of several processes against stand-in engines, over in-memory connections and
// on the fake clock of testing/synctest.
package resumption

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/thejerf/suture/v4"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/cmd/internal/standin"
	"github.com/apricotway/apricotway/coordination/inventory"
	"github.com/apricotway/apricotway/internal/bubble"
	"github.com/apricotway/apricotway/protocol/completion"
	"github.com/apricotway/apricotway/transport/engine"
)

const (
	service   apricotway.Service   = "belt-assistant"
	workspace apricotway.Workspace = "mill-1"
	// decode is the time in which an engine generates one token.
	decode = 10 * time.Millisecond
)

// harness holds the host list, the engines and the network that the processes under test share.
type harness struct {
	t         testing.TB
	hosts     *standin.Hosts
	transport *http.Transport
	// broadcast makes the processes exchange quarantine entries only by broadcast instead of by peer calls.
	broadcast bool

	mu sync.Mutex
	// listeners holds the servers of the running engines by address.
	listeners map[string]*pipeListener
	engines   map[apricotway.BackendServerID]*standin.Engine
	nodes     []*node
}

// run runs a test on the fake clock and stops its processes and engines afterwards.
func run(t *testing.T, test func(h *harness)) {
	t.Helper()
	bubble.Test(t, func(t *testing.T) {
		h := newHarness(t)
		defer h.stop()

		test(h)
	})
}

func newHarness(t testing.TB) *harness {
	h := &harness{
		t: t, hosts: standin.NewHosts(), listeners: map[string]*pipeListener{},
		engines: map[apricotway.BackendServerID]*standin.Engine{},
	}
	h.transport = &http.Transport{DialContext: h.dial, DisableCompression: true}

	return h
}

func (h *harness) stop() {
	for _, n := range h.nodes {
		n.kill()
	}

	for id := range h.engines {
		h.killEngine(id)
	}

	h.transport.CloseIdleConnections()
}

// pipeListener is a net.Listener for in-memory connections.
type pipeListener struct {
	connections chan net.Conn
	closed      chan struct{}
	once        sync.Once
	server      *http.Server
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case connection := <-l.connections:
		return connection, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (h *harness) dial(ctx context.Context, _, address string) (net.Conn, error) {
	h.mu.Lock()
	l := h.listeners[address]
	h.mu.Unlock()

	if l == nil {
		return nil, errors.New("connection refused")
	}

	near, far := net.Pipe()

	select {
	case l.connections <- far:
		return near, nil
	case <-l.closed:
		return nil, errors.New("connection refused")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func address(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(n))
}

// startEngine starts an engine and adds it to the host list.
func (h *harness) startEngine(id apricotway.BackendServerID, zone apricotway.Zone) *standin.Engine {
	at := address(1000 + len(h.engines))
	model := standin.NewEngineModel(standin.EngineTimes{PrefillPerToken: 100 * time.Microsecond, DecodePerToken: decode})
	e := standin.NewEngine(model, standin.WithTransport(h.transport), standin.WithCrash(func() { h.killEngine(id) }))
	l := &pipeListener{
		connections: make(chan net.Conn), closed: make(chan struct{}), server: &http.Server{Handler: e.Handler()},
	}

	h.mu.Lock()
	h.engines[id], h.listeners[at.String()] = e, l
	h.mu.Unlock()

	go func() { _ = l.server.Serve(l) }()

	h.hosts.Add(apricotway.BackendServer{
		ID: id, Service: service, Zone: zone, Version: "1", Address: at, State: apricotway.HostLive,
	})

	return e
}

// setSoftware sets the software version in the entry of an engine.
func (h *harness) setSoftware(id apricotway.BackendServerID, version apricotway.SoftwareVersion) {
	entry := h.server(id)
	entry.Software = version
	h.hosts.Add(entry)
}

// killEngine stops an engine without a reclaim notice. The host list still contains it.
func (h *harness) killEngine(id apricotway.BackendServerID) {
	at := h.server(id).Address.String()

	h.mu.Lock()
	l := h.listeners[at]
	delete(h.listeners, at)
	h.mu.Unlock()

	if l != nil {
		_ = l.server.Close()
	}
}

// server returns the entry of an engine in the host list.
func (h *harness) server(id apricotway.BackendServerID) apricotway.BackendServer {
	list, _ := h.hosts.Hosts(context.Background())
	return list[slices.IndexFunc(list, func(s apricotway.BackendServer) bool { return s.ID == id })]
}

// reclaim announces the reclaim of all hosts in a zone and kills their engines when the notice has run out.
func (h *harness) reclaim(zone apricotway.Zone, notice time.Duration) {
	h.hosts.ReclaimZone(zone, time.Now().Add(notice))
	time.AfterFunc(notice, func() {
		for id := range h.engines {
			if h.server(id).Zone == zone {
				h.killEngine(id)
			}
		}
	})
}

// recomputed returns the number of tokens that the engines had to compute again for resumed requests.
func (h *harness) recomputed() int {
	sum := 0
	for _, e := range h.engines {
		sum += e.Counters().Recomputed
	}

	return sum
}

// running returns the number of generations that run on all engines.
func (h *harness) running() int {
	sum := 0

	for id := range h.engines {
		report, err := engine.New(engine.WithTransport(h.transport)).Load(context.Background(), h.server(id))
		if err == nil {
			sum += report.Running
		}
	}

	return sum
}

// node is one process under test. It implements the membership, peer call and broadcast interfaces, through which it
// reaches the other nodes directly.
type node struct {
	harness  *harness
	member   apricotway.Member
	handlers map[apricotway.Method]apricotway.PeerHandler
	requests *completion.Requests
	runner   *completion.Runner
	cancel   context.CancelFunc
	stopped  <-chan error
	// receive is the subscriber to broadcasts.
	receive func(key string, version uint64, payload []byte)
	// down is set when the process has been killed; peer calls from and to it then fail.
	down bool
}

// startNode starts a process and waits until it has read the host list.
func (h *harness) startNode(name apricotway.NodeID, zone apricotway.Zone) *node {
	n := &node{harness: h, handlers: map[apricotway.Method]apricotway.PeerHandler{}, member: apricotway.Member{
		Node: name, Zone: zone, State: apricotway.MemberAlive, Peers: address(2000 + len(h.nodes)),
	}}
	h.nodes = append(h.nodes, n)

	supervisor := suture.NewSimple(string(name))
	list := inventory.New(supervisor, h.hosts)
	exchange := completion.WithSuspectsPeers(n, n, n)
	if h.broadcast {
		exchange = completion.WithBroadcasts(n)
	}

	suspects := completion.NewSuspects(exchange)
	n.runner = completion.New(engine.New(engine.WithTransport(h.transport)), list, completion.WithSuspects(suspects))
	n.requests = completion.NewRequests(supervisor, n.runner, completion.WithCopies(n, n, n))

	var ctx context.Context

	ctx, n.cancel = context.WithCancel(context.Background())
	n.stopped = supervisor.ServeBackground(ctx)
	<-list.Ready()

	return n
}

// kill stops the process. The membership state that the other processes see stays unchanged.
func (n *node) kill() {
	n.harness.mu.Lock()
	down := n.down
	n.down = true
	n.harness.mu.Unlock()

	if !down {
		n.cancel()

		if err := <-n.stopped; !errors.Is(err, context.Canceled) {
			n.harness.t.Errorf("process stopped with %v", err)
		}
	}
}

// setState sets the membership state of the process that all other processes see.
func (n *node) setState(state apricotway.MemberState) {
	n.harness.mu.Lock()
	defer n.harness.mu.Unlock()

	n.member.State = state
}

func (n *node) Register(method apricotway.Method, handler apricotway.PeerHandler) {
	n.handlers[method] = handler
}

func (n *node) Subscribe(_ apricotway.Topic, receive func(string, uint64, []byte)) {
	n.receive = receive
}

func (n *node) Publish(entry apricotway.BroadcastEntry) error {
	for _, other := range n.harness.nodes {
		if other != n {
			other.receive(entry.Key, entry.Version, entry.Payload)
		}
	}

	return nil
}

func (n *node) Latest(apricotway.Topic) []apricotway.BroadcastEntry { return nil }

func (n *node) Self() apricotway.Member { return n.member }

func (n *node) Members() []apricotway.Member {
	n.harness.mu.Lock()
	defer n.harness.mu.Unlock()

	members := make([]apricotway.Member, len(n.harness.nodes))
	for i, other := range n.harness.nodes {
		members[i] = other.member
	}

	return slices.DeleteFunc(members, func(m apricotway.Member) bool { return m.Node == n.member.Node })
}

func (n *node) Call(
	ctx context.Context, address netip.AddrPort, method apricotway.Method, payload []byte,
) ([]byte, error) {
	n.harness.mu.Lock()
	nodes, down := n.harness.nodes, n.down
	i := slices.IndexFunc(nodes, func(other *node) bool { return other.member.Peers == address && !other.down })
	n.harness.mu.Unlock()

	if i < 0 || down {
		return nil, apricotway.ErrNotSent
	}

	return nodes[i].handlers[method](ctx, payload)
}

// caller sends one request and collects its answer.
type caller struct {
	request completion.Request
	text    strings.Builder
	// next is the index of the first token that has not been read.
	next int
}

func newCaller(id, prompt string, tokens int) *caller {
	return &caller{request: completion.Request{
		ID: apricotway.RequestID(id), Workspace: workspace, Service: service, Prompt: prompt, MaxTokens: tokens,
		Priority: apricotway.PriorityNormal, Deadline: time.Now().Add(10 * time.Minute), Form: completion.Form{Stream: true},
	}}
}

// read reads the answer to its end or, if until is above 0, until that many tokens have arrived in total. Tokens must
// arrive without gaps or repetitions.
func (c *caller) read(answer *completion.Answer, until int) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()

	return answer.Read(ctx, c.next, func(token apricotway.Token) error {
		if token.Index != c.next {
			return errors.Errorf("got token %d, want token %d", token.Index, c.next)
		}

		c.text.WriteString(token.Text)
		c.next++

		if c.next == until {
			cancel()
		}

		return ctx.Err()
	})
}

// check reports an error unless reading succeeded and the answer is the same, byte by byte, as without any failure.
func (c *caller) check(t testing.TB, err error) {
	t.Helper()

	var want strings.Builder
	for index := range c.request.MaxTokens {
		want.WriteString(standin.TokenText(c.request.Prompt, index))
	}

	if err != nil {
		t.Errorf("request %s failed after %d tokens: %v", c.request.ID, c.next, err)
	} else if c.text.String() != want.String() {
		t.Errorf("request %s: got %q, want %q", c.request.ID, c.text.String(), want.String())
	}
}

// startRequests starts several requests with long prompts at a process. The returned function waits for the answers, each
// of which is checked.
func (h *harness) startRequests(n *node, count, tokens int) (wait func()) {
	var readers sync.WaitGroup

	for i := range count {
		id := fmt.Sprintf("%s-%d-%d", n.member.Node, time.Now().UnixNano(), i)
		c := newCaller(id, strings.Repeat("calibration log of belt "+id, 40), tokens)
		answer := n.requests.Start(c.request)

		readers.Go(func() { c.check(h.t, c.read(answer, 0)) })
	}

	return readers.Wait
}

// sleep advances the fake clock.
func (h *harness) sleep(duration time.Duration) { <-time.After(duration) }
