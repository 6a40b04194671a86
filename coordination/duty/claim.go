package duty

import (
	"time"

	"github.com/apricotway/apricotway"
)

// takeoverCapacityRatio is the capacity ratio above which a process claims the duties although their holder is alive. When many
// processes start at once, one on a small host may claim before it has learned of the larger hosts.
const takeoverCapacityRatio = 2

// claimTrust is the time after a claim was appended for which its process counts as alive, although the membership does not know it or holds
// it for dead. The acting holder would otherwise change within a lease while two processes that both reach the log don't know each
// other.
const claimTrust = 3 * time.Second

// WithSettled sets the function that reports whether the membership knows the processes that the store shows. Until it does, this process
// claims nothing.
func WithSettled(settled func() bool) Option { return func(d *Duty) { d.settledMembers = settled } }

// holderAlive reports whether the known holder is this process, or a member that is alive or suspected.
func (d *Duty) holderAlive() bool {
	holder := d.Holder()
	if holder.Node == d.membership.Self().Node {
		return true
	}

	for _, member := range d.membership.Members() {
		if member.Node == holder.Node {
			return member.State == apricotway.MemberAlive || member.State == apricotway.MemberSuspect
		}
	}

	return false
}

// shouldClaim reports whether this process should claim the duties now. That is the case when the platform refused this process's
// own claim, when the holder is dead or leaving and every live candidate that ranks before this process has had claimStagger to
// claim, or when this process ranks first and the holder's host is much smaller.
func (d *Duty) shouldClaim(now time.Time) bool {
	self := d.membership.Self()
	if self.State != apricotway.MemberAlive || !self.Ready || !d.settledMembers() {
		return false
	}

	d.mu.Lock()
	holder, fenced, era := d.holder, d.fenced, d.era
	yielding := d.deposedAt != 0 && d.boot()-d.deposedAt < claimBackoffLeases*d.lease
	d.mu.Unlock()

	if yielding {
		return false
	}

	if holder.Number > 0 && holder.Node == self.Node {
		// The platform refused this process's fencing number although the log holds no later claim, or the claim is from before the
		// store came back from an older copy.
		return fenced == holder.Number || eraOf(holder.Number) < era
	}

	before, holderFound, holderOutgrown := 0, false, false

	for _, member := range d.membership.Members() {
		if member.Node == holder.Node && member.State != apricotway.MemberDead {
			d.noteMember(holder)
		}

		alive := member.State == apricotway.MemberAlive || member.State == apricotway.MemberSuspect
		if !alive {
			continue
		}

		if member.Node == holder.Node {
			d.setVacant(time.Time{})

			holderFound, holderOutgrown = true, self.Capacity > takeoverCapacityRatio*member.Capacity && member.Capacity > 0
		}

		if member.Ready && precedes(member, self) {
			before++
		}
	}

	if holderFound {
		return holderOutgrown && before == 0
	}

	return now.Sub(d.setVacant(now)) >= time.Duration(before)*claimStagger && !d.claimedRecently(holder)
}

// noteMember records that the membership tells whether the process of a claim lives.
func (d *Duty) noteMember(holder apricotway.DutyHolder) {
	d.mu.Lock()
	defer d.mu.Unlock()

	if d.fresh == holder {
		d.fresh = apricotway.DutyHolder{}
	}
}

// claimedRecently reports whether the holder claimed within claimTrust and has not been known as a member since.
func (d *Duty) claimedRecently(holder apricotway.DutyHolder) bool {
	d.mu.Lock()
	defer d.mu.Unlock()

	return d.fresh == holder && d.boot()-d.freshAt < claimTrust
}

// precedes reports whether member ranks before other when the duties are claimed: by descending capacity, then by node name.
func precedes(member, other apricotway.Member) bool {
	if member.Capacity != other.Capacity {
		return member.Capacity > other.Capacity
	}

	return member.Node < other.Node
}

// setVacant records now as the time since which no live holder is known, unless an earlier time is recorded. The zero time
// clears the record. It returns the recorded time.
func (d *Duty) setVacant(now time.Time) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()

	if d.vacant.IsZero() || now.IsZero() {
		d.vacant = now
	}

	return d.vacant
}
