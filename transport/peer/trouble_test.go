package peer_test

import (
	"context"
	"encoding/gob"
	"io"
	"net"
	"net/netip"
	"net/rpc"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/timeline"
	"github.com/apricotway/apricotway/transport/peer"
)

// TestPanic guards against a panic in a handler ending the process: net/rpc runs each call in its own goroutine and does not
// recover.
func TestPanic(t *testing.T) {
	var panics atomic.Int64

	address := start(t, func(server *peer.Server) {
		apricotway.HandlePeer(server, "panic", func(_ context.Context, n note) (note, error) {
			var unset *note
			return note{Text: unset.Text + n.Text}, nil
		})
		apricotway.HandlePeer(server, methodEcho, func(_ context.Context, n note) (note, error) { return n, nil })
	}, peer.WithServerPanicHook(func() { panics.Add(1) }))

	client := peer.NewClient(timeline.NewClock(time.Now))
	defer client.Close()

	if _, err := apricotway.CallPeer[note](t.Context(), client, address, "panic", note{}); !errors.Is(err, peer.ErrPeerFailed) {
		t.Errorf("got error %v, want %v", err, peer.ErrPeerFailed)
	}

	if _, err := apricotway.CallPeer[note](t.Context(), client, address, methodEcho, note{Text: "x"}); err != nil {
		t.Errorf("after the panic: got error %v, want none", err)
	}

	if got, want := panics.Load(), int64(1); got != want {
		t.Errorf("got %d panics, want %d", got, want)
	}
}

// TestUnknownAddress guards against excessive memory use by large messages from addresses that are not members. Large messages
// of a member are accepted, even if it joined after it connected.
func TestUnknownAddress(t *testing.T) {
	var known atomic.Bool

	address := start(t, func(server *peer.Server) {
		apricotway.HandlePeer(server, methodEcho, func(context.Context, note) (note, error) { return note{}, nil })
	}, peer.WithServerMemberCheck(func(a netip.Addr) bool { return known.Load() && a.IsLoopback() }))

	call := func(client *peer.Client, bytes int) error {
		_, err := apricotway.CallPeer[note](t.Context(), client, address, methodEcho, note{Text: string(make([]byte, bytes))})
		return err
	}

	client := peer.NewClient(timeline.NewClock(time.Now))
	defer client.Close()

	if err := call(client, peer.MaxNonMemberMessage/2); err != nil {
		t.Errorf("small message: got error %v, want none", err)
	}

	if err := call(client, 2*peer.MaxNonMemberMessage); err == nil {
		t.Error("large message: got no error, want one")
	}

	if err := call(client, 1); err != nil {
		t.Errorf("after the large message: got error %v, want none", err)
	}

	known.Store(true)

	if err := call(client, 2*peer.MaxNonMemberMessage); err != nil {
		t.Errorf("large message of a member: got error %v, want none", err)
	}
}

// TestAnswerWithoutEnd guards against unbounded memory use when the answer of a peer never ends.
func TestAnswerWithoutEnd(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()

	written := make(chan int64, 1)

	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}

		// A gob length prefix that announces 512 MiB.
		_, _ = conn.Write([]byte{0xfc, 0x20, 0, 0, 0})
		n, _ := io.Copy(conn, zeros{})
		written <- n
	}()

	client := peer.NewClient(timeline.NewClock(time.Now))
	defer client.Close()

	_, err = apricotway.CallPeer[note](t.Context(), client, listener.Addr().(*net.TCPAddr).AddrPort(), methodEcho, note{})
	if err == nil || errors.Is(err, apricotway.ErrNotSent) {
		t.Errorf("got error %v, want an error other than ErrNotSent", err)
	}

	// The additional 16 MiB allow for socket buffers.
	if got, want := <-written, int64(peer.DefaultMaxMessage+16<<20); got > want {
		t.Errorf("got %d bytes written, want at most %d", got, want)
	}
}

// zeros is an endless reader.
type zeros struct{}

func (zeros) Read(buffer []byte) (int, error) {
	clear(buffer)
	return len(buffer), nil
}

// TestMalformedCalls guards against undecodable messages that affect more than their own connection.
func TestMalformedCalls(t *testing.T) {
	address := start(t, func(server *peer.Server) {
		apricotway.HandlePeer(server, methodEcho, func(_ context.Context, n note) (note, error) { return n, nil })
	})

	for name, send := range map[string]func(conn net.Conn){
		"noise": func(conn net.Conn) { _, _ = io.WriteString(conn, "GET / HTTP/1.1\r\n\r\n") },
		"payload": func(conn net.Conn) {
			encoder := gob.NewEncoder(conn)
			_ = encoder.Encode(rpc.Request{ServiceMethod: "Peer.Call", Seq: 1})
			_ = encoder.Encode(peer.Request{Method: methodEcho, Remaining: time.Second, Payload: []byte{0xff, 0x80}})
			// Waits for the answer, so that the call has been handled.
			_, _ = conn.Read(make([]byte, 1))
		},
		"other type": func(conn net.Conn) {
			encoder := gob.NewEncoder(conn)
			_ = encoder.Encode(rpc.Request{ServiceMethod: "Peer.Call", Seq: 1})
			_ = encoder.Encode(struct{ Method []int }{[]int{1}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", address.String())
			if err != nil {
				t.Fatal(err)
			}

			send(conn)
			_ = conn.Close()

			client := peer.NewClient(timeline.NewClock(time.Now))
			defer client.Close()

			if _, err := apricotway.CallPeer[note](t.Context(), client, address, methodEcho, note{}); err != nil {
				t.Errorf("got error %v, want none", err)
			}
		})
	}
}
