package suspect

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"github.com/thejerf/suture/v4"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/internal/pause"
	"github.com/apricotway/apricotway/state/quarantine"
)

const (
	// checkPeriod is the time between two looks for servers to check, while the reason of any cut is open.
	checkPeriod = 25 * time.Millisecond
	// checkTimeout bounds one check.
	checkTimeout = 250 * time.Millisecond
)

// Checker asks a backend server for its health.
type Checker interface {
	// CheckHealth returns nil if the server has sent an answer to a check over a new connection, and an error that wraps an AnswerError if
	// that can't be used. Any other error before the context ends means that it has refused or broken off the connection.
	CheckHealth(ctx context.Context, server apricotway.Backend) error
}

// Cuts checks the servers that cut an answer for signs of a crash. It is safe for concurrent use.
type Cuts struct {
	cuts     *quarantine.Cuts
	checker  Checker
	held     func(netip.AddrPort) (time.Time, bool)
	backends func() []apricotway.Backend
	logger   logr.Logger
	judged   func(verdict quarantine.CutVerdict, answers int)
	// added wakes the goroutine.
	added chan struct{}
}

// CutsOption configures Cuts in NewCuts.
type CutsOption func(*Cuts)

// WithCutsLogger sets the logger.
func WithCutsLogger(logger logr.Logger) CutsOption { return func(c *Cuts) { c.logger = logger } }

// WithJudged sets a function that is called with the number of cut answers by the verdict on them.
func WithJudged(judged func(verdict quarantine.CutVerdict, answers int)) CutsOption {
	return func(c *Cuts) { c.judged = judged }
}

// NewCuts returns a Cuts and adds its goroutine to the supervisor. held returns the time since which there has been a connection to a server
// without a break, and backends the newest entries of the servers.
func NewCuts(
	supervisor *suture.Supervisor, checker Checker, held func(netip.AddrPort) (time.Time, bool), backends func() []apricotway.Backend,
	options ...CutsOption,
) *Cuts {
	c := &Cuts{
		cuts: quarantine.NewCuts(), checker: checker, held: held, backends: backends, logger: logr.Discard(),
		judged: func(quarantine.CutVerdict, int) {}, added: make(chan struct{}, 1),
	}
	for _, option := range options {
		option(c)
	}

	supervisor.Add(apricotway.ServiceFunc{Name: "cut answers", Func: func(ctx context.Context) error {
		for {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-c.added:
			}

			for c.cuts.Pending() && ctx.Err() == nil {
				c.check(ctx)
				pause.For(ctx, checkPeriod)
			}
		}
	}})

	return c
}

// RecordCut implements relay.Cuts.
func (c *Cuts) RecordCut(at time.Time, server apricotway.Backend, report func()) {
	c.cuts.Add(at, server, report)

	select {
	case c.added <- struct{}{}:
	default:
	}
}

// check asks the servers that are due, all at once.
func (c *Cuts) check(ctx context.Context) {
	due := c.cuts.Due(time.Now())
	if len(due) == 0 {
		return
	}

	born := map[apricotway.BackendServerID]time.Time{}
	for _, server := range c.backends() {
		born[server.ID] = server.Born
	}

	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()

	var checks sync.WaitGroup

	for _, server := range due {
		checks.Go(func() {
			check := quarantine.CutCheck{Began: time.Now(), Health: c.health(ctx, server), Born: born[server.ID]}
			if since, ok := c.held(server.Address); ok {
				check.HeldSince = since
			}

			c.conclude(server, c.cuts.Checked(time.Now(), server.ID, check))
		})
	}

	checks.Wait()
}

func (c *Cuts) health(ctx context.Context, server apricotway.Backend) quarantine.Health {
	err := c.checker.CheckHealth(ctx, server)

	var fault *apricotway.AnswerError

	switch {
	case err == nil || errors.As(err, &fault):
		return quarantine.HealthAnswered
	case ctx.Err() != nil:
		return quarantine.HealthSilent
	default:
		return quarantine.HealthRefused
	}
}

// conclude logs and counts the verdicts on the cut answers of a server.
func (c *Cuts) conclude(server apricotway.Backend, counts map[quarantine.CutVerdict]int) {
	for verdict, answers := range counts {
		if verdict == quarantine.CutOpen {
			continue
		}

		c.judged(verdict, answers)
		c.logger.Info("found out why answers of a backend server were cut", "event", 421, "server", server.ID, "service", server.Service,
			"verdict", verdict, "answers", answers)
	}
}
