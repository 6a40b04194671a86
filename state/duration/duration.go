// Package duration estimates how long calls take, from the longest of those that ended recently. It performs no I/O; callers pass in
// the current time.
package duration

import (
	"sync"
	"time"
)

// Sample is how long one call took.
type Sample struct {
	// Begin is the time from the call's arrival to the beginning of its answer, Rest the time from then to its end.
	Begin, Rest time.Duration
	// Size is the size of the answer in tokens; 0 for calls that state none, whose Rest is estimated as a whole.
	Size int
}

const (
	// minSize is the size in tokens as which smaller streams count, since they tell little about the time for each token.
	minSize = 32
	// maxEstimate bounds estimates.
	maxEstimate = time.Hour
)

// maxima are the longest durations of some samples.
type maxima struct {
	begin, rest time.Duration
	// perToken is the rest for each token of the answer, in seconds.
	perToken float64
}

func (m *maxima) add(s Sample) {
	m.begin = max(m.begin, s.Begin)

	if s.Size > 0 {
		m.perToken = max(m.perToken, s.Rest.Seconds()/float64(max(s.Size, minSize)))
	} else {
		m.rest = max(m.rest, s.Rest)
	}
}

// Estimator keeps the longest durations by route. It is safe for concurrent use.
type Estimator struct {
	window time.Duration

	mu sync.Mutex
	// begun is the time at which the current window began; the previous one ended then.
	begun             time.Time
	current, previous map[string]*maxima
}

// New returns an estimator without samples. Samples count for at least one window and at most two.
func New(window time.Duration) *Estimator {
	return &Estimator{window: window, current: map[string]*maxima{}, previous: map[string]*maxima{}}
}

// Record adds a call of the route that has ended.
func (e *Estimator) Record(now time.Time, route string, s Sample) {
	e.mu.Lock()
	defer e.mu.Unlock()

	e.rotateLocked(now)

	if e.current[route] == nil {
		e.current[route] = &maxima{}
	}

	e.current[route].add(s)
}

// Longest returns an upper estimate of how long a call of the route takes whose answer has the given size. The running calls are
// samples of which each duration is the part that has passed. It returns false when nothing is known of the route.
func (e *Estimator) Longest(now time.Time, route string, size int, running []Sample) (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()

	e.rotateLocked(now)

	var known maxima

	for _, window := range []map[string]*maxima{e.current, e.previous} {
		if m := window[route]; m != nil {
			known.begin = max(known.begin, m.begin)
			known.rest = max(known.rest, m.rest)
			known.perToken = max(known.perToken, m.perToken)
		}
	}

	if known == (maxima{}) {
		return 0, false
	}

	for _, s := range running {
		known.add(s)
	}

	if size > 0 {
		size = max(size, minSize)
	}

	tokens := min(known.perToken*float64(size), maxEstimate.Seconds())

	return min(known.begin+known.rest+time.Duration(tokens*float64(time.Second)), maxEstimate), true
}

func (e *Estimator) rotateLocked(now time.Time) {
	switch age := now.Sub(e.begun); {
	case age < e.window:
	case age < 2*e.window:
		e.current, e.previous, e.begun = map[string]*maxima{}, e.current, now
	default:
		e.current, e.previous, e.begun = map[string]*maxima{}, map[string]*maxima{}, now
	}
}
