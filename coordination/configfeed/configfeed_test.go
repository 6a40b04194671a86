package configfeed_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/thejerf/suture/v4"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/coordination/configfeed"
	"github.com/apricotway/apricotway/coordination/journal"
	"github.com/apricotway/apricotway/internal/bubble"
)

// fakeLog is an in-memory log of the configuration stream with fault injection.
type fakeLog struct {
	mu      sync.Mutex
	records []apricotway.StoredRecord
	first   apricotway.Offset
	down    bool
	hangs   bool
}

func (l *fakeLog) set(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()

	change()
}

func (l *fakeLog) Append(_ context.Context, _ apricotway.Stream, records []apricotway.Record) (apricotway.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()

	next := l.first + apricotway.Offset(len(l.records))
	for i, record := range records {
		l.records = append(l.records, apricotway.StoredRecord{Record: record, Offset: next + apricotway.Offset(i)})
	}

	return next, nil
}

func (l *fakeLog) Read(
	ctx context.Context, _ apricotway.Stream, from apricotway.Offset, limit int, wait time.Duration,
) (apricotway.Batch, error) {
	for end := time.Now().Add(wait); ; {
		l.mu.Lock()
		batch := apricotway.Batch{Next: from, Oldest: l.first}
		down, hangs := l.down, l.hangs

		if from >= l.first {
			rest := l.records[min(int(from-l.first), len(l.records)):]
			batch.Records = slices.Clone(rest[:min(limit, len(rest))])
			batch.Next += apricotway.Offset(len(batch.Records))
		}
		l.mu.Unlock()

		if hangs {
			<-ctx.Done()
		}

		switch {
		case down || ctx.Err() != nil:
			return apricotway.Batch{}, apricotway.ErrLogUnavailable
		case from < batch.Oldest:
			return batch, apricotway.ErrTrimmed
		case len(batch.Records) > 0 || !time.Now().Before(end):
			return batch, nil
		}

		<-time.After(100 * time.Millisecond)
	}
}

// network implements the membership, the peers and the registry of all processes. A process is identified by its port.
type network struct {
	self     uint16
	mu       *sync.Mutex
	all      map[uint16]map[apricotway.Method]apricotway.PeerHandler
	isolated map[uint16]bool
	// received holds the bytes that each process received from others.
	received map[uint16]int
}

func (n *network) Call(ctx context.Context, to netip.AddrPort, method apricotway.Method, payload []byte) ([]byte, error) {
	n.mu.Lock()
	handler := n.all[to.Port()][method]
	isolated := n.isolated[to.Port()] || n.isolated[n.self]
	n.mu.Unlock()

	if handler == nil || isolated {
		return nil, apricotway.ErrNotSent
	}

	answer, err := handler(ctx, payload)

	n.mu.Lock()
	defer n.mu.Unlock()

	n.received[n.self] += len(answer)

	return answer, err
}

// isolate cuts the given processes off from all others, and reconnects the rest.
func (n *network) isolate(ports ...uint16) {
	n.mu.Lock()
	defer n.mu.Unlock()

	clear(n.isolated)

	for _, port := range ports {
		n.isolated[port] = true
	}
}

func (n *network) Register(method apricotway.Method, handler apricotway.PeerHandler) {
	n.mu.Lock()
	defer n.mu.Unlock()

	if n.all[n.self] == nil {
		n.all[n.self] = map[apricotway.Method]apricotway.PeerHandler{}
	}

	n.all[n.self][method] = handler
}

func member(port uint16) apricotway.Member {
	return apricotway.Member{
		Node: apricotway.NodeID(fmt.Sprint(port)), State: apricotway.MemberAlive,
		Peers: netip.AddrPortFrom(netip.IPv6Loopback(), port),
	}
}

func (n *network) Self() apricotway.Member { return member(n.self) }

func (n *network) Members() []apricotway.Member {
	n.mu.Lock()
	defer n.mu.Unlock()

	var members []apricotway.Member

	for port := range uint16(8) {
		if n.all[port] != nil && port != n.self {
			members = append(members, member(port))
		}
	}

	return members
}

