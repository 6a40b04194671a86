package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/transport/engine"
	"github.com/apricotway/apricotway/transport/httpjson"
)

// kvPerToken is the time to transfer the KV cache of one token to another engine.
const kvPerToken = 10 * time.Microsecond

// errStreamCut makes a stream end without its end marker.
var errStreamCut = errors.New("stream cut")

// Counters holds the counters of an engine's work.
type Counters struct {
	Started int `json:"started"`
	// Generated counts the tokens that were sent.
	Generated int `json:"generated"`
	// Recomputed counts the prompt and answer tokens that resumed requests did not find in an imported KV cache.
	Recomputed int `json:"recomputed"`
	Exported   int `json:"exported"`
	Imported   int `json:"imported"`
	// Crashes counts the simulated crashes; it exceeds 0 only where the process survives them.
	Crashes int `json:"crashes"`
}

// Engine serves the HTTP API of an engine on top of an EngineModel. Faults are set with SetFault or over HTTP.
type Engine struct {
	model     *EngineModel
	transport http.RoundTripper
	crash     func()
	// crashed is closed when the engine crashes.
	crashed chan struct{}

	mu       sync.Mutex
	fault    Fault
	counters Counters
	running  map[string]*kvCache
	imported map[string]kvCache
}

// kvCache describes the part of a request that an engine has computed.
type kvCache struct {
	Prompt string `json:"prompt"`
	// Tokens is the number of answer tokens.
	Tokens int `json:"tokens"`
}

// EngineOption configures an Engine.
type EngineOption func(*Engine)

// WithCrash sets a function that a crash calls in addition to ending the generations, for example to exit the process.
func WithCrash(crash func()) EngineOption {
	return func(e *Engine) { e.crash = crash }
}

// WithTransport sets the transport for requests to other engines.
func WithTransport(transport http.RoundTripper) EngineOption {
	return func(e *Engine) { e.transport = transport }
}

// NewEngine returns an engine that generates with the model and has no fault.
func NewEngine(model *EngineModel, options ...EngineOption) *Engine {
	e := &Engine{
		model: model, transport: httpjson.NewTransport(), crash: func() {}, crashed: make(chan struct{}),
		running: map[string]*kvCache{}, imported: map[string]kvCache{},
	}
	for _, option := range options {
		option(e)
	}

	return e
}

// Counters returns the current values of the engine's counters.
func (e *Engine) Counters() Counters {
	e.mu.Lock()
	defer e.mu.Unlock()

	return e.counters
}

// Handler serves the engine over HTTP. PUT /fault and GET /counters exist for tests only.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", e.serveCompletion)
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, r *http.Request) {
		if e.currentFault().Kind == FaultFreeze {
			<-r.Context().Done()
			return
		}

		httpjson.Write(w, http.StatusOK, e.model.Load(time.Now()))
	})
	mux.HandleFunc("GET /cache/events", func(w http.ResponseWriter, r *http.Request) {
		// With a missing or malformed number all events are returned.
		after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
		httpjson.Write(w, http.StatusOK, e.model.CacheEvents(time.Now(), after))
	})
	mux.HandleFunc("POST /kv/export", serveJSON(e.serveExport))
	mux.HandleFunc("POST /kv/import", serveJSON(e.serveImport))
	mux.HandleFunc("PUT /fault", serveJSON(func(_ *http.Request, fault Fault) (any, error) {
		e.SetFault(fault)
		return nil, nil
	}))
	mux.HandleFunc("GET /counters", func(w http.ResponseWriter, _ *http.Request) {
		httpjson.Write(w, http.StatusOK, e.Counters())
	})

	return mux
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var request engine.Request
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}

	fault := e.takeFault(request)

	if fault.Kind == FaultOutOfMemory {
		http.Error(w, "no KV memory", http.StatusServiceUnavailable)
		return
	}

	cache, err := e.begin(request)
	if err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}

	defer e.end(request.RequestID)

	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()

	go func() {
		select {
		case <-e.crashed:
			cancel()
		case <-ctx.Done():
		}
	}()

	s := &engineStream{w: w, controller: http.NewResponseController(w), id: request.RequestID}

	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	// Send the header at once to tell the caller that the engine accepted the request.
	_ = s.controller.Flush()

	sent := 0

	err = e.model.Generate(ctx, request, func(token apricotway.Token) error {
		if err := e.applyFault(ctx, s, fault, token, sent); err != nil {
			return err
		}

		sent++

		e.mu.Lock()
		e.counters.Generated++
		cache.Tokens = token.Index + 1
		e.mu.Unlock()

		return s.send(token)
	})
	if err != nil {
		panic(http.ErrAbortHandler)
	}

	// A write error means that the caller has disconnected.
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}

