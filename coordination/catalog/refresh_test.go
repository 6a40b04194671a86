package catalog_test

import (
	"cmp"
	"context"
	"slices"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/coordination/catalog"
	"github.com/apricotway/apricotway/internal/bubble"
)

// refreshTimeout is far below the time between two reads of the list.
const refreshTimeout = 50 * time.Millisecond

// TestRefreshOfOutdatedList guards against a call that needs a newer list waiting for the next regular read of it.
func TestRefreshOfOutdatedList(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s, passed := newStore(), newStore()
		s.publish(1)
		passed.publish(1)

		reader, _ := start(t, passed)
		c, pool := start(t, s)
		wait(2 * time.Second)

		refresh := func(id apricotway.BackendServerID) {
			s.register(id, false)

			ctx, cancel := context.WithTimeout(t.Context(), refreshTimeout)
			defer cancel()

			since := c.BootTime()
			c.RefreshList(since)

			if err := c.AwaitList(ctx, since); err != nil {
				t.Errorf("server %s: got %v, want no error", id, err)
			}

			wantKnown(t, pool, map[apricotway.BackendServerID]bool{id: true})
		}

		// The list is read in turns of waiting for changes and pausing.
		for _, id := range []apricotway.BackendServerID{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"} {
			wait(130 * time.Millisecond)
			refresh(id)
		}

		relay(reader, c, time.Second)
		refresh("while another process passes its news on")
	})
}

// TestRefreshOfListWhileStoreIsAway guards against calls waiting for a list that can't be read.
func TestRefreshOfListWhileStoreIsAway(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := newStore()
		s.publish(1)

		c, _ := start(t, s)
		wait(2 * time.Second)
		s.set(func(s *store) { s.down = true })
		wait(2 * time.Second)

		began, since := time.Now(), c.BootTime()
		c.RefreshList(since)

		if got, want := c.AwaitList(t.Context(), since), catalog.ErrStoreAway; !errors.Is(got, want) {
			t.Errorf("got %v, want %v", got, want)
		}

		if got, want := time.Since(began), refreshTimeout; got > want {
			t.Errorf("got an answer after %s, want it within %s", got, want)
		}
	})
}

// slowStore is a store whose answers about the list take some time to arrive.
type slowStore struct {
	*store

	delay time.Duration
}

func (s *slowStore) Backends(ctx context.Context) ([]apricotway.BackendChange, apricotway.StorePosition, error) {
	changes, position, err := s.store.Backends(ctx)
	<-time.After(s.delay)

	return changes, position, err
}

func (s *slowStore) BackendsAfter(
	ctx context.Context, position apricotway.StorePosition, wait time.Duration,
) ([]apricotway.BackendChange, apricotway.StorePosition, error) {
	changes, position, err := s.store.BackendsAfter(ctx, position, wait)
	<-time.After(s.delay)

	return changes, position, err
}

// TestReadOlderThanNews guards against a slow read of the list undoing newer changes that another process passed on meanwhile.
func TestReadOlderThanNews(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := newStore()
		s.publish(1)
		s.register("old", false)

		reader, _ := start(t, s)
		reader.SetReader(true, 100*time.Millisecond)

		c, pool := start(t, &slowStore{s, 300 * time.Millisecond})
		wait(2 * time.Second)
		relay(reader, c, 2*time.Second)

		// The read and the news meet at different moments.
		for i, id := range []apricotway.BackendServerID{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"} {
			relay(reader, c, time.Duration(i)*130*time.Millisecond)
			c.RefreshList(c.BootTime())
			wait(50 * time.Millisecond)
			s.register(id, false)
			s.register("old", i%2 == 0)
			relay(reader, c, 3*time.Second)
			wantKnown(t, pool, map[apricotway.BackendServerID]bool{id: true})

			if got, want := pool.Leaving("old"), i%2 == 0; got != want {
				t.Errorf("server %s: got old server leaving: %t, want %t", id, got, want)
			}
		}
	})
}

