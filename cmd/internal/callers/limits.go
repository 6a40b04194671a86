package callers

import (
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
)

// WithLimits sets what returns the limits in force on callers, each of them above 0. Unused connections are then closed by Sweep, and the
// IdleTimeout of the HTTP server must be 0. Answers tell callers in Keep-Alive how long they may use the connection again; a longer limit
// applies to open connections at once, a shorter one with the next answer.
func WithLimits(limits func() apricotway.CallerLimits) Option {
	return func(s *Server) { s.limits = limits }
}

// Sweep closes the connections that have waited for a request for longer than their callers may use them.
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
