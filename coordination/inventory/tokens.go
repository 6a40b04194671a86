package inventory

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/thejerf/suture/v4"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/routing"
)

const (
	// tokenPeriod is the time between two entries of a process.
	tokenPeriod = time.Second
	// tokenLifetime is the time after which the last entry of a process no longer counts. A process whose tokens do not
	// change publishes again before.
	tokenLifetime = routing.PeerLifetime
	// entryMargin is kept free below apricotway.MaxBroadcast. The membership leaves tokens out of a packet that take more
	// than 400 bytes with their envelope of 40 bytes; a larger entry would never be sent.
	entryMargin = 40
)

// SharePolicy is implemented by policies that take the work in flight of other processes.
type SharePolicy interface {
	// Shares returns the own work on each engine.
	Shares() []routing.Share
	// PeerShares replaces what another process has told before.
	PeerShares(now time.Time, peer apricotway.NodeID, shares []routing.Share)
	// ForgetPeer drops what a process that is gone has told.
	ForgetPeer(peer apricotway.NodeID)
}

// Tracker knows the servers whose work counts.
type Tracker interface {
	Tracked() []apricotway.BackendServer
}

// TokenExchange tells the other processes of the tokens in flight of this one, and a policy of theirs.
type TokenExchange struct {
	known      Tracker
	broadcasts apricotway.Broadcasts
	self       apricotway.NodeID
	policy     SharePolicy
	logger     logr.Logger

	// version, last and sent belong to the goroutine that publishes.
	version uint64
	last    []byte
	sent    time.Time

	mu sync.Mutex
	// peers holds the last entry of each process for tokenLifetime.
	peers map[apricotway.NodeID]peerEntry
}

type peerEntry struct {
	version uint64
	arrived time.Time
}

// TokenOption changes an exchange under construction.
type TokenOption func(*TokenExchange)

// WithTokenLogger sets the logger.
func WithTokenLogger(logger logr.Logger) TokenOption {
	return func(x *TokenExchange) { x.logger = logger }
}

// NewTokenExchange returns an exchange and adds its goroutine to the supervisor.
func NewTokenExchange(
	supervisor *suture.Supervisor, known Tracker, broadcasts apricotway.Broadcasts, self apricotway.NodeID, policy SharePolicy,
	options ...TokenOption,
) *TokenExchange {
	x := &TokenExchange{
		known: known, broadcasts: broadcasts, self: self, policy: policy, logger: logr.Discard(),
		peers: map[apricotway.NodeID]peerEntry{},
	}

	for _, option := range options {
		option(x)
	}

	broadcasts.Subscribe(apricotway.TopicTokens, x.receive)

	supervisor.Add(apricotway.Periodic("token exchange", tokenPeriod, func(context.Context, time.Time) {
		x.publish()
		x.expire()
	}))

	return x
}

// publish sends one entry, unless it would repeat the last one that the others still keep.
func (x *TokenExchange) publish() {
	now := time.Now()
	size := apricotway.MaxBroadcast - entryMargin - len(apricotway.TopicTokens) - len(x.self)
	entry := routing.EncodeShares(x.policy.Shares(), size)

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

// receive takes an entry of another process, which has no work at the servers that it leaves out.
func (x *TokenExchange) receive(key string, version uint64, payload []byte) {
	shares, ok := routing.DecodeShares(payload)
	if !ok || key == string(x.self) {
		return
	}

	node, now := apricotway.NodeID(key), time.Now()

	x.mu.Lock()
	defer x.mu.Unlock()

	if version <= x.peers[node].version {
		return
	}

	x.peers[node] = peerEntry{version, now}
	x.policy.PeerShares(now, node, shares.Of(x.known.Tracked()))
}

// Heard returns the number of processes whose entries count.
func (x *TokenExchange) Heard() int {
	x.mu.Lock()
	defer x.mu.Unlock()

	return len(x.peers)
}

// expire takes back the counts of processes that are no longer heard.
func (x *TokenExchange) expire() {
	now := time.Now()

	x.mu.Lock()
	defer x.mu.Unlock()

	for node, peer := range x.peers {
		if now.Sub(peer.arrived) >= tokenLifetime {
			delete(x.peers, node)
			x.policy.ForgetPeer(node)
		}
	}
}
