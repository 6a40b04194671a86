package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"net/rpc"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/internal/keepalive"
)

const (
	dialTimeout = 2 * time.Second
	// defaultTimeout applies to calls whose context has no deadline.
	defaultTimeout = 10 * time.Second
	// idleTimeout is the time after which an unused connection is closed. Every process occasionally calls every other one, so
	// without it a process would keep two connections per peer open, and a limit of 1,000 file descriptors is common.
	idleTimeout = 30 * time.Second
	// idleSearchInterval is the minimum time between two searches for idle connections.
	idleSearchInterval = 5 * time.Second
)

// Client calls other processes. All calls to an address share one connection.
type Client struct {
	clock      apricotway.Clock
	tls        func() *tls.Config
	maxMessage int

	mu sync.Mutex
	// connections holds the connections that are open or being dialled. A broken one is removed, and the next call dials again.
	connections map[netip.AddrPort]*connection
	// lastIdleSearch is the time of the last search for idle connections.
	lastIdleSearch time.Time
}

// connection is one shared connection. The first call to an address starts dialling; ready is closed once client or err is set.
type connection struct {
	ready  chan struct{}
	client *rpc.Client
	err    error

	// activeCalls counts the calls in progress, and lastUsed is the time at which a call last began or ended. Client.mu guards
	// both.
	activeCalls int
	lastUsed    time.Time
}

var _ apricotway.Peers = (*Client)(nil)

// ClientOption configures a Client.
type ClientOption func(*Client)

// WithClientTLS makes the client connect over TLS. It calls config for each new connection, so that renewed certificates take
// effect.
func WithClientTLS(config func() *tls.Config) ClientOption {
	return func(c *Client) { c.tls = config }
}

// NewClient returns a client without connections; each connection is dialled on demand.
func NewClient(clock apricotway.Clock, options ...ClientOption) *Client {
	c := &Client{clock: clock, maxMessage: DefaultMaxMessage, connections: map[netip.AddrPort]*connection{}}
	for _, option := range options {
		option(c)
	}

	return c
}

// Call implements apricotway.Peers.
func (c *Client) Call(
	ctx context.Context, address netip.AddrPort, method apricotway.Method, payload []byte,
) ([]byte, error) {
	if len(payload) > c.maxMessage {
		return nil, errors.Wrap(apricotway.ErrNotSent, ErrMessageTooLarge.Error())
	}

	remaining := defaultTimeout
	if deadline, ok := ctx.Deadline(); ok {
		remaining = time.Until(deadline)
	}

	ctx, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()

	connection := c.acquire(address) //nolint:contextcheck // The connection outlives the call that dials it.
	defer c.release(connection)

	if err := connection.await(ctx); err != nil {
		return nil, errors.Wrap(apricotway.ErrNotSent, err.Error())
	}

	request := Request{Method: method, Remaining: remaining, Stamp: c.clock.Now(), Payload: payload}
	call := connection.client.Go(methodCall, request, &Answer{}, make(chan *rpc.Call, 1))

	select {
	case <-call.Done:
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "wait for peer")
	}

	if call.Error != nil {
		c.discard(address, connection)

		// rpc.ErrShutdown does not prove that the call was not sent: when another call's error closes the connection, calls
		// that have been sent fail with it too.
		return nil, errors.Wrap(call.Error, "call peer")
	}

	return c.result(call.Reply.(*Answer))
}

func (c *Client) result(answer *Answer) ([]byte, error) {
	c.clock.Observe(answer.Stamp)

	switch {
	case answer.Refusal != nil:
		return nil, answer.Refusal
	case answer.NotStarted:
		return nil, errors.Wrap(apricotway.ErrNotSent, answer.Failure)
	case answer.Failure != "":
		return nil, errors.Wrap(ErrPeerFailed, answer.Failure)
	default:
		return answer.Payload, nil
	}
}

// acquire returns the connection to an address and starts dialling if there is none. The idle search leaves it open until
// release.
func (c *Client) acquire(address netip.AddrPort) *connection {
	c.mu.Lock()
	defer c.mu.Unlock()

	now := time.Now()
	if now.Sub(c.lastIdleSearch) >= idleSearchInterval {
		c.closeIdle(now)
	}

	current := c.connections[address]
	if current == nil {
		current = &connection{ready: make(chan struct{})}
		c.connections[address] = current

		go c.dial(address, current)
	}

	current.activeCalls++
	current.lastUsed = now

	return current
}

func (c *Client) release(connection *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()

	connection.activeCalls--
	connection.lastUsed = time.Now()
}

// closeIdle closes the connections that have been unused for idleTimeout. The caller holds c.mu.
func (c *Client) closeIdle(now time.Time) {
	c.lastIdleSearch = now

	for address, current := range c.connections {
		if current.activeCalls > 0 || now.Sub(current.lastUsed) < idleTimeout {
			continue
		}

		delete(c.connections, address)

		current.close()
	}
}

// close closes the connection unless it is still being dialled.
func (c *connection) close() {
	select {
	case <-c.ready:
		if c.client != nil {
			_ = c.client.Close()
		}
	default:
	}
}

// await waits until dialling has succeeded or failed.
func (c *connection) await(ctx context.Context) error {
	select {
	case <-c.ready:
		return c.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// dial opens a connection. It uses no caller's context because the connection is shared by all callers.
func (c *Client) dial(address netip.AddrPort, target *connection) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()

	var dialer interface {
		DialContext(ctx context.Context, network, address string) (net.Conn, error)
	} = keepalive.NewStrictDialer()

	if c.tls != nil {
		dialer = &tls.Dialer{NetDialer: keepalive.NewStrictDialer(), Config: c.tls()}
	}

	raw, err := dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		target.err = err
		c.discard(address, target)
	} else {
		limit := int64(c.maxMessage)
		target.client = rpc.NewClientWithCodec(clientCodec{newMessageStream(raw, func() int64 { return limit })})
	}

	close(target.ready)
}

// discard closes a connection and removes it, so that the next call dials a new one.
func (c *Client) discard(address netip.AddrPort, broken *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.connections[address] == broken {
		delete(c.connections, address)
	}

	broken.close()
}

// Close closes all connections. Calls in progress fail.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()

	for address, current := range c.connections {
		delete(c.connections, address)

		current.close()
	}
}
