package rollup

import (
	"context"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/quota"
)

// creditTimeout bounds a request for credit. It is short, since a caller waits for the answer.
const creditTimeout = 150 * time.Millisecond

// CreditRequest asks the holder of the duties, which keeps the buckets of all limits, for the cost of one call.
type CreditRequest struct {
	Node      apricotway.NodeID
	Workspace apricotway.Workspace
	Cost      float64
	// Stated is the limit that the process goes by.
	Stated quota.StatedLimit
	// Resumed is set if the call takes up a stream, so that it gets units before new calls.
	Resumed bool
}

// CreditDecision is the answer to a CreditRequest.
type CreditDecision struct {
	// Holding reports whether the answering process holds the duties and has decided; if not, the rest is empty.
	Holding bool
	// Wait is 0 if the cost was granted; otherwise it is the time after which the bucket may hold that much.
	Wait time.Duration
}

// Take spends the cost of one call from this process's credit. If the credit is too low it asks the holder, and if the holder does
// not answer it spends from this process's even share of the limit. It reports whether the cost was spent; if not, the duration is
// the time after which the caller may try again.
func (r *Rollup) Take(ctx context.Context, workspace apricotway.Workspace, cost float64) (time.Duration, bool) {
	verdict, wait := r.Limiter.Take(time.Now(), workspace, cost)
	if verdict == quota.Ask {
		answer, ok := r.requestCredit(ctx, r.creditRequest(workspace, cost))
		if ok {
			r.Limiter.RecordAnswer(time.Now(), workspace, answer.Wait)
			return answer.Wait, answer.Wait == 0
		}

		verdict, wait = r.Limiter.TakeShare(time.Now(), workspace, cost)
	}

	return wait, verdict == quota.Spent
}

// TakeResumed is like Take, for a call that takes up a stream and whose caller has the given time left. It gets units before new calls, and
// may wait for them a part of that time.
func (r *Rollup) TakeResumed(
	ctx context.Context, workspace apricotway.Workspace, cost float64, remaining time.Duration,
) (time.Duration, bool) {
	resumption := quota.NewResumption(time.Now(), workspace, cost, remaining)
	defer r.Limiter.Leave(resumption)

	for {
		verdict, wait := r.Limiter.Resume(time.Now(), resumption)
		if verdict == quota.Ask {
			request := r.creditRequest(workspace, cost)
			request.Resumed = true

			if answer, ok := r.requestCredit(ctx, request); ok {
				verdict, wait = r.Limiter.RecordResumption(time.Now(), resumption, answer.Wait)
			} else {
				verdict, wait = r.Limiter.ResumeFromShare(time.Now(), resumption)
			}
		}

		if verdict != quota.Wait {
			return wait, verdict == quota.Spent
		}

		if !awaitTurn(ctx, resumption, wait) {
			return wait, false
		}
	}
}

// awaitTurn waits for the given time, or until the call is the first that waits. It reports whether the context has not ended before.
func awaitTurn(ctx context.Context, resumption *quota.Resumption, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()

	select {
	case <-timer.C:
		return true
	case <-resumption.Turn():
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *Rollup) creditRequest(workspace apricotway.Workspace, cost float64) CreditRequest {
	return CreditRequest{Node: r.membership.Self().Node, Workspace: workspace, Cost: cost, Stated: r.Limiter.Stated(workspace)}
}

// Return refunds the cost of a call that did not run.
func (r *Rollup) Return(workspace apricotway.Workspace, cost float64) {
	r.Limiter.Refund(workspace, cost)
}

// requestCredit sends the request to the holder, or decides itself if this process is the holder. It reports whether the holder
// decided.
func (r *Rollup) requestCredit(ctx context.Context, request CreditRequest) (CreditDecision, bool) {
	if _, held := r.duty.Held(); held {
		decision := r.decideCredit(time.Now(), request)
		return decision, decision.Holding
	}

	address, ok := r.holderAddress()
	if !ok {
		return CreditDecision{}, false
	}

	ctx, cancel := context.WithTimeout(ctx, creditTimeout)
	defer cancel()

	verdict, err := apricotway.CallPeer[CreditDecision](ctx, r.peers, address, methodTake, request)
	if err != nil {
		r.logger.V(1).Info("failed to ask the duty holder for credit", "event", 299, "workspace", request.Workspace, "error", err.Error())
		return CreditDecision{}, false
	}

	return verdict, verdict.Holding
}

// decideCredit decides on a request for credit, if this process holds the duties.
func (r *Rollup) decideCredit(now time.Time, request CreditRequest) CreditDecision {
	holder, held := r.duty.Held()
	if !held {
		return CreditDecision{}
	}

	r.mu.Lock()
	defer r.mu.Unlock()

	r.prepare(now, holder.Number)

	var wait time.Duration

	var decided bool

	if request.Resumed {
		wait, decided = r.center.AskResumed(now, request.Node, request.Workspace, request.Stated, request.Cost)
	} else {
		wait, decided = r.center.Ask(now, request.Workspace, request.Stated, request.Cost)
	}

	return CreditDecision{Holding: decided, Wait: wait}
}
