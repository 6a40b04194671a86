package origins

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/internal/pause"
	"github.com/apricotway/apricotway/state/origin"
	"github.com/apricotway/apricotway/state/placement"
)

const (
	methodAppend apricotway.Method = "appendOrigins"
	// processesPerWriter is the number of processes for each of the writers, of which there are as many as logs at most: a few appends of many
	// processes cost less to write and to read than many appends of one process each.
	processesPerWriter = 32
	// minAppendInterval is the shortest time between two appends of a writer, and deferredInterval that while no other process has to know at
	// once what is written, as one software version serves.
	minAppendInterval = 40 * time.Millisecond
	deferredInterval  = 500 * time.Millisecond
	// writerTimeout bounds the wait for a writer beyond the time between two of its appends.
	writerTimeout = 500 * time.Millisecond
	// avoidTime is the time for which a writer that failed is not asked again.
	avoidTime = 10 * time.Second
)

// appendMessage asks a writer to append beginnings.
type appendMessage struct {
	Groups []beginningsGroup
	// Background is set if no process has to know the beginnings at once.
	Background bool
}

// beginningsGroup holds the streams of one message that began alike.
type beginningsGroup struct {
	Service   apricotway.Service
	Version   apricotway.SoftwareVersion
	Uncertain bool
	// Outage and Proven are those of origin.Beginning.
	Outage, Proven bool
	Streams        []origin.Stream
}

func (g beginningsGroup) key() groupKey {
	return groupKey{g.Service, g.Version, g.Uncertain, g.Outage, g.Proven}
}

// appendAnswer is the answer to an appendMessage.
type appendAnswer struct {
	// Written is set once the store has the beginnings.
	Written bool
}

// group collects beginnings in groups.
func group(taken []origin.Beginning) []beginningsGroup {
	var groups []beginningsGroup

	at := map[groupKey]int{}

	for _, b := range taken {
		key := groupKey{b.Service, b.Version, b.Uncertain, b.Outage, b.Proven}

		i, ok := at[key]
		if !ok {
			i = len(groups)
			at[key] = i
			groups = append(groups, beginningsGroup{b.Service, b.Version, b.Uncertain, b.Outage, b.Proven, nil})
		}

		groups[i].Streams = append(groups[i].Streams, b.Stream)
	}

	return groups
}

// batch is what one process wants a writer to append.
type batch struct {
	groups     []beginningsGroup
	size       int
	background bool
	// done gets the result of the append.
	done chan error
}

// collector appends the beginnings of several processes together. It is safe for concurrent use.
type collector struct {
	write func(ctx context.Context, groups []beginningsGroup) error
	// interval returns the shortest time between two appends.
	interval func() time.Duration
	// wake has an element after a batch has come.
	wake chan struct{}

	mu      sync.Mutex
	batches []*batch
}

// submit appends beginnings with the next append, and returns once the store has them.
func (c *collector) submit(ctx context.Context, groups []beginningsGroup, background bool) error {
	b := &batch{groups: groups, background: background, done: make(chan error, 1)}
	for _, g := range groups {
		b.size += len(g.Streams)
	}

	c.mu.Lock()
	c.batches = append(c.batches, b)
	c.mu.Unlock()

	c.notify()

	select {
	case err := <-b.done:
		return err
	case <-ctx.Done():
		c.withdraw(b)
		return ctx.Err()
	}
}

// withdraw removes a batch whose process doesn't wait any more.
func (c *collector) withdraw(b *batch) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.batches = slices.DeleteFunc(c.batches, func(other *batch) bool { return other == b })
}

func (c *collector) notify() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// run appends what is submitted until the context ends.
func (c *collector) run(ctx context.Context) error {
	for last := (time.Time{}); ; {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.wake:
		}

		if !c.awaitTurn(ctx, last) {
			return ctx.Err()
		}

		last = time.Now()
		batches := c.take()
		err := c.append(ctx, batches)

		for _, b := range batches {
			b.done <- err
		}
	}
}

// awaitTurn waits for the time of the next append.
func (c *collector) awaitTurn(ctx context.Context, last time.Time) bool {
	if !pause.For(ctx, c.interval()-time.Since(last)) {
		return false
	}

	for {
		rest := deferredInterval - time.Since(last)
		if rest <= 0 || c.urgent() {
			return true
		}

		timer := time.NewTimer(rest)

		select {
		case <-ctx.Done():
			timer.Stop()
			return false
		case <-timer.C:
		case <-c.wake:
			timer.Stop()
		}
	}
}

