package probe_test

import (
	"context"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/thejerf/suture/v4"
	"pgregory.net/rapid"

	"github.com/apricotway/apricotway"
	_ "github.com/apricotway/apricotway/internal/fixedseed"
	"github.com/apricotway/apricotway/state/member"
	"github.com/apricotway/apricotway/transport/probe"
)

var key = []byte("0123456789abcdef")

func newCodec(t *testing.T, key []byte) *probe.Codec {
	t.Helper()

	codec, err := probe.NewCodec(key)
	if err != nil {
		t.Fatal(err)
	}

	return codec
}

// TestPacketSize guards against updates that are lost because their packet exceeds MaxPacket: every message of the membership
// state machine must fit, with names of any permitted length and with IPv6 addresses.
func TestPacketSize(t *testing.T) {
	codec := newCodec(t, key)

	rapid.Check(t, func(t *rapid.T) {
		name := func(label string) string { return strings.Repeat("n", rapid.IntRange(1, 80).Draw(t, label)) }
		address := netip.MustParseAddrPort("[fd00:1234:5678:9abc:def0:1234:5678:9abc]:65535")
		entry := func(node string) member.Entry {
			return member.Entry{
				Node: apricotway.NodeID(node), Region: apricotway.Region(name("region")), Zone: apricotway.Zone(name("zone")),
				State: apricotway.MemberSuspect, Incarnation: 1 << 62, Ready: true,
				Callers: address, Peers: address, Probes: address, Operator: address,
			}
		}
		now := time.Unix(1000, 0)
		machine := member.New(entry(name("self")), member.DefaultConfig(), probe.NewRandom(), now)

		var state member.State
		for i := range rapid.IntRange(1, 20).Draw(t, "members") {
			state.Entries = append(state.Entries, entry(string(rune('A'+i))+name("node")[1:]))
		}

		for i := range rapid.IntRange(0, 20).Draw(t, "broadcasts") {
			topic := rapid.SampledFrom([]apricotway.Topic{apricotway.TopicTokens, apricotway.TopicQuarantine}).Draw(t, "topic")
			state.Broadcasts = append(state.Broadcasts, apricotway.BroadcastEntry{
				Topic: topic, Key: string(rune('A' + i)), Version: 1 << 62, Lifetime: time.Hour,
				Payload: make([]byte, rapid.IntRange(0, apricotway.MaxBroadcastBytes-20).Draw(t, "payload")),
			})
		}

		out := machine.Merge(now, state)

		for range 10 {
			now = now.Add(time.Second)
			next := machine.Tick(now)
			out.Packets = append(out.Packets, next.Packets...)
		}

		for _, packet := range out.Packets {
			encoded, err := codec.Encode(packet.Message)
			if err != nil {
				t.Fatalf("got %v for %d entries and %d broadcasts", err, len(packet.Message.Entries), len(packet.Message.Broadcasts))
			}

			decoded, err := codec.Decode(encoded)
			if err != nil || decoded.Sequence != packet.Message.Sequence || len(decoded.Entries) != len(packet.Message.Entries) ||
				len(decoded.Entries) > 0 && decoded.Entries[0] != packet.Message.Entries[0] {
				t.Fatalf("got %+v, %v, want %+v", decoded, err, packet.Message)
			}
		}
	})
}

// TestForgery guards against accepting packets that were created with another key, altered in transit or are malformed.
func TestForgery(t *testing.T) {
	codec := newCodec(t, key)

	packet, err := codec.Encode(member.Message{Kind: member.KindProbe, From: "a"})
	if err != nil {
		t.Fatal(err)
	}

	if _, err := newCodec(t, []byte("another key")).Decode(packet); !errors.Is(err, probe.ErrUnauthenticated) {
		t.Errorf("got %v with another key, want %v", err, probe.ErrUnauthenticated)
	}

	for i := range packet {
		changed := append([]byte(nil), packet...)
		changed[i] ^= 1

		if _, err := codec.Decode(changed); err == nil {
			t.Errorf("got no error with byte %d changed", i)
		}
	}

	for _, malformed := range [][]byte{nil, packet[:5], make([]byte, probe.MaxPacket+1)} {
		if _, err := codec.Decode(malformed); !errors.Is(err, probe.ErrMalformed) {
			t.Errorf("got %v for %d bytes, want %v", err, len(malformed), probe.ErrMalformed)
		}
	}
}

// TestSocket checks that dropped packets are counted and that the socket keeps receiving after them.
func TestSocket(t *testing.T) {
	registry := prometheus.NewRegistry()

	socket, err := probe.Listen(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"), key, registry)
	if err != nil {
		t.Fatal(err)
	}

	received := make(chan member.Message, 1)
	supervisor := suture.NewSimple("test")
	socket.Receive(supervisor, func(_ netip.AddrPort, message member.Message) { received <- message })

	ctx, cancel := context.WithCancel(context.Background())
	stopped := supervisor.ServeBackground(ctx)

	defer func() {
		cancel()

		if err := <-stopped; !errors.Is(err, context.Canceled) {
			t.Errorf("supervisor stopped with %v", err)
		}
	}()

	client, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(socket.Address()))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = client.Close() }()

	forged, _ := newCodec(t, []byte("another key")).Encode(member.Message{From: "x"})
	for _, packet := range [][]byte{[]byte("noise"), forged} {
		if _, err := client.Write(packet); err != nil {
			t.Fatal(err)
		}
	}

	if err := socket.Send(socket.Address(), member.Message{Kind: member.KindProbe, From: "a"}); err != nil {
		t.Fatal(err)
	}

	if got := <-received; got.From != "a" {
		t.Errorf("got a message from %q, want a", got.From)
	}

	want := `
# HELP apricotway_probe_packets_dropped_total Membership packets that were dropped.
# TYPE apricotway_probe_packets_dropped_total counter
apricotway_probe_packets_dropped_total{reason="malformed"} 1
apricotway_probe_packets_dropped_total{reason="unauthenticated"} 1
`
	if err := testutil.GatherAndCompare(registry, strings.NewReader(want), "apricotway_probe_packets_dropped_total"); err != nil {
		t.Error(err)
	}
}

// FuzzDecode guards against packets that crash the decoder or the membership state machine. They have a valid MAC, as a holder of
// the key could create them.
func FuzzDecode(f *testing.F) {
	f.Add([]byte{0xa0})
	f.Add([]byte{0xa1, 0x06, 0x81, 0xa1, 0x07, 0x41, 0x00})
	f.Fuzz(func(t *testing.T, body []byte) {
		codec := newCodec(t, key)

		message, err := codec.Decode(probe.Seal(key, body))
		if err != nil {
			return
		}

		machine := member.New(member.Entry{Node: "self"}, member.DefaultConfig(), probe.NewRandom(), time.Unix(1000, 0))
		machine.Receive(time.Unix(1000, 0), netip.MustParseAddrPort("127.0.0.1:1"), message)
	})
}
