package account_test

import (
	"encoding/json"
	"testing"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/account"
)

// FuzzFold guards against a usage batch that ends the reader of the account.
func FuzzFold(f *testing.F) {
	f.Fuzz(func(_ *testing.T, first, second []byte) {
		fold := account.New()

		for _, envelope := range [][]byte{first, second} {
			var record apricotway.StoredRecord
			if json.Unmarshal(envelope, &record) == nil {
				fold.Apply(record)
			}
		}

		_ = fold.Statement()
	})
}
