// Package peer carries calls between processes over net/rpc. It adds what net/rpc lacks: deadlines, message size limits,
// cancellation of a call's context when its connection is lost, and a limit on concurrent calls.
package peer

import (
	"time"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway"
)

const (
	// DefaultMaxMessage is the size limit of an encoded message in bytes. It leaves room for a copied request with the largest
	// prompt.
	DefaultMaxMessage = 16 << 20
	// MaxNonMemberMessage is the size limit in bytes of a message from an address that is not a known member. A joining process is
	// not yet known and sends a member list, which takes about 300 KiB for 1,000 members.
	MaxNonMemberMessage = 512 << 10
	// DefaultConcurrency is the limit on calls that a process handles at the same time; further calls are refused.
	DefaultConcurrency = 1024
	// methodCall is the only net/rpc method; Request.Method selects the handler.
	methodCall = "Peer.Call"
)

var (
	// ErrMessageTooLarge reports a message over the size limit.
	ErrMessageTooLarge = errors.New("message too large")
	// ErrPeerFailed reports that the peer's handler returned an error other than a Refusal.
	ErrPeerFailed = errors.New("peer failed")
	// ErrUnknownMethod reports a method without a handler, as happens when the peer runs another release.
	ErrUnknownMethod = errors.New("unknown method")
)

// Request is the argument of the net/rpc method.
type Request struct {
	Method apricotway.Method
	// Remaining is how long the caller waits. It is a duration rather than a deadline because the clocks of two processes differ.
	Remaining time.Duration
	Stamp     apricotway.Stamp
	Payload   []byte
}

// Answer is the reply of the net/rpc method. Refusal is set if the handler refused the call and Failure if it failed otherwise;
// Payload is valid only without both.
type Answer struct {
	Stamp   apricotway.Stamp
	Payload []byte
	Refusal *apricotway.Refusal
	Failure string
	// NotStarted reports that the handler was not called.
	NotStarted bool
}