// urgent reports whether a batch must not wait for the background interval.
func (c *collector) urgent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	return slices.ContainsFunc(c.batches, func(b *batch) bool { return !b.background })
}

// take removes the batches of one append.
func (c *collector) take() []*batch {
	c.mu.Lock()
	defer c.mu.Unlock()

	count, size := 0, 0
	for count < len(c.batches) && (count == 0 || size+c.batches[count].size <= maxBeginnings) {
		size += c.batches[count].size
		count++
	}

	taken := c.batches[:count:count]
	if c.batches = c.batches[count:]; len(c.batches) > 0 {
		c.notify()
	}

	return taken
}

func (c *collector) append(ctx context.Context, batches []*batch) error {
	if len(batches) == 0 {
		return nil
	}

	merged := map[groupKey]int{}

	var groups []beginningsGroup

	for _, b := range batches {
		for _, g := range b.groups {
			at, ok := merged[g.key()]
			if !ok {
				merged[g.key()] = len(groups)
				groups = append(groups, g)

				continue
			}

			groups[at].Streams = append(slices.Clip(groups[at].Streams), g.Streams...)
		}
	}

	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()

	return c.write(ctx, groups)
}

// writers chooses the processes that append the beginnings of all. It is safe for concurrent use.
type writers struct {
	peers      apricotway.Peers
	membership apricotway.Membership

	mu sync.Mutex
	// avoided holds the writers that failed, with the time until which they are not asked.
	avoided map[apricotway.NodeID]time.Time
}

// writerCount returns the number of writers among a number of processes.
func writerCount(processes int) int {
	return min(max(processes/processesPerWriter, 1), logs)
}

// choose returns the writer of this process: one of those with the largest hosts among the processes that are ready. It may be the process itself,
// but not only because it knows of no other that is ready, as after a start of all: then there is none.
func (w *writers) choose(now time.Time) (writer apricotway.Member, ok bool) {
	self := w.membership.Self()
	known, ready := []apricotway.Member{self}, []apricotway.Member{self}

	for _, m := range w.membership.Members() {
		if m.State != apricotway.MemberAlive && m.State != apricotway.MemberSuspect {
			continue
		}

		known = append(known, m)
		if m.State == apricotway.MemberAlive && m.Ready && !w.avoids(now, m.Node) {
			ready = append(ready, m)
		}
	}

	name := func(m apricotway.Member) string { return string(m.Node) }
	writer = placement.Rank(largest(ready), name, string(self.Node))[0]

	isSelf := func(m apricotway.Member) bool { return m.Node == self.Node }

	return writer, writer.Node != self.Node || slices.ContainsFunc(largest(known), isSelf)
}

// largest returns the writers among processes.
func largest(processes []apricotway.Member) []apricotway.Member {
	slices.SortFunc(processes, func(a, b apricotway.Member) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.Node, b.Node))
	})

	return processes[:writerCount(len(processes))]
}

func (w *writers) avoids(now time.Time, node apricotway.NodeID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()

	return now.Before(w.avoided[node])
}

func (w *writers) avoid(node apricotway.NodeID, until time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()

	for known, end := range w.avoided {
		if until.Sub(end) > avoidTime {
			delete(w.avoided, known)
		}
	}

	w.avoided[node] = until
}

var (
	// errNotWritten reports a writer that could not append.
	errNotWritten = errors.New("the writer could not append")
	// errNoWriter reports that no process is known which is ready to append.
	errNoWriter = errors.New("no writer is ready")
)

// ask makes another process append beginnings, and returns once the store has them.
func (w *writers) ask(ctx context.Context, writer apricotway.Member, message appendMessage) error {
	timeout := writerTimeout
	if message.Background {
		timeout += deferredInterval
	}

	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()

	answer, err := apricotway.CallPeer[appendAnswer](ctx, w.peers, writer.Peers, methodAppend, message)
	if err != nil {
		return errors.Wrap(err, "ask the writer")
	}

	if !answer.Written {
		return errNotWritten
	}

	return nil
}
