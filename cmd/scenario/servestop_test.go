package scenario

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/cmd/internal/standin"
)

// serveStopLimit is the time after SIGTERM at which a process of TestServeStop gives up: addressValidity, drain, and the margin for
// the leave notice.
const serveStopLimit = (1 + 4 + 3) * time.Second

// serveCall is a request around the stop of a process.
type serveCall struct {
	path, header, body string
	// pauseAt is the text behind which the caller stops sending until the time sent; empty for a request that is sent at once.
	pauseAt string
	opened  time.Duration
	sent    time.Duration
}

// serveResult is what the caller of a request got, with its times after SIGTERM.
type serveResult struct {
	request     string
	sent, ended time.Duration
	status      int
	body        string
	err         error
}

// exchange sends the request at its times after SIGTERM and reads the answer.
func (c serveCall) exchange(t *testing.T, address string, term time.Time) (r serveResult) {
	r.request = c.body

	<-time.After(time.Until(term.Add(c.opened)))

	connection, err := net.Dial("tcp", address)
	if err != nil {
		return serveResult{err: err}
	}

	defer func() { _ = connection.Close() }()

	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+c.path, strings.NewReader(c.body))
	if err != nil {
		t.Error(err)
		return serveResult{err: err}
	}

	request.Header.Set("Authorization", "Bearer secret")
	request.Header.Set("Apricotway-Timeout", "60s")

	if c.header != "" {
		request.Header.Set("Idempotency-Key", c.header)
	}

	var content bytes.Buffer
	if err := request.Write(&content); err != nil {
		t.Error(err)
		return serveResult{err: err}
	}

	if c.pauseAt != "" {
		_, r.err = connection.Write(content.Next(bytes.Index(content.Bytes(), []byte(c.pauseAt)) + len(c.pauseAt)))
	}

	<-time.After(time.Until(term.Add(c.sent)))

	reader := bufio.NewReader(connection)
	_ = connection.SetReadDeadline(time.Now().Add(time.Millisecond))

	// A process that has closed the connection before will not read the request.
	if _, err := reader.Peek(1); r.err == nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		r.err = err
	}

	_ = connection.SetReadDeadline(time.Time{})

	if r.err == nil {
		_, r.err = connection.Write(content.Bytes())
	}

	if r.err != nil {
		return r
	}

	r.sent = time.Since(term)

	response, err := http.ReadResponse(reader, request)
	if err == nil {
		var body []byte

		body, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		r.status, r.body = response.StatusCode, string(body)
	}

	r.ended, r.err = time.Since(term), err

	return r
}