// begin registers a running request and counts the tokens that it has to recompute.
func (e *Engine) begin(request engine.Request) (*kvCache, error) {
	e.mu.Lock()
	defer e.mu.Unlock()

	present := apricotway.EstimateTokens(request.Prompt) + request.ResumeTokens

	if request.KVHandle != "" {
		imported, ok := e.imported[request.KVHandle]
		if !ok || imported.Prompt != request.Prompt {
			return nil, errors.New("unknown KV handle")
		}

		delete(e.imported, request.KVHandle)

		e.counters.Recomputed += max(0, request.ResumeTokens-imported.Tokens)
	} else if request.ResumeTokens > 0 {
		e.counters.Recomputed += present
	}

	e.counters.Started++

	cache := &kvCache{Prompt: request.Prompt, Tokens: request.ResumeTokens}
	e.running[request.RequestID] = cache

	return cache, nil
}

func (e *Engine) end(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()

	delete(e.running, id)
}

func (e *Engine) serveExport(r *http.Request, request engine.ExportRequest) (any, error) {
	target, err := netip.ParseAddrPort(request.Target)
	if err != nil {
		return nil, statusError(http.StatusBadRequest, err.Error())
	}

	e.mu.Lock()
	running := e.running[request.RequestID]

	var cache kvCache
	if running != nil {
		cache = *running
	}
	e.mu.Unlock()

	if running == nil || e.currentFault().Kind == FaultRefuseExport {
		return nil, statusError(http.StatusConflict, "no such request")
	}

	transfer := time.Duration(apricotway.EstimateTokens(cache.Prompt)+cache.Tokens) * kvPerToken
	if err := wait(r.Context(), transfer); err != nil {
		return nil, err
	}

	var answer engine.ExportAnswer

	err = httpjson.Do(r.Context(), e.transport, http.MethodPost, httpjson.URL(target, "/kv/import"), cache, &answer)
	if err != nil {
		return nil, statusError(http.StatusBadGateway, err.Error())
	}

	e.mu.Lock()
	defer e.mu.Unlock()

	e.counters.Exported++

	return answer, nil
}

func (e *Engine) serveImport(_ *http.Request, cache kvCache) (any, error) {
	handle := uuid.NewString()

	e.mu.Lock()
	defer e.mu.Unlock()

	e.counters.Imported++

	// With FaultLoseImport the cache is not kept, so a later request with the handle is refused.
	if e.fault.Kind != FaultLoseImport {
		e.imported[handle] = cache
	}

	if e.fault.Kind == FaultRefuseImport {
		return nil, statusError(http.StatusServiceUnavailable, "no KV memory")
	}

	return engine.ExportAnswer{KVHandle: handle}, nil
}

// engineStream writes the tokens of one generation as server-sent events.
type engineStream struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	id         string
}

func (s *engineStream) send(token apricotway.Token) error {
	id := s.id
	if token.Attempt != "" {
		id = string(token.Attempt)
	}

	data, err := json.Marshal(engine.Chunk{ID: id, TokenIndex: token.Index, Choices: []engine.Choice{
		{Text: token.Text, FinishReason: string(token.Finish)},
	}})
	if err != nil {
		return err
	}

	if _, err := fmt.Fprintf(s.w, "data: %s\n\n", data); err != nil {
		return err
	}

	return s.controller.Flush()
}
