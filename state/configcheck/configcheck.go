// Package configcheck finds what is wrong with an operators' configuration before it is put in force. It performs no I/O.
package configcheck

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/apricotway/apricotway"
)

// Kind tells what a finding means.
type Kind string

// The values of Kind.
const (
	// KindError is that of an entry with which the configuration can't do what it says.
	KindError Kind = "error"
	// KindNeverMatches is that of an entry that no call can reach.
	KindNeverMatches Kind = "neverMatches"
	// KindContradiction is that of limits of which one makes the other useless.
	KindContradiction Kind = "contradiction"
)

// largestHeader is the largest header that processes accept, whatever the configuration says.
const largestHeader = 1 << 20

// Finding is something that is wrong with a configuration.
type Finding struct {
	Kind Kind `json:"kind"`
	// Entry names the entry, for example "route chat".
	Entry   string `json:"entry"`
	Message string `json:"message"`
}

// Check returns what is wrong with a configuration: errors first, and otherwise in the order of its entries.
func Check(d *apricotway.Deployment) []Finding {
	c := &checker{deployment: d, findings: []Finding{}}

	c.checkNames()
	c.checkRoutes()
	c.checkServices()
	c.checkWorkspaces()
	c.checkLimits()

	order := []Kind{KindError, KindNeverMatches, KindContradiction}
	slices.SortStableFunc(c.findings, func(a, b Finding) int {
		return cmp.Compare(slices.Index(order, a.Kind), slices.Index(order, b.Kind))
	})

	return c.findings
}

type checker struct {
	deployment *apricotway.Deployment
	findings   []Finding
}

func (c *checker) add(kind Kind, entry, format string, arguments ...any) {
	c.findings = append(c.findings, Finding{Kind: kind, Entry: entry, Message: fmt.Sprintf(format, arguments...)})
}

func routeEntry(name string) string                   { return "route " + name }
func serviceEntry(name apricotway.Service) string     { return "service " + string(name) }
func workspaceEntry(name apricotway.Workspace) string { return "workspace " + string(name) }

// limitsEntry is the entry of the limits on callers.
const limitsEntry = "limits"

// checkNames finds missing and duplicate names.
func (c *checker) checkNames() {
	var entries []string

	for _, route := range c.deployment.Routes {
		entries = append(entries, routeEntry(route.Name))
	}

	for _, service := range c.deployment.Services {
		entries = append(entries, serviceEntry(service.Name))
	}

	for _, workspace := range c.deployment.Workspaces {
		entries = append(entries, workspaceEntry(workspace.Name))
	}

	seen := map[string]int{}

	for _, entry := range entries {
		switch seen[entry]++; {
		case strings.HasSuffix(entry, " "):
			c.add(KindError, entry, "has no name")
		case seen[entry] == 2:
			c.add(KindError, entry, "is there more than once")
		}
	}
}

func (c *checker) checkRoutes() {
	type place struct{ host, prefix string }

	first := map[place]string{}

	for i := range c.deployment.Routes {
		route := &c.deployment.Routes[i]
		entry := routeEntry(route.Name)

		c.checkRoute(entry, route)
		c.checkTargets(entry, route.Targets)

		// Of two routes with the same host and prefix the first one gets the calls.
		at := place{strings.ToLower(route.Host), route.PathPrefix}
		if other, ok := first[at]; ok {
			c.add(KindNeverMatches, entry, "%s has the same host and path prefix and comes first", routeEntry(other))
		} else {
			first[at] = route.Name
		}
	}
}

func (c *checker) checkRoute(entry string, route *apricotway.Route) {
	if !slices.Contains([]apricotway.RouteKind{apricotway.RouteSafe, apricotway.RouteUnsafe, apricotway.RouteStream}, route.Kind) {
		c.add(KindError, entry, "unknown kind %q", route.Kind)
	}

	if !strings.HasPrefix(route.PathPrefix, "/") || !strings.HasSuffix(route.PathPrefix, "/") {
		c.add(KindError, entry, "path prefix %q doesn't begin and end with a slash", route.PathPrefix)
	}

	if route.Host == "" || strings.ContainsAny(route.Host, ":/ ") {
		c.add(KindNeverMatches, entry, "host %q is none that a call is matched with, which has no port", route.Host)
	}

	c.checkDurations(entry, map[string]time.Duration{
		"timeout": route.Timeout, "objective": route.Objective, "longest pause": route.LongestPause,
	})
	c.checkCounts(entry, map[string]int{"attempts": route.MaxAttempts, "rank": route.Rank})

	if route.Timeout > 0 && route.Objective > route.Timeout {
		c.add(KindContradiction, entry, "objective %s is above the timeout %s", route.Objective, route.Timeout)
	}

	if route.Timeout > 0 && route.LongestPause > route.Timeout {
		c.add(KindContradiction, entry, "timeout %s is below the longest pause %s", route.Timeout, route.LongestPause)
	}

	if route.Resumable && route.Kind != apricotway.RouteStream {
		c.add(KindContradiction, entry, "is resumable, but no stream")
	}
}

