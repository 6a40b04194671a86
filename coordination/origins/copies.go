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
	// minCopyInterval is the shortest time between two messages with copies. What a process began since its last message is lost with it.
	minCopyInterval = 120 * time.Millisecond
	// memberCopyInterval times the number of processes is that time, so that the messages of many processes stay within what they may spend.
	memberCopyInterval = 2 * time.Millisecond
	// copyTimeout bounds one message with copies.
	copyTimeout = 500 * time.Millisecond
	// copyHolders is the number of processes that hold copies: one of them may be out of step together with the sender.
	copyHolders = 2
	// confirmMargin is the time that a write to the store and its confirmation may take beyond the time between two appends.
	confirmMargin = 500 * time.Millisecond
)

// copiesMessage gives another process copies of beginnings.
type copiesMessage struct {
	Groups []copiesGroup
	// Written is set if the sender writes the beginnings to the store itself.
	Written bool
	// Stored are the streams whose beginnings the sender has written.
	Stored []origin.Stream
}

// copiesGroup holds the copies of streams that began at servers of one version.
type copiesGroup struct {
	Service   apricotway.Service
	Version   apricotway.SoftwareVersion
	Uncertain bool
	// Outage and Proven are false in messages of builds up to 275b5bc, whose doubts stay.
	Outage, Proven bool
	Streams        []copiedStream
}

// copiedStream is a stream with the server that began it, and the start of the server in Unix milliseconds.
type copiedStream struct {
	Stream origin.Stream
	Server apricotway.BackendServerID
	Born   int64
}

func newCopiesMessage(copies []origin.Copy, written bool, stored []origin.Stream) copiesMessage {
	message := copiesMessage{Written: written, Stored: stored}
	groups := map[groupKey]int{}

	for _, c := range copies {
		key := groupKey{c.Service, c.Version, c.Uncertain, c.Outage, c.Proven}

		at, ok := groups[key]
		if !ok {
			at = len(message.Groups)
			groups[key] = at
			message.Groups = append(message.Groups, copiesGroup{
				Service: c.Service, Version: c.Version, Uncertain: c.Uncertain, Outage: c.Outage, Proven: c.Proven,
			})
		}

		message.Groups[at].Streams = append(message.Groups[at].Streams, copiedStream{c.Stream, c.Server, c.Born.UnixMilli()})
	}

	return message
}

// groupKey is what the streams of one group have in common.
type groupKey struct {
	service                   apricotway.Service
	version                   apricotway.SoftwareVersion
	uncertain, outage, proven bool
}

func (m copiesMessage) copies() []origin.Copy {
	var copies []origin.Copy

	for _, group := range m.Groups {
		for _, s := range group.Streams {
			copies = append(copies, origin.Copy{
				Beginning: origin.Beginning{
					Stream: s.Stream, Service: group.Service, Version: group.Version, Uncertain: group.Uncertain, Outage: group.Outage,
					Proven: group.Proven,
				},
				Server: s.Server, Born: time.UnixMilli(s.Born),
			})
		}
	}

	return copies
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

		pause.For(ctx, max(minCopyInterval, time.Duration(len(c.membership.Members()))*memberCopyInterval))

		taken := c.register.TakeCopies(maxBeginnings)
		if stored := c.register.TakeStored(); len(taken)+len(stored) > 0 {
			c.send(ctx, newCopiesMessage(taken, true, stored))
		}
	}
}

// send sends a message to the holders, and reports whether one took it.
func (c *copies) send(ctx context.Context, message copiesMessage) bool {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()

	var (
		group sync.WaitGroup
		taken atomic.Bool
	)

	for _, holder := range c.holders() {
		group.Go(func() {
			_, err := apricotway.CallPeer[copiesAnswer](ctx, c.peers, holder.Peers, methodCopies, message)
			if err == nil {
				taken.Store(true)
			}
		})
	}

	group.Wait()

	return taken.Load()
}

// takeOver makes this process write the copies whose senders have not confirmed that they did.
func (o *Origins) takeOver(_ context.Context, now time.Time) {
	o.register.TakeOver(now, deferredInterval+o.appendInterval()+confirmMargin)
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

// WithCopies makes the process give copies of the beginnings of its streams to others, and hold theirs. A few of the processes write the
// beginnings of all.
func WithCopies(peers apricotway.Peers, registry apricotway.PeerRegistry, membership apricotway.Membership) Option {
	return func(o *Origins) {
		o.copies = &copies{register: o.register, peers: peers, membership: membership}
		o.writers = &writers{peers: peers, membership: membership, avoided: map[apricotway.NodeID]time.Time{}}

		apricotway.HandlePeer(registry, methodAppend, func(ctx context.Context, message appendMessage) (appendAnswer, error) {
			return appendAnswer{Written: o.submit(ctx, message) == nil}, nil
		})

		apricotway.HandlePeer(registry, methodCopies, func(_ context.Context, message copiesMessage) (copiesAnswer, error) {
			o.register.Hold(time.Now(), message.copies(), message.Written)
			o.register.Confirm(message.Stored)

			return copiesAnswer{}, nil
		})
	}
}
