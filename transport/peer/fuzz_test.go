package peer_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/thejerf/suture/v4"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/timeline"
	"github.com/apricotway/apricotway/transport/peer"
)

// FuzzServer guards against input on a peer connection that crashes the server.
func FuzzServer(f *testing.F) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.Fatal(err)
	}

	supervisor := suture.NewSimple("fuzz")
	server := peer.NewServer(supervisor, listener, timeline.NewClock(time.Now), peer.WithServerLimits(4096, 4))
	apricotway.HandlePeer(server, methodEcho, func(_ context.Context, message note) (note, error) { return message, nil })

	ctx, cancel := context.WithCancel(context.Background())
	stopped := supervisor.ServeBackground(ctx)

	f.Cleanup(func() {
		cancel()

		if err := <-stopped; !errors.Is(err, context.Canceled) {
			f.Errorf("supervisor stopped with %v", err)
		}
	})
	f.Fuzz(func(t *testing.T, content []byte) {
		connection, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = connection.Close() }()

		_, _ = connection.Write(content)
		_ = connection.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, connection)
	})
}
