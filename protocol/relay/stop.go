package relay

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/duration"
)

const (
	// durationWindow is the time for which the longest duration of a route's calls is kept.
	durationWindow = 10 * time.Second
	// unknownDuration is the assumed duration of a call of a route of which no call has ended recently.
	unknownDuration = 4 * time.Second
	// durationMargin times the longest duration is the time that a call is given to end before the process stops, besides the time for which
	// its server may be silent.
	durationMargin = 1.25
	// longestSilence is the time for which a sound server may send nothing.
	longestSilence = 1500 * time.Millisecond
	// retryAfterStopping is the Retry-After of calls that this process can't finish. Others can take them at once.
	retryAfterStopping = 10 * time.Millisecond
)

// outlastsStop reports whether the process stops before the call is sure to end, even if its server falls silent once. A call whose server
// stays silent ends at another one, which begins when the silent one has been given up.
func (c *call) outlastsStop(now time.Time) bool {
	limit, stopping := c.relay.stop()
	if !stopping || !c.deadline.After(limit) {
		return false
	}

	longest, known := c.relay.durations.Longest(now, c.route.Name, c.answerSize(), c.relay.runningSamples(now, c))
	if !known {
		longest = unknownDuration
	}

	estimate := scale(longest, durationMargin) + max(longestSilence, c.silenceTimeout())
	c.progress.estimated(estimate)

	return now.Add(estimate).After(limit)
}

// answerSize returns the number of tokens by which the duration of the answer is estimated; 0 for calls that are not streamed.
func (c *call) answerSize() int {
	if c.route.Kind != apricotway.RouteStream || !c.metadata.HasTokens {
		return 0
	}

	return max(c.metadata.AnswerTokens, 1)
}

// recordDuration adds the call, which was answered, to the durations of its route.
func (c *call) recordDuration(now time.Time) {
	if sample, route := c.progress.sample(now); route != "" {
		c.relay.durations.Record(now, route, sample)
	}
}

// runningSamples returns how long the calls in flight of the call's route have taken.
func (r *Relay) runningSamples(now time.Time, c *call) []duration.Sample {
	r.inFlight.mu.Lock()
	defer r.inFlight.mu.Unlock()

	var samples []duration.Sample

	for other := range r.inFlight.calls {
		if sample, route := other.progress.sample(now); other != c && route == c.route.Name {
			samples = append(samples, sample)
		}
	}

	return samples
}

// closeIfStopping makes the answer close the connection if the process is stopping, so that the caller does not reuse it.
func (c *call) closeIfStopping() {
	if _, stopping := c.relay.stop(); stopping {
		c.closeConnection()
	}
}

// closeConnection makes the answer close the caller's connection, and withdraws how long the caller could have used it again.
func (c *call) closeConnection() {
	header := c.writer.Header()
	header.Set("Connection", "close")
	header.Del("Keep-Alive")
}

// aborted reports whether the context of a call has ended because its process stops.
func aborted(ctx context.Context) bool { return errors.Is(context.Cause(ctx), apricotway.ErrStopping) }
