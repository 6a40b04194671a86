package duty_test

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/thejerf/suture/v4"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/coordination/duty"
	"github.com/apricotway/apricotway/internal/bubble"
)

// log is an in-memory duty log with fault injection.
type log struct {
	mu      sync.Mutex
	records [][]byte
	state   map[apricotway.StatePart][]byte
	era     apricotway.StoreEra
	// read is the total size in bytes of the records that were read.
	read int
	// down fails all calls; lose performs the next append but reports an unknown outcome.
	down, lose bool
}

func (l *log) AppendAt(_ context.Context, at apricotway.Offset, record []byte) (apricotway.StoreEra, error) {
	l.mu.Lock()
	defer l.mu.Unlock()

	switch {
	case l.down:
		return 0, apricotway.ErrLogUnavailable
	case int(at) != len(l.records)+1:
		return l.era, apricotway.ErrConflict
	}

	l.records = append(l.records, record)

	if l.lose {
		l.lose = false
		return 0, errors.Wrap(apricotway.ErrAppendUnknown, "answer lost")
	}

	return l.era, nil
}

func (l *log) ReadFrom(_ context.Context, from apricotway.Offset) (apricotway.DutyRecords, error) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if l.down {
		return apricotway.DutyRecords{}, apricotway.ErrLogUnavailable
	}

	from = max(from, 1)
	end := apricotway.Offset(len(l.records) + 1)

	if from > end {
		return apricotway.DutyRecords{Era: l.era}, apricotway.ErrTrimmed
	}

	for _, record := range l.records[from-1:] {
		l.read += len(record)
	}

	return apricotway.DutyRecords{Records: l.records[from-1:], First: from, End: end, Era: l.era}, nil
}

func (l *log) SaveState(_ context.Context, part apricotway.StatePart, state []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()

	if l.down {
		return apricotway.ErrLogUnavailable
	}

	if l.state == nil {
		l.state = map[apricotway.StatePart][]byte{}
	}

	l.state[part] = state

	return nil
}

func (l *log) State(_ context.Context, part apricotway.StatePart) ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if l.down {
		return nil, apricotway.ErrLogUnavailable
	}

	return l.state[part], nil
}

func (l *log) set(change func(l *log)) {
	l.mu.Lock()
	defer l.mu.Unlock()

	change(l)
}

// cluster holds the membership and the broadcast handlers of all processes in a test.
type cluster struct {
	mu       sync.Mutex
	states   map[apricotway.NodeID]apricotway.MemberState
	handlers map[apricotway.NodeID]func(key string, version uint64, payload []byte)
}

// process implements the membership and the broadcasts of one process of the cluster.
type process struct {
	cluster *cluster
	node    apricotway.NodeID
}

func (s process) Self() apricotway.Member {
	s.cluster.mu.Lock()
	defer s.cluster.mu.Unlock()

	return apricotway.Member{Node: s.node, State: s.cluster.states[s.node], Ready: true}
}

func (s process) Members() []apricotway.Member {
	s.cluster.mu.Lock()
	defer s.cluster.mu.Unlock()

	var members []apricotway.Member

	for node, state := range s.cluster.states {
		if node != s.node {
			members = append(members, apricotway.Member{Node: node, State: state, Ready: true})
		}
	}

	return members
}

func (s process) Publish(entry apricotway.BroadcastEntry) error {
	s.cluster.mu.Lock()
	defer s.cluster.mu.Unlock()

	for node, handler := range s.cluster.handlers {
		if node != s.node {
			handler(entry.Key, entry.Version, entry.Payload)
		}
	}

	return nil
}

func (s process) Subscribe(_ apricotway.Topic, receive func(key string, version uint64, payload []byte)) {
	s.cluster.mu.Lock()
	defer s.cluster.mu.Unlock()

	s.cluster.handlers[s.node] = receive
}

func (s process) Latest(apricotway.Topic) []apricotway.BroadcastEntry { return nil }

func (c *cluster) set(node apricotway.NodeID, state apricotway.MemberState) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.states[node] = state
}

// serve runs the goroutines of a process until the test ends.
func serve(t *testing.T, supervisor *suture.Supervisor) {
	t.Helper()

	ctx, cancel := context.WithCancel(t.Context())
	done := supervisor.ServeBackground(ctx)

	t.Cleanup(func() {
		cancel()

		if err := <-done; !errors.Is(err, context.Canceled) {
			t.Errorf("supervisor stopped with error %v, want %v", err, context.Canceled)
		}
	})
}

