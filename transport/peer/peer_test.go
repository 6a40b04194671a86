package peer_test

import (
	"context"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/thejerf/suture/v4"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/timeline"
	"github.com/apricotway/apricotway/transport/peer"
)

type note struct{ Text string }

const methodEcho apricotway.Method = "echo"

func start(t *testing.T, register func(*peer.Server), options ...peer.ServerOption) netip.AddrPort {
	t.Helper()

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}

	supervisor := suture.NewSimple("test")
	register(peer.NewServer(supervisor, listener, timeline.NewClock(time.Now), options...))

	ctx, cancel := context.WithCancel(context.Background())
	stopped := supervisor.ServeBackground(ctx)

	t.Cleanup(func() {
		cancel()

		if err := <-stopped; !errors.Is(err, context.Canceled) {
			t.Errorf("supervisor stopped with %v", err)
		}
	})

	return listener.Addr().(*net.TCPAddr).AddrPort()
}

// TestCall checks that answers, refusals and failures of a handler reach the caller, and that ErrNotSent is returned only for
// calls that no handler has seen.
func TestCall(t *testing.T) {
	address := start(t, func(server *peer.Server) {
		apricotway.HandlePeer(server, methodEcho, func(_ context.Context, message note) (note, error) { return message, nil })
		apricotway.HandlePeer(server, "refuse", func(context.Context, note) (note, error) {
			return note{}, &apricotway.Refusal{Code: apricotway.CodeOverloaded, Execution: apricotway.ExecutionNotStarted}
		})
		apricotway.HandlePeer(server, "fail", func(context.Context, note) (note, error) { return note{}, errors.New("broken") })
	}, peer.WithServerLimits(4096, 4))

	client := peer.NewClient(timeline.NewClock(time.Now))
	defer client.Close()

	unused := netip.MustParseAddrPort("127.0.0.1:1")

	for _, test := range []struct {
		name    string
		address netip.AddrPort
		method  apricotway.Method
		text    string
		check   func(error) bool
	}{
		{"answer", address, methodEcho, "x", func(err error) bool { return err == nil }},
		{"refusal", address, "refuse", "x", func(err error) bool {
			return apricotway.AsRefusal(err).Code == apricotway.CodeOverloaded
		}},
		{"failure", address, "fail", "x", func(err error) bool { return errors.Is(err, peer.ErrPeerFailed) }},
		{"unknown method", address, "none", "x", func(err error) bool { return errors.Is(err, apricotway.ErrNotSent) }},
		{"no listener", unused, methodEcho, "x", func(err error) bool { return errors.Is(err, apricotway.ErrNotSent) }},
		{"over the size limit", address, methodEcho, strings.Repeat("x", 8192), func(err error) bool {
			return err != nil && !errors.Is(err, apricotway.ErrNotSent)
		}},
		{"answer after a broken connection", address, methodEcho, "y", func(err error) bool { return err == nil }},
	} {
		t.Run(test.name, func(t *testing.T) {
			got, err := apricotway.CallPeer[note](t.Context(), client, test.address, test.method, note{test.text})
			if !test.check(err) {
				t.Fatalf("got error %v", err)
			}

			if err == nil && got.Text != test.text {
				t.Errorf("got %q, want %q", got.Text, test.text)
			}
		})
	}
}

// TestConnectionLoss guards against handlers that keep running after their caller has disconnected.
func TestConnectionLoss(t *testing.T) {
	entered, ended := make(chan struct{}), make(chan struct{})
	address := start(t, func(server *peer.Server) {
		apricotway.HandlePeer(server, "wait", func(ctx context.Context, _ note) (note, error) {
			close(entered)
			<-ctx.Done()
			close(ended)

			return note{}, ctx.Err()
		})
	})

	client := peer.NewClient(timeline.NewClock(time.Now))

	ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
	defer cancel()

	failed := make(chan error, 1)

	go func() {
		_, err := apricotway.CallPeer[note](ctx, client, address, "wait", note{})
		failed <- err
	}()

	<-entered
	client.Close()
	<-ended

	if err := <-failed; err == nil || errors.Is(err, apricotway.ErrNotSent) {
		t.Errorf("got %v, want an error other than ErrNotSent", err)
	}
}

// TestConcurrency guards against an unlimited number of concurrent calls: a call over the limit is refused before its handler runs.
func TestConcurrency(t *testing.T) {
	entered, release := make(chan struct{}), make(chan struct{})
	address := start(t, func(server *peer.Server) {
		apricotway.HandlePeer(server, "wait", func(context.Context, note) (note, error) {
			close(entered)
			<-release

			return note{}, nil
		})
	}, peer.WithServerLimits(4096, 1))

	client := peer.NewClient(timeline.NewClock(time.Now))
	defer client.Close()

	done := make(chan error, 1)

	go func() {
		_, err := apricotway.CallPeer[note](context.Background(), client, address, "wait", note{})
		done <- err
	}()

	<-entered

	_, err := apricotway.CallPeer[note](t.Context(), client, address, "wait", note{})
	if !errors.Is(err, apricotway.ErrNotSent) {
		t.Errorf("got %v, want ErrNotSent", err)
	}

	close(release)

	if err := <-done; err != nil {
		t.Errorf("got %v for the running call", err)
	}
}
