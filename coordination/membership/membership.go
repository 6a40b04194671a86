// Package membership runs the membership protocol of state/member: it sends the state machine's messages, exchanges full states
// with other processes over net/rpc, and finds first peers.
package membership

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/thejerf/suture/v4"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/coordination/era"
	"github.com/apricotway/apricotway/internal/pause"
	"github.com/apricotway/apricotway/state/member"
	"github.com/apricotway/apricotway/state/placement"
)

const (
	methodExchange apricotway.Method = "exchangeMembers"
	// exchangeTimeout bounds one exchange of full states; at 390 members a state takes about 40 KB.
	exchangeTimeout = 3 * time.Second
	// minExchangeInterval is the shortest time between two exchanges that messages request. When a network partition heals, every
	// returning member causes such a request, and the first exchange already carries the state of all.
	minExchangeInterval = time.Second
	// deploymentSize is the number of bytes of the hash that names a deployment.
	deploymentSize = 8
)

var errOtherDeployment = errors.New("the process belongs to another deployment")

// Sender sends one message to another process. Messages may be lost.
type Sender interface {
	Send(to netip.AddrPort, message member.Message) error
}

// broadcastHandler handles the entries of a topic.
type broadcastHandler = func(key string, version uint64, payload []byte)

// Driver runs the membership state machine of one process. It is safe for concurrent use.
type Driver struct {
	sender   Sender
	peers    apricotway.Peers
	log      apricotway.Log
	seeds    []netip.AddrPort
	logger   logr.Logger
	config   member.Config
	random   *rand.Rand
	validity time.Duration
	ready    func() bool
	isolated func() bool
	// unknown is called for each kind of message and state of an entry that this build does not know.
	unknown func(name string)
	// deployment names the processes with the same key; empty for none.
	deployment string

	// wake makes the timer loop read the machine's next deadline again.
	wake chan struct{}
	// exchanges holds the address for the next exchange; further addresses are dropped while it is full.
	exchanges       chan netip.AddrPort
	broadcastsReady chan struct{}

	mu      sync.Mutex
	machine *member.Machine
	// received holds the broadcasts that have not been passed to handlers yet.
	received []apricotway.BroadcastEntry
	handlers map[apricotway.Topic][]broadcastHandler
	// ended is set once this process has told the members that it stops.
	ended bool

	// searched is set once this process has looked for others since its start.
	searched bool
	// largest is the largest number of processes, this one included, that were known since the last search of the join records; 0 before
	// the first one.
	largest int

	// joinAgain signals that the join record may be lost, and died that a member was declared dead.
	joinAgain, died chan struct{}
}

var (
	_ apricotway.Membership = (*Driver)(nil)
	_ apricotway.Directory  = (*Driver)(nil)
	_ apricotway.Broadcasts = (*Driver)(nil)
)

// Option configures a Driver.
type Option func(*Driver)

// WithLogger sets the logger.
func WithLogger(logger logr.Logger) Option { return func(d *Driver) { d.logger = logger } }

// WithSeeds sets the peer addresses through which a process joins while the log service is unavailable.
func WithSeeds(seeds []netip.AddrPort) Option { return func(d *Driver) { d.seeds = seeds } }

// WithValidity sets the time for which callers may keep addresses.
func WithValidity(validity time.Duration) Option { return func(d *Driver) { d.validity = validity } }

// WithReady sets the function that reports whether callers may be sent to this process.
func WithReady(ready func() bool) Option { return func(d *Driver) { d.ready = ready } }

// WithIsolated sets the function that reports whether this process has lost its paths to the backend servers.
func WithIsolated(isolated func() bool) Option { return func(d *Driver) { d.isolated = isolated } }

// WithUnknown sets the function that is called for each kind of message and each state of a member that this build does not know.
func WithUnknown(unknown func(name string)) Option { return func(d *Driver) { d.unknown = unknown } }

// WithConfig sets the timing parameters of the protocol.
func WithConfig(config member.Config) Option { return func(d *Driver) { d.config = config } }

// WithEras sets the tracker of the store's eras. The join record is appended again when the store has come back from an older copy, which
// may lack it.
func WithEras(eras *era.Tracker) Option {
	return func(d *Driver) { eras.Subscribe(func() { signal(d.joinAgain) }) }
}

