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

// streamClient keeps no connection, so that a killed process is noticed by the request that meets it.
var streamClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// openStream asks for the answer to a prompt, behind the event when that is not empty.
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

// readStream reads events until the given number of tokens, or to the end marker when that is 0, and returns the text and
// the last event's id.
func readStream(body io.Reader, until int) (text, last string, err error) {
	var (
		collected strings.Builder
		count     int
		// id is that of the event being read. It counts only once the event's text has arrived whole.
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
			return collected.String(), last, errors.Errorf("event %s", data)
		}

		collected.WriteString(chunk.Choices[0].Text)

		last = id

		if count++; count == until {
			return collected.String(), last, nil
		}
	}

	return collected.String(), last, errors.New("the stream ended without its end marker")
}

// cmdStream runs "stream FILE UNTIL URL TOKEN PROMPT TOKENS [LAST]": it appends the text of the answer's next tokens to the
// file, UNTIL of them or all when that is 0, and sets the variable LAST to the last event's id. The connection stays open.
func cmdStream(ts *testscript.TestScript, neg bool, args []string) {
	usage(ts, neg, args, 6, "stream FILE UNTIL URL TOKEN PROMPT TOKENS [LAST]")

	until, tokens := number(ts, args[1]), number(ts, args[5])
	answer, err := openStream(args[2], args[3], args[4], tokens, strings.Join(args[6:], ""))
	ts.Check(err)
	ts.Defer(func() { _ = answer.Body.Close() })

	text, last, err := readStream(answer.Body, until)
	ts.Check(err)
	ts.Setenv("LAST", last)

	// The file does not exist before the first part.
	before, _ := os.ReadFile(ts.MkAbs(args[0]))
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), append(before, text...), 0o600))
}

// usage ends the script unless a command has its arguments.
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

// cmdExpect runs "expect FILE PROMPT TOKENS": the file must hold the answer of an undisturbed run.
func cmdExpect(ts *testscript.TestScript, neg bool, args []string) {
	usage(ts, neg, args, 3, "expect FILE PROMPT TOKENS")

	if got, want := ts.ReadFile(args[0]), expected(args[1], number(ts, args[2])); got != want {
		ts.Fatalf("got %q\nwant %q", got, want)
	}
}

// loads holds the results of the running loads by loadKey, since the values of an environment are fixed at its start.
var loads sync.Map

type loadKey string

// cmdLoad runs "load NAME COUNT URL TOKEN TOKENS": it streams answers to different prompts in the background.
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

// cmdLoaded runs "loaded NAME": every answer of the load must be that of an undisturbed run.
func cmdLoaded(ts *testscript.TestScript, neg bool, args []string) {
	usage(ts, neg, args, 1, "loaded NAME")

	value, ok := loads.Load(loadKey(ts.Name() + "/" + args[0]))
	if !ok {
		ts.Fatalf("no load %s", args[0])
	}

	results := value.(chan error)
	for range cap(results) {
		ts.Check(<-results)
	}
}
