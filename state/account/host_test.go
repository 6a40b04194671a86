package account_test

import (
	"math/big"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/account"
	"github.com/apricotway/apricotway/state/config"
	"github.com/apricotway/apricotway/state/fleet"
)

func (s *usageStream) hosts(tb interface{ Fatal(...any) }, batch account.HostBatch, signer string) {
	record, err := batch.Record(signer, keys[signer])
	if err != nil {
		tb.Fatal(err)
	}

	s.put(record)
}

func drawHosts(t *rapid.T, previous apricotway.Offset, from time.Time) account.HostBatch {
	batch := account.HostBatch{
		Region: "r", Previous: previous, From: from, To: from.Add(time.Minute),
		Rule: account.CostRule{
			Revision: 1,
			Idle:     rapid.SampledFrom([]config.IdleRule{config.IdleByTokens, config.IdleByShare, config.IdleEqual}).Draw(t, "idle"),
			Shares:   []account.Share{{Owner: "association", Share: 2}, {Owner: "tinbright", Share: 1}},
		},
	}

	for _, zone := range []apricotway.Zone{"", "b"} {
		batch.Hosts = append(batch.Hosts, account.HostTime{
			Market:       fleet.Market{Zone: zone},
			Microseconds: rapid.Int64Range(0, 20_000_000).Draw(t, "microseconds"),
			Price:        rapid.Int64Range(0, 5_000_000).Draw(t, "price"),
		})
	}

	return batch
}

// TestSplit guards against parts whose sum differs from the amount, and against parts that are off by one unit or more.
func TestSplit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		amount := rapid.Int64Range(0, 1<<50).Draw(t, "amount")
		weights := rapid.SliceOfN(rapid.Int64Range(0, 1<<45), 1, 10).Draw(t, "weights")
		sum := new(big.Int)

		for _, weight := range weights {
			sum.Add(sum, big.NewInt(weight))
		}

		var total int64

		for i, part := range account.Split(amount, weights) {
			total += part

			if sum.Sign() == 0 {
				continue
			}

			// The part times the sum of the weights differs from the amount times the weight by less than the sum.
			exact := new(big.Int).Mul(big.NewInt(amount), big.NewInt(weights[i]))
			if exact.Sub(exact, new(big.Int).Mul(big.NewInt(part), sum)).CmpAbs(sum) >= 0 {
				t.Fatalf("got part %d of %d for weight %d of %s", part, amount, weights[i], sum)
			}
		}

		if total != amount {
			t.Fatalf("got parts with the sum %d, want %d", total, amount)
		}
	})
}

// TestCostsSum guards against cost that is charged to nobody or twice: for any usage and any rule, the costs of all payers sum
// to the region's cost, which is the host time at its price.
func TestCostsSum(t *testing.T) {
	chains := [][]account.Batch{chainOf(t, "a", 6), chainOf(t, "b", 6)}

	rapid.Check(t, func(t *rapid.T) {
		var s usageStream

		next := make([]int, len(chains))
		price := new(big.Int)

		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			i := rapid.IntRange(0, 3).Draw(t, "step")
			if i < len(chains) && next[i] < len(chains[i]) {
				s.batch(t, chains[i][next[i]])
				next[i]++

				continue
			}

			previous, from := s.fold(1, both).NextHostPeriod("r")
			batch := drawHosts(t, previous, from)
			s.hosts(t, batch, "shop")
			// A second batch for the same period is ignored.
			s.hosts(t, drawHosts(t, previous, from), "mill")

			for _, line := range batch.Hosts {
				price.Add(price, new(big.Int).Mul(big.NewInt(line.Microseconds), big.NewInt(line.Price)))
			}
		}

		got := s.fold(1, both).Account()
		if len(got.Regions) == 0 {
			return
		}

		var sum account.Cost
		for _, entry := range got.Costs {
			sum = account.Cost{Busy: sum.Busy + entry.Busy, Idle: sum.Idle + entry.Idle}
		}

		if sum != got.Regions[0].Cost {
			t.Fatalf("got parts with the sum %+v, want %+v", sum, got.Regions[0].Cost)
		}

		whole := price.Div(price, big.NewInt(time.Hour.Microseconds())).Int64()
		if sum.Busy+sum.Idle != whole || len(got.Faults) > 0 {
			t.Fatalf("got a cost of %d and faults %v, want %d and none", sum.Busy+sum.Idle, got.Faults, whole)
		}
	})
}

