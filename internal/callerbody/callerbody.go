// Package callerbody reads the bodies of callers' requests within the memory budget of the process.
package callerbody

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"

	"github.com/apricotway/apricotway/internal/pause"
	"github.com/apricotway/apricotway/state/bodybudget"
)

const (
	// firstUnknown is the first buffer in bytes for a body of unknown length, and firstKnown the largest first one of a known length. Most
	// bodies have up to 12 KB.
	firstUnknown = 4 << 10
	firstKnown   = 16 << 10
	// waitLimit is the longest time that a body waits for room. Slow bodies are ended after half a second.
	waitLimit = time.Second
	// waitStep is the interval at which a body that waits asks again.
	waitStep = 20 * time.Millisecond
	// leastRetryAfter is the least Retry-After of a body that found no room: half-sent bodies are ended in that time.
	leastRetryAfter = time.Second
)

// past is a deadline that has passed.
var past = time.Unix(1, 0)

var (
	// ErrTooLarge reports a body over the limit.
	ErrTooLarge = errors.New("body too large")
	// ErrNoRoom reports a body for which other bodies leave no memory.
	ErrNoRoom = errors.New("no memory for the body")
	// ErrSlow reports a half-sent body that was ended as it arrived slowly while others needed its memory or connection.
	ErrSlow = errors.New("body ended as it arrived slowly")
)

// Open adds the body of a request to the budget.
func Open(budget *bodybudget.Budget, w http.ResponseWriter, now time.Time, limit int64) *bodybudget.Body {
	controller := http.NewResponseController(w)

	// A writer that doesn't support deadlines, as in tests, can't end its body.
	return budget.Open(now, limit, func() { _ = controller.SetReadDeadline(past) })
}

// Read reads the whole body of a request, of at most limit bytes. An announced length below 0 means that it is unknown. The memory stays
// with the body until its release.
func Read(ctx context.Context, body *bodybudget.Body, reader io.Reader, announced, limit int64, now func() time.Time) ([]byte, error) {
	// The buffer has a byte more than the body, for the read that finds its end or that it is too large.
	most, size := limit+1, int64(firstUnknown)
	if announced >= 0 {
		most = min(announced, limit) + 1
		size = min(most, firstKnown)
	}

	var content []byte

	for {
		if len(content) == cap(content) {
			size = min(size, most)
			if size <= int64(len(content)) {
				return nil, ErrTooLarge
			}

			if err := take(ctx, body, size, now); err != nil {
				return nil, err
			}

			content = append(make([]byte, 0, size), content...)
			content = content[:len(content):size]
			size *= 2
		}

		n, err := reader.Read(content[len(content):cap(content)])
		content = content[:len(content)+n]
		body.Arrived(now(), n, errors.Is(err, io.EOF))

		switch {
		case int64(len(content)) > limit:
			return nil, ErrTooLarge
		case err != nil && body.Ended():
			// Even if the end of the body has arrived, the HTTP server may have met the deadline after it and ended the request.
			return nil, ErrSlow
		case errors.Is(err, io.EOF):
			return content, nil
		case err != nil:
			return nil, err
		}
	}
}

// take waits until a buffer of a number of bytes may be allocated.
func take(ctx context.Context, body *bodybudget.Body, size int64, now func() time.Time) error {
	for begin := now(); ; {
		at := now()
		if body.Take(at, size) == bodybudget.Granted {
			return nil
		}

		if at.Sub(begin) >= waitLimit || !pause.For(ctx, waitStep) {
			return ErrNoRoom
		}
	}
}

// LogRefusal logs that a body was refused for lack of memory or ended as it was slow.
func LogRefusal(logger logr.Logger, err error, budget *bodybudget.Budget, r *http.Request, attempt string) {
	taken, total := budget.Usage()

	switch {
	case errors.Is(err, ErrNoRoom):
		logger.Info("refused a body for lack of memory", "event", 410, "attempt", attempt, "taken", taken, "total", total,
			"announced", r.ContentLength)
	case errors.Is(err, ErrSlow):
		logger.Info("ended a half-sent body that arrived slowly", "event", 411, "attempt", attempt, "taken", taken, "total", total,
			"announced", r.ContentLength)
	}
}

// RetryAfter returns the Retry-After of a body that found no room. It is random, so that callers don't come back at once.
func RetryAfter() time.Duration { return leastRetryAfter + rand.N(leastRetryAfter) }
