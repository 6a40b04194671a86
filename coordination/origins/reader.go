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

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/internal/stall"
	"github.com/apricotway/apricotway/state/origin"
)

const (
	// readLimit bounds the records of one read, and pageBytes the estimated size of the records that a read of older ones asks for. A response
	// of the operators' stores has 64 KB at most; what doesn't fit takes another read.
	readLimit = 10000
	pageBytes = 56 << 10
	// envelopeBytes is the size of a stored record without its payload.
	envelopeBytes = 100
	// assumedRecordBytes is the size of a record before one has been read.
	assumedRecordBytes = 300
	// maxPageTime bounds one read that makes progress; without any it ends after callTimeout. The pages of the four logs take 0.2 s of a free link
	// of 10 Mbit/s, but links are shared with the calls.
	maxPageTime = 4 * time.Second
	// probeAge is the age of the last read of the end of a log from which the next one asks for one record only, since a whole page of older
	// records would delay the newest.
	probeAge = 2 * time.Second
	// maxTrims bounds the reads from offsets that the store has trimmed meanwhile, one after the other.
	maxTrims = 16
	// readPause is the pause after a read that failed, the shortest time between two reads of the ends of the logs, and the first pause between
	// two reads for a stream that they don't tell; the next ones are longer.
	readPause = 50 * time.Millisecond
	// endsShare is the number of reads of the ends of the logs in the time between two appends of one process, at most.
	endsShare = 4
	// maxRecordWait bounds the wait for a record of a stream while reading makes progress.
	maxRecordWait = time.Second
	// maxStartDelay is the longest random delay of the first read of a process, since many may start at once.
	maxStartDelay = 250 * time.Millisecond
	// backgroundInterval is the shortest mean time between two pages of each log while no call waits for them, and backgroundBytes bounds what
	// all processes together read so a second: half of the 80 MB of the operators' stores. retryReadPause is the pause after such a read has
	// failed.
	backgroundInterval = 250 * time.Millisecond
	backgroundBytes    = 40e6
	retryReadPause     = time.Second
	// orderTolerance bounds how much later than the records behind it a record in a log, or in two logs, may claim to be written: clocks differ,
	// and an append takes up to callTimeout. leastTolerance is enough for one append that is repeated, if the clocks agree.
	orderTolerance = origin.ClockTolerance + callTimeout
	leastTolerance = 2 * time.Second
)

// errShortened reports a log that ends before an offset that it had reached.
var errShortened = errors.New("the log is shorter than before")

// reader reads the logs with the beginnings of streams, the newest records first: most streams that callers take up began seconds ago, and all
// records that the store keeps may take a slow host longer than a caller waits. It is safe for concurrent use.
type reader struct {
	register *origin.Register
	store    apricotway.Log
	// readHistory reads the software versions that other processes saw: one may have joined and left while this process was cut off.
	readHistory func(ctx context.Context) error
	logger      logr.Logger
	unknown     func(kind string)
	// endsInterval returns the shortest time between two reads of the ends of the logs, and olderInterval the mean time between two pages of older
	// records while no call waits for them.
	endsInterval, olderInterval func() time.Duration

	// wake has an element when there may be something to read.
	wake chan struct{}

	mu   sync.Mutex
	logs [logs]logPosition
	// generation counts the calls of reset. What was read in an earlier one tells nothing about offsets.
	generation int
	// lifetime is that of the register when reading began, and outdated is set once records were passed over that were older.
	lifetime time.Duration
	outdated bool
	// waiting counts the calls that wait for reads.
	waiting int
	// begun counts the reads of the ends of all logs. done is the last one that succeeded, wanted the last one that is asked for, and endsRead
	// the time at which the last one began.
	begun, done, wanted int
	endsRead            time.Time
	// started is the time of the first read; zero once the logs have been read, so that it is reported once. records counts what was read.
	started time.Time
	records int
	// progressed is the time of the last read that succeeded, and changed is closed and replaced when a read ends.
	progressed time.Time
	changed    chan struct{}
	// recorded holds the earliest times of the records of streams that were read while older ones had not been; empty once all have.
	recorded map[origin.Stream]time.Time
}

// logPosition tells which records of a log have been read.
type logPosition struct {
	// end is the offset after the newest record; 0 while it isn't known.
	end apricotway.Offset
	// gaps are the parts before end that have not been read, in ascending order. None of them is empty.
	gaps []gap
	// recordBytes is the mean size of the records that were read last; 0 before.
	recordBytes int
	// trims counts the reads of trimmed offsets since the last one that succeeded.
	trims int
}

// gap is a part of a log that has not been read.
type gap struct {
	from, to apricotway.Offset
	// before is the time of the record at to; zero if that isn't known. Those in the gap are older, except for orderTolerance.
	before time.Time
}

func newReader(
	register *origin.Register, store apricotway.Log, readHistory func(context.Context) error, endsInterval, olderInterval func() time.Duration,
) *reader {
	return &reader{
		register: register, store: store, readHistory: readHistory, logger: logr.Discard(), unknown: func(string) {}, endsInterval: endsInterval,
		olderInterval: olderInterval, wake: make(chan struct{}, 1), changed: make(chan struct{}), recorded: map[origin.Stream]time.Time{},
	}
}

// reset makes the reader read all records again, since the offsets belong to an earlier era of the store.
func (r *reader) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.resetLocked()
}

func (r *reader) resetLocked() {
	r.logs = [logs]logPosition{}
	r.generation++
	r.outdated = false

	if r.waiting > 0 {
		r.requestLocked()
	}
}

// request asks for a read of the ends of the logs, and returns its number.
func (r *reader) request() int {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.requestLocked()
}

func (r *reader) requestLocked() int {
	r.wanted = max(r.wanted, r.begun+1)

	select {
	case r.wake <- struct{}{}:
	default:
	}

	return r.begun + 1
}

// start begins to read after a random delay, before the first call waits for a stream.
func (r *reader) start() {
	time.AfterFunc(rand.N(maxStartDelay), func() {
		r.mu.Lock()
		defer r.mu.Unlock()

		if r.begun == 0 {
			r.requestLocked()
		}
	})
}

// lastRead returns the number of the last read of the ends of the logs that succeeded, and whether all before them has been read too.
func (r *reader) lastRead() (read int, complete bool) {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.done, r.completeLocked()
}

func (r *reader) completeLocked() bool {
	for _, p := range r.logs {
		if p.end == 0 || len(p.gaps) > 0 {
			return false
		}
	}

	return true
}

// find returns the origin of a stream as look does. If that is not known, it reads until the records tell it, but no longer than a time, or than
// maxRecordWait while the logs have not been read and reading makes progress. What a process has just begun is in the store soon.
func (r *reader) find(
	ctx context.Context, stream origin.Stream, wait time.Duration, look func() (origin.Origin, origin.Evidence),
) (origin.Origin, origin.Evidence) {
	began := time.Now()
	wanted := r.enter()

	defer r.leave()

	deadline := time.NewTimer(wait)
	defer deadline.Stop()

	for pauseTime, readWhole := readPause, false; ; {
		s := r.stateFor(wanted)
		readWhole = readWhole || s.complete

		if s.read {
			found, evidence := r.lookCovered(stream, orderTolerance, look)
			if evidence == origin.EvidenceRecord && !found.IsUnsettled() || s.complete && evidence == origin.EvidenceOnlyVersion {
				return found, evidence
			}
		}

		var again <-chan time.Time
		if s.complete {
			again, s.changed = time.After(pauseTime), nil
		}

		select {
		case <-s.changed:
		case <-again:
			pauseTime *= 2
			wanted = r.request()
		case <-ctx.Done():
			return r.lookCovered(stream, leastTolerance, look)
		case <-deadline.C:
			found, evidence := r.lookCovered(stream, leastTolerance, look)

			rest := min(maxRecordWait-time.Since(began), confirmTimeout-time.Since(s.progressed))
			if readWhole || rest <= 0 || evidence == origin.EvidenceOutdated {
				return found, evidence
			}

			deadline.Reset(rest)
		}
	}
}

// lookCovered returns the origin of a stream as look does, unless that rests on a record and the logs have not been read back to its time, less
// a tolerance: a doubt about the stream may be in another log than the record of its beginning.
func (r *reader) lookCovered(
	stream origin.Stream, tolerance time.Duration, look func() (origin.Origin, origin.Evidence),
) (origin.Origin, origin.Evidence) {
	// The lock keeps the record uncovered until what was read beside it has been learned.
	r.mu.Lock()
	defer r.mu.Unlock()

	found, evidence := look()
	if evidence == origin.EvidenceRecord && !r.coveredLocked(stream, tolerance) {
		return origin.Unknown(), origin.EvidenceNone
	}

	return found, evidence
}

// enter notes that a call waits for reads and returns the number of the read of the ends of the logs that it needs.
func (r *reader) enter() int {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.waiting++

	return r.requestLocked()
}

func (r *reader) leave() {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.waiting--
}

// readState tells a call how far the logs have been read.
type readState struct {
	// read is set if the ends of the logs have been read since the call began, and complete if all before them has been read too.
	read, complete bool
	progressed     time.Time
	// changed is closed when that may have changed.
	changed chan struct{}
}

func (r *reader) stateFor(wanted int) readState {
	r.mu.Lock()
	defer r.mu.Unlock()

	read := r.done >= wanted

	return readState{read: read, complete: read && r.completeLocked(), progressed: r.progressed, changed: r.changed}
}

// coveredLocked reports whether the logs have been read back to the time of the record of a stream, less a tolerance.
func (r *reader) coveredLocked(stream origin.Stream, tolerance time.Duration) bool {
	recorded, ok := r.recorded[stream]
	if !ok {
		return true
	}

	since := recorded.Add(-tolerance)

	for _, p := range r.logs {
		if p.end == 0 {
			return false
		}

		if last := len(p.gaps) - 1; last >= 0 && (p.gaps[last].before.IsZero() || p.gaps[last].before.After(since)) {
			return false
		}
	}

	return true
}

// serve reads until the context ends.
func (r *reader) serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.wake:
		}

		for r.readOnce(ctx) {
			if ctx.Err() != nil {
				return ctx.Err()
			}
		}
	}
}

// readOnce reads the ends of the logs, if that is asked for, and one page of the older records of each. It reports whether there may be more
// to read.
func (r *reader) readOnce(ctx context.Context) bool {
	began := time.Now()
	ends, rest, older := r.plan()

	var err error

	switch {
	case ends && rest <= 0:
		err = r.readEnds(ctx)
	case older:
	case ends:
		r.pause(ctx, rest, false)
		return true
	default:
		return false
	}

	err = cmp.Or(r.readOlder(ctx), err)
	if err != nil {
		r.logger.V(1).Info("failed to read the origins of streams", "event", 375, "error", err.Error())
	}

	r.mu.Lock()
	waiting := r.waiting > 0
	more := r.wanted > r.done || !r.completeLocked()

	if r.completeLocked() {
		clear(r.recorded)
	}

	r.mu.Unlock()

	switch {
	case !more:
		r.report()
	case waiting && err != nil:
		r.pause(ctx, readPause, false)
	case err != nil:
		r.pause(ctx, retryReadPause, true)
	case !waiting:
		r.pause(ctx, rand.N(2*r.olderInterval())-time.Since(began), true)
	}

	return more
}

// pause waits for a time, or until a call waits for a read if wakes is set.
func (r *reader) pause(ctx context.Context, duration time.Duration, wakes bool) {
	timer := time.NewTimer(duration)
	defer timer.Stop()

	var wake <-chan struct{}
	if wakes {
		wake = r.wake
	}

	select {
	case <-timer.C:
	case <-wake:
	case <-ctx.Done():
	}
}

// plan reports whether a read of the ends of the logs is asked for, the time until it may begin, and whether older records are left to read.
func (r *reader) plan() (ends bool, rest time.Duration, older bool) {
	r.mu.Lock()
	defer r.mu.Unlock()

	lifetime := r.register.Lifetime()
	if lifetime > r.lifetime && r.outdated {
		// Records that were passed over as too old may be needed.
		r.resetLocked()
		r.requestLocked()
	}

	r.lifetime = lifetime

	for i := range r.logs {
		p := &r.logs[i]
		for len(p.gaps) > 0 && !p.gaps[0].before.IsZero() && time.Since(p.gaps[0].before) > lifetime+orderTolerance {
			p.gaps = p.gaps[1:]
			r.outdated = true
		}

		older = older || len(p.gaps) > 0
	}

	if r.started.IsZero() && r.begun == 0 {
		r.started = time.Now()
	}

	return r.wanted > r.done, r.endsInterval() - time.Since(r.endsRead), older
}

// report logs once that a process has read all that others recorded before its start.
func (r *reader) report() {
	r.mu.Lock()
	started, records := r.started, r.records
	r.started = time.Time{}
	r.mu.Unlock()

	if !started.IsZero() {
		r.logger.Info("read where streams of other processes began", "event", 419, "records", records, "took", time.Since(started))
	}
}

// readEnds reads what was appended to the logs since their ends were read last, and the versions that other processes saw.
func (r *reader) readEnds(ctx context.Context) error {
	r.mu.Lock()
	r.begun++
	read, generation := r.begun, r.generation
	sinceLast := time.Since(r.endsRead)
	r.endsRead = time.Now()
	r.mu.Unlock()

	var (
		results [logs + 1]error
		group   sync.WaitGroup
	)

	for log := range logs {
		group.Go(func() { results[log] = r.readEnd(ctx, log, generation, sinceLast > probeAge) })
	}

	group.Go(func() { results[logs] = r.readHistory(ctx) })
	group.Wait()

	err := cmp.Or(results[:]...)

	r.mu.Lock()
	defer r.mu.Unlock()

	if err == nil && generation == r.generation {
		r.done = read
	}

	r.notifyLocked(err == nil)

	return err
}

func (r *reader) notifyLocked(progress bool) {
	if progress {
		r.progressed = time.Now()
	}

	close(r.changed)
	r.changed = make(chan struct{})
}

// readEnd reads the records of one log from its known end on. If that is no longer the last page, it leaves the rest to readOlder.
func (r *reader) readEnd(ctx context.Context, log, generation int, probe bool) error {
	r.mu.Lock()
	end := r.logs[log].end
	r.mu.Unlock()

	limit := readLimit
	if probe || end == 0 {
		limit = 1
	}

	from := max(end, 1)

	// The oldest record may be trimmed before it is read, so that each repetition begins farther behind it.
	for trims, margin := 0, apricotway.Offset(0); ; {
		batch, err := r.read(ctx, log, from, limit)

		if err == nil && batch.End > 0 && batch.End < from {
			err = errors.Wrapf(apricotway.ErrTrimmed, "the log ends at %d", batch.End)
		}

		switch {
		case errors.Is(err, apricotway.ErrTrimmed) && trims < maxTrims:
			trims, limit = trims+1, 1

			r.cut(log, generation, from, batch.Oldest)

			if batch.Oldest > from {
				from, margin = batch.Oldest+margin, max(2*margin, 8)
			} else {
				from, margin = max(batch.Oldest, 1), margin/4
			}
		case err != nil:
			return err
		default:
			if !r.addEnd(log, generation, from, batch.Batch) {
				return nil
			}

			from, limit = batch.Next, readLimit
		}
	}
}

// cut takes over that a log begins at an offset, as the answer to a read from another one tells. If it is a smaller one, the log ends before
// that read began.
func (r *reader) cut(log, generation int, from, oldest apricotway.Offset) {
	r.mu.Lock()
	defer r.mu.Unlock()

	p := &r.logs[log]

	switch {
	case generation != r.generation:
	case oldest <= from && p.end >= from:
		r.shortenedLocked(log)
	default:
		for len(p.gaps) > 0 && p.gaps[0].from < oldest {
			p.gaps[0].from = min(oldest, p.gaps[0].to)
			if p.gaps[0].from == p.gaps[0].to {
				p.gaps = p.gaps[1:]
			}
		}
	}
}

// shortenedLocked makes the reader read a log again that ends before its known end.
func (r *reader) shortenedLocked(log int) {
	r.logs[log] = logPosition{}
	r.requestLocked()
}

// addEnd takes over a read from the end of a log, or from behind it if the records in between have been trimmed. It reports whether the service
// doesn't tell the end and may have more records.
func (r *reader) addEnd(log, generation int, from apricotway.Offset, batch apricotway.Batch) (more bool) {
	r.mu.Lock()
	defer r.mu.Unlock()

	if generation != r.generation {
		return false
	}

	p := &r.logs[log]

	if start := max(p.end, batch.Oldest, 1); start < from {
		p.gaps = append(p.gaps, gap{from: start, to: from})
	}

	p.end = max(batch.Next, batch.End)
	if batch.Next < p.end {
		p.gaps = append(p.gaps, gap{from: batch.Next, to: p.end})
	}

	return batch.End == 0 && len(batch.Records) > 0
}

// readOlder reads one page of the older records of each log, the newest ones first.
func (r *reader) readOlder(ctx context.Context) error {
	r.mu.Lock()
	generation := r.generation
	r.mu.Unlock()

	var (
		results [logs]error
		group   sync.WaitGroup
	)

	for log := range logs {
		group.Go(func() { results[log] = r.readGap(ctx, log, generation) })
	}

	group.Wait()

	return cmp.Or(results[:]...)
}

func (r *reader) readGap(ctx context.Context, log, generation int) error {
	g, from, ok := r.lastGap(log)
	if !ok {
		return nil
	}

	batch, err := r.read(ctx, log, from, int(g.to-from))
	if errors.Is(err, apricotway.ErrTrimmed) {
		r.cut(log, generation, from, batch.Oldest)

		r.mu.Lock()
		defer r.mu.Unlock()

		if generation == r.generation {
			r.logs[log].trims++
		}

		r.notifyLocked(true)

		return nil
	}

	if err != nil {
		return err
	}

	return r.fillGap(log, generation, g, from, batch)
}

// lastGap returns the newest gap of a log, and the offset from which a page reaches its end.
func (r *reader) lastGap(log int) (last gap, from apricotway.Offset, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()

	p := &r.logs[log]
	if len(p.gaps) == 0 {
		return gap{}, 0, false
	}

	last = p.gaps[len(p.gaps)-1]
	size := last.to - last.from
	page := apricotway.Offset(max(pageBytes/cmp.Or(p.recordBytes, assumedRecordBytes), 1))

	if p.trims > 0 {
		// The oldest records may be trimmed before they are read.
		page = min(page, max(size/2, 1))
	}

	return last, last.to - min(page, size), true
}

// fillGap takes over a read of the records of a gap from an offset on.
func (r *reader) fillGap(log, generation int, g gap, from apricotway.Offset, batch page) error {
	r.mu.Lock()
	defer r.mu.Unlock()

	p := &r.logs[log]
	if generation != r.generation || len(p.gaps) == 0 {
		return nil
	}

	if batch.Next <= from {
		if batch.End > 0 && batch.End < g.to {
			r.shortenedLocked(log)
		}

		return errors.Wrapf(errShortened, "no records from %d to %d", from, g.to)
	}

	p.trims = 0
	p.gaps = p.gaps[:len(p.gaps)-1]

	before := batch.first
	if before.IsZero() {
		before = g.before
	}

	switch {
	case !batch.newest.IsZero() && time.Since(batch.newest) > r.lifetime+orderTolerance:
		p.gaps = nil
		r.outdated = true
	case g.from < from:
		p.gaps = append(p.gaps, gap{g.from, from, before})
	}

	if batch.Next < g.to {
		p.gaps = append(p.gaps, gap{batch.Next, g.to, g.before})
	}

	r.notifyLocked(true)

	return nil
}

