package apricotway

import (
	"net/netip"
	"time"
)

// RouteKind is the kind of a route, which determines whether its calls may be retried.
type RouteKind string

// The values of RouteKind.
const (
	// RouteSafe calls may run more than once.
	RouteSafe RouteKind = "safe"
	// RouteUnsafe calls run at most once.
	RouteUnsafe RouteKind = "unsafe"
	// RouteStream calls are answered with a stream of events. They run at most once unless the route is resumable.
	RouteStream RouteKind = "stream"
)

// RouteTarget is one service of a route with its share of the calls.
type RouteTarget struct {
	Service Service
	// Weight is the target's share of the calls relative to the sum of all targets' weights; at least 0.
	Weight int
}

// Route directs the calls with one host name and path prefix to services.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	// Targets has at least one entry with a weight above 0.
	Targets []RouteTarget
	Kind    RouteKind
	// Timeout bounds the time from a call's arrival to the end of its answer.
	Timeout time.Duration
	// Objective is the latency objective: an answer, or the first event of a stream, is on time when it arrives within it.
	Objective time.Duration
	// LongestPause is the longest pause between two events with which a stream is still on time; 0 when none is set.
	LongestPause time.Duration
	// MaxAttempts bounds the backend servers on which one call may run; at least 1.
	MaxAttempts int
	// Rank orders routes by urgency; 0 is the most urgent.
	Rank int
	// Public is set when calls need no key.
	Public bool
	// Resumable is set when another engine may continue a stream after its last event.
	Resumable bool
}

// Repeatable reports whether a call of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == RouteSafe || r.Kind == RouteStream && r.Resumable
}

// CapacityRule bounds the engines that may be ordered for a service.
type CapacityRule struct {
	// Min and Max bound the engines of one zone, reclaimable and on-demand ones together.
	Min, Max int
	// Boot is the time from the order of an engine until it serves.
	Boot time.Duration
	// ReclaimablePrice is the price of a reclaimable engine as a fraction of that of an on-demand one; 0 when there are none.
	ReclaimablePrice float64
	// ZonePrices holds the price of one engine for one second by zone.
	ZonePrices map[Zone]float64
}

// ServiceRule is the configuration of a service.
type ServiceRule struct {
	Name       Service
	HealthPath string
	// MaxConnections bounds the connections to one backend server over all processes; 0 when it is not bounded.
	MaxConnections int
	// Slots is the number of requests that one engine runs concurrently; 0 when the service is no model service.
	Slots int
	// CacheTokens is the size of one engine's KV cache in tokens.
	CacheTokens int
	// Capacity is nil when this system doesn't order the service's engines.
	Capacity *CapacityRule
}

// TokenLimit is the rate limit of a workspace over all processes, in calls or in tokens.
type TokenLimit struct {
	// Rate is in units per second; 0 means no limit.
	Rate float64
	// Burst is in units.
	Burst float64
	// InTokens is set when the unit is one token of prompt or answer; otherwise it is one call.
	InTokens bool
	// PlainTokens is the cost in tokens of a call that states no token counts.
	PlainTokens int
}

// WorkspaceRule is the configuration of a workspace.
type WorkspaceRule struct {
	Name Workspace
	Keys []string
	// Rank, if not nil, replaces the rank of the route.
	Rank  *int
	Limit TokenLimit
}

// CallerLimits bounds the size of what callers send and how long they may take.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Deployment is one complete version of the operators' configuration.
type Deployment struct {
	// Version increases with every change.
	Version    uint64
	Routes     []Route
	Services   []ServiceRule
	Workspaces []WorkspaceRule
	Limits     CallerLimits
}

// Backend is the registration of one backend server.
type Backend struct {
	// ID identifies the server. A restarted server may register with the same ID; Born, the time of its start, then differs.
	ID   BackendServerID
	Born time.Time
	// Sequence rises with each entry that the server registers after a start; 0 when unknown.
	Sequence uint64
	Service  Service
	// Version is empty when the entry does not state it.
	Version SoftwareVersion
	Address netip.AddrPort
	Zone    Zone
	Slots   int
	// Leaving is set when the server must get no new calls.
	Leaving bool
	// LeavesIn is the time from the registration until the announced removal of the server; 0 when unknown.
	LeavesIn    time.Duration
	Reclaimable bool
	// ColdFor is the remaining time for which the server is still slow after its start.
	ColdFor time.Duration
}

// Lineage returns the lineage of the streams that the server generates.
func (b *Backend) Lineage() Lineage { return Lineage{Software: b.Version} }

// BackendChange is one change of the list of backend servers.
type BackendChange struct {
	ID BackendServerID
	// Backend is nil when the entry was removed or is not usable.
	Backend *Backend
	// Problem is the reason why an entry is not usable; empty otherwise.
	Problem string
}
