package catalog_test

import (
	"context"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/internal/bubble"
)

// oddStore is a store with a configuration that can't be decoded.
type oddStore struct {
	*store

	odd uint64
	// reads counts the reads that returned it.
	reads int
}

var errOdd = errors.New("odd configuration")

func (s *oddStore) DeploymentAfter(
	ctx context.Context, after apricotway.StorePosition, wait time.Duration,
) (*apricotway.Deployment, apricotway.StorePosition, error) {
	deployment, position, err := s.store.DeploymentAfter(ctx, after, wait)
	if err != nil {
		return deployment, position, err
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	// As platform.Client does it.
	for _, d := range s.deployments[after.Offset:position.Offset] {
		if d.Version == s.odd {
			s.reads++
		}
	}

	if deployment != nil && deployment.Version == s.odd {
		return nil, position, errOdd
	}

	return deployment, position, err
}

// TestConfigurationThatCannotBeDecoded guards against a process that reads a configuration which it can't decode again and again, and never
// puts the one after it in force.
func TestConfigurationThatCannotBeDecoded(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := &oddStore{store: newStore(), odd: 4}
		s.publish(3)

		c, _ := start(t, s)
		wait(time.Second)
		s.publish(4)
		wait(10 * time.Second)

		if got, want := s.reads, 1; got != want {
			t.Errorf("got %d reads of the configuration that can't be decoded, want %d", got, want)
		}

		s.publish(5)
		wait(10 * time.Second)

		if got, want := version(c), uint64(5); got != want {
			t.Errorf("got version %d, want %d; %+v", got, want, c.Versions())
		}
	})
}
