// Package duty elects the one process that performs the duties towards the platform: it reports usage and orders capacity.
// Processes claim the duties in a shared log, and the offset of a claim is its fencing number. A claim is valid until a later one;
// another process appends one when the membership reports the holder as dead or leaving. The platform refuses calls under an old
// fencing number; for platforms that don't check it, the holder acts under a lease.
package duty

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"github.com/thejerf/suture/v4"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/coordination/era"
	"github.com/apricotway/apricotway/internal/boottime"
)

const (
	// checkPeriod is the time between two checks of the holder.
	checkPeriod = 300 * time.Millisecond
	// logTimeout bounds a call to the log.
	logTimeout = 1500 * time.Millisecond
	// refreshInterval is the shortest time between two reads of the log while the holder is dead, unknown or in doubt.
	refreshInterval = time.Second
	// claimStagger is the time that a process grants each candidate ranked before it to claim vacant duties. A candidate that
	// cannot reach the log claims nothing, so the next one must not wait forever.
	claimStagger = 1200 * time.Millisecond
	// startupDelay is the time after the start in which a process claims nothing, so that the processes find each other first.
	startupDelay = 1500 * time.Millisecond
	// broadcastLifetime is the time for which other processes keep the broadcast that names the holder.
	broadcastLifetime = time.Hour
	// holderKey is the broadcast key under which the holder is announced.
	holderKey = "holder"
)

// eraBits is the number of bits of a fencing number below the era. Offsets of the log stay far below: it gets a record each few
// seconds.
const eraBits = 32

// fencingNumber returns the number of a claim. An offset is given out again after the store has come back from an older copy, so the
// era comes first: numbers are unique and rise in the order of the claims.
func fencingNumber(era apricotway.StoreEra, at apricotway.Offset) apricotway.Offset {
	return apricotway.Offset(era)<<eraBits | at
}

// eraOf returns the era of a claim.
func eraOf(number apricotway.Offset) apricotway.StoreEra {
	return apricotway.StoreEra(number >> eraBits)
}

// ErrNotHolder reports that this process is not the holder of the duties.
var ErrNotHolder = errors.New("duties not held")

// ErrEraChanged reports that the store has come back from an older copy, so that what this process knew of the log is void.
var ErrEraChanged = errors.New("store came back from an older copy")

// Duty is one process's part in the election: it follows the claims in the log and appends its own. It is safe for concurrent use.
type Duty struct {
	log        apricotway.DutyLog
	membership apricotway.Membership
	broadcasts apricotway.Broadcasts
	logger     logr.Logger
	started    time.Time

	// appending serializes the appends of this process.
	appending sync.Mutex

	mu sync.Mutex
	// era is the era of the store that next and claim belong to. read is set once the log has been read in it; next is the
	// offset after the last record read.
	era  apricotway.StoreEra
	read bool
	next apricotway.Offset
	// recordEra is the highest era that a writer of the records read so far knew.
	recordEra apricotway.StoreEra
	// holder is the newest known claim; its number is 0 while none is known.
	holder apricotway.DutyHolder
	// claim is the newest claim read from the log. It is older than holder when a broadcast announced a later one.
	claim apricotway.DutyHolder
	// usage is the newest valid usage report of the present era in the log, nil if there is none. lastWindow is the newest window of any
	// report that is known to have been recorded, and skipped the newest one up to which no usage is reported any more.
	usage               *apricotway.UsageReport
	lastWindow, skipped int64
	// settled is set while the records that were read tell all about usage reports in the present era.
	settled bool
	// state holds the parts of the state that the previous holder saved, read when this process claimed.
	state map[apricotway.StatePart][]byte
	// vacant is the time since which no live holder is known; zero while there is one.
	vacant time.Time
	// fresh is the newest claim of another process if it was appended after this process had read the log before, at the boot time
	// freshAt at the latest; zero once that process has been known as a member since.
	fresh   apricotway.DutyHolder
	freshAt time.Duration
	// stale requests a read of the log at the next check, after the platform refused a fencing number or an append failed.
	stale bool
	// doubted requests a read of the log, after the known holder did not answer as the holder; refreshedAt is the time of the
	// last such read.
	doubted     bool
	refreshedAt time.Time
	// fenced is the fencing number that the platform refused.
	fenced apricotway.Offset
	// verifiedAt is the boot time at which the last successful call to the log began. The claims that this process has read were
	// complete at that time.
	verifiedAt time.Duration
	// mayActFrom is the boot time from which the process that made claim may act, since its predecessor no longer acts then.
	mayActFrom time.Duration

	// watchedAt is the boot time of the last run of detectSuspension. maybeSuspended is set when two runs were too far apart, as
	// after a suspension of the machine, and cleared by the next read of the log.
	watchedAt      time.Duration
	maybeSuspended bool
	// lastContact returns the time of the last answer from another member; nil if that is not known.
	lastContact func() time.Time
	// deposedAt is the boot time at which this process read a claim later than its own; 0 before that.
	deposedAt time.Duration

	// lease bounds the time for which a deposed holder may still act after its successor's claim; 0 if the platform refuses
	// calls under an older fencing number.
	lease time.Duration
	// renewed is the fencing number of the claim of this process that its newest claim renews; 0 if that follows another process's.
	renewed apricotway.Offset
	// predecessor is the process whose claim the newest one of this process follows; empty if that renews its own or is the first known.
	predecessor apricotway.NodeID

	// settledMembers reports whether the membership knows the processes that the store shows.
	settledMembers func() bool
	// settledAt is the time at which settledMembers was first seen true; zero before.
	settledAt time.Time

	// boot reads a clock that also advances while the machine is suspended.
	boot func() time.Duration
	self apricotway.NodeID
	// unknown is called for each kind of record that this build does not know.
	unknown func(kind string)
	// eras tells when the store has come back from an older copy.
	eras *era.Tracker
}

