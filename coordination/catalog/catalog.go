// Package catalog keeps the newest configuration and the list of backend servers of one process.
package catalog

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"github.com/thejerf/suture/v4"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/internal/boottime"
	"github.com/apricotway/apricotway/internal/pause"
	"github.com/apricotway/apricotway/state/route"
)

const (
	// configWait bounds one waiting read of the configuration. Each answer proves that the configuration was the newest one
	// when the read began, so it has to stay well below the bound for keys that are taken away.
	configWait = 1500 * time.Millisecond
	// backendWait bounds one waiting read of the list of backend servers.
	backendWait = 300 * time.Millisecond
	// backendGap is the pause between two reads of the list. Entries change several times a second, and each change would end a
	// waiting read.
	backendGap = 600 * time.Millisecond
	// leastGap is the shortest pause between two reads of the list.
	leastGap = 100 * time.Millisecond
	// answerTime is the time for an answer beyond the wait.
	answerTime = 800 * time.Millisecond
	// leastWait is the shortest waiting read.
	leastWait = 50 * time.Millisecond
	// informedPause is the time between two looks whether another process still passes its news on.
	informedPause = 200 * time.Millisecond
	// retryPause is the pause after a read that failed.
	retryPause = 150 * time.Millisecond
	// provePause is the least time between two reads that calls ask for.
	provePause = 250 * time.Millisecond
	// lapseTime is the age of the list from which entries may have lapsed meanwhile: servers register about every 1.2 s, and
	// their entries lapse after three times that.
	lapseTime = 2500 * time.Millisecond
	// returnTime is the time after an outage of the store within which servers whose entries lapsed register themselves again.
	returnTime = 1800 * time.Millisecond
	// DefaultKeyValidity is the time for which keys are accepted without a newer proof.
	DefaultKeyValidity = 4 * time.Second
)

// Servers takes the changes of the list of backend servers.
type Servers interface {
	Update(backend apricotway.Backend, now time.Time)
	Remove(id apricotway.BackendServerID)
	Backends() []apricotway.Backend
}

// Catalog reads the operators' store.
type Catalog struct {
	store   apricotway.OperatorStore
	servers Servers
	logger  logr.Logger
	// keyValidity is in nanoseconds.
	keyValidity atomic.Int64
	changed     func(*route.Table)
	// boot reads a clock that goes on while the machine is suspended.
	boot func() time.Duration

	table atomic.Pointer[route.Table]
	// newest is the configuration that table was made from.
	newest atomic.Pointer[apricotway.Deployment]
	// heard is the newest version that another process told of.
	heard atomic.Uint64
	// configLost and listLost tell that the last read of the configuration and of the list failed.
	configLost, listLost atomic.Bool
	neighbours           *neighbours
	// refresh asks for a read at once: the waiting one cannot prove more than its beginning.
	refresh chan struct{}
	// proof is the boot time at which the newest read of the configuration began; 0 before the first.
	proof atomic.Int64

	// applying serialises the changes of table.
	applying sync.Mutex

	mu sync.Mutex
	// listed is set once the list of backend servers has been read.
	listed bool
	// failing is set while the store cannot be read; returned is the time at which the list could be read again after an
	// outage.
	failing  bool
	returned time.Time
	// listRead is the boot time at which the last read of the list began.
	listRead time.Duration
	// journal holds the changes for other processes; told is the place up to which this one has those of another, since toldAt.
	journal journal
	told    Position
	toldAt  time.Duration
	// reads tells that this process reads the store for all.
	reads atomic.Bool
	// asked is the time between two questions of another process for the news, in nanoseconds.
	asked atomic.Int64
	// lapsed holds the servers whose removal waits for the end of returnTime.
	lapsed map[apricotway.BackendServerID]bool
	// entries holds the newest usable entry of each server.
	entries map[apricotway.BackendServerID]apricotway.Backend
}

// Option changes a catalog under construction.
type Option func(*Catalog)

// WithLogger sets the logger.
func WithLogger(logger logr.Logger) Option { return func(c *Catalog) { c.logger = logger } }

// WithKeyValidity sets the time for which keys are accepted without a newer proof; 0 accepts them without end.
func WithKeyValidity(validity time.Duration) Option {
	return func(c *Catalog) { c.SetKeyValidity(validity) }
}

// SetKeyValidity sets the time for which keys are accepted without a newer proof; 0 accepts them without end.
func (c *Catalog) SetKeyValidity(validity time.Duration) { c.keyValidity.Store(int64(validity)) }

// WithBootClock sets the clock that goes on while the machine is suspended.
func WithBootClock(clock func() time.Duration) Option { return func(c *Catalog) { c.boot = clock } }

// WithChanged sets a function that sees each new version of the configuration. It must not block.
func WithChanged(changed func(*route.Table)) Option { return func(c *Catalog) { c.changed = changed } }

