package apricotway

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

// Priority orders requests inside an engine.
type Priority string

// The values of Priority.
const (
	PriorityHigh   Priority = "high"
	PriorityNormal Priority = "normal"
	PriorityLow    Priority = "low"
)

// FinishReason is the reason for the end of a generation, with the values of the OpenAI API.
type FinishReason string

// The values of FinishReason.
const (
	FinishStop   FinishReason = "stop"
	FinishLength FinishReason = "length"
)

// Token is one generated token.
type Token struct {
	// Attempt is the attempt identifier as the engine echoed it.
	Attempt AttemptID
	// Index counts the answer's tokens from 0 over all attempts. A stream that skips an index is broken.
	Index int
	// Text is the token's text. A character that spans tokens is sent with the token that completes it.
	Text string
	// Finish is set on the last token only.
	Finish FinishReason
}

// GenerateRequest is one attempt to run a model request on one engine.
type GenerateRequest struct {
	Attempt   AttemptID
	Version   ModelVersion
	Prompt    string
	MaxTokens int
	Priority  Priority
	// DeliveredText and DeliveredTokens are the part of the answer that was delivered already; generation continues after it.
	DeliveredText   string
	DeliveredTokens int
	// KVHandle names a KV cache that this engine imported for the request; empty when it has to prefill.
	KVHandle string
	// Sampling holds the caller's sampling parameters, passed through unchanged.
	Sampling map[string]json.RawMessage
}

// TokenStream is a running generation.
type TokenStream interface {
	// Next returns the next token and io.EOF after the last one.
	Next() (Token, error)
	// Close cancels the generation when it has not ended. It must not be called while Next runs; end the context instead.
	Close() error
}

// LoadReport is an engine's report of its load, which lags behind the actual load.
type LoadReport struct {
	Running        int       `json:"running"`
	Waiting        int       `json:"waiting"`
	TokensInFlight int       `json:"tokensInFlight"`
	Time           time.Time `json:"time"`
}

// CacheEventKind is the kind of a CacheEvent: whether a prefix block entered or left an engine's cache.
type CacheEventKind string

// The values of CacheEventKind.
const (
	CacheStored  CacheEventKind = "stored"
	CacheEvicted CacheEventKind = "evicted"
)

// CacheEvent is one change of an engine's prefix cache. Events arrive late and with gaps in Sequence.
type CacheEvent struct {
	Sequence uint64         `json:"sequence"`
	Kind     CacheEventKind `json:"kind"`
	Block    uint64         `json:"block"`
}

// EngineClient calls model engines.
type EngineClient interface {
	// Generate starts an attempt. An error that wraps ErrNotSent means that no byte reached the engine.
	Generate(ctx context.Context, server BackendServer, request GenerateRequest) (TokenStream, error)
	// Load reads the engine's load report.
	Load(ctx context.Context, server BackendServer) (LoadReport, error)
	// CacheEvents reads the cache events after the given sequence number.
	CacheEvents(ctx context.Context, server BackendServer, after uint64) ([]CacheEvent, error)
	// ExportKV asks the engine to copy the KV cache of a running attempt to the target engine and returns the handle of the
	// copy at the target.
	ExportKV(ctx context.Context, server BackendServer, attempt AttemptID, target BackendServer) (string, error)
}

// ServiceCall is one call of a plain service, which is any service other than a model service.
type ServiceCall struct {
	Method string
	// Path is the path and query after the service's name, with a leading slash.
	Path   string
	Header http.Header
	Body   []byte
	// Once forbids any retry of the call after a byte of it may have reached the backend server.
	Once bool
}

// ServiceAnswer is the complete answer of a plain service.
type ServiceAnswer struct {
	Status int
	Header http.Header
	Body   []byte
}

// ServiceClient calls the backend servers of plain services.
type ServiceClient interface {
	// Call sends the call once. An error that wraps ErrNotSent means that no byte reached the backend server.
	Call(ctx context.Context, server BackendServer, call ServiceCall) (ServiceAnswer, error)
}

// Errors of the backend clients.
var (
	// ErrNotSent reports that no byte of a call reached the backend server.
	ErrNotSent = errors.New("not sent")
	// ErrBackendRefused reports that the backend server replied that it will not run the call.
	ErrBackendRefused = errors.New("backend server refused")
	// ErrStreamBroken reports that a generation ended before its last token.
	ErrStreamBroken = errors.New("token stream broken")
)

// PauseError is the error of a backend server that turned a call away and named a time for which it wants no calls.
type PauseError struct {
	Pause RequestPause
	Err   error
}

// Error implements the error interface.
func (e *PauseError) Error() string { return e.Err.Error() }

// Unwrap returns the error without the pause.
func (e *PauseError) Unwrap() error { return e.Err }
