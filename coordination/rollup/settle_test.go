package rollup_test

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr/funcr"
	"github.com/thejerf/suture/v4"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/coordination/catalog"
	"github.com/apricotway/apricotway/coordination/duty"
	"github.com/apricotway/apricotway/coordination/era"
	"github.com/apricotway/apricotway/coordination/rollup"
	"github.com/apricotway/apricotway/coordination/suspect"
	"github.com/apricotway/apricotway/internal/bubble"
	"github.com/apricotway/apricotway/state/dispatch"
	"github.com/apricotway/apricotway/state/quota"
	"github.com/apricotway/apricotway/state/retrybudget"
	"github.com/apricotway/apricotway/state/route"
	"github.com/apricotway/apricotway/state/tally"
)

const (
	window = 5 * time.Second
	// reportTime is the longest time from the end of a window to its report when no process fails.
	reportTime = 10 * time.Second
	// processes is the number of processes of a system.
	processes = 4
)

var schedules = flag.Int("schedules", 6, "random schedules of TestRandomRestores")

// system is a duty log and a platform with several processes, some of which may be cut off from each other or stopped.
type system struct {
	t *testing.T

	mu      sync.Mutex
	records [][]byte
	trimmed int
	era     apricotway.StoreEra
	state   map[apricotway.StatePart][]byte
	// reports holds the accepted usage reports, and holders the process that used each fencing number.
	reports map[int64]map[apricotway.Workspace]int64
	holders map[apricotway.Offset]apricotway.NodeID
	highest apricotway.Offset
	nodes   []*node
	// skipped holds the windows that holders have logged as skipped.
	skipped map[int64]bool
	// changes counts the processes that have started and ended.
	changes int
	// loseAnswer is called once instead of answering the append of the next usage report.
	loseAnswer func()
	// prepare is called with each process before it starts.
	prepare func(n *node)
}

// node is one process.
type node struct {
	*system

	name     apricotway.NodeID
	address  netip.AddrPort
	eras     *era.Tracker
	tally    *tally.Counter
	handlers map[apricotway.Method]apricotway.PeerHandler
	hear     []func(key string, version uint64, payload []byte)
	// isolated cuts the process off from the others, stopped from the log and the platform as well.
	isolated, stopped bool
	// unaware is set if the process and those from which it is cut off don't know each other: it started during the cut.
	unaware bool
	// started and ended are the values of changes when the process started and ended; ended is 0 while it runs.
	started, ended int
	end            func()
	catalog        rollup.Catalog
	peers          apricotway.Peers
	pool           *dispatch.Pool
	options        []rollup.Option
	limiter        *quota.Limiter
	rollup         *rollup.Rollup
}

func newSystem(t *testing.T, prepare ...func(n *node)) *system {
	t.Helper()

	s := &system{
		t: t, era: 1, state: map[apricotway.StatePart][]byte{}, reports: map[int64]map[apricotway.Workspace]int64{},
		holders: map[apricotway.Offset]apricotway.NodeID{}, skipped: map[int64]bool{},
		prepare: func(n *node) {
			for _, p := range prepare {
				p(n)
			}
		},
	}

	for i := range processes {
		s.add(apricotway.NodeID(fmt.Sprint("n", i)), netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(i+1)))
	}

	return s
}

// add starts a process.
func (s *system) add(name apricotway.NodeID, address netip.AddrPort) {
	n := &node{
		system: s, name: name, eras: era.New(), tally: tally.New(window), address: address,
		handlers: map[apricotway.Method]apricotway.PeerHandler{}, catalog: noCatalog{},
		pool: dispatch.New(), limiter: quota.New(),
	}
	n.peers = n
	s.prepare(n)

	s.set(func() {
		s.changes++
		n.started = s.changes
		s.nodes = append(s.nodes, n)
	})
	n.start()
}

// replace kills processes and starts others at their addresses, which don't know of any process that has ended.
func (s *system) replace(nodes ...*node) {
	for _, n := range nodes {
		s.set(func() {
			s.changes++
			n.stopped, n.ended = true, s.changes
		})
		n.end()
	}

	for _, n := range nodes {
		s.add(n.name+"'", n.address)
	}
}

