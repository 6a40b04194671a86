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

// The kinds of records in a fleet stream besides those of its lease.
const (
	KindIntent  = "fleetIntent"
	KindOutcome = "fleetOutcome"
)

const (
	schemaVersion = 1
	// firstBackoff and maxBackoff bound the time for which a market that refused a host is not asked again; it doubles with
	// each refusal in a row.
	firstBackoff = 15 * time.Second
	maxBackoff   = 2 * time.Minute
)

// StreamOf returns the stream of a region's fleet.
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
	// ResultUnanswered ends a creation that is given up because its orders got no answer.
	ResultUnanswered Result = "unanswered"
)

// Outcome is the payload of an outcome record.
type Outcome struct {
	Sequence uint64                     `json:"sequence"`
	Result   Result                     `json:"result"`
	Host     apricotway.BackendServerID `json:"host,omitempty"`
}

// Open is an intent without an outcome.
type Open struct {
	Intent

	// Token is the client token of every order under this intent, whichever process gives it.
	Token string
}

// Owned is a host that the planner created and did not release.
type Owned struct {
	Market

	// Read is the reader's time at which it folded the outcome.
	Read time.Time
}

type refusal struct {
	count int
	until time.Time
}

// Fold is the state of one fleet stream. It is not safe for concurrent use.
type Fold struct {
	stream apricotway.Stream
	lease  *lease.Fold
	// term is the number of the first lease record of the present holder. Records with a lower epoch are void.
	term     apricotway.Offset
	next     apricotway.Offset
	sequence uint64
	open     map[uint64]Open
	hosts    map[apricotway.BackendServerID]Owned
	refusals map[Market]refusal
}

// New returns the state before the first record of the stream.
func New(stream apricotway.Stream) *Fold {
	return &Fold{
		stream: stream, lease: lease.New(), next: 1, open: map[uint64]Open{},
		hosts: map[apricotway.BackendServerID]Owned{}, refusals: map[Market]refusal{},
	}
}

// Next returns the offset to read from next.
func (f *Fold) Next() apricotway.Offset { return f.next }

// Lease returns the lease record in force.
func (f *Fold) Lease() lease.Current { return f.lease.Current() }

// Sequence returns the number of the last intent.
func (f *Fold) Sequence() uint64 { return f.sequence }

// Owned returns the hosts that were created and not released. The result must not be changed.
func (f *Fold) Owned() map[apricotway.BackendServerID]Owned { return f.hosts }

// Open returns the intents without an outcome in their order.
func (f *Fold) Open() []Open {
	open := make([]Open, 0, len(f.open))
	for _, sequence := range slices.Sorted(maps.Keys(f.open)) {
		open = append(open, f.open[sequence])
	}

	return open
}

// Blocked returns the markets that refused a host so recently that they are not asked again. A market without a class stands for
// all markets of its zone.
func (f *Fold) Blocked(now time.Time) map[Market]bool {
	blocked := map[Market]bool{}

	for market, r := range f.refusals {
		if now.Before(r.until) {
			blocked[market] = true
		}
	}

	return blocked
}

// Owns tells whether a host with this client token was ordered through this stream.
func (f *Fold) Owns(token string) bool { return strings.HasPrefix(token, string(f.stream)+"/") }

// Apply folds a record that was read at the given time.
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

	// A record counts only under the lease in force at its place in the stream. A holder that was deposed before its record
	// arrived has no say in it.
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
	f.open[intent.Sequence] = Open{
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
		f.hosts[outcome.Host] = Owned{Market: open.Market, Read: read}
		delete(f.refusals, open.Market)
		delete(f.refusals, wholeZone(open.Market))
	case ResultReleased:
		delete(f.hosts, open.Host)
	case ResultRefused:
		f.refuse(open.Market, read)
	case ResultUnanswered:
		// The other markets of the zone would take the time of as many orders again.
		f.refuse(wholeZone(open.Market), read)
	}
}

func (f *Fold) refuse(market Market, read time.Time) {
	r := f.refusals[market]
	// Several orders that were refused together are one refusal.
	if !read.Before(r.until) {
		r.until = read.Add(min(firstBackoff<<min(r.count, 16), maxBackoff))
		r.count++
	}

	f.refusals[market] = r
}

// NewRecord returns a record of an intent or an outcome under the lease with the given number.
func NewRecord(kind string, epoch apricotway.Offset, payload any) (apricotway.Record, error) {
	encoded, err := json.Marshal(payload)
	if err != nil {
		return apricotway.Record{}, errors.Wrap(err, "encode fleet record")
	}

	return apricotway.Record{
		SchemaVersion: schemaVersion, Kind: kind, ID: uuid.NewString(), Epoch: epoch, Payload: encoded,
	}, nil
}
