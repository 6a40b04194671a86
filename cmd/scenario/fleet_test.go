package scenario

import (
	"context"
	"fmt"
	"maps"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/thejerf/suture/v4"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/cmd/internal/standin"
	"github.com/apricotway/apricotway/coordination/journal"
	"github.com/apricotway/apricotway/coordination/leasing"
	"github.com/apricotway/apricotway/coordination/planning"
	"github.com/apricotway/apricotway/internal/bubble"
	"github.com/apricotway/apricotway/memorylog"
	"github.com/apricotway/apricotway/state/fleet"
	"github.com/apricotway/apricotway/transport/platform"
)

const fleetRegion = "prairie-west"

// region is a region with a stand-in platform, which the processes that contend for its planning share.
type region struct {
	t     *testing.T
	log   *standin.Log
	hosts *standin.Hosts
	cloud *standin.Cloud

	mu     sync.Mutex
	target planning.Target
	// unplanned tells that no target is in force.
	unplanned bool
	// budget is the number of appends per second that each process may make; 0 means the default.
	budget float64
	// silent is a zone whose orders have no effect and never get a response.
	silent apricotway.Zone
}

// Create implements apricotway.Cloud.
func (r *region) Create(ctx context.Context, order apricotway.HostOrder) (apricotway.BackendServerID, error) {
	if order.Zone == r.silent {
		<-ctx.Done()
		return "", apricotway.ErrPlatformUnavailable
	}

	return r.cloud.Create(ctx, order)
}

// Release implements apricotway.Cloud.
func (r *region) Release(ctx context.Context, id apricotway.BackendServerID, fencing apricotway.Fencing) error {
	return r.cloud.Release(ctx, id, fencing)
}

func newRegion(t *testing.T) *region {
	r := &region{t: t, log: standin.NewLog(), hosts: standin.NewHosts(), target: planning.Target{
		Service: "shop-model", Demand: 400,
		Terms: fleet.Parameters{
			OnDemandFloor: 2, MaxChanges: 64, Hysteresis: 0.1, Hold: 10 * time.Second, Start: time.Minute,
		},
	}}
	r.cloud = standin.NewCloud(fleetRegion, func(server apricotway.BackendServer, present bool) {
		if present {
			r.hosts.Add(server)
		} else {
			r.hosts.Remove(server.ID)
		}
	})

	for i, zone := range []apricotway.Zone{"a", "b", "c"} {
		for _, reclaimable := range []bool{false, true} {
			price := 1 + float64(i)/10
			if reclaimable {
				price *= 0.35
			}

			r.target.Offers = append(r.target.Offers, fleet.Offer{
				Market: fleet.Market{Zone: zone, MachineClass: "standard", Reclaimable: reclaimable},
				Price:  price, TokensPerSecond: 100,
			})
		}
	}

	return r
}

func (r *region) change(change func(*planning.Target)) {
	r.mu.Lock()
	defer r.mu.Unlock()

	change(&r.target)
}

// candidate is one process that contends for the planning lease.
type candidate struct {
	log *freezableLog
	// steps holds the planning steps that the process has reached, kill the one at which it ends ("done" once it has ended), and
	// freeze the one at which it freezes.
	mu    sync.Mutex
	steps []string
	kill  string

	freeze planning.Step
}

func (p *candidate) killAt(step string) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.kill = step
}

func (p *candidate) killed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.kill == "done"
}

func (r *region) start(ctx context.Context, name apricotway.NodeID) *candidate {
	ctx, cancel := context.WithCancel(ctx)
	p := &candidate{log: &freezableLog{Log: r.log}}
	supervisor := suture.NewSimple("test")
	writer := journal.NewWriter(supervisor, p.log)

	if r.budget > 0 {
		writer = journal.NewWriter(supervisor, p.log, journal.WithBudget(r.budget, func() int { return 1 }))
	}

	held := leasing.New(supervisor, p.log, writer, fleet.StreamOf(fleetRegion), name, leaseTerms)
	planning.New(supervisor, fleetRegion, name, p.log, writer, held, r.hosts, r, func() (planning.Target, bool) {
		r.mu.Lock()
		defer r.mu.Unlock()

		target := r.target
		target.Offers = slices.Clone(target.Offers)

		return target, !r.unplanned
	}, planning.WithCheckpointInterval(checkpointInterval), planning.WithLags(fleet.Lags{Start: time.Minute, List: 20 * time.Second}),
		planning.WithHook(func(step planning.Step, intent fleet.Intent) error {
			p.mu.Lock()
			defer p.mu.Unlock()

			if p.freeze == step {
				p.freeze = ""
				p.log.freeze()
				p.mu.Unlock()
				p.log.wait()
				p.mu.Lock()
			}

			current := string(step) + " " + string(intent.Action)
			p.steps = append(p.steps, current)

			if p.kill == current || p.kill == "done" {
				p.kill = "done"
				cancel()

				return errors.New("killed")
			}

			return nil
		}))
	_ = supervisor.ServeBackground(ctx)
	synctest.Wait()

	return p
}