// running returns the processes that have not ended.
func (s *system) running() []*node {
	s.mu.Lock()
	defer s.mu.Unlock()

	return slices.DeleteFunc(slices.Clone(s.nodes), func(n *node) bool { return n.ended > 0 })
}

// storeCopy is a copy of what processes keep in the store.
type storeCopy struct {
	records [][]byte
	state   map[apricotway.StatePart][]byte
}

func (s *system) copyStore() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()

	return storeCopy{slices.Clone(s.records), maps.Clone(s.state)}
}

// restoreFrom makes the store come back from a copy.
func (s *system) restoreFrom(c storeCopy) {
	s.set(func() {
		s.era++
		s.records, s.state = slices.Clone(c.records), maps.Clone(c.state)
		s.trimmed = min(s.trimmed, len(s.records))
	})
}

func (n *node) start() {
	supervisor := suture.NewSimple(string(n.name))
	duties := duty.New(supervisor, n, n, n, duty.WithEras(n.eras))
	n.rollup = rollup.New(supervisor, rollup.Parts{
		Catalog: n.catalog, Pool: n.pool, Limiter: n.limiter, Tally: n.tally, Suspects: suspect.New(),
		Budget: retrybudget.New(retrybudget.Limits{Ratio: 1, Window: time.Second, Slack: 1}),
	}, duties, n, n, n.peers, n, append([]rollup.Option{
		rollup.WithEras(n.eras), rollup.WithLogger(funcr.NewJSON(n.noteSkipped, funcr.Options{})),
	}, n.options...)...)

	ctx, cancel := context.WithCancel(n.t.Context())
	done := supervisor.ServeBackground(ctx)
	n.end = cancel

	n.t.Cleanup(func() {
		cancel()

		if err := <-done; !errors.Is(err, context.Canceled) {
			n.t.Errorf("supervisor stopped with error %v, want %v", err, context.Canceled)
		}
	})
}

// noteSkipped notes the skipped windows of a log line.
func (s *system) noteSkipped(line string) {
	var settled struct{ Event, Window, Skipped int64 }
	if err := json.Unmarshal([]byte(line), &settled); err != nil {
		s.t.Error(err)
	}

	if settled.Event != 363 {
		return
	}

	s.set(func() {
		for w := settled.Window - settled.Skipped; w < settled.Window; w++ {
			s.skipped[w] = true
		}
	})
}

func (s *system) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()

	change()
}

// run lets all processes that are not stopped count calls for some time.
func (s *system) run(duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); {
		<-time.After(100 * time.Millisecond)
		synctest.Wait()

		s.set(func() {
			for _, n := range s.nodes {
				if !n.stopped {
					n.tally.Add(time.Now(), "w")
				}
			}
		})
	}
}

// restore makes the log go back by some records.
func (s *system) restore(lost int) {
	s.set(func() {
		s.era++
		s.records = slices.Clone(s.records[:max(len(s.records)-lost, 0)])
		s.trimmed = min(s.trimmed, len(s.records))
	})
}

// holder returns the process that used the highest fencing number.
func (s *system) holder() *node {
	s.mu.Lock()
	defer s.mu.Unlock()

	for _, n := range s.nodes {
		if n.name == s.holders[s.highest] {
			return n
		}
	}

	return s.nodes[0]
}

// reported returns the number of windows that have been reported.
func (s *system) reported() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return len(s.reports)
}

// wantReported checks that the windows that ended within the given time are reported, except those too young.
func (s *system) wantReported(within time.Duration) {
	s.t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()

	now := time.Now()
	counter := tally.New(window)

	for w := counter.Window(now.Add(-within)) + 1; counter.End(w).Add(reportTime).Before(now); w++ {
		if _, ok := s.reports[w]; !ok {
			s.t.Errorf("got no report of window %d, which ended %s ago", w, now.Sub(counter.End(w)))
		}
	}
}

