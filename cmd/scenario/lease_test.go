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

// freezableLog stands still while its process is frozen.
type freezableLog struct {
	apricotway.Log

	mu sync.Mutex
	// frozen is nil or a channel that is closed when the process wakes.
	frozen chan struct{}
	// freezeBefore and freezeAfter freeze the process at its next append.
	freezeBefore, freezeAfter bool
	// appends holds the times of the process's appends.
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

type contender struct {
	*leasing.Lease

	log *freezableLog
}

// contend starts contenders for one lease. The caller cancels the context and wakes all contenders before the test ends.
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

func sleep(duration time.Duration) {
	<-time.After(duration)
	synctest.Wait()
}

// versions is a backend server that loads the model version it is ordered to.
type versions struct {
	checks bool

	mu     sync.Mutex
	number apricotway.Offset
	loaded int
}

// version is one desired condition of the backend server. The order is underway for the delay.
type version struct {
	server *versions
	want   int
	delay  time.Duration
}

func (v *version) Satisfied(context.Context) (bool, error) {
	v.server.mu.Lock()
	defer v.server.mu.Unlock()

	return v.server.loaded == v.want, nil
}

// Apply carries the order out after the delay, also after the end of the order's time: the backend server is slow.
func (v *version) Apply(_ context.Context, order lease.Order) error {
	<-time.After(v.delay)

	v.server.mu.Lock()
	defer v.server.mu.Unlock()

	if v.server.checks && order.Number < v.server.number {
		return apricotway.ErrBackendRefused
	}

	v.server.number, v.server.loaded = order.Number, v.want

	return nil
}

// TestFrozenHolder guards against the order of a former holder that stays in force: the holder is frozen past its lease, and
// its last order reaches the backend server after another process has the lease.
func TestFrozenHolder(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("checks fencing %v", checks), func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()

				both := contend(ctx, standin.NewLog(), 2)
				first, second := both[0], both[1]
				// The wanted version is loaded already, so that only the late order changes it.
				server := &versions{checks: checks, loaded: 8}

				if !first.Held() || second.Held() {
					t.Fatal("the first contender does not hold the lease")
				}

				first.log.freeze()
				sleep(leaseTerms.TTL - leaseTerms.Margin - time.Millisecond)

				late := make(chan error, 1)
				go func() { late <- first.Enforce(ctx, &version{server, 7, leaseTerms.MaxOrder}, checks) }()

				sleep(4 * leaseTerms.Margin)

				if first.Held() || !second.Held() {
					t.Fatal("the second contender does not hold the lease")
				}

				if err := second.Enforce(ctx, &version{server, 8, 0}, checks); err != nil {
					t.Error(err)
				}

				if err := <-late; checks != errors.Is(err, apricotway.ErrBackendRefused) {
					t.Errorf("got %v for the late order", err)
				}

				// The woken holder has not read the stream yet.
				err := first.Enforce(ctx, &version{server, 7, 0}, checks)
				if !errors.Is(err, leasing.ErrNotHeld) {
					t.Errorf("got %v from the frozen holder, want ErrNotHeld", err)
				}

				first.log.wake()
				sleep(time.Second)

				if err := first.Enforce(ctx, &version{server, 7, 0}, checks); !errors.Is(err, leasing.ErrNotHeld) {
					t.Errorf("got %v from the woken holder, want ErrNotHeld", err)
				}

				if server.loaded != 8 {
					t.Errorf("got version %d, want 8", server.loaded)
				}
			})
		})
	}
}

// TestHolderFrozenInRenewal guards against a lease that counts from the time at which its holder reads it: the holder wakes
// after the renewal that it had appended has run out, and reads it back.
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
			t.Error("the lease is held after it has run out")
		}

		holder.log.wake()
		sleep(time.Second)

		if !holder.Held() {
			t.Error("the lease is not held after its renewal")
		}
	})
}

// TestAnswersOfRenewalsLost guards against a holder that loses its lease when every append takes effect and its answer is
// lost, or when a record arrives twice.
func TestAnswersOfRenewalsLost(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()

		log := standin.NewLog()
		holder := contend(ctx, log, 1)[0]

		for i := range 100 {
			// The first record is still the one in force.
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

// TestOneHolder guards against two processes that hold a lease at the same time, and against a lease that nobody takes over,
// under frozen holders, an unavailable log service and lost answers, with and without a stream that is trimmed meanwhile.
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
					t.Fatalf("got number %d after %d", whole.Lease().Number, number)
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
			t.Error("nobody holds the lease after all faults have ended")
		}
	})
}

// pair is a membership of two nodes.
type pair struct{ self, other apricotway.Member }

func (p *pair) Self() apricotway.Member      { return p.self }
func (p *pair) Members() []apricotway.Member { return []apricotway.Member{p.other} }

// TestOwnerPausedBeforeSend guards against a call that a former owner sends when it wakes between its read of the stream and
// the call, after another process has claimed the shard and answered unknown.
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

// changingPair is a pair whose view of the other node changes.
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

func (p *changingPair) see(state apricotway.MemberState) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.other.State = state
}

// TestRepeatAfterCut guards against a repeat that is told that the call did not run, at a process that still takes itself for
// the owner: it was cut off, another process claimed the shard and ran the call, and the log service went down before the cut
// healed.
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
			a.see(state)
			b.see(state)
			sleep(time.Second)
		}
		// Repeats that arrive during the append join the first one.
		slow := shard.WithHook(func(step shard.Step) error {
			if step == shard.StepBeforeIntent {
				<-time.After(time.Second)
			}

			return nil
		})
		// The first owner is the one that hashing names.
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
					t.Errorf("got %q for a call that has run, want %q", got, want)
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

// TestRepeatWithoutContact guards against the same answer at a process that has had no contact to any member, and has not
// suspected all of them yet.
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

				// The process learns of the other one after it has claimed the shard, and reads the stream again.
				view.see(apricotway.MemberAlive)
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

// smallAnswers is a log service whose client takes no answers with more than 20 records.
type smallAnswers struct{ apricotway.Log }

func (l smallAnswers) Read(
	ctx context.Context, stream apricotway.Stream, from apricotway.Offset, limit int, wait time.Duration,
) (apricotway.Batch, error) {
	batch, err := l.Log.Read(ctx, stream, from, limit, wait)
	if len(batch.Records) > 20 {
		return apricotway.Batch{}, apricotway.ErrLogUnavailable
	}

	return batch, err
}

// TestLargeRecords guards against a shard that nobody can recover because its records together exceed the size limit of one
// answer of the log service.
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
	second := shard.New(supervisor, &pair{apricotway.Member{Node: "b"}, dead("a")}, smallAnswers{log}, send,
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

// hangingLog answers no read before its time-out.
type hangingLog struct{ apricotway.Log }

func (hangingLog) Read(
	context.Context, apricotway.Stream, apricotway.Offset, int, time.Duration,
) (apricotway.Batch, error) {
	<-time.After(5 * time.Second)
	return apricotway.Batch{}, apricotway.ErrLogUnavailable
}

// TestHangingLog guards against calls that wait in turn for the time-out of a log service that hangs, past their deadlines.
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

		// Time stands still in the test but for the time-outs of one read and its repetition.
		if got, want := time.Since(start), 10*time.Second; got != want {
			t.Errorf("got %s until the last answer, want %s", got, want)
		}
	})
}
