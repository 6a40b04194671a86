package standin

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/apricotway/apricotway"
)

// Hosts is an in-memory stand-in for the platform's host list. It implements apricotway.HostList, and Handler serves it over
// HTTP.
type Hosts struct {
	mu      sync.Mutex
	servers map[apricotway.BackendServerID]apricotway.BackendServer
}

var _ apricotway.HostList = (*Hosts)(nil)

// NewHosts returns an empty list.
func NewHosts() *Hosts {
	return &Hosts{servers: map[apricotway.BackendServerID]apricotway.BackendServer{}}
}

// Add adds a server to the list or replaces its entry.
func (h *Hosts) Add(server apricotway.BackendServer) {
	h.mu.Lock()
	defer h.mu.Unlock()

	h.servers[server.ID] = server
}

// Remove deletes a server from the list.
func (h *Hosts) Remove(id apricotway.BackendServerID) {
	h.mu.Lock()
	defer h.mu.Unlock()

	delete(h.servers, id)
}

// ReclaimZone marks the hosts of a zone as leaving at the deadline.
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
	for _, id := range slices.Sorted(maps.Keys(h.servers)) {
		list = append(list, h.servers[id])
	}

	return list, nil
}

// Handler serves the list over HTTP. The methods that change it are for tests and other stand-ins.
func (h *Hosts) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /hosts", func(w http.ResponseWriter, r *http.Request) {
		list, err := h.Hosts(r.Context())
		writeResult(w, list, err)
	})
	mux.HandleFunc("PUT /hosts", serveJSON(func(_ *http.Request, server apricotway.BackendServer) (any, error) {
		h.Add(server)
		return nil, nil
	}))
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
