package relay

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/dispatch"
)

const (
	// moveTimeout bounds the copy of a run's KV cache. One copy is about 0.2 GB at 70 GB/s, but it may have to wait for the copies
	// of other runs.
	moveTimeout = 1200 * time.Millisecond
	// minMoveRemaining is the least time before the deadline with which a run is still moved.
	minMoveRemaining = 100 * time.Millisecond
)

// moveOutcome is what is known of a run whose move has failed.
type moveOutcome string

const (
	// moveNotOrdered means that the engine does not have the order.
	moveNotOrdered moveOutcome = "notOrdered"
	// moveRunUnknown means that the engine has no such run.
	moveRunUnknown moveOutcome = "runUnknown"
	// moveUncertain means that the engine may stop the run at any time.
	moveUncertain moveOutcome = "uncertain"
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

	// The KV cache is copied, so the target doesn't prefill the prompt and the request counts as one with a prompt of 1 token.
	target, _, _ := c.relay.pool.Place(c.relay.now(), dispatch.Request{
		Service: c.service, PromptTokens: 1, AnswerTokens: c.metadata.AnswerTokens, Remaining: c.deadline.Sub(c.relay.now()),
		Avoid: []apricotway.BackendServerID{current.send.Backend.ID}, Origin: c.origin,
	})
	if target == nil {
		current.noMove = true
		return
	}

	limited, cancel := context.WithTimeout(ctx, moveTimeout)
	defer cancel()

	// Without the end of the move it is not known which server has the stream.
	restart := current.silence.suspend()

	memory, copied, err := c.relay.mover.Move(limited, current.send.Backend.Address, c.metadata.Attempt, target.Backend.Address)
	if err != nil {
		target.End(c.relay.now(), dispatch.OutcomeLeft)
		restart()

		// When the engine doesn't know the run, the run has ended. After any other error the stream either continues at the source
		// or breaks off, which passRun handles.
		current.noMove = true

		c.relay.logger.Info("moving a run to another engine failed", "event", 352, "attempt", c.metadata.Attempt,
			"server", current.send.Backend.ID, "target", target.Backend.ID, "outcome", outcomeOfMove(err), "last", splitter.last,
			"closeDelimited", current.closeDelimited, "error", err.Error())

		return
	}

	current.memory, current.next = &memory, target

	if !copied {
		target.End(c.relay.now(), dispatch.OutcomeLeft)
		current.next = nil
	}

	c.relay.metrics.CallRetried(c.service, reasonMoved)
	c.relay.logger.Info("run moved to another engine", "event", 353, "attempt", c.metadata.Attempt,
		"server", current.send.Backend.ID, "target", target.Backend.ID, "copied", copied, "last", splitter.last)
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
