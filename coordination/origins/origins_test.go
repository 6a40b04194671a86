package origins_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/thejerf/suture/v4"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/coordination/era"
	"github.com/apricotway/apricotway/coordination/origins"
	"github.com/apricotway/apricotway/internal/boottime"
	"github.com/apricotway/apricotway/internal/bubble"
	"github.com/apricotway/apricotway/memorylog"
	"github.com/apricotway/apricotway/state/origin"
)

const service = "s"

var errDown = errors.New("down")

// store is a fake of the operators' store that outlives the processes of a test.
type store struct {
	*memorylog.Log

	mu     sync.Mutex
	down   bool
	states map[apricotway.StatePart][]byte
	saves  int
	reads  int
	// appends counts the appends.
	appends int
}

func newStore() *store {
	return &store{Log: memorylog.New(), states: map[apricotway.StatePart][]byte{}}
}

func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.down = down
}

func (s *store) Append(ctx context.Context, stream apricotway.Stream, records []apricotway.Record) (apricotway.Offset, error) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.appends++

	if s.down {
		return 0, errDown
	}

	return s.Log.Append(ctx, stream, records)
}

func (s *store) Read(
	ctx context.Context, stream apricotway.Stream, from apricotway.Offset, limit int, wait time.Duration,
) (apricotway.Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.reads++

	if s.down {
		return apricotway.Batch{}, errDown
	}

	return s.Log.Read(ctx, stream, from, limit, wait)
}

func (s *store) SaveState(_ context.Context, part apricotway.StatePart, state []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.down {
		return errDown
	}

	s.states[part] = state
	s.saves++

	return nil
}

func (s *store) State(_ context.Context, part apricotway.StatePart) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.down {
		return nil, errDown
	}

	return s.states[part], nil
}

// process is one process with its register.
type process struct {
	*origins.Origins

	register *origin.Register
	kill     func()
	// cut is set while the process can't read the list of backend servers.
	cut bool
	// refreshed counts the reads of the list that calls asked for.
	refreshed int
}

// RefreshList implements origins.List.
func (p *process) RefreshList(time.Duration) {
	p.refreshed++

	if !p.cut {
		p.register.SetListed(boottime.Now())
	}
}

// AwaitList implements origins.List.
func (p *process) AwaitList(context.Context, time.Duration) error {
	if p.cut {
		return errDown
	}

	return nil
}

// start starts a process on whose list there are servers of some versions.
func start(t *testing.T, s *store, versions ...string) *process {
	p := startWith(t, s)
	p.list(versions...)

	return p
}

func startWith(t *testing.T, s origins.Store, options ...origins.Option) *process {
	supervisor := suture.NewSimple("process")
	p := &process{register: origin.NewRegister()}
	p.Origins = origins.New(supervisor, p.register, s, p, options...)

	ctx, cancel := context.WithCancel(t.Context())
	ended := supervisor.ServeBackground(ctx)
	p.kill = sync.OnceFunc(func() {
		cancel()

		if err := <-ended; !errors.Is(err, context.Canceled) {
			t.Errorf("got %v, want %v", err, context.Canceled)
		}
	})

	return p
}

func server(version string) apricotway.Backend {
	return apricotway.Backend{
		ID: apricotway.BackendServerID("server-" + version), Service: service, Version: apricotway.SoftwareVersion(version),
	}
}

// list puts a server of each version on the list of the process.
func (p *process) list(versions ...string) {
	for _, version := range versions {
		p.register.Update(time.Now(), server(version))
	}
}

// wantVersion checks the version that may continue the stream of an attempt; "" for none.
func (p *process) wantVersion(t *testing.T, attempt apricotway.AttemptID, want apricotway.SoftwareVersion) {
	t.Helper()

	var got apricotway.SoftwareVersion

	found := p.Find(t.Context(), service, attempt)

	for _, version := range []apricotway.SoftwareVersion{"v1", "v2"} {
		if found.Allows(apricotway.Lineage{Software: version}) {
			got += version
		}
	}

	if got != want {
		t.Errorf("stream of %q: got version %q, want %q", attempt, got, want)
	}
}

