// Package faultproxy is a TCP and UDP proxy that injects network faults in tests. An HTTP handler sets the faults.
package faultproxy

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// Direction is the direction of the traffic on a link, seen from the client that connects to the link.
type Direction string

// The values of Direction. Forward is from the client to the target. The empty value matches no direction.
const (
	Forward  Direction = "forward"
	Backward Direction = "backward"
	Both     Direction = "both"
)

func (d Direction) covers(other Direction) bool { return d == other || d == Both }

// Fault is the target of a link and the faults that the link injects.
type Fault struct {
	// Target is the address that the link forwards to. Without it, TCP connections are closed and UDP packets dropped.
	Target netip.AddrPort `json:"target"`
	// Cut simulates a network partition: it delays the bytes of TCP connections until Cut is cleared and drops UDP packets.
	Cut Direction `json:"cut"`
	// DelayMillis is the delay before the data of one read is forwarded, in each direction.
	DelayMillis int `json:"delayMillis"`
	// BytesPerSecond limits the rate of each direction of a TCP connection; 0 means no limit.
	BytesPerSecond int `json:"bytesPerSecond"`
	// LoseAnswer resets a TCP connection when the target sends its first bytes, after the request was forwarded. UDP packets
	// from the target are dropped.
	LoseAnswer bool `json:"loseAnswer"`
	// HalfClose closes one direction of a TCP connection after the first forwarded bytes; the other direction stays open.
	HalfClose Direction `json:"halfClose"`
	// RejectNew resets new TCP connections, while open ones live on. Reset resets open ones too.
	RejectNew bool `json:"rejectNew"`
	Reset     bool `json:"reset"`
}

const (
	bufferSize = 64 << 10
	// maxUDPSessions bounds the number of UDP clients of a link, each of which holds a socket.
	maxUDPSessions = 1024
)

// Link listens on one address and forwards its traffic to the target of the current fault.
type Link struct {
	// Address is the address that clients connect to.
	Address netip.AddrPort

	mu    sync.Mutex
	fault Fault
	// changed is closed and replaced when a fault changes.
	changed chan struct{}
	closers map[io.Closer]struct{}
	closed  bool
	// groupOf names the group of a TCP client; nil without groups. groups holds the faults of groups that have one of their own, and members
	// the open connections of clients by group.
	groupOf func(client netip.AddrPort) string
	groups  map[string]Fault
	members map[*net.TCPConn]string

	// clientBandwidth returns the bandwidth of the host of a TCP client; nil without a limit. targetBandwidth is that of the host of the
	// target, nil without a limit.
	clientBandwidth func(client netip.AddrPort) *Bandwidth
	targetBandwidth *Bandwidth
}

// Option configures a Link.
type Option func(*Link)

// WithClientBandwidth makes each TCP connection use the bandwidth of its client's host, which of returns, nil for no limit.
func WithClientBandwidth(of func(client netip.AddrPort) *Bandwidth) Option {
	return func(l *Link) { l.clientBandwidth = of }
}

// WithTargetBandwidth makes all TCP connections use the bandwidth of the target's host, nil for no limit.
func WithTargetBandwidth(bandwidth *Bandwidth) Option {
	return func(l *Link) { l.targetBandwidth = bandwidth }
}

// Set replaces the fault of the link, also for open connections. These keep their target; UDP packets go to the new one.
func (l *Link) Set(fault Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.fault = fault
	l.signalLocked()
}

// SetGroups divides the TCP clients into groups.
func (l *Link) SetGroups(of func(client netip.AddrPort) string) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.groupOf = of
}

// SetGroup replaces the fault for the clients of a group, also for their open connections.
func (l *Link) SetGroup(group string, fault Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.groups[group] = fault
	l.signalLocked()

	for client, member := range l.members {
		if member == group && fault.Reset {
			_ = client.SetLinger(0) // Fails on a closed connection only.
			_ = client.Close()
		}
	}
}

func (l *Link) signalLocked() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// current returns the fault for the clients of a group.
func (l *Link) current(group string) (Fault, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if fault, ok := l.groups[group]; ok {
		return fault, l.changed
	}

	return l.fault, l.changed
}

// join returns the group of a client, and registers its connection.
func (l *Link) join(client *net.TCPConn) string {
	l.mu.Lock()
	of := l.groupOf
	l.mu.Unlock()

	if of == nil {
		return ""
	}

	group := of(client.RemoteAddr().(*net.TCPAddr).AddrPort())

	l.mu.Lock()
	defer l.mu.Unlock()

	l.members[client] = group

	return group
}

// track registers a socket that Close closes. If the link is already closed, it closes the socket and returns false.
func (l *Link) track(closer io.Closer) bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	if l.closed {
		_ = closer.Close()
		return false
	}

	l.closers[closer] = struct{}{}

	return true
}

func (l *Link) release(closer io.Closer) {
	l.mu.Lock()
	delete(l.closers, closer)

	if client, ok := closer.(*net.TCPConn); ok {
		delete(l.members, client)
	}
	l.mu.Unlock()

	_ = closer.Close()
}

// Close closes the listener and all connections of the link. It clears the fault, so that goroutines waiting for the end of
// a cut return.
func (l *Link) Close() {
	l.mu.Lock()

	l.closed = true
	for closer := range l.closers {
		_ = closer.Close()
	}

	clear(l.groups)
	l.mu.Unlock()
	l.Set(Fault{})
}

