package origins

import (
	"context"
	"sync"
	"sync/atomic"
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
	// copyTimeout bounds one message with copies.
	copyTimeout = 500 * time.Millisecond
	// copyHolders is the number of processes that hold copies: one of them may be out of step together with the sender.
	copyHolders = 2
)

// copiesMessage gives another process copies of beginnings.
type copiesMessage struct {
	Copies []origin.Copy
	// Written is set if the sender writes the beginnings to the store itself.
	Written bool
}

// copiesAnswer is the answer to a copiesMessage.
type copiesAnswer struct{}

// copies gives the beginnings of streams to other processes, which write them to the store if this process can't: it may stand still, be cut
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

		if taken, written := c.register.TakeCopies(time.Now(), maxBeginnings); len(taken) > 0 {
			c.send(ctx, taken, written)
		}
	}
}

// send sends copies to the holders, and reports whether one took them.
func (c *copies) send(ctx context.Context, copies []origin.Copy, written bool) bool {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()

	var (
		group sync.WaitGroup
		taken atomic.Bool
	)

	for _, holder := range c.holders() {
		group.Go(func() {
			_, err := apricotway.CallPeer[copiesAnswer](ctx, c.peers, holder.Peers, methodCopies, copiesMessage{copies, written})
			if err == nil {
				taken.Store(true)
			}
		})
	}

	group.Wait()

	return taken.Load()
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

	return ranked[:min(len(ranked), copyHolders)]
}

// WithCopies makes the process give copies of the beginnings of its streams to others, and hold theirs.
func WithCopies(peers apricotway.Peers, registry apricotway.PeerRegistry, membership apricotway.Membership) Option {
	return func(o *Origins) {
		o.copies = &copies{register: o.register, peers: peers, membership: membership}

		apricotway.HandlePeer(registry, methodCopies, func(_ context.Context, message copiesMessage) (copiesAnswer, error) {
			o.register.Hold(time.Now(), message.Copies, message.Written)

			return copiesAnswer{}, nil
		})
	}
}
