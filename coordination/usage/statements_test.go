package usage_test

import (
	"context"
	"crypto/ed25519"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/thejerf/suture/v4"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/coordination/usage"
	"github.com/apricotway/apricotway/internal/bubble"
	"github.com/apricotway/apricotway/state/account"
	"github.com/apricotway/apricotway/state/config"
	"github.com/apricotway/apricotway/state/fleet"
	"github.com/apricotway/apricotway/state/lease"
)

// trimmingLog is a log that serves the records of the usage stream only for the retention time. It refuses one append in twenty and
// loses the answer to another one. Records that it no longer serves stay in streams.
type trimmingLog struct {
	mu        sync.Mutex
	retention time.Duration
	streams   map[apricotway.Stream][]apricotway.StoredRecord
	appends   int
}

func (l *trimmingLog) Append(
	_ context.Context, stream apricotway.Stream, records []apricotway.Record,
) (apricotway.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.appends++
	if l.appends%20 == 0 {
		return 0, apricotway.ErrLogUnavailable
	}

	for _, record := range records {
		l.streams[stream] = append(l.streams[stream], apricotway.StoredRecord{
			Record: record, Offset: apricotway.Offset(len(l.streams[stream]) + 1), Time: time.Now(),
		})
	}

	if l.appends%20 == 10 {
		return 0, apricotway.ErrAppendUnknown
	}

	return apricotway.Offset(len(l.streams[stream])), nil
}

func (l *trimmingLog) Read(
	_ context.Context, stream apricotway.Stream, from apricotway.Offset, limit int, _ time.Duration,
) (apricotway.Batch, error) {
	l.mu.Lock()
	defer l.mu.Unlock()

	all, first := l.streams[stream], 0
	for stream == apricotway.StreamUsage && first < len(all) && time.Since(all[first].Time) > l.retention {
		first++
	}

	batch := apricotway.Batch{Oldest: apricotway.Offset(first + 1), Next: from}
	if from < batch.Oldest {
		return batch, apricotway.ErrTrimmed
	}

	rest := all[min(int(from-1), len(all)):]
	batch.Records = slices.Clone(rest[:min(limit, len(rest))])
	batch.Next += apricotway.Offset(len(batch.Records))

	return batch, nil
}

func newTrimmingLog() *trimmingLog {
	return &trimmingLog{
		retention: 3 * usage.DefaultStatementInterval, streams: map[apricotway.Stream][]apricotway.StoredRecord{},
	}
}

func twoSigners() (map[string]ed25519.PrivateKey, map[string]account.Signer) {
	keys, signers := map[string]ed25519.PrivateKey{}, map[string]account.Signer{}

	for i, name := range []string{"mill", "shop"} {
		keys[name] = ed25519.NewKeyFromSeed(slices.Repeat([]byte{byte(i)}, ed25519.SeedSize))
		signers[name] = account.Signer{
			Owner: apricotway.Owner(name), Keys: []ed25519.PublicKey{keys[name].Public().(ed25519.PublicKey)},
		}
	}

	return keys, signers
}

type appender struct{ *trimmingLog }

func (a appender) Append(
	ctx context.Context, stream apricotway.Stream, record apricotway.Record,
) (apricotway.Offset, error) {
	return a.trimmingLog.Append(ctx, stream, []apricotway.Record{record})
}

