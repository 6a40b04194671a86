package scenario

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"

	"github.com/go-faster/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/apricotway/apricotway/cmd/internal/standin"
)

// streamClient opens a connection for each request: with connections kept alive, a request could fail on one that a killed
// process has left behind.
var streamClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// openStream requests a streamed completion. If last is not empty, the stream resumes after the event with that id.
func openStream(url, token, prompt string, tokens int, last string) (*http.Response, error) {
	body := fmt.Sprintf(`{"model": "belt-assistant", "prompt": %q, "max_tokens": %d, "stream": true}`, prompt, tokens)

	r, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return nil, err
	}

	r.Header.Set("Authorization", "Bearer "+token)

	if last != "" {
		r.Header.Set("Last-Event-ID", last)
	}

	answer, err := streamClient.Do(r)
	if err == nil && answer.StatusCode != http.StatusOK {
		content, _ := io.ReadAll(answer.Body)
		return nil, errors.Errorf("%s: %s", answer.Status, content)
	}

	return answer, err
}

// readStream reads until it has the given number of tokens, or to the end marker if until is 0, and returns the text and the
// id of the last event.
func readStream(body io.Reader, until int) (text, last string, err error) {
	var (
		collected strings.Builder
		count     int
		// id belongs to the event being read. It becomes last only once the text of that event has arrived completely.
		id string
	)

	for lines := bufio.NewScanner(body); lines.Scan(); {
		if value, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			id = value
			continue
		}

		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}

		if data == "[DONE]" {
			return collected.String(), last, nil
		}

		var chunk struct {
			Choices []struct {
				Text string `json:"text"`
			} `json:"choices"`
		}
		if err := json.Unmarshal([]byte(data), &chunk); err != nil || len(chunk.Choices) != 1 {
			return collected.String(), last, errors.Errorf("event is not a completion chunk with one choice: %s", data)
		}

		collected.WriteString(chunk.Choices[0].Text)

		last = id

		if count++; count == until {
			return collected.String(), last, nil
		}
	}

	return collected.String(), last, errors.New("the stream ended without its end marker")
}

// cmdStream runs "stream FILE UNTIL URL TOKEN PROMPT TOKENS [LAST]": it appends the next tokens of the completion to the file,
// UNTIL of them or all if that is 0, and sets the variable LAST to the id of the last event. With LAST the stream resumes after
// that event. The connection stays open until the script ends.
func cmdStream(ts *testscript.TestScript, neg bool, args []string) {
	usage(ts, neg, args, 6, "stream FILE UNTIL URL TOKEN PROMPT TOKENS [LAST]")

	until, tokens := number(ts, args[1]), number(ts, args[5])
	answer, err := openStream(args[2], args[3], args[4], tokens, strings.Join(args[6:], ""))
	ts.Check(err)
	ts.Defer(func() { _ = answer.Body.Close() })

	text, last, err := readStream(answer.Body, until)
	ts.Check(err)
	ts.Setenv("LAST", last)

	// Reading fails before the first part, when the file does not exist yet.
	before, _ := os.ReadFile(ts.MkAbs(args[0]))
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), append(before, text...), 0o600))
}

// usage fails the script with the usage text if a command is negated or has fewer arguments than least.
func usage(ts *testscript.TestScript, neg bool, args []string, least int, text string) {
	if neg || len(args) < least {
		ts.Fatalf("usage: %s", text)
	}
}

func number(ts *testscript.TestScript, text string) int {
	value, err := strconv.Atoi(text)
	ts.Check(err)

	return value
}

func expected(prompt string, tokens int) string {
	var text strings.Builder
	for index := range tokens {
		text.WriteString(standin.TokenText(prompt, index))
	}

	return text.String()
}

// cmdExpect runs "expect FILE PROMPT TOKENS": the file must hold exactly the text that a run without failures produces.
func cmdExpect(ts *testscript.TestScript, neg bool, args []string) {
	usage(ts, neg, args, 3, "expect FILE PROMPT TOKENS")

	if got, want := ts.ReadFile(args[0]), expected(args[1], number(ts, args[2])); got != want {
		ts.Fatalf("got %q\nwant %q", got, want)
	}
}

// loads holds the result channel of each load by its loadKey. It is a global because a script's environment takes no values
// after its setup.
var loads sync.Map

type loadKey string

// cmdLoad runs "load NAME COUNT URL TOKEN TOKENS": it streams COUNT completions of different prompts in the background.
func cmdLoad(ts *testscript.TestScript, neg bool, args []string) {
	usage(ts, neg, args, 5, "load NAME COUNT URL TOKEN TOKENS")

	count, tokens := number(ts, args[1]), number(ts, args[4])
	results := make(chan error, count)
	loads.Store(loadKey(ts.Name()+"/"+args[0]), results)

	for i := range count {
		go func() {
			prompt := strings.Repeat(fmt.Sprintf("calibration log %d of the belt; ", i), 20)

			answer, err := openStream(args[2], args[3], prompt, tokens, "")
			if err != nil {
				results <- err
				return
			}
			defer answer.Body.Close()

			got, _, err := readStream(answer.Body, 0)
			if want := expected(prompt, tokens); err == nil && got != want {
				err = errors.Errorf("got %q\nwant %q", got, want)
			}

			results <- err
		}()
	}
}

// cmdLoaded runs "loaded NAME": it waits for the completions of the load, each of which must equal that of a run without
// failures.
func cmdLoaded(ts *testscript.TestScript, neg bool, args []string) {
	usage(ts, neg, args, 1, "loaded NAME")

	value, ok := loads.Load(loadKey(ts.Name() + "/" + args[0]))
	if !ok {
		ts.Fatalf("no load with the name %s was started", args[0])
	}

	results := value.(chan error)
	for range cap(results) {
		ts.Check(<-results)
	}
}
