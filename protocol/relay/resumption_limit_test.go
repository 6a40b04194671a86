package relay_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/protocol/relay"
	"github.com/apricotway/apricotway/state/dispatch"
	"github.com/apricotway/apricotway/state/retrybudget"
	"github.com/apricotway/apricotway/state/route"
	"github.com/apricotway/apricotway/state/tally"
)

// keyedDialect reads a key and the attempt that began a stream from the header.
type keyedDialect struct{ dialect }

func (d keyedDialect) ReadCall(header http.Header) (apricotway.CallMetadata, error) {
	metadata, err := d.dialect.ReadCall(header)
	metadata.Key, metadata.Resumes = header.Get("Key"), apricotway.AttemptID(header.Get("Resumes"))

	return metadata, err
}

// resumptionLimiter refuses all calls, and records which of them take up streams and the time that their callers have left.
type resumptionLimiter struct {
	noLimits

	taken, resumed int
	remaining      time.Duration
}

func (l *resumptionLimiter) Take(context.Context, apricotway.Workspace, float64) (time.Duration, bool) {
	l.taken++

	return time.Second, false
}

func (l *resumptionLimiter) TakeResumed(
	_ context.Context, _ apricotway.Workspace, _ float64, remaining time.Duration,
) (time.Duration, bool) {
	l.resumed, l.remaining = l.resumed+1, remaining

	return time.Second, false
}

// TestLimitOfStreamsTakenUp guards against calls that take up streams and are charged like new calls, and against calls that get the
// preference of these although their route has no streams that can be taken up.
func TestLimitOfStreamsTakenUp(t *testing.T) {
	for _, test := range []struct {
		name      string
		resumable bool
		resumes   string
		resumed   int
	}{
		{"new call", true, "", 0},
		{"stream taken up", true, "1", 1},
		{"route without resumable streams", false, "1", 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			pool, limiter := dispatch.New(), &resumptionLimiter{}
			pool.Update(apricotway.Backend{ID: "a", Service: "s", Address: netip.MustParseAddrPort("127.0.0.1:1")}, time.Now())

			table := route.New(&apricotway.Deployment{
				Version: 1, Services: []apricotway.ServiceRule{{Name: "s"}},
				Workspaces: []apricotway.WorkspaceRule{{Name: "w", Keys: []string{"k"}, Limit: apricotway.TokenLimit{Rate: 1, Burst: 1}}},
				Routes: []apricotway.Route{{
					Name: "r", Host: "h", PathPrefix: "/", Targets: []apricotway.RouteTarget{{Service: "s", Weight: 1}},
					Kind: apricotway.RouteStream, Resumable: test.resumable, MaxAttempts: 1, Timeout: time.Second,
				}},
			})
			front := relay.New(keyedDialect{}, &scriptedServers{results: []result{resultAnswered}}, catalog{table}, pool, limiter,
				retrybudget.New(retrybudget.Limits{Ratio: 1, Window: time.Second, Slack: 100}), tally.New(time.Second))

			request := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "http://h/", strings.NewReader("x"))
			request.Header.Set("Key", "k")
			request.Header.Set("Resumes", test.resumes)

			recorder := httptest.NewRecorder()
			front.ServeHTTP(recorder, request)

			if got, want := recorder.Code, http.StatusTooManyRequests; got != want {
				t.Errorf("got status %d, want %d", got, want)
			}

			if limiter.resumed != test.resumed || limiter.taken != 1-test.resumed {
				t.Errorf("got %d calls charged as taken up and %d as new, want %d and %d", limiter.resumed, limiter.taken, test.resumed,
					1-test.resumed)
			}

			// The caller has 250 ms.
			if test.resumed > 0 && (limiter.remaining <= 0 || limiter.remaining > 250*time.Millisecond) {
				t.Errorf("got %s left to the caller, want up to 250ms", limiter.remaining)
			}
		})
	}
}