// Option configures a Duty.
type Option func(*Duty)

// WithLogger sets the logger.
func WithLogger(logger logr.Logger) Option { return func(d *Duty) { d.logger = logger } }

// WithEras sets the tracker of the store's eras. Without it, the process learns of a new era by its own reads of the log only.
func WithEras(eras *era.Tracker) Option { return func(d *Duty) { d.eras = eras } }

// WithUnknown sets the function that is called for each kind of record that this build does not know. It must not block.
func WithUnknown(unknown func(kind string)) Option { return func(d *Duty) { d.unknown = unknown } }

// New returns the Duty of a process that takes part in the election, and adds its goroutines to the supervisor.
func New(
	supervisor *suture.Supervisor, log apricotway.DutyLog, membership apricotway.Membership,
	broadcasts apricotway.Broadcasts, options ...Option,
) *Duty {
	d := &Duty{
		log: log, membership: membership, broadcasts: broadcasts, logger: logr.Discard(), started: time.Now(), next: 1,
		boot: boottime.Now, self: membership.Self().Node, eras: era.New(),
		unknown: func(string) {}, settledMembers: func() bool { return true },
	}
	for _, option := range options {
		option(d)
	}

	apricotway.SubscribeValue(broadcasts, apricotway.TopicDuty,
		func(_ string, version uint64, node apricotway.NodeID) {
			d.learn(apricotway.DutyHolder{Node: node, Number: apricotway.Offset(version)})
		})

	supervisor.Add(apricotway.Periodic("duties", checkPeriod, func(ctx context.Context, now time.Time) {
		if err := d.step(ctx, now); err != nil {
			d.logger.V(1).Info("duty holder not checked or duties not claimed", "event", 291, "error", err.Error())
		}
	}))

	supervisor.Add(apricotway.Periodic("suspension", checkPeriod, func(context.Context, time.Time) { d.detectSuspension() }))

	return d
}

// Holder returns the newest known holder; its number is 0 if none is known.
func (d *Duty) Holder() apricotway.DutyHolder {
	d.mu.Lock()
	defer d.mu.Unlock()

	return d.holder
}

// Held returns the newest known holder, and reports whether it is this process, with a fencing number that has not been refused,
// and alive. A leaving holder starts no new calls to the platform; see HeldEvenIfLeaving.
func (d *Duty) Held() (apricotway.DutyHolder, bool) {
	holder, held := d.HeldEvenIfLeaving()

	return holder, held && d.membership.Self().State == apricotway.MemberAlive
}

