package relay

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/internal/pause"
	"github.com/apricotway/apricotway/state/dispatch"
)

const (
	// moveTimeout bounds the copy of a run's KV cache. One copy is about 0.2 GB at 70 GB/s, but it may have to wait for the copies
	// of other runs.
	moveTimeout = 1200 * time.Millisecond
	// minMoveRemaining is the least time before the deadline with which a run is still moved.
	minMoveRemaining = 100 * time.Millisecond
	// moveInterval is the interval at which an engine is asked for the result of an earlier order that it is carrying out.
	moveInterval = 20 * time.Millisecond
)

// moveOutcome is what is known of a run after an order to move it.
type moveOutcome string

const (
	// moveNotOrdered means that the engine does not have the order.
	moveNotOrdered moveOutcome = "notOrdered"
	// moveRunUnknown means that the engine has no such run.
	moveRunUnknown moveOutcome = "runUnknown"
	// moveUncertain means that the engine may stop the run at any time.
	moveUncertain moveOutcome = "uncertain"
	// moveConfirmed means that the engine has stopped the run.
	moveConfirmed moveOutcome = "confirmed"
)

// outcomeOfMove returns the outcome of a move that failed with an error.
func outcomeOfMove(err error) moveOutcome {
	switch {
	case errors.Is(err, apricotway.ErrNotSent):
		return moveNotOrdered
	case errors.Is(err, apricotway.ErrRunUnknown):
		return moveRunUnknown
	default:
		return moveUncertain
	}
}

// moveIfLeaving moves the run to another engine when its engine is leaving: the engine stops within seconds, whatever still runs
// there.
func (c *call) moveIfLeaving(ctx context.Context, current *engineRun, splitter *eventSplitter) {
	if c.relay.mover == nil || current.memory != nil || current.noMove || splitter.last == "" || splitter.passedPart || splitter.unnumbered ||
		!c.relay.pool.Leaving(current.send.Backend.ID) || c.deadline.Sub(c.relay.now()) < minMoveRemaining {
		return
	}

	c.recheckOrigin()

	target := c.placeMoved(current)
	if target == nil {
		current.noMove = true
		return
	}

	// Without the end of the move it is not known which server has the stream.
	restart := current.silence.suspend()

	switch outcome := c.orderMove(ctx, current, target, splitter.last, moveTimeout); outcome {
	case moveConfirmed:
		return
	case moveUncertain:
		c.uncertainMoves = append(c.uncertainMoves, current.send.Backend.ID)
	case moveNotOrdered, moveRunUnknown:
	}

	// The stream goes on at the source, or ends, which passRun handles.
	current.noMove = true

	restart()
}

// placeMoved places a run that is moved, without its present engine. It returns nil if no other one can take it.
func (c *call) placeMoved(current *engineRun) *dispatch.Send {
	// The KV cache is copied, so the target doesn't prefill the prompt and the request counts as one with a prompt of 1 token.
	target, _, _ := c.relay.pool.Place(c.relay.now(), dispatch.Request{
		Service: c.service, PromptTokens: 1, AnswerTokens: c.metadata.AnswerTokens, Remaining: c.deadline.Sub(c.relay.now()),
		Avoid: []apricotway.BackendServerID{current.send.Backend.ID}, Origin: c.origin,
	})

	return target
}

// orderMove orders the engine of a run to move it to the target. If the engine confirms that, the run has its memory, and the target unless
// the copy failed.
func (c *call) orderMove(
	ctx context.Context, current *engineRun, target *dispatch.Send, last string, timeout time.Duration,
) moveOutcome {
	limited, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()

	memory, copied, err := c.relay.mover.Move(limited, current.send.Backend.Address, c.metadata.Attempt, target.Backend.Address)
	for errors.Is(err, apricotway.ErrMoveInProgress) && pause.For(limited, moveInterval) {
		memory, copied, err = c.relay.mover.Move(limited, current.send.Backend.Address, c.metadata.Attempt, target.Backend.Address)
	}

	if err != nil {
		target.End(c.relay.now(), dispatch.OutcomeLeft)

		outcome := outcomeOfMove(err)
		c.relay.logger.Info("moving a run to another engine failed", "event", 352, "attempt", c.metadata.Attempt,
			"server", current.send.Backend.ID, "target", target.Backend.ID, "outcome", outcome, "last", last,
			"closeDelimited", current.closeDelimited, "error", err.Error())

		return outcome
	}

	current.memory, current.next = &memory, target

	if !copied {
		target.End(c.relay.now(), dispatch.OutcomeLeft)
		current.next = nil
	}

	c.relay.metrics.CallRetried(c.service, reasonMoved)
	c.relay.logger.Info("run moved to another engine", "event", 353, "attempt", c.metadata.Attempt,
		"server", current.send.Backend.ID, "target", target.Backend.ID, "copied", copied, "last", last)

	return moveConfirmed
}

// mayBeStopped reports whether the run may end because of an order to move it whose outcome is not known.
func (c *call) mayBeStopped(run *engineRun) bool {
	return slices.Contains(c.uncertainMoves, run.send.Backend.ID)
}

// endUncertain reports whether the end of the run's stream doesn't tell a whole stream from a stopped one. Another process that passes the run
// on doesn't know of the order, so it marks either end as that of a whole stream.
func (c *call) endUncertain(run *engineRun) bool {
	return (run.closeDelimited || run.detour) && c.mayBeStopped(run)
}

// confirmStop orders the engine of a run that has ended to move it once more: an engine that has stopped the run still has its memory.
func (c *call) confirmStop(ctx context.Context, stopped *engineRun, splitter *eventSplitter) {
	if stopped.detour || !splitter.continuable() || c.relay.detours.Lost() || c.deadline.Sub(c.relay.now()) < minMoveRemaining {
		return
	}

	timeout := moveTimeout
	if c.route.Resumable {
		// Another engine can continue the stream without that memory.
		timeout = handoverTimeout
	}

	target := c.placeMoved(stopped)
	if target == nil {
		return
	}

	c.orderMove(ctx, stopped, target, splitter.last, timeout)
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
