package canary

import (
	"maps"
	"slices"
	"time"

	"github.com/apricotway/apricotway"
)

const (
	// maxCredit bounds the calls that a process may owe the ordered version while that one's servers take none.
	maxCredit = 2
	// settlePeriod is the time after the completion of an order for which the versions before it get no calls: the list of backend servers
	// may still have their servers, which have been stopped.
	settlePeriod = time.Minute
	// orderMargin is the time by which the orders must have been read after a version was first seen, before the version counts as named
	// by none.
	orderMargin = 100 * time.Millisecond
)

// Local is one process's part in shifting traffic. It is not safe for concurrent use.
type Local struct {
	// term is the highest fencing number of an answer, and readAt the time as of which the orders are known.
	term   apricotway.Offset
	readAt time.Time
	// freshUntil is the time until which the newest answer counts.
	freshUntil time.Time
	services   map[apricotway.Service]*localService
}

// localService is what the process knows of one service.
type localService struct {
	versions map[apricotway.SoftwareVersion]*localVersion
	// run is nil until an order of the service is known.
	run *localRun
	// held are the versions of which it is not known yet whether an order names them.
	held []apricotway.SoftwareVersion
}

// localVersion is a software version whose servers are in the list.
type localVersion struct {
	servers int
	// seen is the time at which the first of its servers was seen, and born the earliest start of one.
	seen, born time.Time
}

// localRun is what the process knows of the newest order of a service.
type localRun struct {
	state State
	// beganAt and decidedAt are the times of the order's reading and decision.
	beganAt, decidedAt time.Time
	// lapseAt is the time from which the share no longer counts; zero if it counts as long as the answer does.
	lapseAt time.Time
	// credit is the number of calls that the version may get.
	credit float64
	counts *counts
}

func (r *localRun) slice(now time.Time) int { return sliceOf(r.state.Duration, now.Sub(r.beganAt)) }

// NewLocal returns the part of a process that knows no order.
func NewLocal() *Local { return &Local{services: map[apricotway.Service]*localService{}} }

func (l *Local) service(name apricotway.Service) *localService {
	if l.services[name] == nil {
		l.services[name] = &localService{versions: map[apricotway.SoftwareVersion]*localVersion{}}
	}

	return l.services[name]
}

// Add records a server that was added to the list.
func (l *Local) Add(now time.Time, backend *apricotway.Backend) {
	service := l.service(backend.Service)

	version := service.versions[backend.Version]
	if version == nil {
		version = &localVersion{seen: now, born: backend.Born}
		service.versions[backend.Version] = version
	}

	version.servers++

	if backend.Born.Before(version.born) {
		version.born = backend.Born
	}

	service.hold(l.readAt)
}

// Drop records that a server was removed from the list.
func (l *Local) Drop(backend *apricotway.Backend) {
	service := l.service(backend.Service)
	if version := service.versions[backend.Version]; version != nil {
		if version.servers--; version.servers <= 0 {
			delete(service.versions, backend.Version)
		}
	}

	service.hold(l.readAt)
}

// hold determines the versions that get no calls until the orders are known. A process that does not know the orders as of any version's
// appearance uses the one whose servers started first.
func (s *localService) hold(readAt time.Time) {
	s.held = nil

	var oldest *localVersion

	settled := false

	for _, version := range s.versions {
		if !version.seen.Add(orderMargin).After(readAt) {
			settled = true
		} else if oldest == nil || version.born.Before(oldest.born) {
			oldest = version
		}
	}

	for name, version := range s.versions {
		if version.seen.Add(orderMargin).After(readAt) && (settled || version != oldest) {
			s.held = append(s.held, name)
		}
	}
}

// Apply records the answer to a report that was sent at the time asked. It counts for the lifetime. credit is a random number below 1 with
// which the processes begin, so that they don't all send their first call to the version at the same time.
func (l *Local) Apply(asked time.Time, lifetime time.Duration, answer Answer, credit float64) {
	if answer.Term < l.term {
		return
	}

	l.term, l.freshUntil = answer.Term, asked.Add(lifetime)

	for i := range answer.States {
		l.learn(asked, &answer.States[i], credit)
	}

	if readAt := asked.Add(-answer.OrdersAge); readAt.After(l.readAt) {
		l.readAt = readAt
	}

	for _, service := range l.services {
		service.hold(l.readAt)
	}
}

// Learn records states that were saved earlier. Their exposures do not count.
func (l *Local) Learn(now time.Time, states []State) {
	for i := range states {
		if service := l.service(states[i].Service); service.run == nil {
			l.learn(now, &states[i], 0)
		}
	}
}

func (l *Local) learn(asOf time.Time, state *State, credit float64) {
	service := l.service(state.Service)

	run := service.run
	if run == nil || run.state.Order != state.Order {
		run = &localRun{counts: newCounts(), credit: credit}
		service.run = run
	} else if run.state.newer(state) {
		return // From a holder that has been replaced, or overtaken by a newer answer.
	}

	run.state = *state
	run.beganAt, run.decidedAt, run.lapseAt = asOf.Add(-state.Age), asOf.Add(-state.Decided), time.Time{}

	if state.Lapse > 0 {
		run.lapseAt = asOf.Add(state.Lapse)
	}
}

// States returns the newest known states, for a process that takes over the duties.
func (l *Local) States(now time.Time) []State {
	var states []State

	for _, service := range l.services {
		if run := service.run; run != nil {
			state := run.state
			state.Age, state.Decided = now.Sub(run.beganAt), now.Sub(run.decidedAt)
			states = append(states, state)
		}
	}

	return states
}

