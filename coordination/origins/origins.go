// Package origins shares the origins of streams between processes through the operators' store, which outlives all of them: the software
// versions that are in service, and, while that are several, the version at which each stream began.
package origins

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"github.com/thejerf/suture/v4"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/coordination/era"
	"github.com/apricotway/apricotway/internal/boottime"
	"github.com/apricotway/apricotway/internal/pause"
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

	// minDirectInterval is the shortest time between two appends of a process that has no writer.
	minDirectInterval = 100 * time.Millisecond
	// appendShare is the share of the store's write calls that the appends of all processes take, and maxLogAppends bounds the appends per
	// second to one log, each of which takes the operators' stores 2 ms.
	appendShare   = 0.25
	maxLogAppends = 250
	// defaultWritesPerSecond is the smallest number of write calls that the operators' stores accept.
	defaultWritesPerSecond = 400
	// maxBeginnings bounds the beginnings in one append; 20 bytes each.
	maxBeginnings = 4000
	// callTimeout bounds one call of the store.
	callTimeout = time.Second
	// readLimit bounds the records of one read.
	readLimit = 10000
	// readPause is the pause after a read that failed, and the first one between two reads for a stream that they don't tell; the next ones are
	// longer.
	readPause = 50 * time.Millisecond
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
	// collector appends the beginnings of this process and of those for which it is the writer. writers is nil without other processes.
	collector *collector
	writers   *writers
	// direct is the time of the last append of this process beside its writer. Only appendPending uses it.
	direct time.Time

	// wake has an element when the reader has to read.
	wake chan struct{}

	mu sync.Mutex
	// waiting counts the calls that wait for reads.
	waiting int
	// reads counts the reads that began. done is the last one that succeeded, and wanted the last one that calls wait for. ended is closed
	// and replaced when a read ends.
	reads, done, wanted int
	ended               chan struct{}
	// appended is closed and replaced when an append ends. appendFailed is set while the last append failed.
	appended     chan struct{}
	appendFailed bool
	// next holds the offsets to read from next.
	next [logs]apricotway.Offset
}

// Metrics counts what is shared.
type Metrics interface {
	// OriginFound counts a lookup of the origin of a stream by its evidence.
	OriginFound(evidence origin.Evidence)
	// OriginsWritten counts beginnings that were written to the store, and records how long the oldest of them waited at most.
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
			o.mu.Lock()
			o.next = [logs]apricotway.Offset{}
			o.mu.Unlock()

			o.register.Republish(time.Now())
		})
	}
}

// New returns Origins and adds its goroutines to the supervisor.
func New(supervisor *suture.Supervisor, register *origin.Register, store Store, list List, options ...Option) *Origins {
	o := &Origins{
		register: register, store: store, list: list, logger: logr.Discard(), metrics: noMetrics{}, unknown: func(string) {}, members: func() int { return 1 },
		writesPerSecond: defaultWritesPerSecond, boot: boottime.Now, wake: make(chan struct{}, 1), ended: make(chan struct{}), log: rand.IntN(logs),
		appended: make(chan struct{}),
	}
	o.collector = &collector{write: o.append, interval: o.writerInterval, wake: make(chan struct{}, 1)}

	for _, option := range options {
		option(o)
	}

	register.AwaitHistory()

	supervisor.Add(apricotway.ServiceFunc{Name: "origins of streams", Func: o.appendPending})
	supervisor.Add(apricotway.Periodic("origins of streams of the only version", backgroundInterval, o.appendDeferred))
	supervisor.Add(apricotway.ServiceFunc{Name: "origins of streams of all processes", Func: o.collector.run})
	supervisor.Add(apricotway.ServiceFunc{Name: "origins of other processes", Func: o.readOnRequest})

	if o.copies != nil {
		supervisor.Add(apricotway.ServiceFunc{Name: "copies of the origins of streams", Func: o.copies.share})
		supervisor.Add(apricotway.Periodic("copies that were not written", minCopyInterval, o.takeOver))
	}

	o.versions = &versions{register: register, store: store, logger: o.logger}
	supervisor.Add(apricotway.ServiceFunc{Name: "software versions in service", Func: o.versions.share})

	return o
}

// Expect records that a call is sent to a server which may begin the stream of an attempt.
func (o *Origins) Expect(now time.Time, attempt apricotway.AttemptID, server apricotway.Backend) {
	o.register.Expect(now, origin.StreamOf(attempt), server)
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
	began, readsBefore := o.boot(), o.readsDone()
	found, evidence := o.find(ctx, service, attempt)
	o.metrics.OriginFound(evidence)

	source, doubt := o.register.Account(origin.StreamOf(attempt))
	versions, history := o.register.InService(time.Now(), service)
	o.logger.Info("looked up where a stream began", "event", 387, "resumes", attempt, "service", service, "evidence", evidence,
		"source", source, "doubt", doubt, "known", found.Known(), "version", found.Version(), "took", o.boot()-began,
		"listAge", o.boot()-o.register.Listed(), "versions", versions, "history", history, "read", o.readsDone() > readsBefore)

	return found
}

