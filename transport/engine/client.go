// Package engine implements the HTTP client for model engines, the backend servers that generate tokens.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"iter"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/tmaxmax/go-sse"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/internal/retryafter"
	"github.com/apricotway/apricotway/transport/httpjson"
)

const (
	// maxEventBytes is the maximum size of one server-sent event. An event contains one token.
	maxEventBytes = 64 << 10
	// callTimeout applies to calls whose answer is not streamed.
	callTimeout = 5 * time.Second
	streamEnd   = "[DONE]"
)

// Client implements apricotway.EngineClient over the engines' HTTP API.
type Client struct {
	// transport carries the calls that only read, load reports and cache events.
	transport http.RoundTripper
	// unpooled opens a new connection for each generation and export. On a reused connection, a late duplicate of the answer to an
	// earlier export would be taken for the current one and name the KV cache of another request, and that of a refusal, which names
	// no attempt, would say that a generation did not run.
	unpooled http.RoundTripper
}

var _ apricotway.EngineClient = (*Client)(nil)

// Option configures a Client.
type Option func(*Client)

// WithTransport sets the HTTP transport for all calls.
func WithTransport(transport http.RoundTripper) Option {
	return func(c *Client) { c.transport, c.unpooled = transport, transport }
}

// New returns a client that uses its own connection pool unless an option replaces it.
func New(options ...Option) *Client {
	unpooled := httpjson.NewTransport()
	unpooled.DisableKeepAlives = true

	c := &Client{transport: httpjson.NewTransport(), unpooled: unpooled}
	for _, option := range options {
		option(c)
	}

	return c
}

// Generate implements apricotway.EngineClient.
func (c *Client) Generate(
	ctx context.Context, server apricotway.BackendServer, request apricotway.GenerateRequest,
) (apricotway.TokenStream, error) {
	body, err := json.Marshal(Request{
		Model:        string(server.Service),
		Prompt:       request.Prompt,
		MaxTokens:    request.MaxTokens,
		Stream:       true,
		RequestID:    string(request.Attempt),
		Priority:     string(request.Priority),
		ResumeText:   request.DeliveredText,
		ResumeTokens: request.DeliveredTokens,
		KVHandle:     request.KVHandle,
		Sampling:     request.Sampling,
	})
	if err != nil {
		return nil, errors.Wrap(apricotway.ErrNotSent, err.Error())
	}

	ctx, cancel := context.WithCancel(ctx)

	url := httpjson.URL(server.Address, "/v1/completions")

	call, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		cancel()
		return nil, errors.Wrap(apricotway.ErrNotSent, err.Error())
	}

	call.Header.Set("Content-Type", "application/json")

	response, err := httpjson.Send(c.unpooled, call)
	if err != nil {
		cancel()

		if errors.Is(err, httpjson.ErrNotSent) {
			return nil, errors.Wrap(apricotway.ErrNotSent, err.Error())
		}

		return nil, errors.Wrap(apricotway.ErrStreamBroken, err.Error())
	}

	if response.StatusCode != http.StatusOK {
		defer cancel()
		defer response.Body.Close()

		reason, _ := io.ReadAll(io.LimitReader(response.Body, maxEventBytes))

		return nil, &apricotway.PauseError{
			Pause: retryafter.Read(response.StatusCode, response.Header),
			Err:   errors.Wrapf(statusError(response.StatusCode), "status %d: %s", response.StatusCode, reason),
		}
	}

	next, stop := iter.Pull2(iter.Seq2[sse.Event, error](sse.Read(response.Body, &sse.ReadConfig{MaxEventSize: maxEventBytes})))

	return &stream{body: response.Body, next: next, stop: stop, cancel: cancel}, nil
}

// statusError returns ErrBackendRefused for the statuses by which an engine declares that it did not start generating, and
// ErrStreamBroken for those after which this is unknown.
func statusError(status int) error {
	switch status {
	case http.StatusBadRequest, http.StatusConflict, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return apricotway.ErrBackendRefused
	default:
		return apricotway.ErrStreamBroken
	}
}

// Load implements apricotway.EngineClient.
func (c *Client) Load(ctx context.Context, server apricotway.BackendServer) (apricotway.LoadReport, error) {
	var report apricotway.LoadReport

	err := c.callWithTimeout(ctx, c.transport, http.MethodGet, httpjson.URL(server.Address, "/load"), nil, &report)

	return report, err
}

// CacheEvents implements apricotway.EngineClient.
func (c *Client) CacheEvents(
	ctx context.Context, server apricotway.BackendServer, after uint64,
) ([]apricotway.CacheEvent, error) {
	var events []apricotway.CacheEvent

	url := httpjson.URL(server.Address, "/cache/events?after="+strconv.FormatUint(after, 10))
	err := c.callWithTimeout(ctx, c.transport, http.MethodGet, url, nil, &events)

	return events, err
}

// ExportKV implements apricotway.EngineClient.
func (c *Client) ExportKV(
	ctx context.Context, server apricotway.BackendServer, attempt apricotway.AttemptID, target apricotway.BackendServer,
) (string, error) {
	var answer ExportAnswer

	request := ExportRequest{RequestID: string(attempt), Target: target.Address.String()}
	err := c.callWithTimeout(ctx, c.unpooled, http.MethodPost, httpjson.URL(server.Address, "/kv/export"), request, &answer)

	return answer.KVHandle, err
}

func (c *Client) callWithTimeout(ctx context.Context, transport http.RoundTripper, method, url string, body, result any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()

	err := httpjson.Do(ctx, transport, method, url, body, result)

	switch {
	case err == nil:
		return nil
	case errors.Is(err, httpjson.ErrNotSent) && ctx.Err() == nil:
		return errors.Wrap(apricotway.ErrNotSent, err.Error())
	default:
		return errors.Wrap(err, "call engine")
	}
}

type stream struct {
	body   io.Closer
	next   func() (sse.Event, error, bool)
	stop   func()
	cancel context.CancelFunc
	close  sync.Once
}

// Next implements apricotway.TokenStream.
func (s *stream) Next() (apricotway.Token, error) {
	event, err, ok := s.next()

	switch {
	case err != nil:
		return apricotway.Token{}, errors.Wrap(apricotway.ErrStreamBroken, err.Error())
	case !ok:
		return apricotway.Token{}, errors.Wrap(apricotway.ErrStreamBroken, "connection closed before the end marker")
	case event.Data == streamEnd:
		return apricotway.Token{}, io.EOF
	}

	var chunk Chunk
	if err := json.Unmarshal([]byte(event.Data), &chunk); err != nil || len(chunk.Choices) != 1 {
		return apricotway.Token{}, errors.Wrap(apricotway.ErrStreamBroken, "malformed event")
	}

	return apricotway.Token{
		Attempt: apricotway.AttemptID(chunk.ID),
		Index:   chunk.TokenIndex,
		Text:    chunk.Choices[0].Text,
		Finish:  apricotway.FinishReason(chunk.Choices[0].FinishReason),
	}, nil
}

// Close implements apricotway.TokenStream. The engine treats the closed connection as a cancellation.
func (s *stream) Close() error {
	s.close.Do(func() {
		s.cancel()
		_ = s.body.Close()
		s.stop()
	})

	return nil
}
