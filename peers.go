package apricotway

import (
	"bytes"
	"context"
	"encoding/gob"
	"net/netip"

	"github.com/go-faster/errors"
)

// Method is the name of a call between processes.
type Method string

// Peers makes calls to other processes of the system.
type Peers interface {
	// Call sends one encoded message and returns the encoded answer. An error that wraps ErrNotSent means that the call did
	// not reach the peer. A refusal by the peer's handler is returned as a *Refusal.
	Call(ctx context.Context, address netip.AddrPort, method Method, payload []byte) ([]byte, error)
}

// PeerHandler handles one encoded message and returns the encoded answer.
type PeerHandler func(ctx context.Context, payload []byte) ([]byte, error)

// PeerRegistry registers the handlers of a process. All handlers must be registered before the first call arrives.
type PeerRegistry interface {
	Register(method Method, handler PeerHandler)
}

// ErrMalformedMessage reports a message between processes that cannot be decoded.
var ErrMalformedMessage = errors.New("malformed message")

// CallPeer calls a peer with a message, encoded with gob, and returns the decoded answer.
func CallPeer[Answer, Message any](
	ctx context.Context, peers Peers, address netip.AddrPort, method Method, message Message,
) (Answer, error) {
	var answer Answer

	payload, err := encodeGob(message)
	if err != nil {
		return answer, errors.Wrap(ErrNotSent, err.Error())
	}

	result, err := peers.Call(ctx, address, method, payload)
	if err != nil {
		return answer, err
	}

	if err := gob.NewDecoder(bytes.NewReader(result)).Decode(&answer); err != nil {
		return answer, errors.Wrap(ErrMalformedMessage, err.Error())
	}

	return answer, nil
}

// HandlePeer registers a handler that takes the decoded message and returns the answer to encode.
func HandlePeer[Message, Answer any](
	registry PeerRegistry, method Method, handler func(ctx context.Context, message Message) (Answer, error),
) {
	registry.Register(method, func(ctx context.Context, payload []byte) ([]byte, error) {
		var message Message
		if err := gob.NewDecoder(bytes.NewReader(payload)).Decode(&message); err != nil {
			return nil, errors.Wrap(ErrMalformedMessage, err.Error())
		}

		answer, err := handler(ctx, message)
		if err != nil {
			return nil, err
		}

		return encodeGob(answer)
	})
}

func encodeGob(value any) ([]byte, error) {
	var buffer bytes.Buffer
	if err := gob.NewEncoder(&buffer).Encode(value); err != nil {
		return nil, errors.Wrap(err, "encode message")
	}

	return buffer.Bytes(), nil
}