// Listen opens a link on a free loopback port. The network is "tcp" or "udp".
func Listen(ctx context.Context, network string, options ...Option) (*Link, error) {
	var config net.ListenConfig

	l := &Link{
		changed: make(chan struct{}), closers: map[io.Closer]struct{}{}, groups: map[string]Fault{}, members: map[*net.TCPConn]string{},
		clientBandwidth: func(netip.AddrPort) *Bandwidth { return nil },
	}
	for _, option := range options {
		option(l)
	}

	if network == "udp" {
		conn, err := config.ListenPacket(ctx, network, "127.0.0.1:0")
		if err != nil {
			return nil, errors.Wrap(err, "listen on a UDP loopback port")
		}

		l.Address = conn.LocalAddr().(*net.UDPAddr).AddrPort()
		l.track(conn)

		go l.serveUDP(conn.(*net.UDPConn))

		return l, nil
	}

	listener, err := config.Listen(ctx, network, "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen on a TCP loopback port")
	}

	l.Address = listener.Addr().(*net.TCPAddr).AddrPort()
	l.track(listener)

	go func() {
		for client, err := listener.Accept(); err == nil; client, err = listener.Accept() {
			go l.serveTCP(client.(*net.TCPConn))
		}
	}()

	return l, nil
}

func (l *Link) serveTCP(client *net.TCPConn) {
	if !l.track(client) {
		return
	}
	defer l.release(client)

	group := l.join(client)

	fault, _ := l.current(group)
	if fault.RejectNew || fault.Reset {
		_ = client.SetLinger(0) // Fails on a closed connection only.
		return
	}

	target, err := net.DialTCP("tcp", nil, net.TCPAddrFromAddrPort(fault.Target))
	if err != nil || !l.track(target) {
		return
	}
	defer l.release(target)

	var forwarding sync.WaitGroup

	bandwidths := path{client: l.clientBandwidth(client.RemoteAddr().(*net.TCPAddr).AddrPort()), target: l.targetBandwidth}

	forwarding.Go(func() { l.forwardTCP(group, bandwidths, target, client, Forward) })
	l.forwardTCP(group, bandwidths, client, target, Backward)
	forwarding.Wait()
}

// forwardTCP forwards one direction of a TCP connection until that direction is closed.
func (l *Link) forwardTCP(group string, bandwidths path, to, from *net.TCPConn, direction Direction) {
	buffer := make([]byte, bandwidths.bufferSize())

	for {
		n, err := from.Read(buffer)
		if n > 0 {
			bandwidths.await(direction, n)

			fault := l.delay(group, direction, n)
			if fault.LoseAnswer && direction == Backward {
				_ = to.SetLinger(0)
				_, _ = to.Close(), from.Close()

				return
			}

			if _, err := to.Write(buffer[:n]); err != nil {
				_ = from.Close()
				return
			}

			if fault.HalfClose.covers(direction) {
				err = io.EOF
			}
		}
		if err != nil {
			l.delay(group, direction, 0)
			_ = to.CloseWrite()

			return
		}
	}
}

// delay waits while the direction is cut, then for the delay and rate limit of the fault. It returns the fault that applied when
// the cut ended.
func (l *Link) delay(group string, direction Direction, n int) Fault {
	fault, changed := l.current(group)
	for fault.Cut.covers(direction) {
		<-changed

		fault, changed = l.current(group)
	}

	wait := time.Duration(fault.DelayMillis) * time.Millisecond
	if fault.BytesPerSecond > 0 {
		wait += time.Duration(n) * time.Second / time.Duration(fault.BytesPerSecond)
	}

	if wait > 0 {
		<-time.After(wait)
	}

	return fault
}

func (l *Link) serveUDP(conn *net.UDPConn) {
	sessions := map[netip.AddrPort]*net.UDPConn{}
	buffer := make([]byte, bufferSize)

	for {
		n, client, err := conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}

		fault, _ := l.current("")
		if err != nil || fault.Cut.covers(Forward) || !fault.Target.IsValid() || len(sessions) > maxUDPSessions {
			continue
		}

		session := sessions[client]
		if session == nil {
			session, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
			if err != nil || !l.track(session) {
				continue
			}

			sessions[client] = session

			go l.forwardUDPAnswers(conn, session, client)
		}

		l.sendDelayed(fault, session, buffer[:n], fault.Target)
	}
}

// sendDelayed copies a packet and sends it after the delay of the fault.
func (l *Link) sendDelayed(fault Fault, conn *net.UDPConn, packet []byte, to netip.AddrPort) {
	content := append([]byte(nil), packet...)
	time.AfterFunc(time.Duration(fault.DelayMillis)*time.Millisecond, func() {
		_, _ = conn.WriteToUDPAddrPort(content, to)
	})
}

func (l *Link) forwardUDPAnswers(conn, session *net.UDPConn, client netip.AddrPort) {
	buffer := make([]byte, bufferSize)

	for {
		n, err := session.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}

		if fault, _ := l.current(""); err == nil && !fault.Cut.covers(Backward) && !fault.LoseAnswer {
			l.sendDelayed(fault, conn, buffer[:n], client)
		}
	}
}

// Handler sets faults over HTTP: PUT /links/{name} with a JSON Fault as its body calls Set on the named link.
func Handler(links map[string]*Link) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /links/{name}", func(w http.ResponseWriter, r *http.Request) {
		var fault Fault

		link := links[r.PathValue("name")]
		if err := json.NewDecoder(r.Body).Decode(&fault); err != nil || link == nil {
			http.Error(w, "no such link or no valid fault", http.StatusBadRequest)
			return
		}

		link.Set(fault)
	})

	return mux
}
