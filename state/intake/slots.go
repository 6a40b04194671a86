package intake

import (
	"math"
	"slices"
	"time"
)

const (
	// slotLifetime is the time from the beginning of a slot during which its owner may use it, at least the length of the slot. An
	// owner without a call leaves the slot unused.
	slotLifetime = 500 * time.Millisecond
	// maxSlotRate bounds the slots per second; above it, a slot is for several requests.
	maxSlotRate = 100.0
	// maxRate bounds the rate, so that the requests of a slot can be counted.
	maxRate = 1e6
	// maxClockStep is the longest step back of the clock after which this process waits until the time has caught up. After a longer
	// one it determines the owners of slots again.
	maxClockStep = 5 * time.Second
	// minRate is the rate at which a server is used whatever limit it states. Only its answers tell that the limit has ended.
	minRate = 0.1
)

// server is the limit of one server and the slots of this process there.
type server struct {
	fact
	hash uint64
	// collected is set when the last answer to a report had the statement, so that it need not be reported again.
	collected bool
	// next is the first slot whose owner has not been determined.
	next int64
	// open holds the slots of this process that can be used, the oldest first.
	open []slot
	// lifetime is the time for which a slot can be used, if that is longer than for other servers.
	lifetime time.Duration
	// used is the beginning of the last slot that was used.
	used time.Time
}

// slot is a slot of this process.
type slot struct {
	begin time.Time
	// left is the number of requests that can still be sent, at least 1.
	left int
}

// set replaces the statement and reports whether the limit has changed. Slots of a new limit count from now on.
func (s *server) set(now time.Time, f fact) (changed bool) {
	changed = f.limit != s.limit
	s.fact, s.collected = f, false

	if changed {
		s.open = nil
		s.next = s.slotAt(now) + 1
	}

	return changed
}

// advance determines the owners of the slots that have begun, and drops the slots that are too old to be used.
func (l *Limits) advance(now time.Time, s *server) {
	lifetime := max(l.lifetime, s.lifetime, seconds(1/s.slotRate()))
	oldest := now.Add(-lifetime)
	last := s.slotAt(now)

	if s.slotBegin(s.next).Sub(now) > lifetime+maxClockStep {
		s.next, s.used = last+1, time.Time{}
	}

	for number := max(s.next, s.slotAt(oldest)+1); number <= last && l.ready; number++ {
		begin, requests := s.slotBegin(number), s.requests(number)
		if requests > 0 && begin.After(s.used) && l.owns(s.hash, number) {
			s.open = append(s.open, slot{begin: begin, left: requests})
		}
	}

	s.next = max(s.next, last+1)
	s.open = slices.DeleteFunc(s.open, func(o slot) bool { return o.begin.Before(oldest) || o.begin.After(now.Add(lifetime)) })
}

// owns reports whether a slot belongs to this process.
func (l *Limits) owns(server uint64, number int64) bool {
	if !l.sharing {
		return false
	}

	seed := mix(server ^ mix(uint64(number)))
	own := mix(seed ^ l.selfHash)

	for _, node := range l.nodes {
		if mix(seed^node) > own {
			return false
		}
	}

	return true
}

// mix returns a hash of the value (the finalizer of SplitMix64).
func mix(value uint64) uint64 {
	value += 0x9e3779b97f4a7c15
	value = (value ^ value>>30) * 0xbf58476d1ce4e5b9
	value = (value ^ value>>27) * 0x94d049bb133111eb

	return value ^ value>>31
}

// usedRate returns the requests per second that the server is sent.
func (s *server) usedRate() float64 { return min(max(s.limit.PerSecond, minRate), maxRate) }

// slotRate returns the slots per second.
func (s *server) slotRate() float64 { return min(s.usedRate(), maxSlotRate) }

func (s *server) slotAt(at time.Time) int64 {
	return int64(math.Floor(float64(at.UnixNano()) / float64(time.Second) * s.slotRate()))
}

func (s *server) slotBegin(number int64) time.Time {
	return time.Unix(0, int64(float64(number)/s.slotRate()*float64(time.Second)))
}

// requests returns the number of requests that a slot is for.
func (s *server) requests(number int64) int {
	perSlot := s.usedRate() / s.slotRate()

	return int(math.Floor(float64(number+1)*perSlot) - math.Floor(float64(number)*perSlot))
}

func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }
