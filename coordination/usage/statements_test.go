package usage_test

import (
	"context"
	"crypto/ed25519"
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
)

// retained is a log that keeps its records for a time only, refuses an append in twenty and loses the answer to another. The
// records that it no longer serves stay in all.
type retained struct {
	mu        sync.Mutex
	retention time.Duration
	all       []apricotway.StoredRecord
	appends   int
}

func (l *retained) Append(
	_ context.Context, _ apricotway.Stream, records []apricotway.Record,
) (apricotway.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.appends++
	if l.appends%20 == 0 {
		return 0, apricotway.ErrLogUnavailable
	}

	for _, record := range records {
		l.all = append(l.all, apricotway.StoredRecord{
			Record: record, Offset: apricotway.Offset(len(l.all) + 1), Time: time.Now(),
		})
	}

	if l.appends%20 == 10 {
		return 0, apricotway.ErrAppendUnknown
	}

	return apricotway.Offset(len(l.all)), nil
}

func (l *retained) Read(
	_ context.Context, _ apricotway.Stream, from apricotway.Offset, limit int, _ time.Duration,
) (apricotway.Batch, error) {
	l.mu.Lock()
	defer l.mu.Unlock()

	first := 0
	for first < len(l.all) && time.Since(l.all[first].Time) > l.retention {
		first++
	}

	batch := apricotway.Batch{Oldest: apricotway.Offset(first + 1), Next: from}
	if from < batch.Oldest {
		return batch, apricotway.ErrTrimmed
	}

	rest := l.all[min(int(from-1), len(l.all)):]
	batch.Records = slices.Clone(rest[:min(limit, len(rest))])
	batch.Next += apricotway.Offset(len(batch.Records))

	return batch, nil
}

type appender struct{ *retained }

func (a appender) Append(
	ctx context.Context, stream apricotway.Stream, record apricotway.Record,
) (apricotway.Offset, error) {
	return a.retained.Append(ctx, stream, []apricotway.Record{record})
}

// TestStatementsOutliveRetention guards the account against retention that overtakes the statements, against idle hours in
// which the newest statement itself is trimmed, and against processes that start anew on a trimmed stream.
func TestStatementsOutliveRetention(t *testing.T) {
	keys := map[string]ed25519.PrivateKey{}
	signers := map[string]account.Signer{}

	for i, name := range []string{"mill", "shop"} {
		keys[name] = ed25519.NewKeyFromSeed(slices.Repeat([]byte{byte(i)}, ed25519.SeedSize))
		signers[name] = account.Signer{
			Owner: apricotway.Owner(name), Keys: []ed25519.PublicKey{keys[name].Public().(ed25519.PublicKey)},
		}
	}

	bubble.Test(t, func(t *testing.T) {
		log := &retained{retention: 3 * usage.DefaultStatementInterval}
		ready := make(chan struct{})
		close(ready)

		// Each generation of processes runs for some hours, the third one without requests.
		for generation, hours := range []int{2, 5, 7, 4} {
			supervisor := suture.NewSimple("test")
			ctx, cancel := context.WithCancel(t.Context())

			var recorders []*usage.Recorder

			for i := range 6 {
				signer := []string{"mill", "shop"}[i%2]
				node := apricotway.NodeID(fmt.Sprintf("%s-%d-%d", signer, generation, i))
				recorders = append(recorders, usage.New(supervisor, node, appender{log}, usage.WithKey(signer, keys[signer])))
				usage.NewStatements(supervisor, log, appender{log}, ready,
					func() map[string]account.Signer { return signers }, func() int { return i / 2 },
					usage.WithStatementKey(signer, keys[signer]))
			}

			stopped := supervisor.ServeBackground(ctx)

			for minute := range hours * 60 {
				if generation != 2 {
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

		whole := account.New(account.WithSigners(signers))
		for _, record := range log.all {
			whole.Apply(record)
		}

		reader := usage.NewReader(log, signers)
		if err := reader.CatchUp(t.Context()); err != nil {
			t.Fatal(err)
		}

		got, want := reader.Fold().Statement(), whole.Statement()
		if got.Base == 0 || len(got.Faults)+len(want.Faults) > 0 {
			t.Errorf("got base %d, faults %v, and %v in the whole stream; want a base and no faults", got.Base, got.Faults, want.Faults)
		}

		if !reflect.DeepEqual(got.Totals, want.Totals) || got.Batches != want.Batches || got.Open != 0 || want.Open != 0 {
			t.Errorf("got %+v, want the totals of the whole stream, %+v", got, want)
		}

		if got, want := got.Totals[0].GeneratedTokens, int64(11*60); got != want {
			t.Errorf("got %d tokens, want %d", got, want)
		}

		// 18 hours and four starts take at most one statement an hour.
		if want.Statements < 15 || want.Statements > 18 || want.StatementRepeats > 20 {
			t.Errorf("got %d complete statements and %d repeats in 18 hours", want.Statements, want.StatementRepeats)
		}
	})
}
