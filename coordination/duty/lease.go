package duty

import (
	"context"
	"time"

	"github.com/apricotway/apricotway"
)

// verificationDivisor divides the lease into the time for which a read of the log stays valid: within lease/verificationDivisor
// after a read the holder may call the platform without reading the log again.
const verificationDivisor = 6

// contactTimeout is the time after the last answer of another member for which the members certainly consider this process alive.
// They declare a process dead after 2 s at the earliest.
const contactTimeout = time.Second

// PlatformCallTimeout is the timeout of a call that the holder makes to the platform. After its claim a new holder waits for this
// time and until the last read of the log by its predecessor is no longer valid.
const PlatformCallTimeout = time.Second

// claimBackoffLeases is the number of leases for which a deposed holder does not claim again. The first one is the successor's
// waiting time; without a second one, two processes that consider each other dead would claim in turn and neither would ever act.
const claimBackoffLeases = 2

// WithLease sets the shortest time between two changes of the acting holder, for platforms that do not check the fencing number.
func WithLease(lease time.Duration) Option { return func(d *Duty) { d.lease = lease } }

// WithLastContact sets the function that returns the time of the last answer from another member. A holder that cannot reach the
// log continues while the members consider it alive, since only a process that considers the holder dead claims the duties.
func WithLastContact(contact func() time.Time) Option {
	return func(d *Duty) { d.lastContact = contact }
}

// WithBootClock sets the clock that also advances while the machine is suspended.
func WithBootClock(clock func() time.Duration) Option { return func(d *Duty) { d.boot = clock } }

// AuthorizedHolder returns the holder, and reports whether it is this process and may call the platform now. Under a lease it
// first makes sure that the log holds no later claim and that the previous holder no longer acts.
func (d *Duty) AuthorizedHolder(ctx context.Context) (apricotway.DutyHolder, bool) {
	holder, held := d.Held()
	if !held || d.lease == 0 {
		return holder, held
	}

	reached := true

	if !d.recentlyVerified() {
		reached = d.verify(ctx)
	}

	holder, held = d.Held()

	return holder, held && (d.recentlyVerified() || !reached && d.seenByMembers())
}

// ConfirmedHolder is like AuthorizedHolder, but also without a lease it first makes sure that the log holds no later claim. It is for writes
// that the platform does not check against the fencing number.
func (d *Duty) ConfirmedHolder(ctx context.Context) (apricotway.DutyHolder, bool) {
	if holder, held := d.Held(); !held {
		return holder, false
	}

	if !d.verify(ctx) {
		return d.Holder(), false
	}

	return d.AuthorizedHolder(ctx)
}

// verify reads the duty log before a call to the platform, and reports whether that succeeded.
func (d *Duty) verify(ctx context.Context) bool {
	if err := d.refresh(ctx); err != nil {
		d.logger.V(1).Info("failed to read the duty log before a call to the platform", "event", 290, "error", err.Error())
		return false
	}

	return true
}

// seenByMembers reports whether the other members certainly consider this process alive, so that none of them claims, and whether
// its waiting time after the claim is over.
func (d *Duty) seenByMembers() bool {
	d.mu.Lock()
	defer d.mu.Unlock()

	now := d.boot()

	return d.lastContact != nil && time.Since(d.lastContact()) < contactTimeout && !d.maybeSuspended &&
		now-d.watchedAt < contactTimeout && d.claim == d.holder && now >= d.mayActFrom
}

// detectSuspension sets maybeSuspended if this process did not run for contactTimeout. What it knows about the members may then be
// outdated, although the monotonic clock does not show it.
func (d *Duty) detectSuspension() {
	d.mu.Lock()
	defer d.mu.Unlock()

	now := d.boot()
	if d.watchedAt != 0 && now-d.watchedAt > contactTimeout {
		d.maybeSuspended = true
	}

	d.watchedAt = now
}

// recentlyVerified reports whether the newest known claim was the last one in the log a short time ago, and whether the waiting
// time after it is over.
func (d *Duty) recentlyVerified() bool {
	d.mu.Lock()
	defer d.mu.Unlock()

	now := d.boot()

	return d.claim == d.holder && now >= d.mayActFrom && d.verifiedAt != 0 && now-d.verifiedAt < d.lease/verificationDivisor
}

// takeoverWait returns the time after a claim until the previous holder no longer acts.
func (d *Duty) takeoverWait() time.Duration {
	if d.lease == 0 {
		return 0
	}

	return d.lease/verificationDivisor + PlatformCallTimeout
}