// New returns a catalog and adds its goroutines to the supervisor.
func New(
	supervisor *suture.Supervisor, store apricotway.OperatorStore, servers Servers, options ...Option,
) *Catalog {
	c := &Catalog{
		store: store, servers: servers, logger: logr.Discard(), changed: func(*route.Table) {}, boot: boottime.Now, lapsed: map[apricotway.BackendServerID]bool{},
		entries: map[apricotway.BackendServerID]apricotway.Backend{},
		refresh: make(chan struct{}, 1),
	}
	c.SetKeyValidity(DefaultKeyValidity)

	for _, option := range options {
		option(c)
	}

	supervisor.Add(apricotway.ServiceFunc{Name: "configuration", Func: func(ctx context.Context) error {
		return c.follow(ctx, "configuration", c.readDeployment())
	}})
	supervisor.Add(apricotway.ServiceFunc{Name: "list of backend servers", Func: func(ctx context.Context) error {
		return c.follow(ctx, "list of backend servers", c.readBackends())
	}})

	if c.neighbours != nil {
		supervisor.Add(apricotway.Periodic("news of other processes", askPeriod, c.ask))
	}

	supervisor.Add(apricotway.ServiceFunc{Name: "proof of the configuration", Func: c.prove})

	return c
}

// prove reads the configuration at once when a call finds that the last proof is too old, as after a suspension.
func (c *Catalog) prove(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.refresh:
		}

		began := c.boot()

		limited, cancel := context.WithTimeout(ctx, answerTime)
		deployment, _, err := c.store.Deployment(limited)

		cancel()
		c.configLost.Store(err != nil)

		if err == nil {
			c.apply(deployment)
			c.proved(began)
		} else {
			c.logger.V(1).Info("configuration not read anew", "event", 287, "error", err.Error())
		}

		pause.For(ctx, provePause)
	}
}

// proved notes that the newest configuration was known at a time; an older proof changes nothing.
func (c *Catalog) proved(began time.Duration) {
	for {
		known := c.proof.Load()
		if int64(began) <= known || c.proof.CompareAndSwap(known, int64(began)) {
			return
		}
	}
}

// Table returns the newest version of the configuration, nil while none is known.
func (c *Catalog) Table() *route.Table { return c.table.Load() }

// KeysFresh tells whether the configuration was the newest one a short time ago. The time goes on while the machine is
// suspended.
func (c *Catalog) KeysFresh() bool {
	validity := time.Duration(c.keyValidity.Load())
	if validity <= 0 {
		return true
	}

	proof := time.Duration(c.proof.Load())

	if proof != 0 && c.boot()-proof < validity {
		return true
	}

	select {
	case c.refresh <- struct{}{}:
	default:
	}

	return false
}

// Ready tells whether configuration and list have been read.
func (c *Catalog) Ready() bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.listed && c.table.Load() != nil
}

// follow repeats a read for as long as the context holds and no other process passes on what it read. The read that follows a
// time of news begins anew.
func (c *Catalog) follow(ctx context.Context, name string, read func(ctx context.Context, anew bool) error) error {
	failing, behind := false, false

	for {
		if c.informed() && !c.reads.Load() {
			if !pause.For(ctx, informedPause) {
				return ctx.Err()
			}

			behind = true

			continue
		}

		err := read(ctx, behind)
		if ctx.Err() != nil {
			return ctx.Err()
		}

		behind = behind && err != nil

		if (err != nil) != failing {
			failing = err != nil
			if failing {
				c.logger.Info("store lost", "event", 281, "read", name, "error", err.Error())
			} else {
				c.logger.Info("store regained", "event", 282, "read", name)
			}
		}

		if err != nil {
			pause.For(ctx, retryPause)
		}
	}
}

// readDeployment returns a function that reads the configuration once.
func (c *Catalog) readDeployment() func(ctx context.Context, anew bool) error {
	var (
		position apricotway.Offset
		known    bool
	)

	return func(ctx context.Context, anew bool) error {
		ctx, cancel := context.WithTimeout(ctx, configWait+answerTime)
		defer cancel()

		known = known && !anew

		began := c.boot()

		var (
			deployment *apricotway.Deployment
			err        error
		)

		if known {
			deployment, position, err = c.store.DeploymentAfter(ctx, position, c.configPace())
		} else {
			deployment, position, err = c.store.Deployment(ctx)
			known = err == nil
		}

		if errors.Is(err, apricotway.ErrTrimmed) {
			known = false
			return nil
		}

		c.reached(&c.configLost, err == nil)

		if err != nil {
			return err
		}

		c.apply(deployment)
		c.proved(began)

		if deployment == nil && c.table.Load() == nil {
			pause.For(ctx, retryPause)
		}

		return nil
	}
}

// apply puts a version in force unless a newer one is.
func (c *Catalog) apply(deployment *apricotway.Deployment) {
	if deployment == nil {
		return
	}

	c.applying.Lock()
	defer c.applying.Unlock()

	if current := c.table.Load(); current != nil && deployment.Version <= current.Version {
		return
	}

	table := route.New(deployment)
	c.newest.Store(deployment)
	c.table.Store(table)
	c.changed(table)
	c.logger.Info("configuration in force", "event", 283, "version", deployment.Version, "routes", len(deployment.Routes),
		"workspaces", len(deployment.Workspaces))
}
