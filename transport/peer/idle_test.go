package peer

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/thejerf/suture/v4"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/timeline"
)

// exhausted is a listener of a process that is out of file descriptors for a while.
type exhausted struct {
	net.Listener

	failures int
}

func (l *exhausted) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}

	return l.Listener.Accept()
}

// serve starts a server with the methods "answer" and "hold", which answers after the channel is closed.
func serve(t *testing.T, failures int, hold <-chan struct{}) (*Client, net.Addr) {
	t.Helper()

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}

	supervisor := suture.New("test", suture.Spec{EventHook: func(event suture.Event) {
		if _, ok := event.(suture.EventServiceTerminate); ok && t.Context().Err() == nil {
			t.Errorf("the server ended: %s", event)
		}
	}})
	clock := timeline.NewClock(time.Now)
	server := NewServer(supervisor, &exhausted{Listener: listener, failures: failures}, clock)
	server.Register("answer", func(context.Context, []byte) ([]byte, error) { return []byte("x"), nil })
	server.Register("hold", func(context.Context, []byte) ([]byte, error) {
		<-hold
		return []byte("x"), nil
	})

	supervisor.ServeBackground(t.Context())

	client := NewClient(clock)
	t.Cleanup(client.Close)

	return client, listener.Addr()
}

// TestAcceptFailure guards against a server that stops, or is taken for broken by its supervisor, while the operating system
// refuses new connections for want of file descriptors.
func TestAcceptFailure(t *testing.T) {
	client, address := serve(t, 8, nil)

	if _, err := client.Call(t.Context(), address.(*net.TCPAddr).AddrPort(), "answer", nil); err != nil {
		t.Error(err)
	}
}

// TestIdleConnections guards against connections that stay open for ever, two for each pair of processes, and against a call that
// is cut off because its connection counts as unused.
func TestIdleConnections(t *testing.T) {
	hold := make(chan struct{})
	client, address := serve(t, 0, hold)
	to := address.(*net.TCPAddr).AddrPort()
	held := make(chan error, 1)

	go func() {
		_, err := client.Call(t.Context(), to, "hold", nil)
		held <- err
	}()

	call := func(method apricotway.Method) {
		if _, err := client.Call(t.Context(), to, method, nil); err != nil {
			t.Error(err)
		}
	}
	later := func() int {
		client.mu.Lock()
		defer client.mu.Unlock()

		client.closeIdle(time.Now().Add(idleTimeout))

		return len(client.connections)
	}

	// The second call shares the connection of the first, which the server has got by then.
	for running := 0; running < 1; {
		call("answer")

		client.mu.Lock()
		running = client.connections[to].calls
		client.mu.Unlock()
	}

	if got, want := later(), 1; got != want {
		t.Errorf("connections with a call under way: got %d, want %d", got, want)
	}

	close(hold)

	if err := <-held; err != nil {
		t.Error(err)
	}

	if got, want := later(), 0; got != want {
		t.Errorf("connections without calls: got %d, want %d", got, want)
	}

	call("answer")
}
