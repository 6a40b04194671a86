// Package load drives an HTTP address with an open loop of requests.
package load

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway/internal/pause"
)

// The bounds of the histograms in microseconds, and their precision.
const (
	lowest      = 1
	highest     = 10 * 60 * 1000 * 1000
	significant = 3
)

// Plan describes one run.
type Plan struct {
	Method string
	URL    string
	Token  string
	Body   string
	// Rate is the number of requests that are started in a second, whether earlier ones have ended or not.
	Rate     int
	Duration time.Duration
	// MaxInFlight bounds the memory of a run against a server that hangs; requests over it count as failed.
	MaxInFlight int
}

// Result is what a run gave. Times count from the intended start of a request, so that a slow server cannot hide waiting.
type Result struct {
	Sent     int   `json:"sent"`
	Failed   int   `json:"failed"`
	Bytes    int64 `json:"bytes"`
	Duration time.Duration
	// FirstByte and Whole are in microseconds.
	FirstByte *hdrhistogram.Histogram
	Whole     *hdrhistogram.Histogram
}

// errStatus reports an answer with an error status.
var errStatus = errors.New("error status")

// Run runs the plan.
func Run(ctx context.Context, plan Plan) Result {
	result := Result{
		FirstByte: hdrhistogram.New(lowest, highest, significant),
		Whole:     hdrhistogram.New(lowest, highest, significant),
	}
	transport := &http.Transport{MaxIdleConnsPerHost: plan.MaxInFlight, DisableCompression: true}
	slots := make(chan struct{}, plan.MaxInFlight)

	var (
		group sync.WaitGroup
		mu    sync.Mutex
	)

	begin := time.Now()
	count := int(plan.Duration.Seconds() * float64(plan.Rate))

	for i := range count {
		intended := begin.Add(time.Duration(i) * time.Second / time.Duration(plan.Rate))
		if !pause.For(ctx, time.Until(intended)) {
			break
		}

		result.Sent++

		select {
		case slots <- struct{}{}:
		default:
			mu.Lock()
			result.Failed++
			mu.Unlock()

			continue
		}

		group.Go(func() {
			defer func() { <-slots }()

			first, size, err := one(ctx, transport, plan)
			whole := time.Since(intended)

			mu.Lock()
			defer mu.Unlock()

			if err != nil {
				result.Failed++
				return
			}

			result.Bytes += size
			// A value over the bound is recorded as the bound.
			_ = result.FirstByte.RecordValue(min(first.Sub(intended).Microseconds(), highest))
			_ = result.Whole.RecordValue(min(whole.Microseconds(), highest))
		})
	}

	group.Wait()
	result.Duration = time.Since(begin)

	return result
}

// one sends one request and returns the time of the first byte of the answer's body and the size of the body.
func one(ctx context.Context, transport http.RoundTripper, plan Plan) (time.Time, int64, error) {
	request, err := http.NewRequestWithContext(ctx, plan.Method, plan.URL, strings.NewReader(plan.Body))
	if err != nil {
		return time.Time{}, 0, errors.Wrap(err, "create request")
	}

	request.Header.Set("Authorization", "Bearer "+plan.Token)

	answer, err := transport.RoundTrip(request)
	if err != nil {
		return time.Time{}, 0, errors.Wrap(err, "send request")
	}
	defer answer.Body.Close()

	var start [1]byte
	if _, err := io.ReadFull(answer.Body, start[:]); err != nil {
		return time.Time{}, 0, errors.Wrap(err, "read answer")
	}

	first := time.Now()

	size, err := io.Copy(io.Discard, answer.Body)
	if err != nil {
		return time.Time{}, 0, errors.Wrap(err, "read answer")
	}

	if answer.StatusCode >= http.StatusBadRequest {
		return time.Time{}, 0, errStatus
	}

	return first, size + 1, nil
}
