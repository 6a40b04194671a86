// Package upstream sends calls to backend servers over pooled connections. It never retries a send; the caller decides whether
// a call may be sent again.
package upstream

import (
	"bufio"
	"bytes"
	"context"
	"hash/maphash"
	"io"
	"math"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/internal/earlyend"
	"github.com/apricotway/apricotway/internal/keepalive"
)

const (
	// defaultDialTimeout is short because the caller can try another server when one does not accept a connection.
	defaultDialTimeout = 400 * time.Millisecond
	// defaultIdle is how long an idle connection is kept if the server sends no Keep-Alive timeout.
	defaultIdle = 4 * time.Second
	// idleMargin is subtracted from the Keep-Alive timeout of a server, so that the server does not close a connection just as
	// it is used again.
	idleMargin = 500 * time.Millisecond
	// maxIdle is the maximum number of idle connections per server.
	maxIdle = 32
	// maxCalls is the maximum number of calls on one connection, which remembers the attempt of each of them in 8 bytes.
	maxCalls = 256
	// maxForeignAnswers is the maximum number of answers to other calls that are skipped on a connection before the expected one.
	maxForeignAnswers = 2
	// maxInformational is the maximum number of informational (1xx) answers before a final one.
	maxInformational = 8
	// maxHead is the maximum size in bytes of the status line and header of an answer; each informational answer counts
	// separately. The backend servers send less than 1 KiB, and common HTTP servers accept between 8 and 64 KiB.
	maxHead = 32 << 10
	// maxForeignBody is the maximum size in bytes of the body of a skipped answer.
	maxForeignBody = 64 << 10
	readBuffer     = 4 << 10
)

var (
	// ErrForeignAnswer reports that a connection delivered only answers to other calls.
	ErrForeignAnswer = errors.New("answer belongs to another call")
	// ErrHeadTooLong reports an answer whose status line and header exceed maxHead, or too many informational answers.
	ErrHeadTooLong = errors.New("head of the answer too long")
)

// Pool is a pool of connections to backend servers. It is safe for concurrent use.
type Pool struct {
	dialTimeout time.Duration
	dial        func(ctx context.Context, network, address string) (net.Conn, error)
	onDial      func()
	observer    Observer
	seed        maphash.Seed

	mu   sync.Mutex
	idle map[netip.AddrPort][]*connection

	// heldMu guards held. It may be locked while mu is.
	heldMu sync.Mutex
	held   map[netip.AddrPort]*holding
}

// holding is the unbroken sequence of connections to one server.
type holding struct {
	// since is the time at which the first connection of the sequence was opened.
	since time.Time
	// open holds the connections that have not been closed; it is not empty.
	open map[*connection]struct{}
}

var _ apricotway.Upstream = (*Pool)(nil)

// Observer sees whether servers can be reached.
type Observer interface {
	// Unconnected is called when no connection to a server could be opened, or a new one broke off before any answer.
	Unconnected(now time.Time, server netip.AddrPort)
	// Silent is called when a connection that was used before broke off.
	Silent(now time.Time)
	// Answered is called when an answer begins; connected tells whether it is the first one on its connection.
	Answered(now time.Time, connected bool)
}

type noObserver struct{}

func (noObserver) Unconnected(time.Time, netip.AddrPort) {}
func (noObserver) Silent(time.Time)                      {}
func (noObserver) Answered(time.Time, bool)              {}

// Option configures a Pool.
type Option func(*Pool)

// WithDialTimeout sets the time limit for opening a connection.
func WithDialTimeout(timeout time.Duration) Option { return func(p *Pool) { p.dialTimeout = timeout } }

// WithDialHook sets a function that is called for each new connection.
func WithDialHook(onDial func()) Option { return func(p *Pool) { p.onDial = onDial } }

// WithObserver sets the observer of connections and answers.
func WithObserver(observer Observer) Option { return func(p *Pool) { p.observer = observer } }

// New returns a pool without connections.
func New(options ...Option) *Pool {
	p := &Pool{
		dialTimeout: defaultDialTimeout, dial: keepalive.NewDialer().DialContext, onDial: func() {}, observer: noObserver{},
		seed: maphash.MakeSeed(), idle: map[netip.AddrPort][]*connection{}, held: map[netip.AddrPort]*holding{},
	}

	for _, option := range options {
		option(p)
	}

	return p
}