// page is the answer to a read with the time of its first record, and that of its newest one; zero for none.
type page struct {
	apricotway.Batch

	first, newest time.Time
}

// read reads records of one log and learns what they tell.
func (r *reader) read(ctx context.Context, log int, from apricotway.Offset, limit int) (page, error) {
	ctx, cancel := context.WithTimeout(ctx, maxPageTime)
	defer cancel()

	ctx, end := stall.WithLimit(ctx, callTimeout, callTimeout)
	defer end()

	batch, err := r.store.Read(ctx, streamOf(log), from, limit, 0)
	if err != nil {
		return page{Batch: batch}, errors.Wrap(err, "read the origins of streams")
	}

	first, newest := r.learn(log, batch.Records)

	return page{batch, first, newest}, nil
}

// decodeBeginnings returns the payload of a record, unless it is of a kind or schema version that this build does not know.
func decodeBeginnings(record apricotway.StoredRecord) (payload beginnings, ok bool) {
	if record.Kind != kindBeginnings || record.SchemaVersion != schemaVersion || json.Unmarshal(record.Payload, &payload) != nil {
		return beginnings{}, false
	}

	return payload, true
}

// decode returns the beginnings of the streams whose hashes can be read.
func (b beginnings) decode() []origin.Beginning {
	decoded := make([]origin.Beginning, 0, len(b.Streams))

	for _, text := range b.Streams {
		stream, err := strconv.ParseUint(text, hexadecimal, 64)
		if err != nil {
			continue
		}

		decoded = append(decoded, origin.Beginning{
			Stream: origin.Stream(stream), Service: b.Service, Version: b.Version, Uncertain: b.Uncertain, Outage: b.Uncertain && b.Outage,
			Proven: !b.Uncertain && b.Proven,
		})
	}

	return decoded
}

// learn learns what the records of one log tell. It returns the time of the first one, and that of the newest one; zero for none.
func (r *reader) learn(log int, records []apricotway.StoredRecord) (first, newest time.Time) {
	if len(records) == 0 {
		return first, newest
	}

	now, lifetime := time.Now(), r.register.Lifetime()
	size, outdated := 0, false

	var told []origin.Beginning

	recorded := map[origin.Stream]time.Time{}

	for _, record := range records {
		size += len(record.Payload) + envelopeBytes

		payload, ok := decodeBeginnings(record)
		if !ok {
			r.logger.V(1).Info("ignored a record of the origins of streams", "event", 376, "offset", record.Offset, "kind", record.Kind)
			r.unknown(fmt.Sprintf("%s %d", record.Kind, record.SchemaVersion))

			continue
		}

		if first.IsZero() {
			first = payload.At
		}

		if payload.At.After(newest) {
			newest = payload.At
		}

		if now.Sub(payload.At) > lifetime {
			outdated = true
			continue
		}

		for _, beginning := range payload.decode() {
			told = append(told, beginning)

			if known, ok := recorded[beginning.Stream]; !ok || payload.At.Before(known) {
				recorded[beginning.Stream] = payload.At
			}
		}
	}

	// A call may not find a record before it can tell how far the logs have been read.
	r.mu.Lock()
	defer r.mu.Unlock()

	for stream, at := range recorded {
		if known, ok := r.recorded[stream]; !ok || at.Before(known) {
			r.recorded[stream] = at
		}
	}

	r.register.Learn(now, told)

	r.logs[log].recordBytes = size / len(records)
	r.records += len(records)
	r.outdated = r.outdated || outdated

	return first, newest
}
