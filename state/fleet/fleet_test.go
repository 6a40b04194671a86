package fleet_test

import (
	"fmt"
	"maps"
	"math"
	"runtime"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/apricotway/apricotway"
	_ "github.com/apricotway/apricotway/internal/fixedseed"
	"github.com/apricotway/apricotway/state/fleet"
	"github.com/apricotway/apricotway/state/lease"
)

// offers draws prices for an on-demand and a reclaimable market in each of three zones.
func offers(t *rapid.T) []fleet.Offer {
	var list []fleet.Offer

	for _, zone := range []apricotway.Zone{"a", "b", "c"} {
		for _, reclaimable := range []bool{false, true} {
			list = append(list, fleet.Offer{
				Market: fleet.Market{Zone: zone, MachineClass: "m", Reclaimable: reclaimable},
				Price:  float64(rapid.IntRange(1, 20).Draw(t, "price")), TokensPerSecond: 1,
			})
		}
	}

	return list
}

// TestAllocate guards against an allocation that does not meet the demand after the loss of a zone, is below the on-demand
// floor, or costs more than 1.15 times the cheapest one, found by trying all allocations of up to 6 hosts a zone.
func TestAllocate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := offers(t)
		demand := rapid.IntRange(1, 6).Draw(t, "demand")
		floor := rapid.IntRange(0, 2).Draw(t, "floor")
		target := fleet.Allocate(fleet.Parameters{OnDemandFloor: floor}, fleet.Observation{Demand: float64(demand), Offers: list})

		got, onDemand := 0.0, 0
		for _, offer := range list {
			got += float64(target.Hosts[offer.Market]) * offer.Price
			if !offer.Reclaimable {
				onDemand += target.Hosts[offer.Market]
			}
		}

		if target.Surviving < float64(demand) || onDemand < floor {
			t.Fatalf("got %v tokens a second and %d on-demand hosts, want %d and %d", target.Surviving, onDemand, demand, floor)
		}

		if want := cheapest(list, demand, floor); got > want*1.15+1e-9 {
			t.Fatalf("got cost %v, want at most 1.15 times %v", got, want)
		}
	})
}

// cheapest tries all sizes of the zones, and in each zone all numbers of on-demand hosts.
func cheapest(list []fleet.Offer, demand, floor int) float64 {
	best := math.Inf(1)

	var try func(zone int, sizes [3]int, onDemand int, cost float64)

	try = func(zone int, sizes [3]int, onDemand int, cost float64) {
		if zone == 3 {
			if sizes[0]+sizes[1]+sizes[2]-slices.Max(sizes[:]) >= demand && onDemand >= floor {
				best = min(best, cost)
			}

			return
		}

		for size := range demand + 1 {
			for n := range size + 1 {
				sizes[zone] = size
				try(zone+1, sizes, onDemand+n, cost+float64(n)*list[2*zone].Price+float64(size-n)*list[2*zone+1].Price)
			}
		}
	}
	try(0, [3]int{}, 0, 0)

	return best
}

// TestPlanKeepsCapacity guards against a move that releases hosts before their replacements are live, against hosts that move
// back and forth when prices vary by less than the hysteresis, and against plans that depend on more than the observations.
func TestPlanKeepsCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		terms := fleet.Parameters{OnDemandFloor: 2, MaxChanges: 8, Hysteresis: 0.2, Hold: time.Minute, Start: time.Minute}
		planner, twin := fleet.NewPlanner(terms), fleet.NewPlanner(terms)
		list := offers(t)
		hosts := map[apricotway.BackendServerID]fleet.Host{}
		ordered := map[apricotway.BackendServerID]time.Time{}
		created, now := 0, time.Time{}

		run := func(steps int, prices func(i int) float64) {
			for range steps {
				now = now.Add(time.Minute)

				current := slices.Clone(list)
				for i := range current {
					current[i].Price *= prices(i)
				}

				observation := fleet.Observation{Demand: 10, Offers: current}
				for _, id := range slices.Sorted(maps.Keys(hosts)) {
					observation.Hosts = append(observation.Hosts, hosts[id])
				}

				for id, host := range hosts {
					if now.Sub(ordered[id]) >= 3*time.Minute {
						host.State = fleet.HostLive
						hosts[id] = host
					}
				}

				released := false

				intents := planner.Plan(now, observation)
				if other := twin.Plan(now, observation); !slices.Equal(intents, other) {
					t.Fatalf("got %v and %v from one observation", intents, other)
				}

				for _, intent := range intents {
					if intent.Action == fleet.ActionRelease {
						released = true

						delete(hosts, intent.Host)

						continue
					}

					created++
					id := apricotway.BackendServerID(fmt.Sprintf("%04d", created))
					hosts[id] = fleet.Host{ID: id, Market: intent.Market, State: fleet.HostPending}
					ordered[id] = now
				}

				zones, total, onDemand := map[apricotway.Zone]int{}, 0, 0
				for _, host := range hosts {
					if host.State == fleet.HostLive {
						zones[host.Zone]++
						total++

						if !host.Reclaimable {
							onDemand++
						}
					}
				}

				if largest := max(zones["a"], zones["b"], zones["c"]); released && (total-largest < 10 || onDemand < 2) {
					t.Fatalf("got %v with %d on-demand hosts after a release", zones, onDemand)
				}
			}
		}

		run(20, func(int) float64 { return 1 })

		before := created

		run(20, func(int) float64 { return rapid.Float64Range(0.95, 1.05).Draw(t, "noise") })

		if created != before {
			t.Fatalf("got %d creations from noise of 5%%, want none", created-before)
		}

		run(60, func(int) float64 { return rapid.SampledFrom([]float64{0.3, 1, 3}).Draw(t, "jump") })
	})
}

