package catalog_test

import (
	"testing"
	"time"

	"github.com/apricotway/apricotway/internal/bubble"
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
