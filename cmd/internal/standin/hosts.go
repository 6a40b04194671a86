package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/transport/httpjson"
)

// Hosts is the platform's list of hosts. It implements apricotway.HostList, and Handler serves it over HTTP.
type Hosts struct {
	mu      sync.Mutex
	servers map[apricotway.BackendServerID]apricotway.BackendServer
}

var _ apricotway.HostList = (*Hosts)(nil)

// NewHosts returns an empty list.
func NewHosts() *Hosts {
	return &Hosts{servers: map[apricotway.BackendServerID]apricotway.BackendServer{}}
}

// Add puts a server on the list or replaces its entry.
func (h *Hosts) Add(server apricotway.BackendServer) {
	h.mu.Lock()
	defer h.mu.Unlock()

	h.servers[server.ID] = server
}

// Remove takes a server off the list.
func (h *Hosts) Remove(id apricotway.BackendServerID) {
	h.mu.Lock()
	defer h.mu.Unlock()

	delete(h.servers, id)
}

// ReclaimZone announces that a zone's hosts are taken away at the deadline.
func (h *Hosts) ReclaimZone(zone apricotway.Zone, deadline time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()

	for id, server := range h.servers {
		if server.Zone == zone {
			server.State, server.Deadline = apricotway.HostLeaving, deadline
			h.servers[id] = server
		}
	}
}

// Hosts implements apricotway.HostList.
func (h *Hosts) Hosts(context.Context) ([]apricotway.BackendServer, error) {
	h.mu.Lock()
	defer h.mu.Unlock()

	list := make([]apricotway.BackendServer, 0, len(h.servers))
	for _, server := range h.servers {
		list = append(list, server)
	}

	slices.SortFunc(list, func(a, b apricotway.BackendServer) int {
		return strings.Compare(string(a.ID), string(b.ID))
	})

	return list, nil
}

// Handler serves the list over HTTP; the writing methods are for tests and other stand-ins.
func (h *Hosts) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /hosts", func(w http.ResponseWriter, r *http.Request) {
		list, _ := h.Hosts(r.Context())
		httpjson.Write(w, http.StatusOK, list)
	})
	mux.HandleFunc("PUT /hosts", func(w http.ResponseWriter, r *http.Request) {
		var server apricotway.BackendServer
		if err := json.NewDecoder(r.Body).Decode(&server); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}

		h.Add(server)
	})
	mux.HandleFunc("DELETE /hosts/{id}", func(_ http.ResponseWriter, r *http.Request) {
		h.Remove(apricotway.BackendServerID(r.PathValue("id")))
	})
	mux.HandleFunc("POST /zones/{zone}/reclaim", func(w http.ResponseWriter, r *http.Request) {
		notice, err := time.ParseDuration(r.URL.Query().Get("notice"))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}

		h.ReclaimZone(apricotway.Zone(r.PathValue("zone")), time.Now().Add(notice))
	})

	return mux
}
