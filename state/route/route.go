// Package route finds the route and the workspace of a call in one version of the configuration.
package route

import (
	"cmp"
	"crypto/sha256"
	"net"
	"slices"
	"strings"

	"github.com/apricotway/apricotway"
)

// Table is an immutable index of one version of the configuration.
type Table struct {
	// Version is the version of the configuration.
	Version uint64
	// Limits bounds what callers may send.
	Limits apricotway.CallerLimits
	// routes holds the routes of each host, the longest path prefix first.
	routes   map[string][]*apricotway.Route
	services map[apricotway.Service]*apricotway.ServiceRule
	// keys holds workspaces by the digest of a key, so that the time of a look-up tells nothing about other keys.
	keys       map[[sha256.Size]byte]*apricotway.WorkspaceRule
	workspaces map[apricotway.Workspace]*apricotway.WorkspaceRule
}

// New returns the table of a configuration, which must not be changed afterwards.
func New(d *apricotway.Deployment) *Table {
	t := &Table{
		Version: d.Version, Limits: d.Limits,
		routes:     map[string][]*apricotway.Route{},
		services:   make(map[apricotway.Service]*apricotway.ServiceRule, len(d.Services)),
		keys:       map[[sha256.Size]byte]*apricotway.WorkspaceRule{},
		workspaces: make(map[apricotway.Workspace]*apricotway.WorkspaceRule, len(d.Workspaces)),
	}

	for i := range d.Routes {
		host := strings.ToLower(d.Routes[i].Host)
		t.routes[host] = append(t.routes[host], &d.Routes[i])
	}

	for _, routes := range t.routes {
		slices.SortStableFunc(routes, func(a, b *apricotway.Route) int {
			return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix))
		})
	}

	for i := range d.Services {
		t.services[d.Services[i].Name] = &d.Services[i]
	}

	for i := range d.Workspaces {
		workspace := &d.Workspaces[i]
		t.workspaces[workspace.Name] = workspace

		for _, key := range workspace.Keys {
			t.keys[sha256.Sum256([]byte(key))] = workspace
		}
	}

	return t
}

// Route returns the route with the longest prefix of the path, nil without one. The host may carry a port.
func (t *Table) Route(host, path string) *apricotway.Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}

	for _, route := range t.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}

	return nil
}

// Workspace returns the workspace that holds the key, nil without one.
func (t *Table) Workspace(key string) *apricotway.WorkspaceRule {
	if key == "" {
		return nil
	}

	return t.keys[sha256.Sum256([]byte(key))]
}

// Workspaces returns all workspaces by name. The result must not be changed.
func (t *Table) Workspaces() map[apricotway.Workspace]*apricotway.WorkspaceRule { return t.workspaces }

// Service returns the rule of a service, nil when the configuration does not name it.
func (t *Table) Service(name apricotway.Service) *apricotway.ServiceRule { return t.services[name] }

// Services returns all services by name. The result must not be changed.
func (t *Table) Services() map[apricotway.Service]*apricotway.ServiceRule { return t.services }

// Keyed tells whether the configuration has workspaces, so that calls need a key unless their route is public.
func (t *Table) Keyed() bool { return len(t.workspaces) > 0 }

// Target returns the service of a call. The choice is a number from 0 up to 1, drawn evenly.
func Target(route *apricotway.Route, choice float64) apricotway.Service {
	total := 0
	for _, target := range route.Targets {
		total += max(target.Weight, 0)
	}

	place := choice * float64(total)

	for _, target := range route.Targets {
		place -= float64(max(target.Weight, 0))
		if place < 0 {
			return target.Service
		}
	}

	return route.Targets[0].Service
}
