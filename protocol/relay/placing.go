package relay

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/internal/pause"
	"github.com/apricotway/apricotway/state/dispatch"
	"github.com/apricotway/apricotway/state/route"
)

// chooseService chooses the service of the call. A stream that its caller takes up stays at the service that began it if the route still
// leads there.
func (c *call) chooseService(ctx context.Context) {
	c.service = route.Target(c.route, rand.Float64())

	if !c.route.Resumable || c.metadata.LastEvent == "" && c.metadata.Resumes == "" {
		return
	}

	c.origin = c.relay.origins.Find(ctx, c.service, c.metadata.Resumes)

	if slices.ContainsFunc(c.route.Targets, func(t apricotway.RouteTarget) bool { return t.Service == c.origin.Service() }) {
		c.service = c.origin.Service()
	}
}

// stream returns the attempt that began the stream of the call.
func (c *call) stream() apricotway.AttemptID { return cmp.Or(c.metadata.Resumes, c.metadata.Attempt) }

// recheckOrigin takes a doubt over that came after the stream began: its server may have started again at another version before that.
func (c *call) recheckOrigin() {
	if recorded, ok := c.relay.origins.Recorded(c.stream()); ok {
		c.origin = recorded
	}
}

// chooseServer chooses the next server, or returns the refusal of a call that no server can take.
func (c *call) chooseServer(ctx context.Context) (*dispatch.Send, *refusal) {
	now := c.relay.now()

	remaining := c.deadline.Sub(now)
	if remaining < minRemaining {
		return nil, &refusal{
			status: http.StatusServiceUnavailable, reason: reasonNoTime, retryAfter: retryAfterUnavailable,
			message: "the time is used up",
		}
	}

	if c.sends == 0 && c.outlastsStop(now) {
		return nil, &refusal{
			status: http.StatusServiceUnavailable, reason: reasonStopping, retryAfter: retryAfterStopping,
			message: "the process is stopping and can't finish the call; use another address",
		}
	}

	request := c.placement(c.tried)
	request.Remaining = remaining

	// The first event of a stream that has begun is not late any more.
	if c.sends == 0 && !c.origin.Begun() {
		request.Objective = c.route.Objective
	}

	send, why, wait := c.placeShared(ctx, request)
	if send == nil && why != dispatch.RefusedBrittle && why != reasonOverloaded && len(c.tried) > 0 {
		// No untried server can take the call, so the tried ones may get it again.
		request.Avoid = c.turnedAway
		send, why, wait = c.placeShared(ctx, request)
	}

	if why == dispatch.RefusedOrigin {
		return nil, c.refusalOfOrigin()
	}

	if send == nil {
		return nil, &refusal{
			status: http.StatusServiceUnavailable, reason: string(why), retryAfter: wait,
			message: "no backend server can take the call in time",
		}
	}

	return send, nil
}

const (
	// holdPeriod is the time between two tries to place a call that is held, and holdShare the share of its objective, or of its time if it
	// has none, for which it is held: it can still be answered in time then.
	holdPeriod = 20 * time.Millisecond
	holdShare  = 0.4
)

// place places the call on a server. While the servers are brittle and have no room for this process, it holds the call.
func (c *call) place(ctx context.Context, request dispatch.Request) (*dispatch.Send, dispatch.RefusalReason, time.Duration) {
	began := c.relay.now()

	longest := c.route.Objective
	if longest <= 0 || longest > request.Remaining {
		longest = request.Remaining
	}

	until := began.Add(scale(longest, holdShare))

	for held := false; ; held = true {
		now := c.relay.now()
		request.Remaining = c.deadline.Sub(now)

		request.Again = held

		send, why, wait := c.relay.pool.Place(now, request)
		if held && (send != nil || why != dispatch.RefusedBrittle || !now.Before(until)) {
			c.relay.metrics.CallHeld(c.service, send != nil)
		}

		if why != dispatch.RefusedBrittle || !now.Before(until) || !pause.For(ctx, holdPeriod) {
			return send, why, wait
		}
	}
}

// retryAfterOrigin is the Retry-After of a stream while no server of its version is there. A crashed server is back after some seconds.
const retryAfterOrigin = time.Second

// retryAfterOutdated is the Retry-After of a stream whose origin other processes can tell at once.
const retryAfterOutdated = 10 * time.Millisecond

// refusalOfOrigin returns the refusal of a stream that no server may continue.
func (c *call) refusalOfOrigin() *refusal {
	if c.origin.IsOutdated() {
		return &refusal{
			status: http.StatusServiceUnavailable, reason: "originOutdated", retryAfter: retryAfterOutdated,
			message: "this process can't tell at present which software version began the stream; use another address",
		}
	}

	if !c.origin.Known() {
		return &refusal{
			status: http.StatusServiceUnavailable, reason: "originUnknown",
			message: "the software version that began the stream is not known; begin the stream again without the events received",
		}
	}

	return &refusal{
		status: http.StatusServiceUnavailable, reason: string(dispatch.RefusedOrigin), retryAfter: retryAfterOrigin,
		message: "no backend server of the software version that began the stream is there; begin the stream again or retry later",
	}
}

// placement returns the request for a server other than those to avoid.
func (c *call) placement(avoid []apricotway.BackendServerID) dispatch.Request {
	request := dispatch.Request{
		Service: c.service, Avoid: avoid, Once: !c.route.Repeatable(), Parts: c.metadata.Parts, Origin: c.origin,
		Route: c.route.Name, Repeated: len(c.tried) > 0,
	}
	if c.metadata.HasTokens {
		request.PromptTokens, request.AnswerTokens = c.metadata.PromptTokens, c.metadata.AnswerTokens
	}

	return request
}
