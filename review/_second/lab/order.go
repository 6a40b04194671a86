package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

func init() { cases["order"] = playOrder }

// playOrder checks ORDER: no more than two streams may hold events of engines of two software versions. A power loss ends all processes
// and takes the store away for a second; the store comes back from a copy that is a few seconds old. Without the disruption the store
// keeps its records.
func playOrder(l *lab) (bool, error) {
	const (
		events = 100
		gap    = 60 * time.Millisecond
		// allowed is the number of streams of two versions that the rule allows.
		allowed = 2
		clients = 30
		// copyAge is the age of the copy from which the store comes back: "some seconds old".
		copyAge = 5 * time.Second
		away    = time.Second
		// startDelay is the time after which an ended process is started again.
		startDelay = 400 * time.Millisecond
	)

	if err := l.putConfig(fmt.Sprintf(smallConfig, 1)); err != nil {
		return false, err
	}

	if err := l.startVersion("v1", 2, streamEngine("v1", events, gap)); err != nil {
		return false, err
	}

	if err := l.startEntries(3); err != nil {
		return false, err
	}

	time.Sleep(6 * time.Second)

	if err := l.startVersion("v2", 2, streamEngine("v2", events, gap)); err != nil {
		return false, err
	}

	l.logf("engines of version v2 are ready beside those of v1")
	time.Sleep(1200 * time.Millisecond)

	var group sync.WaitGroup

	streams := make([]*stream, clients)
	for i := range streams {
		s := &stream{}
		streams[i] = s
		first := l.entries[i%len(l.entries)].callers

		group.Go(func() { l.useStream(s, first, "/note/x", events, time.Second) })
	}

	time.Sleep(1500 * time.Millisecond)
	l.logf("all processes lose power")

	for _, e := range l.entries {
		e.kill()
	}

	if l.trouble {
		l.takeStoreAway()
	}

	time.Sleep(startDelay)

	for _, e := range l.entries {
		if err := e.start(); err != nil {
			return false, fmt.Errorf("%w: %w", errNotRun, err)
		}
	}

	time.Sleep(away - startDelay)

	if l.trouble {
		l.bringStoreBack(copyAge)
	}

	group.Wait()

	mixed, complete, takenUp := 0, 0, 0

	for _, s := range streams {
		if len(s.versions) > 1 {
			mixed++
		}

		if s.attempts > 1 {
			takenUp++
		}

		if s.complete {
			complete++
		}

		l.logf("stream %s: %d attempts, events to %d of versions %s, gap: %t, complete: %t", s.first, s.attempts, s.last,
			strings.Join(s.versions, " then "), s.gap, s.complete)
	}

	l.logf("%d streams, %d taken up again, %d complete, %d hold events of two versions (%d allowed)", len(streams), takenUp, complete, mixed, allowed)

	if takenUp < clients/2 {
		return false, fmt.Errorf("%w: only %d streams were taken up again", errNotRun, takenUp)
	}

	return mixed <= allowed, nil
}

// useStream follows a stream as a client does: when its connection breaks, or an answer says that the request has not run, it comes back
// at another address a few times.
func (l *lab) useStream(s *stream, address, path string, events int, wait time.Duration) {
	const tries = 4

	ctx := context.Background()
	l.follow(ctx, address, path, s, events)

	for range tries {
		if s.complete || s.status != 0 && s.status != 200 && s.status != 503 && s.status != 429 {
			return
		}

		pause := wait
		if s.retryAfter > 0 {
			pause = s.retryAfter
		}

		time.Sleep(pause)

		// The address that has failed the client is left out.
		next := l.entries[rand.IntN(len(l.entries))]
		for next.callers == s.address {
			next = l.entries[rand.IntN(len(l.entries))]
		}

		l.follow(ctx, next.callers, path, s, events)
	}
}
