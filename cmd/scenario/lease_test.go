package scenario

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/thejerf/suture/v4"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/cmd/internal/standin"
	"github.com/apricotway/apricotway/coordination/leasing"
	"github.com/apricotway/apricotway/coordination/shard"
	"github.com/apricotway/apricotway/internal/bubble"
	"github.com/apricotway/apricotway/memorylog"
	"github.com/apricotway/apricotway/state/fleet"
	"github.com/apricotway/apricotway/state/lease"
	"github.com/apricotway/apricotway/state/ledger"
)

// freezableLog is the log as one process sees it. It blocks all appends and reads while the process is frozen.
type freezableLog struct {
	apricotway.Log

	mu sync.Mutex
	// frozen is nil while the process runs, else a channel that wake closes.
	frozen chan struct{}
	// freezeBefore and freezeAfter freeze the process before or after its next append takes effect.
	freezeBefore, freezeAfter bool
	// appends holds the time of each append.
	appends []time.Time
}

func (l *freezableLog) freeze() {
	l.mu.Lock()
	defer l.mu.Unlock()

	if l.frozen == nil {
		l.frozen = make(chan struct{})
	}
}

func (l *freezableLog) wake() {
	l.mu.Lock()
	defer l.mu.Unlock()

	if l.frozen != nil {
		close(l.frozen)
		l.frozen = nil
	}
}

// freezeIf freezes the process if the flag is set, and clears the flag.
func (l *freezableLog) freezeIf(flag *bool) {
	l.mu.Lock()
	set := *flag
	*flag = false
	l.mu.Unlock()

	if set {
		l.freeze()
	}
}

func (l *freezableLog) wait() {
	l.mu.Lock()
	frozen := l.frozen
	l.mu.Unlock()

	if frozen != nil {
		<-frozen
	}
}

func (l *freezableLog) Append(
	ctx context.Context, stream apricotway.Stream, records []apricotway.Record,
) (apricotway.Offset, error) {
	l.freezeIf(&l.freezeBefore)
	l.wait()

	l.mu.Lock()
	l.appends = append(l.appends, time.Now())
	l.mu.Unlock()

	offset, err := l.Log.Append(ctx, stream, records)
	l.freezeIf(&l.freezeAfter)
	l.wait()

	return offset, err
}

func (l *freezableLog) Read(
	ctx context.Context, stream apricotway.Stream, from apricotway.Offset, limit int, wait time.Duration,
) (apricotway.Batch, error) {
	l.wait()
	batch, err := l.Log.Read(ctx, stream, from, limit, wait)
	l.wait()

	return batch, err
}

var leaseTerms = lease.Terms{TTL: 9 * time.Second, Margin: time.Second, MaxOrder: 5 * time.Second}

// contender is one process that contends for a lease.
type contender struct {
	*leasing.Lease

	log *freezableLog
}

// contend starts contenders for one lease, of which the first gets it. The caller must cancel the context and wake all
// contenders before the test ends.
func contend(ctx context.Context, log apricotway.Log, count int) []*contender {
	var all []*contender

	for i := range count {
		c := &contender{log: &freezableLog{Log: log}}
		supervisor := suture.NewSimple("test")
		node := apricotway.NodeID(fmt.Sprintf("node-%d", i))
		c.Lease = leasing.New(supervisor, c.log, shard.LogWriter{Log: c.log}, "fleet-prairie-west", node, leaseTerms)
		_ = supervisor.ServeBackground(ctx)
		all = append(all, c)

		synctest.Wait()
	}

	return all
}

// sleep lets the time pass on the virtual clock, and returns once all goroutines are blocked.
func sleep(duration time.Duration) {
	<-time.After(duration)
	synctest.Wait()
}

// modelServer is a backend server that loads the model version it is ordered to.
type modelServer struct {
	checks bool

	mu     sync.Mutex
	number apricotway.Offset
	loaded int
}

// modelCondition is the condition that the backend server has loaded the wanted version. An order takes the delay to reach the
// server.
type modelCondition struct {
	server *modelServer
	want   int
	delay  time.Duration
}

func (v *modelCondition) Satisfied(context.Context) (bool, error) {
	v.server.mu.Lock()
	defer v.server.mu.Unlock()

	return v.server.loaded == v.want, nil
}

