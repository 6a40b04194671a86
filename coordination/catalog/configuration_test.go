package catalog_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/coordination/catalog"
	"github.com/apricotway/apricotway/internal/bubble"
	"github.com/apricotway/apricotway/internal/stall"
)

// largeDeployment returns a configuration whose encoding takes several parts of an answer.
func largeDeployment(version uint64) *apricotway.Deployment {
	random := rand.New(rand.NewPCG(1, 1))
	deployment := &apricotway.Deployment{Version: version}

	for i := range 3000 {
		deployment.Routes = append(deployment.Routes, apricotway.Route{
			Name: fmt.Sprintf("r%x", random.Uint64()), Host: "h.example", PathPrefix: fmt.Sprintf("/%x%x/", random.Uint64(), i),
		})
	}

	deployment.Routes[0].Timeout = time.Duration(version)

	return deployment
}

func (s *store) publishLarge(version uint64) {
	s.set(func(s *store) { s.deployments = append(s.deployments, largeDeployment(version)) })
}

// narrowStore is a store whose answers with a configuration take some time to arrive, in several parts.
type narrowStore struct {
	*store

	delay time.Duration
	// given counts the configurations that were read whole.
	given int
}

func (s *narrowStore) transfer(ctx context.Context) error {
	const parts = 10

	for range parts {
		s.mu.Lock()
		delay := s.delay
		s.mu.Unlock()

		select {
		case <-time.After(delay / parts):
			stall.Progress(ctx)
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}

	s.set(func(*store) { s.given++ })

	return nil
}

func (s *narrowStore) Deployment(ctx context.Context) (*apricotway.Deployment, apricotway.StorePosition, error) {
	deployment, position, err := s.store.Deployment(ctx)
	if err == nil && deployment != nil {
		err = s.transfer(ctx)
	}

	return deployment, position, err
}

func (s *narrowStore) DeploymentAfter(
	ctx context.Context, after apricotway.StorePosition, wait time.Duration,
) (*apricotway.Deployment, apricotway.StorePosition, error) {
	deployment, position, err := s.store.DeploymentAfter(ctx, after, wait)
	if err == nil && deployment != nil {
		err = s.transfer(ctx)
	}

	return deployment, position, err
}

// TestReadOfConfigurationThatTakesLong guards against reads of a large configuration that are given up while they make progress.
func TestReadOfConfigurationThatTakesLong(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := &narrowStore{store: newStore(), delay: 3 * time.Second}
		s.publish(3)

		c, _ := start(t, s)
		wait(4 * time.Second)

		if got, want := version(c), uint64(3); got != want {
			t.Fatalf("after the start: got version %d, want %d", got, want)
		}

		s.publish(8)
		wait(7 * time.Second)

		if got, want := version(c), uint64(8); got != want {
			t.Errorf("got version %d, want %d", got, want)
		}
	})
}

// TestReadOfConfigurationThatStalls guards against a read that waits for an answer which has stopped to arrive.
func TestReadOfConfigurationThatStalls(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := &narrowStore{store: newStore(), delay: time.Hour}
		s.publish(3)

		c, _ := start(t, s)
		wait(3 * time.Second)

		s.set(func(*store) { s.delay = 0 })
		wait(time.Second)

		if got, want := version(c), uint64(3); got != want {
			t.Errorf("got version %d, want %d", got, want)
		}
	})
}

// TestNewVersionIsNotReadByEachProcess guards the store and narrow links against each process reading each version whole.
func TestNewVersionIsNotReadByEachProcess(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		readerStore := newStore()
		readerStore.publishLarge(3)

		receiverStore := &narrowStore{store: newStore()}
		receiverStore.publishLarge(3)

		reader, _ := start(t, readerStore)
		receiver, _ := start(t, receiverStore)

		wait(time.Second)
		relay(reader, receiver, time.Second)

		if got, want := receiverStore.given, 1; got != want {
			t.Fatalf("after the start: got %d configurations read, want %d", got, want)
		}

		for v := uint64(4); v < 14; v++ {
			readerStore.publishLarge(v)
			receiverStore.publishLarge(v)
			relay(reader, receiver, 300*time.Millisecond)

			if got, want := version(receiver), v; got != want {
				t.Errorf("got version %d, want %d", got, want)
			}
		}

		// A proof for keys after the news have ended doesn't need the configuration either.
		wait(10 * time.Second)

		if got, want := receiver.KeysFresh(), true; got != want {
			t.Errorf("got fresh keys: %t, want %t", got, want)
		}

		if got, want := receiverStore.given, 1; got != want {
			t.Errorf("got %d configurations read, want %d", got, want)
		}
	})
}

