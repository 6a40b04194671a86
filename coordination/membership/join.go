package membership

import (
	"context"
	"encoding/json"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/internal/pause"
	"github.com/apricotway/apricotway/state/member"
)

const (
	// KindJoin is the kind of the records in the control stream that announce a process.
	KindJoin = "join"
	// joinReadWindow is the number of records before its own that a process reads to find first peers.
	joinReadWindow = 256
	// rereadWindow is the number of records that a process reads when it appends its record again. It bounds the reads of all
	// processes together.
	rereadWindow = 32
	// joinRecordSpacing is the mean time between two join records of all processes together. The log service may keep records for
	// 20 s only; some 20 of them are in the log then at any time, whatever the number of processes.
	joinRecordSpacing = time.Second
	// The mean time between two join records of one process is at least minJoinRecordInterval, so that few processes don't append
	// more often than the log service needs to keep one, and at most maxJoinRecordInterval.
	minJoinRecordInterval = 5 * time.Second
	maxJoinRecordInterval = time.Hour
	// searchRetry is the longest pause before the join records are read again, while a search is needed and the log service fails.
	searchRetry = 2 * time.Second
	// searchTries is the number of attempts to reach the log service after which a process that starts serves without a search.
	searchTries = 2
	// logTimeout bounds the append and the reads of one search.
	logTimeout = 2 * time.Second
	// searchSize bounds the processes that a search tries to reach, the newest join records first, and searchBatch those at a time.
	// A process that is reached usually tells all others.
	searchSize, searchBatch = 32, 8
	// searchTimeout bounds one exchange of a search. The process at the address may be dead with its host.
	searchTimeout = 1500 * time.Millisecond
	// joinStagger is the time that one join attempt grants an address before it tries the next one beside it.
	joinStagger = 300 * time.Millisecond
	// searchSpread is the longest wait for each known process before a search of several processes at the same time.
	searchSpread = 5 * time.Millisecond
	// The pause between two join attempts doubles from minJoinPause up to maxJoinPause.
	minJoinPause = 500 * time.Millisecond
	maxJoinPause = 30 * time.Second
	// rejoinPause is the longest time between two attempts to reach processes that are not known as members, such as those on the
	// other side of a network partition that lasted longer than dead members are kept.
	rejoinPause = time.Minute
	// While dead members are kept, all processes together try their addresses once in missingSpacing, and one process once in
	// minMissingPause at most: a process that starts again does so at its former address under a new name, which no probe finds.
	minMissingPause = time.Second
	missingSpacing  = 125 * time.Millisecond
	// maxJoinSpread is the longest wait before the join record is appended again after the store came back from an older copy.
	maxJoinSpread = 2 * time.Second
	// joinAttempts bounds the processes that one attempt tries to reach.
	joinAttempts = 3
)

// joiner holds the state of the search for peers.
type joiner struct {
	record apricotway.Record
	// read is set once the join records have been read.
	read bool
	// failures is the number of searches that failed since the last one that succeeded.
	failures int
	// recordDue is the time of the next join record, and attemptDue that of the next attempt to reach unknown processes.
	recordDue, attemptDue time.Time
	// attemptPause is the pause before the next attempt.
	attemptPause time.Duration
	// fromLog holds the peer addresses found in the control stream, the newest first.
	fromLog []netip.AddrPort
}

// Searched reports whether this process has looked for others since its start. It has if the log service could not be reached: then
// nothing shows whether others live.
func (d *Driver) Searched() bool {
	d.mu.Lock()
	defer d.mu.Unlock()

	return d.searched
}

// Settled reports whether the members that this process knows are those that the join records show: it has read them since its start,
// and since it lost most of the members that it knew.
func (d *Driver) Settled() bool {
	d.mu.Lock()
	defer d.mu.Unlock()

	return d.settled()
}

// settled is Settled. The caller holds d.mu.
func (d *Driver) settled() bool {
	return d.log == nil || d.largest > 0 && 2*d.machine.Live() >= d.largest
}

// noteChanges follows the number of known processes after a change. The caller holds d.mu.
func (d *Driver) noteChanges(changes []member.Entry) {
	if d.largest > 0 {
		d.largest = max(d.largest, d.machine.Live())
	}

	if slices.ContainsFunc(changes, func(entry member.Entry) bool { return entry.State == apricotway.MemberDead }) {
		signal(d.died)
	}
}

func (d *Driver) runJoin(ctx context.Context) error {
	j := &joiner{attemptPause: minJoinPause}

	// Try the seeds first: an append to a log service that hangs would delay the join.
	d.joinOne(ctx, j)

	for {
		if !time.Now().Before(j.recordDue) {
			d.search(ctx, j)
		}

		if !time.Now().Before(j.attemptDue) {
			d.joinOne(ctx, j)
			j.attemptDue = time.Now().Add(j.attemptPause)
			j.attemptPause = min(2*j.attemptPause, d.longestPause())
		}

		if err := d.awaitNextJoin(ctx, j); err != nil {
			return err
		}
	}
}