// Apply carries the order out after the delay, even past the time limit of the order, as a slow backend server would.
func (v *modelCondition) Apply(_ context.Context, order lease.Order) error {
	<-time.After(v.delay)

	v.server.mu.Lock()
	defer v.server.mu.Unlock()

	if v.server.checks && order.Number < v.server.number {
		return apricotway.ErrBackendRefused
	}

	v.server.number, v.server.loaded = order.Number, v.want

	return nil
}

// TestFrozenHolder guards against the order of a former holder that stays in effect: the holder is frozen past the end of its
// lease, and its last order reaches the backend server after another process has taken the lease.
func TestFrozenHolder(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("checks fencing %v", checks), func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()

				both := contend(ctx, standin.NewLog(), 2)
				first, second := both[0], both[1]
				// Version 8, which the second contender wants, is already loaded, so that only the late order changes it.
				server := &modelServer{checks: checks, loaded: 8}

				if !first.Held() || second.Held() {
					t.Fatal("the lease is not held by the first contender alone")
				}

				first.log.freeze()
				sleep(leaseTerms.TTL - leaseTerms.Margin - time.Millisecond)

				late := make(chan error, 1)
				go func() { late <- first.Enforce(ctx, &modelCondition{server, 7, leaseTerms.MaxOrder}, checks) }()

				sleep(4 * leaseTerms.Margin)

				if first.Held() || !second.Held() {
					t.Fatal("the lease is not held by the second contender alone after the first was frozen")
				}

				if err := second.Enforce(ctx, &modelCondition{server, 8, 0}, checks); err != nil {
					t.Error(err)
				}

				if err := <-late; checks != errors.Is(err, apricotway.ErrBackendRefused) {
					t.Errorf("got error %v for the late order, want ErrBackendRefused only from a server that checks fencing numbers", err)
				}

				// The former holder is still frozen, so that it cannot read that it has lost the lease.
				err := first.Enforce(ctx, &modelCondition{server, 7, 0}, checks)
				if !errors.Is(err, leasing.ErrNotHeld) {
					t.Errorf("got %v from the frozen holder, want ErrNotHeld", err)
				}

				first.log.wake()
				sleep(time.Second)

				if err := first.Enforce(ctx, &modelCondition{server, 7, 0}, checks); !errors.Is(err, leasing.ErrNotHeld) {
					t.Errorf("got %v from the woken holder, want ErrNotHeld", err)
				}

				if server.loaded != 8 {
					t.Errorf("got version %d, want 8", server.loaded)
				}
			})
		})
	}
}

// TestHolderFrozenInRenewal guards against a lease whose time starts when its holder reads the record, not when it appended it:
// the holder wakes after the renewal that it had appended has expired, and only then reads it back.
func TestHolderFrozenInRenewal(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()

		holder := contend(ctx, standin.NewLog(), 1)[0]
		holder.log.mu.Lock()
		holder.log.freezeAfter = true
		holder.log.mu.Unlock()
		sleep(leaseTerms.TTL / 2)
		sleep(leaseTerms.TTL)

		holder.log.mu.Lock()
		holder.log.freezeBefore = true
		holder.log.mu.Unlock()
		holder.log.wake()
		synctest.Wait()

		if holder.Held() {
			t.Error("the lease is held after it has expired")
		}

		holder.log.wake()
		sleep(time.Second)

		if !holder.Held() {
			t.Error("the lease is not held after its renewal")
		}
	})
}

// TestAnswersOfRenewalsLost guards against a holder that loses its lease when each append takes effect but its response is
// lost, or when the log has a record twice.
func TestAnswersOfRenewalsLost(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()

		log := standin.NewLog()
		holder := contend(ctx, log, 1)[0]

		for i := range 100 {
			// At this step the first record is still the one that grants the lease.
			if i == 5 {
				batch, err := log.Read(ctx, "fleet-prairie-west", 1, 1, 0)
				if err != nil {
					t.Fatal(err)
				}

				if _, err := log.Append(ctx, "fleet-prairie-west", []apricotway.Record{batch.Records[0].Record}); err != nil {
					t.Fatal(err)
				}

				log.SetFault(memorylog.FaultLoseAnswer)
			}

			sleep(leaseTerms.TTL / 30)

			if !holder.Held() {
				t.Fatalf("the lease is not held in step %d", i)
			}
		}
	})
}

// TestOneHolder guards against two processes that hold a lease at the same time, and against a lease that no process takes
// over, while processes freeze, the log service is down or its responses are lost, with and without trims of the stream.
func TestOneHolder(t *testing.T) {
	for _, trimmed := range []bool{false, true} {
		t.Run(fmt.Sprintf("trimmed %v", trimmed), func(t *testing.T) { testOneHolder(t, trimmed) })
	}
}

