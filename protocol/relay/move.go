package relay

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/dispatch"
)

const (
	// moveTimeout bounds the time for which a stream waits for the copy of its run's KV cache. One copy is about 0.2 GB at 70 GB/s, but it
	// may have to wait for the copies of other runs.
	moveTimeout = 1200 * time.Millisecond
	// minMoveRemaining is the least time before the deadline with which a run is still moved.
	minMoveRemaining = 100 * time.Millisecond
)

// moveOutcome is what is known of a run after an order to move it.
type moveOutcome string

const (
	// moveConfirmed means that the engine has stopped the run.
	moveConfirmed moveOutcome = "confirmed"
	// moveNotOrdered means that the engine does not have the order.
	moveNotOrdered moveOutcome = "notOrdered"
	// moveRunUnknown means that the engine has no such run.
	moveRunUnknown moveOutcome = "runUnknown"
	// moveUncertain means that the engine may stop the run at any time.
	moveUncertain moveOutcome = "uncertain"
)

// moveOrder is an order to an engine to move a run of the call.
type moveOrder struct {
	source apricotway.BackendServerID
	target *dispatch.Send
	cancel context.CancelFunc
	// done is closed once the engine has answered or the order has failed. The fields below are set before that.
	done   chan struct{}
	memory apricotway.RunKVCache
	copied bool
	err    error
}

// orderMove orders the engine of a run to move it to the target. The order ends with ctx.
func (c *call) orderMove(ctx context.Context, run *engineRun, target *dispatch.Send) *moveOrder {
	ctx, cancel := context.WithCancel(ctx)
	order := &moveOrder{source: run.send.Backend.ID, target: target, cancel: cancel, done: make(chan struct{})}
	from, to := run.send.Backend.Address, target.Backend.Address

	go func() {
		defer close(order.done)

		order.memory, order.copied, order.err = c.relay.mover.Move(ctx, from, c.metadata.Attempt, to)
	}()

	return order
}