// TestOriginsAfterKillOfAll guards against a process that has just started continuing a stream at another version than the killed process
// that began it, or refusing it although the store tells its version.
func TestOriginsAfterKillOfAll(t *testing.T) {
	for _, test := range []struct {
		name          string
		before, after []string
		// first and second are the versions that the streams of the first and the second version may go on at; other is that of a
		// stream that no process recorded.
		first, second, other apricotway.SoftwareVersion
	}{
		{"both versions serve", []string{"v1", "v2"}, []string{"v1", "v2"}, "v1", "v2", ""},
		{"one version left meanwhile", []string{"v1", "v2"}, []string{"v2"}, "v1", "v2", ""},
		{"all servers replaced meanwhile", []string{"v1"}, []string{"v2"}, "v1", "v1", ""},
		{"second version joined meanwhile", []string{"v1"}, []string{"v1", "v2"}, "v1", "v1", ""},
		{"one version only", []string{"v1"}, []string{"v1"}, "v1", "v1", "v1"},
	} {
		t.Run(test.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				s := newStore()
				p := start(t, s, test.before[0])
				<-time.After(time.Second)

				p.Began(time.Now(), "first", server(test.before[0]))
				p.list(test.before...)
				p.Began(time.Now(), "second", server(test.before[len(test.before)-1]))
				<-time.After(time.Second)
				p.kill()

				again := start(t, s, test.after...)
				<-time.After(time.Second)
				again.wantVersion(t, "first", test.first)
				again.wantVersion(t, "second", test.second)
				again.wantVersion(t, "other", test.other)
				again.wantVersion(t, "", test.other)
				again.kill()
			})
		})
	}
}

// TestOriginsOfRunningProcess guards against a stream being refused, or continued at the wrong version, while the process that began it has
// not told it yet, and another one has not yet seen its version.
func TestOriginsOfRunningProcess(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := newStore()
		p, behind := start(t, s, "v1"), start(t, s, "v1")
		<-time.After(time.Second)

		p.list("v2")
		p.Began(time.Now(), "new", server("v2"))
		<-time.After(150 * time.Millisecond)
		behind.wantVersion(t, "new", "v2")

		behind.list("v2")
		p.Began(time.Now(), "newest", server("v1"))
		behind.wantVersion(t, "newest", "v1")

		p.kill()
		behind.kill()
	})
}

// TestOriginsWithoutStore guards against waiting long for a store that is away, and against forgetting what it could not take.
func TestOriginsWithoutStore(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := newStore()
		p := start(t, s, "v1", "v2")
		other := start(t, s, "v1", "v2")
		<-time.After(time.Second)

		s.setDown(true)
		p.Began(time.Now(), "x", server("v1"))
		p.wantVersion(t, "x", "v1")

		asked := time.Now()
		other.wantVersion(t, "x", "")

		if got, want := time.Since(asked), time.Second; got > want {
			t.Errorf("got an answer after %s, want it within %s", got, want)
		}

		<-time.After(3 * time.Second)
		s.setDown(false)
		<-time.After(time.Second)
		other.wantVersion(t, "x", "v1")

		p.kill()
		other.kill()
	})
}

// TestOnlyVersionOfOutdatedList guards against a process that is cut off from the store taking the only version that it knows for the one that
// began a stream elsewhere.
func TestOnlyVersionOfOutdatedList(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := newStore()
		p, away := start(t, s, "v1"), start(t, s, "v1")
		<-time.After(time.Second)

		away.cut = true
		s.setDown(true)
		p.list("v2")
		p.Began(time.Now(), "x", server("v2"))
		away.Began(time.Now(), "own", server("v1"))

		away.wantVersion(t, "x", "")
		away.wantVersion(t, "", "")
		away.wantVersion(t, "own", "v1")

		p.kill()
		away.kill()
	})
}