// start starts a process and returns its Duty.
func (c *cluster) start(t *testing.T, l *log, node apricotway.NodeID) *duty.Duty {
	t.Helper()
	c.set(node, apricotway.MemberAlive)

	supervisor := suture.NewSimple(string(node))
	s := process{cluster: c, node: node}
	d := duty.New(supervisor, l, s, s)
	serve(t, supervisor)

	return d
}

func newCluster() *cluster {
	return &cluster{
		states:   map[apricotway.NodeID]apricotway.MemberState{},
		handlers: map[apricotway.NodeID]func(key string, version uint64, payload []byte){},
	}
}

// wait advances the virtual time of the test.
func wait(d time.Duration) {
	<-time.After(d)
	synctest.Wait()
}

func held(duties ...*duty.Duty) (holders []apricotway.DutyHolder) {
	for _, d := range duties {
		if holder, ok := d.Held(); ok {
			holders = append(holders, holder)
		}
	}

	return holders
}

// TestOneHolder guards against two holders at a time and against a fencing number that is used twice, after the start, after the
// death of a holder, and after a holder's planned stop.
func TestOneHolder(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		c, l := newCluster(), &log{}
		a, b, d := c.start(t, l, "a"), c.start(t, l, "b"), c.start(t, l, "d")
		wait(3 * time.Second)

		first := held(a, b, d)
		if len(first) != 1 {
			t.Fatalf("got holders %v, want one", first)
		}

		c.set(first[0].Node, apricotway.MemberDead)
		wait(time.Second)

		second := held(b, d)
		if len(second) != 1 || second[0].Number <= first[0].Number {
			t.Fatalf("got holders %v after %v, want one with a higher number", second, first)
		}

		c.set(second[0].Node, apricotway.MemberLeaving)
		wait(time.Second)

		third := held(b, d)
		if len(third) != 1 || third[0].Number <= second[0].Number {
			t.Errorf("got holders %v after %v, want one with a higher number", third, second)
		}
	})
}

// TestUsageBeforeHeardClaim guards against a second report of a window with other counts. A process that receives the broadcast
// of a claim before it has read the log must still take the reports under earlier claims from the log.
func TestUsageBeforeHeardClaim(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		c, l := newCluster(), &log{}
		a := c.start(t, l, "a")
		wait(3 * time.Second)

		report := apricotway.UsageReport{Window: 7, Calls: map[apricotway.Workspace]int64{"w": 3}}
		if err := a.RecordUsage(t.Context(), report); err != nil {
			t.Fatal(err)
		}

		l.set(func(l *log) { l.down = true })

		b := c.start(t, l, "b")
		// Announce a claim that comes after records that b has not read yet.
		if err := (process{cluster: c, node: "z"}).Publish(apricotway.BroadcastEntry{
			Key: "holder", Version: 3, Payload: []byte(`"z"`),
		}); err != nil {
			t.Fatal(err)
		}

		l.set(func(l *log) {
			l.down = false
			l.records = append(l.records, []byte(`{"kind":"claim","node":"z"}`))
		})
		wait(3 * time.Second)

		if got := b.LastUsage(); got == nil || got.Window != 7 || got.Calls["w"] != 3 {
			t.Errorf("got usage report %v, want the report of window 7", got)
		}
	})
}

// TestUsageAfterLaterClaim guards against taking a report that a deposed holder appended after its successor's claim.
func TestUsageAfterLaterClaim(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		c, l := newCluster(), &log{records: [][]byte{
			[]byte(`{"kind":"claim","node":"y"}`),
			[]byte(`{"kind":"claim","node":"z"}`),
			[]byte(`{"kind":"usage","node":"y","usage":{"window":9,"calls":{"w":1}}}`),
			[]byte(`no record`),
		}}
		a := c.start(t, l, "a")
		wait(3 * time.Second)

		if got := a.LastUsage(); got != nil {
			t.Errorf("got usage report %v, want none", got)
		}

		if holder, ok := a.Held(); !ok || holder.Number != 5 {
			t.Errorf("got holder %v and held: %t, want number 5", holder, ok)
		}
	})
}