// WithKey sets the key of the deployment, by which processes tell those of another one that got the address of a former member.
func WithKey(key []byte) Option {
	return func(d *Driver) {
		if len(key) > 0 {
			sum := sha256.Sum256(append([]byte("deployment "), key...))
			d.deployment = hex.EncodeToString(sum[:deploymentSize])
		}
	}
}

// WithRandom sets the source of random choices.
func WithRandom(random *rand.Rand) Option { return func(d *Driver) { d.random = random } }

// New returns a Driver and adds its goroutines to the supervisor. If log is nil, first peers come from the seeds only.
func New(
	supervisor *suture.Supervisor, self apricotway.Member, sender Sender, peers apricotway.Peers,
	registry apricotway.PeerRegistry, log apricotway.Log, options ...Option,
) *Driver {
	d := &Driver{
		sender: sender, peers: peers, log: log, logger: logr.Discard(),
		config: member.DefaultConfig(), random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		validity: 5 * time.Second, ready: func() bool { return true }, isolated: func() bool { return false },
		unknown: func(string) {},
		wake:    make(chan struct{}, 1), exchanges: make(chan netip.AddrPort, 1), broadcastsReady: make(chan struct{}, 1),
		joinAgain: make(chan struct{}, 1), died: make(chan struct{}, 1),
		handlers: map[apricotway.Topic][]broadcastHandler{},
	}
	for _, option := range options {
		option(d)
	}

	d.machine = member.New(member.NewEntry(self), d.config, rand.New(rand.NewPCG(d.random.Uint64(), 0)), time.Now())

	apricotway.HandlePeer(registry, methodExchange,
		func(_ context.Context, state member.State) (member.State, error) { return d.answerExchange(state) })

	for name, run := range map[string]func(context.Context) error{
		"membership timers": d.runTimers, "membership exchange": d.runExchanges,
		"membership join": d.runJoin, "membership broadcasts": d.runBroadcasts,
	} {
		supervisor.Add(apricotway.ServiceFunc{Name: name, Func: run})
	}

	return d
}

// do runs a step of the machine and performs its output: it sends the packets, signals broadcasts and requests exchanges.
func (d *Driver) do(step func(now time.Time) member.Output) {
	out, ok := d.advance(step)
	if !ok {
		return
	}

	signal(d.wake)

	if len(out.Broadcasts) > 0 {
		signal(d.broadcastsReady)
	}

	for _, name := range out.Unknown {
		d.unknown(name)
	}

	for _, entry := range out.Changes {
		d.logger.V(1).Info("member state changed", "event", 271, "member", entry.Node, "state", entry.State,
			"incarnation", entry.Incarnation)
	}

	for _, packet := range out.Packets {
		if err := d.sender.Send(packet.To, packet.Message); err != nil {
			d.logger.V(1).Info("failed to send a membership message", "event", 272, "to", packet.To, "error", err.Error())
		}
	}

	for _, address := range out.Exchange {
		select {
		case d.exchanges <- address:
		default:
		}
	}
}

// advance runs a step of the machine unless the process has ended, and keeps its broadcasts for the handlers. The deferred unlock
// releases the lock even if the step panics.
func (d *Driver) advance(step func(now time.Time) member.Output) (out member.Output, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()

	if d.ended {
		return out, false
	}

	out = step(time.Now())
	d.noteChanges(out.Changes)

	for _, entry := range out.Broadcasts {
		if len(d.handlers[entry.Topic]) > 0 {
			d.received = append(d.received, entry)
		}
	}

	return out, true
}

func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

func (d *Driver) runTimers(ctx context.Context) error {
	for {
		// Call ready without holding the lock, since it belongs to other components.
		ready, isolated := d.ready(), d.isolated()
		d.do(func(now time.Time) member.Output { return d.machine.SetReady(now, ready, isolated) })

		if !d.waitNext(ctx) {
			return ctx.Err()
		}
	}
}

// waitNext waits until the machine's next deadline, which a message may bring forward. It returns false if the context ended.
func (d *Driver) waitNext(ctx context.Context) bool {
	for {
		d.mu.Lock()
		next, ended := d.machine.Next(), d.ended
		d.mu.Unlock()

		// The deadline of a machine that no longer runs stays in the past.
		if ended {
			<-ctx.Done()
			return false
		}

		timer := time.NewTimer(time.Until(next))

		select {
		case <-ctx.Done():
			timer.Stop()
			return false
		case <-timer.C:
			return true
		case <-d.wake:
			timer.Stop()
		}
	}
}

