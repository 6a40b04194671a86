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

// failingListener is a listener whose first Accept calls fail as if the process were out of file descriptors.
type failingListener struct {
	net.Listener

	failures int
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}

	return l.Listener.Accept()
}

// serve starts a server with the methods "answer", which answers at once, and "hold", which answers once hold is closed. The
// listener fails the given number of times first.
func serve(t *testing.T, failures int, hold <-chan struct{}) (*Client, net.Addr) {
	t.Helper()

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}

	supervisor := suture.New("test", suture.Spec{EventHook: func(event suture.Event) {
		if _, ok := event.(suture.EventServiceTerminate); ok && t.Context().Err() == nil {
			t.Errorf("the server terminated: %s", event)
		}
	}})
	clock := timeline.NewClock(time.Now)
	server := NewServer(supervisor, &failingListener{Listener: listener, failures: failures}, clock)
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

// TestAcceptFailure guards against a server that terminates, or that its supervisor restarts, when Accept fails because the
// process is out of file descriptors.
func TestAcceptFailure(t *testing.T) {
	client, address := serve(t, 8, nil)

	if _, err := client.Call(t.Context(), address.(*net.TCPAddr).AddrPort(), "answer", nil); err != nil {
		t.Error(err)
	}
}

// TestIdleConnections guards against idle connections that are never closed, two for each pair of processes, and against the idle
// search closing a connection with a call in progress.
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

	// Calls that return on the same connection show that it is open; repeats until the held call has acquired it.
	for running := 0; running < 1; {
		call("answer")

		client.mu.Lock()
		running = client.connections[to].activeCalls
		client.mu.Unlock()
	}

	if got, want := later(), 1; got != want {
		t.Errorf("connections with a call in progress: got %d, want %d", got, want)
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
