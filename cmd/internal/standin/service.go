package standin

import (
	"io"
	"net/http"
	"sync"

	"github.com/apricotway/apricotway/transport/httpjson"
)

// Execution is one call that Bookings has executed.
type Execution struct {
	Path string `json:"path"`
	Key  string `json:"key"`
	Body string `json:"body"`
}

// Bookings is a plain service that executes every call, without deduplication. It records the executions, so that a test can
// detect a call that ran twice.
type Bookings struct {
	mu         sync.Mutex
	executions []Execution
	// intercept is called between the execution of a booking and its response; a test can cut the connection there.
	intercept func(w http.ResponseWriter, r *http.Request)
}

// NewBookings returns a service without bookings.
func NewBookings() *Bookings {
	return &Bookings{intercept: func(http.ResponseWriter, *http.Request) {}}
}

// Executions returns the bookings executed so far, in order.
func (b *Bookings) Executions() []Execution {
	b.mu.Lock()
	defer b.mu.Unlock()

	return append([]Execution(nil), b.executions...)
}

// Intercept sets the function that is called between the execution of a booking and its response.
func (b *Bookings) Intercept(intercept func(w http.ResponseWriter, r *http.Request)) {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.intercept = intercept
}

// Handler serves bookings over HTTP: POST adds a booking, GET /status returns their number, GET /executions lists them.
func (b *Bookings) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		httpjson.Write(w, http.StatusOK, map[string]int{"bookings": len(b.Executions())})
	})
	mux.HandleFunc("GET /executions", func(w http.ResponseWriter, _ *http.Request) {
		httpjson.Write(w, http.StatusOK, b.Executions())
	})
	mux.HandleFunc("POST /", b.serveBooking)

	return mux
}

func (b *Bookings) serveBooking(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}

	b.mu.Lock()
	b.executions = append(b.executions, Execution{
		Path: r.URL.Path, Key: r.Header.Get("Idempotency-Key"), Body: string(body),
	})
	number := len(b.executions)
	intercept := b.intercept
	b.mu.Unlock()

	intercept(w, r)

	httpjson.Write(w, http.StatusCreated, map[string]int{"booking": number})
}