func (c *checker) checkTargets(entry string, targets []apricotway.RouteTarget) {
	total := 0
	seen := map[apricotway.Service]bool{}

	for _, target := range targets {
		total += max(target.Weight, 0)

		if target.Weight < 0 {
			c.add(KindError, entry, "weight of %s is %d, below 0", serviceEntry(target.Service), target.Weight)
		}

		if !slices.ContainsFunc(c.deployment.Services, func(s apricotway.ServiceRule) bool { return s.Name == target.Service }) {
			c.add(KindError, entry, "target %s doesn't exist", serviceEntry(target.Service))
		}

		if seen[target.Service] {
			c.add(KindError, entry, "target %s is there more than once", serviceEntry(target.Service))
		}

		seen[target.Service] = true
	}

	switch {
	case len(targets) == 0:
		c.add(KindError, entry, "has no target service")
	case total == 0:
		c.add(KindError, entry, "no target has a weight of 1 or more, so all calls go to %s", serviceEntry(targets[0].Service))
	default:
		for _, target := range targets {
			if target.Weight == 0 {
				c.add(KindNeverMatches, entry, "target %s has the weight 0", serviceEntry(target.Service))
			}
		}
	}
}

func (c *checker) checkServices() {
	reached := map[apricotway.Service]bool{}

	for _, route := range c.deployment.Routes {
		for _, target := range route.Targets {
			reached[target.Service] = true
		}
	}

	for _, service := range c.deployment.Services {
		entry := serviceEntry(service.Name)
		c.checkCounts(entry, map[string]int{
			"connections": service.MaxConnections, "slots": service.Slots, "cache tokens": service.CacheTokens,
		})

		if !reached[service.Name] {
			c.add(KindNeverMatches, entry, "no route leads to it")
		}

		if service.HealthPath != "" && !strings.HasPrefix(service.HealthPath, "/") {
			c.add(KindError, entry, "health path %q doesn't begin with a slash", service.HealthPath)
		}

		if service.Capacity != nil {
			c.checkCapacity(entry, service.Capacity)
		}
	}
}

func (c *checker) checkCapacity(entry string, rule *apricotway.CapacityRule) {
	c.checkCounts(entry, map[string]int{"least engines": rule.Min, "most engines": rule.Max})
	c.checkDurations(entry, map[string]time.Duration{"boot time": rule.Boot})

	numbers := map[string]float64{"reclaimable price": rule.ReclaimablePrice}
	for zone, price := range rule.ZonePrices {
		numbers["price in zone "+string(zone)] = price
	}

	c.checkNumbers(entry, numbers)

	if rule.Min > rule.Max {
		c.add(KindContradiction, entry, "at least %d engines, but at most %d", rule.Min, rule.Max)
	}
}

func (c *checker) checkWorkspaces() {
	owners := map[string]apricotway.Workspace{}

	for _, workspace := range c.deployment.Workspaces {
		entry := workspaceEntry(workspace.Name)

		if len(workspace.Keys) == 0 {
			c.add(KindNeverMatches, entry, "has no keys")
		}

		for _, key := range workspace.Keys {
			if key == "" {
				c.add(KindNeverMatches, entry, "has an empty key, which no call is matched with")
			}

			// The last workspace with a key gets its calls.
			if other, ok := owners[key]; ok && other != workspace.Name {
				c.add(KindNeverMatches, workspaceEntry(other), "key %s belongs to %s as well, which gets its calls", keyDigest(key), entry)
			}

			owners[key] = workspace.Name
		}

		c.checkRate(entry, workspace.Limit)

		if workspace.Rank != nil {
			c.checkCounts(entry, map[string]int{"rank": *workspace.Rank})
		}
	}
}

func (c *checker) checkRate(entry string, limit apricotway.TokenLimit) {
	c.checkNumbers(entry, map[string]float64{"rate": limit.Rate, "burst": limit.Burst})
	c.checkCounts(entry, map[string]int{"tokens of a plain call": limit.PlainTokens})

	cost := 1
	if limit.InTokens {
		cost = limit.PlainTokens
	}

	switch {
	case limit.Rate == 0 && limit.Burst > 0:
		c.add(KindContradiction, entry, "rate 0 means no limit, so the burst %v has no effect", limit.Burst)
	case limit.Rate > 0 && limit.Burst < float64(cost):
		c.add(KindContradiction, entry, "burst %v is below %d, the cost of one call", limit.Burst, cost)
	}
}

func (c *checker) checkLimits() {
	limits := c.deployment.Limits
	c.checkCounts(limitsEntry, map[string]int{"header bytes": limits.HeaderBytes, "body bytes": int(limits.BodyBytes)})
	c.checkDurations(limitsEntry, map[string]time.Duration{"header timeout": limits.HeaderTimeout, "idle timeout": limits.IdleTimeout})

	if limits.HeaderBytes > largestHeader {
		c.add(KindContradiction, limitsEntry, "header bytes %d are above %d, the most that processes accept", limits.HeaderBytes, largestHeader)
	}

	if limits.IdleTimeout > 0 && limits.HeaderTimeout > limits.IdleTimeout {
		c.add(KindContradiction, limitsEntry, "header timeout %s is above the idle timeout %s", limits.HeaderTimeout, limits.IdleTimeout)
	}
}

func (c *checker) checkCounts(entry string, counts map[string]int) {
	checkEach(c, entry, counts, func(count int) bool { return count < 0 })
}

func (c *checker) checkDurations(entry string, durations map[string]time.Duration) {
	checkEach(c, entry, durations, func(duration time.Duration) bool { return duration < 0 })
}

func (c *checker) checkNumbers(entry string, numbers map[string]float64) {
	checkEach(c, entry, numbers, func(number float64) bool { return !(number >= 0) || math.IsInf(number, 0) })
}

// checkEach finds the values that are negative or not finite, in the order of their names.
func checkEach[T any](c *checker, entry string, values map[string]T, wrong func(T) bool) {
	names := make([]string, 0, len(values))
	for name := range values {
		names = append(names, name)
	}

	slices.Sort(names)

	for _, name := range names {
		if wrong(values[name]) {
			c.add(KindError, entry, "%s is %v, want a finite number of 0 or more", name, values[name])
		}
	}
}