// HeldEvenIfLeaving is like Held, but also reports true while this process is leaving, so that it can still save its state.
func (d *Duty) HeldEvenIfLeaving() (apricotway.DutyHolder, bool) {
	self := d.membership.Self()

	d.mu.Lock()
	defer d.mu.Unlock()

	return d.holder, d.holder.Number > 0 && d.holder.Node == self.Node && d.fenced != d.holder.Number && eraOf(d.holder.Number) == d.era
}

// Renewed returns the fencing number of the earlier claim that this process renewed with its newest one, 0 if another process held the
// duties before.
func (d *Duty) Renewed() apricotway.Offset {
	d.mu.Lock()
	defer d.mu.Unlock()

	return d.renewed
}

// Predecessor returns the process that held the duties before this one claimed them, which may be no member; empty if this process held
// them itself or no other one is known.
func (d *Duty) Predecessor() apricotway.NodeID {
	d.mu.Lock()
	defer d.mu.Unlock()

	return d.predecessor
}

// TakesPartSince returns the time from which on this process knows of the others that hold the duties. What was done before can only be
// known from the log and from other processes.
func (d *Duty) TakesPartSince() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()

	since := d.started.Add(startupDelay)

	switch {
	case d.settledAt.IsZero():
		return time.Now()
	case d.settledAt.After(since):
		return d.settledAt
	default:
		return since
	}
}

// noteSettled records when the membership first knew the processes that the store shows.
func (d *Duty) noteSettled(now time.Time) {
	if !d.settledMembers() {
		return
	}

	d.mu.Lock()
	defer d.mu.Unlock()

	if d.settledAt.IsZero() {
		d.settledAt = now
	}
}

// MarkFenced records that the platform refused a fencing number. The holder with this number stops at once and reads the log again.
func (d *Duty) MarkFenced(number apricotway.Offset) {
	d.mu.Lock()
	defer d.mu.Unlock()

	if number >= d.fenced {
		d.fenced, d.stale = number, true
	}
}

// RequestRefresh requests a read of the log, since the known holder did not answer as the holder. The broadcast that names a
// later holder may have been lost.
func (d *Duty) RequestRefresh() {
	d.mu.Lock()
	defer d.mu.Unlock()

	d.doubted = true
}

// learn records a holder announced by another process, unless a later one is known.
func (d *Duty) learn(holder apricotway.DutyHolder) {
	d.mu.Lock()
	defer d.mu.Unlock()

	if holder.Number > d.holder.Number {
		d.holder = holder
	}
}

// step reads the log if that is due, and claims the duties if this process should.
func (d *Duty) step(ctx context.Context, now time.Time) error {
	found := d.holderAlive()
	d.noteSettled(now)

	d.mu.Lock()
	due := !d.read || d.stale || d.eras.Current() > d.era || (d.doubted || !found) && now.Sub(d.refreshedAt) >= refreshInterval
	if due {
		d.doubted, d.refreshedAt = false, now
	}
	d.mu.Unlock()

	if due {
		if err := d.refresh(ctx); err != nil {
			return err
		}
	}

	if now.Sub(d.started) < startupDelay || !d.shouldClaim(now) {
		return nil
	}

	// The log may hold a claim that has not been announced to this process.
	if err := d.refresh(ctx); err != nil || !d.shouldClaim(now) {
		return err
	}

	if err := d.loadState(ctx); err != nil {
		return err
	}

	self := d.membership.Self()
	if err := d.append(ctx, record{Kind: KindClaim, Node: self.Node}); err != nil {
		return err
	}

	if holder, held := d.Held(); held {
		d.logger.Info("claimed the duties towards the platform", "event", 292, "number", holder.Number)
		d.announce(holder)
	}

	return nil
}

// announce broadcasts that this process holds the duties.
func (d *Duty) announce(holder apricotway.DutyHolder) {
	err := apricotway.PublishValue(d.broadcasts, apricotway.TopicDuty, holderKey, uint64(holder.Number), broadcastLifetime,
		holder.Node)
	if err != nil {
		d.logger.Info("failed to announce this process as the duty holder", "event", 293, "error", err.Error())
	}
}
