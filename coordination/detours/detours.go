// Package detours finds a way for calls when this process has lost its own paths to the backend servers: it watches these paths, tells the
// other processes, and names those that reach the servers.
package detours

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/thejerf/suture/v4"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/internal/pause"
	"github.com/apricotway/apricotway/state/reach"
)

const (
	// checkPeriod is the time between two looks whether a check is due, while there are signs that the paths may be lost.
	checkPeriod = 50 * time.Millisecond
	// checkWindow is the time within which a check after a sign has usually ended.
	checkWindow = 500 * time.Millisecond
	// avoidTime is the time for which a process is not used after it could not pass a call on.
	avoidTime = time.Second
)

// Checker asks a backend server for its health.
type Checker interface {
	// CheckHealth returns nil if the server has sent anything in answer to a check over a new connection. An error before the context ends
	// means that it has refused or broken off the connection.
	CheckHealth(ctx context.Context, server apricotway.Backend) error
}

// Servers provides the backend servers that are known.
type Servers interface {
	Backends() []apricotway.Backend
}

// Detours watches the paths of this process to the backend servers. It is safe for concurrent use.
type Detours struct {
	*reach.Monitor

	servers    Servers
	checker    Checker
	membership apricotway.Membership
	logger     logr.Logger
	changed    func()

	mu sync.Mutex
	// avoided holds the processes that could not pass a call on, with the times until which they are not used.
	avoided map[apricotway.NodeID]time.Time
}

// Option configures Detours in New.
type Option func(*Detours)

// WithLogger sets the logger.
func WithLogger(logger logr.Logger) Option { return func(d *Detours) { d.logger = logger } }

// WithChanged sets a function that is called when the paths are lost or in order again.
func WithChanged(changed func()) Option { return func(d *Detours) { d.changed = changed } }

// New returns Detours and adds its goroutine to the supervisor.
func New(
	supervisor *suture.Supervisor, monitor *reach.Monitor, servers Servers, checker Checker, membership apricotway.Membership, options ...Option,
) *Detours {
	d := &Detours{
		Monitor: monitor, servers: servers, checker: checker, membership: membership, logger: logr.Discard(), changed: func() {},
		avoided: map[apricotway.NodeID]time.Time{},
	}
	for _, option := range options {
		option(d)
	}

	supervisor.Add(apricotway.ServiceFunc{Name: "paths to backend servers", Func: func(ctx context.Context) error {
		for {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-d.Signs():
			}

			for now := time.Now(); d.Watched(now) && ctx.Err() == nil; now = time.Now() {
				d.check(ctx, now)
				pause.For(ctx, checkPeriod)
			}
		}
	}})

	return d
}

// check asks some servers if a check is due.
func (d *Detours) check(ctx context.Context, now time.Time) {
	asked := d.Check(now, d.servers.Backends())
	if len(asked) == 0 {
		return
	}

	ctx, cancel := context.WithTimeout(ctx, reach.CheckTimeout)
	defer cancel()

	answers := make(chan error, len(asked))

	for _, server := range asked {
		go func() { answers <- d.checker.CheckHealth(ctx, server) }()
	}

	result := reach.ResultRefused

	for range asked {
		// One answer proves that the paths are not lost.
		if <-answers == nil {
			result = reach.ResultAnswered
			break
		}

		if ctx.Err() != nil {
			result = reach.ResultSilent
		}
	}

	changed, lostFor := d.Done(time.Now(), result)
	if !changed {
		return
	}

	if lostFor == 0 {
		d.logger.Info("lost all paths to the backend servers", "event", 381, "asked", len(asked), "helpers", len(d.helpers(time.Now(), nil)))
	} else {
		d.logger.Info("paths to the backend servers are in order again", "event", 382, "lostFor", lostFor)
	}

	d.changed()
}

// ReportFailure calls a function that blames servers for what has just happened, once a check could tell that it was not the own paths.
func (d *Detours) ReportFailure(now time.Time, report func()) {
	if d.Lost() {
		return
	}

	time.AfterFunc(checkWindow, func() {
		if !d.LostSince(now) {
			report()
		}
	})
}

// Next returns a process that reaches the servers, at random so that the load spreads, other than those to avoid.
func (d *Detours) Next(avoid []apricotway.NodeID) (apricotway.Member, bool) {
	helpers := d.helpers(time.Now(), avoid)
	if len(helpers) == 0 {
		return apricotway.Member{}, false
	}

	return helpers[rand.IntN(len(helpers))], true
}

func (d *Detours) helpers(now time.Time, avoid []apricotway.NodeID) []apricotway.Member {
	members := d.membership.Members()

	d.mu.Lock()
	defer d.mu.Unlock()

	return slices.DeleteFunc(members, func(m apricotway.Member) bool {
		return m.State != apricotway.MemberAlive || !m.Ready || m.Isolated || now.Before(d.avoided[m.Node]) || slices.Contains(avoid, m.Node)
	})
}

// Failed records that a process could not pass a call on.
func (d *Detours) Failed(node apricotway.NodeID) {
	d.mu.Lock()
	defer d.mu.Unlock()

	now := time.Now()
	for known, until := range d.avoided {
		if !now.Before(until) {
			delete(d.avoided, known)
		}
	}

	d.avoided[node] = now.Add(avoidTime)
}
