// Package catalog keeps one process's copy of the newest configuration and of the list of backend servers, read from the
// operators' store or, to spare the store, from other processes.
package catalog

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"github.com/thejerf/suture/v4"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/coordination/era"
	"github.com/apricotway/apricotway/internal/boottime"
	"github.com/apricotway/apricotway/internal/pause"
	"github.com/apricotway/apricotway/internal/stall"
	"github.com/apricotway/apricotway/state/changeset"
	"github.com/apricotway/apricotway/state/route"
)

const (
	// configWait bounds one long-polling read of the configuration. Each answer proves that the configuration was the newest one
	// when the read began, so the wait has to stay well below the key validity.
	configWait = 1500 * time.Millisecond
	// listWait bounds one long-polling read of the list of backend servers.
	listWait = 300 * time.Millisecond
	// listPause is the pause between two reads of the list. Entries change several times a second, and each change ends a
	// long-polling read.
	listPause = 600 * time.Millisecond
	// minListPause is the shortest pause between two reads of the list.
	minListPause = 100 * time.Millisecond
	// answerMargin is the time that an answer may take beyond the requested wait, or that the next part of it may take.
	answerMargin = 800 * time.Millisecond
	// transferTimeout bounds an answer that makes progress. A link of 10 Mbit/s, the narrowest supported, takes 12 MB in this time.
	transferTimeout = 10 * time.Second
	// slowRead is the time from which other processes read a configuration themselves that this one receives for them.
	slowRead = 400 * time.Millisecond
	// restoreTime is the time after the store came back from an older copy for which entries that are older than those known before are
	// ignored. Servers have registered again by then.
	restoreTime = 5 * time.Second
	// restoreCheckPeriod is the time between two checks whether restoreTime is over.
	restoreCheckPeriod = time.Second
	// minListWait is the shortest wait of a long-polling read of the list.
	minListWait = 50 * time.Millisecond
	// newsCheckPeriod is the time between two checks whether another process still passes on its news.
	newsCheckPeriod = 200 * time.Millisecond
	// retryPause is the least pause after a read that failed. After quickRetries failures the time between two reads doubles with each
	// further one, up to maxRetryInterval, since all processes read at the same time while the store is away, and each call has its price.
	retryPause       = 150 * time.Millisecond
	maxRetryInterval = 600 * time.Millisecond
	quickRetries     = 2
	// proofTimeout bounds the wait of a call for a proof that it requests.
	proofTimeout = 300 * time.Millisecond
	// minProofInterval is the shortest time between two reads of the configuration that calls request.
	minProofInterval = 250 * time.Millisecond
	// maxRefreshPause is the longest pause between two attempts to get a version that is known to exist.
	maxRefreshPause = 2 * time.Second
	// entryLapseAge is the age of the list above which entries may have lapsed in the meantime: servers register about every 1.2
	// s, and their entries lapse after three times that.
	entryLapseAge = 2500 * time.Millisecond
	// reregistrationTime is the time after an outage of the store by which servers whose entries lapsed have registered again.
	reregistrationTime = 1800 * time.Millisecond
	// DefaultKeyValidity is the time for which API keys are accepted without a newer proof that the configuration is current.
	DefaultKeyValidity = 4 * time.Second
)

// Servers receives the changes of the list of backend servers.
type Servers interface {
	Update(backend apricotway.Backend, now time.Time)
	Remove(id apricotway.BackendServerID, now time.Time)
	Backends() []apricotway.Backend
	// RecordWritten records that a server has written an entry after a time, since the list was known as of a boot time. It ends the belief that
	// the server is leaving because its answers said so, if the entry says that it is ready and was written after the answer. It returns the age
	// of the belief and whether it has ended.
	RecordWritten(
		now time.Time, entry apricotway.Backend, writtenAfter time.Time, listed time.Duration,
	) (age time.Duration, ended bool)
	// Doubted reports whether the list has to be read here because of what servers said in their answers: other processes pass on only
	// entries with changes.
	Doubted(now time.Time) bool
}

