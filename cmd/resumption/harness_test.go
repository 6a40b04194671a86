// Package resumption tests model requests over reclaims, deaths of engines and losses of processes: whole processes of the
// protocol layer on stand-in engines, over connections in memory and on the fake clock of testing/synctest.
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
	// decode is the engines' time for one token.
	decode = 10 * time.Millisecond
)

// world is everything outside the processes under test.
type world struct {
	t         testing.TB
	hosts     *standin.Hosts
	transport *http.Transport
	// broadcast makes the processes exchange quarantine entries by broadcast only.
	broadcast bool

	mu        sync.Mutex
	listeners map[string]*pipeListener
	engines   map[apricotway.BackendServerID]*standin.Engine
	nodes     []*node
}

// run runs a test on the fake clock.
func run(t *testing.T, test func(w *world)) {
	t.Helper()
	bubble.Test(t, func(t *testing.T) {
		w := newWorld(t)
		defer w.end()

		test(w)
	})
}

func newWorld(t testing.TB) *world {
	w := &world{
		t: t, hosts: standin.NewHosts(), listeners: map[string]*pipeListener{},
		engines: map[apricotway.BackendServerID]*standin.Engine{},
	}
	w.transport = &http.Transport{DialContext: w.dial, DisableCompression: true}

	return w
}

func (w *world) end() {
	for _, n := range w.nodes {
		n.kill()
	}

	for id := range w.engines {
		w.killEngine(id)
	}

	w.transport.CloseIdleConnections()
}

// pipeListener accepts connections in memory.
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

