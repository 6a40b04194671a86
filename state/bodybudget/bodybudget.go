// Package bodybudget decides which bodies of callers' requests may take memory, and which half-sent ones have to give it back.
package bodybudget

import (
	"sync"
	"time"
)

const (
	// smallPart is the part in bytes of each body for which room is kept that the rest of large bodies can't take. Ordinary callers send up
	// to 72 KB, for which a buffer that grows by doubling takes 128 KiB.
	smallPart = 128 << 10
	// keptFraction is the fraction of the budget that is kept for smallPart of each body.
	keptFraction = 4
	// A body is slow while less than slowBytes of it have arrived within slowTime. Callers with a link of 64 kbit/s send as much.
	slowTime  = 500 * time.Millisecond
	slowBytes = 4 << 10
)

// Decision tells whether a body may take memory.
type Decision string

const (
	// Granted bodies have the memory.
	Granted Decision = "granted"
	// Wait means that there is no room now. Slow bodies have been ended to make room, if there are any.
	Wait Decision = "wait"
)

// Budget bounds the memory of the bodies of a process. It is safe for concurrent use.
type Budget struct {
	total int64

	mu sync.Mutex
	// taken is what all bodies hold, and ending the part of it that ended bodies are about to release.
	taken, ending int64
	// arriving is the anchor of a ring of the bodies that may be ended: they have not arrived whole, were not ended and don't wait for
	// room. The one that has been slow for the longest is first.
	arriving Body
}

// New returns a budget of a number of bytes.
func New(total int64) *Budget {
	b := &Budget{total: total}
	b.arriving.next, b.arriving.previous = &b.arriving, &b.arriving

	return b
}

// Usage returns how many bytes all bodies hold, and the budget.
func (b *Budget) Usage() (taken, total int64) {
	b.mu.Lock()
	defer b.mu.Unlock()

	return b.taken, b.total
}

// Body is the share of one body in the budget. Its methods may be called from one goroutine at a time.
type Body struct {
	budget *Budget
	// limit is the largest legal body: one such body gets room whatever the budget is.
	limit int64
	end   func()

	// The mutex of the budget protects the following fields.
	taken int64
	// marked is the size of the body at the time markedAt, since when it has grown by less than slowBytes.
	arrived, marked int64
	markedAt        time.Time
	ended           bool
	// next and previous are the neighbours in the ring of arriving bodies; nil outside of it.
	next, previous *Body
}

// enter puts the body at the end of the ring of arriving ones, unless it was ended. The caller holds the mutex of the budget.
func (x *Body) enter(now time.Time) {
	x.leave()

	x.markedAt = now
	if x.ended {
		return
	}

	last := x.budget.arriving.previous
	x.previous, x.next = last, &x.budget.arriving
	last.next, x.budget.arriving.previous = x, x
}

// leave takes the body out of the ring of arriving ones. The caller holds the mutex of the budget.
func (x *Body) leave() {
	if x.next != nil {
		x.next.previous, x.previous.next = x.previous, x.next
		x.next, x.previous = nil, nil
	}
}

// Open adds a body of at most limit bytes. To end the body, the budget calls end once, before Arrived whole or Release returns; end must
// make reading the body fail, and not block.
func (b *Budget) Open(now time.Time, limit int64, end func()) *Body {
	body := &Body{budget: b, limit: limit, end: end}

	b.mu.Lock()
	defer b.mu.Unlock()

	body.enter(now)

	return body
}

// Take asks for memory for a buffer of a number of bytes in place of the one before.
func (x *Body) Take(now time.Time, bytes int64) Decision {
	b := x.budget

	b.mu.Lock()
	defer b.mu.Unlock()

	kept := b.total / keptFraction

	room := max(b.total-kept, x.limit+1+kept)
	if bytes <= smallPart {
		room += kept
	}

	more := bytes - x.taken
	if b.taken+more <= room {
		b.taken += more
		x.taken = bytes
		x.enter(now)

		if x.ended {
			b.ending += more
		}

		return Granted
	}

	// A body that waits can't make progress.
	x.leave()
	b.endSlow(now, func() bool { return b.taken-b.ending+more <= room })

	return Wait
}

// EndSlow ends up to a number of slow bodies, for the sake of their connections.
func (b *Budget) EndSlow(now time.Time, count int) {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.endSlow(now, func() bool {
		count--
		return count < 0
	})
}

// endSlow ends slow bodies, the slowest first, until there are enough. The caller holds b.mu.
func (b *Budget) endSlow(now time.Time, enough func() bool) {
	for body := b.arriving.next; body != &b.arriving && now.Sub(body.markedAt) > slowTime && !enough(); body = b.arriving.next {
		body.ended = true
		b.ending += body.taken
		body.leave()
		body.end()
	}
}

// Arrived records that further bytes of the body have arrived, and whether the body is whole, which can't be ended any more.
func (x *Body) Arrived(now time.Time, bytes int, whole bool) {
	x.budget.mu.Lock()
	defer x.budget.mu.Unlock()

	x.arrived += int64(bytes)
	if x.arrived-x.marked >= slowBytes {
		x.marked = x.arrived
		x.enter(now)
	}

	if whole {
		x.leave()
	}
}

// Ended reports whether the budget has ended the body.
func (x *Body) Ended() bool {
	x.budget.mu.Lock()
	defer x.budget.mu.Unlock()

	return x.ended
}

// Release gives back what the body holds. Further calls do nothing.
func (x *Body) Release() {
	b := x.budget

	b.mu.Lock()
	defer b.mu.Unlock()

	x.leave()
	b.taken -= x.taken

	if x.ended {
		b.ending -= x.taken
	}

	x.taken = 0
}