// longestPause returns the longest pause between two attempts to reach unknown processes. The first pauses are short even after a
// success: processes that start at the same time may have joined in groups that don't know each other.
func (d *Driver) longestPause() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()

	live := d.machine.Live()

	switch {
	case len(d.machine.Entries())+1 > live:
		return max(minMissingPause, min(time.Duration(live)*missingSpacing, rejoinPause))
	case live == 1:
		return maxJoinPause
	default:
		return rejoinPause
	}
}

// awaitNextJoin waits until the next record or attempt is due, which the death of members and a restore of the store bring forward.
func (d *Driver) awaitNextJoin(ctx context.Context, j *joiner) error {
	next := j.attemptDue
	if j.recordDue.Before(next) {
		next = j.recordDue
	}

	timer := time.NewTimer(time.Until(next))
	defer timer.Stop()

	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
	case <-d.died:
		now := time.Now()
		j.attemptPause = d.longestPause()
		j.attemptDue = earlier(j.attemptDue, now.Add(d.spread(j.attemptPause)))

		if !d.Settled() {
			j.recordDue = earlier(j.recordDue, now.Add(d.spread(min(time.Duration(1+len(d.Members()))*searchSpread, maxJoinSpread))))
		}
	case <-d.joinAgain:
		// The processes learn of it at the same time and must not append all at once.
		if !pause.For(ctx, d.spread(maxJoinSpread)) {
			return ctx.Err()
		}

		j.recordDue, j.attemptDue, j.attemptPause = time.Time{}, time.Time{}, minJoinPause
	}

	return nil
}

// spread returns a random duration up to the longest one.
func (d *Driver) spread(longest time.Duration) time.Duration {
	return time.Duration(d.random.Int64N(int64(longest)))
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}

	return b
}

// search appends this process's join record, and tries to reach the processes that the records show and that are not known as members.
func (d *Driver) search(ctx context.Context, j *joiner) {
	if d.log == nil || d.Self().State != apricotway.MemberAlive {
		d.noteSearched()

		j.recordDue = time.Now().Add(maxJoinRecordInterval)

		return
	}

	if !d.syncJoinRecords(ctx, j) {
		j.failures++
		if j.failures >= searchTries {
			d.noteSearched()
		}

		j.recordDue = time.Now().Add(d.retryPause(j.failures))

		return
	}

	j.failures = 0
	d.exchangeAll(ctx, slices.Concat(j.fromLog, d.seeds))

	d.mu.Lock()
	d.searched, d.largest = true, d.machine.Live()
	live := d.largest
	d.mu.Unlock()

	mean := min(max(time.Duration(live)*joinRecordSpacing, minJoinRecordInterval), maxJoinRecordInterval)
	j.recordDue = time.Now().Add(d.spread(2 * mean))
}

// retryPause returns the pause after failures of the log service. Without need of a search it is that of the records.
func (d *Driver) retryPause(failures int) time.Duration {
	if d.Settled() {
		return minJoinRecordInterval + d.spread(minJoinRecordInterval)
	}

	longest := min(time.Duration(failures)*minJoinPause, searchRetry)

	return longest/2 + d.spread(longest/2)
}

func (d *Driver) noteSearched() {
	d.mu.Lock()
	defer d.mu.Unlock()

	d.searched = true
}

// syncJoinRecords appends this process's record and reads the records before it. Of two processes that start at the same time, at least
// the one whose record comes second sees the other. It reports whether the records have been read.
func (d *Driver) syncJoinRecords(ctx context.Context, j *joiner) bool {
	ctx, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()

	if j.record.ID == "" {
		payload, err := json.Marshal(d.Self())
		if err != nil {
			d.logger.Error(err, "failed to encode the join record", "event", 274)
			return false
		}

		j.record = apricotway.Record{SchemaVersion: 1, Kind: KindJoin, ID: uuid.NewString(), Payload: payload}
	}

	// Append again with the same record identifier after a lost answer.
	own, err := d.log.Append(ctx, apricotway.StreamControl, []apricotway.Record{j.record})
	if err != nil {
		d.logger.V(1).Info("failed to append the join record", "event", 275, "error", err.Error())
		return false
	}

	window := apricotway.Offset(rereadWindow)
	if !j.read || !d.Settled() {
		window = joinReadWindow
	}

	batch, err := d.readBefore(ctx, own, window)
	if err != nil {
		d.logger.V(1).Info("failed to read the join records", "event", 276, "error", err.Error())
		return false
	}

	j.read, j.record = true, apricotway.Record{}
	j.fromLog = addressesOf(batch.Records)

	return true
}

