package api

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/protocol/completion"
	"github.com/apricotway/apricotway/transport/httpjson"
)

// answer builds the JSON documents of one answer in the format of the OpenAI API.
type answer struct {
	id           string
	model        string
	created      time.Time
	dialect      dialect
	includeUsage bool
	promptTokens int
	tokens       int
	finish       apricotway.FinishReason
}

func newAnswer(request completion.Request) *answer {
	a := &answer{
		id:           string(request.ID),
		model:        string(request.Service),
		created:      request.Form.Created,
		dialect:      dialectText,
		includeUsage: request.Form.IncludeUsage,
		promptTokens: apricotway.EstimateTokens(request.Prompt),
	}
	if request.Form.Chat {
		a.dialect = dialectChat
	}

	return a
}

func (a *answer) record(token apricotway.Token) {
	a.tokens = token.Index + 1
	a.finish = token.Finish
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type document struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int      `json:"index"`
	Text         *string  `json:"text,omitempty"`
	Message      *message `json:"message,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

func (a *answer) document(object string, choices []choice) document {
	return document{ID: a.id, Object: object, Created: a.created.Unix(), Model: a.model, Choices: choices}
}

func (a *answer) usage() *usage {
	return &usage{
		PromptTokens:     a.promptTokens,
		CompletionTokens: a.tokens,
		TotalTokens:      a.promptTokens + a.tokens,
	}
}

func (a *answer) writeWhole(w http.ResponseWriter, text string) error {
	reason := string(a.finish)
	part := choice{FinishReason: &reason}
	object := "text_completion"

	if a.dialect == dialectChat {
		object = "chat.completion"
		part.Message = &message{Role: "assistant", Content: text}
	} else {
		part.Text = &text
	}

	whole := a.document(object, []choice{part})
	whole.Usage = a.usage()
	httpjson.Write(w, http.StatusOK, whole)

	return nil
}

func (a *answer) chunk(token apricotway.Token) document {
	part := choice{}

	if token.Finish != "" {
		reason := string(token.Finish)
		part.FinishReason = &reason
	}

	if a.dialect == dialectText {
		part.Text = &token.Text
		return a.document("text_completion", []choice{part})
	}

	part.Delta = &message{Content: token.Text}
	if token.Index == 0 {
		part.Delta.Role = "assistant"
	}

	return a.document("chat.completion.chunk", []choice{part})
}

// streamAnswer sends the answer, starting at the given token, as server-sent events. It writes nothing before the first token, so
// that a refusal up to that point reaches the caller as a JSON error with its HTTP status.
func (s *Server) streamAnswer(w http.ResponseWriter, r *http.Request, running *completion.Answer, from int) error {
	request := running.Request()
	a := newAnswer(request)
	a.tokens = from
	events := newEventWriter(w)

	err := running.Read(r.Context(), from, func(token apricotway.Token) error {
		a.record(token)
		return events.send(eventID(request.ID, token.Index), a.chunk(token))
	})
	if err != nil {
		err = orCallerGone(r, err)
		if !events.headerSent || errors.Is(err, errCallerGone) {
			return err
		}

		refusal := apricotway.AsRefusal(err)
		s.logger.Info("stream ended with an error", "event", 402, "request", request.ID, "code", refusal.Code)

		return events.send("", newRefusalBody(refusal, request.ID))
	}

	if a.includeUsage {
		last := a.document("chat.completion.chunk", []choice{})
		last.Usage = a.usage()

		if err := events.send("", last); err != nil {
			return err
		}
	}

	return events.end()
}

// errCallerGone reports that the caller disconnected before its answer was complete.
var errCallerGone = errors.New("caller gone")

// orCallerGone returns err, converted to errCallerGone if the request's context has ended, or to a refusal if it has ended because the
// process stops. Call it only after the body has been read: before that, the context also ends for other reasons.
func orCallerGone(r *http.Request, err error) error {
	switch {
	case r.Context().Err() == nil || errors.Is(err, errCallerGone):
		return err
	case stopping(r):
		return orUnknownOutcome(err)
	default:
		return callerGone(err)
	}
}

// stopping reports whether the request ends because the process stops.
func stopping(r *http.Request) bool {
	return errors.Is(context.Cause(r.Context()), apricotway.ErrStopping)
}

// orUnknownOutcome returns err if it is a refusal, else that of a request that the process could not finish before it stopped.
func orUnknownOutcome(err error) error {
	var refusal *apricotway.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}

	return &apricotway.Refusal{
		Code: apricotway.CodeOutcomeUnknown, Execution: apricotway.ExecutionUnknown,
		Message: "the process stopped before the request was answered",
	}
}

func callerGone(err error) error { return errors.Wrap(errCallerGone, err.Error()) }

// eventWriter writes server-sent events and flushes each of them.
type eventWriter struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	headerSent bool
}

func newEventWriter(w http.ResponseWriter) *eventWriter {
	return &eventWriter{w: w, controller: http.NewResponseController(w)}
}

func (e *eventWriter) sendHeader() {
	if e.headerSent {
		return
	}

	e.headerSent = true
	e.w.Header().Set("Content-Type", "text/event-stream")
	e.w.Header().Set("Cache-Control", "no-store")
	e.w.WriteHeader(http.StatusOK)
}

func (e *eventWriter) send(id string, document any) error {
	data, err := json.Marshal(document)
	if err != nil {
		return errors.Wrap(err, "encode event")
	}

	e.sendHeader()

	if id != "" {
		if _, err := fmt.Fprintf(e.w, "id: %s\n", id); err != nil {
			return callerGone(err)
		}
	}

	if _, err := fmt.Fprintf(e.w, "data: %s\n\n", data); err != nil {
		return callerGone(err)
	}

	return e.flush()
}

func (e *eventWriter) end() error {
	e.sendHeader()

	if _, err := fmt.Fprint(e.w, "data: [DONE]\n\n"); err != nil {
		return callerGone(err)
	}

	return e.flush()
}

func (e *eventWriter) flush() error {
	if err := e.controller.Flush(); err != nil {
		return callerGone(err)
	}

	return nil
}