func testOneHolder(t *testing.T, trimmed bool) {
	bubble.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()

		log := standin.NewLog()
		all := contend(ctx, log, 3)
		random := rand.New(rand.NewPCG(1, 2))
		faults := []memorylog.Fault{memorylog.FaultNone, memorylog.FaultNone, memorylog.FaultDown, memorylog.FaultLoseAnswer}
		taken := map[int]bool{}
		r := &region{t: t, log: log}
		whole := fleet.New(fleet.StreamOf(fleetRegion))
		number, fault := whole.Lease().Number, memorylog.FaultNone

		for i := range 3000 {
			if i%40 == 0 {
				fault = faults[random.IntN(len(faults))]
				log.SetFault(fault)

				c := all[random.IntN(len(all))]
				if random.IntN(2) == 0 {
					c.log.freeze()
				} else {
					c.log.wake()
				}
			}

			if trimmed && i%15 == 0 {
				log.SetFault(memorylog.FaultNone)
				r.trimBehindCheckpoint(ctx, whole, random.IntN(3))
				log.SetFault(fault)

				if whole.Lease().Number < number {
					t.Fatalf("got lease number %d after %d, want none lower", whole.Lease().Number, number)
				}

				number = whole.Lease().Number
			}

			holders := 0

			for number, c := range all {
				if c.Held() {
					holders++
					taken[number] = true
				}
			}

			if holders > 1 {
				t.Fatalf("got %d holders in step %d", holders, i)
			}

			sleep(100 * time.Millisecond)
		}

		if len(taken) != len(all) {
			t.Errorf("got %d different holders, want %d", len(taken), len(all))
		}

		log.SetFault(memorylog.FaultNone)

		for _, c := range all {
			c.log.wake()
		}

		sleep(2 * (leaseTerms.TTL + leaseTerms.Margin))

		if !all[0].Held() && !all[1].Held() && !all[2].Held() {
			t.Error("no contender holds the lease after all faults have ended")
		}
	})
}

// pair is a membership of two nodes, whose states do not change.
type pair struct{ self, other apricotway.Member }

func (p *pair) Self() apricotway.Member      { return p.self }
func (p *pair) Members() []apricotway.Member { return []apricotway.Member{p.other} }

// TestOwnerPausedBeforeSend guards against a call that a former owner of a shard still sends: it was paused between its read of
// the stream and the call, while another process claimed the shard and answered that the outcome is unknown.
func TestOwnerPausedBeforeSend(t *testing.T) {
	for _, pause := range []time.Duration{0, time.Minute} {
		t.Run(pause.String(), func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				log, bookings := standin.NewLog(), standin.NewBookings()
				handler := bookings.Handler()
				send := func(
					_ context.Context, _ apricotway.Service, call apricotway.ServiceCall,
				) (apricotway.ServiceAnswer, error) {
					recorder := httptest.NewRecorder()
					handler.ServeHTTP(recorder, httptest.NewRequest(call.Method, call.Path, bytes.NewReader(call.Body)))

					return apricotway.ServiceAnswer{Status: recorder.Code, Body: recorder.Body.Bytes()}, nil
				}
				alive := func(node apricotway.NodeID) apricotway.Member {
					return apricotway.Member{Node: node, State: apricotway.MemberAlive}
				}
				dead := apricotway.Member{Node: "a", State: apricotway.MemberDead}
				supervisor := suture.NewSimple("test")

				r := shard.Request{Key: ledger.Key{Workspace: "w", Key: "k"}, Call: apricotway.ServiceCall{
					Method: http.MethodPost, Path: "/book",
				}}
				second := shard.New(supervisor, &pair{alive("b"), dead}, log, send)
				first := shard.New(supervisor, &pair{alive("a"), apricotway.Member{Node: "b", State: apricotway.MemberDead}},
					log, send, shard.WithHook(func(step shard.Step) error {
						if step == shard.StepBeforeSend && pause > 0 && len(bookings.Executions()) == 0 {
							_, err := second.Run(t.Context(), r)
							if err == nil || apricotway.AsRefusal(err).Execution != apricotway.ExecutionUnknown {
								t.Errorf("got %v from the successor, want unknown", err)
							}

							<-time.After(pause)
						}

						return nil
					}))

				_, err := first.Run(t.Context(), r)
				executions := len(bookings.Executions())

				if pause == 0 && (err != nil || executions != 1) {
					t.Errorf("got %v and %d executions, want 1", err, executions)
				}

				if pause > 0 && (err == nil || apricotway.AsRefusal(err).Execution != apricotway.ExecutionNotStarted || executions != 0) {
					t.Errorf("got %v and %d executions, want notStarted and none", err, executions)
				}
			})
		})
	}
}

