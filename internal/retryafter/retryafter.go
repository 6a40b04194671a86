// Package retryafter reads the Retry-After field of answers by which a server turns a request away.
package retryafter

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway"
)

// Read returns the longest pause that the answer names, if its status is 503.
func Read(status int, header http.Header) apricotway.RequestPause {
	values := header.Values("Retry-After")
	if status != http.StatusServiceUnavailable || len(values) == 0 {
		return apricotway.RequestPause{}
	}

	pause := apricotway.RequestPause{Statement: apricotway.PauseInvalid}

	for _, value := range values {
		if length, ok := parse(value, header.Get("Date")); ok {
			pause.Statement, pause.For = apricotway.PauseStated, max(pause.For, length)
		}
	}

	return pause
}

// parse parses a number of seconds, or a date, which counts from the date of the answer.
func parse(text, date string) (time.Duration, bool) {
	text = strings.TrimSpace(text)

	if end, err := http.ParseTime(text); err == nil {
		if sent, err := http.ParseTime(date); err == nil {
			return max(end.Sub(sent), 0), true
		}

		return max(time.Until(end), 0), true
	}

	seconds, err := strconv.ParseFloat(text, 64)
	tooLarge := errors.Is(err, strconv.ErrRange) && math.IsInf(seconds, 1)

	if err != nil && !tooLarge || err == nil && math.IsInf(seconds, 0) || math.IsNaN(seconds) || seconds < 0 {
		return 0, false
	}

	if seconds >= math.MaxInt64/float64(time.Second) {
		return math.MaxInt64, true
	}

	return time.Duration(seconds * float64(time.Second)), true
}
