package scenario

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/apricotway/apricotway/cmd/internal/standin"
)

// sentCall is a call with an idempotency key and its response; without a response the status is 0.
type sentCall struct {
	key, body, execution string
	status               int
	// ran tells that the backend server had already run a call with the key when this one was sent.
	ran bool
	// final tells that every later repeat must get the same response.
	final bool
}

// sentStream is a streamed completion request and the text that was received.
type sentStream struct {
	prompt, got string
	tokens      int
	// lost tells that all processes with a copy of the request died at once. The text received before must still be a prefix of
	// the complete one.
	lost bool
}

// seenRevision is a configuration revision that a process reported.
type seenRevision struct {
	process  string
	revision int64
}

// records is what a run sent and observed. The revisions are in the order in which they were observed.
type records struct {
	calls      []sentCall
	executions []standin.Execution
	streams    []sentStream
	revisions  []seenRevision
	// inProgress tells that some calls have no response yet, so that a key may still run although all responses so far refused it.
	inProgress bool
}

// violations returns a text for each violation of a guarantee, which G1 to G7 number:
//
//   - G1: a call that was answered ran.
//   - G2: repeats of a call get the same response, and a stream has the text of a run without failures.
//   - G3: a key that was only refused as notStarted did not run.
//   - G4: a key runs at most once.
//   - G7: a process never returns to an older configuration revision.
//
// No check depends on timing.
func (r *records) violations() []string {
	var found []string

	report := func(format string, args ...any) {
		if text := fmt.Sprintf(format, args...); !slices.Contains(found, text) {
			found = append(found, text)
		}
	}
	ran, refusedOnly, recorded := map[string]int{}, map[string]bool{}, map[string]string{}

	for _, execution := range r.executions {
		if ran[execution.Key]++; ran[execution.Key] == 2 {
			report("G4: key %s ran more than once", execution.Key)
		}
	}

	for _, call := range r.calls {
		refused, known := refusedOnly[call.key]
		refusedOnly[call.key] = (refused || !known) && call.execution == "notStarted"

		if call.ran && call.execution == "notStarted" {
			report("G3: key %s had run and was refused as notStarted: %s", call.key, call.body)
		}

		if call.status != http.StatusCreated {
			continue
		}

		if before, ok := recorded[call.key]; ok && before != call.body {
			report("G2: key %s was answered with %q and %q", call.key, before, call.body)
		}

		if recorded[call.key] = call.body; ran[call.key] == 0 {
			report("G1: key %s was answered and did not run", call.key)
		}
	}

	for key, refused := range refusedOnly {
		if refused && ran[key] > 0 && !r.inProgress {
			report("G3: key %s ran and was only refused as notStarted", key)
		}
	}

	for _, stream := range r.streams {
		want := expected(stream.prompt, stream.tokens)
		if stream.lost {
			want = want[:min(len(stream.got), len(want))]
		}

		if stream.got != want {
			report("G2: the answer to %q is not that of an undisturbed run: got %q", stream.prompt, stream.got)
		}
	}

	highest := map[string]int64{}
	for _, seen := range r.revisions {
		if seen.revision < highest[seen.process] {
			report("G7: %s returned from revision %d to %d", seen.process, highest[seen.process], seen.revision)
		}

		highest[seen.process] = max(highest[seen.process], seen.revision)
	}

	return found
}

// TestViolations guards against a checker that misses violations or reports false ones: each case has one violation, or none.
func TestViolations(t *testing.T) {
	once := []standin.Execution{{Key: "k"}}
	created := sentCall{key: "k", status: http.StatusCreated, body: "1"}
	refused := sentCall{key: "k", status: http.StatusServiceUnavailable, execution: "notStarted"}

	for want, r := range map[string]records{
		"": {
			calls: []sentCall{refused, created, created, {key: "u", execution: "unknown"}}, executions: once,
			streams: []sentStream{{"p", expected("p", 3), 3, false}, {"p", expected("p", 2), 3, true}}, revisions: []seenRevision{{"a", 2}, {"b", 1}, {"a", 2}},
		},
		"G4: key k ran more than once":       {executions: append(once, once...)},
		"G3: key k ran and was only refused": {calls: []sentCall{refused, refused}, executions: once},
		"G3: key k had run and was refused": {
			calls: []sentCall{created, {key: "k", execution: "notStarted", ran: true}}, executions: once,
		},
		"G1: key k was answered and did not":   {calls: []sentCall{created}},
		"G2: key k was answered with":          {calls: []sentCall{created, {key: "k", status: 201, body: "2"}}, executions: once},
		`G2: the answer to "p" is not that of`: {streams: []sentStream{{"p", expected("p", 2), 3, false}}},
		`G2: the answer to "q" is not that of`: {streams: []sentStream{{"q", expected("p", 2), 3, true}}},
		"G7: a returned from revision 2 to 1":  {revisions: []seenRevision{{"a", 2}, {"a", 1}}},
	} {
		got := r.violations()
		if want == "" && len(got) == 0 {
			continue
		}

		if len(got) != 1 || want == "" || !strings.HasPrefix(got[0], want) {
			t.Errorf("got %q, want one violation that starts with %q", got, want)
		}
	}
}

