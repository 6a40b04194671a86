package callers

import (
	"net"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

const (
	// idleAccept is the time without a further connection after which all that the system has set up are accepted.
	idleAccept = 50 * time.Millisecond
	// idleAccepts is the number of such times in a row: on a busy host the process may not get to accept in one of them.
	idleAccepts = 2
	// acceptLimit bounds the time for accepting them.
	acceptLimit = time.Second
)

// deadlineListener is a listener whose Accept can be given a deadline.
type deadlineListener interface {
	SetDeadline(deadline time.Time) error
}

// backlog lets the connections that the system has set up be accepted before the listener is closed: the system resets the others, though
// their callers may have sent requests.
type backlog struct {
	listener net.Listener
	// accepted is set once a connection was accepted since the last deadline. Only the goroutine that accepts uses it.
	accepted bool
	// passed receives whether a connection was accepted before the deadline. Accept then waits for resume or closed.
	passed chan bool
	resume chan struct{}
	// closed is closed once the listener is, which closing does.
	closed  chan struct{}
	closing sync.Once
}

func newBacklog(listener net.Listener) *backlog {
	return &backlog{listener: listener, passed: make(chan bool), resume: make(chan struct{}), closed: make(chan struct{})}
}

// accept accepts the next connection.
func (b *backlog) accept() (net.Conn, error) {
	for {
		conn, err := b.listener.Accept()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			b.accepted = true
			return conn, err
		}

		select {
		case b.passed <- b.accepted:
			b.accepted = false

			select {
			case <-b.resume:
			case <-b.closed:
			}
		case <-b.closed:
		}
	}
}

// close closes the listener once the connections that the system has set up are accepted.
func (b *backlog) close() { b.closing.Do(b.acceptAndClose) }

func (b *backlog) acceptAndClose() {
	defer close(b.closed)
	// If closing the listener fails, it is closed when the process exits.
	defer func() { _ = b.listener.Close() }()

	limited, ok := b.listener.(deadlineListener)
	if !ok {
		return
	}

	end := time.NewTimer(acceptLimit)
	defer end.Stop()

	for idle, waiting := 0, false; idle < idleAccepts; waiting = true {
		if limited.SetDeadline(time.Now().Add(idleAccept)) != nil {
			return // The listener is closed.
		}

		if waiting {
			b.resume <- struct{}{}
		}

		select {
		case accepted := <-b.passed:
			idle++

			if accepted {
				idle = 0
			}
		case <-end.C:
			return
		}
	}
}