// changingPair is a membership of two nodes in which the state of the other node changes.
type changingPair struct {
	self  apricotway.Member
	mu    sync.Mutex
	other apricotway.Member
}

func (p *changingPair) Self() apricotway.Member { return p.self }

func (p *changingPair) Members() []apricotway.Member {
	p.mu.Lock()
	defer p.mu.Unlock()

	return []apricotway.Member{p.other}
}

func (p *changingPair) setOther(state apricotway.MemberState) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.other.State = state
}

// TestRepeatAfterCut guards against a process that wrongly answers a repeat that the call did not run, because it still
// believes that it owns the shard: it was partitioned, another process claimed the shard and ran the call, and the log service went
// down before the partition ended.
func TestRepeatAfterCut(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()

		log, supervisor := standin.NewLog(), suture.NewSimple("test")
		send := func(context.Context, apricotway.Service, apricotway.ServiceCall) (apricotway.ServiceAnswer, error) {
			return apricotway.ServiceAnswer{Status: http.StatusCreated}, nil
		}
		member := func(node apricotway.NodeID) apricotway.Member {
			return apricotway.Member{Node: node, State: apricotway.MemberAlive}
		}
		a := &changingPair{self: member("a"), other: member("b")}
		b := &changingPair{self: member("b"), other: member("a")}
		see := func(state apricotway.MemberState) {
			a.setOther(state)
			b.setOther(state)
			sleep(time.Second)
		}
		// The append of an intent takes a second, in which concurrent repeats join the first one.
		slow := shard.WithHook(func(step shard.Step) error {
			if step == shard.StepBeforeIntent {
				<-time.After(time.Second)
			}

			return nil
		})
		// The first owner must be the node to which the hash of the shard assigns it.
		first := shard.New(supervisor, a, log, send, shard.WithShards(1), slow)
		second := shard.New(supervisor, b, log, send, shard.WithShards(1), slow)

		if first.Candidate(ledger.Key{}) != "a" {
			first, second = second, first
		}

		_ = supervisor.ServeBackground(ctx)
		run := func(m *shard.Manager, key string) apricotway.Execution {
			if _, err := m.Run(ctx, shard.Request{Key: ledger.Key{Key: key}}); err != nil {
				return apricotway.AsRefusal(err).Execution
			}

			return ""
		}

		if got := run(first, "before"); got != "" {
			t.Fatalf("got %q from the first owner", got)
		}

		see(apricotway.MemberDead)

		if got := run(second, "meanwhile"); got != "" {
			t.Fatalf("got %q from the second owner", got)
		}

		log.SetFault(memorylog.FaultDown)
		see(apricotway.MemberAlive)

		var group sync.WaitGroup

		for range 2 {
			group.Go(func() {
				if got, want := run(first, "meanwhile"), apricotway.ExecutionUnknown; got != want {
					t.Errorf("got %q for the repeat of a call that has run, want %q", got, want)
				}
			})
		}

		group.Wait()

		log.SetFault(memorylog.FaultNone)
		sleep(time.Second)
		_ = run(first, "after")
		cancel()
		sleep(time.Minute)
	})
}