// callClient gives up a call without a response after waitLimit; no test result depends on this time.
var callClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: waitLimit}

// callOnce sends one call with an idempotency key, after it has asked the backend server at the address backend whether the key
// has run. A timeout that is not empty goes into the header Apricotway-Timeout.
func callOnce(backend, address, key, body, timeout string) sentCall {
	before, err := executions(backend)
	c := sentCall{key: key, ran: err == nil && slices.ContainsFunc(before, func(e standin.Execution) bool { return e.Key == key })}

	// The body cannot be rewound, so that http.Client does not retry the call by itself.
	r, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/services/lot-ledger/release", struct{ io.Reader }{strings.NewReader(body)})
	if err != nil {
		return c
	}

	r.ContentLength = int64(len(body))
	r.Header.Set("Authorization", "Bearer secret")
	r.Header.Set("Idempotency-Key", key)

	if timeout != "" {
		r.Header.Set("Apricotway-Timeout", timeout)
	}

	answer, err := callClient.Do(r)
	if err != nil {
		return c
	}
	defer answer.Body.Close()

	content, err := io.ReadAll(answer.Body)
	if err != nil {
		return c
	}

	var refusal struct {
		Error struct {
			Execution         string
			RetryAfterSeconds float64
		}
	}

	_ = json.Unmarshal(content, &refusal)
	c.status, c.body, c.execution = answer.StatusCode, string(content), refusal.Error.Execution
	c.final = c.status == http.StatusCreated || c.execution == "unknown" && refusal.Error.RetryAfterSeconds == 0

	return c
}

func executions(address string) (list []standin.Execution, err error) {
	answer, err := callClient.Get("http://" + address + "/executions")
	if err != nil {
		return nil, err
	}
	defer answer.Body.Close()

	return list, json.NewDecoder(answer.Body).Decode(&list)
}

// keyedCalls holds a *keyed for each script name and idempotency key.
var keyedCalls sync.Map

// keyed collects the calls that a script sends with one idempotency key.
type keyed struct {
	group   sync.WaitGroup
	mu      sync.Mutex
	records records
}

// cmdKeyed runs "keyed KEY BODY BACKEND ADDRESS...": it sends one call with the key to each address in the background.
func cmdKeyed(ts *testscript.TestScript, neg bool, args []string) {
	usage(ts, neg, args, 4, "keyed KEY BODY BACKEND ADDRESS...")

	value, _ := keyedCalls.LoadOrStore(ts.Name()+"/"+args[0], &keyed{})
	k, body := value.(*keyed), ts.ReadFile(args[1])

	for _, address := range args[3:] {
		k.group.Go(func() {
			call := callOnce(args[2], address, args[0], body, "")

			k.mu.Lock()
			defer k.mu.Unlock()

			k.records.calls = append(k.records.calls, call)
		})
	}
}

// cmdChecked runs "checked KEY BACKEND": it waits for the responses to all calls with the key and checks them against the
// executions that the backend server recorded.
func cmdChecked(ts *testscript.TestScript, neg bool, args []string) {
	usage(ts, neg, args, 2, "checked KEY BACKEND")

	value, ok := keyedCalls.Load(ts.Name() + "/" + args[0])
	if !ok {
		ts.Fatalf("no calls with the key %s were sent", args[0])
	}

	k := value.(*keyed)
	k.group.Wait()

	var err error

	k.records.executions, err = executions(args[1])
	ts.Check(err)
	ts.Logf("calls: %+v", k.records.calls)

	if found := k.records.violations(); len(found) > 0 {
		ts.Fatalf("%s", strings.Join(found, "\n"))
	}
}