// Catalog reads the operators' store for one process. It is safe for concurrent use.
type Catalog struct {
	store   apricotway.OperatorStore
	servers Servers
	logger  logr.Logger
	// keyValidity is in nanoseconds.
	keyValidity atomic.Int64
	changed     func(*route.Table)
	listRead    func(asOf time.Duration)
	// complete reports whether the reads so far leave out nothing that goes with the configuration. Otherwise, all of it is read again.
	complete func() bool
	// boot reads a clock that also advances while the machine is suspended.
	boot func() time.Duration

	table atomic.Pointer[route.Table]
	// enacted is closed and replaced when table changes.
	enacted atomic.Pointer[chan struct{}]
	// announcedVersion is the newest configuration version that another process has reported.
	announcedVersion atomic.Uint64
	announced        announcements
	// configFailing and listFailing are set while the last read of the configuration or of the list failed.
	configFailing, listFailing atomic.Bool
	queries                    *peerQueries
	// refresh requests an immediate attempt to get a newer configuration or proof. The long-polling read can't serve as a newer proof,
	// since its answer only proves what was current when it began.
	refresh chan struct{}
	// provenAt is the boot time at which the newest successful read of the configuration began; 0 before the first.
	provenAt atomic.Int64

	// proven is closed and replaced when provenAt advances.
	proven atomic.Pointer[chan struct{}]

	// applying serialises the changes of table. It guards history, whose newest document is the one that table was made from, read and supply.
	applying sync.Mutex
	history  changeset.History
	read     readState
	supply   supply

	// arriving is the boot time at which the answer to a read of the configuration has begun to arrive; 0 while none does.
	arriving atomic.Int64

	// fetching guards partial, and lets one goroutine at a time fetch a configuration from another process.
	fetching sync.Mutex
	partial  snapshot

	mu sync.Mutex
	// listed is set once the list of backend servers has been read.
	listed bool
	// storeFailing is set while the store cannot be read; outageEnd is the time of the first read of the list after an outage.
	storeFailing bool
	outageEnd    time.Time
	// listAsOf is the boot time as of which the list is known: the beginning of the newest read, by this process or by the one
	// whose news it took.
	listAsOf time.Duration
	// journal holds the changes of the list for other processes. peerPosition is the position up to which this process has
	// another one's changes, and newsAsOf the boot time as of which that process had read the list.
	journal      journal
	peerPosition Position
	newsAsOf     time.Duration
	offered      offer
	refreshing   listRefresh
	// isReader is set while this process reads the store on behalf of the others.
	isReader atomic.Bool
	// newsInterval is the time between two requests of another process for the news, in nanoseconds.
	newsInterval atomic.Int64
	// lapsed holds the servers whose removal is postponed until reregistrationTime is over.
	lapsed map[apricotway.BackendServerID]bool
	// entries holds the newest usable entry of each server.
	entries map[apricotway.BackendServerID]apricotway.Backend
	// invalid holds the servers whose newest entries cannot be used.
	invalid map[apricotway.BackendServerID]bool
	// removed holds the last entries of the servers that were removed within restoreTime, with the times of their removal.
	removed map[apricotway.BackendServerID]removal
	// restoredAt is the time at which the store was first seen to have come back from an older copy; zero before that. ignored is set
	// when an entry of that copy was ignored since, and rereadList when the list has to be read from the start for that reason.
	restoredAt time.Time
	ignored    bool
	rereadList bool
}

// readState is how far the configurations in the store are known, by this process's reads or through other processes.
type readState struct {
	position apricotway.StorePosition
	// known is set when position can be used.
	known bool
}

// removal is the last entry of a server that was removed.
type removal struct {
	backend apricotway.Backend
	at      time.Time
}

// Option configures a Catalog.
type Option func(*Catalog)

// WithLogger sets the logger.
func WithLogger(logger logr.Logger) Option { return func(c *Catalog) { c.logger = logger } }

