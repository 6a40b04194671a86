package api

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/protocol/completion"
	"github.com/apricotway/apricotway/state/config"
)

// defaultMaxTokens is the maximum length of an answer if neither the request nor the service sets one.
const defaultMaxTokens = 4096

// modelRequest holds the request fields of the OpenAI API that both completion endpoints share. The sampling parameters are
// passed to the engine unchanged.
type modelRequest struct {
	Model               string          `json:"model"`
	Stream              bool            `json:"stream"`
	StreamOptions       streamOptions   `json:"stream_options"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	N                   *int            `json:"n"`
	Tools               json.RawMessage `json:"tools"`
	Temperature         json.RawMessage `json:"temperature"`
	TopP                json.RawMessage `json:"top_p"`
	Seed                json.RawMessage `json:"seed"`
	Stop                json.RawMessage `json:"stop"`
	PresencePenalty     json.RawMessage `json:"presence_penalty"`
	FrequencyPenalty    json.RawMessage `json:"frequency_penalty"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type chatRequest struct {
	modelRequest

	Messages chatPrompt `json:"messages"`
}

type chatMessage struct {
	Role    string      `json:"role"`
	Content chatContent `json:"content"`
}

// chatRoles are the roles that text messages have in the OpenAI API. Restricting roles to this set also prevents a caller from
// injecting line breaks or markers into the prompt through the role.
var chatRoles = []string{"system", "developer", "user", "assistant"}

// chatPrompt is the prompt of a list of messages. The format is fixed, so that conversations with the same first messages have an
// identical prompt prefix, byte for byte. It is built while the list is decoded, as a list of many short messages takes many times its
// text.
type chatPrompt struct {
	text  strings.Builder
	count int
}

// UnmarshalJSON implements json.Unmarshaler.
func (p *chatPrompt) UnmarshalJSON(data []byte) error {
	*p = chatPrompt{}

	err := decodeEach(data, func(message chatMessage) error {
		if !slices.Contains(chatRoles, message.Role) {
			return fmt.Errorf("messages[%d].role must be one of %s", p.count, strings.Join(chatRoles, ", "))
		}

		p.count++
		fmt.Fprintf(&p.text, "<|%s|>\n%s\n", message.Role, message.Content)

		return nil
	})
	if errors.Is(err, errNoList) {
		return errors.New("messages must be a list")
	}

	return err
}

// String returns the prompt, which ends where the answer begins.
func (p *chatPrompt) String() string { return p.text.String() + "<|assistant|>\n" }

// chatContent is the text of a chat message. It decodes both forms of the OpenAI API: a string, and a list of parts, of which
// only text parts are supported.
type chatContent string

// UnmarshalJSON implements json.Unmarshaler.
func (c *chatContent) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err == nil {
		*c = chatContent(text)
		return nil
	}

	type part struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}

	var joined strings.Builder

	err := decodeEach(data, func(p part) error {
		if p.Type != "text" {
			return fmt.Errorf("content part type %q is not supported", p.Type)
		}

		joined.WriteString(p.Text)

		return nil
	})
	if errors.Is(err, errNoList) {
		return errors.New("content must be a string or a list of parts")
	}

	*c = chatContent(joined.String())

	return err
}

var errNoList = errors.New("must be a list")

// decodeEach decodes the elements of a JSON list one after the other, and calls a function with each until it fails.
func decodeEach[T any](data []byte, use func(element T) error) error {
	decoder := json.NewDecoder(bytes.NewReader(data))

	if first, err := decoder.Token(); err != nil || first != json.Delim('[') {
		return errNoList
	}

	for decoder.More() {
		var element T
		if err := decoder.Decode(&element); err != nil {
			return err
		}

		if err := use(element); err != nil {
			return err
		}
	}

	return nil
}

type textRequest struct {
	modelRequest

	Prompt string `json:"prompt"`
}

// dialect selects the document format of one of the two completion endpoints.
type dialect string

const (
	dialectChat dialect = "chat"
	dialectText dialect = "text"
)

func (s *Server) chatCompletions(w http.ResponseWriter, r *http.Request, caller caller) error {
	var body chatRequest
	if err := decode(caller.body, &body); err != nil {
		return err
	}

	if body.Messages.count == 0 {
		return invalid(apricotway.CodeInvalidRequest, "messages must not be empty")
	}

	return s.complete(w, r, caller, body.modelRequest, body.Messages.String(), dialectChat)
}