// TestUnknownAction guards against carrying out an intent whose action only a newer build knows, as if it were a release.
func TestUnknownAction(t *testing.T) {
	fold := fleet.New("fleet-r")

	claim, err := lease.NewRecord(0, "n")
	if err != nil {
		t.Fatal(err)
	}

	market := fleet.Market{Zone: "a", MachineClass: "m"}

	for i, next := range []any{
		nil,
		fleet.Intent{Sequence: 1, Action: fleet.ActionCreate, Market: market},
		fleet.Outcome{Sequence: 1, Result: fleet.ResultCreated, Host: "h"},
		fleet.Intent{Sequence: 2, Action: "replace", Host: "h"},
	} {
		record := claim

		switch next.(type) {
		case fleet.Intent:
			record, err = fleet.NewRecord(fleet.KindIntent, 1, next)
		case fleet.Outcome:
			record, err = fleet.NewRecord(fleet.KindOutcome, 1, next)
		}

		if err != nil {
			t.Fatal(err)
		}

		fold.Apply(apricotway.StoredRecord{Record: record, Offset: apricotway.Offset(i + 1)}, time.Time{})
	}

	if got := len(fold.OpenIntents()); got != 1 {
		t.Errorf("got %d open intents, want the one that another build carries out", got)
	}

	if got := fold.OrderableIntents(); len(got) != 0 {
		t.Errorf("got %v to carry out, want none", got)
	}

	now := time.Now()

	hosts, _ := fleet.NewTracker(fleet.Lags{}).Track(now, fold, "s", []apricotway.BackendServer{{ID: "h", Service: "s", State: apricotway.HostLive}})
	if len(hosts) != 1 || hosts[0].State != fleet.HostLive {
		t.Errorf("got hosts %v, want h live", hosts)
	}
}

