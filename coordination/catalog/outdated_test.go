package catalog_test

import (
	"testing"
	"time"

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