// system is a set of feeds with a common log.
type system struct {
	t          *testing.T
	log        *fakeLog
	supervisor *suture.Supervisor
	network    network
}

func (s *system) start(port uint16, log apricotway.Log, options ...configfeed.Option) *configfeed.Feed {
	own := s.network
	own.self = port

	return configfeed.New(s.supervisor, log, append(options, configfeed.WithPeers(&own, &own, &own))...)
}

func (s *system) publish(count int) {
	for range count {
		s.log.mu.Lock()
		last := s.log.first + apricotway.Offset(len(s.log.records)) - 1
		s.log.mu.Unlock()

		payload, _ := json.Marshal(map[string]any{"object": "a", "replaces": last, "spec": map[string]any{"type": "model"}})
		record := apricotway.Record{SchemaVersion: 1, Kind: "service", ID: fmt.Sprint(last), Payload: payload}
		_, _ = s.log.Append(s.t.Context(), apricotway.StreamConfig, []apricotway.Record{record})
	}
}

// settle advances the virtual time and checks the feed's position and readiness.
func (s *system) settle(pause time.Duration, feed *configfeed.Feed, next apricotway.Offset, ready bool) {
	s.t.Helper()

	<-time.After(pause)
	synctest.Wait()

	got := false

	select {
	case <-feed.Ready():
		got = true
	default:
	}

	if feed.Fold().Next() != next || got != ready {
		s.t.Errorf("got position %d, ready %t, want %d, %t", feed.Fold().Next(), got, next, ready)
	}
}

func inSystem(t *testing.T, test func(s *system)) {
	bubble.Test(t, func(t *testing.T) {
		s := &system{
			t: t, log: &fakeLog{first: 1}, supervisor: suture.NewSimple("test"),
			network: network{
				mu: &sync.Mutex{}, all: map[uint16]map[apricotway.Method]apricotway.PeerHandler{}, isolated: map[uint16]bool{},
				received: map[uint16]int{},
			},
		}
		ctx, cancel := context.WithCancel(t.Context())
		stopped := s.supervisor.ServeBackground(ctx)

		test(s)
		cancel()

		if err := <-stopped; !errors.Is(err, context.Canceled) {
			t.Errorf("supervisor stopped with unexpected error %v", err)
		}
	})
}

// TestSpread guards against a change that only the processes know that read it before the log went down, also when a process is
// too far behind to get single records, and when its log connection hangs instead of failing.
func TestSpread(t *testing.T) {
	for _, test := range []struct {
		name    string
		records int
		hang    bool
	}{{"records", 10, false}, {"whole state", 3000, false}, {"hanging log", 10, true}} {
		t.Run(test.name, func(t *testing.T) {
			inSystem(t, func(s *system) {
				incompleteLog := &fakeLog{first: 1}
				one, two, three := s.start(1, s.log), s.start(2, incompleteLog), s.start(3, incompleteLog)
				s.settle(time.Second, three, 1, true)
				s.publish(test.records)

				want := apricotway.Offset(test.records + 1)
				s.settle(time.Second, one, want, true)

				incompleteLog.set(func() { incompleteLog.down, incompleteLog.hangs = !test.hang, test.hang })
				s.settle(10*time.Second, two, want, true)
				s.settle(0, three, want, true)

				if got := two.Fold().LatestRevision(); got != want-1 {
					t.Errorf("got revision %d, want %d", got, want-1)
				}
			})
		})
	}
}

// TestReadyWithoutLog guards against a process that serves an empty or outdated configuration. While the log is down, a process
// is ready only after it has caught up with ready peers that are a majority of the reachable ones.
func TestReadyWithoutLog(t *testing.T) {
	inSystem(t, func(s *system) {
		s.publish(3)
		s.start(1, s.log)
		old := s.start(2, s.log)
		s.settle(time.Second, old, 4, true)
		s.log.set(func() { s.log.down = true })

		// A process that reaches no peer is not ready.
		s.network.isolate(3)
		three := s.start(3, s.log)
		s.settle(time.Minute, three, 1, false)

		// Two processes that started at the same time are no evidence for each other.
		s.network.isolate(1, 2)
		four := s.start(4, s.log)
		s.settle(time.Minute, four, 1, false)
		s.settle(0, three, 1, false)

		// One ready peer of two reachable ones is no majority, but its records are applied.
		s.network.isolate(2)
		s.settle(time.Minute, four, 4, false)

		s.network.isolate()
		s.settle(time.Minute, four, 4, true)
		s.settle(0, three, 4, true)
	})
}