// connection is one connection to a backend server. It serves one call at a time.
type connection struct {
	net.Conn

	reader *bufio.Reader
	// headBytesLeft is the number of bytes that the current head may still take; math.MaxInt64 while the body is read.
	headBytesLeft int64
	// expires is the time after which the server may close the connection.
	expires time.Time
	// calls is the number of calls that were sent, attempts the hashes of their attempts.
	calls    int
	attempts []uint64
	// release removes the connection from those that are held.
	release func()
}

// Close implements net.Conn.
func (c *connection) Close() error {
	c.release()

	return c.Conn.Close()
}

// carried reports whether the connection has carried a call with the attempt. Different attempts may have the same hash.
func (c *connection) carried(attempt uint64) bool { return slices.Contains(c.attempts, attempt) }

// Read implements io.Reader for the buffered reader and enforces the size limit of a head.
func (c *connection) Read(buffer []byte) (int, error) {
	if c.headBytesLeft <= 0 {
		return 0, ErrHeadTooLong
	}

	n, err := c.Conn.Read(buffer[:min(int64(len(buffer)), c.headBytesLeft)])
	if c.headBytesLeft != math.MaxInt64 {
		c.headBytesLeft -= int64(n)
	}

	return n, earlyend.Check(c.Conn, err)
}

// closeQuietly closes the connection and ignores the error: unsent and unread data is lost in any case.
func (c *connection) closeQuietly() { _ = c.Close() }

// Send implements apricotway.Upstream.
func (p *Pool) Send(
	ctx context.Context, address netip.AddrPort, call apricotway.ForwardedCall,
) (*apricotway.ForwardedAnswer, error) {
	c, err := p.connect(ctx, address, call.Attempt)
	if err != nil {
		return nil, errors.Wrap(apricotway.ErrNotSent, err.Error())
	}

	stop := context.AfterFunc(ctx, c.closeQuietly)

	sent := c.write(encode(call))

	var (
		response *http.Response
		foreign  bool
	)

	if sent.failed() {
		err = c.uploadError(call, sent)
	} else {
		response, foreign, err = c.answer(call) //nolint:bodyclose // Closing the ForwardedAnswer's body closes the connection or returns it to the pool.
	}

	if err != nil {
		var fault *apricotway.AnswerError

		answered := errors.As(err, &fault)
		p.observeFailed(ctx, address, c, answered)
		stop()
		c.closeQuietly()

		// Closing the connection has ended the upload.
		if <-sent.done; sent.written == 0 && !answered {
			return nil, errors.Wrap(apricotway.ErrNotSent, err.Error())
		}

		if ctx.Err() != nil {
			return nil, errors.Wrap(ctx.Err(), "wait for the backend server's answer")
		}

		return nil, err
	}

	p.observer.Answered(time.Now(), c.calls == 1)

	closeDelimited := response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Body != http.NoBody

	return &apricotway.ForwardedAnswer{
		Status: response.StatusCode, Header: response.Header, Length: response.ContentLength, CloseDelimited: closeDelimited,
		Body: &body{
			pool: p, address: address, connection: c, stop: stop, response: response, sent: sent,
			closeDelimited: closeDelimited, reusable: !foreign && !response.Close && !closeDelimited,
		},
	}, nil
}

// uploadError returns the error of a call that could not be written whole. A server may answer and close the connection meanwhile.
func (c *connection) uploadError(call apricotway.ForwardedCall, sent *upload) error {
	err := errors.Wrap(sent.err, "send call to backend server")

	if sent.written > 0 && c.hasAnswer() {
		return &apricotway.AnswerError{Fault: apricotway.FaultCut, Header: c.earlyHeader(call), Err: err}
	}

	return err
}

// observeFailed tells the observer that a connection broke off, or that the server has begun to answer, unless the call was given up.
func (p *Pool) observeFailed(ctx context.Context, address netip.AddrPort, c *connection, answered bool) {
	switch {
	case ctx.Err() != nil:
	case answered:
		p.observer.Answered(time.Now(), c.calls == 1)
	case c.calls == 1:
		p.observer.Unconnected(time.Now(), address)
	default:
		p.observer.Silent(time.Now())
	}
}

