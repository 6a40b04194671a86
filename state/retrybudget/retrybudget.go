// Package retrybudget limits the repeated calls of one process so that all processes together stay within the retry budget of a
// service.
package retrybudget

import (
	"sync"
	"time"

	"github.com/apricotway/apricotway"
)

const (
	// bucketsPerWindow is the number of buckets that divide the window. The oldest bucket is dropped as a whole.
	bucketsPerWindow = 10
	// usableShare is the fraction of the budget that is used. The rest covers calls that other processes count in a different
	// window.
	usableShare = 0.7
)

// Limits bound the repeats of all processes together.
type Limits struct {
	// Ratio is the number of repeats allowed for each call.
	Ratio float64
	// Window is the time over which calls and repeats are counted.
	Window time.Duration
	// Slack is the number of repeats allowed in a window in addition to the ratio, over all processes.
	Slack float64
}

// Budget counts the calls and repeats of one process. It is safe for concurrent use.
type Budget struct {
	terms Limits

	mu        sync.Mutex
	processes int
	services  map[apricotway.Service]*window
}

// window holds the counts of one window by bucket. bucketNumbers holds the number of the time interval that each bucket belongs
// to.
type window struct {
	bucketNumbers  [bucketsPerWindow]int64
	calls, repeats [bucketsPerWindow]float64
}

// New returns a budget for one process.
func New(terms Limits) *Budget {
	return &Budget{terms: terms, processes: 1, services: map[apricotway.Service]*window{}}
}

// SetMembers sets the number of processes that share the slack.
func (b *Budget) SetMembers(processes int) {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.processes = max(processes, 1)
}

func (b *Budget) bucketNumber(now time.Time) int64 {
	return now.UnixNano() / int64(b.terms.Window/bucketsPerWindow)
}

func (b *Budget) window(now time.Time, service apricotway.Service) (*window, int) {
	w := b.services[service]
	if w == nil {
		w = &window{}
		b.services[service] = w
	}

	number := b.bucketNumber(now)
	index := int(number % bucketsPerWindow)

	if w.bucketNumbers[index] != number {
		w.bucketNumbers[index], w.calls[index], w.repeats[index] = number, 0, 0
	}

	return w, index
}

// AddCall counts a call.
func (b *Budget) AddCall(now time.Time, service apricotway.Service) {
	b.mu.Lock()
	defer b.mu.Unlock()

	w, index := b.window(now, service)
	w.calls[index]++
}

// Return takes back a repeat that was counted at the given time and not sent.
func (b *Budget) Return(taken time.Time, service apricotway.Service) {
	b.mu.Lock()
	defer b.mu.Unlock()

	w := b.services[service]
	number := b.bucketNumber(taken)
	index := int(number % bucketsPerWindow)

	// A bucket that has left the window counts no more.
	if w != nil && w.bucketNumbers[index] == number && w.repeats[index] > 0 {
		w.repeats[index]--
	}
}

// Take counts a repeat and returns true if the budget allows it.
func (b *Budget) Take(now time.Time, service apricotway.Service) bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	w, index := b.window(now, service)
	oldest := b.bucketNumber(now) - bucketsPerWindow

	var calls, repeats float64

	for i := range bucketsPerWindow {
		if w.bucketNumbers[i] > oldest {
			calls += w.calls[i]
			repeats += w.repeats[i]
		}
	}

	if repeats+1 > usableShare*(b.terms.Ratio*calls+b.terms.Slack/float64(b.processes)) {
		return false
	}

	w.repeats[index]++

	return true
}
