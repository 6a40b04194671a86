package relay

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway"
)

// retryAfterStopping is the Retry-After of calls that this process can't finish. Others can take them at once.
const retryAfterStopping = 10 * time.Millisecond

// aborted reports whether the call ends because its process stops.
func (c *call) aborted() bool {
	return errors.Is(context.Cause(c.request.Context()), apricotway.ErrStopping)
}
