package peer_test

import (
	"context"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/thejerf/suture/v4"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/internal/blackhole"
	"github.com/apricotway/apricotway/state/timeline"
	"github.com/apricotway/apricotway/transport/peer"
)

// TestSilentConnectionKeptForCalls guards against a connection to a peer that has gone silent and is used for all calls for minutes although
// new connections work.
func TestSilentConnectionKeptForCalls(t *testing.T) {
	t.Parallel()

	listener := blackhole.Listen(t)
	supervisor := suture.NewSimple("test")
	server := peer.NewServer(supervisor, listener, timeline.NewClock(time.Now))
	apricotway.HandlePeer(server, methodEcho, func(_ context.Context, message note) (note, error) { return message, nil })

	ctx, cancel := context.WithCancel(context.Background())
	stopped := supervisor.ServeBackground(ctx)

	t.Cleanup(func() {
		cancel()

		if err := <-stopped; !errors.Is(err, context.Canceled) {
			t.Errorf("supervisor stopped with %v", err)
		}
	})

	client := peer.NewClient(timeline.NewClock(time.Now))
	defer client.Close()

	call := func() error {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()

		_, err := apricotway.CallPeer[note, note](ctx, client, listener.Address(), methodEcho, note{Text: "a"})

		return err
	}

	if err := call(); err != nil {
		t.Fatal(err)
	}

	listener.Silence(t)

	began := time.Now()

	for err := call(); err != nil; err = call() {
		if silent := time.Since(began); silent > 8*time.Second {
			t.Fatalf("got %v after %s, want an answer on a new connection", err, silent.Round(time.Second))
		}
	}
}
