package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"
)

func init() { cases["upgrade"] = playUpgrade }

// stop ends an engine without a word: its connections break, and its entry stays.
func (e *engine) stop() {
	_ = e.listener.Close()

	e.mu.Lock()
	defer e.mu.Unlock()

	e.down = true
	for c := range e.conns {
		_ = c.Close()
	}
}

// startAgain starts an engine again under its id and at its address, with a version of its software, and writes its entry.
func (e *engine) startAgain(version string, handle func(x *exchange) bool) error {
	listener, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}

	e.mu.Lock()
	e.listener, e.version, e.handle, e.down = listener, version, handle, false
	e.born, e.seq = time.Now().UnixMilli(), 0
	e.mu.Unlock()

	e.register()

	go e.accept()

	return nil
}

// playUpgrade checks ORDER: no more than two streams may hold events of engines of two software versions. The engines of a service end
// one after the other and start again under the ids that they had, with a newer version of their software, and later once more. Without the
// disruption they keep serving.
func playUpgrade(l *lab) (bool, error) {
	const (
		events = 70
		gap    = 60 * time.Millisecond
		// arrival is the time between two new streams of all clients.
		arrival = 40 * time.Millisecond
		// between is the time from the end of one engine to that of the next one, and down the time after which it is back. pauseAfter
		// is the time after the last one.
		between    = 875 * time.Millisecond
		down       = 600 * time.Millisecond
		allowed    = 2
		pauseAfter = 5 * time.Second
	)

	if err := l.putConfig(fmt.Sprintf(smallConfig, 1)); err != nil {
		return false, err
	}

	if err := l.startVersion("v1", 6, streamEngine("v1", events, gap)); err != nil {
		return false, err
	}

	if err := l.startEntries(3); err != nil {
		return false, err
	}

	time.Sleep(3 * time.Second)

	var (
		group   sync.WaitGroup
		mu      sync.Mutex
		streams []*stream
	)

	stop := make(chan struct{})

	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(arrival):
				s := &stream{}

				mu.Lock()
				streams = append(streams, s)
				mu.Unlock()

				group.Go(func() {
					l.follow(context.Background(), l.entries[rand.IntN(len(l.entries))].callers, "/note/x", s, events)
				})
			}
		}
	}()

	time.Sleep(6 * time.Second)

	for _, version := range []string{"v2", "v3"} {
		if !l.trouble {
			time.Sleep(6*between + pauseAfter)
			continue
		}

		for _, e := range l.engines {
			began := time.Now()

			l.logf("engine %s ends", e.id)
			e.stop()
			time.Sleep(down)

			if err := e.startAgain(version, streamEngine(version, events, gap)); err != nil {
				return false, fmt.Errorf("%w: %w", errNotRun, err)
			}

			l.logf("engine %s has started again with version %s", e.id, version)
			time.Sleep(between - time.Since(began))
		}

		time.Sleep(pauseAfter)
	}

	time.Sleep(time.Second)
	close(stop)
	group.Wait()

	mixed, complete := 0, 0

	for _, s := range streams {
		if len(s.versions) > 1 {
			mixed++

			l.logf("stream %s holds events of %s, to %d, gap: %t, complete: %t", s.first, strings.Join(s.versions, " then "), s.last, s.gap, s.complete)
		}

		if s.complete {
			complete++
		}
	}

	l.logf("%d streams, %d complete, %d hold events of two versions (%d allowed)", len(streams), complete, mixed, allowed)

	return mixed <= allowed, nil
}
