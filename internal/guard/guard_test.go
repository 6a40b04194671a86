package guard_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway/internal/guard"
)

// TestCall checks that a panic becomes an error with the panic value and the stack trace, and that other errors are returned
// unchanged.
func TestCall(t *testing.T) {
	err := guard.Call(func() error { panic("broken") })
	if !errors.Is(err, guard.ErrPanic) || !strings.Contains(err.Error(), "broken") || !strings.Contains(err.Error(), "TestCall") {
		t.Errorf("got %v, want an error with the panic value and the stack trace", err)
	}

	if err := guard.Call(func() error { return io.EOF }); !errors.Is(err, io.EOF) {
		t.Errorf("got %v, want %v", err, io.EOF)
	}
}

// TestHandler guards against a response that looks complete although its handler panicked, and against reports of responses that
// a handler aborted on purpose.
func TestHandler(t *testing.T) {
	for name, test := range map[string]struct {
		reason any
		want   int64
	}{"panic": {"broken", 1}, "broken off": {http.ErrAbortHandler, 0}, "complete": {nil, 0}} {
		t.Run(name, func(t *testing.T) {
			var reports atomic.Int64

			handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, "part")
				_ = http.NewResponseController(w).Flush()

				if test.reason != nil {
					panic(test.reason)
				}
			})
			server := httptest.NewServer(guard.Handler(handler, func(error) { reports.Add(1) }))
			defer server.Close()

			response, err := server.Client().Get(server.URL)
			if err != nil {
				t.Fatal(err)
			}
			defer response.Body.Close()

			_, err = io.ReadAll(response.Body)
			if got, want := err == nil, test.reason == nil; got != want {
				t.Errorf("complete: got %t, want %t", got, want)
			}

			if got := reports.Load(); got != test.want {
				t.Errorf("got %d reports, want %d", got, test.want)
			}
		})
	}
}
