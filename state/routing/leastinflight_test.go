package routing

import (
	"testing"

	"github.com/apricotway/apricotway"
)

// TestLeastInFlight guards against a hanging server that keeps receiving its share of the calls, against a failed server that
// is tried again while another is left, and against a first server that gets all calls of an idle service.
func TestLeastInFlight(t *testing.T) {
	servers := []apricotway.BackendServer{{ID: "a"}, {ID: "b"}, {ID: "hangs"}}
	policy := NewLeastInFlight()
	counts := map[apricotway.BackendServerID]int{}

	for range 30 {
		index := policy.Acquire(servers, nil)
		id := servers[index].ID
		counts[id]++

		if id != "hangs" {
			policy.Release(id)
		}
	}

	// The hanging server gets one call, which never ends.
	if got, want := counts["hangs"], 1; got != want {
		t.Errorf("calls on the hanging server: got %d, want %d", got, want)
	}

	if counts["a"] < 10 || counts["b"] < 10 {
		t.Errorf("got %d and %d calls on the others, want at least 10 each", counts["a"], counts["b"])
	}

	for _, test := range []struct {
		excluded []apricotway.BackendServerID
		want     apricotway.BackendServerID
	}{
		{[]apricotway.BackendServerID{"a", "b"}, "hangs"},
		{[]apricotway.BackendServerID{"a", "hangs"}, "b"},
	} {
		if got := servers[policy.Acquire(servers, test.excluded)].ID; got != test.want {
			t.Errorf("without %v: got %s, want %s", test.excluded, got, test.want)
		}
	}

	if got, want := policy.Acquire(nil, nil), -1; got != want {
		t.Errorf("without candidates: got %d, want %d", got, want)
	}

	if got, want := policy.Acquire(servers[:1], []apricotway.BackendServerID{"a"}), 0; got != want {
		t.Errorf("with only an excluded candidate: got %d, want %d", got, want)
	}
}