// WithKeyValidity sets the time for which keys are accepted without a newer proof; 0 accepts them without end.
func WithKeyValidity(validity time.Duration) Option {
	return func(c *Catalog) { c.SetKeyValidity(validity) }
}

// SetKeyValidity sets the time for which keys are accepted without a newer proof; 0 accepts them without end.
func (c *Catalog) SetKeyValidity(validity time.Duration) { c.keyValidity.Store(int64(validity)) }

// WithBootClock sets the clock that also advances while the machine is suspended.
func WithBootClock(clock func() time.Duration) Option { return func(c *Catalog) { c.boot = clock } }

// WithEras sets the tracker of the store's eras. Without it, the process learns of a new era by its own reads only.
func WithEras(eras *era.Tracker) Option {
	return func(c *Catalog) { eras.Subscribe(c.noteRestore) }
}

// WithChanged sets a function that is called with each new version of the configuration. It must not block.
func WithChanged(changed func(*route.Table)) Option { return func(c *Catalog) { c.changed = changed } }

// WithListRead sets a function that is called with the boot time as of which the list of backend servers is known, each time that it
// advances. It must not block.
func WithListRead(read func(asOf time.Duration)) Option {
	return func(c *Catalog) { c.listRead = read }
}

// WithComplete sets a function that reports whether the reads of the configuration have left out nothing that goes with it, as they do when
// other processes passed on versions of it. If it returns false, the next read begins from the start.
func WithComplete(complete func() bool) Option {
	return func(c *Catalog) { c.complete = complete }
}

// New returns a Catalog and adds its goroutines to the supervisor.
func New(
	supervisor *suture.Supervisor, store apricotway.OperatorStore, servers Servers, options ...Option,
) *Catalog {
	c := &Catalog{
		store: store, servers: servers, logger: logr.Discard(), changed: func(*route.Table) {}, listRead: func(time.Duration) {},
		complete: func() bool { return true },
		boot:     boottime.Now, lapsed: map[apricotway.BackendServerID]bool{},
		entries: map[apricotway.BackendServerID]apricotway.Backend{}, removed: map[apricotway.BackendServerID]removal{},
		invalid: map[apricotway.BackendServerID]bool{}, refresh: make(chan struct{}, 1), refreshing: newListRefresh(),
	}
	c.SetKeyValidity(DefaultKeyValidity)

	proven := make(chan struct{})
	c.proven.Store(&proven)

	enacted := make(chan struct{})
	c.enacted.Store(&enacted)

	for _, option := range options {
		option(c)
	}

	supervisor.Add(apricotway.ServiceFunc{Name: "configuration", Func: func(ctx context.Context) error {
		return c.poll(ctx, "configuration", c.readDeployment, pause.For, func(time.Time) bool { return false })
	}})
	supervisor.Add(apricotway.ServiceFunc{Name: "list of backend servers", Func: func(ctx context.Context) error {
		return c.poll(ctx, "list of backend servers", c.readBackends(), c.pauseUnlessWanted, func(now time.Time) bool {
			return c.listWanted() || c.servers.Doubted(now)
		})
	}})

	supervisor.Add(apricotway.Periodic("entries of a restored list", restoreCheckPeriod, func(_ context.Context, now time.Time) {
		c.endRestore(now)
	}))

	supervisor.Add(apricotway.Periodic("age of the configuration", outdatedCheckPeriod, c.checkOutdated))

	if c.queries != nil {
		supervisor.Add(apricotway.Periodic("news of other processes", queryCheckPeriod, c.queryIfNeeded))
	}

	supervisor.Add(apricotway.ServiceFunc{Name: "proof of the configuration", Func: c.refreshOnRequest})

	return c
}

