package membership

import (
	"context"
	"encoding/json"
	"net/netip"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/internal/pause"
)

const (
	// KindJoin is the kind of the records in the control stream that announce a process.
	KindJoin = "join"
	// joinReadWindow is the number of records before its own that a process reads to find first peers.
	joinReadWindow = 256
	// joinRecordInterval is the time after which a process appends its record again, so that one of every process is within the
	// log's retention. At 390 processes this takes 0.1 appends a second.
	joinRecordInterval = time.Hour
	// The pause between two join attempts doubles from minJoinPause up to maxJoinPause.
	minJoinPause = 500 * time.Millisecond
	maxJoinPause = 30 * time.Second
	// rejoinPause is the longest time between two attempts to reach processes that are not known as members, such as those on the
	// other side of a network partition that lasted longer than dead members are kept.
	rejoinPause = time.Minute
	// maxJoinSpread is the longest wait before the join record is appended again after the store came back from an older copy.
	maxJoinSpread = 2 * time.Second
	// joinAttempts bounds the processes that one attempt tries to reach.
	joinAttempts = 3
)

// joiner holds the state of the search for peers.
type joiner struct {
	record   apricotway.Record
	appended time.Time
	// fromLog holds the peer addresses found in the control stream.
	fromLog []netip.AddrPort
}

func (d *Driver) runJoin(ctx context.Context) error {
	j := &joiner{}
	wait := minJoinPause

	// Try the seeds first: an append to a log service that hangs would delay the join.
	d.joinOne(ctx, j)

	for {
		d.syncJoinRecords(ctx, j)

		d.joinOne(ctx, j)

		if again, err := d.awaitNextJoin(ctx, wait); err != nil {
			return err
		} else if again {
			j.appended, wait = time.Time{}, minJoinPause
			continue
		}

		// Keep the first pauses short even after a success: processes that start at the same time may have joined in groups that
		// don't know each other.
		longest := rejoinPause
		if d.liveCount() == 0 {
			longest = maxJoinPause
		}

		wait = min(2*wait, longest)
	}
}

// awaitNextJoin waits until the next attempt is due. It returns true earlier when the join record has to be appended again.
func (d *Driver) awaitNextJoin(ctx context.Context, wait time.Duration) (bool, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()

	select {
	case <-ctx.Done():
		return false, ctx.Err()
	case <-timer.C:
		return false, nil
	case <-d.joinAgain:
	}

	// The processes learn of it at the same time and must not append all at once.
	if !pause.For(ctx, time.Duration(d.random.Int64N(int64(maxJoinSpread)))) {
		return false, ctx.Err()
	}

	return true, nil
}

// syncJoinRecords appends this process's record and reads the records before it, unless it did so within joinRecordInterval. Of
// two processes that start at the same time, at least the one whose record comes second sees the other.
func (d *Driver) syncJoinRecords(ctx context.Context, j *joiner) {
	if d.log == nil || d.Self().State != apricotway.MemberAlive || !j.appended.IsZero() && time.Since(j.appended) < joinRecordInterval {
		return
	}

	if j.record.ID == "" {
		payload, err := json.Marshal(d.Self())
		if err != nil {
			d.logger.Error(err, "failed to encode the join record", "event", 274)
			return
		}

		j.record = apricotway.Record{SchemaVersion: 1, Kind: KindJoin, ID: uuid.NewString(), Payload: payload}
	}

	// Append again with the same record identifier after a lost answer.
	own, err := d.log.Append(ctx, apricotway.StreamControl, []apricotway.Record{j.record})
	if err != nil {
		d.logger.V(1).Info("failed to append the join record", "event", 275, "error", err.Error())
		return
	}

	batch, err := d.readBefore(ctx, own)
	if err != nil {
		d.logger.V(1).Info("failed to read the join records", "event", 276, "error", err.Error())
		return
	}

	j.appended, j.record = time.Now(), apricotway.Record{}
	j.fromLog = addressesOf(batch.Records)
}

// readBefore reads up to joinReadWindow records that precede the offset own.
func (d *Driver) readBefore(ctx context.Context, own apricotway.Offset) (apricotway.Batch, error) {
	from := apricotway.Offset(1)
	if own > joinReadWindow {
		from = own - joinReadWindow
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

	return d.readUntil(ctx, batch.Oldest, own)
}

// readUntil reads the records from an offset on until it has the one before own. One read may return only some of them.
func (d *Driver) readUntil(ctx context.Context, from, own apricotway.Offset) (apricotway.Batch, error) {
	found, err := d.log.Read(ctx, apricotway.StreamControl, from, joinReadWindow, 0)

	for err == nil && found.Next < own {
		var more apricotway.Batch

		more, err = d.log.Read(ctx, apricotway.StreamControl, found.Next, joinReadWindow, 0)
		if err != nil || len(more.Records) == 0 {
			break
		}

		found.Records, found.Next = append(found.Records, more.Records...), more.Next
	}

	return found, err
}

// addressesOf returns the distinct peer addresses of the join records.
func addressesOf(records []apricotway.StoredRecord) []netip.AddrPort {
	var addresses []netip.AddrPort

	for _, record := range records {
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
// the join records and the seeds.
func (d *Driver) joinOne(ctx context.Context, j *joiner) {
	known := map[netip.AddrPort]bool{d.Self().Peers: true}

	for _, m := range d.Members() {
		if m.State != apricotway.MemberDead {
			known[m.Peers] = true
		}
	}

	candidates := slices.DeleteFunc(slices.Concat(j.fromLog, d.seeds),
		func(address netip.AddrPort) bool { return known[address] })
	d.random.Shuffle(len(candidates), func(i, k int) { candidates[i], candidates[k] = candidates[k], candidates[i] })

	for _, address := range candidates[:min(len(candidates), joinAttempts)] {
		err := d.exchange(ctx, address)
		if err == nil {
			return
		}

		d.logger.V(1).Info("failed to exchange the membership state to join", "event", 277, "peer", address, "error", err.Error())
	}
}
