// Package operator serves the HTTP API for operators: health checks, metrics, profiles and the state of the process.
package operator

import (
	"net/http"
	"net/http/pprof"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/apricotway/apricotway/transport/httpjson"
)

// Server handles the operators' requests.
type Server struct {
	mux *http.ServeMux
}

// New returns a server that exposes the metrics of the registry. /readyz reports status 503 while ready returns an error.
func New(registry *prometheus.Registry, ready func() error) *Server {
	s := &Server{mux: http.NewServeMux()}

	s.mux.Handle("GET /metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	s.mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		httpjson.Write(w, http.StatusOK, map[string]string{"status": "ok"})
	})
	s.mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := ready(); err != nil {
			httpjson.Write(w, http.StatusServiceUnavailable, map[string]string{"status": "notReady", "reason": err.Error()})
			return
		}

		httpjson.Write(w, http.StatusOK, map[string]string{"status": "ready"})
	})
	s.mux.HandleFunc("/debug/pprof/", pprof.Index)
	s.mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	s.mux.HandleFunc("/debug/pprof/trace", pprof.Trace)

	return s
}

// HandleJSON serves the result of document as JSON at the path. It calls document for each request.
func (s *Server) HandleJSON(path string, document func() any) {
	s.mux.HandleFunc("GET "+path, func(w http.ResponseWriter, _ *http.Request) {
		httpjson.Write(w, http.StatusOK, document())
	})
}

// Handle registers a handler for a http.ServeMux pattern.
func (s *Server) Handle(pattern string, handler http.Handler) { s.mux.Handle(pattern, handler) }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }
