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
	// tokenPeriod is the time between two broadcasts of a process.
	tokenPeriod = time.Second
	// tokenLifetime is the time after which the last entry of a process expires. A process whose tokens do not change publishes
	// them again before.
	tokenLifetime = routing.PeerLifetime
	// entryMargin is the number of bytes below apricotway.MaxBroadcastBytes that an entry leaves unused. The membership never sends
	// tokens that take more than 400 bytes including their envelope of 40 bytes.
	entryMargin = 40
)

// SharePolicy is implemented by policies that consider the work in flight of other processes.
type SharePolicy interface {
	// Shares returns this process's work in flight on each engine.
	Shares() []routing.Share
	// PeerShares replaces the work in flight of another process.
	PeerShares(now time.Time, peer apricotway.NodeID, shares []routing.Share)
	// ForgetPeer removes the work in flight of another process.
	ForgetPeer(peer apricotway.NodeID)
}

// Tracker returns the servers that this process uses. The work of other processes counts only on these.
type Tracker interface {
	Tracked() []apricotway.BackendServer
}

// TokenExchange broadcasts the tokens in flight of this process and passes those of the other processes to a policy.
type TokenExchange struct {
	tracker    Tracker
	broadcasts apricotway.Broadcasts
	self       apricotway.NodeID
	policy     SharePolicy
	logger     logr.Logger

	// version, last and sent are used by the publishing goroutine only.
	version uint64
	last    []byte
	sent    time.Time

	mu sync.Mutex
	// peers holds the version and time of each process's last entry until it expires.
	peers map[apricotway.NodeID]peerEntry
}

type peerEntry struct {
	version uint64
	arrived time.Time
}

// TokenOption configures an exchange under construction.
type TokenOption func(*TokenExchange)

// WithTokenLogger sets the logger.
func WithTokenLogger(logger logr.Logger) TokenOption {
	return func(x *TokenExchange) { x.logger = logger }
}

// NewTokenExchange returns an exchange and adds its goroutine to the supervisor.
func NewTokenExchange(
	supervisor *suture.Supervisor, tracker Tracker, broadcasts apricotway.Broadcasts, self apricotway.NodeID, policy SharePolicy,
	options ...TokenOption,
) *TokenExchange {
	x := &TokenExchange{
		tracker: tracker, broadcasts: broadcasts, self: self, policy: policy, logger: logr.Discard(),
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

// publish broadcasts one entry, unless it equals the last one and that has not nearly expired.
func (x *TokenExchange) publish() {
	now := time.Now()
	size := apricotway.MaxBroadcastBytes - entryMargin - len(apricotway.TopicTokens) - len(x.self)
	entry := routing.EncodeShares(x.policy.Shares(), size)

	if bytes.Equal(entry, x.last) && (len(entry) == 0 || now.Sub(x.sent) < tokenLifetime/2) {
		return
	}

	x.version++
	x.last, x.sent = entry, now

	if err := x.broadcasts.Publish(apricotway.BroadcastEntry{
		Topic: apricotway.TopicTokens, Key: string(x.self), Version: x.version, Payload: entry, Lifetime: tokenLifetime,
	}); err != nil {
		x.logger.V(1).Info("publishing the tokens in flight failed", "event", 215, "error", err.Error())
	}
}

// receive passes the entry of another process to the policy. The process has no work on servers that the entry does not
// contain.
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
	x.policy.PeerShares(now, node, shares.Of(x.tracker.Tracked()))
}

// Heard returns the number of other processes whose entry has not expired.
func (x *TokenExchange) Heard() int {
	x.mu.Lock()
	defer x.mu.Unlock()

	return len(x.peers)
}

// expire removes the work of processes whose last entry has expired.
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