// await waits until the outcome of the order is known, at most for a timeout.
func (o *moveOrder) await(ctx context.Context, timeout time.Duration) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()

	select {
	case <-o.done:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// outcome returns what is known of the order.
func (o *moveOrder) outcome() (moveOutcome, error) {
	select {
	case <-o.done:
	default:
		return moveUncertain, context.DeadlineExceeded
	}

	switch {
	case o.err == nil:
		return moveConfirmed, nil
	case errors.Is(o.err, apricotway.ErrNotSent):
		return moveNotOrdered, o.err
	case errors.Is(o.err, apricotway.ErrRunUnknown):
		return moveRunUnknown, o.err
	default:
		return moveUncertain, o.err
	}
}

// drop gives up the order and the place at its target.
func (o *moveOrder) drop(now time.Time) {
	o.cancel()
	o.target.End(now, dispatch.OutcomeLeft)
}

// moveIfLeaving moves the run to another engine when its engine is leaving: the engine stops within seconds, whatever still runs
// there.
func (c *call) moveIfLeaving(ctx context.Context, current *engineRun, splitter *eventSplitter) {
	if c.relay.mover == nil || current.order != nil || current.noMove || splitter.last == "" || splitter.passedPart || splitter.unnumbered ||
		!c.relay.pool.Leaving(current.send.Backend.ID) || c.deadline.Sub(c.relay.now()) < minMoveRemaining {
		return
	}

	c.recheckOrigin()

	// The KV cache is copied, so the target doesn't prefill the prompt and the request counts as one with a prompt of 1 token.
	target, _, _ := c.relay.pool.Place(c.relay.now(), dispatch.Request{
		Service: c.service, PromptTokens: 1, AnswerTokens: c.metadata.AnswerTokens, Remaining: c.deadline.Sub(c.relay.now()),
		Avoid: []apricotway.BackendServerID{current.send.Backend.ID}, Origin: c.origin,
	})
	if target == nil {
		current.noMove = true
		return
	}

	// Without the end of the move it is not known which server has the stream.
	restart := current.silence.suspend()

	current.order = c.orderMove(ctx, current, target)
	c.orders = append(c.orders, current.order)
	current.order.await(ctx, moveTimeout)

	outcome, err := current.order.outcome()
	if outcome == moveConfirmed {
		c.takeMoved(current, splitter.last)
		return
	}

	// The stream goes on at the source until the engine carries the order out or the run ends, which passRun handles.
	restart()

	c.relay.logger.Info("moving a run to another engine failed", "event", 352, "attempt", c.metadata.Attempt,
		"server", current.send.Backend.ID, "target", target.Backend.ID, "outcome", outcome, "last", splitter.last,
		"closeDelimited", current.closeDelimited, "error", err.Error())
}

// takeMoved gives the run its memory, and the target unless the copy failed, after its engine has confirmed the order.
func (c *call) takeMoved(run *engineRun, last string) {
	run.memory = &run.order.memory
	if run.order.copied {
		run.next = run.order.target
	} else {
		run.order.drop(c.relay.now())
	}

	c.relay.metrics.CallRetried(c.service, reasonMoved)
	c.relay.logger.Info("run moved to another engine", "event", 353, "attempt", c.metadata.Attempt,
		"server", run.send.Backend.ID, "target", run.order.target.Backend.ID, "copied", run.order.copied, "last", last)
}

// dropMove gives up an order to move the run, unless the run continues at its target.
func (c *call) dropMove(run *engineRun) {
	if run.order != nil && run.next == nil {
		run.order.drop(c.relay.now())
	}
}

// mayBeStopped reports whether the run may have ended because of an order to move a run of the call. An order whose outcome is not known
// may stop any run of the call at its engine.
func (c *call) mayBeStopped(run *engineRun) bool {
	return slices.ContainsFunc(c.orders, func(order *moveOrder) bool {
		outcome, _ := order.outcome()

		return outcome == moveUncertain && order.source == run.send.Backend.ID || outcome == moveConfirmed && order == run.order
	})
}

// endUncertain reports whether the end of the run's stream doesn't tell a whole stream from a stopped one. Another process that passes the run
// on doesn't know of the order, so it marks either end as that of a whole stream.
func (c *call) endUncertain(run *engineRun) bool {
	return (run.closeDelimited || run.detour) && c.mayBeStopped(run)
}

// awaitMove waits for the outcome of an order that may have ended the stream of the run, and gives the run its memory if it has.
func (c *call) awaitMove(ctx context.Context, stopped *engineRun, splitter *eventSplitter) {
	if stopped.order == nil || stopped.memory != nil || stopped.silence.fired() || !splitter.continuable() {
		return
	}

	timeout := moveTimeout
	if c.route.Resumable {
		// Another engine can continue the stream without that memory.
		timeout = handoverTimeout
	}

	stopped.order.await(ctx, timeout)

	if outcome, _ := stopped.order.outcome(); outcome == moveConfirmed {
		c.takeMoved(stopped, splitter.last)
	}
}

// continueMoved continues a stopped run at the engine that has its KV cache: the target, or the source when the copy failed or the target
// does not begin to work on it.
func (c *call) continueMoved(ctx context.Context, stopped *engineRun, last string) *engineRun {
	if stopped.next != nil {
		moved, mayHaveRun := c.sendResume(ctx, stopped.next, last, stopped.memory)
		if moved != nil || mayHaveRun {
			return moved
		}
	}

	source := c.relay.pool.PlaceAt(c.relay.now(), stopped.send.Backend.ID, dispatch.Request{
		Service: c.service, PromptTokens: 1, AnswerTokens: c.metadata.AnswerTokens, Origin: c.origin,
	})
	if source == nil {
		return nil
	}

	resumed, _ := c.sendResume(ctx, source, last, stopped.memory)
	if resumed != nil {
		resumed.noMove = true
	}

	return resumed
}
