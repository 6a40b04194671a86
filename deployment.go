package apricotway

import (
	"net/netip"
	"time"
)

// RouteKind tells what may be repeated of a route's calls.
type RouteKind string

// The values of RouteKind.
const (
	// RouteSafe calls may run more than once.
	RouteSafe RouteKind = "safe"
	// RouteUnsafe calls run at most once.
	RouteUnsafe RouteKind = "unsafe"
	// RouteStream calls are answered by a stream of events. They run at most once unless the route is resumable.
	RouteStream RouteKind = "stream"
)

// RouteTarget is one service of a route with its part of the calls.
type RouteTarget struct {
	Service Service
	// Weight is the target's part in proportion to the weights of all targets; at least 0.
	Weight int
}

// Route directs the calls of one host and path prefix to services.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	// Targets has at least one entry with a weight above 0.
	Targets []RouteTarget
	Kind    RouteKind
	// Timeout bounds the time for which a call is kept waiting.
	Timeout time.Duration
	// Objective is the time within which an answer, or the first event of a stream, has its full worth.
	Objective time.Duration
	// LongestPause is the longest pause between two events of a stream that is on time; 0 when none is set.
	LongestPause time.Duration
	// MaxAttempts bounds the backend servers on which one call may run; at least 1.
	MaxAttempts int
	// Rank orders routes by urgency; 0 is the most urgent.
	Rank int
	// Public calls need no key.
	Public bool
	// Resumable streams may go on at another engine behind the last event.
	Resumable bool
}

// Repeatable tells whether a call of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == RouteSafe || r.Kind == RouteStream && r.Resumable
}

// CapacityRule bounds the engines that may be ordered for a service.
type CapacityRule struct {
	// Min and Max bound the engines of one zone, reclaimable and on-demand ones together.
	Min, Max int
	// Boot is the time from an order until the engine serves.
	Boot time.Duration
	// ReclaimablePrice is the price of a reclaimable engine as a part of that of an on-demand one; 0 when there are none.
	ReclaimablePrice float64
	// ZonePrices holds the price of one engine for a second.
	ZonePrices map[Zone]float64
}

// ServiceRule is what the configuration states about a service.
type ServiceRule struct {
	Name       Service
	HealthPath string
	// MaxConnections bounds the connections to one backend server over all processes; 0 when it is not bounded.
	MaxConnections int
	// Slots is the number of requests that one engine runs at a time; 0 when the service is no model service.
	Slots int
	// CacheTokens is the memory of one engine in tokens.
	CacheTokens int
	// Capacity is nil when the number of engines is not ours to order.
	Capacity *CapacityRule
}

// TokenLimit bounds what a workspace may use over all processes.
type TokenLimit struct {
	// Rate is in units a second; 0 stands for no limit.
	Rate float64
	// Burst is in units.
	Burst float64
	// InTokens tells that the unit is a token of prompt or answer; else it is a call.
	InTokens bool
	// PlainTokens is what a call without token counts costs when the unit is a token.
	PlainTokens int
}

// WorkspaceRule is what the configuration states about a workspace.
type WorkspaceRule struct {
	Name Workspace
	Keys []string
	// Rank replaces that of the route when it is set.
	Rank  *int
	Limit TokenLimit
}

// CallerLimits bounds what a caller may send.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Deployment is one version of the operators' configuration in full.
type Deployment struct {
	// Version grows with every change.
	Version    uint64
	Routes     []Route
	Services   []ServiceRule
	Workspaces []WorkspaceRule
	Limits     CallerLimits
}

// Backend is one backend server as it registered itself.
type Backend struct {
	// ID identifies one engine. An engine may start again under the same ID; Born then differs.
	ID      BackendServerID
	Born    time.Time
	Service Service
	Address netip.AddrPort
	Zone    Zone
	Slots   int
	// Leaving backend servers get no new calls.
	Leaving bool
	// LeavesIn is the announced time until the server is taken away, at the time of the registration; 0 when unknown.
	LeavesIn    time.Duration
	Reclaimable bool
	// ColdFor is how much longer the server stays slow after its start.
	ColdFor time.Duration
}

// BackendChange is one change of the list of backend servers.
type BackendChange struct {
	ID BackendServerID
	// Backend is nil when the entry was removed or names no server that can be used.
	Backend *Backend
	// Problem tells why an entry cannot be used; empty otherwise.
	Problem string
}
