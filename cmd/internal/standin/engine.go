package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/transport/engine"
	"github.com/apricotway/apricotway/transport/httpjson"
)

// Engine serves the engines' HTTP API on top of an EngineModel.
type Engine struct {
	model *EngineModel
}

// NewEngine returns an engine.
func NewEngine(model *EngineModel) *Engine { return &Engine{model: model} }

// Handler serves the engine over HTTP.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", e.serveCompletion)
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) {
		httpjson.Write(w, http.StatusOK, e.model.Load(time.Now()))
	})
	mux.HandleFunc("GET /cache/events", func(w http.ResponseWriter, r *http.Request) {
		// A missing or malformed number stands for all events.
		after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
		httpjson.Write(w, http.StatusOK, e.model.CacheEvents(time.Now(), after))
	})

	return mux
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var request engine.Request
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}

	controller := http.NewResponseController(w)

	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	// The caller learns at once that the engine took the request.
	_ = controller.Flush()

	err := e.model.Generate(r.Context(), request, func(token apricotway.Token) error {
		chunk := engine.Chunk{ID: request.RequestID, TokenIndex: token.Index, Choices: []engine.Choice{
			{Text: token.Text, FinishReason: string(token.Finish)},
		}}

		data, err := json.Marshal(chunk)
		if err != nil {
			return err
		}

		if _, err := fmt.Fprintf(w, "data: %s\n\n", data); err != nil {
			return err
		}

		return controller.Flush()
	})
	if err != nil {
		panic(http.ErrAbortHandler)
	}

	// An error means that the caller is gone.
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}