func (r *region) count() map[apricotway.Zone]int {
	counts := map[apricotway.Zone]int{}
	for _, order := range r.cloud.Alive() {
		counts[order.Zone]++
	}

	return counts
}

// check compares the hosts that exist with the wanted number in each zone and the floor of on-demand hosts, and the stream's
// state with the cloud. It returns the number of intents in the stream so far.
func (r *region) check(ctx context.Context, when string, want map[apricotway.Zone]int) uint64 {
	r.t.Helper()

	got := r.count()
	onDemand := 0

	for _, order := range r.cloud.Alive() {
		if !order.Reclaimable {
			onDemand++
		}
	}

	if !maps.Equal(got, want) {
		r.t.Errorf("%s: got hosts %v, want %v", when, got, want)
	}

	if onDemand < 2 {
		r.t.Errorf("%s: got %d on-demand hosts, want the floor of 2", when, onDemand)
	}

	fold := r.fold(ctx)

	alive := slices.Sorted(maps.Keys(r.cloud.Alive()))
	if owned := slices.Sorted(maps.Keys(fold.OwnedHosts())); !slices.Equal(owned, alive) || len(fold.OpenIntents()) > 0 {
		r.t.Errorf("%s: the stream knows hosts %v and %d open intents, want %v and 0", when, owned, len(fold.OpenIntents()), alive)
	}

	return fold.Sequence()
}

// fleetState adapts a fleet.Fold to the state that a journal follower maintains.
type fleetState struct{ fold *fleet.Fold }

func (s fleetState) Next() apricotway.Offset { return s.fold.Next() }

func (s fleetState) Restore(state []byte) error { return s.fold.Restore(state, time.Now()) }

func (s fleetState) Fold(records []apricotway.StoredRecord) {
	for _, record := range records {
		s.fold.Apply(record, time.Now())
	}
}

// fold returns the state after all records of the fleet stream.
func (r *region) fold(ctx context.Context) *fleet.Fold {
	r.t.Helper()

	state := fleetState{fleet.New(fleet.StreamOf(fleetRegion))}
	follower := journal.NewFollower(r.log, fleet.StreamOf(fleetRegion), state, journal.WithRememberedIDs(0))

	for {
		end, err := follower.Step(ctx, 0)
		if err != nil {
			r.t.Fatal(err)
		}

		if end {
			return state.fold
		}
	}
}

// The cheapest allocations that still provide 400 or 200 tokens a second after the loss of the zone with most hosts.
var (
	wantFull = map[apricotway.Zone]int{"a": 2, "b": 2, "c": 2}
	wantHalf = map[apricotway.Zone]int{"a": 1, "b": 1, "c": 1}
)

// inRegion runs the test with a new region under a virtual clock, and ends all processes afterwards.
func inRegion(t *testing.T, test func(ctx context.Context, r *region)) {
	t.Helper()
	bubble.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		test(ctx, newRegion(t))
		cancel()
		sleep(2 * time.Minute)
	})
}

// TestFleetHolderKilled guards against hosts that are ordered twice, forgotten or released by mistake when the lease holder
// dies at any step of a creation or a release, also while the host list lags or the cloud's responses are late or lost.
func TestFleetHolderKilled(t *testing.T) {
	for _, action := range []fleet.Action{fleet.ActionCreate, fleet.ActionRelease} {
		for _, step := range []planning.Step{
			planning.StepBeforeIntent, planning.StepAfterIntent, planning.StepBeforeCheck, planning.StepBeforeCall,
			planning.StepAfterCall, planning.StepBeforeOutcome, planning.StepAfterOutcome,
		} {
			for _, faults := range []standin.CloudFaults{{}, {Lag: 10 * time.Second}, {After: 4 * time.Second}} {
				t.Run(fmt.Sprintf("%s/%s/lag=%s,after=%s", action, step, faults.Lag, faults.After), func(t *testing.T) {
					inRegion(t, func(ctx context.Context, r *region) {
						r.cloud.SetFaults(faults)

						first := r.start(ctx, "first")
						first.killAt(string(step) + " " + string(action))
						r.start(ctx, "second")
						sleep(2 * time.Minute)
						r.check(ctx, "after the creation", wantFull)
						r.change(func(target *planning.Target) { target.Demand = 200 })
						sleep(3 * time.Minute)

						if got, want := r.check(ctx, "after the release", wantHalf), uint64(11); got != want {
							t.Errorf("got %d intents, want %d: 6 creations, one more to spread the on-demand floor over zones, 4 releases", got, want)
						}

						if !first.killed() {
							t.Error("the lease holder was not killed: it did not reach the step")
						}
					})
				})
			}
		}
	}
}