func (n *node) AppendAt(_ context.Context, at apricotway.Offset, record []byte) (apricotway.StoreEra, error) {
	n.mu.Lock()
	defer n.mu.Unlock()

	if n.stopped {
		return 0, apricotway.ErrLogUnavailable
	}

	n.eras.Observe(n.era)

	if int(at) != len(n.records)+1 {
		return n.era, apricotway.ErrConflict
	}

	n.records = append(n.records, record)

	if n.loseAnswer != nil && bytes.Contains(record, []byte(`"usage"`)) {
		n.loseAnswer()
		n.loseAnswer = nil

		return 0, apricotway.ErrLogUnavailable
	}

	return n.era, nil
}

func (n *node) ReadFrom(_ context.Context, from apricotway.Offset) (apricotway.DutyRecords, error) {
	n.mu.Lock()
	defer n.mu.Unlock()

	if n.stopped {
		return apricotway.DutyRecords{}, apricotway.ErrLogUnavailable
	}

	n.eras.Observe(n.era)

	end := apricotway.Offset(len(n.records) + 1)
	from = max(from, apricotway.Offset(n.trimmed+1))

	if from > end {
		return apricotway.DutyRecords{Era: n.era}, apricotway.ErrTrimmed
	}

	return apricotway.DutyRecords{Records: n.records[from-1:], First: from, End: end, Era: n.era}, nil
}

func (n *node) SaveState(_ context.Context, part apricotway.StatePart, state []byte) error {
	n.set(func() { n.state[part] = state })
	return nil
}

func (n *node) State(_ context.Context, part apricotway.StatePart) ([]byte, error) {
	n.mu.Lock()
	defer n.mu.Unlock()

	return n.state[part], nil
}

func (n *node) ReportUsage(_ context.Context, holder apricotway.DutyHolder, report apricotway.UsageReport) error {
	n.mu.Lock()
	defer n.mu.Unlock()

	if n.stopped {
		return apricotway.ErrPlatformUnavailable
	}

	if holder.Number < n.highest {
		return apricotway.ErrOrderFenced
	}

	if before, ok := n.holders[holder.Number]; ok && before != n.name {
		n.t.Errorf("fencing number %d: got holders %s and %s, want one", holder.Number, before, n.name)
	}

	n.highest, n.holders[holder.Number] = holder.Number, n.name

	if before, ok := n.reports[report.Window]; ok && !maps.Equal(before, report.Calls) {
		n.t.Errorf("window %d: got a second report %v by %s, want %v", report.Window, report.Calls, n.name, before)
	}

	n.reports[report.Window] = report.Calls

	return nil
}

func (n *node) OrderCapacity(context.Context, apricotway.DutyHolder, apricotway.CapacityOrder) error {
	return nil
}

func (n *node) member() apricotway.Member {
	return apricotway.Member{Node: n.name, State: apricotway.MemberAlive, Ready: true, Peers: n.address, Capacity: 1}
}

func (n *node) Self() apricotway.Member { return n.member() }

func (n *node) Members() []apricotway.Member {
	n.mu.Lock()
	defer n.mu.Unlock()

	var members []apricotway.Member

	for _, other := range n.nodes {
		if other == n || other.ended > 0 && other.ended < n.started {
			continue
		}

		member := other.member()
		if n.apart(other) {
			if n.unaware || other.unaware {
				continue
			}

			member.State = apricotway.MemberDead
		}

		members = append(members, member)
	}

	return members
}

// apart reports whether two processes can't reach each other. The caller holds the system's lock.
func (n *node) apart(other *node) bool {
	return n.isolated || n.stopped || other.isolated || other.stopped
}

func (n *node) Publish(entry apricotway.BroadcastEntry) error {
	n.mu.Lock()
	defer n.mu.Unlock()

	for _, other := range n.nodes {
		if other != n && !n.apart(other) {
			for _, hear := range other.hear {
				hear(entry.Key, entry.Version, entry.Payload)
			}
		}
	}

	return nil
}

func (n *node) Subscribe(_ apricotway.Topic, hear func(key string, version uint64, payload []byte)) {
	n.hear = append(n.hear, hear)
}

func (n *node) Latest(apricotway.Topic) []apricotway.BroadcastEntry { return nil }

func (n *node) Register(method apricotway.Method, handler apricotway.PeerHandler) {
	n.handlers[method] = handler
}

