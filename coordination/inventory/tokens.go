package inventory

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/thejerf/suture/v4"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/inventory"
)

const (
	// tokenPeriod is the time between two entries of a process.
	tokenPeriod = time.Second
	// tokenLifetime is the time after which the last entry of a process no longer counts. A process whose tokens do not
	// change publishes again before.
	tokenLifetime = 5 * time.Second
	// entryMargin is kept free below apricotway.MaxBroadcast. The membership leaves tokens out of a packet that take more
	// than 400 bytes with their envelope of 40 bytes; a larger entry would never be sent.
	entryMargin = 40
)

// PeerTokens is implemented by policies that take the tokens in flight of other processes. A count replaces the last one of
// the same server and process; 0 means that the process has none there or is gone.
type PeerTokens interface {
	PeerTokens(now time.Time, server apricotway.BackendServerID, node apricotway.NodeID, tokens int)
}

// TokenExchange tells the other processes of the tokens in flight of this one, and a policy of theirs.
type TokenExchange struct {
	inventory  *Inventory
	broadcasts apricotway.Broadcasts
	self       apricotway.NodeID
	own        func() map[apricotway.BackendServerID]int
	policy     PeerTokens
	logger     logr.Logger

	// version, last and sent belong to the goroutine that publishes.
	version uint64
	last    []byte
	sent    time.Time

	mu sync.Mutex
	// peers holds the last entry of each process for tokenLifetime.
	peers map[apricotway.NodeID]*peerTokens
}

type peerTokens struct {
	version uint64
	counts  inventory.TokenCounts
	arrived time.Time
	// given holds the servers for which the policy has a count above 0.
	given map[apricotway.BackendServerID]bool
}

// TokenOption changes an exchange under construction.
type TokenOption func(*TokenExchange)

// WithTokenLogger sets the logger.
func WithTokenLogger(logger logr.Logger) TokenOption {
	return func(x *TokenExchange) { x.logger = logger }
}

// NewTokenExchange returns an exchange and adds its goroutine to the supervisor. Own returns the tokens in flight of this
// process. The policy is a PeerTokens or takes none.
func NewTokenExchange(
	supervisor *suture.Supervisor, known *Inventory, broadcasts apricotway.Broadcasts, self apricotway.NodeID,
	own func() map[apricotway.BackendServerID]int, policy any, options ...TokenOption,
) *TokenExchange {
	x := &TokenExchange{
		inventory: known, broadcasts: broadcasts, self: self, own: own, logger: logr.Discard(),
		peers: map[apricotway.NodeID]*peerTokens{},
	}
	x.policy, _ = policy.(PeerTokens)

	for _, option := range options {
		option(x)
	}

	if x.policy != nil {
		broadcasts.Subscribe(apricotway.TopicTokens, x.receive)
	}

	supervisor.Add(apricotway.ServiceFunc{Name: "token exchange", Func: func(ctx context.Context) error {
		ticker := time.NewTicker(tokenPeriod)
		defer ticker.Stop()

		for {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-ticker.C:
				x.publish()
				x.expire()
			}
		}
	}})

	return x
}

// publish sends one entry, unless it would repeat the last one that the others still keep.
func (x *TokenExchange) publish() {
	now := time.Now()
	size := apricotway.MaxBroadcast - entryMargin - len(apricotway.TopicTokens) - len(x.self)
	entry := inventory.EncodeTokens(x.own(), size)

	if bytes.Equal(entry, x.last) && (len(entry) == 0 || now.Sub(x.sent) < tokenLifetime/2) {
		return
	}

	x.version++
	x.last, x.sent = entry, now

	if err := x.broadcasts.Publish(apricotway.BroadcastEntry{
		Topic: apricotway.TopicTokens, Key: string(x.self), Version: x.version, Payload: entry, Lifetime: tokenLifetime,
	}); err != nil {
		x.logger.V(1).Info("tokens not published", "event", 215, "error", err.Error())
	}
}

// receive takes an entry of another process. The counts of servers that it leaves out are 0 from then on.
func (x *TokenExchange) receive(key string, version uint64, payload []byte) {
	counts, ok := inventory.DecodeTokens(payload)
	if !ok || key == string(x.self) {
		return
	}

	node := apricotway.NodeID(key)

	x.mu.Lock()
	defer x.mu.Unlock()

	peer := x.peers[node]
	if peer == nil {
		peer = &peerTokens{given: map[apricotway.BackendServerID]bool{}}
		x.peers[node] = peer
	}

	if version <= peer.version {
		return
	}

	peer.version, peer.counts, peer.arrived = version, counts, time.Now()
	x.give(node, peer)
}

// give hands the counts of a process at the servers of the own subset to the policy. The caller holds the lock.
func (x *TokenExchange) give(node apricotway.NodeID, peer *peerTokens) {
	now := time.Now()
	before := peer.given
	peer.given = map[apricotway.BackendServerID]bool{}

	for _, server := range x.inventory.Tracked() {
		if tokens := peer.counts.Of(server.ID); tokens > 0 {
			peer.given[server.ID] = true
			x.policy.PeerTokens(now, server.ID, node, tokens)
		}
	}

	for id := range before {
		if !peer.given[id] {
			x.policy.PeerTokens(now, id, node, 0)
		}
	}
}

// expire takes back the counts of processes that are no longer heard.
func (x *TokenExchange) expire() {
	now := time.Now()

	x.mu.Lock()
	defer x.mu.Unlock()

	for node, peer := range x.peers {
		if now.Sub(peer.arrived) >= tokenLifetime {
			peer.counts = nil
			x.give(node, peer)
			delete(x.peers, node)
		}
	}
}