// TestStatementsOutliveRetention guards against an account that is lost by trimming: because statements are written too rarely,
// because the newest statement is trimmed in idle hours, or because all processes restart on a trimmed stream.
func TestStatementsOutliveRetention(t *testing.T) {
	keys, signers := twoSigners()

	bubble.Test(t, func(t *testing.T) {
		log := newTrimmingLog()
		ready := make(chan struct{})
		close(ready)

		// All processes are replaced after some hours; those of the third run have no requests.
		for run, hours := range []int{2, 5, 7, 4} {
			supervisor := suture.NewSimple("test")
			ctx, cancel := context.WithCancel(t.Context())

			var recorders []*usage.Recorder

			for i := range 6 {
				signer := []string{"mill", "shop"}[i%2]
				node := apricotway.NodeID(fmt.Sprintf("%s-%d-%d", signer, run, i))
				recorders = append(recorders, usage.New(supervisor, node, appender{log}, usage.WithKey(signer, keys[signer])))
				usage.NewStatements(supervisor, log, appender{log}, ready,
					func() map[string]account.Signer { return signers }, func() int { return i / 2 },
					usage.WithStatementKey(signer, keys[signer]))
			}

			stopped := supervisor.ServeBackground(ctx)

			for minute := range hours * 60 {
				if run != 2 {
					recorders[minute%6].Add(account.Key{Workspace: "w"}, account.Usage{GeneratedTokens: 1})
				}

				<-time.After(time.Minute)
			}

			for _, recorder := range recorders {
				for recorder.Close(ctx) != nil {
					<-time.After(time.Second)
				}
			}

			cancel()

			if err := <-stopped; err == nil {
				t.Error("supervisor stopped without a reason")
			}
		}

		got, want := statements(t, log, signers)
		if got.Base == 0 || len(got.Faults)+len(want.Faults) > 0 {
			t.Errorf("got base %d, faults %v, and %v in the whole stream; want a base and no faults", got.Base, got.Faults, want.Faults)
		}

		if !reflect.DeepEqual(got.Totals, want.Totals) || got.Batches != want.Batches || got.Open != 0 || want.Open != 0 {
			t.Errorf("got %+v, want the totals of the whole stream, %+v", got, want)
		}

		if got, want := got.Totals[0].GeneratedTokens, int64(11*60); got != want {
			t.Errorf("got %d tokens, want %d", got, want)
		}

		// There is at most one statement an hour, also with four starts.
		if want.Statements < 15 || want.Statements > 18 || want.StatementRepeats > 20 {
			t.Errorf("got %d complete statements and %d repeats in 18 hours", want.Statements, want.StatementRepeats)
		}
	})
}

