package account_test

import (
	"encoding/json"
	"testing"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/account"
)

// FuzzFold guards against records of the usage stream that make a reader panic.
func FuzzFold(f *testing.F) {
	f.Add([]byte(`{"offset": 1, "schemaVersion": 1, "kind": "usageMark", "payload": {"previous": 0}}`),
		[]byte(`{"offset": 2, "schemaVersion": 1, "kind": "usageStatement", "payload": {"mark": 1, "part": 0, "parts": 1,
			"digest": "12ae32cb1ec02d01eda3581b127c1fee3b0dc53572ed6baf239721a03d82e126", "state": ""}}`))
	f.Add([]byte(`{"offset": 1, "schemaVersion": 1, "kind": "usageBatch", "payload": {"node": "n", "sequence": 1, "entries": [
		{"workspace": "w", "zone": "a", "machineClass": "c", "engineMicroseconds": 9000000000000000000, "promptTokens": 9}]}}`),
		[]byte(`{"offset": 2, "schemaVersion": 1, "kind": "usageHosts", "payload": {"region": "r", "hosts": [
			{"zone": "a", "machineClass": "c", "microseconds": 7200000000, "price": 3}],
			"rule": {"idle": "tokens", "shares": [{"owner": "o", "share": 1}]}}}`))
	f.Fuzz(func(_ *testing.T, first, second []byte) {
		fold := account.New()
		search := account.NewBaseSearch(1, nil)

		for _, envelope := range [][]byte{first, second} {
			var record apricotway.StoredRecord
			if json.Unmarshal(envelope, &record) == nil {
				fold.Apply(record)
				search.Add(record)
			}
		}

		if base, ok := search.Base(); ok {
			restored := account.New()
			restored.Restore(base)
			_ = restored.Account()
		}

		_ = fold.Account()
	})
}
