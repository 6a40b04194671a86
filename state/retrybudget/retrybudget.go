// Package retrybudget bounds the sends of one process that repeat a call, so that all processes together stay within the
// budget of a service.
package retrybudget

import (
	"sync"
	"time"

	"github.com/apricotway/apricotway"
)

const (
	// buckets divides the window; the oldest part of the window is dropped as a whole.
	buckets = 10
	// keep is the part of the budget that is used; the rest covers calls that are counted in another window elsewhere.
	keep = 0.7
)

// Terms are the bounds over all processes.
type Terms struct {
	// Ratio is the number of repeats for each call.
	Ratio float64
	// Window is the span over which calls and repeats are counted.
	Window time.Duration
	// Slack is the number of repeats in a window beyond the ratio, over all processes.
	Slack float64
}

// Budget counts the calls and repeats of one process. It is safe for concurrent use.
type Budget struct {
	terms Terms

	mu       sync.Mutex
	members  int
	services map[apricotway.Service]*window
}

// window holds counts by parts of the window; parts[i] belongs to the part number stamp[i].
type window struct {
	stamp          [buckets]int64
	calls, repeats [buckets]float64
}

// New returns a budget.
func New(terms Terms) *Budget {
	return &Budget{terms: terms, members: 1, services: map[apricotway.Service]*window{}}
}

// SetMembers sets the number of processes that share the slack.
func (b *Budget) SetMembers(members int) {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.members = max(members, 1)
}

func (b *Budget) part(now time.Time) int64 { return now.UnixNano() / int64(b.terms.Window/buckets) }

func (b *Budget) window(now time.Time, service apricotway.Service) (*window, int) {
	w := b.services[service]
	if w == nil {
		w = &window{}
		b.services[service] = w
	}

	part := b.part(now)
	index := int(part % buckets)

	if w.stamp[index] != part {
		w.stamp[index], w.calls[index], w.repeats[index] = part, 0, 0
	}

	return w, index
}

// Called counts a call.
func (b *Budget) Called(now time.Time, service apricotway.Service) {
	b.mu.Lock()
	defer b.mu.Unlock()

	w, index := b.window(now, service)
	w.calls[index]++
}

// Take counts a repeat if the budget has room for it.
func (b *Budget) Take(now time.Time, service apricotway.Service) bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	w, index := b.window(now, service)
	oldest := b.part(now) - buckets

	var calls, repeats float64

	for i := range buckets {
		if w.stamp[i] > oldest {
			calls += w.calls[i]
			repeats += w.repeats[i]
		}
	}

	if repeats+1 > keep*(b.terms.Ratio*calls+b.terms.Slack/float64(b.members)) {
		return false
	}

	w.repeats[index]++

	return true
}