func (o *Origins) find(
	ctx context.Context, service apricotway.Service, attempt apricotway.AttemptID,
) (origin.Origin, origin.Evidence) {
	stream, since := origin.StreamOf(attempt), o.boot()
	look := func() (origin.Origin, origin.Evidence) { return o.register.Find(time.Now(), since, service, stream) }

	found, evidence := look()
	if evidence == origin.EvidenceRecord && !found.IsUnsettled() || evidence == origin.EvidenceNone && attempt == "" {
		return found, evidence
	}

	// While several versions serve, a newer list tells nothing more.
	if evidence == origin.EvidenceOutdated {
		o.list.RefreshList(since)
	}

	if found, evidence = o.awaitRecord(ctx, look); evidence != origin.EvidenceOutdated {
		return found, evidence
	}

	o.list.RefreshList(since)

	ctx, cancel := context.WithTimeout(ctx, listTimeout-(o.boot()-since))
	defer cancel()

	if err := o.list.AwaitList(ctx, since); err != nil {
		o.logger.V(1).Info("the list of backend servers is too old to tell where a stream began", "event", 388, "error", err.Error())
	}

	return look()
}

// awaitRecord reads what other processes recorded until that tells the origin of a stream, as look returns it. A process that has seen a second
// version has recorded the stream; what it has just begun is in the store soon.
func (o *Origins) awaitRecord(
	ctx context.Context, look func() (origin.Origin, origin.Evidence),
) (origin.Origin, origin.Evidence) {
	ctx, cancel := context.WithTimeout(ctx, max(2*o.appendInterval(), confirmTimeout))
	defer cancel()

	for wait := readPause; o.awaitRead(ctx) == nil; wait *= 2 {
		found, evidence := look()
		if evidence == origin.EvidenceRecord && !found.IsUnsettled() || evidence == origin.EvidenceOnlyVersion {
			return found, evidence
		}

		if !pause.For(ctx, wait) {
			break
		}
	}

	return look()
}

// readsDone returns the number of the last read of the logs that succeeded.
func (o *Origins) readsDone() int {
	o.mu.Lock()
	defer o.mu.Unlock()

	return o.done
}

// awaitRead waits until a read of the logs that begins after this call has ended.
func (o *Origins) awaitRead(ctx context.Context) error {
	o.mu.Lock()
	o.waiting++
	wanted := o.reads + 1
	o.wanted = max(o.wanted, wanted)
	o.mu.Unlock()

	defer func() {
		o.mu.Lock()
		o.waiting--
		o.mu.Unlock()
	}()

	select {
	case o.wake <- struct{}{}:
	default:
	}

	for {
		o.mu.Lock()
		done, ended := o.done, o.ended
		o.mu.Unlock()

		if done >= wanted {
			return nil
		}

		select {
		case <-ended:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// readOnRequest reads the logs while calls wait for it, until the context ends.
func (o *Origins) readOnRequest(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-o.wake:
		}

		o.mu.Lock()
		o.reads++
		read := o.reads
		o.mu.Unlock()

		err := o.readAll(ctx)
		if err != nil {
			o.logger.V(1).Info("failed to read the origins of streams", "event", 375, "error", err.Error())
			pause.For(ctx, readPause)
		}

		o.mu.Lock()
		if err == nil {
			o.done = read
		}

		// Calls that began to wait during the read need another one.
		again := o.waiting > 0 && o.wanted > o.done

		close(o.ended)
		o.ended = make(chan struct{})
		o.mu.Unlock()

		if again {
			select {
			case o.wake <- struct{}{}:
			default:
			}
		}
	}
}

// readAll reads the logs to their ends, and the versions that other processes saw: one may have joined and left while this process was cut
// off.
func (o *Origins) readAll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()

	var results [logs + 1]error

	var group sync.WaitGroup

	for log := range logs {
		group.Go(func() { results[log] = o.readLog(ctx, log) })
	}

	group.Go(func() { results[logs] = o.versions.readHistory(ctx) })
	group.Wait()

	return cmp.Or(results[:]...)
}

func (o *Origins) readLog(ctx context.Context, log int) error {
	for {
		o.mu.Lock()
		from := o.next[log]
		o.mu.Unlock()

		batch, err := o.store.Read(ctx, streamOf(log), max(from, 1), readLimit, 0)
		if errors.Is(err, apricotway.ErrTrimmed) && batch.Oldest != from {
			o.advance(log, from, batch.Oldest)
			continue
		}

		if err != nil {
			return errors.Wrap(err, "read the origins of streams")
		}

		o.learn(batch.Records)
		o.advance(log, from, batch.Next)

		if len(batch.Records) == 0 {
			return nil
		}
	}
}

// advance sets the offset to read from next, unless the store has come back from an older copy meanwhile.
func (o *Origins) advance(log int, from, next apricotway.Offset) {
	o.mu.Lock()
	defer o.mu.Unlock()

	if o.next[log] == from {
		o.next[log] = next
	}
}

func (o *Origins) learn(records []apricotway.StoredRecord) {
	now := time.Now()

	for _, record := range records {
		var payload beginnings
		if record.Kind != kindBeginnings || record.SchemaVersion != schemaVersion || json.Unmarshal(record.Payload, &payload) != nil {
			o.logger.V(1).Info("ignored a record of the origins of streams", "event", 376, "offset", record.Offset, "kind", record.Kind)
			o.unknown(fmt.Sprintf("%s %d", record.Kind, record.SchemaVersion))

			continue
		}

		if now.Sub(payload.At) > o.register.Lifetime() {
			continue
		}

		told := make([]origin.Beginning, 0, len(payload.Streams))

		for _, text := range payload.Streams {
			stream, err := strconv.ParseUint(text, hexadecimal, 64)
			if err != nil {
				continue
			}

			told = append(told, origin.Beginning{
				Stream: origin.Stream(stream), Service: payload.Service, Version: payload.Version, Uncertain: payload.Uncertain,
				Outage: payload.Uncertain && payload.Outage, Proven: !payload.Uncertain && payload.Proven,
			})
		}

		o.register.Learn(now, told)
	}
}
