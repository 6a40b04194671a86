package callers

import (
	"bytes"
	"net"
	"os"
	"sync"
	"time"

	"github.com/apricotway/apricotway"
)

// lastRead is how long an interrupted connection is read once more, for a request that has arrived meanwhile.
const lastRead = 10 * time.Millisecond

// firstRequestTime is how long a new connection may stay without a request. Its first request is usually on its way when it is
// accepted.
const firstRequestTime = time.Second

// past is a deadline that has passed.
var past = time.Unix(1, 0)

// connection is a caller's connection. Between two requests it can be closed, unless the next request has begun to arrive.
type connection struct {
	net.Conn

	server *Server
	// encrypted is set when the bytes read may belong to the encryption alone.
	encrypted bool
	accepted  time.Time
	// uptime is the clock of the server's sweeps.
	uptime  func() time.Duration
	limits  func() apricotway.CallerLimits
	refused func(caller net.Addr, reason Refusal)

	mu sync.Mutex
	// used is set once a byte of a request has been read.
	used bool
	// waiting is set while no byte of a request has been read since the connection was accepted or its last answer was written. If
	// the connection is encrypted, it is set until the header of the request has been read.
	waiting bool
	// waitingSince is the uptime at which waiting was last set.
	waitingSince time.Duration
	// idleLimit is the time for which the caller may use the connection again after its last answer, or may begin to after it was accepted.
	idleLimit time.Duration
	// inHeader is set while a part of a request's header has been read, and headerSince is the uptime at which it was set. It is never set if
	// the connection is encrypted.
	inHeader    bool
	headerSince time.Duration
	// headerBytes is the number of bytes that have been read since inHeader was set, or since waiting was if the connection is encrypted.
	headerBytes int
	// unusedAt is when waiting or inHeader was last set.
	unusedAt time.Time
	// headerRoom is what the header has taken of the room for headers in bytes.
	headerRoom int64
	// late is set once endLateHeader or endHeader has made reading fail.
	late bool
	// closing is set once closeUnused has been called while waiting was set. Until a byte arrives, read deadlines of the HTTP server
	// have no effect.
	closing bool
	// aborted is set once reads fail for good.
	aborted bool
	// readDeadline is the last read deadline that the HTTP server has set.
	readDeadline time.Time
	// serving is the request whose handler runs or whose answer is being written; nil between requests.
	serving *exchange
}

// closeUnused makes the HTTP server close the connection if it waits for a request, a new one only after firstRequestTime. A request
// that has arrived by then is served.
func (c *connection) closeUnused() {
	c.mu.Lock()
	defer c.mu.Unlock()

	if !c.waiting || c.closing || !c.used && time.Since(c.accepted) < firstRequestTime {
		return
	}

	c.closing = true
	_ = c.Conn.SetReadDeadline(past) // Fails on a closed connection only.
}

// abortReading makes all reads fail from now on, also one that waits.
func (c *connection) abortReading() {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.aborted = true
	_ = c.Conn.SetReadDeadline(past) // Fails on a closed connection only.
}

// wait records that the connection waits for the next request.
func (c *connection) wait() {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.waiting, c.waitingSince, c.unusedAt, c.headerBytes = true, c.uptime(), time.Now(), 0
}

// use records that a request has begun to arrive.
func (c *connection) use() {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.waiting {
		c.inHeader, c.headerSince, c.headerBytes, c.unusedAt = !c.encrypted, c.uptime(), 0, time.Now()
	}

	c.waiting, c.used = false, true

	if c.closing && !c.aborted {
		c.closing = false
		_ = c.Conn.SetReadDeadline(c.readDeadline) // Fails on a closed connection only.
	}
}

// Read implements net.Conn.
func (c *connection) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if n == 0 && err != nil && c.isClosing() {
		_ = c.Conn.SetReadDeadline(time.Now().Add(lastRead)) // Fails on a closed connection only.
		n, err = c.Conn.Read(buffer)
	}

	// Some callers send empty lines after a body.
	if !c.encrypted && len(bytes.Trim(buffer[:n], "\r\n")) > 0 {
		c.use()
	}

	if c.encrypted {
		if c.takeEncryptedHeaderRoom(n) {
			c.refused(c.RemoteAddr(), RefusalHeaderNoRoom)

			// The answer would have to be encrypted.
			return 0, os.ErrDeadlineExceeded
		}
	} else if n == 0 && err != nil && c.isLate() {
		c.refuse(RefusalHeaderLate)
	} else if reason := c.countHeader(n); reason != "" {
		c.refuse(reason)

		// The HTTP server answers other errors than a timeout itself.
		return 0, os.ErrDeadlineExceeded
	}

	if err != nil {
		c.recordReadError(err)
	}

	return n, err
}

func (c *connection) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.closing && !c.aborted
}

// SetReadDeadline implements net.Conn.
func (c *connection) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.readDeadline = deadline

	if c.closing || c.late || c.aborted {
		return nil
	}

	return c.Conn.SetReadDeadline(deadline)
}

// SetDeadline implements net.Conn.
func (c *connection) SetDeadline(deadline time.Time) error {
	if err := c.SetReadDeadline(deadline); err != nil {
		return err
	}

	return c.SetWriteDeadline(deadline)
}

// CloseWrite lets the HTTP server announce the end of its data before it closes the connection, so that unread data of the caller does
// not destroy the answer.
func (c *connection) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}

	return nil
}

// SetLinger sets what Close does with data that has not been sent yet, as that of net.TCPConn.
func (c *connection) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.SetLinger(seconds)
	}

	return nil
}
