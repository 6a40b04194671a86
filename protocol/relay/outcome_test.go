package relay_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"pgregory.net/rapid"

	"github.com/apricotway/apricotway"
	_ "github.com/apricotway/apricotway/internal/fixedseed"
	"github.com/apricotway/apricotway/protocol/relay"
	"github.com/apricotway/apricotway/state/dispatch"
	"github.com/apricotway/apricotway/state/retrybudget"
	"github.com/apricotway/apricotway/state/route"
	"github.com/apricotway/apricotway/state/tally"
)

// dialect gives every call and answer the same attempt identifier.
type dialect struct{}

func (dialect) ReadCall(http.Header) (apricotway.CallMetadata, error) {
	return apricotway.CallMetadata{Attempt: "1", Timeout: 250 * time.Millisecond}, nil
}

func (dialect) ForwardHeader(header http.Header) http.Header { return header.Clone() }

func (dialect) DetourHeader(header http.Header, _ time.Duration) http.Header { return header.Clone() }

func (dialect) WriteTakeUp(http.Header, string, apricotway.AttemptID) {}

func (dialect) WriteSend(header http.Header, _ apricotway.SendMetadata) { header.Set("Sent", "1") }
func (dialect) AnswerHeader(header http.Header) http.Header             { return header.Clone() }

func (dialect) ReadAnswer(_ int, header http.Header) apricotway.AnswerMetadata {
	return apricotway.AnswerMetadata{Attempt: "1", NotRun: header.Get("Not-Run") != ""}
}

type catalog struct{ table *route.Table }

func (c catalog) Table() *route.Table          { return c.table }
func (catalog) AwaitKeys(context.Context) bool { return true }

func (catalog) AwaitCurrent(context.Context) bool { return true }

func (catalog) Outdated() bool { return false }

type noLimits struct{}

func (noLimits) Take(context.Context, apricotway.Workspace, float64) (time.Duration, bool) {
	return 0, true
}
func (noLimits) Return(apricotway.Workspace, float64) {}

// result is how a server responds to one send.
type result string

const (
	resultAnswered    result = "answered"
	resultFailed      result = "failed"
	resultRejected    result = "rejected"
	resultMisdirected result = "misdirected"
	resultUnreachable result = "unreachable"
	resultLost        result = "lost"
	resultCut         result = "cut"
	resultSilent      result = "silent"
	resultLate        result = "late"
)

// mayRun reports whether the call may have run.
func (r result) mayRun() bool {
	return r != resultRejected && r != resultMisdirected && r != resultUnreachable
}

// scriptedServers responds with the given results in order, and repeats the last one.
type scriptedServers struct {
	mu      sync.Mutex
	results []result
	sends   []result
}

var errLost = errors.New("connection lost")

// truncatedBody ends with io.ErrUnexpectedEOF in place of io.EOF.
type truncatedBody struct{ io.Reader }

func (t truncatedBody) Read(buffer []byte) (int, error) {
	n, err := t.Reader.Read(buffer)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}

	return n, err
}

// Send implements apricotway.Upstream: it responds with the next result and records it.
func (s *scriptedServers) Send(
	ctx context.Context, _ netip.AddrPort, _ apricotway.ForwardedCall,
) (*apricotway.ForwardedAnswer, error) {
	s.mu.Lock()
	r := s.results[min(len(s.sends), len(s.results)-1)]
	s.sends = append(s.sends, r)
	number := len(s.sends)
	s.mu.Unlock()

	body := fmt.Sprintf("id: 1\ndata: %d\n\n", number)
	answer := func(status int, header http.Header, content io.Reader) (*apricotway.ForwardedAnswer, error) {
		return &apricotway.ForwardedAnswer{Status: status, Header: header, Length: -1, Body: io.NopCloser(content)}, nil
	}

	switch r {
	case resultAnswered:
		return answer(http.StatusOK, http.Header{}, strings.NewReader(body))
	case resultFailed:
		return answer(http.StatusInternalServerError, http.Header{}, strings.NewReader(body))
	case resultRejected:
		return answer(http.StatusServiceUnavailable, http.Header{"Not-Run": {"1"}}, strings.NewReader(""))
	case resultMisdirected:
		return answer(http.StatusMisdirectedRequest, http.Header{"Not-Run": {"1"}}, strings.NewReader(""))
	case resultUnreachable:
		return nil, errors.Wrap(apricotway.ErrNotSent, "no listener")
	case resultCut:
		return answer(http.StatusOK, http.Header{}, truncatedBody{strings.NewReader(body[:9])})
	case resultSilent:
		<-ctx.Done()
		return nil, ctx.Err()
	case resultLate:
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(20 * time.Millisecond):
			return answer(http.StatusOK, http.Header{}, strings.NewReader(body))
		}
	case resultLost:
	}

	return nil, errLost
}

