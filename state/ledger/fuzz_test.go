package ledger_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/ledger"
)

// FuzzFold guards against records in the stream that make the owner of the shard panic, and after it every successor.
func FuzzFold(f *testing.F) {
	f.Fuzz(func(_ *testing.T, first, second []byte, oldest uint64) {
		fold := ledger.New(time.Hour)
		if oldest > 0 {
			fold = ledger.Restore(time.Hour, apricotway.Offset(oldest))
		}

		for _, envelope := range [][]byte{first, second} {
			var record apricotway.StoredRecord
			if json.Unmarshal(envelope, &record) == nil {
				_ = fold.Apply(record)
			}
		}

		_ = fold.Checkpoint()
	})
}