func (w *world) dial(ctx context.Context, _, address string) (net.Conn, error) {
	w.mu.Lock()
	l := w.listeners[address]
	w.mu.Unlock()

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

// engine starts an engine in a zone.
func (w *world) engine(id apricotway.BackendServerID, zone apricotway.Zone) *standin.Engine {
	at := address(1000 + len(w.engines))
	model := standin.NewEngineModel(standin.EngineTimes{PrefillPerToken: 100 * time.Microsecond, DecodePerToken: decode})
	e := standin.NewEngine(model, standin.WithTransport(w.transport), standin.WithCrash(func() { w.killEngine(id) }))
	l := &pipeListener{
		connections: make(chan net.Conn), closed: make(chan struct{}), server: &http.Server{Handler: e.Handler()},
	}

	w.mu.Lock()
	w.engines[id], w.listeners[at.String()] = e, l
	w.mu.Unlock()

	go func() { _ = l.server.Serve(l) }()

	w.hosts.Add(apricotway.BackendServer{
		ID: id, Service: service, Zone: zone, Version: "1", Address: at, State: apricotway.HostLive,
	})

	return e
}

// killEngine ends an engine without a notice. The host list still shows it.
func (w *world) killEngine(id apricotway.BackendServerID) {
	at := w.server(id).Address.String()

	w.mu.Lock()
	l := w.listeners[at]
	delete(w.listeners, at)
	w.mu.Unlock()

	if l != nil {
		_ = l.server.Close()
	}
}

// server returns an engine's entry in the host list.
func (w *world) server(id apricotway.BackendServerID) apricotway.BackendServer {
	list, _ := w.hosts.Hosts(context.Background())
	return list[slices.IndexFunc(list, func(s apricotway.BackendServer) bool { return s.ID == id })]
}

// reclaim announces the end of a zone and ends its engines after the notice.
func (w *world) reclaim(zone apricotway.Zone, notice time.Duration) {
	w.hosts.ReclaimZone(zone, time.Now().Add(notice))
	time.AfterFunc(notice, func() {
		for id := range w.engines {
			if w.server(id).Zone == zone {
				w.killEngine(id)
			}
		}
	})
}

// recomputed sums the tokens that the engines computed again.
func (w *world) recomputed() int {
	sum := 0
	for _, e := range w.engines {
		sum += e.Counters().Recomputed
	}

	return sum
}

// running counts the generations that run on engines.
func (w *world) running() int {
	sum := 0

	for id := range w.engines {
		report, err := engine.New(engine.WithTransport(w.transport)).Load(context.Background(), w.server(id))
		if err == nil {
			sum += report.Running
		}
	}

	return sum
}

// node is one process. It implements the interfaces to the other processes.
type node struct {
	world    *world
	member   apricotway.Member
	handlers map[apricotway.Method]apricotway.PeerHandler
	requests *completion.Requests
	runner   *completion.Runner
	cancel   context.CancelFunc
	stopped  <-chan error
	receive  func(key string, version uint64, payload []byte)
	down     bool
}

func (w *world) node(name apricotway.NodeID, zone apricotway.Zone) *node {
	n := &node{world: w, handlers: map[apricotway.Method]apricotway.PeerHandler{}, member: apricotway.Member{
		Node: name, Zone: zone, State: apricotway.MemberAlive, Peers: address(2000 + len(w.nodes)),
	}}
	w.nodes = append(w.nodes, n)

	supervisor := suture.NewSimple(string(name))
	list := inventory.New(supervisor, w.hosts)
	exchange := completion.WithSuspectsPeers(n, n, n)
	if w.broadcast {
		exchange = completion.WithBroadcasts(n)
	}

	suspects := completion.NewSuspects(exchange)
	n.runner = completion.New(engine.New(engine.WithTransport(w.transport)), list, completion.WithSuspects(suspects))
	n.requests = completion.NewRequests(supervisor, n.runner, completion.WithCopies(n, n, n))

	var ctx context.Context

	ctx, n.cancel = context.WithCancel(context.Background())
	n.stopped = supervisor.ServeBackground(ctx)
	<-list.Ready()

	return n
}

// kill ends the process without telling the others.
func (n *node) kill() {
	n.world.mu.Lock()
	down := n.down
	n.down = true
	n.world.mu.Unlock()

	if !down {
		n.cancel()

		if err := <-n.stopped; !errors.Is(err, context.Canceled) {
			n.world.t.Errorf("process stopped with %v", err)
		}
	}
}

// declare sets what all others believe of the process.
func (n *node) declare(state apricotway.MemberState) {
	n.world.mu.Lock()
	defer n.world.mu.Unlock()

	n.member.State = state
}

func (n *node) Register(method apricotway.Method, handler apricotway.PeerHandler) {
	n.handlers[method] = handler
}

func (n *node) Subscribe(_ apricotway.Topic, receive func(string, uint64, []byte)) {
	n.receive = receive
}

func (n *node) Publish(entry apricotway.BroadcastEntry) error {
	for _, other := range n.world.nodes {
		if other != n {
			other.receive(entry.Key, entry.Version, entry.Payload)
		}
	}

	return nil
}

func (n *node) Latest(apricotway.Topic) []apricotway.BroadcastEntry { return nil }

func (n *node) Self() apricotway.Member { return n.member }

func (n *node) Members() []apricotway.Member {
	n.world.mu.Lock()
	defer n.world.mu.Unlock()

	members := make([]apricotway.Member, len(n.world.nodes))
	for i, other := range n.world.nodes {
		members[i] = other.member
	}

	return slices.DeleteFunc(members, func(m apricotway.Member) bool { return m.Node == n.member.Node })
}

func (n *node) Call(
	ctx context.Context, address netip.AddrPort, method apricotway.Method, payload []byte,
) ([]byte, error) {
	n.world.mu.Lock()
	nodes, down := n.world.nodes, n.down
	i := slices.IndexFunc(nodes, func(other *node) bool { return other.member.Peers == address && !other.down })
	n.world.mu.Unlock()

	if i < 0 || down {
		return nil, apricotway.ErrNotSent
	}

	return nodes[i].handlers[method](ctx, payload)
}

// caller collects the answer of one request.
type caller struct {
	request completion.Request
	text    strings.Builder
	next    int
}

func newCaller(id, prompt string, tokens int) *caller {
	return &caller{request: completion.Request{
		ID: apricotway.RequestID(id), Workspace: workspace, Service: service, Prompt: prompt, MaxTokens: tokens,
		Priority: apricotway.PriorityNormal, Deadline: time.Now().Add(10 * time.Minute), Form: completion.Form{Stream: true},
	}}
}

// read reads the answer until its end, or until the given token when that is above 0.
func (c *caller) read(answer *completion.Answer, until int) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()

	return answer.Read(ctx, c.next, func(token apricotway.Token) error {
		if token.Index != c.next {
			return errors.Errorf("token %d in place of %d", token.Index, c.next)
		}

		c.text.WriteString(token.Text)
		c.next++

		if c.next == until {
			cancel()
		}

		return ctx.Err()
	})
}

// check compares the answer byte by byte with that of an undisturbed run.
func (c *caller) check(t testing.TB, err error) {
	t.Helper()

	var want strings.Builder
	for index := range c.request.MaxTokens {
		want.WriteString(standin.TokenText(c.request.Prompt, index))
	}

	if err != nil {
		t.Errorf("request %s ended after %d tokens with %v", c.request.ID, c.next, err)
	} else if c.text.String() != want.String() {
		t.Errorf("request %s: got %q, want %q", c.request.ID, c.text.String(), want.String())
	}
}

// start runs several requests with long prompts at a process and returns a function that waits for them and checks them.
func (w *world) start(n *node, count, tokens int) (wait func()) {
	var readers sync.WaitGroup

	for i := range count {
		id := fmt.Sprintf("%s-%d-%d", n.member.Node, time.Now().UnixNano(), i)
		c := newCaller(id, strings.Repeat("calibration log of belt "+id, 40), tokens)
		answer := n.requests.Start(c.request)

		readers.Go(func() { c.check(w.t, c.read(answer, 0)) })
	}

	return readers.Wait
}

// sleep advances the fake clock.
func (w *world) sleep(duration time.Duration) { <-time.After(duration) }
