package origins

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/internal/pause"
	"github.com/apricotway/apricotway/state/origin"
)

const (
	// historyPause is the pause after the saved versions could not be read.
	historyPause = 100 * time.Millisecond
	// maxWriteDelay is the longest random delay of a write, since all processes see a change at about the same time and one write is enough.
	maxWriteDelay = 200 * time.Millisecond
	// verifyDelay is the time after which a process checks that no concurrent write has replaced its own.
	verifyDelay = time.Second
)

// versionStore keeps the software versions that are or lately were in service.
type versionStore interface {
	SaveState(ctx context.Context, part apricotway.StatePart, state []byte) error
	State(ctx context.Context, part apricotway.StatePart) ([]byte, error)
}

// versions shares the software versions in service with processes that start later.
type versions struct {
	register *origin.Register
	store    versionStore
	logger   logr.Logger
	// started is called when other processes saw several versions of a service before this one started.
	started func()

	mu sync.Mutex
	// unreadableSince is the time since which the saved versions can't be read; zero if they can.
	unreadableSince time.Time
}

// errUnreadable reports saved versions that can't be read, as a newer build may save them. Streams that began before may go on at versions
// that this process knows nothing of.
var errUnreadable = errors.New("the saved software versions can't be read")

// savedVersions is the saved state. Times are in Unix milliseconds; 0 means that the version is in service.
type savedVersions struct {
	Services map[apricotway.Service]map[apricotway.SoftwareVersion]int64 `json:"services"`
}

// share reads the versions that earlier processes saw, and writes those that this process sees, until the context ends.
func (v *versions) share(ctx context.Context) error {
	for v.readHistory(ctx) != nil {
		if !pause.For(ctx, historyPause) {
			return ctx.Err()
		}
	}

	for _, all := range v.register.Versions(time.Now()) {
		if len(all) > 1 {
			v.started()
			break
		}
	}

	for verify := (<-chan time.Time)(nil); ; {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-verify:
		case <-v.register.Changed():
			pause.For(ctx, rand.N(maxWriteDelay))
		}

		verify = nil

		switch wrote, err := v.merge(ctx); {
		case err != nil:
			v.logger.V(1).Info("failed to save the software versions in service", "event", 377, "error", err.Error())

			verify = time.After(retryPause)
		case wrote:
			verify = time.After(verifyDelay)
		}
	}
}

func encode(versions map[apricotway.Service]origin.Versions) savedVersions {
	saved := savedVersions{Services: map[apricotway.Service]map[apricotway.SoftwareVersion]int64{}}

	for service, all := range versions {
		saved.Services[service] = map[apricotway.SoftwareVersion]int64{}

		for version, left := range all {
			saved.Services[service][version] = 0
			if !left.IsZero() {
				saved.Services[service][version] = left.UnixMilli()
			}
		}
	}

	return saved
}

func (s savedVersions) decode() map[apricotway.Service]origin.Versions {
	history := map[apricotway.Service]origin.Versions{}

	for service, all := range s.Services {
		history[service] = origin.Versions{}

		for version, left := range all {
			history[service][version] = time.Time{}
			if left > 0 {
				history[service][version] = time.UnixMilli(left)
			}
		}
	}

	return history
}

// read returns the saved versions.
func (v *versions) read(ctx context.Context) (savedVersions, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()

	saved := savedVersions{Services: map[apricotway.Service]map[apricotway.SoftwareVersion]int64{}}

	content, err := v.store.State(ctx, apricotway.StateVersions)
	if err != nil || len(content) == 0 {
		return saved, err
	}

	var found savedVersions
	if err := json.Unmarshal(content, &found); err == nil && found.Services != nil {
		v.unreadableFor(false)
		return found, nil
	}

	if v.unreadableFor(true) < v.register.Lifetime() {
		return saved, errUnreadable
	}

	// All streams that began before have ended.
	v.logger.Info("ignored saved software versions that can't be read", "event", 378)

	saved.Services = map[apricotway.Service]map[apricotway.SoftwareVersion]int64{}

	return saved, nil
}

// unreadableFor notes whether the saved versions can be read, and returns for how long they can't.
func (v *versions) unreadableFor(unreadable bool) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()

	switch {
	case !unreadable:
		v.unreadableSince = time.Time{}
		return 0
	case v.unreadableSince.IsZero():
		v.unreadableSince = time.Now()
	}

	return time.Since(v.unreadableSince)
}

// readHistory adds the versions that other processes saw to the register.
func (v *versions) readHistory(ctx context.Context) error {
	saved, err := v.read(ctx)
	if errors.Is(err, errUnreadable) {
		// The register answers only for the streams that it knows, as before the first read.
		v.register.AwaitHistory()

		return nil
	}

	if err != nil {
		v.logger.V(1).Info("failed to read the software versions in service", "event", 379, "error", err.Error())
		return errors.Wrap(err, "read the software versions in service")
	}

	v.register.AddHistory(time.Now(), saved.decode())

	return nil
}

// merge adds what this process sees to the saved versions, and reports whether it had to write.
func (v *versions) merge(ctx context.Context) (wrote bool, err error) {
	saved, err := v.read(ctx)
	if err != nil {
		return false, err
	}

	now := time.Now()
	own := encode(v.register.Versions(now))
	changed := false

	for service, all := range own.Services {
		if saved.Services[service] == nil {
			saved.Services[service] = map[apricotway.SoftwareVersion]int64{}
		}

		for version, left := range all {
			known, ok := saved.Services[service][version]
			// Processes see a version leave at slightly different times; any of them is good enough.
			if ok && (known == left || known > 0 && left > 0 && left-known < origin.ClockTolerance.Milliseconds()) {
				continue
			}

			saved.Services[service][version] = left
			changed = true
		}
	}

	if !changed {
		return false, nil
	}

	for service, all := range saved.Services {
		for version, left := range all {
			if left > 0 && now.Sub(time.UnixMilli(left)) > 2*v.register.Lifetime() {
				delete(all, version)
			}
		}

		if len(all) == 0 {
			delete(saved.Services, service)
		}
	}

	content, err := json.Marshal(saved)
	if err != nil {
		return false, errors.Wrap(err, "encode the software versions in service")
	}

	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()

	return true, v.store.SaveState(ctx, apricotway.StateVersions, content)
}
