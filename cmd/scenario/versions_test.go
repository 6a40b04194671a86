package scenario

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/apricotway/apricotway/platform/standin"
)

const (
	versionEvents  = 30
	versionCallers = 24
	// versionGap is the time between two events of a stream.
	versionGap = 25 * time.Millisecond
	// minShareOf is the number of streams from which the operators' rule looks at the share that goes on.
	minShareOf = 12
	// versionTimeout is the timeout of a caller for a stream over all its attempts.
	versionTimeout = 8 * time.Second
	versionConfig  = `{"version":%d,"routes":[
{"name":"chat","host":"h.example","path_prefix":"/chat/","kind":"streaming","timeout_ms":8000,"target_latency_ms":500,"gap_aim_ms":400,
"service":"model","max_attempts":2,"resumable":true}],
"services":[{"name":"model","engine":{"slots":64,"kv_capacity":1000000}}],"limits":{"max_body_bytes":10000},
"tenants":[{"name":"w","api_keys":["secret"]}]}`
)

// versionedStream is a stream of a caller over all its attempts.
type versionedStream struct {
	begun, takenUp, wentOn, complete bool
	// last is the last event that the caller has, and first the attempt that brought the first one.
	last, first string
	// versions are the software versions whose events the caller has.
	versions map[string]bool
}

// versionSystem is an entry system before engines of several software versions, with callers that take up broken streams.
type versionSystem struct {
	*entrySystem

	// patience is the time without an event after which callers give an attempt up; 0 for none.
	patience time.Duration
	// attempts bounds the attempts of a stream; 0 for no bound.
	attempts int
	// gap is the time between two events of a stream.
	gap time.Duration
	// began is called once a caller has the first event of a stream; nil for nothing.
	began func()

	mu      sync.Mutex
	streams []*versionedStream
}

func newVersionSystem(t *testing.T, seed uint64, entries int) *versionSystem {
	return newVersionSystemWith(t, seed, entries, versionGap)
}

// newVersionSystemWith returns a system whose streams have the given time between two events.
func newVersionSystemWith(t *testing.T, seed uint64, entries int, gap time.Duration) *versionSystem {
	s := &versionSystem{entrySystem: newEntryPlatform(t, seed, versionConfig), gap: gap}
	s.retrySlack = 1000
	s.startVersion("v1", 3)
	s.startEntries(entries)

	return s
}

func (s *versionSystem) startVersion(version string, count int) (started []*standin.Engine) {
	for range count {
		started = append(started, s.startEngine("model", standin.WithVersion(version), standin.WithSlots(64),
			standin.WithStream(versionEvents, s.gap)))
	}

	return started
}

// killAll kills all processes at once and starts them again.
func (s *versionSystem) killAll() {
	for _, e := range s.entries {
		_ = e.command.Process.Signal(syscall.SIGKILL) // The process may have ended already.
	}

	for _, e := range s.entries {
		<-e.done
	}

	for _, e := range s.entries {
		s.start(e)
	}
}

// callers sends streams until the context ends, and returns when all of them have ended.
func (s *versionSystem) callers(ctx context.Context) *sync.WaitGroup {
	var group sync.WaitGroup

	for i := range versionCallers {
		random := rand.New(rand.NewPCG(s.random.Uint64(), 0))

		group.Go(func() {
			// Callers that begin together have their pauses together, and a failure in one of them meets no stream.
			<-time.After(time.Duration(random.IntN(1000)) * time.Millisecond)

			for n := 0; ctx.Err() == nil; n++ {
				stream := s.stream(context.WithoutCancel(ctx), random, fmt.Sprintf("s%d-%x-%d", i, random.Uint32(), n))

				s.mu.Lock()
				s.streams = append(s.streams, stream)
				s.mu.Unlock()
			}
		})
	}

	return &group
}

// stream requests one stream, and takes it up at random hosts until it is complete or the caller's time is used up.
func (s *versionSystem) stream(ctx context.Context, random *rand.Rand, name string) *versionedStream {
	ctx, cancel := context.WithTimeout(ctx, versionTimeout)
	defer cancel()

	stream := &versionedStream{versions: map[string]bool{}}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

	for n := 0; ctx.Err() == nil && !stream.complete && (s.attempts == 0 || n < s.attempts); n++ {
		s.attempt(ctx, client, stream, standin.Call{
			Address: s.entries[random.IntN(len(s.entries))].callers, Host: "h.example", Path: "/chat/x", Attempt: fmt.Sprintf("%s-%d", name, n),
			Key: "secret", Tokens: "100,20", LastEvent: stream.last, Resumes: stream.first,
		})

		select {
		case <-time.After(100 * time.Millisecond):
		case <-ctx.Done():
		}
	}

	return stream
}

