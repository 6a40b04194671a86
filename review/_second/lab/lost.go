package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

func init() { cases["lost"] = playLost }

// playLost checks LOST for streams that clients take up again: the share that goes on may not be under half of the share of new streams
// that begin. Engines of two versions serve side by side. Soon after clients have begun to come the store is silent for some seconds; 3 s
// after its return one of three processes is killed. Without the disruption the store answers all the time, and the process is killed all
// the same.
func playLost(l *lab) (bool, error) {
	const (
		events = 70
		gap    = 60 * time.Millisecond
		// arrival is the time between two new streams of all clients.
		arrival = 50 * time.Millisecond
		silence = 4500 * time.Millisecond
		// calm is the time from the store's return to the end of the processes. It is longer than contact_ms, so that the other processes are
		// in touch then.
		calm    = 3150 * time.Millisecond
		atLeast = 12
	)

	if err := l.putConfig(fmt.Sprintf(smallConfig, 1)); err != nil {
		return false, err
	}

	for _, version := range []string{"v1", "v2"} {
		if err := l.startVersion(version, 3, streamEngine(version, events, gap)); err != nil {
			return false, err
		}
	}

	if err := l.startEntries(3); err != nil {
		return false, err
	}

	time.Sleep(6 * time.Second)

	var (
		group   sync.WaitGroup
		mu      sync.Mutex
		streams []*stream
		killed  = map[string]bool{}
		killing time.Time
	)

	// choose returns the address of a process that was not killed.
	choose := func() string {
		mu.Lock()
		defer mu.Unlock()

		for {
			if e := l.entries[rand.IntN(len(l.entries))]; !killed[e.callers] {
				return e.callers
			}
		}
	}

	stop := make(chan struct{})
	begin := func() {
		s := &stream{}
		first := choose()

		mu.Lock()
		streams = append(streams, s)
		mu.Unlock()

		group.Go(func() {
			l.follow(context.Background(), first, "/note/x", s, events)

			mu.Lock()
			again := killed[first] && !s.complete && s.last > 0
			mu.Unlock()

			if !again {
				return
			}

			s.begun, s.taken = s.last, true

			l.follow(context.Background(), choose(), "/note/x", s, events)
		})
	}

	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(arrival):
				begin()
			}
		}
	}()

	time.Sleep(2 * time.Second)

	if l.trouble {
		l.takeStoreAway()
	}

	time.Sleep(silence)

	if l.trouble {
		l.bringStoreBack(0)
	}

	time.Sleep(calm)

	mu.Lock()
	killing = time.Now()

	for _, e := range l.entries[:1] {
		killed[e.callers] = true
	}
	mu.Unlock()

	for _, e := range l.entries[:1] {
		l.logf("process %s is killed", e.name)
		e.kill()
	}

	time.Sleep(time.Second)
	close(stop)
	group.Wait()

	taken, wentOn, new, began := 0, 0, 0, 0

	for _, s := range streams {
		switch {
		case s.taken:
			taken++

			if s.last > s.begun {
				wentOn++
			}

			l.logf("stream %s was taken up after event %d: status %d, events to %d", s.first, s.begun, s.status, s.last)
		default:
			new++

			if s.last > 0 {
				began++
			}
		}
	}

	l.logf("%.1f s after the kill: of %d streams that clients took up again, %d went on; of %d new ones %d began", time.Since(killing).Seconds(),
		taken, wentOn, new, began)

	if taken < atLeast {
		return false, fmt.Errorf("%w: only %d streams were taken up again", errNotRun, taken)
	}

	return float64(wentOn)/float64(taken) >= float64(began)/float64(new)/2, nil
}