// TestMixedVersionsNeedNoList guards against reading the list of backend servers for streams that it can tell nothing about.
func TestMixedVersionsNeedNoList(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		p := start(t, newStore(), "v1", "v2")
		<-time.After(time.Second)
		p.wantVersion(t, "x", "")

		if got, want := p.refreshed, 0; got != want {
			t.Errorf("got %d reads of the list, want %d", got, want)
		}

		p.kill()
	})
}

// TestVersionThatLeftUnseen guards against a process that was out of step while a version joined and left taking the only version on its
// newest list for the one that began a stream.
func TestVersionThatLeftUnseen(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := newStore()
		away := &awayStore{Store: s}
		p, out := startWith(t, away), start(t, s, "v1")
		p.list("v1")
		<-time.After(time.Second)

		p.list("v2")
		<-time.After(time.Second)
		away.away.Store(true)
		p.Began(time.Now(), "x", server("v2"))
		p.kill()

		out.wantVersion(t, "", "")
		out.wantVersion(t, "x", "")
		out.kill()
	})
}

// TestVersionsAfterRestore guards against a process that starts after a restore of the store taking the only version on its list for the one
// that began every stream.
func TestVersionsAfterRestore(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s, eras := newStore(), era.New()
		eras.Observe(1)

		p := startWith(t, s, origins.WithEras(eras))
		p.list("v1")
		<-time.After(time.Second)

		s.mu.Lock()
		older := s.states[apricotway.StateVersions]
		s.mu.Unlock()

		p.list("v2")
		p.register.Remove(time.Now(), server("v2"))
		<-time.After(3 * time.Second)

		s.mu.Lock()
		s.states[apricotway.StateVersions] = older
		s.mu.Unlock()

		eras.Observe(2)
		<-time.After(3 * time.Second)

		late := start(t, s, "v1")
		<-time.After(time.Second)
		late.wantVersion(t, "x", "")

		p.kill()
		late.kill()
	})
}

// TestVersionsOfNewerBuild guards against taking the only version on the list for the one that began every stream, and against overwriting,
// when a newer build saved the versions in a form that this one can't read.
func TestVersionsOfNewerBuild(t *testing.T) {
	for _, content := range []string{`{"services":{"s":{"v1":{"left":0},"v2":{"left":0}}}}`, `{"versions":[]}`} {
		bubble.Test(t, func(t *testing.T) {
			s := newStore()
			s.states[apricotway.StateVersions] = []byte(content)

			p := start(t, s, "v1")
			<-time.After(3 * time.Second)
			p.Began(time.Now(), "own", server("v1"))
			p.wantVersion(t, "x", "")
			p.wantVersion(t, "own", "v1")

			if got, want := string(s.states[apricotway.StateVersions]), content; got != want {
				t.Errorf("got saved versions %s, want %s", got, want)
			}

			<-time.After(p.register.Lifetime() + time.Second)
			p.wantVersion(t, "x", "v1")
			p.kill()
		})
	}
}

// TestOneVersionCost guards against reads and saves of the store, and more than two appends a second, while one version serves and no caller
// takes a stream up.
func TestOneVersionCost(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := newStore()
		p := start(t, s, "v1")
		<-time.After(3 * time.Second)

		saves, appends := s.saves, s.appendCount()

		// The next append is due at 10 s.
		for range 99 {
			p.Began(time.Now(), apricotway.AttemptID(time.Now().String()), server("v1"))
			<-time.After(100 * time.Millisecond)
		}

		if got, want := s.saves-saves+s.reads, 0; got != want {
			t.Errorf("got %d reads and saves of the store, want %d", got, want)
		}

		if got, want := s.appendCount()-appends, 20; got > want {
			t.Errorf("got %d appends in less than 10 seconds, want at most %d", got, want)
		}

		p.kill()
	})
}

func (s *store) appendCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.appends
}