// TestOddRecords guards against the effect of a record that is only partly decoded, such as a claim whose era is too large a number.
func TestOddRecords(t *testing.T) {
	const depth = 100_000

	nested := strings.Repeat("[", depth) + strings.Repeat("]", depth)

	for name, odd := range map[string]string{
		"large era": `{"kind":"claim","node":"z","era":1e400}`, "negative era": `{"kind":"claim","node":"z","era":-1}`,
		"large window": `{"kind":"claim","node":"z","window":9e99}`, "large claim": `{"kind":"claim","node":"z","claim":18446744073709551616}`,
		"nested": nested, "nested usage": `{"kind":"claim","node":"z","usage":` + nested + `}`,
		"nested unknown field": `{"kind":"claim","node":"z","x":` + nested + `}`, "brackets": strings.Repeat("[", 256<<10),
		"text as usage": `{"kind":"claim","node":"z","usage":"odd"}`, "bytes": "\x00\xff", "nothing": "",
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				c, l := newCluster(), &log{}
				l.records = append(l.records, []byte(`{"kind":"claim","node":"y"}`), []byte(odd))

				a := c.start(t, l, "a")
				wait(3 * time.Second)

				if got := held(a); len(got) != 1 || got[0].Number != 3 {
					t.Errorf("got holders %v, want a with number 3", got)
				}

				first := a.Holder()

				l.set(func(l *log) { l.records = append(l.records, []byte(odd)) })
				a.RequestRefresh()
				wait(10 * time.Second)

				if got := a.Holder(); got != first {
					t.Errorf("after another odd record: got holder %v, want %v", got, first)
				}
			})
		})
	}
}

// TestRecordsOfNewerBuild guards against a holder that goes on after a record which may be a later claim, and against a second count for a
// window, when a newer build writes records that this one does not know.
func TestRecordsOfNewerBuild(t *testing.T) {
	for name, test := range map[string]struct {
		record string
		// deposes is set if the record may be a claim.
		deposes bool
	}{
		"unknown kind":   {`{"kind":"claimOfZone","node":"z","era":1,"usage":{"window":8,"calls":{"w":1}}}`, true},
		"retyped report": {`{"kind":"usage","node":"a","claim":1,"era":1,"usage":{"window":"8","calls":{"w":1}}}`, false},
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				c, l := newCluster(), &log{era: 1}
				a := c.start(t, l, "a")
				wait(3 * time.Second)

				if err := a.RecordUsage(t.Context(), apricotway.UsageReport{Window: 7}); err != nil {
					t.Fatal(err)
				}

				first := a.Holder()

				l.set(func(l *log) { l.records = append(l.records, []byte(test.record)) })
				a.RequestRefresh()
				wait(10 * time.Second)

				if a.UsageSettled() {
					t.Error("got usage settled by the log, want it unsettled")
				}

				if got, want := a.Holder() != first, test.deposes; got != want {
					t.Errorf("got another claim: %t, want %t", got, want)
				}
			})
		})
	}
}

// TestClaimAnswerLost guards against repeating a claim that took effect although its answer was lost.
func TestClaimAnswerLost(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		c, l := newCluster(), &log{lose: true}
		a := c.start(t, l, "a")
		wait(4 * time.Second)

		if holder, ok := a.Held(); !ok || holder.Number != 1 {
			t.Errorf("got holder %v and held: %t, want number 1", holder, ok)
		}
	})
}

// TestFenced guards against a holder that continues under a fencing number that the platform refused. If the log holds no later
// claim, the process claims again.
func TestFenced(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		c, l := newCluster(), &log{}
		a := c.start(t, l, "a")
		wait(3 * time.Second)

		before, _ := a.Held()
		a.MarkFenced(before.Number)

		if _, ok := a.Held(); ok {
			t.Error("process holds the duties under a refused fencing number, want them given up")
		}

		if err := a.RecordUsage(t.Context(), apricotway.UsageReport{Window: 1}); !errors.Is(err, duty.ErrNotHolder) {
			t.Errorf("got error %v, want %v", err, duty.ErrNotHolder)
		}

		wait(time.Second)

		if after, ok := a.Held(); !ok || after.Number <= before.Number {
			t.Errorf("got holder %v and held: %t, want a higher number than %d", after, ok, before.Number)
		}
	})
}

// TestBroadcastLost guards against processes that send their reports to no holder. A process that missed the broadcast of a claim
// reads it from the log, both when the holder that it knows answers that it does not hold the duties and when that holder is dead.
func TestBroadcastLost(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		c, l := newCluster(), &log{records: [][]byte{[]byte(`{"kind":"claim","node":"old"}`)}}
		a := c.start(t, l, "a")
		c.set("old", apricotway.MemberAlive)
		c.set("new", apricotway.MemberAlive)
		wait(3 * time.Second)

		if got, want := a.Holder().Node, apricotway.NodeID("old"); got != want {
			t.Fatalf("got holder %s, want %s", got, want)
		}

		l.set(func(l *log) { l.records = append(l.records, []byte(`{"kind":"claim","node":"new"}`)) })
		a.RequestRefresh()
		wait(2 * time.Second)

		if got, want := a.Holder().Node, apricotway.NodeID("new"); got != want {
			t.Errorf("after a doubt: got holder %s, want %s", got, want)
		}

		l.set(func(l *log) { l.records = append(l.records, []byte(`{"kind":"claim","node":"newest"}`)) })
		c.set("newest", apricotway.MemberAlive)
		c.set("new", apricotway.MemberDead)
		wait(2 * time.Second)

		if got, want := a.Holder().Node, apricotway.NodeID("newest"); got != want {
			t.Errorf("after a death: got holder %s, want %s", got, want)
		}
	})
}

// isolated is a process that has its own view of the states of some members and receives no broadcasts.
type isolated struct {
	process

	sees map[apricotway.NodeID]apricotway.MemberState
}

func (a isolated) Self() apricotway.Member {
	return apricotway.Member{Node: a.node, State: apricotway.MemberAlive, Ready: true}
}

func (a isolated) Members() []apricotway.Member {
	members := a.process.Members()
	for i := range members {
		if state, ok := a.sees[members[i].Node]; ok {
			members[i].State = state
		}
	}

	return members
}

func (isolated) Publish(apricotway.BroadcastEntry) error                                      { return nil }
func (isolated) Subscribe(apricotway.Topic, func(key string, version uint64, payload []byte)) {}

// startIsolated starts a process with a view of its own, and a lease.
func (c *cluster) startIsolated(t *testing.T, l *log, a isolated, options ...duty.Option) *duty.Duty {
	t.Helper()
	c.set(a.node, apricotway.MemberAlive)

	supervisor := suture.NewSimple(string(a.node))
	d := duty.New(supervisor, l, a, a, append([]duty.Option{duty.WithLease(lease)}, options...)...)
	serve(t, supervisor)

	return d
}

const lease = 3 * time.Second

// TestHoldersInTurn guards a platform that does not check the fencing number. A deposed holder must not call it after its successor
// has, and the acting holder must not change twice within one lease. Two processes that both reach the log but consider each other
// dead claim in turn.
func TestHoldersInTurn(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		began := time.Now()
		boot := duty.WithBootClock(func() time.Duration { return time.Since(began) + time.Hour })

		c, l := newCluster(), &log{}
		dead := map[apricotway.NodeID]apricotway.MemberState{"a": apricotway.MemberDead, "b": apricotway.MemberDead}
		a := c.startIsolated(t, l, isolated{process: process{cluster: c, node: "a"}, sees: dead}, boot)
		wait(4 * time.Second)

		if _, ok := a.AuthorizedHolder(t.Context()); !ok {
			t.Fatal("the first holder may not act, want it allowed")
		}

		b := c.startIsolated(t, l, isolated{process: process{cluster: c, node: "b"}, sees: dead}, boot)

		var (
			last    apricotway.DutyHolder
			changed time.Time
			turns   int
		)

		for range 3000 {
			for _, d := range []*duty.Duty{a, b} {
				holder, ok := d.AuthorizedHolder(t.Context())
				if !ok {
					continue
				}

				if holder.Number < last.Number {
					t.Fatalf("got a call under fencing number %d after one under %d", holder.Number, last.Number)
				}

				if holder.Node != last.Node {
					if turns > 1 && time.Since(changed) < lease {
						t.Errorf("got two changes of the holder within %s, want %s or more", time.Since(changed), lease)
					}

					changed, turns = time.Now(), turns+1
				}

				last = holder
			}

			wait(10 * time.Millisecond)
		}

		if turns < 2 {
			t.Errorf("got %d holders, want a change", turns)
		}
	})
}