// TestOneStateWithoutLog guards against a process that never gets the configuration while the log is down, since it asks all peers for their
// whole states at the same time and its link can't carry them in time.
func TestOneStateWithoutLog(t *testing.T) {
	inSystem(t, func(s *system) {
		// More than a process keeps as records.
		const records = 1400

		for i := range records {
			payload := fmt.Appendf(nil, `{"object": "service-%d", "replaces": 0, "spec": {"type": "model"}}`, i)
			record := apricotway.Record{SchemaVersion: 1, Kind: "service", ID: fmt.Sprint(i), Payload: payload}
			_, _ = s.log.Append(t.Context(), apricotway.StreamConfig, []apricotway.Record{record})
		}

		one := s.start(1, s.log)
		for port := range uint16(5) {
			s.start(port+2, s.log)
		}

		s.settle(time.Second, one, records+1, true)

		state, _, err := one.Fold().Checkpoint()
		if err != nil {
			t.Fatal(err)
		}

		s.log.set(func() { s.log.down = true })
		s.settle(5*time.Second, s.start(7, s.log), records+1, true)

		s.network.mu.Lock()
		defer s.network.mu.Unlock()

		// The rest are positions and envelopes.
		if got, want := s.network.received[7], len(state)+len(state)/2; got > want {
			t.Errorf("got %d bytes for a state of %d, want at most %d", got, len(state), want)
		}
	})
}

// TestCheckpointAfterTrim guards against missing or needless checkpoints, and against a process that starts with an empty state
// after a trim.
func TestCheckpointAfterTrim(t *testing.T) {
	inSystem(t, func(s *system) {
		s.publish(3)

		option := configfeed.WithCheckpoints(journal.NewWriter(s.supervisor, s.log), time.Hour)
		s.start(1, s.log, option)
		s.start(2, s.log, option)
		<-time.After(90 * time.Minute)

		s.log.set(func() {
			if got := len(s.log.records); got != 4 || s.log.records[3].Kind != apricotway.KindCheckpoint {
				t.Fatalf("got %d records, want 3 and one checkpoint", got)
			}

			s.log.records, s.log.first = s.log.records[3:], 4
		})
		s.network.isolate(3)
		three := s.start(3, s.log)
		s.settle(time.Minute, three, 5, true)

		if got := three.Fold().LatestRevision(); got != 3 {
			t.Errorf("got revision %d after the trim, want 3", got)
		}

		s.log.set(func() { s.log.records, s.log.first = nil, 5 })
		s.network.isolate(3, 4)
		s.settle(time.Minute, s.start(4, s.log), 1, false)
	})
}

// TestEverywhereWithFrozenMember guards against reporting to an operator that a change is not in force at processes that have it.
// A frozen member once delayed the answers of all by 2 s, and they were older than the change.
func TestEverywhereWithFrozenMember(t *testing.T) {
	inSystem(t, func(s *system) {
		one := s.start(1, s.log)
		s.start(2, s.log)

		frozen := s.network
		frozen.self = 3
		frozen.Register(configfeed.MethodRevisions, func(ctx context.Context, _ []byte) ([]byte, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		})

		s.settle(time.Second, one, 1, true)
		s.publish(5)

		const want = apricotway.Offset(6)

		all := one.AllRevisions(s.t.Context(), want)
		if len(all) != 3 {
			s.t.Fatalf("got %d processes, want 3", len(all))
		}

		for _, revisions := range all {
			if failed := revisions.Node == "3"; (revisions.Failure != "") != failed || !failed && revisions.Next != want {
				s.t.Errorf("process %s: got position %d, failure %q, want %d", revisions.Node, revisions.Next, revisions.Failure, want)
			}
		}
	})
}
