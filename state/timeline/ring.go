package timeline

import (
	"cmp"
	"slices"
	"sync"

	"github.com/apricotway/apricotway"
)

// DefaultCapacity is the number of events that a process keeps, which is about 2 MB.
const DefaultCapacity = 8192

// Kind is the type of an event.
type Kind string

// Event is one entry of the timeline.
type Event struct {
	Stamp   apricotway.Stamp     `json:"stamp"`
	Node    apricotway.NodeID    `json:"node"`
	Kind    Kind                 `json:"kind"`
	Request apricotway.RequestID `json:"request,omitempty"`
	// Detail is a short text for human readers.
	Detail string `json:"detail,omitempty"`
}

// Ring keeps the newest events of a process. It is safe for concurrent use.
type Ring struct {
	node  apricotway.NodeID
	clock apricotway.Clock

	mu sync.Mutex
	// events is a circular buffer; next is the index of the oldest event once the buffer is full.
	events []Event
	next   int
}

// NewRing returns a ring with capacity for the given number of events.
func NewRing(node apricotway.NodeID, clock apricotway.Clock, capacity int) *Ring {
	return &Ring{node: node, clock: clock, events: make([]Event, 0, capacity)}
}

// Add records an event. A nil ring drops it, so that components work without a timeline.
func (r *Ring) Add(kind Kind, request apricotway.RequestID, detail string) {
	if r == nil {
		return
	}

	r.mu.Lock()
	defer r.mu.Unlock()

	// The stamp is taken under the lock, so that the events in the ring are ordered by stamp.
	event := Event{Stamp: r.clock.Now(), Node: r.node, Kind: kind, Request: request, Detail: detail}

	if len(r.events) < cap(r.events) {
		r.events = append(r.events, event)
		return
	}

	r.events[r.next] = event
	r.next = (r.next + 1) % len(r.events)
}

// Filter selects events.
type Filter struct {
	// Request selects the events of one request; empty selects all.
	Request apricotway.RequestID
	// Since selects events with this stamp or a later one.
	Since apricotway.Stamp
}

// Events returns the selected events ordered by stamp.
func (r *Ring) Events(filter Filter) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()

	selected := []Event{}

	for i := range r.events {
		event := r.events[(r.next+i)%len(r.events)]
		if event.Stamp >= filter.Since && (filter.Request == "" || event.Request == filter.Request) {
			selected = append(selected, event)
		}
	}

	return selected
}

// Merge merges the events of several processes into one causal order.
func Merge(lists ...[]Event) []Event {
	merged := slices.Concat(lists...)
	slices.SortStableFunc(merged, func(a, b Event) int {
		return cmp.Or(cmp.Compare(a.Stamp, b.Stamp), cmp.Compare(a.Node, b.Node))
	})

	return merged
}