// TestFleetFrozenHolder guards against a holder that continues its plan after it was frozen past the end of its lease: before
// or after it appended its intents to the log, or after it has read them back.
func TestFleetFrozenHolder(t *testing.T) {
	for _, at := range []string{"before append", "after append", "before check"} {
		inRegion(t, func(ctx context.Context, r *region) {
			first := r.start(ctx, "first")
			sleep(30 * time.Second)
			r.check(ctx, "before the freeze", wantFull)

			r.change(func(target *planning.Target) { target.Demand = 800 })
			first.log.mu.Lock()
			first.log.freezeBefore, first.log.freezeAfter = at == "before append", at == "after append"
			first.log.mu.Unlock()
			first.mu.Lock()

			if at == "before check" {
				first.freeze = planning.StepBeforeCheck
			}

			first.mu.Unlock()

			r.start(ctx, "second")
			sleep(time.Minute)
			r.check(ctx, "while frozen "+at, map[apricotway.Zone]int{"a": 4, "b": 4, "c": 4})

			first.mu.Lock()
			passed := len(first.steps)
			first.mu.Unlock()
			first.log.wake()
			sleep(time.Minute)
			r.check(ctx, "after waking", map[apricotway.Zone]int{"a": 4, "b": 4, "c": 4})

			first.mu.Lock()
			defer first.mu.Unlock()

			for _, step := range first.steps[passed:] {
				if strings.HasPrefix(step, string(planning.StepBeforeCall)) {
					t.Errorf("frozen %s: the former holder called the cloud API: %s", at, step)
				}
			}
		})
	}
}

// TestFleetFaults guards against missing and surplus hosts during and after faults of the cloud API, the host list and the log
// service.
func TestFleetFaults(t *testing.T) {
	tests := map[string]struct {
		faults standin.CloudFaults
		log    memorylog.Fault
		// during is the wanted number of hosts in each zone at the end of the faults; nil if any number is allowed.
		during map[apricotway.Zone]int
	}{
		"zone refused":           {faults: standin.CloudFaults{RefuseZones: []apricotway.Zone{"a"}}, during: map[apricotway.Zone]int{"b": 4, "c": 4}},
		"all refused":            {faults: standin.CloudFaults{RefuseAll: true}},
		"slow":                   {faults: standin.CloudFaults{Before: 4 * time.Second}, during: wantFull},
		"late after success":     {faults: standin.CloudFaults{After: time.Minute}, during: wantFull},
		"taking effect too late": {faults: standin.CloudFaults{Before: 50 * time.Second}},
		"answers lost":           {faults: standin.CloudFaults{LoseAnswer: true}, during: wantFull},
		"answers lost and lag":   {faults: standin.CloudFaults{LoseAnswer: true, Lag: 15 * time.Second}},
		"list lagging":           {faults: standin.CloudFaults{Lag: 15 * time.Second}, during: wantFull},
		"log down":               {log: memorylog.FaultDown, during: map[apricotway.Zone]int{}},
		"log answers lost":       {log: memorylog.FaultLoseAnswer},
	}
	for name, test := range tests {
		for _, checks := range []standin.CloudChecks{{}, {Number: true, NotAfter: true}} {
			t.Run(fmt.Sprintf("%s/%+v", name, checks), func(t *testing.T) {
				inRegion(t, func(ctx context.Context, r *region) {
					r.cloud.SetChecks(checks)
					r.cloud.SetFaults(test.faults)
					r.start(ctx, "first")
					r.start(ctx, "second")
					r.log.SetFault(test.log)
					sleep(2 * time.Minute)

					if test.during != nil && test.log == memorylog.FaultNone {
						r.check(ctx, "during the faults", test.during)
					}

					r.log.SetFault(memorylog.FaultNone)
					r.cloud.SetFaults(standin.CloudFaults{})
					sleep(10 * time.Minute)
					r.check(ctx, "after the faults", wantFull)
				})
			})
		}
	}
}

// TestFleetSilentZone guards against a planner that waits for a zone whose orders never get a response, instead of ordering the
// capacity in other zones.
func TestFleetSilentZone(t *testing.T) {
	inRegion(t, func(ctx context.Context, r *region) {
		r.silent = "a"
		r.start(ctx, "first")
		sleep(time.Minute)

		if got, want := r.count(), (map[apricotway.Zone]int{"b": 4, "c": 4}); !maps.Equal(got, want) {
			t.Errorf("got hosts %v, want %v", got, want)
		}
	})
}