// TestHolderCutFromLog guards the capacity orders of a holder that cannot reach the log. It continues while the members consider it
// alive, since none of them claims then, and stops when it loses contact with them or after the machine was suspended.
func TestHolderCutFromLog(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		began := time.Now()
		suspended := time.Duration(0)
		contact := time.Now
		c, l := newCluster(), &log{}
		a := c.startIsolated(t, l, isolated{process: process{cluster: c, node: "a"}},
			duty.WithBootClock(func() time.Duration { return time.Since(began) + suspended + time.Hour }),
			duty.WithLastContact(func() time.Time { return contact() }))
		wait(4 * time.Second)
		l.set(func(l *log) { l.down = true })
		wait(10 * time.Second)

		if _, ok := a.AuthorizedHolder(t.Context()); !ok {
			t.Error("holder may not act while the members consider it alive, want it allowed")
		}

		lost := time.Now()
		contact = func() time.Time { return lost }

		wait(1500 * time.Millisecond)

		if _, ok := a.AuthorizedHolder(t.Context()); ok {
			t.Error("holder may act without contact to any member, want it refused")
		}

		contact = time.Now
		suspended = 5 * time.Second

		for range 3 {
			if _, ok := a.AuthorizedHolder(t.Context()); ok {
				t.Error("holder may act after a suspension, want it refused")
			}

			wait(time.Second)
		}
	})
}

// TestHolderSuspended guards a platform that does not check the fencing number against a holder whose machine was suspended. The
// time for which the holder may act is measured on a clock that advances during the suspension, not on the wall clock.
func TestHolderSuspended(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		began := time.Now()
		suspended := time.Duration(0)
		c, l := newCluster(), &log{}
		a := c.startIsolated(t, l, isolated{process: process{cluster: c, node: "a"}},
			duty.WithBootClock(func() time.Duration { return time.Since(began) + suspended + time.Hour }))
		wait(4 * time.Second)

		if _, ok := a.AuthorizedHolder(t.Context()); !ok {
			t.Fatal("holder may not act, want it allowed")
		}

		l.set(func(l *log) { l.records = append(l.records, []byte(`{"kind":"claim","node":"b"}`)) })

		suspended = 10 * time.Second

		if holder, ok := a.AuthorizedHolder(t.Context()); ok {
			t.Errorf("holder %v may act after its successor's claim, want it refused", holder)
		}

		l.set(func(l *log) { l.down = true })

		if holder, ok := a.AuthorizedHolder(t.Context()); ok {
			t.Errorf("holder %v may act without a read of the log, want it refused", holder)
		}
	})
}

// TestReadAfterLongRun guards the start of many processes at once: the amount that a starting process reads from the log must not
// grow with the states that holders have saved.
func TestReadAfterLongRun(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		c, l := newCluster(), &log{}
		a := c.start(t, l, "a")
		wait(3 * time.Second)

		// The saved counts of 295 processes take up to 92,000 bytes and are saved four times a second; the store keeps records for
		// 20 s.
		state := []byte(`"` + strings.Repeat("x", 92_000) + `"`)

		for range 4 * 20 {
			if err := a.SaveState(t.Context(), apricotway.StateCounts, state); err != nil {
				t.Fatal(err)
			}
		}

		before := 0
		l.set(func(l *log) { before = l.read })

		b := c.start(t, l, "b")
		wait(3 * time.Second)

		after := 0
		l.set(func(l *log) { after = l.read })

		if got, want := after-before, 10_000; got > want {
			t.Errorf("a starting process read %d bytes, want at most %d", got, want)
		}

		c.set("a", apricotway.MemberDead)
		wait(2 * time.Second)

		if got := b.LastState(apricotway.StateCounts); string(got) != string(state) {
			t.Errorf("got a state of %d bytes, want the saved one of %d bytes", len(got), len(state))
		}
	})
}

// TestFirstInLine guards against duties that nobody performs because the first-ranked candidate cannot reach the log: the next one
// claims soon.
func TestFirstInLine(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		c, l := newCluster(), &log{}
		a := c.start(t, &log{down: true}, "a")
		b := c.start(t, l, "b")
		wait(4 * time.Second)

		if got := held(a, b); len(got) != 1 || got[0].Node != "b" {
			t.Errorf("got holders %v, want b", got)
		}
	})
}

