// Package faultproxy is a TCP and UDP proxy for tests that injects the faults of a network. It is steered over HTTP.
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

// Direction is a direction of a link as seen by the client that connects to it.
type Direction string

// The values of Direction; an empty one covers nothing.
const (
	Forward  Direction = "forward"
	Backward Direction = "backward"
	Both     Direction = "both"
)

func (d Direction) covers(other Direction) bool { return d == other || d == Both }

// Fault is the state of a link.
type Fault struct {
	// Target is where the link leads. Without it, TCP connections are closed and UDP packets dropped.
	Target netip.AddrPort `json:"target"`
	// Cut holds up the bytes of TCP connections, as a network cut does until it heals, and drops UDP packets.
	Cut Direction `json:"cut"`
	// DelayMillis is added to every read in each direction.
	DelayMillis int `json:"delayMillis"`
	// BytesPerSecond slows TCP down; 0 stands for no limit.
	BytesPerSecond int `json:"bytesPerSecond"`
	// LoseAnswer closes a TCP connection at the first byte of the answer, after the request has passed.
	LoseAnswer bool `json:"loseAnswer"`
	// HalfClose ends one direction of TCP connections after the first bytes that pass in it; the other one stays open.
	HalfClose Direction `json:"halfClose"`
}

const (
	bufferSize = 64 << 10
	// maxSessions bounds the UDP clients of a link.
	maxSessions = 1024
)

// Link is one proxied address.
type Link struct {
	// Address is where clients connect.
	Address netip.AddrPort

	mu    sync.Mutex
	fault Fault
	// changed is closed at the next change of the fault.
	changed chan struct{}
	closers map[io.Closer]struct{}
	closed  bool
}

// Set changes the state of the link, also for open connections.
func (l *Link) Set(fault Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.fault = fault
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *Link) current() (Fault, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.fault, l.changed
}

// track remembers what the end of the proxy has to close.
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
	l.mu.Unlock()

	_ = closer.Close()
}

// Close ends the link and its connections.
func (l *Link) Close() {
	l.mu.Lock()

	l.closed = true
	for closer := range l.closers {
		_ = closer.Close()
	}

	l.mu.Unlock()
	l.Set(Fault{})
}

// Listen opens a link on a free loopback port; the network is "tcp" or "udp".
func Listen(ctx context.Context, network string) (*Link, error) {
	var config net.ListenConfig

	l := &Link{changed: make(chan struct{}), closers: map[io.Closer]struct{}{}}

	if network == "udp" {
		conn, err := config.ListenPacket(ctx, network, "127.0.0.1:0")
		if err != nil {
			return nil, errors.Wrap(err, "listen")
		}

		l.Address = conn.LocalAddr().(*net.UDPAddr).AddrPort()
		l.track(conn)

		go l.serveUDP(conn.(*net.UDPConn))

		return l, nil
	}

	listener, err := config.Listen(ctx, network, "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
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

	fault, _ := l.current()

	target, err := net.DialTCP("tcp", nil, net.TCPAddrFromAddrPort(fault.Target))
	if err != nil || !l.track(target) {
		return
	}
	defer l.release(target)
	var group sync.WaitGroup

	group.Go(func() { l.pump(target, client, Forward) })
	l.pump(client, target, Backward)
	group.Wait()
}

// pump copies one direction of a TCP connection until it ends.
func (l *Link) pump(to, from *net.TCPConn, direction Direction) {
	buffer := make([]byte, bufferSize)

	for {
		n, err := from.Read(buffer)
		if n > 0 {
			fault := l.pass(direction, n)
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
			l.pass(direction, 0)
			_ = to.CloseWrite()

			return
		}
	}
}

// pass waits as long as the link holds up the bytes and returns the fault that then holds.
func (l *Link) pass(direction Direction, n int) Fault {
	fault, changed := l.current()
	for fault.Cut.covers(direction) {
		<-changed

		fault, changed = l.current()
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

		fault, _ := l.current()
		if err != nil || fault.Cut.covers(Forward) || !fault.Target.IsValid() || len(sessions) > maxSessions {
			continue
		}

		session := sessions[client]
		if session == nil {
			session, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
			if err != nil || !l.track(session) {
				continue
			}

			sessions[client] = session

			go l.answerUDP(conn, session, client)
		}

		l.later(fault, session, buffer[:n], fault.Target)
	}
}

// later sends a packet after the delay of the link.
func (l *Link) later(fault Fault, conn *net.UDPConn, packet []byte, to netip.AddrPort) {
	content := append([]byte(nil), packet...)
	time.AfterFunc(time.Duration(fault.DelayMillis)*time.Millisecond, func() {
		_, _ = conn.WriteToUDPAddrPort(content, to)
	})
}

func (l *Link) answerUDP(conn, session *net.UDPConn, client netip.AddrPort) {
	buffer := make([]byte, bufferSize)

	for {
		n, err := session.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}

		if fault, _ := l.current(); err == nil && !fault.Cut.covers(Backward) && !fault.LoseAnswer {
			l.later(fault, conn, buffer[:n], client)
		}
	}
}

// Handler serves the steering: PUT /links/{name} with a Fault sets the state of a link.
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
