package callers

import (
	"cmp"
	"slices"
	"syscall"
	"time"
)

const (
	// ordinaryHeader is the part in bytes of each header that needs no room. Ordinary callers send headers of about 1 KB.
	ordinaryHeader = 8 << 10
	// spareFraction is the fraction of the connections that is kept free by closing connections without a whole request.
	spareFraction = 16
	// unusedTime is the least time for which such a connection was left alone.
	unusedTime = time.Second
	// pressurePeriod is the least interval at which such connections are closed, as looking for them takes time for each connection.
	pressurePeriod = 100 * time.Millisecond
	// maxRefusing bounds the connections beyond the limit that get an answer at a time; the others are closed.
	maxRefusing = 32
	// Of the host, connectionsPerMegabyte connections may be open, which take up to a third of its memory when they are idle, and
	// headerRoomFraction of the memory may be taken by headers, for each byte of which the HTTP server allocates three to four.
	connectionsPerMegabyte = 8
	headerRoomFraction     = 24
	// reservedDescriptors are descriptors for other purposes than callers and the connections over which their requests are passed on.
	reservedDescriptors = 256
	leastConnections    = 64
	// secondaryFraction is the fraction of the bounds that each secondary server has besides.
	secondaryFraction = 4
	// leastHeaderRoom is the room in bytes for a header of the largest size, whatever the memory is.
	leastHeaderRoom = 1 << 20
)

// Bounds are the bounds on all connections of callers together.
type Bounds struct {
	Connections int
	// HeaderRoom is in bytes.
	HeaderRoom int64
}

// BoundsOf returns the bounds for a host with a memory, from which the limit on the descriptors of the process may take away.
func BoundsOf(memoryMegabytes int64) Bounds {
	bounds := Bounds{
		Connections: int(memoryMegabytes * connectionsPerMegabyte), HeaderRoom: max(memoryMegabytes<<20/headerRoomFraction, leastHeaderRoom),
	}

	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) == nil && limit.Cur < 1<<30 {
		// A request may need a connection to a backend server besides that of its caller, and there are up to two secondary servers.
		bounds.Connections = min(bounds.Connections, max(int(limit.Cur)-reservedDescriptors, 0)*secondaryFraction/(2*secondaryFraction+2))
	}

	bounds.Connections = max(bounds.Connections, leastConnections)

	return bounds
}

// Secondary returns the bounds for a server beside the one with these bounds that serves short requests without bodies.
func (b Bounds) Secondary() Bounds {
	return Bounds{
		Connections: max(b.Connections/secondaryFraction, leastConnections), HeaderRoom: max(b.HeaderRoom/secondaryFraction, leastHeaderRoom),
	}
}

// WithBounds bounds all connections of callers together. When few connections are left, those without a whole request are closed, and
// pressed is called with the number of connections that are wanted back.
func WithBounds(bounds Bounds, pressed func(wanted int)) Option {
	return func(s *Server) { s.bounds, s.pressed = bounds, pressed }
}

// WithRefusalBody sets what returns the body of the answers that refuse requests before their header has been read, from a code and a
// message.
func WithRefusalBody(body func(code, message string) string) Option {
	return func(s *Server) { s.refusalBody = body }
}

// admit reports whether a new connection may stay open. It refuses the connection otherwise.
func (s *Server) admit(c *connection) bool {
	if s.bounds.Connections == 0 {
		return true
	}

	s.mu.Lock()
	open := len(s.open)
	spare := s.bounds.Connections / spareFraction
	wanted := open - (s.bounds.Connections - spare)
	now := time.Now()

	if wanted >= 0 && now.Sub(s.pressedAt) >= pressurePeriod {
		s.pressedAt = now
		s.closeUnused(now, wanted+spare)
		s.mu.Unlock()
		s.pressed(wanted + spare)
	} else {
		s.mu.Unlock()
	}

	if open < s.bounds.Connections {
		return true
	}

	if c.encrypted {
		s.refused(c.RemoteAddr(), RefusalTooManyConnections)

		_ = c.Conn.Close() // An answer would have to be encrypted.

		return false
	}

	select {
	case s.refusing <- struct{}{}:
		go func() {
			defer func() { <-s.refusing }()
			defer func() { _ = c.Conn.Close() }()

			c.refuse(RefusalTooManyConnections)
		}()
	default:
		s.refused(c.RemoteAddr(), RefusalTooManyConnections)

		_ = c.Conn.Close() // The connection has no request that could be lost without the caller's knowledge.
	}

	return false
}

// closeUnused closes up to a number of connections that have been left without a whole request, the longest first. The caller holds s.mu.
func (s *Server) closeUnused(now time.Time, count int) {
	type unused struct {
		connection *connection
		since      time.Time
	}

	var all []unused

	for c := range s.open {
		if since, ok := c.unusedSince(); ok && now.Sub(since) >= unusedTime {
			all = append(all, unused{c, since})
		}
	}

	slices.SortFunc(all, func(x, y unused) int { return cmp.Compare(x.since.UnixNano(), y.since.UnixNano()) })

	for _, u := range all[:min(count, len(all))] {
		u.connection.closeUnused()
		u.connection.endHeader()
	}
}

// unusedSince returns since when the connection waits for a request or the rest of its header.
func (c *connection) unusedSince() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.unusedAt, c.waiting || c.inHeader
}

// endHeader makes reading the header of a request fail.
func (c *connection) endHeader() {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.inHeader && !c.late && !c.aborted {
		c.late = true
		_ = c.Conn.SetReadDeadline(past) // Fails on a closed connection only.
	}
}

// takeHeaderRoom takes room for the part of a header beyond ordinaryHeader, of which a number of bytes has been read. It reports whether
// there was none. The caller holds c.mu.
func (c *connection) takeHeaderRoom(bytes int) bool {
	if c.server.bounds.HeaderRoom == 0 {
		return false
	}

	more := int64(max(bytes-ordinaryHeader, 0)) - c.headerRoom
	if more <= 0 {
		return false
	}

	if c.server.headerRoom.Add(more) > c.server.bounds.HeaderRoom {
		c.server.headerRoom.Add(-more)
		return true
	}

	c.headerRoom += more

	return false
}

// takeEncryptedHeaderRoom takes room for a number of bytes that were read of an encrypted connection while its handshake or the header of a
// request is being read. It reports whether there was none.
func (c *connection) takeEncryptedHeaderRoom(bytes int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	if !c.waiting {
		return false
	}

	c.headerBytes += bytes

	return c.takeHeaderRoom(c.headerBytes)
}

// returnHeaderRoom returns the room that the header has taken. The caller holds c.mu.
func (c *connection) returnHeaderRoom() {
	c.server.headerRoom.Add(-c.headerRoom)
	c.headerRoom = 0
}

// Close implements net.Conn.
func (c *connection) Close() error {
	c.mu.Lock()
	c.returnHeaderRoom()
	c.mu.Unlock()

	return c.Conn.Close()
}
