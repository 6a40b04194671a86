package origins

import (
	"context"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/internal/pause"
	"github.com/apricotway/apricotway/state/origin"
	"github.com/apricotway/apricotway/state/placement"
)

const (
	methodCopies apricotway.Method = "copyOrigins"
	// copyInterval is the time between two messages with copies. What a process began since its last message is lost with it.
	copyInterval = 100 * time.Millisecond
	// copyTimeout bounds one message with copies, and maxHolders the processes that are tried.
	copyTimeout = 500 * time.Millisecond
	maxHolders  = 2
	// confirmMargin is the time that a write to the store and its confirmation may take beyond the time between two appends.
	confirmMargin = 500 * time.Millisecond
)

// copiesMessage gives another process copies of beginnings.
type copiesMessage struct {
	Copies []origin.Copy
	// Written is set if the sender writes the beginnings to the store itself.
	Written bool
	// Stored are the streams whose beginnings the sender has written.
	Stored []origin.Stream
}

// copiesAnswer is the answer to a copiesMessage.
type copiesAnswer struct{}

// copies gives the beginnings of streams to another process, which writes them to the store if this process can't: it may stand still, be cut
// off or end before it sees the second version that makes them needed.
type copies struct {
	register   *origin.Register
	peers      apricotway.Peers
	membership apricotway.Membership
}

// share sends copies until the context ends.
func (c *copies) share(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.register.Copied():
		}

		pause.For(ctx, copyInterval)

		taken, written := c.register.TakeCopies(time.Now(), maxBeginnings)
		if stored := c.register.TakeStored(); len(taken)+len(stored) > 0 {
			c.send(ctx, copiesMessage{taken, written, stored})
		}
	}
}

// send sends a message to the first of the holders that takes it, and reports whether one did.
func (c *copies) send(ctx context.Context, message copiesMessage) bool {
	for _, holder := range c.holders() {
		limited, cancel := context.WithTimeout(ctx, copyTimeout)
		_, err := apricotway.CallPeer[copiesAnswer](limited, c.peers, holder.Peers, methodCopies, message)

		cancel()

		if err == nil {
			return true
		}
	}

	return false
}

// takeOver makes this process write the copies whose senders have not confirmed that they did.
func (o *Origins) takeOver(_ context.Context, now time.Time) {
	o.register.TakeOver(now, o.appendInterval()+confirmMargin)
}

// holders returns the processes that hold the copies of this one, those of other availability zones first: a zone may be lost as a whole.
func (c *copies) holders() []apricotway.Member {
	self := c.membership.Self()

	var near, far []apricotway.Member

	for _, m := range c.membership.Members() {
		switch {
		case m.State != apricotway.MemberAlive:
		case m.Zone == self.Zone:
			near = append(near, m)
		default:
			far = append(far, m)
		}
	}

	name := func(m apricotway.Member) string { return string(m.Node) }
	ranked := append(placement.Rank(far, name, string(self.Node)), placement.Rank(near, name, string(self.Node))...)

	return ranked[:min(len(ranked), maxHolders)]
}

// WithCopies makes the process give copies of the beginnings of its streams to another one, and hold those of others.
func WithCopies(peers apricotway.Peers, registry apricotway.PeerRegistry, membership apricotway.Membership) Option {
	return func(o *Origins) {
		o.copies = &copies{register: o.register, peers: peers, membership: membership}

		apricotway.HandlePeer(registry, methodCopies, func(_ context.Context, message copiesMessage) (copiesAnswer, error) {
			o.register.Hold(time.Now(), message.Copies, message.Written)
			o.register.Confirm(message.Stored)

			return copiesAnswer{}, nil
		})
	}
}
