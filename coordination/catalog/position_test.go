package catalog_test

import (
	"context"
	"testing"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/internal/bubble"
	"github.com/apricotway/apricotway/internal/stall"
)

// TestReadThatEndsBehindChangesOfOthers guards against configurations that are read again since a long read ended after others had told of newer
// ones.
func TestReadThatEndsBehindChangesOfOthers(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		readerStore, own := newStore(), newStore()
		receiverStore := &narrowStore{store: own}

		publish := func(version uint64) {
			readerStore.publishLarge(version)
			own.publishLarge(version)
		}

		publish(3)

		reader, _ := start(t, readerStore)
		receiver, _ := start(t, receiverStore)

		wait(time.Second)
		receiverStore.set(func(*store) { receiverStore.delay = 3 * time.Second })
		publish(4)
		wait(500 * time.Millisecond)

		for v := uint64(5); v < 12; v++ {
			publish(v)
			relay(reader, receiver, 300*time.Millisecond)
		}

		wait(20 * time.Second)

		if got, want := version(receiver), uint64(11); got != want {
			t.Errorf("got version %d, want %d", got, want)
		}

		// The first one, and that of the long read.
		if got, want := receiverStore.given, 2; got != want {
			t.Errorf("got %d reads of a configuration, want %d", got, want)
		}
	})
}

// narrowListStore is a store whose whole list of backend servers takes some time to arrive, in several parts.
type narrowListStore struct {
	*store

	delay time.Duration
}

func (s *narrowListStore) Backends(ctx context.Context) ([]apricotway.BackendChange, apricotway.StorePosition, error) {
	const parts = 10

	changes, position, err := s.store.Backends(ctx)

	for range parts {
		select {
		case <-time.After(s.delay / parts):
			stall.Progress(ctx)
		case <-ctx.Done():
			return nil, position, context.Cause(ctx)
		}
	}

	return changes, position, err
}

// TestReadOfListThatTakesLong guards against reads of a long list of backend servers that are given up while they make progress.
func TestReadOfListThatTakesLong(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := &narrowListStore{newStore(), 1500 * time.Millisecond}
		s.publish(3)
		s.register("a", false)

		c, pool := start(t, s)
		wait(5 * time.Second)
		wantKnown(t, pool, map[apricotway.BackendServerID]bool{"a": true})

		if got, want := c.Ready(), true; got != want {
			t.Errorf("got ready: %t, want %t", got, want)
		}
	})
}

// TestReaderOnBusyLink guards against calls that all processes refuse by an older configuration while the one that reads the store for them
// takes long to read the newer one.
func TestReaderOnBusyLink(t *testing.T) {
	for _, delay := range []time.Duration{time.Second, 1500 * time.Millisecond, 3 * time.Second, 6 * time.Second} {
		t.Run(delay.String(), func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				const asked = 430 * time.Millisecond

				s := newStore()
				s.publish(3)

				readerStore, receiverStore := &narrowStore{store: s}, &narrowStore{store: s, delay: 300 * time.Millisecond}
				reader, _ := start(t, readerStore)
				receiver, _ := start(t, receiverStore)

				reader.SetReader(true, asked)
				wait(time.Second)

				ask := func(duration time.Duration) {
					for range duration / asked {
						receiver.ApplyNews(receiver.BootTime(), reader.News("reader", receiver.Position()))
						wait(asked)
					}
				}

				ask(10 * asked)
				readerStore.set(func(*store) { readerStore.delay = delay })
				s.publish(8)

				began := time.Now()
				for version(receiver) < 8 && time.Since(began) < 20*time.Second {
					ask(asked)
				}

				if got := time.Since(began); got > 2*time.Second {
					t.Errorf("got version 8 after %s, want it within 2s", got)
				}
			})
		})
	}
}
