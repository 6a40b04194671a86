package upstream_test

import (
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway"
)

// testDialect is a minimal dialect with its own header names.
type testDialect struct{}

var errNoAttempt = errors.New("no attempt")

func (testDialect) ReadCall(header http.Header) (apricotway.CallMetadata, error) {
	wait, _ := time.ParseDuration(header.Get("Wait"))
	prompt, err := strconv.Atoi(header.Get("Prompt"))
	call := apricotway.CallMetadata{
		Attempt: apricotway.AttemptID(header.Get("Attempt")), Timeout: wait, Key: header.Get("Key"),
		PromptTokens: prompt, AnswerTokens: 10, HasTokens: err == nil, LastEvent: header.Get("Last-Event-Id"),
		Resumes: apricotway.AttemptID(header.Get("Resumes")),
	}

	if call.Attempt == "" {
		return call, errNoAttempt
	}

	return call, nil
}

func (testDialect) ForwardHeader(header http.Header) http.Header {
	forwarded := header.Clone()
	for _, name := range []string{"Key", "Workspace", "Server", "Wait", "Connection", "Content-Length"} {
		forwarded.Del(name)
	}

	return forwarded
}

func (testDialect) WriteSend(header http.Header, send apricotway.SendMetadata) {
	header.Set("Wait", send.Remaining.String())
	header.Set("Workspace", string(send.Workspace))
	header.Set("Server", string(send.Server))

	if send.Memory != nil {
		header.Set("Memory", send.Memory.Source.String()+"/"+send.Memory.Handle)
	}

	if send.LastEvent != "" {
		header.Set("Last-Event-Id", send.LastEvent)
	}
}

func (testDialect) ReadAnswer(_ int, header http.Header) apricotway.AnswerMetadata {
	return apricotway.AnswerMetadata{
		Attempt: apricotway.AttemptID(header.Get("Attempt")), NotRun: header.Get("Not-Run") != "",
	}
}

func (testDialect) AnswerHeader(header http.Header) http.Header { return header.Clone() }

func (testDialect) DetourHeader(header http.Header, remaining time.Duration) http.Header {
	forwarded := header.Clone()
	forwarded.Set("Wait", remaining.String())

	return forwarded
}

func (testDialect) WriteTakeUp(header http.Header, last string, attempt apricotway.AttemptID) {
	header.Set("Last-Event-Id", last)
	header.Set("Resumes", string(attempt))
}