// TestFetchOverNarrowLink guards a process that the store doesn't answer against never getting a large configuration from others over a narrow
// link, on which connections break again and again.
func TestFetchOverNarrowLink(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		const bytesPerSecond = 1_250_000

		network := &exchange{handlers: map[string]apricotway.PeerHandler{}}

		var answers atomic.Int64

		// Two of three answers are lost.
		network.deliver = func(ctx context.Context, answer []byte) error {
			if answers.Add(1)%3 != 0 {
				return errors.New("connection lost")
			}

			select {
			case <-time.After(time.Duration(len(answer)) * time.Second / bytesPerSecond):
				return nil
			case <-ctx.Done():
				return ctx.Err()
			}
		}

		begin := func(node string, s *store) *catalog.Catalog {
			self := &process{exchange: network, node: node}
			c, _ := start(t, s, catalog.WithPeerNews(self, self, self))

			return c
		}

		readerStore, receiverStore := newStore(), newStore()
		readerStore.publishLarge(3)
		receiverStore.publish(2)

		begin("a", readerStore)
		begin("b", readerStore)
		receiver := begin("c", receiverStore)

		wait(time.Second)
		receiverStore.set(func(s *store) { s.down = true })

		// Newer versions come all the time.
		for v := uint64(4); v < 24; v++ {
			wait(400 * time.Millisecond)
			readerStore.publishLarge(v)
		}

		wait(3 * time.Second)

		if got, want := version(receiver), uint64(23); got != want {
			t.Errorf("got version %d, want %d", got, want)
		}
	})
}

// TestOutdatedProcessDecidesNothing guards against calls that a process decides by a configuration after it has heard of a newer one.
func TestOutdatedProcessDecidesNothing(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := newStore()
		s.publish(3)
		s.register("a", false)

		c, _ := start(t, s)
		wait(time.Second)

		if !c.Ready() || !c.AwaitCurrent(t.Context()) {
			t.Error("got a configuration that decides nothing before a newer one is known, want one that decides")
		}

		s.set(func(s *store) { s.down = true })
		c.ApplyNews(c.BootTime(), catalog.News{Fresh: true, Version: 8})

		if c.AwaitCurrent(t.Context()) {
			t.Error("got an older configuration that may tell what does not exist, want none")
		}

		if c.Outdated() {
			t.Error("got an outdated configuration at once, want it in use for a moment")
		}

		wait(2 * time.Second)

		if c.Ready() || !c.Outdated() {
			t.Error("got a ready process 2 s after it has heard of a newer configuration, want an outdated one")
		}

		s.set(func(s *store) { s.down = false })
		s.publish(8)
		wait(time.Second)

		if !c.Ready() || c.Outdated() || !c.AwaitCurrent(t.Context()) {
			t.Error("got an outdated process after it has read the newer configuration, want a ready one")
		}
	})
}

// TestProcessOneVersionBehindServes guards processes that get each of many versions soon against being taken for outdated.
func TestProcessOneVersionBehindServes(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := newStore()
		s.publish(1)

		c, _ := start(t, s)
		wait(time.Second)

		for v := uint64(2); v < 40; v++ {
			c.ApplyNews(c.BootTime(), catalog.News{Fresh: true, Version: v})
			c.ApplyNews(c.BootTime(), catalog.News{Fresh: true, Version: v + 1})
			s.publish(v)
			wait(250 * time.Millisecond)

			if c.Outdated() {
				t.Fatalf("version %d: got an outdated configuration, want one that is %s old", v, c.Versions().OutdatedFor)
			}
		}
	})
}