func (n *node) Call(ctx context.Context, address netip.AddrPort, method apricotway.Method, payload []byte) ([]byte, error) {
	n.mu.Lock()

	var handler apricotway.PeerHandler

	for _, other := range n.nodes {
		if other.address == address && !n.apart(other) && other.ended == 0 {
			handler = other.handlers[method]
		}
	}
	n.mu.Unlock()

	if handler == nil {
		return nil, errors.Wrap(apricotway.ErrNotSent, "cut off")
	}

	return handler(ctx, payload)
}

type noCatalog struct{}

func (noCatalog) Table() *route.Table                                   { return nil }
func (noCatalog) Position() catalog.Position                            { return catalog.Position{} }
func (noCatalog) BootTime() time.Duration                               { return 0 }
func (noCatalog) News(apricotway.NodeID, catalog.Position) catalog.News { return catalog.News{} }
func (noCatalog) ApplyNews(time.Duration, catalog.News)                 {}
func (noCatalog) SetReader(bool, time.Duration)                         {}

// TestReportLostWithItsRecord guards against a successor that reports a window again with what it counts itself, since the record of its
// predecessor's report was lost and the predecessor can't be asked.
func TestReportLostWithItsRecord(t *testing.T) {
	for name, lose := range map[string]func(s *system){
		"restore": func(s *system) { s.restore(1) },
		"trim":    func(s *system) { s.set(func() { s.trimmed = len(s.records) }) },
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				s := newSystem(t)
				s.run(30 * time.Second)

				holder, before := s.holder(), s.reported()
				for s.reported() == before {
					s.run(100 * time.Millisecond)
				}

				// No other process hears of the report.
				s.set(func() { holder.stopped = true })
				lose(s)
				s.run(10 * time.Second)
				s.set(func() { holder.stopped = false })
				s.run(30 * time.Second)
				s.wantReported(20 * time.Second)
			})
		})
	}
}

// TestReportLostWithAllItsWitnesses guards against a process that has just started, and reports a window again with what is left of its
// counts, since neither the log nor any process that it knows tells of the report.
func TestReportLostWithAllItsWitnesses(t *testing.T) {
	for name, lose := range map[string]func(s *system, stored storeCopy){
		"restore": (*system).restoreFrom,
		"restore of a log without claims": func(s *system, stored storeCopy) {
			s.restoreFrom(stored)
			s.set(func() { s.trimmed = len(s.records) })
		},
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				s := newSystem(t)
				s.run(28 * time.Second)

				// A report that the copy lacks.
				before, stored := s.reported(), s.copyStore()
				for s.reported() == before {
					s.run(100 * time.Millisecond)
				}

				lose(s, stored)
				s.replace(s.running()...)
				s.run(40 * time.Second)
				s.wantReported(20 * time.Second)
			})
		})
	}
}

// TestWindowsOfLongVacancy guards against windows that are in no report and that no holder logs as skipped, when nobody holds the duties for
// longer than the processes keep their counts.
func TestWindowsOfLongVacancy(t *testing.T) {
	for name, comeBack := range map[string]func(s *system){
		"restore":      func(s *system) { s.restore(0) },
		"store as was": func(*system) {},
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				s := newSystem(t)
				s.run(30 * time.Second)

				all := s.running()
				holder := s.holder()

				s.set(func() {
					for _, n := range all {
						n.stopped = true
					}

					s.changes++
					holder.ended = s.changes
				})
				holder.end()
				s.run(8 * window)
				comeBack(s)
				s.set(func() {
					for _, n := range all {
						n.stopped = n == holder
					}
				})
				s.run(40 * time.Second)
				s.wantAllWindowsNamed()
			})
		})
	}
}

// TestReportRecordedAfterRestore guards against a window that is never reported, since its report was recorded while the store had come back
// and the holder did not know of it: the record counts as reported from then on.
func TestReportRecordedAfterRestore(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := newSystem(t)
		s.run(30 * time.Second)
		s.restore(0)
		s.run(40 * time.Second)
		s.wantAllWindowsNamed()
		s.wantReported(40 * time.Second)
	})
}

