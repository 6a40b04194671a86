package scenario

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/thejerf/suture/v4"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/cmd/internal/standin"
	"github.com/apricotway/apricotway/coordination/shard"
	"github.com/apricotway/apricotway/memorylog"
	"github.com/apricotway/apricotway/protocol/call"
	"github.com/apricotway/apricotway/state/ledger"
	"github.com/apricotway/apricotway/state/timeline"
	"github.com/apricotway/apricotway/transport/peer"
	"github.com/apricotway/apricotway/transport/service"
)

const (
	keyWindow = time.Hour
	keyMargin = time.Minute
	workspace = apricotway.Workspace("mill-1")
)

var errStopped = errors.New("process was killed by the test")

// cluster is a set of nodes that share a log service and a backend server for bookings. The nodes run in the test's process
// and reach each other over net/rpc.
type cluster struct {
	t        *testing.T
	log      *standin.Log
	bookings *standin.Bookings
	backend  apricotway.BackendServer
	options  []shard.Option
	nodes    []*node

	mu      sync.Mutex
	members []apricotway.Member
}

type node struct {
	cluster *cluster
	id      apricotway.NodeID
	ledger  *call.Ledger
	shards  *shard.Manager
	hook    atomic.Pointer[func(shard.Step) error]
	stop    context.CancelFunc
}

func newCluster(t *testing.T, size int, options ...shard.Option) *cluster {
	t.Helper()

	c := &cluster{t: t, log: standin.NewLog(), bookings: standin.NewBookings(), options: options}

	server, err := standin.Listen(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"), c.bookings.Handler())
	if err != nil {
		t.Fatal(err)
	}

	t.Cleanup(server.Close)

	c.backend = apricotway.BackendServer{Address: server.Address}
	for range size {
		c.add()
	}

	return c
}

func (c *cluster) add() *node {
	c.t.Helper()

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.t.Fatal(err)
	}

	n := &node{cluster: c, id: apricotway.NodeID(fmt.Sprintf("node-%d", len(c.nodes)))}
	supervisor := suture.NewSimple(string(n.id))
	clock := timeline.NewClock(time.Now)
	client := peer.NewClient(clock)
	services := service.New()
	send := func(
		ctx context.Context, _ apricotway.Service, call apricotway.ServiceCall,
	) (apricotway.ServiceAnswer, error) {
		return services.Call(ctx, c.backend, call)
	}

	options := append([]shard.Option{
		shard.WithWindow(keyWindow, keyMargin), shard.WithHook(n.runHook), shard.WithMaxBody(1024),
	}, c.options...)
	n.shards = shard.New(supervisor, n, c.log, send, options...)
	n.ledger = call.NewLedger(n.shards, n, client, peer.NewServer(supervisor, listener, clock))

	c.mu.Lock()
	c.members = append(c.members, apricotway.Member{
		Node: n.id, State: apricotway.MemberAlive, Peers: listener.Addr().(*net.TCPAddr).AddrPort(),
	})
	c.mu.Unlock()

	c.nodes = append(c.nodes, n)

	ctx, cancel := context.WithCancel(context.Background())
	stopped := supervisor.ServeBackground(ctx)
	n.stop = sync.OnceFunc(func() {
		cancel()

		if err := <-stopped; !errors.Is(err, context.Canceled) {
			c.t.Errorf("supervisor stopped with %v", err)
		}
	})

	c.t.Cleanup(func() {
		client.Close()
		n.stop()
	})

	return n
}

func (n *node) runHook(step shard.Step) error {
	if hook := n.hook.Load(); hook != nil {
		return (*hook)(step)
	}

	return nil
}

// onStep runs the function once, when a call reaches the step.
func (n *node) onStep(step shard.Step, do func() error) {
	var once sync.Once

	hook := func(current shard.Step) error {
		var err error

		if current == step {
			once.Do(func() { err = do() })
		}

		return err
	}
	n.hook.Store(&hook)
}

// kill makes every step that a call reaches from now on fail, as if the process had ended.
func (n *node) kill() error {
	hook := func(shard.Step) error { return errStopped }
	n.hook.Store(&hook)

	return errStopped
}

// Self implements apricotway.Membership.
func (n *node) Self() apricotway.Member { return n.cluster.member(n.id) }

