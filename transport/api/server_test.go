package api_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/config"
	"github.com/apricotway/apricotway/transport/api"
)

// oneWorkspace is a fake configuration in which every token belongs to the same workspace.
type oneWorkspace struct{}

func (oneWorkspace) Service(apricotway.Service) (config.ServiceSpec, bool) {
	return config.ServiceSpec{Type: config.ServiceModel}, true
}

func (oneWorkspace) Workspace(apricotway.Workspace) (config.WorkspaceSpec, bool) {
	return config.WorkspaceSpec{}, true
}

func (oneWorkspace) WorkspaceOf(config.TokenDigest) (apricotway.Workspace, bool) { return "w", true }

func (oneWorkspace) Objects() []config.Status { return nil }

// TestBodyLimits guards against callers that occupy a connection with a body that never ends, and against bodies over the limit.
func TestBodyLimits(t *testing.T) {
	limits := api.DefaultLimits()
	limits.BodyBytes = 100
	limits.BodyTimeout = 50 * time.Millisecond

	server := httptest.NewServer(api.New(oneWorkspace{}, nil, nil, nil, api.WithLimits(limits)))
	defer server.Close()

	for _, test := range []struct {
		name, body, want string
		length           int
		status           int
	}{
		{"never ends", "{", "the body cannot be read", 50, http.StatusBadRequest},
		{"too large", strings.Repeat("x", 200), "larger than 100 bytes", 200, http.StatusRequestEntityTooLarge},
		{"whole", "{}", "messages must not be empty", 2, http.StatusBadRequest},
	} {
		t.Run(test.name, func(t *testing.T) {
			connection, err := net.Dial("tcp", server.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}

			t.Cleanup(func() { _ = connection.Close() })

			if _, err := fmt.Fprintf(connection, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer x\r\n"+
				"Content-Length: %d\r\n\r\n%s", test.length, test.body); err != nil {
				t.Fatal(err)
			}

			answer, err := http.ReadResponse(bufio.NewReader(connection), nil)
			if err != nil {
				t.Fatal(err)
			}
			defer answer.Body.Close()

			content := make([]byte, 1024)
			size, _ := answer.Body.Read(content)

			if got := string(content[:size]); answer.StatusCode != test.status || !strings.Contains(got, test.want) ||
				!strings.Contains(got, string(apricotway.ExecutionNotStarted)) {
				t.Errorf("got status %d with %s, want %d with %q", answer.StatusCode, got, test.status, test.want)
			}
		})
	}
}
