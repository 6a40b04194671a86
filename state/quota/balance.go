package quota

// reservedShare is the part of what accrues that is reserved for streams that are being taken up, while some wait for units. The rest stays
// with new calls, so that callers who mark all their calls as taken up can't shut out the others of their workspace.
const reservedShare = 0.75

// balance is an amount of units, a part of which may be reserved for streams that are being taken up. A call is granted only if the level would
// also allow it without a reserve, so a reserve changes which calls get the units, not how many may be granted.
type balance struct {
	// level is below zero after a call that cost more than the whole limit.
	level float64
	// reserved lies between zero and the level.
	reserved float64
}

// add adds units up to the limit. wanted is the number of units that streams wait for; no more is reserved.
func (b *balance) add(units, limit, wanted float64) {
	b.level = min(b.level+units, limit)
	b.reserve(b.reserved+reservedShare*max(units, 0), wanted)
}

func (b *balance) reserve(units, wanted float64) {
	b.reserved = max(min(units, wanted, b.level), 0)
}

// free returns the units that any call may spend.
func (b *balance) free() float64 { return b.level - b.reserved }

// forResumed returns what is there for streams that wait: the reserve, or what has to accrue before there can be one.
func (b *balance) forResumed() float64 { return b.reserved + min(b.level, 0) }

// spendFree spends the cost of a call that needs the given number of units, if so many are free, and reports whether it did.
func (b *balance) spendFree(cost, need float64) bool {
	if b.free() < need {
		return false
	}

	b.level -= cost
	b.reserve(b.reserved, b.reserved)

	return true
}

// spendReserved is like spendFree, but spends reserved units.
func (b *balance) spendReserved(cost, need float64) bool {
	if b.level < need || b.reserved < need {
		return false
	}

	b.level -= cost
	b.reserve(b.reserved-need, b.reserved)

	return true
}
