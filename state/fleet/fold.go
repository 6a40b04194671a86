package fleet

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/lease"
)

// The kinds of records in a fleet stream, besides lease records.
const (
	KindIntent  = "fleetIntent"
	KindOutcome = "fleetOutcome"
)

const (
	schemaVersion = 1
	// firstBackoff and maxBackoff bound the time for which a market that refused a host gets no orders. It doubles with each
	// consecutive refusal.
	firstBackoff = 15 * time.Second
	maxBackoff   = 2 * time.Minute
)

// StreamOf returns the name of the stream of a region's fleet.
func StreamOf(region apricotway.Region) apricotway.Stream {
	return apricotway.Stream("fleet-" + string(region))
}

// Result is how an intent ended.
type Result string

// The values of Result.
const (
	ResultCreated  Result = "created"
	ResultRefused  Result = "refused"
	ResultReleased Result = "released"
	// ResultUnanswered ends a creation that is abandoned because its orders were not answered.
	ResultUnanswered Result = "unanswered"
)

// Outcome is the payload of an outcome record.
type Outcome struct {
	Sequence uint64                     `json:"sequence"`
	Result   Result                     `json:"result"`
	Host     apricotway.BackendServerID `json:"host,omitempty"`
}

// OpenIntent is an intent without an outcome yet.
type OpenIntent struct {
	Intent

	// Token is the client token of all orders for this intent, from whichever process. It makes them idempotent.
	Token string
}

// OwnedHost is a host that was created through the stream and is not released.
type OwnedHost struct {
	Market

	// Read is the time on the reader's clock when it read the outcome.
	Read time.Time
}

type refusal struct {
	count int
	until time.Time
}

// Fold is the state that results from the records of one fleet stream. It is not safe for concurrent use.
type Fold struct {
	stream apricotway.Stream
	lease  *lease.Fold
	// term is the number of the current holder's first lease record. Records with a lower epoch are void.
	term     apricotway.Offset
	next     apricotway.Offset
	sequence uint64
	open     map[uint64]OpenIntent
	hosts    map[apricotway.BackendServerID]OwnedHost
	refusals map[Market]refusal
}

// New returns the state before the first record of the stream.
func New(stream apricotway.Stream) *Fold {
	return &Fold{
		stream: stream, lease: lease.New(), next: 1, open: map[uint64]OpenIntent{},
		hosts: map[apricotway.BackendServerID]OwnedHost{}, refusals: map[Market]refusal{},
	}
}

// Next returns the offset to read from next.
func (f *Fold) Next() apricotway.Offset { return f.next }

// Lease returns the lease in force.
func (f *Fold) Lease() lease.Current { return f.lease.Current() }

// Sequence returns the number of the last intent.
func (f *Fold) Sequence() uint64 { return f.sequence }

// OwnedHosts returns the hosts that were created and not released. Callers must not change the result.
func (f *Fold) OwnedHosts() map[apricotway.BackendServerID]OwnedHost { return f.hosts }

// OpenIntents returns the intents without an outcome, sorted by sequence number.
func (f *Fold) OpenIntents() []OpenIntent {
	open := make([]OpenIntent, 0, len(f.open))
	for _, sequence := range slices.Sorted(maps.Keys(f.open)) {
		open = append(open, f.open[sequence])
	}

	return open
}

// OrderableIntents returns the open intents that this build can carry out. A newer build may know further actions.
func (f *Fold) OrderableIntents() []OpenIntent {
	return slices.DeleteFunc(f.OpenIntents(), func(o OpenIntent) bool { return o.Action != ActionCreate && o.Action != ActionRelease })
}

// Blocked returns the markets that get no orders because of recent refusals. A market without a class stands for all markets
// of its zone.
func (f *Fold) Blocked(now time.Time) map[Market]bool {
	blocked := map[Market]bool{}

	for market, r := range f.refusals {
		if now.Before(r.until) {
			blocked[market] = true
		}
	}

	return blocked
}

// IssuedToken tells whether a host with this client token was ordered by an intent of this stream.
func (f *Fold) IssuedToken(token string) bool { return strings.HasPrefix(token, string(f.stream)+"/") }

// Apply folds a record that was read at the given time. Records that were folded before are skipped.
func (f *Fold) Apply(record apricotway.StoredRecord, read time.Time) {
	if record.Offset < f.next {
		return
	}

	f.next = record.Offset + 1

	before := f.lease.Current().Holder
	if f.lease.Apply(record, read) {
		if current := f.lease.Current(); current.Holder != before {
			f.term = current.Number
		}

		return
	}

	// A record counts only if its lease is in force at its place in the stream. It is void if a newer claim precedes it.
	if record.SchemaVersion != schemaVersion || f.term == 0 || record.Epoch < f.term {
		return
	}

	switch record.Kind {
	case KindIntent:
		f.applyIntent(record)
	case KindOutcome:
		f.applyOutcome(record, read)
	}
}

func (f *Fold) applyIntent(record apricotway.StoredRecord) {
	var intent Intent
	if json.Unmarshal(record.Payload, &intent) != nil || intent.Sequence != f.sequence+1 {
		return
	}

	f.sequence = intent.Sequence
	f.open[intent.Sequence] = OpenIntent{
		Intent: intent, Token: fmt.Sprintf("%s/%d/%d", f.stream, record.Epoch, intent.Sequence),
	}
}

func (f *Fold) applyOutcome(record apricotway.StoredRecord, read time.Time) {
	var outcome Outcome
	if json.Unmarshal(record.Payload, &outcome) != nil {
		return
	}

	open, ok := f.open[outcome.Sequence]
	if !ok {
		return
	}

	delete(f.open, outcome.Sequence)

	switch outcome.Result {
	case ResultCreated:
		f.hosts[outcome.Host] = OwnedHost{Market: open.Market, Read: read}
		delete(f.refusals, open.Market)
		delete(f.refusals, wholeZone(open.Market))
	case ResultReleased:
		delete(f.hosts, open.Host)
	case ResultRefused:
		f.recordRefusal(open.Market, read)
	case ResultUnanswered:
		// Orders on the other markets of the zone would probably time out as well.
		f.recordRefusal(wholeZone(open.Market), read)
	}
}

func (f *Fold) recordRefusal(market Market, read time.Time) {
	r := f.refusals[market]
	// Orders that are refused within one backoff count as one refusal.
	if !read.Before(r.until) {
		r.until = read.Add(min(firstBackoff<<min(r.count, 16), maxBackoff))
		r.count++
	}

	f.refusals[market] = r
}

// NewRecord returns a record of an intent or an outcome, written under the lease with the number epoch.
func NewRecord(kind string, epoch apricotway.Offset, payload any) (apricotway.Record, error) {
	encoded, err := json.Marshal(payload)
	if err != nil {
		return apricotway.Record{}, errors.Wrap(err, "encode fleet record")
	}

	return apricotway.Record{
		SchemaVersion: schemaVersion, Kind: kind, ID: uuid.NewString(), Epoch: epoch, Payload: encoded,
	}, nil
}