// TestIdleRules guards against a cost rule that is not applied: one host runs for an hour at a price of 8. Requests of the mill
// occupy it for a quarter of the hour and those of the shop for an eighth; both use the same number of tokens.
func TestIdleRules(t *testing.T) {
	entry := func(workspace apricotway.Workspace, minutes float64) account.Entry {
		return account.Entry{Key: account.Key{Workspace: workspace, Zone: "a"}, Usage: account.Usage{
			GeneratedTokens: 100, EngineMicroseconds: int64(minutes * float64(time.Minute.Microseconds())),
		}}
	}

	for _, test := range []struct {
		idle config.IdleRule
		used bool
		want map[account.Payer]account.Cost
	}{
		{config.IdleByTokens, true, map[account.Payer]account.Cost{
			{Region: "r", Workspace: "mill-1"}: {Busy: 2_000_000, Idle: 2_500_000},
			{Region: "r", Workspace: "shop-1"}: {Busy: 1_000_000, Idle: 2_500_000},
		}},
		{config.IdleByTokens, false, map[account.Payer]account.Cost{
			{Region: "r", Owner: "mill"}: {Idle: 4_000_000}, {Region: "r", Owner: "shop"}: {Idle: 4_000_000},
		}},
		{config.IdleByShare, true, map[account.Payer]account.Cost{
			{Region: "r", Workspace: "mill-1"}: {Busy: 2_000_000}, {Region: "r", Workspace: "shop-1"}: {Busy: 1_000_000},
			{Region: "r", Owner: "mill"}: {Idle: 4_000_000}, {Region: "r", Owner: "shop"}: {Idle: 1_000_000},
		}},
		{config.IdleEqual, true, map[account.Payer]account.Cost{
			{Region: "r", Workspace: "mill-1"}: {Busy: 2_000_000}, {Region: "r", Workspace: "shop-1"}: {Busy: 1_000_000},
			{Region: "r", Owner: "mill"}: {Idle: 2_500_000}, {Region: "r", Owner: "shop"}: {Idle: 2_500_000},
		}},
	} {
		var s usageStream
		if test.used {
			s.batch(t, account.Batch{Node: "n", Sequence: 1, Entries: []account.Entry{entry("mill-1", 15), entry("shop-1", 7.5)}})
		}

		record, err := account.HostBatch{
			Region: "r", To: time.Unix(3600, 0), From: time.Unix(0, 0),
			Hosts: []account.HostTime{{Market: fleet.Market{Zone: "a"}, Microseconds: time.Hour.Microseconds(), Price: 8_000_000}},
			Rule:  account.CostRule{Idle: test.idle, Shares: []account.Share{{Owner: "mill", Share: 4}, {Owner: "shop", Share: 1}}},
		}.Record("", nil)
		if err != nil {
			t.Fatal(err)
		}

		s.put(record)

		got := map[account.Payer]account.Cost{}
		for _, entry := range s.fold(1, nil).Account().Costs {
			got[entry.Payer] = entry.Cost
		}

		if !reflect.DeepEqual(got, test.want) {
			t.Errorf("%s: got %v, want %v", test.idle, got, test.want)
		}
	}
}

// TestStatementOfInvalidCosts guards against a statement with out-of-bounds values that makes its reader panic at the next
// host batch.
func TestStatementOfInvalidCosts(t *testing.T) {
	for _, hosts := range []string{
		`{"regions": [{"region": "r", "carry": -9000000000000}]}`,
		`{"regions": [{"region": "r", "carry": 3600000000}]}`,
		`{"uses": [{"microseconds": -1}]}`,
		`{"uses": [{"tokens": 100000000000000}]}`,
	} {
		var s usageStream
		s.batch(t, chainOf(t, "n", 1)[0])
		s.mark(t, 0)
		s.statement(t, 2, []byte(`{"mark": 2, "hosts": `+hosts+`}`), "", nil)

		if got := s.fold(2, nil).Account(); got.Base != 0 {
			t.Errorf("%s: got base %d, want none", hosts, got.Base)
		}
	}
}