// TestServeStop guards against calls whose connection ends without an answer at the end of a planned stop of apricotway serve. A
// stream that has begun ends with its end marker or a refusal.
func TestServeStop(t *testing.T) {
	t.Parallel()

	const count = 20

	var (
		mu   sync.Mutex
		runs = map[string]int{}
	)

	release := make(chan struct{})
	service := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)

		mu.Lock()
		runs[string(body)]++
		mu.Unlock()

		select {
		case <-release:
		case <-time.After(map[bool]time.Duration{true: time.Hour, false: 3 * time.Second}[strings.HasSuffix(r.URL.Path, "/held")]):
		}

		_, _ = io.WriteString(w, "done")
	})
	log, hosts := standin.NewLog(), standin.NewHosts()

	serve := func(handler http.Handler) netip.AddrPort {
		server := httptest.NewServer(handler)
		t.Cleanup(server.CloseClientConnections)

		return netip.MustParseAddrPort(server.Listener.Addr().String())
	}
	engine := func(times standin.EngineTimes) http.Handler {
		return standin.NewEngine(standin.NewEngineModel(times)).Handler()
	}

	for name, handler := range map[string]http.Handler{
		"ledger":  service,
		"fast":    engine(standin.EngineTimes{DecodePerToken: 10 * time.Millisecond}),
		"waiting": engine(standin.EngineTimes{PrefillPerToken: 30 * time.Second, DecodePerToken: 10 * time.Millisecond}),
	} {
		hosts.Add(apricotway.BackendServer{
			ID: apricotway.BackendServerID(name + "-1"), Service: apricotway.Service(name), Region: "r", Zone: "a", MachineClass: "standard",
			Version: "1", Address: serve(handler), State: apricotway.HostLive,
		})
	}

	var records []apricotway.Record

	for i, payload := range []string{
		`{"object": "ledger", "spec": {"type": "plain"}}`, `{"object": "fast", "spec": {"type": "model"}}`,
		`{"object": "waiting", "spec": {"type": "model"}}`,
		`{"object": "w", "spec": {"owner": "o", "weight": 1,
			"tokenHashes": ["2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"]}}`,
	} {
		kind := "service"
		if i == 3 {
			kind = "workspace"
		}

		records = append(records, apricotway.Record{SchemaVersion: 1, Kind: kind, ID: fmt.Sprint(i + 1), Payload: json.RawMessage(payload)})
	}

	if _, err := log.Append(t.Context(), "config", records); err != nil {
		t.Fatal(err)
	}

	directory := t.TempDir()
	file := filepath.Join(directory, "entry.jsonc")
	settings := fmt.Sprintf(`{"region": "r", "zone": "a", "stop": {"addressValidity": "1s", "drain": "4s"},
		"listen": {"callers": "127.0.0.1:0", "peers": "127.0.0.1:0", "probes": "127.0.0.1:0", "operator": "127.0.0.1:0"},
		"platform": {"log": %q, "hosts": %q}}`, serve(log.Handler()), serve(hosts.Handler()))

	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}

	process, fields, err := launch(directory, "entry", append(os.Environ(), "GORACE=atexit_sleep_ms=0"),
		[]string{"apricotway", "serve", "--settings", file})
	if process != nil {
		t.Cleanup(process.kill)
	}

	if err != nil {
		t.Fatal(err)
	}

	ready := serveCall{path: "/v1/completions", body: `{"model": "fast", "prompt": "x", "max_tokens": 1}`}
	for begin := time.Now(); ready.exchange(t, fields[""], begin).status != http.StatusOK; <-time.After(50 * time.Millisecond) {
		if time.Since(begin) > waitLimit {
			t.Fatal("the process did not serve")
		}
	}

	term := time.Now().Add(2 * time.Second)
	results := map[string][]serveResult{}

	var calling sync.WaitGroup

	seconds := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

	for i := range count {
		spread := float64(i) / count
		early, late := seconds(-1+1.9*spread), seconds(3+4.9*spread)
		body := fmt.Sprintf(`{"model": "fast", "prompt": "p%d", "max_tokens": 3000`, i)
		waiting := fmt.Sprintf(`{"model": "waiting", "prompt": "p%d", "max_tokens": 10`, i)

		for name, call := range map[string]serveCall{
			"held call":             {path: "/v1/services/ledger/held", opened: early, sent: early},
			"held call with key":    {path: "/v1/services/ledger/held", header: fmt.Sprint("key", i), opened: early, sent: early},
			"late first request":    {path: "/v1/services/ledger/slow", opened: min(early, seconds(0.8)), sent: late},
			"late body":             {path: "/v1/services/ledger/slow", opened: early, sent: late, pauseAt: "late b"},
			"stream":                {path: "/v1/completions", body: body + `, "stream": true}`, opened: early, sent: early},
			"late stream":           {path: "/v1/completions", body: body + `, "stream": true}`, opened: early, sent: late, pauseAt: "fast"},
			"answer":                {path: "/v1/completions", body: body + `}`, opened: early, sent: early},
			"stream without events": {path: "/v1/completions", body: waiting + `, "stream": true}`, opened: early, sent: early},
			"answer not begun":      {path: "/v1/completions", body: waiting + `}`, opened: early, sent: early},
		} {
			if call.body == "" {
				call.body = fmt.Sprintf("%s %d", name, i)
			}

			calling.Go(func() {
				result := call.exchange(t, fields[""], term)

				mu.Lock()
				results[name] = append(results[name], result)
				mu.Unlock()
			})
		}
	}

	<-time.After(time.Until(term))

	if err := process.command.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}

	<-process.done

	gone := time.Since(term)

	close(release)
	calling.Wait()

	for name, group := range results {
		t.Run(name, func(t *testing.T) {
			answers, lost := map[string]int{}, 0

			for _, r := range group {
				if strings.Contains(r.body, `"execution":"notStarted"`) && runs[r.request] > 0 {
					t.Errorf("%s: got an answer that it was not started, and %d runs", r.request, runs[r.request])
				}

				stream := r.status == http.StatusOK && strings.Contains(name, "stream")

				switch {
				// A caller can't tell whether a request was read whose connection ended at about that time.
				case r.err != nil && (r.sent == 0 || r.ended-r.sent <= stopSlack ||
					errors.Is(r.err, syscall.ECONNRESET) && r.ended-r.sent <= resetSlack && runs[r.request] == 0):
					answers["not sent"]++
				case r.err != nil, stream && !strings.Contains(r.body, "data: [DONE]") && !strings.Contains(r.body, `"code"`):
					lost++

					t.Logf("sent %s and ended %s after SIGTERM: %d runs, status %d, %d bytes, %v", r.sent, r.ended, runs[r.request], r.status, len(r.body), r.err)
				default:
					answers[fmt.Sprint(r.status)]++
				}
			}

			if lost > 0 {
				t.Errorf("got %d of %d calls without an answer, want none", lost, len(group))
			}

			t.Logf("%d calls, answers %v; the process was gone %s after SIGTERM, with a limit of %s", len(group), answers, gone, serveStopLimit)
		})
	}

	for body, count := range runs {
		if count > 1 {
			t.Errorf("%s: got %d runs, want at most 1", body, count)
		}
	}
}