// TestRefreshStorm guards against many calls that need a newer list making a process read it without a pause.
func TestRefreshStorm(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := newStore()
		s.publish(1)

		c, _ := start(t, &slowStore{s, time.Millisecond})
		wait(2 * time.Second)

		before := s.reads

		for range 1000 {
			c.RefreshList(c.BootTime())
			wait(time.Millisecond)
		}

		if got, want := s.reads-before, 11; got > want {
			t.Errorf("got %d reads of the list within a second, want at most %d", got, want)
		}
	})
}

// partialStore is a store whose answers have one change of the list each.
type partialStore struct{ *store }

func (s partialStore) BackendsAfter(
	ctx context.Context, position apricotway.StorePosition, wait time.Duration,
) ([]apricotway.BackendChange, apricotway.StorePosition, error) {
	changes, next, err := s.store.BackendsAfter(ctx, position, wait)
	if len(changes) > 1 {
		changes, next.Offset, err = changes[:1], position.Offset+1, apricotway.ErrMoreChanges
	}

	return changes, next, err
}

// TestRefreshHasAllChanges guards against a list being taken for new while changes of it are still to be read.
func TestRefreshHasAllChanges(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := newStore()
		s.publish(1)

		c, pool := start(t, partialStore{s})
		wait(2 * time.Second)

		for _, id := range []apricotway.BackendServerID{"a", "b", "c"} {
			s.register(id, false)
		}

		since := c.BootTime()
		c.RefreshList(since)

		if err := c.AwaitList(t.Context(), since); err != nil {
			t.Errorf("got %v, want no error", err)
		}

		wantKnown(t, pool, map[apricotway.BackendServerID]bool{"a": true, "b": true, "c": true})
	})
}

// brokenListStore is a store of whose whole list one read gets a few entries.
type brokenListStore struct {
	*store

	carried int
}

func (s *brokenListStore) page(
	ctx context.Context, position apricotway.StorePosition,
) ([]apricotway.BackendChange, apricotway.StorePosition, error) {
	all, end, err := s.store.Backends(ctx)
	if err != nil {
		return nil, position, err
	}

	if position.Key == "" {
		position = end
	}

	slices.SortFunc(all, func(a, b apricotway.BackendChange) int { return cmp.Compare(a.ID, b.ID) })
	all = slices.DeleteFunc(all, func(change apricotway.BackendChange) bool { return string(change.ID) <= position.Key })

	if len(all) <= s.carried {
		position.Key = ""
		return all, position, nil
	}

	position.Key = string(all[s.carried-1].ID)

	return all[:s.carried], position, apricotway.ErrMoreChanges
}

func (s *brokenListStore) Backends(ctx context.Context) ([]apricotway.BackendChange, apricotway.StorePosition, error) {
	return s.page(ctx, apricotway.StorePosition{})
}

func (s *brokenListStore) BackendsAfter(
	ctx context.Context, position apricotway.StorePosition, wait time.Duration,
) ([]apricotway.BackendChange, apricotway.StorePosition, error) {
	if position.Key != "" {
		return s.page(ctx, position)
	}

	return s.store.BackendsAfter(ctx, position, wait)
}

// TestListFromSeveralReads guards against a list that is never known since one read gets a part of it, and against changes between the reads
// that are missed.
func TestListFromSeveralReads(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := &brokenListStore{newStore(), 2}
		s.publish(3)

		for _, id := range []apricotway.BackendServerID{"a", "b", "c", "d", "e", "f", "g"} {
			s.register(id, false)
		}

		c, pool := start(t, s)

		// The first part has been read.
		wait(50 * time.Millisecond)
		s.drop("a")
		s.register("aa", false)

		changed := c.BootTime()

		wait(3 * time.Second)
		wantKnown(t, pool, map[apricotway.BackendServerID]bool{"a": false, "aa": true, "b": true, "f": true, "g": true})

		if err := c.AwaitList(t.Context(), changed); err != nil {
			t.Errorf("got error %v, want the list as of the change", err)
		}
	})
}
