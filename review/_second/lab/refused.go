package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() { cases["refused"] = playRefused }

// playRefused checks REFUSED: a request that isn't idempotent and has run is not answered 503. Engines in trouble run the request and answer
// 503 without Apricotway-Not-Executed. The bodies of these answers are long, or never end. Without the disruption they are short.
func playRefused(l *lab) (bool, error) {
	const (
		requests = 6
		long     = 2 << 20
	)

	chunk := strings.Repeat("the disk of this server is full\n", 1024)

	if err := l.putConfig(fmt.Sprintf(smallConfig, 1)); err != nil {
		return false, err
	}

	inTrouble := func(x *exchange) bool {
		x.engine.ran(x)

		switch {
		case !l.trouble:
			return x.head("503 Service Unavailable", "Content-Type: text/plain", "Content-Length: 5") == nil && x.writef("full\n") == nil
		case strings.HasPrefix(x.request.URL.Path, "/release/long"):
			if x.head("503 Service Unavailable", "Content-Type: text/plain", fmt.Sprintf("Content-Length: %d", long)) != nil {
				return false
			}

			for sent := 0; sent < long; sent += len(chunk) {
				if x.writef("%s", chunk) != nil {
					return false
				}
			}

			return true
		default:
			// Without a length and without an end, until the caller closes.
			err := x.head("503 Service Unavailable", "Content-Type: text/plain")
			for err == nil {
				err = x.writef("%s", chunk)
				time.Sleep(10 * time.Millisecond)
			}

			return false
		}
	}

	for i := range 2 {
		if _, err := l.startEngine(fmt.Sprintf("i-ledger-%d", i+1), "lot-ledger", inTrouble); err != nil {
			return false, fmt.Errorf("%w: %w", errNotRun, err)
		}
	}

	if err := l.startVersion("v1", 2, streamEngine("v1", 5, 20*time.Millisecond)); err != nil {
		return false, err
	}

	if err := l.startEntries(2); err != nil {
		return false, err
	}

	time.Sleep(2 * time.Second)

	refused := 0

	for i := range requests {
		path := "/release/long"
		if i%2 == 1 {
			path = "/release/endless"
		}

		r := l.send(context.Background(), l.entries[i%2].callers, call{method: http.MethodPost, path: path, body: "lot 17", deadline: 3 * time.Second})
		if runs := l.runs(r.attempt); runs > 0 && (r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests) {
			refused++

			l.logf("%s has run %d times and was answered %d", r.attempt, runs, r.status)
		}
	}

	l.logf("%d of %d bookings that have run were answered as not run", refused, requests)

	return refused == 0, nil
}