// TestFleetZoneReclaimed guards against hosts that are replaced only at their loss and not at the reclaim notice, and against
// replacements that are given up when other zones refuse them or the log service is down meanwhile.
func TestFleetZoneReclaimed(t *testing.T) {
	inRegion(t, func(ctx context.Context, r *region) {
		r.start(ctx, "first")
		sleep(30 * time.Second)
		r.check(ctx, "at first", wantFull)

		// The hosts of zone a get a reclaim notice, and all zones refuse orders at first.
		r.cloud.SetFaults(standin.CloudFaults{RefuseAll: true})
		r.hosts.ReclaimZone("a", time.Now().Add(30*time.Second))
		sleep(5 * time.Second)
		r.cloud.SetFaults(standin.CloudFaults{RefuseZones: []apricotway.Zone{"a"}})
		sleep(20 * time.Second)

		if got, want := r.count(), (map[apricotway.Zone]int{"a": 2, "b": 4, "c": 4}); !maps.Equal(got, want) {
			t.Errorf("before the loss: got hosts %v, want %v", got, want)
		}

		r.log.SetFault(memorylog.FaultDown)

		for id, order := range r.cloud.Alive() {
			if order.Zone == "a" {
				if err := r.cloud.Release(ctx, id, apricotway.Fencing{}); err != nil {
					t.Fatal(err)
				}
			}
		}

		sleep(30 * time.Second)
		r.log.SetFault(memorylog.FaultNone)
		r.cloud.SetFaults(standin.CloudFaults{RefuseZones: []apricotway.Zone{"a"}})
		sleep(5 * time.Minute)
		r.check(ctx, "without zone a", map[apricotway.Zone]int{"b": 4, "c": 4})

		r.cloud.SetFaults(standin.CloudFaults{})
		sleep(15 * time.Minute)
		r.check(ctx, "with zone a again", wantFull)
	})
}

// TestPlatformClients guards against clients that mistake the platform's responses: a refusal for an outage, an outage for a
// refusal, or a wait from the weight store for a grant.
func TestPlatformClients(t *testing.T) {
	hosts := standin.NewHosts()
	cloud := standin.NewCloud(fleetRegion, func(server apricotway.BackendServer, _ bool) { hosts.Add(server) })
	cloudServer := httptest.NewServer(cloud.Handler())
	weightServer := httptest.NewServer(standin.NewWeights(time.Hour).Handler())
	client := platform.NewCloud(netip.MustParseAddrPort(cloudServer.Listener.Addr().String()))
	weights := platform.NewWeights(netip.MustParseAddrPort(weightServer.Listener.Addr().String()))

	for _, test := range []struct {
		faults standin.CloudFaults
		want   error
	}{
		{standin.CloudFaults{RefuseAll: true}, apricotway.ErrHostRefused},
		{standin.CloudFaults{LoseAnswer: true}, apricotway.ErrPlatformUnavailable},
		{standin.CloudFaults{}, nil},
	} {
		cloud.SetFaults(test.faults)

		if _, err := client.Create(t.Context(), apricotway.HostOrder{ClientToken: "t"}); !errors.Is(err, test.want) {
			t.Errorf("got error %v, want %v", err, test.want)
		}
	}

	if got, want := len(cloud.Alive()), 1; got != want {
		t.Errorf("got %d hosts from a repeated token, want %d", got, want)
	}

	// An order with an outdated fencing number, or after its time limit, must get its own error and not that of an outage.
	cloud.SetChecks(standin.CloudChecks{Number: true, NotAfter: true})

	for _, test := range []struct {
		fencing apricotway.Fencing
		want    error
	}{
		{apricotway.Fencing{Number: 2, NotAfter: time.Now().Add(time.Hour)}, nil},
		{apricotway.Fencing{Number: 1, NotAfter: time.Now().Add(time.Hour)}, apricotway.ErrOrderFenced},
		{apricotway.Fencing{Number: 2, NotAfter: time.Now().Add(-time.Hour)}, apricotway.ErrOrderFenced},
	} {
		if _, err := client.Create(t.Context(), apricotway.HostOrder{ClientToken: "t", Fencing: test.fencing}); !errors.Is(err, test.want) {
			t.Errorf("got error %v from a creation, want %v", err, test.want)
		}

		if err := client.Release(t.Context(), "host-00009", test.fencing); !errors.Is(err, test.want) {
			t.Errorf("got error %v from a release, want %v", err, test.want)
		}
	}

	cloudServer.Close()

	if err := client.Release(t.Context(), "host-00001", apricotway.Fencing{}); !errors.Is(err, apricotway.ErrPlatformUnavailable) {
		t.Errorf("got error %v, want %v", err, apricotway.ErrPlatformUnavailable)
	}

	for _, granted := range []bool{true, false} {
		wait, err := weights.Reserve(t.Context(), "1", "s")
		if err != nil || (wait == 0) != granted {
			t.Errorf("got wait %s and error %v, want granted %t", wait, err, granted)
		}
	}

	weightServer.Close()
}
