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
	// KindJoin is the kind of the records on the control stream that name a process.
	KindJoin = "join"
	// joinWindow is the number of records before its own that a process reads for first peers.
	joinWindow = 256
	// joinRepeat keeps a record of every process within the log's retention, at 390 processes with 0.1 appends a second.
	joinRepeat = time.Hour
	// The pause between two attempts doubles from the first to the last one.
	firstJoinPause = 500 * time.Millisecond
	lastJoinPause  = 30 * time.Second
	// rejoinPause is the time between two attempts to reach processes that are not in the view, such as those beyond a
	// network cut that outlasted the retention of dead members.
	rejoinPause = time.Minute
	// joinAttempts bounds the processes that one attempt calls.
	joinAttempts = 3
)

// joiner finds the first peers of a process.
type joiner struct {
	record   apricotway.Record
	appended time.Time
	// fromLog holds the addresses found on the control stream.
	fromLog []netip.AddrPort
}

func (d *Driver) runJoin(ctx context.Context) error {
	j := &joiner{}
	wait := firstJoinPause

	// The seeds come first: an append to a log service that hangs would hold up the join.
	d.joinOne(ctx, j)

	for {
		d.readJoins(ctx, j)

		d.joinOne(ctx, j)

		if !pause.For(ctx, wait) {
			return ctx.Err()
		}

		// The first pauses are short also after a success: processes that start at the same time may have joined in
		// groups that do not know of each other.
		longest := rejoinPause
		if d.live() == 0 {
			longest = lastJoinPause
		}

		wait = min(2*wait, longest)
	}
}

// readJoins appends this process's record and reads those before it. Of two processes that start at the same time, at
// least the one whose record is second sees the other.
func (d *Driver) readJoins(ctx context.Context, j *joiner) {
	if d.log == nil || d.Self().State != apricotway.MemberAlive || !j.appended.IsZero() && time.Since(j.appended) < joinRepeat {
		return
	}

	if j.record.ID == "" {
		payload, err := json.Marshal(d.Self())
		if err != nil {
			d.logger.Error(err, "join record not encoded", "event", 274)
			return
		}

		j.record = apricotway.Record{SchemaVersion: 1, Kind: KindJoin, ID: uuid.NewString(), Payload: payload}
	}

	// An append whose answer was lost is repeated with the same identifier.
	own, err := d.log.Append(ctx, apricotway.StreamControl, []apricotway.Record{j.record})
	if err != nil {
		d.logger.V(1).Info("join record not appended", "event", 275, "error", err.Error())
		return
	}

	batch, err := d.readBefore(ctx, own)
	if err != nil {
		d.logger.V(1).Info("join records not read", "event", 276, "error", err.Error())
		return
	}

	j.appended, j.record = time.Now(), apricotway.Record{}
	j.fromLog = addressesOf(batch.Records)
}

func (d *Driver) readBefore(ctx context.Context, own apricotway.Offset) (apricotway.Batch, error) {
	from := apricotway.Offset(1)
	if own > joinWindow {
		from = own - joinWindow
	}

	batch, err := d.log.Read(ctx, apricotway.StreamControl, from, joinWindow, 0)
	if !errors.Is(err, apricotway.ErrTrimmed) {
		return batch, err
	}

	// Fewer records than the window are kept. The answer to a read that succeeds names the oldest.
	batch, err = d.log.Read(ctx, apricotway.StreamControl, own, 1, 0)
	if err != nil {
		return apricotway.Batch{}, err
	}

	return d.log.Read(ctx, apricotway.StreamControl, batch.Oldest, joinWindow, 0)
}

func addressesOf(records []apricotway.StoredRecord) []netip.AddrPort {
	var addresses []netip.AddrPort

	for _, record := range records {
		var m apricotway.Member
		// Other kinds and versions stand on the same stream and are no fault.
		if record.Kind != KindJoin || record.SchemaVersion != 1 || json.Unmarshal(record.Payload, &m) != nil {
			continue
		}

		if m.Peers.IsValid() && !slices.Contains(addresses, m.Peers) {
			addresses = append(addresses, m.Peers)
		}
	}

	return addresses
}

// joinOne exchanges the full state with one process that is not in the view, out of a few random ones of the join records
// and the seeds.
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

		d.logger.V(1).Info("member exchange at join failed", "event", 277, "peer", address, "error", err.Error())
	}
}
