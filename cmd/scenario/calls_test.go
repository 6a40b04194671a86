package scenario

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// load sends completion requests from several callers that follow the client protocol: each request goes to an address from
// the latest response of /v1/addresses, which is requested again once its validity has expired.
type load struct {
	client    *http.Client
	body      string
	token     string
	cancel    context.CancelFunc
	group     sync.WaitGroup
	mu        sync.Mutex
	addresses []string
	expires   time.Time
	served    int
	failures  []string
}

type callsKey struct{}

const (
	loadCallers = 8
	// loadTokens is a part of the usage of every complete response; a response without it was cut off.
	loadTokens = `"completion_tokens":40`
)

// cmdCalls runs "calls start URL TOKEN BODY", "calls progress", which waits until further requests have ended, or "calls stop",
// which also fails the script if a request was refused, cut off or answered in part.
func cmdCalls(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 4 && (len(args) != 1 || args[0] == "start") {
		ts.Fatalf("usage: calls start ADDRESS TOKEN BODY | calls progress | calls stop")
	}

	if args[0] == "start" {
		l := ts.Value(callsKey{}).(*load)
		l.client = &http.Client{Transport: &http.Transport{}}
		l.addresses, l.token, l.body = []string{args[1]}, args[2], ts.ReadFile(args[3])

		var ctx context.Context

		ctx, l.cancel = context.WithCancel(context.Background())
		for i := range loadCallers {
			l.group.Go(func() { l.run(ctx, i) })
		}

		ts.Defer(l.cancel)

		return
	}

	l := ts.Value(callsKey{}).(*load)
	before := l.count()

	for end := time.Now().Add(waitLimit); l.count() < before+2*loadCallers; {
		if time.Now().After(end) {
			ts.Fatalf("no further requests ended after the first %d; failures: %v", l.count(), l.failures)
		}

		<-time.After(10 * time.Millisecond)
	}

	if args[0] == "stop" {
		l.cancel()
		l.group.Wait()
		ts.Logf("%d requests served", l.served)

		if len(l.failures) > 0 {
			ts.Fatalf("%d of %d requests failed, the first: %s", len(l.failures), l.served+len(l.failures), l.failures[0])
		}
	}
}

func (l *load) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.served + len(l.failures)
}

func (l *load) run(ctx context.Context, caller int) {
	for i := caller; ctx.Err() == nil; i++ {
		address := l.address(i)
		status, text, err := l.send(http.MethodPost, "http://"+address+"/v1/completions", l.body)

		l.mu.Lock()

		if err != nil || status != http.StatusOK || !strings.Contains(text, loadTokens) {
			message := address + ": " + text
			if err != nil {
				message += err.Error()
			}

			l.failures = append(l.failures, message)
		} else {
			l.served++
		}

		l.mu.Unlock()
	}
}

// address returns the address for request i, and first requests new addresses if the current ones have expired.
func (l *load) address(i int) string {
	l.mu.Lock()
	defer l.mu.Unlock()

	requestedAt := time.Now()
	if requestedAt.After(l.expires) {
		for _, known := range l.addresses {
			status, text, err := l.send(http.MethodGet, "http://"+known+"/v1/addresses?service=belt-assistant&workspace=w", "")

			var answer struct {
				Addresses       []struct{ Address string }
				ValidForSeconds float64
			}

			if err != nil || status != http.StatusOK || json.Unmarshal([]byte(text), &answer) != nil || len(answer.Addresses) == 0 {
				continue
			}

			l.addresses = nil
			for _, given := range answer.Addresses {
				l.addresses = append(l.addresses, given.Address)
			}

			l.expires = requestedAt.Add(time.Duration(answer.ValidForSeconds * float64(time.Second)))

			break
		}
	}

	return l.addresses[i%len(l.addresses)]
}

func (l *load) send(method, url, body string) (int, string, error) {
	r, err := http.NewRequest(method, url, struct{ io.Reader }{strings.NewReader(body)})
	if err != nil {
		return 0, "", err
	}

	// The body cannot be rewound: otherwise http.Client could retry a request after a broken connection and hide the failure.
	r.ContentLength = int64(len(body))
	r.Header.Set("Authorization", "Bearer "+l.token)

	answer, err := l.client.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer answer.Body.Close()

	content, err := io.ReadAll(answer.Body)

	return answer.StatusCode, string(content), err
}