// refreshOnRequest gets a newer configuration that is known to exist, or a newer proof of the one in force, as after a suspension. It tries
// less and less often to get a version that the store doesn't have, as one that it has lost.
func (c *Catalog) refreshOnRequest(ctx context.Context) error {
	gap := minProofInterval

	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.refresh:
		}

		before := c.inForce()

		err := c.refreshOnce(ctx)
		if err != nil {
			c.logger.V(1).Info("failed to read the configuration for a newer proof", "event", 287, "error", err.Error())
		}

		// A failure may end at any time, and the next try may bring a further part.
		if err == nil && c.announced.since.Load() != 0 && c.inForce() == before {
			gap = min(2*gap, maxRefreshPause)
		} else {
			gap = minProofInterval
		}

		pause.For(ctx, gap)
	}
}

// refreshOnce asks other processes for a newer configuration before it reads the store: they tell what has changed, and the store only tells
// all of it.
func (c *Catalog) refreshOnce(ctx context.Context) error {
	if c.announced.since.Load() != 0 {
		err := c.fetchNewer(ctx)
		c.noteAttempt(err)

		if err == nil && c.keysProven() {
			return nil
		}
	}

	err := c.readConfiguration(ctx, 0)
	c.configFailing.Store(err != nil)

	return err
}

// requestRefresh requests another attempt to get a newer configuration or proof.
func (c *Catalog) requestRefresh() {
	select {
	case c.refresh <- struct{}{}:
	default:
	}
}

// recordProof records that the newest configuration was known at the boot time began, unless a newer proof is recorded. A read that
// found an older version than other processes know proves nothing: the store may have come back from an older copy.
func (c *Catalog) recordProof(began time.Duration) {
	if table := c.table.Load(); table != nil && table.Version < c.announcedVersion.Load() {
		return
	}

	for {
		known := c.provenAt.Load()
		if int64(began) <= known {
			return
		}

		if c.provenAt.CompareAndSwap(known, int64(began)) {
			next := make(chan struct{})
			close(*c.proven.Swap(&next))

			return
		}
	}
}

// Table returns the newest version of the configuration, nil if none is known yet.
func (c *Catalog) Table() *route.Table { return c.table.Load() }

// KeysFresh reports whether the configuration was proven to be the newest one within the key validity. The validity also runs out
// while the machine is suspended. If the proof is too old, KeysFresh requests a new one.
func (c *Catalog) KeysFresh() bool {
	if c.keysProven() {
		return true
	}

	c.requestRefresh()

	return false
}

// keysProven is like KeysFresh, but requests nothing.
func (c *Catalog) keysProven() bool {
	validity, proof := time.Duration(c.keyValidity.Load()), time.Duration(c.provenAt.Load())

	return validity <= 0 || proof != 0 && c.boot()-proof < validity
}

// AwaitKeys reports whether the configuration was proven to be the newest one within the key validity. If it was not, as after a
// suspension, AwaitKeys waits a little for a new proof unless the process can't get one at present.
func (c *Catalog) AwaitKeys(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, proofTimeout)
	defer cancel()

	for {
		proven := *c.proven.Load()

		if c.KeysFresh() {
			return true
		}

		if c.configFailing.Load() && !c.hasFreshNews() {
			return false
		}

		select {
		case <-proven:
		case <-ctx.Done():
			return false
		}
	}
}

// Ready reports whether the configuration and the list of backend servers are known, and calls can be decided by them.
func (c *Catalog) Ready() bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.listed && c.table.Load() != nil && !c.Outdated()
}

// poll repeats a read until the context ends, and pauses while another process passes on what it reads. The first read after such
// a pause starts from scratch, since the position of the last one is outdated. needed reports whether what another process passes on is not
// enough, and wait pauses until it may be.
func (c *Catalog) poll(
	ctx context.Context, name string, read func(ctx context.Context, fromScratch bool) error,
	wait func(ctx context.Context, d time.Duration) bool, needed func(now time.Time) bool,
) error {
	failures, outdated := 0, false

	for {
		if c.hasFreshNews() && !c.isReader.Load() && !needed(time.Now()) {
			if !wait(ctx, newsCheckPeriod) {
				return ctx.Err()
			}

			outdated = true

			continue
		}

		began := time.Now()

		err := read(ctx, outdated)
		if ctx.Err() != nil {
			return ctx.Err()
		}

		outdated = outdated && err != nil

		switch {
		case err != nil && failures == 0:
			c.logger.Info("reading the operators' store fails", "event", 281, "read", name, "error", err.Error())
		case err == nil && failures > 0:
			c.logger.Info("reading the operators' store works again", "event", 282, "read", name)
		}

		if err == nil {
			failures = 0
			continue
		}

		failures++

		pause.For(ctx, max(retryInterval(failures)-time.Since(began), retryPause))
	}
}