// sizedProcess is a process whose membership reports the given host capacities.
type sizedProcess struct {
	process

	capacities map[apricotway.NodeID]int
}

func (s sizedProcess) Self() apricotway.Member {
	self := s.process.Self()
	self.Capacity = s.capacities[self.Node]

	return self
}

func (s sizedProcess) Members() []apricotway.Member {
	members := s.process.Members()
	for i := range members {
		members[i].Capacity = s.capacities[members[i].Node]
	}

	return members
}

// TestCapacity guards small hosts against collecting the reports of all processes while larger hosts are available.
func TestCapacity(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		c, l := newCluster(), &log{}
		capacities := map[apricotway.NodeID]int{"a": 125, "b": 125, "c": 800, "d": 800}
		duties := map[apricotway.NodeID]*duty.Duty{}

		for _, node := range []apricotway.NodeID{"b", "a", "d", "c"} {
			// The first process claims before the others have started.
			if node == "a" {
				wait(4 * time.Second)

				if _, ok := duties["b"].Held(); !ok {
					t.Fatal("got no holder, want the only process to hold the duties")
				}
			}

			c.set(node, apricotway.MemberAlive)

			supervisor := suture.NewSimple(string(node))
			s := sizedProcess{process{cluster: c, node: node}, capacities}
			duties[node] = duty.New(supervisor, l, s, s)
			serve(t, supervisor)
		}

		for _, want := range []apricotway.NodeID{"c", "d", "a"} {
			wait(4 * time.Second)

			got := held(duties["a"], duties["b"], duties["c"], duties["d"])
			if len(got) != 1 || got[0].Node != want {
				t.Errorf("got holders %v, want %s", got, want)
			}

			c.set(want, apricotway.MemberDead)
		}
	})
}

// restore makes the log go back to its first records, in the next era.
func (l *log) restore(kept int, written ...string) {
	l.set(func(l *log) {
		l.era++
		l.records = slices.Clone(l.records[:kept])

		for _, record := range written {
			l.records = append(l.records, []byte(record))
		}
	})
}

// TestHolderAfterRestore guards against a holder that can append nothing any more, or acts under an old number, after the store has
// come back from an older copy.
func TestHolderAfterRestore(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		c, l := newCluster(), &log{era: 1}
		a := c.start(t, l, "a")
		wait(3 * time.Second)

		before, _ := a.Held()

		for window := range int64(3) {
			if err := a.RecordUsage(t.Context(), apricotway.UsageReport{Window: window}); err != nil {
				t.Fatal(err)
			}
		}

		l.restore(2)

		if err := a.RecordUsage(t.Context(), apricotway.UsageReport{Window: 3}); err == nil {
			t.Error("a record was appended at a lost offset, want an error")
		}

		wait(time.Second)

		after, ok := a.Held()
		if !ok || after.Number <= before.Number || a.Renewed() != before.Number {
			t.Errorf("got holder %v, held: %t, that renews %d, want a renewal of %v", after, ok, a.Renewed(), before)
		}

		if err := a.RecordUsage(t.Context(), apricotway.UsageReport{Window: 3}); err != nil {
			t.Errorf("got error %v of a record in the new era, want none", err)
		}
	})
}

// TestAppendIntoUnknownEra guards against a record that takes effect although its writer doesn't know the records before it: the log
// went back and grew to the same length again.
func TestAppendIntoUnknownEra(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		c, l := newCluster(), &log{era: 1}
		a := c.start(t, l, "a")
		wait(3 * time.Second)

		if err := a.RecordUsage(t.Context(), apricotway.UsageReport{Window: 7}); err != nil {
			t.Fatal(err)
		}

		c.set("z", apricotway.MemberAlive)
		l.restore(1, `{"kind":"claim","node":"z","era":2}`)

		if err := a.RecordUsage(t.Context(), apricotway.UsageReport{Window: 8}); !errors.Is(err, duty.ErrEraChanged) {
			t.Errorf("got error %v, want %v", err, duty.ErrEraChanged)
		}

		wait(time.Second)

		if holder, ok := a.Held(); ok || holder.Node != "z" {
			t.Errorf("got holder %v and held: %t, want z", holder, ok)
		}

		if got, want := a.LastWindow(), int64(7); got != want || a.LastUsage() != nil {
			t.Errorf("got last window %d and report %v, want %d and none", got, a.LastUsage(), want)
		}

		if a.UsageSettled() {
			t.Error("got reports settled by a record that lies in an unknown era, want them open")
		}
	})
}