func (d *Driver) runBroadcasts(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-d.broadcastsReady:
		}

		d.mu.Lock()
		entries := d.received
		d.received = nil
		d.mu.Unlock()

		for _, entry := range entries {
			d.mu.Lock()
			handlers := d.handlers[entry.Topic]
			d.mu.Unlock()

			for _, handler := range handlers {
				handler(entry.Key, entry.Version, entry.Payload)
			}
		}
	}
}

func (d *Driver) runExchanges(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case address := <-d.exchanges:
			if err := d.exchange(ctx, address); err != nil {
				d.logger.V(1).Info("failed to exchange the membership state", "event", 273, "peer", address, "error", err.Error())
			}
		}

		if !pause.For(ctx, minExchangeInterval) {
			return ctx.Err()
		}
	}
}

// exchange merges the full states of this process and of another one, in both directions.
func (d *Driver) exchange(ctx context.Context, address netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()

	d.mu.Lock()
	state := d.machine.State(time.Now())
	d.mu.Unlock()

	state.Deployment = d.deployment

	answer, err := apricotway.CallPeer[member.State](ctx, d.peers, address, methodExchange, state)
	if err != nil {
		return errors.Wrap(err, "exchange membership states")
	}

	if d.isForeign(answer) {
		return errOtherDeployment
	}

	d.do(func(now time.Time) member.Output { return d.machine.Merge(now, answer) })

	return nil
}

// answerExchange merges another process's state and returns this process's state from before the merge, since the caller has its
// own entries already. If the digests are equal, it only returns the digest.
func (d *Driver) answerExchange(state member.State) (member.State, error) {
	if d.isForeign(state) {
		return member.State{}, errOtherDeployment
	}

	d.mu.Lock()
	answer := d.machine.State(time.Now())
	d.mu.Unlock()

	answer.Deployment = d.deployment

	if answer.Digest == state.Digest {
		return member.State{Digest: answer.Digest, Deployment: answer.Deployment}, nil
	}

	d.do(func(now time.Time) member.Output { return d.machine.Merge(now, state) })

	return answer, nil
}

// isForeign reports whether a state is that of another deployment. The address of a former member may belong to one now.
func (d *Driver) isForeign(state member.State) bool {
	return d.deployment != "" && state.Deployment != "" && state.Deployment != d.deployment
}

// Receive processes a message from another process.
func (d *Driver) Receive(from netip.AddrPort, message member.Message) {
	d.do(func(now time.Time) member.Output { return d.machine.Receive(now, from, message) })
}

// AnnounceLeave removes this process from the addresses given to callers and announces to the members that it is leaving. It
// cannot be undone.
func (d *Driver) AnnounceLeave() {
	d.do(func(now time.Time) member.Output { return d.machine.Leave(now) })
}

// AnnounceStop announces to the members that this process ends now. Nothing is sent afterwards.
func (d *Driver) AnnounceStop() {
	d.do(func(now time.Time) member.Output { return d.machine.Stopped(now) })

	d.mu.Lock()
	d.ended = true
	d.mu.Unlock()

	signal(d.wake)
}

// Members implements apricotway.Membership. Dead members are listed until the state machine forgets them.
func (d *Driver) Members() []apricotway.Member {
	d.mu.Lock()
	defer d.mu.Unlock()

	entries := d.machine.Entries()
	members := make([]apricotway.Member, len(entries))

	for i, entry := range entries {
		members[i] = entry.Member()
	}

	return members
}

// Self implements apricotway.Membership.
func (d *Driver) Self() apricotway.Member {
	d.mu.Lock()
	defer d.mu.Unlock()

	return d.machine.Self().Member()
}

// LastContact returns the time of the last answer of another member to a probe by this process, or of its start.
func (d *Driver) LastContact() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()

	return d.machine.LastContact()
}

