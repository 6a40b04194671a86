package relay

import (
	"context"
	"net/http"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/dispatch"
)

// sendTo sends the call to the chosen server, and records what the answer states about it. Every send of a call goes through it. It may
// run beside the goroutine of the call.
func (c *call) sendTo(
	ctx context.Context, to *dispatch.Send, metadata apricotway.SendMetadata,
) (*apricotway.ForwardedAnswer, apricotway.AnswerMetadata, error) {
	now := c.relay.now()
	metadata.Workspace, metadata.Server, metadata.Remaining = c.workspaceName(), to.Backend.ID, c.deadline.Sub(now)

	header := c.relay.dialect.ForwardHeader(c.request.Header)
	c.relay.dialect.WriteSend(header, metadata)

	if to.Limited {
		c.relay.metrics.LimitedSend(c.service)
	}

	c.progress.sent(to.Backend.ID, now)

	answer, err := c.relay.upstream.Send(ctx, to.Backend.Address, c.forwardedCall(header))
	if err != nil {
		return nil, apricotway.AnswerMetadata{}, err
	}

	stated := c.relay.dialect.ReadAnswer(answer.Status, answer.Header)

	// Another server sent a misdirected answer.
	misdirected := answer.Status == http.StatusMisdirectedRequest
	if !misdirected {
		c.recordLimit(to, stated.Limit)
	}

	c.recordStatements(to, stated, misdirected)

	return answer, stated, nil
}

// recordLimit records the limit that an answer states, and logs it if it differs from the one known before.
func (c *call) recordLimit(to *dispatch.Send, limit apricotway.RequestLimit) {
	before, changed := to.RecordLimit(c.relay.now(), limit)
	if !changed {
		return
	}

	c.relay.logger.Info("backend server changed the limit on its requests", "event", 354, "server", to.Backend.ID,
		"service", c.service, "statement", limit.Statement, "perSecond", limit.PerSecond, "before", before.PerSecond,
		"attempt", c.metadata.Attempt)
}

// recordStatements records what the server of an answer says of itself, and logs what that changes.
func (c *call) recordStatements(to *dispatch.Send, stated apricotway.AnswerMetadata, misdirected bool) {
	change := to.RecordStatements(c.relay.now(), stated, misdirected)

	if change.Leaving {
		c.relay.logger.Info("backend server says that it is leaving", "event", 366, "server", change.Server, "service", change.Service,
			"source", "answer", "age", change.Age, "attempt", c.metadata.Attempt)
	}

	switch change.Brittle {
	case dispatch.BrittleUnchanged:
	case dispatch.BrittleUnreadable:
		c.relay.logger.Info("ignored a statement of a brittle backend server that can't be read", "event", 386, "server", change.Server,
			"service", change.Service, "attempt", c.metadata.Attempt)
	case dispatch.BrittleBegan, dispatch.BrittleEnded:
		c.relay.logger.Info("backend server changed whether it is brittle", "event", 384, "server", change.Server, "service", change.Service,
			"change", change.Brittle, "rejections", stated.Brittle.Rejections, "age", change.Age, "attempt", c.metadata.Attempt)
	}

	switch change.Pause {
	case dispatch.PauseUnchanged:
	case dispatch.PauseUnreadable:
		c.relay.logger.Info("ignored a pause of a backend server that can't be read", "event", 369, "server", change.Server,
			"service", change.Service, "attempt", c.metadata.Attempt)
	case dispatch.PauseNamed, dispatch.PauseOver:
		c.relay.logger.Info("backend server changed the pause in which it wants no calls", "event", 367, "server", change.Server,
			"service", change.Service, "source", "answer", "change", change.Pause, "age", change.Age, "named", stated.Pause.For,
			"until", change.PausedUntil, "attempt", c.metadata.Attempt)
	}
}