// Members implements apricotway.Membership.
func (n *node) Members() []apricotway.Member {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()

	var others []apricotway.Member

	for _, member := range n.cluster.members {
		if member.Node != n.id {
			others = append(others, member)
		}
	}

	return others
}

func (c *cluster) member(id apricotway.NodeID) apricotway.Member {
	c.mu.Lock()
	defer c.mu.Unlock()

	for _, member := range c.members {
		if member.Node == id {
			return member
		}
	}

	return apricotway.Member{Node: id}
}

// declareDead makes the membership report the node as dead.
func (c *cluster) declareDead(n *node) {
	c.mu.Lock()
	defer c.mu.Unlock()

	for i := range c.members {
		if c.members[i].Node == n.id {
			c.members[i].State = apricotway.MemberDead
		}
	}
}

// keys returns keys of one shard that is assigned to the node.
func (c *cluster) keys(owner *node, count int) []string {
	var (
		keys   []string
		number int
	)

	for i := 0; len(keys) < count; i++ {
		key := ledger.Key{Workspace: workspace, Key: fmt.Sprintf("key-%d", i)}
		if owner.shards.Candidate(key) != owner.id {
			continue
		}

		if current := key.Shard(shard.DefaultShards); len(keys) == 0 || current == number {
			keys = append(keys, key.Key)
			number = current
		}
	}

	return keys
}

func booking(key, body string) call.Request {
	return call.Request{
		Workspace: workspace, Service: "lot-ledger", Key: key,
		Call: apricotway.ServiceCall{
			Method: http.MethodPost, Path: "/book", Body: []byte(body), Header: http.Header{"Idempotency-Key": {key}},
		},
	}
}

// run runs a call and returns the body of its response or, for a refusal, its code and execution. It returns "no RetryAfter"
// for a refusal that lacks the required retry time.
func (n *node) run(r call.Request) string {
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()

	answer, err := n.ledger.Run(ctx, r)
	if err == nil {
		return string(answer.Body)
	}

	refusal := apricotway.AsRefusal(err)
	if refusal.Execution == apricotway.ExecutionNotStarted && refusal.RetryAfter == 0 &&
		refusal.Code == apricotway.CodeLedgerUnavailable {
		return "no RetryAfter"
	}

	return fmt.Sprintf("%s/%s", refusal.Code, refusal.Execution)
}

// runUntil repeats a call, as a caller would, until it is no longer refused because the ledger is unavailable.
func (n *node) runUntil(r call.Request) string {
	for {
		got := n.run(r)
		if got != unavailable && got != uncertain {
			return got
		}

		select {
		case <-n.cluster.t.Context().Done():
			return got
		case <-time.After(10 * time.Millisecond):
		}
	}
}

func (c *cluster) want(what, got, want string, executions int) {
	c.t.Helper()

	if got != want {
		c.t.Errorf("%s: got %q, want %q", what, got, want)
	}

	if count := len(c.bookings.Executions()); count != executions {
		c.t.Errorf("%s: got %d executions, want %d", what, count, executions)
	}
}

// Results of run.
const (
	booked      = "{\"booking\":1}\n"
	bookedAgain = "{\"booking\":2}\n"
	unknown     = "outcomeUnknown/unknown"
	unavailable = "ledgerUnavailable/notStarted"
	uncertain   = "ledgerUnavailable/unknown"
)

// TestOwnerStopped guards against a second execution and a wrong response when the owner of a shard ends at any step of a call
// and the caller repeats the call at another address.
func TestOwnerStopped(t *testing.T) {
	for _, test := range []struct {
		step       shard.Step
		executions int
		repeat     string
	}{
		{shard.StepBeforeIntent, 0, booked},
		{shard.StepAfterIntent, 0, unknown},
		{shard.StepBeforeSend, 0, unknown},
		{"duringCall", 1, unknown},
		{shard.StepAfterCall, 1, unknown},
		{shard.StepBeforeOutcome, 1, unknown},
		{shard.StepAfterOutcome, 1, booked},
	} {
		t.Run(string(test.step), func(t *testing.T) {
			c := newCluster(t, 3)
			owner, other := c.nodes[0], c.nodes[1]
			key := c.keys(owner, 1)[0]

			owner.onStep(test.step, owner.kill)

			if test.step == "duringCall" {
				c.bookings.Intercept(func(http.ResponseWriter, *http.Request) { _ = owner.kill() })
			}

			c.want("first call", c.nodes[2].run(booking(key, "lot 7")), unknown, test.executions)
			owner.stop()
			c.declareDead(owner)

			executions := test.executions
			if test.repeat == booked {
				executions = 1
			}

			c.want("repeat", other.run(booking(key, "lot 7")), test.repeat, executions)
			c.want("second repeat", c.nodes[2].run(booking(key, "lot 7")), test.repeat, executions)
		})
	}
}

// TestOwnerDeposed guards against a call that a former owner sends after another process has claimed the shard: the former
// owner is paused at a step while the caller repeats the call at another address.
func TestOwnerDeposed(t *testing.T) {
	for _, test := range []struct {
		step shard.Step
		// repeat is the response of the successor during the pause, first that of the former owner after it. The test adapts
		// booked to the number of the booking.
		repeat, first string
	}{
		{shard.StepBeforeIntent, booked, booked},
		{shard.StepAfterIntent, unknown, unavailable},
	} {
		t.Run(string(test.step), func(t *testing.T) {
			c := newCluster(t, 3)
			owner, other := c.nodes[0], c.nodes[1]
			keys := c.keys(owner, 2)
			c.want("earlier call", owner.run(booking(keys[1], "lot 6")), booked, 1)

			repeat, executions := test.repeat, 1
			if repeat == booked {
				repeat, executions = bookedAgain, 2
			}

			owner.onStep(test.step, func() error {
				c.declareDead(owner)
				c.want("repeat", other.run(booking(keys[0], "lot 7")), repeat, executions)

				return nil
			})

			first := test.first
			if first == booked {
				first = bookedAgain
			}

			c.want("first call", owner.run(booking(keys[0], "lot 7")), first, executions)

			// Once the former owner has recorded that it did not send the call, the key may run.
			got := other.run(booking(keys[0], "lot 7"))
			for got == unknown {
				got = other.run(booking(keys[0], "lot 7"))
			}

			c.want("later repeat", got, bookedAgain, 2)
		})
	}
}

// groupWriter combines the intents of size concurrent appends into one append to the log.
type groupWriter struct {
	log   apricotway.Log
	size  int
	group chan groupItem
	// mu ensures that exactly the append that completes the group sends it.
	mu sync.Mutex
}

type groupItem struct {
	record apricotway.Record
	answer chan groupAnswer
}

type groupAnswer struct {
	offset apricotway.Offset
	err    error
}

// Append implements shard.Writer. Outcomes are appended alone.
func (w *groupWriter) Append(
	ctx context.Context, stream apricotway.Stream, record apricotway.Record,
) (apricotway.Offset, error) {
	if record.Kind != ledger.KindIntent {
		return w.log.Append(ctx, stream, []apricotway.Record{record})
	}

	item := groupItem{record, make(chan groupAnswer, 1)}

	w.mu.Lock()
	w.group <- item

	if len(w.group) == w.size {
		var items []groupItem

		var records []apricotway.Record

		for range w.size {
			items = append(items, <-w.group)
			records = append(records, items[len(items)-1].record)
		}

		first, err := w.log.Append(ctx, stream, records)
		for i, item := range items {
			item.answer <- groupAnswer{first + apricotway.Offset(i), err}
		}
	}
	w.mu.Unlock()

	answer := <-item.answer

	return answer.offset, answer.err
}

// TestAnswerOfAppendLost guards against a call that is sent, reported as unknown, or can never run when the append of its
// intent takes effect but the response is lost: the caller must get notStarted, and a repeat must run once. If instead the
// response to the claim of the shard is lost, the first response is unknown, and a repeat must run once as well.
func TestAnswerOfAppendLost(t *testing.T) {
	lose := func(c *cluster) func() error {
		return func() error {
			c.log.SetFault(memorylog.FaultLoseAnswer)
			return nil
		}
	}

	t.Run("intent", func(t *testing.T) {
		c := newCluster(t, 3)
		owner := c.nodes[0]
		key := c.keys(owner, 1)[0]

		owner.onStep(shard.StepBeforeIntent, lose(c))
		c.want("first call", c.nodes[1].run(booking(key, "lot 7")), unavailable, 0)
		c.log.SetFault(memorylog.FaultDown)
		c.want("log down", c.nodes[1].run(booking(key, "lot 7")), unavailable, 0)
		c.log.SetFault(memorylog.FaultNone)
		c.want("log back", c.nodes[1].runUntil(booking(key, "lot 7")), booked, 1)
		c.want("repeat", c.nodes[2].run(booking(key, "lot 7")), booked, 1)
	})

	t.Run("claim", func(t *testing.T) {
		c := newCluster(t, 3)
		key := c.keys(c.nodes[0], 1)[0]

		c.log.SetFault(memorylog.FaultLoseAnswer)
		c.want("first call", c.nodes[1].run(booking(key, "lot 7")), uncertain, 0)
		c.log.SetFault(memorylog.FaultNone)
		c.want("log back", c.nodes[1].run(booking(key, "lot 7")), booked, 1)
	})

	t.Run("claim change", func(t *testing.T) {
		c := newCluster(t, 3)
		owner, other := c.nodes[0], c.nodes[1]
		keys := c.keys(owner, 2)

		owner.onStep(shard.StepBeforeIntent, func() error {
			c.declareDead(owner)
			c.want("call at the successor", other.run(booking(keys[1], "lot 6")), booked, 1)

			return lose(c)()
		})
		c.want("first call", owner.run(booking(keys[0], "lot 7")), unavailable, 1)
		c.log.SetFault(memorylog.FaultNone)
		c.want("repeat", other.run(booking(keys[0], "lot 7")), bookedAgain, 2)
	})

	t.Run("group", func(t *testing.T) {
		const size = 8

		writer := &groupWriter{size: size, group: make(chan groupItem, size)}
		c := newCluster(t, 3, shard.WithWriter(writer))
		writer.log = c.log
		owner := c.nodes[0]
		keys := c.keys(owner, size)

		var (
			reached atomic.Int32
			hook    = func(step shard.Step) error {
				if step == shard.StepBeforeIntent && reached.Add(1) == size {
					c.log.SetFault(memorylog.FaultLoseAnswer)
				}

				return nil
			}
		)

		all := func(want string, run func(*node, call.Request) string) {
			var group sync.WaitGroup

			for _, key := range keys {
				group.Go(func() {
					if got := run(owner, booking(key, "lot")); got != want && want != "" {
						t.Errorf("got %q, want %q", got, want)
					}
				})
			}

			group.Wait()
		}

		owner.hook.Store(&hook)
		all(unavailable, (*node).run)
		c.want("answer lost", "", "", 0)
		c.log.SetFault(memorylog.FaultNone)
		all("", (*node).runUntil)
		c.want("log back", "", "", size)
	})
}

// TestLogDown guards against calls that run without a record, and recorded calls that run again: while the log service is down
// a new call must be refused, and a call that was sent before must keep its outcome.
func TestLogDown(t *testing.T) {
	c := newCluster(t, 3)
	owner := c.nodes[0]
	keys := c.keys(owner, 2)

	c.log.SetFault(memorylog.FaultDown)
	c.want("log down, shard never read", c.nodes[1].run(booking(keys[0], "lot 7")), uncertain, 0)
	c.log.SetFault(memorylog.FaultNone)

	owner.onStep(shard.StepAfterCall, func() error {
		c.log.SetFault(memorylog.FaultDown)
		return nil
	})
	c.want("log down after the call", c.nodes[1].run(booking(keys[0], "lot 7")), booked, 1)
	c.want("repeat", c.nodes[2].run(booking(keys[0], "lot 7")), booked, 1)
	c.want("other key", c.nodes[2].run(booking(keys[1], "lot 8")), unavailable, 1)

	c.log.SetFault(memorylog.FaultNone)
	c.want("other key, log back", c.nodes[2].runUntil(booking(keys[1], "lot 8")), bookedAgain, 2)

	// After the outage the outcome is still appended to the stream, where a successor finds it.
	stream := apricotway.Stream(fmt.Sprintf("ledger-%d",
		ledger.Key{Workspace: workspace, Key: keys[0]}.Shard(shard.DefaultShards)))
	await(t, "two outcomes", func() bool { return kinds(t, c.log, stream)[ledger.KindOutcome] == 2 })

	_ = owner.kill()
	owner.stop()
	c.declareDead(owner)
	c.want("repeat at the successor", c.nodes[1].run(booking(keys[0], "lot 7")), booked, 2)
}

// TestRepeatWithoutLedger guards against a process that answers a repeat that the call did not run without being able to know:
// the owner ran the call and has ended, and the log service is down.
func TestRepeatWithoutLedger(t *testing.T) {
	c := newCluster(t, 3)
	owner := c.nodes[0]
	key := c.keys(owner, 1)[0]

	c.want("call", owner.run(booking(key, "lot 7")), booked, 1)

	_ = owner.kill()
	owner.stop()
	c.log.SetFault(memorylog.FaultDown)
	c.want("owner not reachable", c.nodes[1].run(booking(key, "lot 7")), uncertain, 1)
	c.declareDead(owner)
	c.want("owner dead", c.nodes[1].run(booking(key, "lot 7")), uncertain, 1)
	c.want("owner dead, other address", c.nodes[2].run(booking(key, "lot 7")), uncertain, 1)

	c.log.SetFault(memorylog.FaultNone)
	c.want("log back", c.nodes[1].runUntil(booking(key, "lot 7")), booked, 1)
}

// kinds returns the number of records of each kind in the stream.
func kinds(t *testing.T, log apricotway.Log, stream apricotway.Stream) map[string]int {
	t.Helper()

	batch, err := log.Read(t.Context(), stream, 1, 1000, 0)
	if err != nil {
		t.Fatal(err)
	}

	count := map[string]int{}
	for _, record := range batch.Records {
		count[record.Kind]++
	}

	return count
}

func await(t *testing.T, what string, condition func() bool) {
	t.Helper()

	for end := time.Now().Add(waitLimit); !condition(); {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for %s", what)
		}

		<-time.After(10 * time.Millisecond)
	}
}

// TestKeys guards against one key that is accepted for two different calls, a call that gets the response of another
// workspace's call, an expired key that runs, a response above the size limit of records that is repeated only in part, and
// concurrent repeats that run more than once.
func TestKeys(t *testing.T) {
	c := newCluster(t, 3)
	key := c.keys(c.nodes[0], 1)[0]

	var group sync.WaitGroup

	for i := range 24 {
		group.Go(func() {
			if got := c.nodes[i%3].run(booking(key, "lot 7")); got != booked {
				t.Errorf("concurrent repeat: got %q, want %q", got, booked)
			}
		})
	}

	group.Wait()
	c.want("other body", c.nodes[1].run(booking(key, "lot 8")), "keyConflict/notStarted", 1)

	other := booking(key, "lot 8")
	other.Workspace = "mill-2"
	c.want("other workspace", c.nodes[1].run(other), bookedAgain, 2)

	old := booking("old", "lot 9")
	old.KeyTime = time.Now().Add(-keyWindow - time.Second)
	c.want("old key", c.nodes[1].run(old), "keyExpired/unknown", 2)

	old.KeyTime = time.Now().Add(keyMargin + time.Minute)
	c.want("key from the future", c.nodes[1].run(old), "invalidRequest/notStarted", 2)

	c.bookings.Intercept(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Large", strings.Repeat("x", 2048))
	})

	c.want("large answer", c.nodes[1].run(booking("large", "lot 9")), "{\"booking\":3}\n", 3)
	c.want("repeat of a large answer", c.nodes[1].run(booking("large", "lot 9")), "outcomeUnknown/completed", 3)
}

// TestTrimmedStream guards against a new owner that takes a trimmed stream for an empty one: it must continue from a
// checkpoint, and refuse calls if there is none.
func TestTrimmedStream(t *testing.T) {
	for _, records := range []int{3, 1000} {
		t.Run(fmt.Sprintf("checkpoint after %d records", records), func(t *testing.T) {
			c := newCluster(t, 2, shard.WithCheckpoints(records, time.Hour))
			owner := c.nodes[0]
			key := c.keys(owner, 1)[0]
			stream := apricotway.Stream(fmt.Sprintf("ledger-%d",
				ledger.Key{Workspace: workspace, Key: key}.Shard(shard.DefaultShards)))

			c.want("call", owner.run(booking(key, "lot 7")), booked, 1)

			want := uncertain
			if records == 3 {
				want = booked

				await(t, "checkpoint", func() bool { return kinds(t, c.log, stream)[ledger.KindCheckpoint] > 0 })
			}

			c.log.Trim(stream, 4)
			owner.stop()
			c.declareDead(owner)
			c.want("repeat at the successor", c.nodes[1].run(booking(key, "lot 7")), want, 1)
		})
	}
}