func routes(kind apricotway.RouteKind, resumable bool, attempts int) *route.Table {
	return route.New(&apricotway.Deployment{
		Version: 1,
		Routes: []apricotway.Route{{
			Name: "r", Host: "h", PathPrefix: "/", Targets: []apricotway.RouteTarget{{Service: "s", Weight: 1}}, Kind: kind,
			Resumable: resumable, MaxAttempts: attempts, Timeout: time.Second, Objective: 30 * time.Millisecond,
			LongestPause: 10 * time.Millisecond,
		}},
		Services: []apricotway.ServiceRule{{Name: "s"}},
	})
}

// TestOutcomes sends one call to servers with random results. It guards against a call that runs more often than its route allows,
// a status which means that the call did not run although it may have, and a truncated answer that looks complete.
func TestOutcomes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		kind := rapid.SampledFrom([]apricotway.RouteKind{
			apricotway.RouteSafe, apricotway.RouteUnsafe, apricotway.RouteStream,
		}).Draw(t, "kind")
		resumable := kind == apricotway.RouteStream && rapid.Bool().Draw(t, "resumable")
		attempts := rapid.IntRange(1, 3).Draw(t, "attempts")
		s := &scriptedServers{results: rapid.SliceOfN(rapid.SampledFrom([]result{
			resultAnswered, resultFailed, resultRejected, resultMisdirected, resultUnreachable, resultLost, resultCut, resultSilent,
			resultLate,
		}), 1, 5).Draw(t, "results")}

		pool := dispatch.New()
		for i := range 3 {
			pool.Update(apricotway.Backend{
				ID: apricotway.BackendServerID(fmt.Sprint(i)), Service: "s", Slots: 8, Address: netip.MustParseAddrPort("127.0.0.1:1"),
			}, time.Now())
		}

		budget := retrybudget.New(retrybudget.Limits{Ratio: 1, Window: time.Second, Slack: 100})
		front := httptest.NewServer(relay.New(dialect{}, s, catalog{routes(kind, resumable, attempts)}, pool, noLimits{}, budget,
			tally.New(time.Second), relay.WithPatience(time.Millisecond)))
		defer front.Close()

		request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, front.URL, bytes.NewReader([]byte("x")))
		if err != nil {
			t.Fatal(err)
		}

		request.Host = "h"

		status, content := 0, []byte(nil)

		response, err := front.Client().Do(request)
		if err == nil {
			status = response.StatusCode
			content, err = io.ReadAll(response.Body)
			_ = response.Body.Close()
		}

		s.mu.Lock()
		defer s.mu.Unlock()

		runs := 0
		for _, r := range s.sends {
			if r.mayRun() {
				runs++
			}
		}

		repeatable := kind == apricotway.RouteSafe || resumable
		if most := attempts; runs > 1 && (!repeatable || runs > most) {
			t.Errorf("sends %v: got %d possible runs, want at most %d", s.sends, runs, most)
		}

		promise := slices.Contains([]int{
			http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable,
		}, status)
		if promise && runs > 0 {
			t.Errorf("sends %v: got status %d, which says that the call did not run", s.sends, status)
		}

		if err == nil && status == http.StatusOK && !strings.HasSuffix(string(content), "\n\n") {
			t.Errorf("sends %v: got a truncated answer as a complete one: %q", s.sends, content)
		}

		if err == nil && status == http.StatusOK && !repeatable && strings.Count(string(content), "data:") != 1 {
			t.Errorf("sends %v: got %q, want one run", s.sends, content)
		}
	})
}
