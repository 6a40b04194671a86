// Package operator serves the operators' HTTP API: health, metrics, profiles and the state of the process.
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

// New returns a server that shows the registry's metrics and answers /readyz by the given check.
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

// Show serves the result of a function as a JSON document under a path.
func (s *Server) Show(path string, document func() any) {
	s.mux.HandleFunc("GET "+path, func(w http.ResponseWriter, _ *http.Request) {
		httpjson.Write(w, http.StatusOK, document())
	})
}

// Handle adds a handler under a pattern.
func (s *Server) Handle(pattern string, handler http.Handler) { s.mux.Handle(pattern, handler) }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }
