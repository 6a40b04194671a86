package catalog_test

import (
	"context"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/coordination/catalog"
	"github.com/apricotway/apricotway/internal/bubble"
)

// cutConfigStore is a store from which the configuration can't be read while it is cut off.
type cutConfigStore struct {
	*store

	cut atomic.Bool
}

func (s *cutConfigStore) Deployment(ctx context.Context) (*apricotway.Deployment, apricotway.StorePosition, error) {
	if s.cut.Load() {
		return nil, apricotway.StorePosition{}, apricotway.ErrLogUnavailable
	}

	return s.store.Deployment(ctx)
}

func (s *cutConfigStore) DeploymentAfter(
	ctx context.Context, position apricotway.StorePosition, wait time.Duration,
) (*apricotway.Deployment, apricotway.StorePosition, error) {
	if s.cut.Load() {
		<-ctx.Done()
		return nil, position, ctx.Err()
	}

	return s.store.DeploymentAfter(ctx, position, wait)
}

// TestNewsWhileProofArrives guards against a key that was taken away long ago counting as valid, because another process that has just read the
// newest configuration passed on its proof with the version of before.
func TestNewsWhileProofArrives(t *testing.T) {
	const validity, maxYields = 2 * time.Second, 10000

	bubble.Test(t, func(t *testing.T) {
		s := &cutConfigStore{store: newStore()}
		s.publish(1)

		began := time.Now()

		var (
			reader *catalog.Catalog
			heals  atomic.Bool
		)

		clock := catalog.WithBootClock(func() time.Duration {
			if heals.Swap(false) {
				// The configuration is read while the news are made.
				s.cut.Store(false)

				for range maxYields {
					if reader.KeysFresh() {
						break
					}

					// Others wait for a mutex meanwhile, so that the virtual time stands still.
					runtime.Gosched()
				}
			}

			return time.Hour + time.Since(began)
		})
		reader, _ = start(t, s, clock, catalog.WithKeyValidity(validity))
		cut := newStore()
		cut.publish(1)

		receiver, _ := start(t, cut, catalog.WithKeyValidity(validity))
		wait(5 * time.Second)

		s.cut.Store(true)
		cut.set(func(s *store) { s.down = true })
		wait(2 * time.Second)
		s.publish(2)
		wait(10 * time.Second)

		sent := receiver.BootTime()

		heals.Store(true)

		news := reader.News("reader", receiver.Position())
		receiver.ApplyNews(sent, news)

		if receiver.KeysFresh() && version(receiver) != 2 {
			t.Errorf("got keys of version %d as valid by news of version %d, with version 2 confirmed %s ago", version(receiver), news.Version,
				10*time.Second)
		}
	})
}
