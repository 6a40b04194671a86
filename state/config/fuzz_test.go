package config_test

import (
	"encoding/json"
	"testing"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/config"
)

// FuzzFold guards against records and checkpoints that make every process which reads them panic.
func FuzzFold(f *testing.F) {
	f.Fuzz(func(_ *testing.T, envelope, state []byte) {
		var record apricotway.StoredRecord
		if json.Unmarshal(envelope, &record) != nil {
			return
		}

		fold := config.New()
		_ = fold.Restore(state)
		_ = fold.Apply(record)
		record.Offset, record.ID = record.Offset+1, record.ID+"x"
		_ = fold.Apply(record)
		_ = fold.Objects()
		_, _, _ = fold.Checkpoint()
	})
}
