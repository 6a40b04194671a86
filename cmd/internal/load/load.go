// Package load is an open-loop HTTP load generator: it starts requests at a fixed rate, however slow the server answers.
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

// The range of the histograms in microseconds and their precision in decimal digits.
const (
	minMicros         = 1
	maxMicros         = 10 * 60 * 1000 * 1000
	significantDigits = 3
)

// Plan holds the request that a run repeats and its rate.
type Plan struct {
	Method string
	URL    string
	Token  string
	Body   string
	// Rate is the number of requests started per second, whether or not earlier ones have finished.
	Rate     int
	Duration time.Duration
	// MaxInFlight bounds the memory of a run when the server hangs. Requests beyond it are not sent and count as failed.
	MaxInFlight int
}

// Result holds the measurements of a run. Latencies count from the time at which a request was due, so that they include the
// waiting that a slow server causes (no coordinated omission).
type Result struct {
	Sent     int   `json:"sent"`
	Failed   int   `json:"failed"`
	Bytes    int64 `json:"bytes"`
	Duration time.Duration
	// FirstByte and Whole are the latencies of the first byte and of the whole response body, in microseconds.
	FirstByte *hdrhistogram.Histogram
	Whole     *hdrhistogram.Histogram
}

var errStatus = errors.New("server responded with an error status (400 or above)")

// Run sends the requests of the plan and waits for those that were started. It stops early when the context ends.
func Run(ctx context.Context, plan Plan) Result {
	result := Result{
		FirstByte: hdrhistogram.New(minMicros, maxMicros, significantDigits),
		Whole:     hdrhistogram.New(minMicros, maxMicros, significantDigits),
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

			firstByte, size, err := sendRequest(ctx, transport, plan)
			whole := time.Since(intended)

			mu.Lock()
			defer mu.Unlock()

			if err != nil {
				result.Failed++
				return
			}

			result.Bytes += size
			// Values above the histogram's range are recorded as its maximum.
			_ = result.FirstByte.RecordValue(min(firstByte.Sub(intended).Microseconds(), maxMicros))
			_ = result.Whole.RecordValue(min(whole.Microseconds(), maxMicros))
		})
	}

	group.Wait()
	result.Duration = time.Since(begin)

	return result
}

// sendRequest sends one request. It returns the arrival time of the first byte of the response body and the body's size.
func sendRequest(ctx context.Context, transport http.RoundTripper, plan Plan) (time.Time, int64, error) {
	request, err := http.NewRequestWithContext(ctx, plan.Method, plan.URL, strings.NewReader(plan.Body))
	if err != nil {
		return time.Time{}, 0, errors.Wrap(err, "create request")
	}

	request.Header.Set("Authorization", "Bearer "+plan.Token)

	response, err := transport.RoundTrip(request)
	if err != nil {
		return time.Time{}, 0, errors.Wrap(err, "send request")
	}
	defer response.Body.Close()

	var firstByte [1]byte
	if _, err := io.ReadFull(response.Body, firstByte[:]); err != nil {
		return time.Time{}, 0, errors.Wrap(err, "read first byte of response")
	}

	firstByteTime := time.Now()

	size, err := io.Copy(io.Discard, response.Body)
	if err != nil {
		return time.Time{}, 0, errors.Wrap(err, "read response")
	}

	if response.StatusCode >= http.StatusBadRequest {
		return time.Time{}, 0, errStatus
	}

	return firstByteTime, size + 1, nil
}