// TestHostBatches guards against periods of host time that are accounted twice or not at all when several processes write or all of
// them restart, against a price that applies to periods before its publication, and against host costs that are lost when the
// stream is trimmed.
func TestHostBatches(t *testing.T) {
	keys, signers := twoSigners()
	market := fleet.Market{Zone: "a", MachineClass: "standard"}

	bubble.Test(t, func(t *testing.T) {
		log := newTrimmingLog()
		ready := make(chan struct{})
		close(ready)

		put := func(stream apricotway.Stream, record apricotway.Record, err error) apricotway.Offset {
			for err == nil {
				// Only the first copy has an effect, so the append may be repeated after a lost answer.
				offset, failed := log.Append(t.Context(), stream, []apricotway.Record{record})
				if failed == nil {
					return offset
				}
			}

			t.Fatal(err)

			return 0
		}
		configuration := config.New()
		publish := func(kind config.Kind, offset, replaces apricotway.Offset, spec string) {
			payload := fmt.Sprintf(`{"object": "r", "replaces": %d, "spec": %s}`, replaces, spec)
			configuration.Apply(apricotway.StoredRecord{Offset: offset, Record: apricotway.Record{
				SchemaVersion: 1, Kind: string(kind), ID: fmt.Sprint(offset), Payload: json.RawMessage(payload),
			}})
		}
		price := func(price int) string {
			return fmt.Sprintf(`{"region": "r", "service": "s", "demand": 1, "tokensPerSecond": {"standard": 1},
				"prices": [{"zone": "a", "machineClass": "standard", "price": %d}]}`, price)
		}

		publish(config.KindFleet, 1, 0, price(6))
		publish(config.KindCostRule, 2, 0, `{"idle": "reserved", "shares": {"mill": 2, "shop": 1}}`)

		stream := fleet.StreamOf("r")
		claim, err := lease.NewRecord(0, "n")
		epoch := put(stream, claim, err)

		for i := range uint64(2) {
			intent, err := fleet.NewRecord(fleet.KindIntent, epoch, fleet.Intent{
				Sequence: i + 1, Action: fleet.ActionCreate, Market: market,
			})
			put(stream, intent, err)

			outcome, err := fleet.NewRecord(fleet.KindOutcome, epoch, fleet.Outcome{
				Sequence: i + 1, Result: fleet.ResultCreated, Host: apricotway.BackendServerID(fmt.Sprint("h-", i)),
			})
			put(stream, outcome, err)
		}

		for run := range 3 {
			supervisor := suture.NewSimple("test")
			ctx, cancel := context.WithCancel(t.Context())

			for i := range 4 {
				signer := []string{"mill", "shop"}[i%2]
				usage.NewStatements(supervisor, log, appender{log}, ready,
					func() map[string]account.Signer { return signers }, func() int { return i / 2 },
					usage.WithStatementKey(signer, keys[signer]), usage.WithHostBatches("r", configuration))
			}

			if run == 2 {
				publish(config.KindFleet, 3, 1, price(9))
			}

			stopped := supervisor.ServeBackground(ctx)

			for range 2 * 60 * 6 {
				// The time of any record advances the end of the known host history.
				put(stream, apricotway.Record{Kind: "renewal"}, nil)
				<-time.After(10 * time.Second)
			}

			cancel()

			if err := <-stopped; err == nil {
				t.Error("supervisor stopped without a reason")
			}
		}

		got, want := statements(t, log, signers)
		if got.Base == 0 || len(got.Faults) > 0 || !reflect.DeepEqual(got.Regions, want.Regions) || !reflect.DeepEqual(got.Costs, want.Costs) {
			t.Errorf("got base %d, faults %v, costs %v; want a base, no faults, %v", got.Base, got.Faults, got.Costs, want.Costs)
		}

		// The two hosts are idle for six hours, four at a price of 6 and two at 9, without the partial periods at the start and
		// the end.
		region := want.Regions[0]
		if hours := region.To.Sub(region.From); hours < 6*time.Hour-3*time.Minute {
			t.Errorf("got %s accounted, want almost 6 hours", hours)
		}

		change := log.streams[stream][0].Time.Add(4 * time.Hour)
		first := firstPeriod(t, log.streams[apricotway.StreamUsage], 3)

		// A price applies from the period on in which it is published. The record that ends a period may have the same time.
		if first.From.After(change) || first.To.Before(change) {
			t.Errorf("got the new price from the period %s to %s on, want the one with %s", first.From, first.To, change)
		}

		hourly := func(price int64, span time.Duration) int64 { return 2 * price * int64(span/time.Second) / 3600 }
		idle := hourly(6e6, first.From.Sub(region.From)) + hourly(9e6, region.To.Sub(first.From))

		// For each of the two prices, rounding may differ by one unit.
		if region.Busy != 0 || region.Idle < idle || region.Idle > idle+2 {
			t.Errorf("got busy %d and idle %d, want 0 and %d", region.Busy, region.Idle, idle)
		}

		if len(want.Costs) != 2 || want.Costs[0].Idle+want.Costs[1].Idle != region.Idle {
			t.Errorf("got costs %v, want two parts of %d", want.Costs, region.Idle)
		}
	})
}

// firstPeriod returns the first host batch in force with a price of the given revision.
func firstPeriod(t *testing.T, records []apricotway.StoredRecord, revision apricotway.Offset) account.HostBatch {
	t.Helper()

	previous := apricotway.Offset(0)

	for _, record := range records {
		if record.Kind != account.KindHosts {
			continue
		}

		var batch account.HostBatch
		if err := json.Unmarshal(record.Payload, &batch); err != nil {
			t.Fatal(err)
		}

		// Of several batches with the same Previous the first one is in force.
		if batch.Previous != previous {
			continue
		}

		previous = record.Offset

		if slices.ContainsFunc(batch.Hosts, func(h account.HostTime) bool { return h.Revision == revision }) {
			return batch
		}
	}

	t.Fatalf("got no host batch with a price of revision %d, want one", revision)

	return account.HostBatch{}
}

// statements returns the account of a reader of the kept records, and the account of the whole stream.
func statements(t *testing.T, log *trimmingLog, signers map[string]account.Signer) (got, want account.Account) {
	t.Helper()

	whole := account.New(account.WithSigners(signers))
	for _, record := range log.streams[apricotway.StreamUsage] {
		whole.Apply(record)
	}

	reader := usage.NewReader(log, signers)
	if err := reader.CatchUp(t.Context()); err != nil {
		t.Fatal(err)
	}

	return reader.Fold().Account(), whole.Account()
}
