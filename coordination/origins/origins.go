// Package origins shares the origins of streams between processes through the operators' store, which outlives all of them: the software
// versions that are in service, and the version at which each stream began.
package origins

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/thejerf/suture/v4"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/coordination/era"
	"github.com/apricotway/apricotway/internal/boottime"
	"github.com/apricotway/apricotway/state/origin"
)

const (
	// streamPrefix begins the names of the logs with the beginnings of streams, and logs is their number. Each process appends to one of
	// them and reads all: a log takes its appends one at a time.
	streamPrefix = "origins-"
	logs         = 4
	// kindBeginnings is the kind of their records.
	kindBeginnings = "beginnings"
	schemaVersion  = 1

	// minDirectInterval is the shortest time between two appends of a process that has no writer, and minDeferredInterval that for beginnings which
	// no other process has to know at once.
	minDirectInterval   = 100 * time.Millisecond
	minDeferredInterval = 2 * time.Second
	// appendShare is the share of the store's write calls that the appends of all processes take, and maxLogAppends bounds the appends per
	// second to one log, each of which takes the operators' stores 2 ms.
	appendShare   = 0.25
	maxLogAppends = 250
	// defaultWritesPerSecond is the smallest number of write calls that the operators' stores accept.
	defaultWritesPerSecond = 400
	// maxBeginnings bounds the beginnings in one append; 20 bytes each.
	maxBeginnings = 4000
	// callTimeout bounds one call of the store, or the time in it without progress.
	callTimeout = time.Second
	// confirmTimeout bounds the wait for a record of a stream, if two appends don't take longer.
	confirmTimeout = 300 * time.Millisecond
	// listTimeout bounds the wait for a list of backend servers that is newer than the stream.
	listTimeout = time.Second
	// freshAge is the age of the list up to which a stream goes on by it, and refreshTimeout bounds the wait for a newer one.
	freshAge       = time.Second
	refreshTimeout = 300 * time.Millisecond
	// awayAge is the age of the list from which one that can't be refreshed within refreshTimeout shows that the store is away. Other
	// processes pass on lists of up to 1.5 s.
	awayAge = 1500 * time.Millisecond
	// retryPause is the pause after an append that failed.
	retryPause = 250 * time.Millisecond
)

// Store is the part of the operators' store that keeps origins.
type Store interface {
	apricotway.Log
	versionStore
}

// List is the list of backend servers that the register is told.
type List interface {
	// RefreshList makes the process read the list at once if it is not known as of the boot time.
	RefreshList(since time.Duration)
	// AwaitList waits until the list is known as of the boot time or later.
	AwaitList(ctx context.Context, since time.Duration) error
}

// Origins shares the origins of streams. It is safe for concurrent use.
type Origins struct {
	register *origin.Register
	store    Store
	list     List
	// copies is nil if no other process holds copies of the beginnings.
	copies  *copies
	logger  logr.Logger
	metrics Metrics
	// unknown is called for each record of a kind or schema version that this build does not know.
	unknown func(kind string)
	// members returns the number of processes that share the store.
	members         func() int
	writesPerSecond float64
	// boot reads a clock that also advances while the machine is suspended.
	boot func() time.Duration
	// log is the log that this process appends to.
	log      int
	versions *versions
	reader   *reader
	// collector appends the beginnings of this process and of those for which it is the writer. writers is nil without other processes.
	collector *collector
	writers   *writers
	// directAt is the time of the last append of this process beside its writer, and deferredAt that of deferred beginnings. Only appendPending
	// uses directAt, and only appendDeferred uses deferredAt.
	directAt, deferredAt time.Time

	mu sync.Mutex
	// appended is closed and replaced when an append ends. appendFailed is set while the last append failed.
	appended     chan struct{}
	appendFailed bool
}

// Metrics counts what is shared.
type Metrics interface {
	// OriginFound counts a lookup of the origin of a stream by its evidence.
	OriginFound(evidence origin.Evidence)
	// OriginsWritten counts beginnings that were written to the store at once, and records the time that this took.
	OriginsWritten(count int, waited time.Duration)
}

type noMetrics struct{}

func (noMetrics) OriginFound(origin.Evidence)       {}
func (noMetrics) OriginsWritten(int, time.Duration) {}

// Option configures Origins in New.
type Option func(*Origins)

// WithLogger sets the logger.
func WithLogger(logger logr.Logger) Option { return func(o *Origins) { o.logger = logger } }

// WithMetrics sets the recorder of counts.
func WithMetrics(metrics Metrics) Option { return func(o *Origins) { o.metrics = metrics } }

// WithUnknown sets the function that is called for each record of a kind or schema version that this build does not know.
func WithUnknown(unknown func(kind string)) Option { return func(o *Origins) { o.unknown = unknown } }

// WithMembers sets the function that returns the number of processes, which share the store's write calls.
func WithMembers(members func() int) Option { return func(o *Origins) { o.members = members } }

// WithWriteRate sets the number of write calls per second that the store accepts from all processes, if that is more than the least that any
// store accepts.
func WithWriteRate(perSecond float64) Option {
	return func(o *Origins) { o.writesPerSecond = max(perSecond, defaultWritesPerSecond) }
}

// WithEras makes the process write again what the store lost when it came back from an older copy.
func WithEras(eras *era.Tracker) Option {
	return func(o *Origins) {
		eras.Subscribe(func() {
			o.reader.reset()
			o.register.Republish(time.Now())
		})
	}
}

