// Package canary decides how a service's traffic shifts to another software version on an operator's order. A Controller, at the process
// that holds the duties, plans the exposure of the version, judges it by the counts of all processes, and completes the order or rolls it
// back. A Local, at each process, keeps the calls of the process within the exposure and counts them. It performs no I/O; callers pass in
// the current time.
package canary

import (
	"time"

	"github.com/apricotway/apricotway"
)

// Bounds are the limits on what a bad version may get.
type Bounds struct {
	// Share is the share of the requests between an order and its time limit that a bad version may get, and Slack the number of requests in
	// addition.
	Share, Slack float64
	// Rollback is the time after the 50th bad response within which the last request is sent to a bad version.
	Rollback time.Duration
}

// Enabled reports whether orders to shift traffic are carried out.
func (b Bounds) Enabled() bool { return b.Share > 0 }

// State is the state of the newest order of a service. It is passed to all processes and saved for the next holder of the duties.
type State struct {
	// Order identifies the order by its position in the store. It is zero if no order of the service has been accepted yet.
	Order    apricotway.StorePosition   `json:"order"`
	Service  apricotway.Service         `json:"service"`
	Version  apricotway.SoftwareVersion `json:"version"`
	Duration time.Duration              `json:"duration"`
	// State is empty if no order has been accepted yet.
	State  apricotway.VersionShiftState `json:"state"`
	Reason string                       `json:"reason"`
	// Term is the fencing number of the holder that changed the state last, and Revision increases with each change.
	Term     apricotway.Offset `json:"term"`
	Revision uint64            `json:"revision"`
	// Share is the share of new calls that the version gets while the order is running.
	Share float64 `json:"share"`
	// Lapse is the time after which Share no longer counts, unless a newer answer says so; 0 if it counts as long as the answer does. It
	// bounds the last step, in which the version gets all calls.
	Lapse time.Duration `json:"lapse"`
	// Age is the time since the order was read, and Decided the time since it was completed or rolled back.
	Age     time.Duration `json:"age"`
	Decided time.Duration `json:"decided"`
	// Others are the versions that served the service before the order.
	Others []apricotway.SoftwareVersion `json:"others"`
	// Denied are the versions that were rolled back and that no order has named since.
	Denied []apricotway.SoftwareVersion `json:"denied"`
	// Requests and Exposed are the numbers of requests that reached the service since the order, and of those that the version got.
	Requests uint64 `json:"requests"`
	Exposed  uint64 `json:"exposed"`
	// Refused is the position of the newest order that was refused.
	Refused apricotway.StorePosition `json:"refused"`
}

// newer reports whether the state is a later one than the other.
func (s *State) newer(other *State) bool {
	if s.Term != other.Term {
		return s.Term > other.Term
	}

	return s.Revision > other.Revision
}

// Answer is what the holder of the duties tells each process of the orders.
type Answer struct {
	// Term is the fencing number of the holder.
	Term apricotway.Offset
	// OrdersAge is the time since the holder began the newest read of the orders.
	OrdersAge time.Duration
	States    []State
}

// sliceShare is the part of an order's duration that one time slice of the counts covers, within the bounds that follow.
const (
	sliceShare = 16
	minSlice   = 500 * time.Millisecond
	maxSlice   = 5 * time.Second
)

// sliceOf returns the number of the time slice of an order's age.
func sliceOf(duration, age time.Duration) int {
	return int(age / min(max(duration/sliceShare, minSlice), maxSlice))
}
