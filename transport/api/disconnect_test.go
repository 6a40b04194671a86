package api

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr/funcr"
	"github.com/prometheus/client_golang/prometheus/testutil"
)

// brokenWriter is a response writer whose caller has disconnected.
type brokenWriter struct{ *httptest.ResponseRecorder }

func (brokenWriter) Write([]byte) (int, error) { return 0, errors.New("broken pipe") }

// TestCallerGone guards against counting and logging a caller's disconnect during an answer as an internal error, on which operators
// have alerts.
func TestCallerGone(t *testing.T) {
	var lines []string

	logger := funcr.New(func(_, line string) { lines = append(lines, line) }, funcr.Options{})
	s := New(nil, nil, nil, nil, WithLogger(logger))

	s.respond(brokenWriter{httptest.NewRecorder()}, "completions", "r", func(w http.ResponseWriter) error {
		return newEventWriter(w).send("r-0", struct{}{})
	})

	if len(lines) != 0 {
		t.Errorf("got log lines %q, want none above debug level", lines)
	}

	for code, want := range map[string]float64{"callerGone": 1, "internal": 0} {
		if got := testutil.ToFloat64(s.metrics.requests.WithLabelValues("completions", code)); got != want {
			t.Errorf("requests with code %s: got %v, want %v", code, got, want)
		}
	}
}