// New returns Origins and adds its goroutines to the supervisor.
func New(supervisor *suture.Supervisor, register *origin.Register, store Store, list List, options ...Option) *Origins {
	o := &Origins{
		register: register, store: store, list: list, logger: logr.Discard(), metrics: noMetrics{}, unknown: func(string) {}, members: func() int { return 1 },
		writesPerSecond: defaultWritesPerSecond, boot: boottime.Now, log: rand.IntN(logs),
		appended: make(chan struct{}),
	}
	o.collector = &collector{write: o.append, interval: o.writerInterval, wake: make(chan struct{}, 1)}
	o.versions = &versions{register: register, store: store}
	o.reader = newReader(register, store, o.versions.readHistory, o.endsInterval, o.olderInterval)

	for _, option := range options {
		option(o)
	}

	o.versions.logger, o.versions.started = o.logger, o.reader.start
	o.reader.logger, o.reader.unknown = o.logger, o.unknown

	register.AwaitHistory()

	supervisor.Add(apricotway.ServiceFunc{Name: "origins of streams", Func: o.appendPending})
	supervisor.Add(apricotway.Periodic("origins of streams of the only version", deferredInterval, o.appendDeferred))
	supervisor.Add(apricotway.ServiceFunc{Name: "origins of streams of all processes", Func: o.collector.run})
	supervisor.Add(apricotway.ServiceFunc{Name: "origins of other processes", Func: o.reader.serve})

	if o.copies != nil {
		supervisor.Add(apricotway.ServiceFunc{Name: "copies of the origins of streams", Func: o.copies.share})
		supervisor.Add(apricotway.Periodic("copies that were not written", minCopyInterval, o.takeOver))
	}

	supervisor.Add(apricotway.ServiceFunc{Name: "software versions in service", Func: o.versions.share})

	return o
}

// Began records that a server sent the first event of the stream that an attempt began. It returns whether other processes know it.
func (o *Origins) Began(now time.Time, attempt apricotway.AttemptID, server apricotway.Backend) origin.Sharing {
	sharing := o.register.Begin(now, origin.StreamOf(attempt), server)
	o.logger.Info("recorded where a stream began", "event", 413, "attempt", attempt, "service", server.Service, "server", server.ID,
		"version", server.Version, "sharing", sharing)

	return sharing
}

// Await makes sure that the list of backend servers is known as of now, before a stream goes on at another server. If it can't be read in
// time, the register takes the store for away.
func (o *Origins) Await(ctx context.Context) {
	since := o.boot()
	if since-o.register.Listed() <= freshAge {
		return
	}

	o.list.RefreshList(since)

	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()

	// A wait that only takes long, as on a busy host, is no sign of an outage.
	if o.list.AwaitList(ctx, since) != nil && (ctx.Err() == nil || o.boot()-o.register.Listed() > awayAge) {
		o.register.SetAway()
	}
}

// Recorded returns the origin of a stream that this process has recorded, as far as it knows now.
func (o *Origins) Recorded(attempt apricotway.AttemptID) (origin.Origin, bool) {
	return o.register.Recorded(origin.StreamOf(attempt))
}

// Find returns the origin of the stream that an attempt of another call began. An empty attempt means that the caller doesn't name it.
func (o *Origins) Find(ctx context.Context, service apricotway.Service, attempt apricotway.AttemptID) origin.Origin {
	began := o.boot()
	readsBefore, _ := o.reader.lastRead()
	found, evidence := o.find(ctx, service, attempt)
	o.metrics.OriginFound(evidence)

	source, doubt := o.register.Account(origin.StreamOf(attempt))
	versions, history := o.register.InService(time.Now(), service)
	reads, complete := o.reader.lastRead()
	o.logger.Info("looked up where a stream began", "event", 387, "resumes", attempt, "service", service, "evidence", evidence,
		"source", source, "doubt", doubt, "known", found.Known(), "version", found.Version(), "took", o.boot()-began,
		"listAge", o.boot()-o.register.Listed(), "versions", versions, "history", history, "read", complete && reads > readsBefore)

	return found
}

func (o *Origins) find(
	ctx context.Context, service apricotway.Service, attempt apricotway.AttemptID,
) (origin.Origin, origin.Evidence) {
	stream, since := origin.StreamOf(attempt), o.boot()
	look := func() (origin.Origin, origin.Evidence) { return o.register.Find(time.Now(), since, service, stream) }

	found, evidence := o.reader.lookCovered(stream, orderTolerance, look)
	if evidence == origin.EvidenceRecord && !found.IsUnsettled() || evidence == origin.EvidenceNone && attempt == "" {
		return found, evidence
	}

	// While several versions serve, a newer list tells nothing more.
	if evidence == origin.EvidenceOutdated {
		o.list.RefreshList(since)
	}

	// A process that has seen a second version has recorded the stream.
	found, evidence = o.reader.find(ctx, stream, max(2*o.appendInterval(), confirmTimeout), look)
	if evidence != origin.EvidenceOutdated {
		return found, evidence
	}

	o.list.RefreshList(since)

	ctx, cancel := context.WithTimeout(ctx, listTimeout-(o.boot()-since))
	defer cancel()

	if err := o.list.AwaitList(ctx, since); err != nil {
		o.logger.V(1).Info("the list of backend servers is too old to tell where a stream began", "event", 388, "error", err.Error())
	}

	return o.reader.lookCovered(stream, leastTolerance, look)
}

// endsInterval returns the shortest time between two reads of the ends of the logs.
func (o *Origins) endsInterval() time.Duration { return max(o.appendInterval()/endsShare, readPause) }

// olderInterval returns the mean time between two pages of older records while no call waits for them.
func (o *Origins) olderInterval() time.Duration {
	shared := logs * pageBytes * float64(o.members()) / backgroundBytes
	return max(backgroundInterval, time.Duration(shared*float64(time.Second)))
}
