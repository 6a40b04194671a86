package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() { cases["revoked"] = playRevoked }

// playRevoked checks CONFIG for keys that were taken away: no request with such a key runs that is sent later than revoke_ms after the
// confirmation. The store comes back from a copy from before the confirmation, and a process is killed and started again before the
// operator has written the configuration again; the other processes still know it. Without the disruption the store keeps its records, and
// the process is killed all the same.
func playRevoked(l *lab) (bool, error) {
	const (
		revokeTime = 5 * time.Second
		away       = time.Second
		copyAge    = 9 * time.Second
		// rewriteAfter is the time after the store's return at which the operator writes again what was lost.
		rewriteAfter = time.Second
		newKey       = "another-key-of-tenant-w"
	)

	if err := l.putConfig(fmt.Sprintf(smallConfig, 1)); err != nil {
		return false, err
	}

	for i := range 2 {
		if _, err := l.startEngine(fmt.Sprintf("i-ledger-%d", i+1), "lot-ledger", answerPlain); err != nil {
			return false, fmt.Errorf("%w: %w", errNotRun, err)
		}
	}

	if err := l.startVersion("v1", 2, streamEngine("v1", 5, 20*time.Millisecond)); err != nil {
		return false, err
	}

	if err := l.startEntries(3); err != nil {
		return false, err
	}

	time.Sleep(6 * time.Second)

	ctx := context.Background()
	restarted := l.entries[1]
	request := call{method: http.MethodPost, path: "/release/lot", body: "lot 17"}

	if r := l.send(ctx, restarted.callers, request); r.status != http.StatusOK {
		return false, fmt.Errorf("%w: status %d before the key was taken away", errNotRun, r.status)
	}

	withoutKey := strings.Replace(fmt.Sprintf(smallConfig, 4), key, newKey, 1)
	if err := l.putConfig(withoutKey); err != nil {
		return false, err
	}

	confirmed := time.Now()
	l.logf("the store confirms version 4, which takes the key away")
	time.Sleep(revokeTime)

	if l.trouble {
		l.takeStoreAway()
	}

	time.Sleep(away)

	if l.trouble {
		l.bringStoreBack(copyAge)
	}

	returned := time.Now()

	restarted.kill()

	if err := restarted.start(); err != nil {
		return false, fmt.Errorf("%w: %w", errNotRun, err)
	}

	ran, answers := 0, map[int]int{}
	rewritten := !l.trouble

	for time.Since(returned) < 4*time.Second {
		if !rewritten && time.Since(returned) >= rewriteAfter {
			rewritten = true

			if err := l.putConfig(withoutKey); err != nil {
				return false, err
			}

			l.logf("the operator has written version 4 again")
		}

		sent := time.Now()
		r := l.send(ctx, restarted.callers, request)
		answers[r.status]++

		if l.runs(r.attempt) > 0 && sent.Sub(confirmed) > revokeTime {
			ran++
		}

		time.Sleep(20 * time.Millisecond)
	}

	l.logf("answers by status: %v; %d requests with the key ran that were sent later than %v after its end was confirmed", answers, ran, revokeTime)

	if answers[http.StatusUnauthorized] == 0 {
		return false, fmt.Errorf("%w: the process has never refused the key", errNotRun)
	}

	return ran == 0, nil
}

// runs returns how often the engines have run an attempt.
func (l *lab) runs(attempt string) int {
	runs := 0
	for _, e := range l.engines {
		runs += e.runsOf(attempt)
	}

	return runs
}
