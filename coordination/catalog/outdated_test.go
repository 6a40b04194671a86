package catalog_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/coordination/catalog"
	"github.com/apricotway/apricotway/internal/bubble"
)

// TestVersionsTellOutdatedConfiguration guards against a process that knows of a newer configuration without showing it.
func TestVersionsTellOutdatedConfiguration(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		readerStore, receiverStore := newStore(), newStore()
		readerStore.publish(3)
		receiverStore.publish(3)

		reader, _ := start(t, readerStore)
		receiver, _ := start(t, receiverStore)

		wait(time.Second)
		receiverStore.set(func(s *store) { s.down = true })
		readerStore.publish(8)
		wait(2 * time.Second)

		receiver.ApplyNews(receiver.BootTime(), catalog.News{Fresh: true, Version: reader.Table().Version})
		wait(2 * time.Second)

		got := receiver.Versions()
		if got.InForce != 3 || got.Known != 8 || got.OutdatedFor != 2*time.Second || got.Problem == "" {
			t.Errorf("got %+v, want version 3, 8 known for 2s, and the reason", got)
		}

		receiverStore.set(func(s *store) { s.down = false })
		receiverStore.publish(8)
		receiver.ApplyNews(receiver.BootTime(), catalog.News{Fresh: true, Version: 8})
		wait(2 * time.Second)

		if got := receiver.Versions(); got.InForce != 8 || got.Known != 8 || got.OutdatedFor != 0 || got.Problem != "" {
			t.Errorf("got %+v, want version 8 without a newer one", got)
		}
	})
}

// TestVersionThatNobodyHas guards the store against processes that look without end for a version which it has lost.
func TestVersionThatNobodyHas(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := &countingStore{store: newStore()}
		s.publish(3)

		c, _ := start(t, s)
		wait(time.Second)
		c.ApplyNews(c.BootTime(), catalog.News{Fresh: true, Version: 8})

		before := s.reads.Load()

		wait(100 * time.Second)

		// A process reads about every 1.5 s at all times, as no other one passes on news.
		if got, want := s.reads.Load()-before, int64(130); got > want {
			t.Errorf("got %d reads of the configuration within 100 s, want at most %d", got, want)
		}

		s.publish(9)
		wait(2 * time.Second)

		if got := c.Versions(); got.InForce != 9 || got.OutdatedFor != 0 {
			t.Errorf("got %+v, want version 9", got)
		}
	})
}

// countingStore counts the reads of the configuration.
type countingStore struct {
	*store

	reads atomic.Int64
}

func (s *countingStore) DeploymentAfter(
	ctx context.Context, after apricotway.StorePosition, wait time.Duration,
) (*apricotway.Deployment, apricotway.StorePosition, error) {
	s.reads.Add(1)
	return s.store.DeploymentAfter(ctx, after, wait)
}