// retryInterval returns the time between two reads after a number of failures in a row.
func retryInterval(failures int) time.Duration {
	interval := retryPause
	for ; failures > quickRetries && interval < maxRetryInterval; failures-- {
		interval = min(2*interval, maxRetryInterval)
	}

	// The processes would otherwise read at the same moments.
	return interval - time.Duration(rand.Int64N(int64(interval)/4))
}

// readDeployment reads the configuration for poll. It never has to start from scratch, since the position is kept while others pass on news.
func (c *Catalog) readDeployment(ctx context.Context, _ bool) error {
	err := c.readConfiguration(ctx, c.configReadWait())
	c.recordRead(&c.configFailing, err == nil)

	if err == nil && c.table.Load() == nil {
		pause.For(ctx, retryPause)
	}

	return err
}

// readConfiguration reads the configuration after the known position, or the newest one if no position is known, and waits for a newer one
// up to the given time. The read may take long as long as it makes progress.
func (c *Catalog) readConfiguration(ctx context.Context, wait time.Duration) error {
	c.applying.Lock()
	from := c.read
	c.applying.Unlock()

	resume := from.known && c.complete()
	if !resume {
		wait = 0
	}

	ctx, cancel := context.WithTimeout(ctx, wait+transferTimeout)
	defer cancel()

	ctx, end := stall.WithLimit(ctx, wait+answerMargin, answerMargin)
	defer end()

	stall.OnProgress(ctx, func() { c.arriving.CompareAndSwap(0, int64(c.boot())) })
	defer c.arriving.Store(0)

	began := c.boot()

	var (
		deployment *apricotway.Deployment
		position   apricotway.StorePosition
		err        error
	)

	if resume {
		deployment, position, err = c.store.DeploymentAfter(ctx, from.position, wait)
		if err == nil && position.Era != from.position.Era {
			// The changes before the position may be others than those that were read.
			err = apricotway.ErrTrimmed
		}

		if err != nil {
			c.skipTo(from, position)
		}
	}

	if !resume || errors.Is(err, apricotway.ErrTrimmed) {
		deployment, position, err = c.store.Deployment(ctx)
	}

	if err == nil {
		err = c.apply(deployment, from, position)
	}

	c.noteAttempt(err)

	if err == nil {
		c.recordProof(began)
	}

	return err
}

// skipTo makes the next read begin after a configuration that can't be decoded, the position past which came with the error of a read.
func (c *Catalog) skipTo(from readState, position apricotway.StorePosition) {
	c.applying.Lock()
	defer c.applying.Unlock()

	if c.read == from && position.Offset > from.position.Offset && position.Era == from.position.Era {
		c.read.position = position
	}
}

// enactLocked puts a configuration in force. The caller holds c.applying.
func (c *Catalog) enactLocked(deployment *apricotway.Deployment) {
	table := route.New(deployment)
	c.table.Store(table)
	c.changed(table)
	c.noteInForce(table.Version)

	next := make(chan struct{})
	close(*c.enacted.Swap(&next))

	c.logger.Info("put a new configuration in force", "event", 283, "version", deployment.Version, "routes", len(deployment.Routes),
		"workspaces", len(deployment.Workspaces), "headerBytes", deployment.Limits.HeaderBytes, "bodyBytes", deployment.Limits.BodyBytes,
		"headerTimeout", deployment.Limits.HeaderTimeout, "idleTimeout", deployment.Limits.IdleTimeout)
}