// readBefore reads up to window records that precede the offset own.
func (d *Driver) readBefore(ctx context.Context, own, window apricotway.Offset) (apricotway.Batch, error) {
	from := apricotway.Offset(1)
	if own > window {
		from = own - window
	}

	batch, err := d.readUntil(ctx, from, own)
	if !errors.Is(err, apricotway.ErrTrimmed) {
		return batch, err
	}

	// Fewer records than the window are kept. The answer to a successful read gives the offset of the oldest one.
	batch, err = d.log.Read(ctx, apricotway.StreamControl, own, 1, 0)
	if err != nil {
		return apricotway.Batch{}, err
	}

	// As many as fit the window precede the own record, unless others were appended meanwhile.
	return d.readUntil(ctx, max(batch.Oldest, from), own)
}

// readUntil reads the records from an offset on until it has the one before own. One read may return only some of them.
func (d *Driver) readUntil(ctx context.Context, from, own apricotway.Offset) (apricotway.Batch, error) {
	limit := int(max(own-from, 1))
	found, err := d.log.Read(ctx, apricotway.StreamControl, from, limit, 0)

	for err == nil && found.Next < own {
		var more apricotway.Batch

		more, err = d.log.Read(ctx, apricotway.StreamControl, found.Next, limit, 0)
		if err != nil || len(more.Records) == 0 {
			break
		}

		found.Records, found.Next = append(found.Records, more.Records...), more.Next
	}

	return found, err
}

// addressesOf returns the distinct peer addresses of the join records, those of the newest records first.
func addressesOf(records []apricotway.StoredRecord) []netip.AddrPort {
	var addresses []netip.AddrPort

	for _, record := range slices.Backward(records) {
		var m apricotway.Member
		// The stream also holds records of other kinds and versions, which is no error.
		if record.Kind != KindJoin || record.SchemaVersion != 1 || json.Unmarshal(record.Payload, &m) != nil {
			continue
		}

		if m.Peers.IsValid() && !slices.Contains(addresses, m.Peers) {
			addresses = append(addresses, m.Peers)
		}
	}

	return addresses
}

// joinOne exchanges the full membership state with one process that is not known as a live member, trying a few random ones of
// the join records, the seeds and the addresses of members that do not answer.
func (d *Driver) joinOne(ctx context.Context, j *joiner) {
	candidates := slices.Concat(j.fromLog, d.seeds)

	for _, m := range d.Members() {
		if (m.State == apricotway.MemberDead || m.State == apricotway.MemberSuspect) && !slices.Contains(candidates, m.Peers) {
			candidates = append(candidates, m.Peers)
		}
	}

	candidates = d.unknownAddresses(candidates)
	d.random.Shuffle(len(candidates), func(i, k int) { candidates[i], candidates[k] = candidates[k], candidates[i] })

	var attempts sync.WaitGroup
	defer attempts.Wait()

	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	reached := make(chan bool, joinAttempts)

	for _, address := range candidates[:min(len(candidates), joinAttempts)] {
		attempts.Go(func() { reached <- d.exchangeToJoin(ctx, address, exchangeTimeout) })

		select {
		case ok := <-reached:
			if ok {
				return
			}
		case <-time.After(joinStagger):
		}
	}

	// The attempts that are under way end by their timeout.
	attempts.Wait()
}

// exchangeAll exchanges the full membership state with all processes at the addresses that are not known as live members.
func (d *Driver) exchangeAll(ctx context.Context, addresses []netip.AddrPort) {
	addresses = d.unknownAddresses(addresses)
	addresses = addresses[:min(len(addresses), searchSize)]

	for len(addresses) > 0 {
		var batch sync.WaitGroup

		size := min(len(addresses), searchBatch)
		for _, address := range addresses[:size] {
			batch.Go(func() { d.exchangeToJoin(ctx, address, searchTimeout) })
		}

		batch.Wait()

		addresses = d.unknownAddresses(addresses[size:])
	}
}

// exchangeToJoin exchanges the full membership state with a process, and reports whether it was reached.
func (d *Driver) exchangeToJoin(ctx context.Context, address netip.AddrPort, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()

	err := d.exchange(ctx, address)
	if err != nil {
		d.logger.V(1).Info("failed to exchange the membership state to join", "event", 277, "peer", address, "error", err.Error())
	}

	return err == nil
}

// unknownAddresses returns the distinct addresses at which no live member is known.
func (d *Driver) unknownAddresses(addresses []netip.AddrPort) []netip.AddrPort {
	known := map[netip.AddrPort]bool{d.Self().Peers: true}

	for _, m := range d.Members() {
		if m.State == apricotway.MemberAlive || m.State == apricotway.MemberLeaving {
			known[m.Peers] = true
		}
	}

	var unknown []netip.AddrPort

	for _, address := range addresses {
		if !known[address] {
			known[address] = true

			unknown = append(unknown, address)
		}
	}

	return unknown
}
