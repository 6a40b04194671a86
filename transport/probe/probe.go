// Package probe carries membership messages over UDP, encoded as CBOR and authenticated by HMAC-SHA256 with the probe key from the
// settings.
package probe

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"net"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/thejerf/suture/v4"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/member"
)

const (
	// MaxPacket is the maximum size of a packet in bytes. It stays below the MTU of common networks, so that packets are not
	// fragmented.
	MaxPacket = 1200
	// version is the first byte of every packet.
	version = 1
	// macSize is the size in bytes of the HMAC, truncated to 128 bits as RFC 2104 permits.
	macSize    = 16
	headerSize = 1 + macSize
)

var (
	// ErrTooLarge reports a message whose packet would exceed MaxPacket.
	ErrTooLarge = errors.New("packet too large")
	// ErrMalformed reports a packet that cannot be decoded.
	ErrMalformed = errors.New("malformed packet")
	// ErrUnauthenticated reports a packet whose MAC does not match, as when it was created with another key.
	ErrUnauthenticated = errors.New("unauthenticated packet")
)

// Codec converts membership messages to authenticated packets and back.
type Codec struct {
	key    []byte
	encode cbor.EncMode
	decode cbor.DecMode
}

// NewCodec returns a codec that authenticates packets with the key.
func NewCodec(key []byte) (*Codec, error) {
	encode, err := cbor.EncOptions{BinaryMarshaler: cbor.BinaryMarshalerByteString}.EncMode()
	if err != nil {
		return nil, errors.Wrap(err, "create encoder")
	}

	decode, err := cbor.DecOptions{
		BinaryUnmarshaler: cbor.BinaryUnmarshalerByteString,
		DupMapKey:         cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden,
		MaxArrayElements: 64, MaxMapPairs: 32, MaxNestedLevels: 8,
	}.DecMode()
	if err != nil {
		return nil, errors.Wrap(err, "create decoder")
	}

	return &Codec{key: key, encode: encode, decode: decode}, nil
}

// Encode returns the packet for a message.
func (c *Codec) Encode(message member.Message) ([]byte, error) {
	body, err := c.encode.Marshal(message)
	if err != nil {
		return nil, errors.Wrap(err, "encode message")
	}

	if headerSize+len(body) > MaxPacket {
		return nil, errors.Wrapf(ErrTooLarge, "%d bytes", headerSize+len(body))
	}

	packet := make([]byte, headerSize, headerSize+len(body))
	packet[0] = version
	copy(packet[1:], c.mac(body))

	return append(packet, body...), nil
}

// Decode checks the MAC of a packet and returns its message.
func (c *Codec) Decode(packet []byte) (member.Message, error) {
	if len(packet) < headerSize || len(packet) > MaxPacket || packet[0] != version {
		return member.Message{}, ErrMalformed
	}

	body := packet[headerSize:]
	if subtle.ConstantTimeCompare(packet[1:headerSize], c.mac(body)) != 1 {
		return member.Message{}, ErrUnauthenticated
	}

	var message member.Message
	if err := c.decode.Unmarshal(body, &message); err != nil {
		return member.Message{}, errors.Wrap(ErrMalformed, err.Error())
	}

	return message, nil
}

// mac returns the truncated HMAC of version and body. It covers the version, so that a packet of a later version cannot be altered
// to pass as one of this version.
func (c *Codec) mac(body []byte) []byte {
	mac := hmac.New(sha256.New, c.key)
	mac.Write([]byte{version})
	mac.Write(body)

	return mac.Sum(nil)[:macSize]
}

// Socket sends and receives membership messages on one UDP port.
type Socket struct {
	codec   *Codec
	conn    *net.UDPConn
	bytes   *prometheus.CounterVec
	dropped *prometheus.CounterVec
}

// Listen binds a socket to the address and registers its metrics.
func Listen(
	ctx context.Context, address netip.AddrPort, key []byte, registerer prometheus.Registerer,
) (*Socket, error) {
	codec, err := NewCodec(key)
	if err != nil {
		return nil, err
	}

	var config net.ListenConfig

	conn, err := config.ListenPacket(ctx, "udp", address.String())
	if err != nil {
		return nil, errors.Wrap(err, "bind UDP socket")
	}

	s := &Socket{
		codec: codec, conn: conn.(*net.UDPConn),
		bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "apricotway_probe_bytes_total", Help: "Bytes of membership packets, without IP and UDP headers.",
		}, []string{"direction"}),
		dropped: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "apricotway_probe_packets_dropped_total", Help: "Membership packets that were dropped.",
		}, []string{"reason"}),
	}
	registerer.MustRegister(s.bytes, s.dropped)

	return s, nil
}

// Address returns the bound address.
func (s *Socket) Address() netip.AddrPort { return s.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// Send sends a message. UDP gives no delivery guarantee, so a lost packet is not reported as an error.
func (s *Socket) Send(to netip.AddrPort, message member.Message) error {
	packet, err := s.codec.Encode(message)
	if err != nil {
		s.dropped.WithLabelValues("unsendable").Inc()
		return err
	}

	s.bytes.WithLabelValues("sent").Add(float64(len(packet)))

	if _, err := s.conn.WriteToUDPAddrPort(packet, to); err != nil {
		s.dropped.WithLabelValues("unsendable").Inc()
		return errors.Wrap(err, "send packet")
	}

	return nil
}

// Receive adds a loop to the supervisor that passes every valid message to the handler. The socket is closed when the
// supervisor stops the loop.
func (s *Socket) Receive(supervisor *suture.Supervisor, handler func(from netip.AddrPort, message member.Message)) {
	supervisor.Add(apricotway.ServiceFunc{Name: "probe", Func: func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { _ = s.conn.Close() })
		defer stop()

		// One byte more than the limit, so that Decode can reject packets over the limit instead of receiving them truncated.
		buffer := make([]byte, MaxPacket+1)

		for {
			n, from, err := s.conn.ReadFromUDPAddrPort(buffer)
			if ctx.Err() != nil {
				return ctx.Err()
			}

			if err != nil {
				// Some systems report here that an earlier sent packet was refused; the socket remains usable.
				s.dropped.WithLabelValues("unreadable").Inc()

				if !waitAfterReadError(ctx) {
					return ctx.Err()
				}

				continue
			}

			s.bytes.WithLabelValues("received").Add(float64(n))

			message, err := s.codec.Decode(buffer[:n])

			switch {
			case errors.Is(err, ErrUnauthenticated):
				s.dropped.WithLabelValues("unauthenticated").Inc()
			case err != nil:
				s.dropped.WithLabelValues("malformed").Inc()
			default:
				handler(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), message)
			}
		}
	}})
}

// waitAfterReadError waits 10 ms, so that a persistent read error does not cause a busy loop. It returns false if the context
// ends first.
func waitAfterReadError(ctx context.Context) bool {
	timer := time.NewTimer(10 * time.Millisecond)
	defer timer.Stop()

	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