// TestNumbersOverEras guards against one fencing number for two claims at an offset that is given out twice.
func TestNumbersOverEras(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		c, l := newCluster(), &log{era: 1}
		a, b := c.start(t, l, "a"), c.start(t, l, "b")
		wait(3 * time.Second)

		numbers := map[apricotway.Offset]bool{}
		last := apricotway.Offset(0)

		for range 4 {
			holders := held(a, b)
			if len(holders) != 1 {
				t.Fatalf("got holders %v, want one", holders)
			}

			if number := holders[0].Number; numbers[number] || number <= last {
				t.Errorf("got number %d after %d, want a higher one", number, last)
			}

			last = holders[0].Number
			numbers[last] = true

			l.restore(0)
			c.set(holders[0].Node, apricotway.MemberDead)
			wait(3 * time.Second)
			c.set(holders[0].Node, apricotway.MemberAlive)
		}
	})
}

// TestRecordOfFutureEra guards against a record of another writer that voids all later ones.
func TestRecordOfFutureEra(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		c, l := newCluster(), &log{era: 2, records: [][]byte{[]byte(`{"kind":"claim","node":"y","era":9}`)}}
		a := c.start(t, l, "a")
		wait(3 * time.Second)

		if holder, ok := a.Held(); !ok || holder.Node != "a" {
			t.Errorf("got holder %v and held: %t, want a", holder, ok)
		}
	})
}

// TestClaimOfUnknownProcess guards against two processes that don't know each other and take each other for dead: a claim that was appended a
// moment ago is that of a process that lives.
func TestClaimOfUnknownProcess(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		c, l := newCluster(), &log{}
		dead := map[apricotway.NodeID]apricotway.MemberState{"a": apricotway.MemberDead, "b": apricotway.MemberDead}

		began := time.Now()
		boot := duty.WithBootClock(func() time.Duration { return time.Since(began) + time.Hour })
		supervisor := suture.NewSimple("processes")

		var (
			duties []*duty.Duty
			seen   apricotway.Offset
			calls  []apricotway.NodeID
			times  []time.Time
		)

		for _, node := range []apricotway.NodeID{"a", "b"} {
			s := isolated{process: process{cluster: c, node: node}, sees: dead}
			c.set(node, apricotway.MemberAlive)
			duties = append(duties, duty.New(supervisor, l, s, s, boot))
		}

		serve(t, supervisor)

		// The platform refuses lower numbers than it has seen.
		for range 100 {
			for _, d := range duties {
				switch holder, ok := d.Held(); {
				case !ok:
				case holder.Number < seen:
					d.MarkFenced(holder.Number)
				default:
					if seen = holder.Number; len(calls) == 0 || calls[len(calls)-1] != holder.Node {
						calls, times = append(calls, holder.Node), append(times, time.Now())
					}
				}
			}

			wait(200 * time.Millisecond)
		}

		if len(calls) < 2 {
			t.Errorf("got calls of %v, want a change of the holder", calls)
		}

		for i := 2; i < len(calls); i++ {
			if got, want := times[i].Sub(times[i-1]), 3*time.Second; got < want {
				t.Errorf("got calls of %s, %s and %s, the last two within %s, want %s or more", calls[i-2], calls[i-1], calls[i], got, want)
			}
		}
	})
}

// TestClaimBeforeSearch guards against a process that claims the duties since it knows no other one, before it has looked for them.
func TestClaimBeforeSearch(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		c, l := newCluster(), &log{}
		c.set("a", apricotway.MemberAlive)

		var settled atomic.Bool

		supervisor := suture.NewSimple("a")
		s := process{cluster: c, node: "a"}
		d := duty.New(supervisor, l, s, s, duty.WithSettled(settled.Load))

		serve(t, supervisor)
		wait(10 * time.Second)

		if got, want := len(held(d)), 0; got != want {
			t.Errorf("got %d holders before the search, want %d", got, want)
		}

		settled.Store(true)
		wait(time.Second)

		if got, want := len(held(d)), 1; got != want {
			t.Errorf("got %d holders after the search, want %d", got, want)
		}
	})
}
