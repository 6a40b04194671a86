package scenario

import (
	"net/http"
	"strings"
	"testing"

	"github.com/apricotway/apricotway/platform/standin"
)

// TestStreamOfEngineThatStopsItUnanswered guards against an entry host that passes on a part of a stream without a length as the whole, after
// the engine has carried out an order to move the run and not answered it.
func TestStreamOfEngineThatStopsItUnanswered(t *testing.T) {
	t.Parallel()

	const (
		attempt = "stopped"
		events  = 100
	)

	s := newEntryPlatform(t, 1, entryConfig)
	engines := standin.NewStoppingEngines(s.platform, "model", attempt, events)

	for _, id := range []string{"i-1", "i-2"} {
		stop, err := engines.Start(id)
		t.Cleanup(stop)

		if err != nil {
			t.Fatal(err)
		}
	}

	s.startEntries(1)
	s.awaitServing()
	s.call(t.Context(), http.DefaultClient, s.entries[0].callers, attempt, true)

	got := s.answers[len(s.answers)-1]
	want := strings.Builder{}

	for id := 1; id <= events; id++ {
		want.WriteString(engines.Event(id))
	}

	if got.err != nil || got.body != want.String() {
		t.Errorf("got %d events and %v, want all %d", strings.Count(got.body, "id:"), got.err, events)
	}
}