func (s *Server) textCompletions(w http.ResponseWriter, r *http.Request, caller caller) error {
	var body textRequest
	if err := decode(caller.body, &body); err != nil {
		return err
	}

	return s.complete(w, r, caller, body.modelRequest, body.Prompt, dialectText)
}

func (s *Server) complete(
	w http.ResponseWriter, r *http.Request, caller caller, body modelRequest, prompt string, dialect dialect,
) error {
	request, err := s.validate(r, caller, body, prompt)
	if err != nil {
		return err
	}

	request.Form = completion.Form{
		Chat: dialect == dialectChat, Stream: body.Stream, IncludeUsage: body.StreamOptions.IncludeUsage, Created: time.Now(),
	}
	running := s.completions.Start(request) //nolint:contextcheck // the request outlives this call

	if body.Stream {
		return s.streamAnswer(w, r, running, 0)
	}

	a := newAnswer(request)

	var text strings.Builder

	err = running.Read(r.Context(), 0, func(token apricotway.Token) error {
		text.WriteString(token.Text)
		a.record(token)

		return nil
	})
	if err != nil {
		return orCallerGone(r, err)
	}

	return a.writeWhole(w, text.String())
}

func (s *Server) validate(
	r *http.Request, caller caller, body modelRequest, prompt string,
) (completion.Request, error) {
	spec, ok := s.configuration.Service(apricotway.Service(body.Model))
	if !ok || spec.Type != config.ServiceModel {
		return completion.Request{}, invalid(apricotway.CodeServiceNotFound, fmt.Sprintf("there is no model %q", body.Model))
	}

	if prompt == "" {
		return completion.Request{}, invalid(apricotway.CodeInvalidRequest, "the prompt must not be empty")
	}

	if len(prompt) > s.limits.PromptBytes {
		message := fmt.Sprintf("the prompt is larger than %d bytes", s.limits.PromptBytes)
		return completion.Request{}, invalid(apricotway.CodeRequestTooLarge, message)
	}

	if body.N != nil && *body.N != 1 {
		return completion.Request{}, invalid(apricotway.CodeInvalidRequest, "n must be 1")
	}

	if len(body.Tools) > 0 {
		return completion.Request{}, invalid(apricotway.CodeInvalidRequest, "tools are not supported")
	}

	maxTokens, err := maxTokens(body, spec)
	if err != nil {
		return completion.Request{}, err
	}

	priority, err := priority(r)
	if err != nil {
		return completion.Request{}, err
	}

	deadline, err := s.deadline(r)
	if err != nil {
		return completion.Request{}, err
	}

	return completion.Request{
		ID:        caller.request,
		Workspace: caller.workspace,
		Service:   apricotway.Service(body.Model),
		Prompt:    prompt,
		MaxTokens: maxTokens,
		Priority:  priority,
		Deadline:  deadline,
		Sampling:  sampling(body),
	}, nil
}

func maxTokens(body modelRequest, spec config.ServiceSpec) (int, error) {
	limit := spec.MaxTokens
	if limit == 0 {
		limit = defaultMaxTokens
	}

	for _, asked := range []*int{body.MaxCompletionTokens, body.MaxTokens} {
		if asked == nil {
			continue
		}

		if *asked < 1 {
			return 0, invalid(apricotway.CodeInvalidRequest, "max_tokens must be at least 1")
		}

		return min(*asked, limit), nil
	}

	return limit, nil
}

func priority(r *http.Request) (apricotway.Priority, error) {
	switch value := apricotway.Priority(r.Header.Get(headerPriority)); value {
	case "":
		return apricotway.PriorityNormal, nil
	case apricotway.PriorityHigh, apricotway.PriorityNormal, apricotway.PriorityLow:
		return value, nil
	default:
		return "", invalid(apricotway.CodeInvalidRequest, headerPriority+" must be high, normal or low")
	}
}

func sampling(body modelRequest) map[string]json.RawMessage {
	parameters := map[string]json.RawMessage{}

	for name, value := range map[string]json.RawMessage{
		"temperature":       body.Temperature,
		"top_p":             body.TopP,
		"seed":              body.Seed,
		"stop":              body.Stop,
		"presence_penalty":  body.PresencePenalty,
		"frequency_penalty": body.FrequencyPenalty,
	} {
		if len(value) > 0 {
			parameters[name] = value
		}
	}

	return parameters
}