// Addresses implements apricotway.Directory.
func (d *Driver) Addresses(
	service apricotway.Service, workspace apricotway.Workspace,
) ([]apricotway.Address, time.Duration) {
	self := d.Self()
	shard := placement.Shard(d.available(self), self, service, workspace)
	addresses := make([]apricotway.Address, len(shard))

	for i, m := range shard {
		addresses[i] = apricotway.Address{Node: m.Node, Zone: m.Zone, Address: m.Callers}
	}

	return addresses, d.validity
}

// Announce tells the others at once what has changed about this process.
func (d *Driver) Announce() {
	ready, isolated := d.ready(), d.isolated()
	d.do(func(now time.Time) member.Output { return d.machine.SetReady(now, ready, isolated) })
}

// Available returns the members that callers may be sent to, this process included. Members that reach the backend servers only through
// others are left out unless all do.
func (d *Driver) Available() []apricotway.Member {
	available := d.available(d.Self())

	direct := slices.DeleteFunc(slices.Clone(available), func(m apricotway.Member) bool { return m.Isolated })
	if len(direct) > 0 {
		return direct
	}

	return available
}

// available returns the members that callers may be sent to. Suspected members are included only if they are the majority: then
// it is more likely that this process is cut off than that all of them are dead.
func (d *Driver) available(self apricotway.Member) []apricotway.Member {
	var alive, suspect []apricotway.Member

	if self.State == apricotway.MemberAlive && d.ready() {
		alive = append(alive, self)
	}

	for _, m := range d.Members() {
		switch {
		case !m.Ready:
		case m.State == apricotway.MemberAlive:
			alive = append(alive, m)
		case m.State == apricotway.MemberSuspect:
			suspect = append(suspect, m)
		}
	}

	if len(suspect) > len(alive) {
		alive = append(alive, suspect...)
	}

	return alive
}

// Publish implements apricotway.Broadcasts.
func (d *Driver) Publish(entry apricotway.BroadcastEntry) error {
	accepted := false

	d.do(func(now time.Time) member.Output {
		var out member.Output

		out, accepted = d.machine.Publish(now, entry)

		return out
	})

	if !accepted {
		return errors.Wrapf(apricotway.ErrBroadcastRefused, "publish topic %s, key %s", entry.Topic, entry.Key)
	}

	return nil
}

// Subscribe implements apricotway.Broadcasts.
func (d *Driver) Subscribe(topic apricotway.Topic, receive func(key string, version uint64, payload []byte)) {
	d.mu.Lock()
	defer d.mu.Unlock()

	d.handlers[topic] = append(d.handlers[topic], receive)
}

// Latest implements apricotway.Broadcasts.
func (d *Driver) Latest(topic apricotway.Topic) []apricotway.BroadcastEntry {
	d.mu.Lock()
	defer d.mu.Unlock()

	return d.machine.Broadcasts(time.Now(), topic)
}

// Register registers the membership metrics.
func (d *Driver) Register(registerer prometheus.Registerer) {
	for _, metric := range []struct {
		name, help string
		value      func(member.Stats) uint64
	}{
		{"probes_sent_total", "Membership probes sent.", func(s member.Stats) uint64 { return s.ProbesSent }},
		{"probes_lost_total", "Probes without an answer.", func(s member.Stats) uint64 { return s.ProbesLost }},
		{"suspicions_total", "Suspicions raised by this process.", func(s member.Stats) uint64 { return s.Suspicions }},
		{"refutations_total", "Suspicions of this process refuted.", func(s member.Stats) uint64 { return s.Refutations }},
		{"ignored_total", "Invalid messages and entries.", func(s member.Stats) uint64 { return s.Ignored }},
	} {
		registerer.MustRegister(prometheus.NewCounterFunc(
			prometheus.CounterOpts{Name: "apricotway_membership_" + metric.name, Help: metric.help},
			func() float64 {
				d.mu.Lock()
				defer d.mu.Unlock()

				return float64(metric.value(d.machine.Stats()))
			}))
	}

	registerer.MustRegister(prometheus.NewGaugeFunc(
		prometheus.GaugeOpts{Name: "apricotway_membership_members", Help: "Known members that are not dead, with this one."},
		func() float64 { return float64(1 + d.liveCount()) }))
}

// liveCount returns the number of other members that are not dead.
func (d *Driver) liveCount() int {
	count := 0

	for _, m := range d.Members() {
		if m.State != apricotway.MemberDead {
			count++
		}
	}

	return count
}
