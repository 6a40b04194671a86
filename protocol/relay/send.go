package relay

import (
	"context"
	"net/http"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/dispatch"
)

// send sends the call to the chosen server, and records the limit that the answer states. Every send of a call goes through it.
func (c *call) send(
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

	answer, err := c.relay.upstream.Send(ctx, to.Backend.Address, c.forwardedCall(header, to))
	if err != nil {
		return nil, apricotway.AnswerMetadata{}, err
	}

	stated := c.relay.dialect.ReadAnswer(answer.Status, answer.Header)

	// Another server sent a misdirected answer.
	if answer.Status != http.StatusMisdirectedRequest {
		c.recordLimit(to, stated.Limit)
	}

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
