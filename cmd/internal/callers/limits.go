package callers

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/apricotway/apricotway"
)

const (
	// SweepPeriod is the interval at which Sweep has to be called.
	SweepPeriod = 250 * time.Millisecond
	// idleReserve is the time for which a connection stays open beyond the time for which its caller may use it, for requests that are on
	// their way.
	idleReserve = 5 * time.Second
	// headerReserve is the time that the header of a request may take beyond the limit, for the network and a busy host.
	headerReserve = time.Second
	// headerSlop is the number of bytes that the header of a request may have beyond the limit: the HTTP server reads so many at once, and
	// the last of them may be of the body.
	headerSlop = 4 << 10
	// lingerTime is how long a connection is read after a refusal, so that unread data of the caller does not destroy it.
	lingerTime = 500 * time.Millisecond
)

// Refusal is the reason why a request is refused before its header has been read.
type Refusal string

const (
	// RefusalHeaderLate requests have a header that took longer than the limit.
	RefusalHeaderLate Refusal = "headerLate"
	// RefusalHeaderTooLarge requests have a header that is longer than the limit.
	RefusalHeaderTooLarge Refusal = "headerTooLarge"
	// RefusalHeaderNoRoom requests have a long header for which those of others leave no memory.
	RefusalHeaderNoRoom Refusal = "headerNoRoom"
	// RefusalTooManyConnections requests came on a connection beyond the bound on all connections.
	RefusalTooManyConnections Refusal = "tooManyConnections"
)

// answer returns the answer that refuses a request, with the body of a function.
func (r Refusal) answer(encode func(code, message string) string) string {
	status, message, retryAfter := http.StatusRequestTimeout, "the header took too long", ""

	switch r {
	case RefusalHeaderLate:
	case RefusalHeaderTooLarge:
		status, message = http.StatusRequestHeaderFieldsTooLarge, "the header is too large"
	case RefusalHeaderNoRoom:
		status, message = http.StatusServiceUnavailable, "other headers leave no memory for this one"
	case RefusalTooManyConnections:
		status, message = http.StatusServiceUnavailable, "too many connections are open"
	}

	if status == http.StatusServiceUnavailable {
		// Connections without a whole request are closed within about a second. The time is random, so that callers don't come back at once.
		retryAfter = fmt.Sprintf("Retry-After: %d\r\n", 1+rand.IntN(3))
	}

	body := encode(string(r), message)

	return fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n%sContent-Length: %d\r\nConnection: close\r\n\r\n%s",
		status, http.StatusText(status), retryAfter, len(body), body)
}

// plainRefusal returns the body of a refusal.
func plainRefusal(code, message string) string {
	return fmt.Sprintf(`{"code":%q,"message":%q,"execution":"notStarted"}`+"\n", code, message)
}

// WithRefused sets a function that is called for each request that is refused before its header has been read.
func WithRefused(refused func(caller net.Addr, reason Refusal)) Option {
	return func(s *Server) { s.refused = refused }
}

// WithLimits sets what returns the limits in force on callers, each of them above 0. Sweep then closes connections that exceed them, and the
// timeouts of the HTTP server must be 0. Its MaxHeaderBytes applies besides the limit. Answers tell callers in Keep-Alive how long they may
// use the connection again; a longer limit applies to open connections at once, a shorter one with the next answer.
func WithLimits(limits func() apricotway.CallerLimits) Option {
	return func(s *Server) { s.limits = limits }
}

// Sweep closes the connections that have waited for a request for longer than their callers may use them, and those whose next request
// has a header that takes too long.
func (s *Server) Sweep(now time.Time) {
	if s.limits == nil {
		return
	}

	limits := s.limits()

	s.mu.Lock()
	defer s.mu.Unlock()

	uptime := s.uptime.advance(now)

	for c := range s.open {
		c.closeIdle(uptime, limits.IdleTimeout)
		c.endLateHeader(uptime, limits.HeaderTimeout)
	}
}

// uptimeClock is the time for which the process has run, read at each sweep. A standstill of the process, in which it could not read what
// callers sent, doesn't count.
type uptimeClock struct {
	uptime atomic.Int64
	// last is the time of the last sweep; zero before the first.
	last time.Time
}

// advance returns the uptime as of now. Calls must not overlap.
func (u *uptimeClock) advance(now time.Time) time.Duration {
	if !u.last.IsZero() {
		u.uptime.Add(int64(min(now.Sub(u.last), 2*SweepPeriod)))
	}

	u.last = now

	return u.read()
}

func (u *uptimeClock) read() time.Duration { return time.Duration(u.uptime.Load()) }

// announceIdle tells the caller in the header of the next answer how long it may use the connection again.
func (s *Server) announceIdle(c *connection, w http.ResponseWriter, r *http.Request) {
	if s.limits == nil {
		return
	}

	idle := s.limits().IdleTimeout
	c.allowIdle(idle)

	if seconds := int(idle / time.Second); seconds > 0 && !r.Close && !s.draining.Load() {
		w.Header().Set("Keep-Alive", "timeout="+strconv.Itoa(seconds))
	}
}

// allowIdle sets the time for which the caller may use the connection again after the next answer.
func (c *connection) allowIdle(idle time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.idleLimit = idle
}

// closeIdle makes the HTTP server close the connection if it has waited for longer than both its own limit and the newest one allow.
func (c *connection) closeIdle(uptime, newest time.Duration) {
	c.mu.Lock()
	idle := c.waiting && uptime-c.waitingSince > max(c.idleLimit, newest)+idleReserve
	c.mu.Unlock()

	if idle {
		c.closeUnused()
	}
}

// endLateHeader makes reading fail if the header of a request takes longer than the limit. A header that is complete by then is served.
func (c *connection) endLateHeader(uptime, limit time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.inHeader && !c.late && !c.aborted && uptime-c.headerSince > limit+headerReserve {
		c.late = true
		_ = c.Conn.SetReadDeadline(past) // Fails on a closed connection only.
	}
}

// headerRead records that the HTTP server has read the header of a request.
func (c *connection) headerRead() {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.inHeader = false
	c.returnHeaderRoom()

	if c.late && !c.aborted {
		c.late = false
		_ = c.Conn.SetReadDeadline(c.readDeadline) // Fails on a closed connection only.
	}
}

// countHeader adds to the bytes of the header that is being read, and returns why it is refused if they are too many.
func (c *connection) countHeader(bytes int) Refusal {
	c.mu.Lock()
	defer c.mu.Unlock()

	if !c.inHeader {
		return ""
	}

	c.headerBytes += bytes

	switch {
	case c.limits != nil && c.headerBytes > c.limits().HeaderBytes+headerSlop:
		return RefusalHeaderTooLarge
	case c.takeHeaderRoom(c.headerBytes):
		return RefusalHeaderNoRoom
	default:
		return ""
	}
}

func (c *connection) isLate() bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.late && !c.aborted
}

// refuse answers a request whose header has not been read whole, and ends the connection.
func (c *connection) refuse(reason Refusal) {
	c.refused(c.RemoteAddr(), reason)

	now := time.Now()
	_ = c.Conn.SetDeadline(now.Add(lingerTime)) // Fails on a closed connection only.

	if _, err := io.WriteString(c.Conn, reason.answer(c.server.refusalBody)); err != nil {
		return
	}

	if c.CloseWrite() == nil {
		// The read ends with the caller's close or with the deadline.
		_, _ = io.Copy(io.Discard, c.Conn)
	}
}