// CheckHealth returns nil if a server sends an answer to a GET of the target over a new connection. A connection that opens alone proves
// nothing: something before the server may have accepted it.
func (p *Pool) CheckHealth(ctx context.Context, address netip.AddrPort, target string) error {
	c, err := p.open(ctx, address)
	if err != nil {
		return err
	}
	defer c.closeQuietly()

	defer context.AfterFunc(ctx, c.closeQuietly)()

	check := apricotway.ForwardedCall{
		Method: http.MethodGet, Target: target, Host: address.String(), Header: http.Header{"Connection": {"close"}},
	}
	if _, err := c.Write(encode(check)); err != nil {
		return errors.Wrap(err, "send health check")
	}

	if _, err = c.head(&http.Request{Method: http.MethodGet}); err != nil { //nolint:bodyclose // The connection is closed.
		return errors.Wrap(err, "read answer to health check")
	}

	return nil
}

// connect returns an idle connection that has not carried the attempt, or a new one if the pool has none.
func (p *Pool) connect(ctx context.Context, address netip.AddrPort, attempt apricotway.AttemptID) (*connection, error) {
	hash := maphash.String(p.seed, string(attempt))

	c := p.takeIdle(address, hash)
	if c == nil {
		var err error
		if c, err = p.open(ctx, address); err != nil {
			return nil, err
		}
	}

	c.calls++

	if attempt != "" {
		c.attempts = append(c.attempts, hash)
	}

	return c, nil
}

// open opens a connection.
func (p *Pool) open(ctx context.Context, address netip.AddrPort) (*connection, error) {
	limited, cancel := context.WithTimeout(ctx, p.dialTimeout)
	defer cancel()

	conn, err := p.dial(limited, "tcp", address.String())
	if err != nil {
		if ctx.Err() == nil {
			p.observer.Unconnected(time.Now(), address)
		}

		return nil, errors.Wrap(err, "dial backend server")
	}

	p.onDial()

	c := &connection{Conn: conn}
	c.release = func() { p.release(address, c) }
	p.hold(address, c)
	c.reader = bufio.NewReaderSize(c, readBuffer)

	return c, nil
}

// HeldSince returns the time since which this process has had a connection to a server without a break: a server that starts again breaks
// all of them. It returns false while there is none.
func (p *Pool) HeldSince(address netip.AddrPort) (time.Time, bool) {
	p.heldMu.Lock()
	defer p.heldMu.Unlock()

	if h := p.currentHoldingLocked(address); h != nil {
		return h.since, true
	}

	return time.Time{}, false
}

func (p *Pool) hold(address netip.AddrPort, c *connection) {
	p.heldMu.Lock()
	defer p.heldMu.Unlock()

	h := p.currentHoldingLocked(address)
	if h == nil {
		h = &holding{since: time.Now(), open: map[*connection]struct{}{}}
		p.held[address] = h
	}

	h.open[c] = struct{}{}
}

func (p *Pool) release(address netip.AddrPort, c *connection) {
	p.heldMu.Lock()
	defer p.heldMu.Unlock()

	if h := p.held[address]; h != nil {
		p.dropLocked(address, h, c)
	}
}

// dropLocked removes a connection, and the holding with its last one.
func (p *Pool) dropLocked(address netip.AddrPort, h *holding, c *connection) {
	delete(h.open, c)

	if len(h.open) == 0 {
		delete(p.held, address)
	}
}

// currentHoldingLocked returns the holding of a server without the connections that have broken and were not closed yet, nil if there is
// none.
func (p *Pool) currentHoldingLocked(address netip.AddrPort) *holding {
	h := p.held[address]
	if h == nil {
		return nil
	}

	for c := range h.open {
		if ended(c.Conn) {
			p.dropLocked(address, h, c)
		}
	}

	return p.held[address]
}

// takeIdle removes and returns the most recently used idle connection that has not carried the attempt, has not expired, that the
// server has not closed and that has no unread data. It closes the others that it meets, other than those that have carried the
// attempt, and returns nil if none is left.
func (p *Pool) takeIdle(address netip.AddrPort, attempt uint64) *connection {
	for {
		p.mu.Lock()
		list := p.idle[address]

		index := len(list) - 1
		for index >= 0 && list[index].carried(attempt) {
			index--
		}

		if index < 0 {
			p.mu.Unlock()
			return nil
		}

		c := list[index]
		p.idle[address] = slices.Delete(list, index, index+1)
		p.mu.Unlock()

		if time.Now().Before(c.expires) && idleAndOpen(c.Conn) {
			return c
		}

		c.closeQuietly()
	}
}

