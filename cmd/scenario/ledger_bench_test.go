package scenario

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/thejerf/suture/v4"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/cmd/internal/standin"
	"github.com/apricotway/apricotway/coordination/shard"
	"github.com/apricotway/apricotway/state/ledger"
	"github.com/apricotway/apricotway/transport/logservice"
)

// BenchmarkRecovery measures the first call for a shard whose owner is dead: reading the stream over HTTP, claiming the shard,
// and the call itself. It varies the number of live keys, each with a recorded outcome of 200 bytes, and whether the stream
// was trimmed to a checkpoint or still holds all records.
func BenchmarkRecovery(b *testing.B) {
	for _, trimmed := range []bool{false, true} {
		for _, keys := range []int{1000, 10000, 50000} {
			b.Run(fmt.Sprintf("trimmed=%v/keys=%d", trimmed, keys), func(b *testing.B) {
				log := fillLog(b, keys, trimmed)

				server, err := standin.Listen(b.Context(), netip.MustParseAddrPort("127.0.0.1:0"), log.Handler())
				if err != nil {
					b.Fatal(err)
				}
				defer server.Close()

				send := func(
					context.Context, apricotway.Service, apricotway.ServiceCall,
				) (apricotway.ServiceAnswer, error) {
					return apricotway.ServiceAnswer{Status: 201}, nil
				}

				for i := 0; b.Loop(); i++ {
					self := apricotway.Member{Node: apricotway.NodeID(fmt.Sprintf("successor-%d", i))}
					dead := apricotway.Member{Node: "gone", State: apricotway.MemberDead}
					m := shard.New(suture.NewSimple("bench"), &pair{self, dead}, logservice.New(server.Address), send,
						shard.WithShards(1))

					_, err := m.Run(b.Context(), shard.Request{Key: ledger.Key{Key: fmt.Sprintf("new-%d", i)}})
					if err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}

// fillLog returns a log whose shard stream holds the given number of completed calls of the node "gone".
func fillLog(b *testing.B, keys int, trimmed bool) *standin.Log {
	b.Helper()

	log := standin.NewLog()
	fold := ledger.New(time.Hour)
	add := func(kind string, epoch apricotway.Offset, payload any) string {
		record, err := ledger.NewRecord(kind, epoch, payload)
		if err != nil {
			b.Fatal(err)
		}

		offset, err := log.Append(b.Context(), "ledger-0", []apricotway.Record{record})
		if err != nil {
			b.Fatal(err)
		}

		fold.Apply(apricotway.StoredRecord{Record: record, Offset: offset})

		return record.ID
	}

	add(ledger.KindClaim, 0, ledger.Claim{Owner: "gone"})

	for i := range keys {
		key := ledger.Key{Workspace: workspace, Key: fmt.Sprintf("key-%d", i)}
		now := time.Now()
		id := add(ledger.KindIntent, 1, ledger.Intent{Key: key, Digest: fmt.Sprintf("%064d", i), At: now})
		add(ledger.KindOutcome, 0, ledger.Outcome{
			Intent: id, Key: key, At: now, Result: ledger.ResultCompleted, Status: 201, Body: make([]byte, 200),
		})
	}

	if trimmed {
		through := fold.Next()
		for _, part := range fold.Checkpoint() {
			add(ledger.KindCheckpoint, 1, part)
		}

		log.Trim("ledger-0", through)
	}

	return log
}
