package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/dispatch"
	"github.com/apricotway/apricotway/state/fairshare"
)

const (
	// reasonOverShare is that of a call that its workspace's share of an overloaded service does not cover.
	reasonOverShare = "overShare"
	// reasonOverloaded is that of a call that found only servers which had just rejected calls.
	reasonOverloaded = "overloaded"
)

// WithGate sets what admits the calls to services that get more calls than they can serve. Without it all calls are admitted.
func WithGate(gate *fairshare.Gate) Option { return func(r *Relay) { r.gate = gate } }

// shared reports whether the call takes part in the sharing of its service's throughput: it goes to a plain service that is not brittle.
func (c *call) shared() bool {
	if c.relay.gate == nil || c.metadata.HasTokens || c.route.Kind == apricotway.RouteStream {
		return false
	}

	// Calls without tokens to a model service compete with others that are not counted.
	if rule := c.table.Service(c.service); rule != nil && rule.Slots > 0 {
		return false
	}

	return !c.relay.pool.Brittle(c.relay.now(), c.service)
}

// class returns the class of the call.
func (c *call) class() fairshare.Class {
	return fairshare.Class{Service: c.service, Workspace: c.workspaceName(), Rank: c.rank()}
}

// admitShare returns the refusal of a call that its workspace's share does not cover, else nil.
func (c *call) admitShare() *refusal {
	if !c.shared() {
		return nil
	}

	now := c.relay.now()

	wait, admitted := c.relay.gate.Admit(now, c.class(), c.route.Objective, c.deadline.Sub(now))
	if admitted {
		return nil
	}

	return &refusal{
		status: http.StatusServiceUnavailable, reason: reasonOverShare, retryAfter: wait,
		message: "the service is overloaded, and the workspace has used its share",
	}
}

// recordShare records the answer of a server for the sharing of its service's throughput.
func (c *call) recordShare(send *dispatch.Send, sent sentCall) {
	if sent.err != nil || sent.answer.Status == http.StatusMisdirectedRequest || !c.shared() {
		return
	}

	now := c.relay.now()
	if sent.metadata.NotRun {
		c.relay.gate.RecordRejected(now, c.service, send.Backend.ID, c.route.Objective)
	} else {
		c.relay.gate.RecordEnded(c.service, send.Backend.ID, now.Sub(sent.at), sent.metadata.Load)
	}
}

// placeShared places the call on a server that has not just rejected a call. If all have, the call waits in order of rank and arrival until
// one may have room, as long as it can still be answered within its objective.
func (c *call) placeShared(ctx context.Context, request dispatch.Request) (*dispatch.Send, dispatch.RefusalReason, time.Duration) {
	if !c.shared() {
		return c.place(ctx, request)
	}

	gate := c.relay.gate
	avoid := request.Avoid
	request.Spread = gate.Spread(c.relay.now(), c.service)

	var room time.Duration

	if request.Avoid, room = gate.Shedding(c.relay.now(), c.service, avoid); room == 0 && !gate.Waiting(c.service) {
		return c.place(ctx, request)
	}

	longest := c.route.Objective
	if timeout := c.deadline.Sub(c.arrived); longest <= 0 || longest > timeout {
		longest = timeout
	}

	until := c.arrived.Add(scale(longest, holdShare))
	waiter := gate.Join(c.service, c.rank(), c.arrived)

	defer gate.Leave(waiter)

	for held := false; ; held = true {
		now := c.relay.now()
		rest := until.Sub(now)

		request.Avoid, room = gate.Shedding(now, c.service, avoid)

		if gate.First(waiter) {
			request.Again, request.Remaining = request.Again || held, c.deadline.Sub(now)

			send, why, wait := c.place(ctx, request)
			if send != nil || room == 0 || why != dispatch.RefusedNoServer {
				c.countHeld(held, send != nil)
				return send, why, wait
			}
		} else {
			// The call that leaves tells the next one.
			room = rest
		}

		if rest <= 0 || !waitTurn(ctx, waiter, min(room, rest)) {
			c.countHeld(held, false)
			return nil, reasonOverloaded, gate.RetryAfter(c.class(), room, c.deadline.Sub(now))
		}
	}
}

func (c *call) countHeld(held, sent bool) {
	if held {
		c.relay.metrics.CallHeld(c.service, sent)
	}
}

// waitTurn waits until the call may be the first that waits or the time has passed. It returns false when the context is done.
func waitTurn(ctx context.Context, waiter *fairshare.Waiter, longest time.Duration) bool {
	timer := time.NewTimer(longest)
	defer timer.Stop()

	select {
	case <-waiter.Turn():
		return true
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
