package daemon_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/apricotway/apricotway/cmd/internal/daemon"
	"github.com/apricotway/apricotway/internal/socketoptions"
)

// TestSocketOptions guards against connections of the process that end later than docs/OPERATIONS.md says when their path goes silent.
func TestSocketOptions(t *testing.T) {
	url := startDev(t)

	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url+"/v1/chat/completions",
		strings.NewReader(`{"model": "shop-model", "messages": [{"role": "user", "content": "x"}], "max_tokens": 200, "stream": true}`))
	if err != nil {
		t.Fatal(err)
	}

	request.Header.Set("Authorization", "Bearer "+daemon.DevToken)

	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close()

	if _, err := io.ReadFull(answer.Body, make([]byte, 1)); err != nil || answer.StatusCode != http.StatusOK {
		t.Fatalf("got status %d and %v, want the beginning of a stream", answer.StatusCode, err)
	}

	documented := socketoptions.Documented(t, "../../../docs/OPERATIONS.md")
	callers := strings.TrimPrefix(url, "http://")
	seen := map[string]int{}

	for _, connection := range socketoptions.Connections(t) {
		role := "serve to servers and the platform"

		switch {
		case connection.Local.String() == callers:
			role = "serve from callers"
		case connection.Accepted || connection.Remote.String() == callers:
			// The other side of a connection.
			continue
		}

		seen[role]++

		if got, want := connection.Options, documented[role]; got != want {
			t.Errorf("%s: got %+v, want %+v", role, got, want)
		}
	}

	if seen["serve from callers"] == 0 || seen["serve to servers and the platform"] == 0 {
		t.Errorf("got connections %v, want some of both kinds", seen)
	}
}
