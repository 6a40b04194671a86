package entry_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/apricotway/apricotway/internal/socketoptions"
	"github.com/apricotway/apricotway/platform/standin"
)

// TestSocketOptions guards against connections of the process that end later than docs/OPERATIONS.md says when their path goes silent.
func TestSocketOptions(t *testing.T) {
	s := newSite(t)

	for range 2 {
		process := s.start()
		defer process.Stop(context.Background())
	}

	s.eventually("both processes serve and know each other", func() bool {
		return s.ready(0) && s.ready(1) && len(s.addresses(0)) == 2 && len(s.addresses(1)) == 2
	})

	if status, _, err := s.call(standin.Call{
		Address: s.settings[0].Listen.Callers, Path: "/chat/", Attempt: "c1", Key: "secret", Tokens: "100,30",
	}); status != http.StatusOK || err != nil {
		t.Fatalf("got status %d and %v, want 200", status, err)
	}

	documented := socketoptions.Documented(t, "../../../docs/OPERATIONS.md")
	seen := map[string]bool{}

	for _, connection := range socketoptions.Connections(t) {
		role := s.roleOf(connection)
		if role == "" {
			continue
		}

		seen[role] = true

		if got, want := connection.Options, documented[role]; got != want {
			t.Errorf("%s: got %+v, want %+v", role, got, want)
		}
	}

	for _, role := range []string{"entry to servers", "entry to the platform", "entry to peers", "entry from callers", "entry from peers"} {
		if !seen[role] {
			t.Errorf("%s: got no connection, want one", role)
		}
	}
}

// roleOf returns the row of the table that a connection belongs to, or "" for the other side of a connection.
func (s *site) roleOf(connection socketoptions.Connection) string {
	if connection.Remote == s.store {
		return "entry to the platform"
	}

	for _, e := range s.engines {
		if connection.Remote == e.Address() {
			return "entry to servers"
		}
	}

	for _, process := range s.settings {
		switch {
		case connection.Remote == process.Listen.Peers:
			return "entry to peers"
		case connection.Local == process.Listen.Peers:
			return "entry from peers"
		case connection.Local == process.Listen.Callers:
			return "entry from callers"
		}
	}

	return ""
}
