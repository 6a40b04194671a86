package dispatch

import (
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/fairshare"
)

// Servers returns the servers of a service that take calls, with their slots as far as they or the configuration state them. Servers that
// leave or are avoided because they fail are left out.
func (p *Pool) Servers(now time.Time, service apricotway.Service) []fairshare.Server {
	p.mu.Lock()
	defer p.mu.Unlock()

	var servers []fairshare.Server

	for _, s := range p.services[service] {
		if s.leaving() || now.Before(s.ejectedUntil) {
			continue
		}

		server := fairshare.Server{ID: s.backend.ID}
		if s.backend.Slots > 0 || s.load.Slots > 0 {
			server.Slots = s.slots()
		}

		servers = append(servers, server)
	}

	return servers
}

// ReportPeriod returns the time between two reports of each process.
func (p *Pool) ReportPeriod() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.period
}

// Brittle reports whether the servers of a service are brittle, so that their room is shared by slots.
func (p *Pool) Brittle(now time.Time, service apricotway.Service) bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.serviceBrittlenessLocked(now, service).holds
}

// spreadLocked chooses a server at random, in proportion to the throughputs of the request. While a service has more calls than it can
// serve, what a process knows of the calls of the others is older than a call lasts, and all processes that compared the servers by it
// would choose the same one. It returns nil when no server that answers is left.
func (p *Pool) spreadLocked(now time.Time, request Request) (*server, estimate) {
	var (
		chosen      *server
		total, mean float64
	)

	for _, perSecond := range request.Spread {
		mean += perSecond / float64(len(request.Spread))
	}

	brittle := p.serviceBrittlenessLocked(now, request.Service)

	for _, s := range p.services[request.Service] {
		if s.leaving() || s.paused(now) || now.Before(s.ejectedUntil) || !p.mayUseLocked(now, request, s) ||
			!p.limits.Allows(now, s.backend.ID) || !p.admitsLocked(now, s, brittle) {
			continue
		}

		// A server that has come since then counts as an average one.
		weight, ok := request.Spread[s.backend.ID]
		if !ok {
			weight = mean
		}

		total += weight

		if p.random.Float64()*total < weight {
			chosen = s
		}
	}

	if chosen == nil {
		return nil, estimate{}
	}

	return chosen, chosen.estimate(now, request, nil, false)
}
