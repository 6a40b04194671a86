package rollup

import (
	"context"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/quota"
)

// askTime bounds a question to the center: a caller waits for the answer.
const askTime = 150 * time.Millisecond

// Question asks the center for the cost of one call.
type Question struct {
	Node      apricotway.NodeID
	Workspace apricotway.Workspace
	Cost      float64
}

// Verdict is the center's answer.
type Verdict struct {
	// Holding tells whether the process is the center; otherwise the rest is empty.
	Holding bool
	// Wait is 0 when the cost was handed out, and else the time after which it may be there.
	Wait time.Duration
}

// Take spends the cost of one call from the credit of this process, or asks the center. When the center does not answer, the
// even share of the process decides.
func (r *Rollup) Take(ctx context.Context, workspace apricotway.Workspace, cost float64) (time.Duration, bool) {
	verdict, wait := r.Limiter.Take(time.Now(), workspace, cost)
	if verdict == quota.Ask {
		answer, ok := r.ask(ctx, Question{Node: r.membership.Self().Node, Workspace: workspace, Cost: cost})
		if ok {
			r.Limiter.Answered(time.Now(), workspace, answer.Wait)
			return answer.Wait, answer.Wait == 0
		}

		verdict, wait = r.Limiter.TakeShare(time.Now(), workspace, cost)
	}

	return wait, verdict == quota.Spent
}

// Return gives back the cost of a call that did not run.
func (r *Rollup) Return(workspace apricotway.Workspace, cost float64) {
	r.Limiter.Return(workspace, cost)
}

func (r *Rollup) ask(ctx context.Context, question Question) (Verdict, bool) {
	if _, held := r.duty.Held(); held {
		return r.answer(time.Now(), question), true
	}

	address, ok := r.holderAddress()
	if !ok {
		return Verdict{}, false
	}

	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()

	verdict, err := apricotway.CallPeer[Verdict](ctx, r.peers, address, methodTake, question)
	if err != nil {
		r.logger.V(1).Info("question about a limit failed", "event", 299, "workspace", question.Workspace, "error", err.Error())
		return Verdict{}, false
	}

	return verdict, verdict.Holding
}

// answer decides about the cost of one call as the center.
func (r *Rollup) answer(now time.Time, question Question) Verdict {
	holder, held := r.duty.Held()
	if !held {
		return Verdict{}
	}

	r.mu.Lock()
	defer r.mu.Unlock()

	r.prepare(now, holder.Number)

	return Verdict{Holding: true, Wait: r.center.Ask(now, question.Workspace, question.Cost)}
}
