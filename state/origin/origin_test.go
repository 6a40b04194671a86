package origin_test

import (
	"testing"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/origin"
)

// TestAllows guards against a stream being continued at another software version, at another model, or where its beginning is unknown.
func TestAllows(t *testing.T) {
	began := apricotway.Lineage{Model: "m", Software: "v1"}

	for _, test := range []struct {
		name   string
		origin origin.Origin
		server apricotway.Lineage
		want   bool
	}{
		{"not begun", origin.Origin{}, apricotway.Lineage{Software: "v2"}, true},
		{"same", origin.At(began), began, true},
		{"other software", origin.At(began), apricotway.Lineage{Model: "m", Software: "v2"}, false},
		{"software not stated", origin.At(began), apricotway.Lineage{Model: "m"}, false},
		{"other model", origin.At(began), apricotway.Lineage{Model: "n", Software: "v1"}, false},
		{"unknown", origin.Unknown(), began, false},
		{"unknown and not stated", origin.Unknown(), apricotway.Lineage{}, false},
	} {
		if got := test.origin.Allows(test.server); got != test.want {
			t.Errorf("%s: got %t, want %t", test.name, got, test.want)
		}
	}
}
