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
		answer, ok := r.requestCredit(ctx, CreditRequest{
			Node: r.membership.Self().Node, Workspace: workspace, Cost: cost, Stated: r.Limiter.Stated(workspace),
		})
		if ok {
			r.Limiter.RecordAnswer(time.Now(), workspace, answer.Wait)
			return answer.Wait, answer.Wait == 0
		}

		verdict, wait = r.Limiter.TakeShare(time.Now(), workspace, cost)
	}

	return wait, verdict == quota.Spent
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

	wait, decided := r.center.Ask(now, request.Workspace, request.Stated, request.Cost)

	return CreditDecision{Holding: decided, Wait: wait}
}