// TestRepeatWithoutContact guards against a process that answers that a call did not run although it has lost contact with all
// members, before it suspects all of them: another process may own the shard by then, and the log service is down.
func TestRepeatWithoutContact(t *testing.T) {
	for _, cutOff := range []bool{false, true} {
		t.Run(fmt.Sprint(cutOff), func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()

				log, supervisor, contact := standin.NewLog(), suture.NewSimple("test"), time.Now()
				send := func(context.Context, apricotway.Service, apricotway.ServiceCall) (apricotway.ServiceAnswer, error) {
					return apricotway.ServiceAnswer{Status: http.StatusCreated}, nil
				}
				view := &changingPair{
					self: apricotway.Member{Node: "a"}, other: apricotway.Member{Node: "b", State: apricotway.MemberDead},
				}
				owner := shard.New(supervisor, view, log, send, shard.WithShards(1),
					shard.WithContact(func() time.Time {
						if cutOff {
							return contact
						}

						return time.Now()
					}))
				_ = supervisor.ServeBackground(ctx)

				if _, err := owner.Run(ctx, shard.Request{Key: ledger.Key{Key: "before"}}); err != nil {
					t.Fatal(err)
				}

				// The process learns that the other one is alive after it has claimed the shard, and reads the stream again.
				view.setOther(apricotway.MemberAlive)
				sleep(time.Second)

				if _, err := owner.Run(ctx, shard.Request{Key: ledger.Key{Key: "later"}}); err != nil {
					t.Fatal(err)
				}

				sleep(4 * time.Second)
				log.SetFault(memorylog.FaultDown)

				want := apricotway.ExecutionNotStarted
				if cutOff {
					want = apricotway.ExecutionUnknown
				}

				_, err := owner.Run(ctx, shard.Request{Key: ledger.Key{Key: "k"}})
				if err == nil || apricotway.AsRefusal(err).Execution != want {
					t.Errorf("got %v, want %s", err, want)
				}

				cancel()
				sleep(time.Minute)
			})
		})
	}
}

// limitedLog is a log whose client rejects responses with more than 20 records, as it does those over its size limit.
type limitedLog struct{ apricotway.Log }

func (l limitedLog) Read(
	ctx context.Context, stream apricotway.Stream, from apricotway.Offset, limit int, wait time.Duration,
) (apricotway.Batch, error) {
	batch, err := l.Log.Read(ctx, stream, from, limit, wait)
	if len(batch.Records) > 20 {
		return apricotway.Batch{}, apricotway.ErrLogUnavailable
	}

	return batch, err
}

// TestLargeRecords guards against a shard that no process can recover because its records together exceed the size limit of
// one response of the log service.
func TestLargeRecords(t *testing.T) {
	log, supervisor, sent := standin.NewLog(), suture.NewSimple("test"), 0
	send := func(context.Context, apricotway.Service, apricotway.ServiceCall) (apricotway.ServiceAnswer, error) {
		sent++
		return apricotway.ServiceAnswer{Status: http.StatusCreated}, nil
	}
	dead := func(node apricotway.NodeID) apricotway.Member {
		return apricotway.Member{Node: node, State: apricotway.MemberDead}
	}
	first := shard.New(supervisor, &pair{apricotway.Member{Node: "a"}, dead("b")}, log, send, shard.WithShards(1))
	second := shard.New(supervisor, &pair{apricotway.Member{Node: "b"}, dead("a")}, limitedLog{log}, send,
		shard.WithShards(1))

	const calls = 30

	for _, manager := range []*shard.Manager{first, second} {
		for i := range calls {
			key := ledger.Key{Workspace: "w", Key: fmt.Sprint(i)}
			if _, err := manager.Run(t.Context(), shard.Request{Key: key}); err != nil {
				t.Fatal(err)
			}
		}
	}

	if sent != calls {
		t.Errorf("got %d executions, want %d", sent, calls)
	}
}

// hangingLog is a log whose reads all end with a time-out after 5 s.
type hangingLog struct{ apricotway.Log }

func (hangingLog) Read(
	context.Context, apricotway.Stream, apricotway.Offset, int, time.Duration,
) (apricotway.Batch, error) {
	<-time.After(5 * time.Second)
	return apricotway.Batch{}, apricotway.ErrLogUnavailable
}

// TestHangingLog guards against concurrent calls that each wait for their own read of a hanging log service, one after another,
// until they exceed their deadlines.
func TestHangingLog(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		m := shard.New(suture.NewSimple("test"), &pair{self: apricotway.Member{Node: "a"}}, hangingLog{standin.NewLog()}, nil,
			shard.WithShards(1))
		start := time.Now()

		var group sync.WaitGroup

		for i := range 50 {
			group.Go(func() {
				_, err := m.Run(t.Context(), shard.Request{Key: ledger.Key{Key: fmt.Sprint(i)}})
				// A process that has never read the shard's stream cannot know whether the key was used before.
				if err == nil || apricotway.AsRefusal(err).Execution != apricotway.ExecutionUnknown {
					t.Errorf("got %v, want unknown", err)
				}
			})
		}

		group.Wait()

		// The virtual clock advances only by the time-outs, here of one read and its retry.
		if got, want := time.Since(start), 10*time.Second; got != want {
			t.Errorf("got %s until the last response, want %s", got, want)
		}
	})
}