// TestFold guards the stream against repeated records, against records of a former holder that arrive after the new claim, and
// against two records with one sequence number.
func TestFold(t *testing.T) {
	fold := fleet.New("fleet-r")
	offset := apricotway.Offset(0)
	apply := func(record apricotway.Record, err error) apricotway.Record {
		if err != nil {
			t.Fatal(err)
		}

		offset++
		fold.Apply(apricotway.StoredRecord{Record: record, Offset: offset}, time.Time{})

		return record
	}
	market := fleet.Market{Zone: "a", MachineClass: "m"}
	create := func(epoch apricotway.Offset, sequence uint64) apricotway.Record {
		return apply(fleet.NewRecord(fleet.KindIntent, epoch, fleet.Intent{
			Sequence: sequence, Action: fleet.ActionCreate, Market: market,
		}))
	}
	outcome := func(epoch apricotway.Offset, sequence uint64, result fleet.Result, host apricotway.BackendServerID) {
		apply(fleet.NewRecord(fleet.KindOutcome, epoch, fleet.Outcome{Sequence: sequence, Result: result, Host: host}))
	}
	check := func(when string, open, owned int) {
		t.Helper()

		if got := len(fold.OpenIntents()); got != open {
			t.Errorf("%s: got %d open intents, want %d", when, got, open)
		}

		if got := len(fold.OwnedHosts()); got != owned {
			t.Errorf("%s: got %d hosts, want %d", when, got, owned)
		}
	}

	create(0, 1)
	check("without a lease", 0, 0)
	apply(lease.NewRecord(0, "first"))
	first := offset
	record := create(first, 1)
	token := fold.OpenIntents()[0].Token

	apply(record, nil)
	create(first, 1)
	check("after a repeated record and a second one with its number", 1, 0)
	apply(lease.NewRecord(first, "first"))
	create(first, 2)
	check("after a renewal, with the number of the claim", 2, 0)
	apply(lease.NewRecord(offset-1, "second"))

	second := offset

	create(first, 3)
	outcome(first, 1, fleet.ResultRefused, "")
	check("after records of the deposed holder", 2, 0)

	if got := fold.OpenIntents()[0].Token; got != token {
		t.Errorf("got token %s under the new holder, want %s", got, token)
	}

	outcome(second, 1, fleet.ResultCreated, "h")
	apply(record, nil)
	outcome(second, 1, fleet.ResultRefused, "")
	check("after the outcome and its repetition", 1, 1)

	if fold.Blocked(time.Time{})[market] {
		t.Error("got the market blocked by a void refusal")
	}

	outcome(second, 2, fleet.ResultRefused, "")

	record = create(second, 3)
	outcome(second, 3, fleet.ResultCreated, "i")
	apply(record, nil)
	create(second, 5)
	check("after a repeated record and one that skips a number", 0, 2)
	outcome(second, 3, fleet.ResultRefused, "")
	create(second, 4)
	outcome(second, 4, fleet.ResultRefused, "")

	if !fold.Blocked(time.Time{})[market] || fold.Blocked(time.Time{}.Add(time.Hour))[market] {
		t.Error("got no block after a refusal, or one that does not end")
	}
}

// BenchmarkFold measures folding a stream that created a fleet, and the memory of the resulting state.
func BenchmarkFold(b *testing.B) {
	for _, size := range []int{100, 800, 7600} {
		claim, err := lease.NewRecord(0, "n")
		records := []apricotway.Record{claim}

		for i := 1; i <= size && err == nil; i++ {
			var intent, outcome apricotway.Record

			intent, err = fleet.NewRecord(fleet.KindIntent, 1, fleet.Intent{Sequence: uint64(i), Action: fleet.ActionCreate})
			outcome, _ = fleet.NewRecord(fleet.KindOutcome, 1, fleet.Outcome{
				Sequence: uint64(i), Result: fleet.ResultCreated, Host: apricotway.BackendServerID(fmt.Sprintf("host-%d", i)),
			})
			records = append(records, intent, outcome)
		}

		if err != nil {
			b.Fatal(err)
		}

		b.Run(fmt.Sprint(size), func(b *testing.B) {
			var before, after runtime.MemStats

			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)

				fold := fleet.New("fleet-r")
				for i, record := range records {
					fold.Apply(apricotway.StoredRecord{Record: record, Offset: apricotway.Offset(i + 1)}, time.Time{})
				}

				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(fold)
			}

			b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "kept-B")
		})
	}
}

func BenchmarkPlan(b *testing.B) {
	for _, size := range []int{100, 800, 7600} {
		observation := fleet.Observation{Demand: float64(size) * 75}

		for i, zone := range []apricotway.Zone{"a", "b", "c", "d"} {
			for _, class := range []apricotway.MachineClass{"standard", "large"} {
				for _, reclaimable := range []bool{false, true} {
					market := fleet.Market{Zone: zone, MachineClass: class, Reclaimable: reclaimable}
					observation.Offers = append(observation.Offers, fleet.Offer{
						Market: market, Price: 1 + float64(i)/10, TokensPerSecond: 100,
					})

					for n := range size / 16 {
						id := apricotway.BackendServerID(fmt.Sprintf("%s-%s-%t-%d", zone, class, reclaimable, n))
						observation.Hosts = append(observation.Hosts, fleet.Host{ID: id, Market: market, State: fleet.HostLive})
					}
				}
			}
		}

		b.Run(fmt.Sprint(size), func(b *testing.B) {
			planner := fleet.NewPlanner(fleet.Parameters{MaxChanges: 256, Hysteresis: 0.1})

			b.ReportAllocs()

			for b.Loop() {
				planner.Plan(time.Time{}, observation)
			}
		})
	}
}