// Use tells which versions may get a call. The zero value allows all.
type Use struct {
	// Wanted is the only version that may get the call if Only is set.
	Wanted apricotway.SoftwareVersion
	Only   bool
	// Fallback is set if the other versions may get the call when no server of the wanted one takes it.
	Fallback bool

	excluded apricotway.SoftwareVersion
	excludes bool
	// denied, held and others are further versions that don't get the call.
	denied, held, others []apricotway.SoftwareVersion
}

// Restricts reports whether there are versions that may not get the call.
func (u *Use) Restricts() bool {
	return u.Only || u.excludes || len(u.denied)+len(u.held)+len(u.others) > 0
}

// Allows reports whether a version may get the call.
func (u *Use) Allows(version apricotway.SoftwareVersion) bool {
	switch {
	case u.Only:
		return version == u.Wanted
	case u.excludes && version == u.excluded:
		return false
	default:
		return !slices.Contains(u.denied, version) && !slices.Contains(u.held, version) && !slices.Contains(u.others, version)
	}
}

// Kind is what a call is to the exposure.
type Kind string

// The values of Kind.
const (
	// KindNew is a call that has been sent to no server yet.
	KindNew Kind = "new"
	// KindHeld is a call that could not be placed before.
	KindHeld Kind = "held"
	// KindAgain is a call that has been sent to a server before.
	KindAgain Kind = "again"
	// KindContinued is a call that continues a stream.
	KindContinued Kind = "continued"
)

// Choose returns which versions may get a call.
func (l *Local) Choose(now time.Time, name apricotway.Service, kind Kind) Use {
	service := l.services[name]
	if service == nil {
		return Use{}
	}

	// A stream that began at a version is a proof that the version was allowed; only a rollback ends that.
	use := Use{}
	if kind != KindContinued {
		use.held = service.held
	}

	run := service.run
	if run == nil {
		return use
	}

	use.denied = run.state.Denied

	switch run.state.State {
	case apricotway.VersionShiftRunning:
		run.choose(now, kind, now.Before(l.freshUntil), &use)
	case apricotway.VersionShiftCompleted:
		if now.Sub(run.decidedAt) < settlePeriod && service.versions[run.state.Version] != nil {
			use.others = run.state.Others
		}
	case apricotway.VersionShiftRolledBack:
	}

	return use
}

// choose decides on a call while an order is running.
func (r *localRun) choose(now time.Time, kind Kind, fresh bool, use *Use) {
	share := 0.0
	if fresh && (r.lapseAt.IsZero() || now.Before(r.lapseAt)) {
		share = r.state.Share
	}

	if kind == KindNew {
		r.counts.requests++
		r.credit = min(r.credit+share, maxCredit)
	}

	switch {
	case kind == KindContinued && fresh:
	case share >= 1 && kind != KindContinued:
		use.Wanted, use.Only = r.state.Version, true
	case (kind == KindNew || kind == KindHeld) && share > 0 && r.credit >= 1:
		use.Wanted, use.Only, use.Fallback = r.state.Version, true, true
	default:
		use.excluded, use.excludes = r.state.Version, true
	}
}

// Others returns the use of a call that no server of the wanted version takes.
func (l *Local) Others(name apricotway.Service, use Use) Use {
	service := l.services[name]

	return Use{excluded: use.Wanted, excludes: true, denied: use.denied, held: service.held}
}

// Begin counts a call that is sent to a server. The caller passes the call to First and End.
func (l *Local) Begin(now time.Time, call *Call, route string, to *apricotway.Backend, cold time.Duration) {
	service := l.services[to.Service]
	if service == nil || service.run == nil || service.run.state.State != apricotway.VersionShiftRunning {
		return
	}

	run := service.run

	if to.Version == run.state.Version {
		run.counts.exposed++
		run.credit = max(run.credit-1, 0)
	}

	// A stream that moves has no route of its own, and says nothing of how long answers take.
	if route != "" {
		*call = Call{
			run: run, route: route, version: to.Version, server: to.ID, sent: now, cold: cold, unmeasured: to.ColdFor > 0,
		}
		run.counts.waiting[call] = true
	}
}

// Report returns the counts of the process for the holder of the duties.
func (l *Local) Report(now time.Time) []ServiceReport {
	var reports []ServiceReport

	for name, service := range l.services {
		run := service.run
		if run == nil || run.state.State != apricotway.VersionShiftRunning {
			continue
		}

		report := ServiceReport{
			Order: run.state.Order, Service: name, Requests: run.counts.requests, Exposed: run.counts.exposed,
		}

		for index, entries := range run.counts.slices {
			slice := Slice{Index: index}
			for _, entry := range entries {
				counted := *entry
				counted.Latencies = slices.Clone(entry.Latencies)
				slice.Entries = append(slice.Entries, counted)
			}

			report.Slices = append(report.Slices, slice)
		}

		report.Waiting = run.counts.waitingEntries(now)
		reports = append(reports, report)
	}

	return reports
}

// waitingEntries returns the calls that wait for the beginning of their answers.
func (c *counts) waitingEntries(now time.Time) []Entry {
	entries := map[entryKey]Entry{}

	for call := range c.waiting {
		if call.unmeasured {
			continue
		}

		key := entryKey{call.route, call.version, call.server}
		entry := entries[key]
		entry.Route, entry.Version, entry.Server = key.route, key.version, key.server
		entry.Latencies = append(entry.Latencies, call.latency(now))
		entries[key] = entry
	}

	return slices.Collect(maps.Values(entries))
}