// attempt sends one attempt of a stream and reads its events.
func (s *versionSystem) attempt(ctx context.Context, client *http.Client, stream *versionedStream, c standin.Call) {
	request, err := c.Request(ctx)
	if err != nil {
		s.t.Error(err)
		return
	}

	stream.takenUp = stream.takenUp || stream.first != ""

	progress := func() {}

	if s.patience > 0 {
		limited, cancel := context.WithCancel(ctx)
		defer cancel()

		timer := time.AfterFunc(s.patience, cancel)
		request, progress = request.WithContext(limited), func() { timer.Reset(s.patience) }
	}

	response, err := client.Do(request)
	if err != nil {
		return
	}
	defer response.Body.Close()

	if response.StatusCode != http.StatusOK {
		return
	}

	var id string

	for lines := bufio.NewScanner(response.Body); lines.Scan(); {
		if value, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			id = value
		}

		if data, ok := strings.CutPrefix(lines.Text(), "data: "+id); ok {
			if s.began != nil && !stream.begun {
				s.began()
			}

			stream.wentOn = stream.wentOn || stream.first != ""
			stream.begun, stream.last, stream.versions[data] = true, id, true

			progress()
		}
	}

	if stream.begun && stream.first == "" {
		stream.first = c.Attempt
	}

	stream.complete = stream.last == fmt.Sprint(versionEvents)
}

// checkJoined checks that no stream holds events of two versions.
func (s *versionSystem) checkJoined() {
	s.t.Helper()

	joined := 0

	for _, stream := range s.streams {
		if len(stream.versions) > 1 {
			joined++
		}
	}

	if joined > 0 {
		s.t.Errorf("got %d of %d streams of two versions, want 0", joined, len(s.streams))
	}
}

// check checks that no stream holds events of two versions, and that streams which were taken up went on at least half as often as new
// ones began.
func (s *versionSystem) check(minTakenUp int) {
	s.t.Helper()

	s.checkJoined()

	var begun, takenUp, wentOn int

	for _, stream := range s.streams {
		if stream.begun {
			begun++
		}

		if stream.takenUp {
			takenUp++
		}

		if stream.wentOn {
			wentOn++
		}
	}

	s.t.Logf("%d streams, %d began, %d taken up, %d of them went on", len(s.streams), begun, takenUp, wentOn)

	if takenUp < minTakenUp {
		s.t.Errorf("got %d streams that were taken up, want at least %d", takenUp, minTakenUp)
	}

	if takenUp < minShareOf {
		return
	}

	if got, want := float64(wentOn)/float64(takenUp), float64(begun)/float64(len(s.streams))/2; got < want {
		s.t.Errorf("got %.2f of the streams that were taken up going on, want at least %.2f", got, want)
	}
}

// TestTakeUpAtAnotherVersion guards against streams that their callers take up, at any process, being continued by an engine of another
// software version, and against such streams being refused while engines of their version serve.
func TestTakeUpAtAnotherVersion(t *testing.T) {
	t.Parallel()

	for _, test := range []struct {
		name string
		fail func(s *versionSystem)
		// takenUp is the least number of streams that the callers have to take up.
		takenUp int
	}{
		{"no process killed", func(*versionSystem) {}, 0},
		{"one process killed", func(s *versionSystem) {
			s.entries[0].end(syscall.SIGKILL)
			s.start(s.entries[0])
		}, minShareOf},
		{"all processes killed", (*versionSystem).killAll, minShareOf},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()

			s := newVersionSystem(t, 1, 3)
			s.awaitServing()

			ctx, cancel := context.WithCancel(t.Context())
			group := s.callers(ctx)

			<-time.After(time.Second)

			newer := s.startVersion("v2", 3)

			for round := range 4 {
				<-time.After(1500 * time.Millisecond)
				test.fail(s)

				s.engines[round%2].Crash()
				newer[round%2].Crash()
			}

			<-time.After(2 * time.Second)
			cancel()
			group.Wait()
			s.check(test.takenUp)
		})
	}
}

// TestTakeUpAfterKillAtFirstEvent guards against refusing streams because all processes were killed as soon as the callers had the first events.
func TestTakeUpAfterKillAtFirstEvent(t *testing.T) {
	t.Parallel()

	s := newVersionSystemWith(t, 5, 3, 140*time.Millisecond)
	s.startVersion("v2", 3)
	s.awaitServing()
	<-time.After(2 * time.Second)

	var (
		begun  atomic.Int32
		group  sync.WaitGroup
		killed = make(chan struct{})
	)

	s.began = func() {
		if begun.Add(1) == versionCallers {
			close(killed)
		}
	}

	for i := range versionCallers {
		random := rand.New(rand.NewPCG(s.random.Uint64(), 0))

		group.Go(func() {
			stream := s.stream(t.Context(), random, fmt.Sprintf("s%d", i))

			s.mu.Lock()
			defer s.mu.Unlock()

			s.streams = append(s.streams, stream)
		})
	}

	select {
	case <-killed:
	case <-time.After(versionTimeout):
		t.Fatalf("got %d streams that began, want %d", begun.Load(), versionCallers)
	}

	s.killAll()
	group.Wait()
	s.check(versionCallers)
}

// TestTakeUpOfStoppedProcess guards against streams being refused because the process that began them stands still as engines of a second
// software version join.
func TestTakeUpOfStoppedProcess(t *testing.T) {
	t.Parallel()

	s := newVersionSystem(t, 3, 3)
	s.patience, s.attempts = 2*time.Second, 2
	s.awaitServing()

	ctx, cancel := context.WithCancel(t.Context())
	groups := []*sync.WaitGroup{s.callers(ctx), s.callers(ctx)}

	<-time.After(2 * time.Second)

	stopped := s.entries[0].command.Process
	if err := stopped.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}

	<-time.After(300 * time.Millisecond)
	s.startVersion("v2", 3)
	<-time.After(3500 * time.Millisecond)

	if err := stopped.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}

	<-time.After(time.Second)
	cancel()

	for _, group := range groups {
		group.Wait()
	}

	s.check(minShareOf)
}

// register makes the engines write their entries, as they do all the time, until the context ends. They don't reach a store that is down.
func (s *versionSystem) register(ctx context.Context, down func() bool) {
	for ctx.Err() == nil {
		if !down() {
			for _, e := range s.engines {
				e.Register("ready")
			}
		}

		select {
		case <-time.After(1200 * time.Millisecond):
		case <-ctx.Done():
		}
	}
}

// TestTakeUpAfterOutage guards against refusing the streams of a process that ends soon after an outage of the store, although no engine has
// started again.
func TestTakeUpAfterOutage(t *testing.T) {
	t.Parallel()

	for _, test := range []struct {
		name     string
		versions []string
	}{
		{"one version", nil},
		{"two versions", []string{"v2"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()

			s := newVersionSystemWith(t, 4, 3, 140*time.Millisecond)
			s.attempts = 3

			for _, version := range test.versions {
				s.startVersion(version, 3)
			}

			s.awaitServing()

			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()

			var (
				down       atomic.Bool
				registered sync.WaitGroup
			)

			registered.Go(func() { s.register(ctx, down.Load) })
			<-time.After(3 * time.Second)

			groups := []*sync.WaitGroup{s.callers(ctx), s.callers(ctx)}

			<-time.After(2 * time.Second)
			down.Store(true)
			s.platform.SetDown(true)
			<-time.After(4500 * time.Millisecond)
			s.platform.SetDown(false)
			down.Store(false)
			<-time.After(3150 * time.Millisecond)
			s.entries[0].end(syscall.SIGKILL)
			<-time.After(time.Second)
			cancel()

			for _, group := range groups {
				group.Wait()
			}

			registered.Wait()
			s.check(minShareOf)
		})
	}
}

// TestTakeUpAfterVersionLeft guards against streams being continued by an engine of another software version when all processes are
// killed as the last engines of the version that began them leave.
func TestTakeUpAfterVersionLeft(t *testing.T) {
	t.Parallel()

	s := newVersionSystem(t, 2, 3)
	s.awaitServing()

	ctx, cancel := context.WithCancel(t.Context())
	group := s.callers(ctx)

	<-time.After(time.Second)

	s.startVersion("v2", 3)

	<-time.After(1500 * time.Millisecond)

	for _, e := range s.engines[:3] {
		e.Register("draining")
	}

	<-time.After(200 * time.Millisecond)
	s.killAll()

	for _, e := range s.engines[:3] {
		e.Close()
	}

	<-time.After(4 * time.Second)
	cancel()
	group.Wait()

	s.checkJoined()

	if !slices.ContainsFunc(s.streams, func(stream *versionedStream) bool { return stream.takenUp }) {
		t.Error("got no stream that was taken up, want some")
	}

	s.awaitServing()
}