// wantAllWindowsNamed checks that each window up to the newest report is reported or skipped.
func (s *system) wantAllWindowsNamed() {
	s.t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()

	windows := slices.Sorted(maps.Keys(s.reports))
	if len(windows) == 0 {
		s.t.Fatal("got no reports")
	}

	for w := windows[0]; w < windows[len(windows)-1]; w++ {
		if _, reported := s.reports[w]; !reported && !s.skipped[w] {
			s.t.Errorf("got window %d neither reported nor skipped", w)
		}
	}
}

// TestRecordWithLostAnswer guards against a second record of a window, with other counts, after the answer of the log to the first was lost:
// the holder sends the one and its successor the other.
func TestRecordWithLostAnswer(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := newSystem(t)
		s.run(28 * time.Second)

		holder, before := s.holder(), s.reported()
		other := s.nodes[processes-1]

		// Calls of the window that are counted too late for the first record.
		s.set(func() {
			s.loseAnswer = func() { other.tally.Add(time.Now().Add(-window), "w") }
		})

		for s.reported() == before {
			s.run(100 * time.Millisecond)
		}

		s.set(func() { holder.stopped = true })
		s.run(30 * time.Second)
		s.wantReported(20 * time.Second)
	})
}

// TestRandomRestarts guards against two counts of one window, and reports that end, while the store comes back from copies of different
// ages and processes are killed and replaced at random.
func TestRandomRestarts(t *testing.T) {
	for seed := range uint64(*schedules+1) / 2 {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(seed, 1))
				s := newSystem(t)
				s.run(15 * time.Second)

				stored := s.copyStore()

				for range 15 {
					running := s.running()

					switch random.IntN(6) {
					case 0, 1:
						stored = s.copyStore()
					case 2:
						s.restoreFrom(stored)
						stored = s.copyStore()
					case 3:
						s.restoreFrom(stored)
						stored = s.copyStore()

						s.replace(running...)
					default:
						s.replace(running[random.IntN(len(running))])
					}

					s.run(time.Duration(random.IntN(4000)) * time.Millisecond)
				}

				s.run(60 * time.Second)
				s.wantReported(40 * time.Second)
			})
		})
	}
}

// TestRestoresBesideStartDuringCut guards against two counts of one window by a process that starts while it is cut off from all others but not
// from the log, so that it knows none of them, beside a restore.
func TestRestoresBesideStartDuringCut(t *testing.T) {
	for seed := range uint64(*schedules) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(seed, 2))
				s := newSystem(t)
				s.run(15 * time.Second)

				for range 6 {
					running := s.running()
					s.replace(running[random.IntN(len(running))])

					running = s.running()
					started := running[len(running)-1]
					s.set(func() { started.isolated, started.unaware = true, true })
					s.run(time.Duration(random.IntN(9000)) * time.Millisecond)

					stored := s.copyStore()

					if random.IntN(2) == 0 {
						stored.records = nil
					}

					s.run(time.Duration(random.IntN(4000)) * time.Millisecond)
					s.restoreFrom(stored)
					s.run(time.Duration(random.IntN(4000)) * time.Millisecond)
					s.set(func() { started.isolated, started.unaware = false, false })
					s.run(time.Duration(random.IntN(4000)) * time.Millisecond)
				}

				s.run(60 * time.Second)
				s.wantReported(40 * time.Second)
			})
		})
	}
}

// TestRandomRestores guards against two counts of one window, two holders with one number, and reports that end, while the log goes back
// or is trimmed and processes are stopped and cut off at random.
func TestRandomRestores(t *testing.T) {
	for seed := range uint64(*schedules) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(seed, 0))
				s := newSystem(t)
				s.run(15 * time.Second)

				for range 30 {
					n := s.nodes[random.IntN(processes)]
					if random.IntN(2) == 0 {
						n = s.holder()
					}

					switch random.IntN(6) {
					case 0, 1:
						s.restore(random.IntN(4))
					case 2:
						s.set(func() { s.trimmed = len(s.records) })
					case 3:
						s.set(func() { n.isolated = !n.isolated })
					default:
						s.set(func() { n.stopped = !n.stopped })
					}

					s.run(time.Duration(random.IntN(4000)) * time.Millisecond)
				}

				s.set(func() {
					for _, n := range s.nodes {
						n.isolated, n.stopped = false, false
					}
				})
				s.run(60 * time.Second)
				s.wantReported(40 * time.Second)
			})
		})
	}
}