func (p *Pool) putIdle(address netip.AddrPort, c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if len(p.idle[address]) >= maxIdle {
		c.closeQuietly()
		return
	}

	p.idle[address] = append(p.idle[address], c)
}

// Sweep closes the idle connections that have expired.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()

	for address, list := range p.idle {
		kept := list[:0]

		for _, c := range list {
			if now.Before(c.expires) {
				kept = append(kept, c)
			} else {
				c.closeQuietly()
			}
		}

		if len(kept) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = kept
		}
	}
}

// encode returns the request in HTTP/1.1 format. It writes the target as the caller sent it, without normalizing it.
func encode(call apricotway.ForwardedCall) []byte {
	var buffer bytes.Buffer

	buffer.Grow(readBuffer + len(call.Body))
	buffer.WriteString(call.Method + " " + call.Target + " HTTP/1.1\r\nHost: " + call.Host + "\r\n")
	// Writing to a bytes.Buffer cannot fail.
	_ = call.Header.Write(&buffer)

	if len(call.Body) > 0 || call.Method == http.MethodPost || call.Method == http.MethodPut || call.Method == http.MethodPatch {
		buffer.WriteString("Content-Length: " + strconv.Itoa(len(call.Body)) + "\r\n")
	}

	buffer.WriteString("\r\n")
	buffer.Write(call.Body)

	return buffer.Bytes()
}

// answer reads the answer to the call and skips answers to other calls that arrive before it. It then reports foreign as true,
// and the connection must not be used again.
func (c *connection) answer(call apricotway.ForwardedCall) (response *http.Response, foreign bool, err error) {
	request := &http.Request{Method: call.Method}

	for range maxForeignAnswers + 1 {
		response, err := c.head(request)

		if fault := (*apricotway.AnswerError)(nil); errors.As(err, &fault) {
			fault.Header = ownHeader(call, fault.Header)
		}

		if err != nil {
			return nil, foreign, errors.Wrap(err, "read answer")
		}

		if call.IsAnswer == nil || call.IsAnswer(response.StatusCode, response.Header) {
			return response, foreign, nil
		}

		foreign = true

		if response.Close || response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
			break
		}

		n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxForeignBody))
		if err != nil || n == maxForeignBody {
			break
		}
	}

	return nil, true, &apricotway.AnswerError{Fault: apricotway.FaultForeign, Err: ErrForeignAnswer}
}

// body is the body of an answer. Closing it before its end closes the connection, which makes most servers stop working on the
// call.
type body struct {
	pool       *Pool
	address    netip.AddrPort
	connection *connection
	stop       func() bool
	response   *http.Response
	// sent is the upload of the call, which an answer may precede.
	sent *upload
	// closeDelimited is that of the answer.
	closeDelimited bool
	reusable       bool
	sawEOF         bool
	closed         bool
}

// Read implements io.Reader.
func (b *body) Read(buffer []byte) (int, error) {
	n, err := b.response.Body.Read(buffer)
	if err == io.EOF {
		if b.closeDelimited && !b.sawEOF && !b.sent.whole() {
			return n, earlyend.Err
		}

		b.sawEOF = true
	}

	return n, err
}

// Close implements io.Closer.
func (b *body) Close() error {
	// The connection may serve another call by now.
	if b.closed {
		return nil
	}

	b.closed = true
	running := b.stop()

	// Data after the body belongs to no call, so the connection must not be used again.
	if !b.sawEOF || !b.reusable || !running || !b.sent.succeeded() || b.connection.reader.Buffered() > 0 || b.connection.calls >= maxCalls {
		return b.connection.Close()
	}

	b.connection.expires = time.Now().Add(idleTime(b.response.Header))
	b.pool.putIdle(b.address, b.connection)

	return nil
}

// idleTime returns how long a connection may stay idle before the server may close it.
func idleTime(header http.Header) time.Duration {
	for parameter := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}

		if seconds, err := strconv.Atoi(value); err == nil {
			return max(time.Duration(seconds)*time.Second-idleMargin, 0)
		}
	}

	return defaultIdle
}
