// Package route looks up the route and the workspace of a call in one version of the configuration.
package route

import (
	"cmp"
	"crypto/sha256"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/apricotway/apricotway"
)

// Table is an immutable index of one version of the configuration.
type Table struct {
	// Version is the version of the configuration.
	Version uint64
	// Limits bounds what callers may send.
	Limits apricotway.CallerLimits
	// deployment is the configuration itself.
	deployment *apricotway.Deployment
	// routes holds the routes of each host, the longest path prefix first.
	routes   map[string][]*apricotway.Route
	services map[apricotway.Service]*apricotway.ServiceRule
	// keys holds workspaces by the digest of a key, so that the time of a lookup reveals nothing about other keys.
	keys       map[[sha256.Size]byte]*apricotway.WorkspaceRule
	workspaces map[apricotway.Workspace]*apricotway.WorkspaceRule
}

// New returns the table of a configuration, which must not be modified afterwards.
func New(d *apricotway.Deployment) *Table {
	t := &Table{
		Version: d.Version, Limits: d.Limits, deployment: d,
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

// Route returns the host's route with the longest prefix of the path, or nil if there is none. The host may include a port.
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

// Deployment returns the configuration. The caller must not modify it.
func (t *Table) Deployment() *apricotway.Deployment { return t.deployment }

// Workspace returns the workspace that the key belongs to, or nil if there is none.
func (t *Table) Workspace(key string) *apricotway.WorkspaceRule {
	if key == "" {
		return nil
	}

	return t.keys[sha256.Sum256([]byte(key))]
}

// Workspaces returns all workspaces by name. The caller must not modify the result.
func (t *Table) Workspaces() map[apricotway.Workspace]*apricotway.WorkspaceRule { return t.workspaces }

// Service returns the rule of a service, or nil when the configuration does not contain it.
func (t *Table) Service(name apricotway.Service) *apricotway.ServiceRule { return t.services[name] }

// Services returns all services by name. The caller must not modify the result.
func (t *Table) Services() map[apricotway.Service]*apricotway.ServiceRule { return t.services }

// LongestStream returns the longest timeout of a stream that another server may continue.
func (t *Table) LongestStream() time.Duration {
	var longest time.Duration

	for _, routes := range t.routes {
		for _, route := range routes {
			if route.Kind == apricotway.RouteStream && route.Resumable {
				longest = max(longest, route.Timeout)
			}
		}
	}

	return longest
}

// RequiresKeys reports whether the configuration has workspaces. Calls then need a key unless their route is public.
func (t *Table) RequiresKeys() bool { return len(t.workspaces) > 0 }

// Target picks the service of a call by the weights of the route's targets. choice is a uniformly distributed random number in
// [0, 1).
func Target(route *apricotway.Route, choice float64) apricotway.Service {
	total := 0
	for _, target := range route.Targets {
		total += max(target.Weight, 0)
	}

	remaining := choice * float64(total)

	for _, target := range route.Targets {
		remaining -= float64(max(target.Weight, 0))
		if remaining < 0 {
			return target.Service
		}
	}

	return route.Targets[0].Service
}
