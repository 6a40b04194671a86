// Package admission decides which requests may start now, which wait and which are refused. It performs no I/O; callers pass in
// the current time.
package admission

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/apricotway/apricotway"
)

// Request is one request for admission.
type Request struct {
	ID        apricotway.RequestID
	Workspace apricotway.Workspace
	Priority  apricotway.Priority
	// Tokens is the predicted number of tokens, which is charged to the workspace.
	Tokens float64
	// Long requests may use only a part of the capacity.
	Long bool
	// Duration is the predicted time from admission to the last token.
	Duration time.Duration
	Deadline time.Time
}

// Verdict is the outcome of Offer.
type Verdict string

// The values of Verdict.
const (
	Admitted Verdict = "admitted"
	Queued   Verdict = "queued"
	Refused  Verdict = "refused"
)

// Decision is the verdict on a request. A queued request gets a second, final decision later.
type Decision struct {
	ID      apricotway.RequestID
	Verdict Verdict
	// Code and RetryAfter are set for a refused request, which never ran.
	Code       apricotway.Code
	RetryAfter time.Duration
}

// Refusal returns the refusal that the caller of a refused request receives.
func (d Decision) Refusal() *apricotway.Refusal {
	message := "the queue of the workspace is full"
	if d.Code == apricotway.CodeDeadlineUnmeetable {
		message = "the deadline cannot be met"
	}

	return &apricotway.Refusal{
		Code: d.Code, Execution: apricotway.ExecutionNotStarted, Message: message, RetryAfter: d.RetryAfter,
	}
}

// Limits is the capacity that a queue may use.
type Limits struct {
	// Slots bounds the admitted requests, and LongSlots the long ones among them. Zero means unlimited.
	Slots, LongSlots float64
	// Weights are the relative shares of the workspaces in the capacity. A workspace without an entry has weight 1.
	Weights map[apricotway.Workspace]float64
}

const (
	// DefaultMaxWait bounds the predicted wait of a queued request.
	DefaultMaxWait = 5 * time.Second
	// waitMarginPercent is the percentage of the predicted wait that has to fit before the deadline. Predictions are inaccurate:
	// without a margin, 10% of the accepted short requests missed their deadlines at twice the capacity, after they had used the
	// engines.
	waitMarginPercent = 150
	// minRetryAfter is the smallest Retry-After, whose unit on the wire is the second.
	minRetryAfter = time.Second
	// rateWindow is the time over which the rate of finished tokens is averaged.
	rateWindow = 2 * time.Second
)

// Queue admits requests of one service. Workspaces receive weighted fair shares of tokens by start-time fair queueing. Within a
// workspace, requests are admitted by priority and then in the order of arrival.
type Queue struct {
	limits  Limits
	maxWait time.Duration

	workspaces map[apricotway.Workspace]*workspaceQueue
	running    map[apricotway.RequestID]Request
	long       int
	// virtualTime is the virtual time of the last admitted request.
	virtualTime float64

	// rate is the moving average of tokens finished per second by class; 0 while unknown.
	rate      [2]float64
	finished  [2]float64
	rateSince time.Time

	// nextExpiry is a time before which no waiting request becomes unable to meet its deadline.
	nextExpiry time.Time
}

type workspaceQueue struct {
	waiting []Request
	// virtualTime is the virtual time up to which the workspace has received its share.
	virtualTime float64
}

// Option configures a Queue in NewQueue.
type Option func(*Queue)

// WithMaxWait bounds the predicted wait of a queued request.
func WithMaxWait(wait time.Duration) Option {
	return func(q *Queue) { q.maxWait = wait }
}

// NewQueue returns a queue without limits.
func NewQueue(options ...Option) *Queue {
	q := &Queue{
		maxWait:    DefaultMaxWait,
		workspaces: map[apricotway.Workspace]*workspaceQueue{},
		running:    map[apricotway.RequestID]Request{},
	}
	for _, option := range options {
		option(q)
	}

	return q
}

// SetLimits replaces the limits and returns the resulting decisions on waiting requests.
func (q *Queue) SetLimits(now time.Time, limits Limits) []Decision {
	q.limits = limits

	return q.dispatch(now)
}

// Offer requests the admission of a request. One of the decisions concerns the request itself; the others concern requests that
// were waiting.
func (q *Queue) Offer(now time.Time, request Request) []Decision {
	w := q.workspace(request.Workspace)
	wait := q.predictedWait(w, request)

	switch slack := request.Deadline.Sub(now) - request.Duration; {
	case slack < 0:
		return []Decision{{ID: request.ID, Verdict: Refused, Code: apricotway.CodeDeadlineUnmeetable}}
	case wait*waitMarginPercent/100 > slack:
		return []Decision{refuse(request, apricotway.CodeDeadlineUnmeetable, wait-slack*100/waitMarginPercent)}
	case wait > q.maxWait:
		return []Decision{refuse(request, apricotway.CodeOverloaded, wait-q.maxWait)}
	}

	if len(w.waiting) == 0 {
		// A workspace accumulates no share while it is idle.
		w.virtualTime = max(w.virtualTime, q.virtualTime)
	}

	w.insert(request)

	if last := request.Deadline.Add(-request.Duration); last.Before(q.nextExpiry) || q.nextExpiry.IsZero() {
		q.nextExpiry = last
	}

	decisions := q.dispatch(now)
	if !slices.ContainsFunc(decisions, func(d Decision) bool { return d.ID == request.ID }) {
		decisions = append([]Decision{{ID: request.ID, Verdict: Queued}}, decisions...)
	}

	return decisions
}

func refuse(request Request, code apricotway.Code, after time.Duration) Decision {
	return Decision{ID: request.ID, Verdict: Refused, Code: code, RetryAfter: max(after, minRetryAfter)}
}

func (q *Queue) workspace(name apricotway.Workspace) *workspaceQueue {
	w := q.workspaces[name]
	if w == nil {
		w = &workspaceQueue{virtualTime: q.virtualTime}
		q.workspaces[name] = w
	}

	return w
}

func (w *workspaceQueue) insert(request Request) {
	at, _ := slices.BinarySearchFunc(w.waiting, request, func(other, r Request) int {
		// Equal priorities keep their order.
		return cmp.Or(cmp.Compare(rank(other.Priority), rank(r.Priority)), -1)
	})
	w.waiting = slices.Insert(w.waiting, at, request)
}

func rank(priority apricotway.Priority) int {
	switch priority {
	case apricotway.PriorityHigh:
		return 0
	case apricotway.PriorityLow:
		return 2
	case apricotway.PriorityNormal:
	}

	return 1
}

func (q *Queue) weight(name apricotway.Workspace) float64 {
	if weight, ok := q.limits.Weights[name]; ok {
		// A workspace without any share still makes progress.
		return max(weight, 1e-3)
	}

	return 1
}

// hasSlot reports whether a request of the class may start now.
func (q *Queue) hasSlot(long bool) bool {
	if q.limits.Slots > 0 && float64(len(q.running)) >= max(q.limits.Slots, 1) {
		return false
	}

	return !long || q.limits.LongSlots <= 0 || float64(q.long) < max(q.limits.LongSlots, 1)
}

// predictedWait returns the expected time until a request is admitted: the work ahead of it in its own workspace, divided by
// the workspace's share of the rate.
func (q *Queue) predictedWait(w *workspaceQueue, request Request) time.Duration {
	if len(w.waiting) == 0 && q.hasSlot(request.Long) {
		return 0
	}

	// While long requests wait for slots of their class, each class has a queue and a rate of its own.
	rate, split := q.rate[classShort]+q.rate[classLong], !q.hasSlot(true)
	if split {
		rate = q.rate[class(request.Long)]
	}

	ahead := 0.0

	for i := range w.waiting {
		if rank(w.waiting[i].Priority) <= rank(request.Priority) && (!split || w.waiting[i].Long == request.Long) {
			ahead += w.waiting[i].Tokens
		}
	}

	total, own := q.weight(request.Workspace), q.weight(request.Workspace)

	for name, other := range q.workspaces {
		if other != w && len(other.waiting) > 0 {
			total += q.weight(name)
		}
	}

	// Before anything has finished, the rate is unknown and requests are accepted.
	if rate <= 0 {
		return 0
	}

	return time.Duration(min(ahead*total/(own*rate), math.MaxInt32) * float64(time.Second))
}

// dispatch admits requests while slots are free, from the workspace with the lowest virtual time first, and refuses waiting
// requests whose deadline can no longer be met.
func (q *Queue) dispatch(now time.Time) []Decision {
	decisions := q.expire(now)

	for {
		var (
			best   *workspaceQueue
			chosen int
			name   apricotway.Workspace
		)

		for candidate, w := range q.workspaces {
			index := slices.IndexFunc(w.waiting, func(r Request) bool { return q.hasSlot(r.Long) })
			if index < 0 {
				continue
			}

			if best == nil || w.virtualTime < best.virtualTime || w.virtualTime == best.virtualTime && candidate < name {
				best, chosen, name = w, index, candidate
			}
		}

		if best == nil {
			return decisions
		}

		request := best.waiting[chosen]
		best.remove(chosen)

		q.virtualTime = max(q.virtualTime, best.virtualTime)
		best.virtualTime += request.Tokens / q.weight(name)
		q.running[request.ID] = request

		if request.Long {
			q.long++
		}

		decisions = append(decisions, Decision{ID: request.ID, Verdict: Admitted})
	}
}

func (q *Queue) expire(now time.Time) []Decision {
	if !now.After(q.nextExpiry) {
		return nil
	}

	var decisions []Decision

	q.nextExpiry = time.Time{}

	for _, w := range q.workspaces {
		for i := len(w.waiting) - 1; i >= 0; i-- {
			request := w.waiting[i]
			if last := request.Deadline.Add(-request.Duration); last.Before(now) {
				w.remove(i)

				decisions = append(decisions, refuse(request, apricotway.CodeDeadlineUnmeetable, q.predictedWait(w, request)))
			} else if last.Before(q.nextExpiry) || q.nextExpiry.IsZero() {
				q.nextExpiry = last
			}
		}
	}

	return decisions
}

func (w *workspaceQueue) remove(index int) {
	w.waiting = slices.Delete(w.waiting, index, index+1)
}

// Release reports that an admitted request ended after the given number of tokens, or that a queued request is no longer
// wanted.
func (q *Queue) Release(now time.Time, id apricotway.RequestID, tokens float64) []Decision {
	request, ok := q.running[id]
	if !ok {
		q.cancel(id)
		return q.dispatch(now)
	}

	delete(q.running, id)

	if request.Long {
		q.long--
	}

	// The workspace is charged for the tokens that it used instead of the predicted ones.
	w := q.workspace(request.Workspace)
	w.virtualTime += (tokens - request.Tokens) / q.weight(request.Workspace)
	q.updateRate(now, class(request.Long), tokens)

	return q.dispatch(now)
}

func (q *Queue) cancel(id apricotway.RequestID) {
	for _, w := range q.workspaces {
		if i := slices.IndexFunc(w.waiting, func(r Request) bool { return r.ID == id }); i >= 0 {
			w.remove(i)
			return
		}
	}
}

// updateRate updates the rate of finished tokens. Periods without waiting requests count too: they only lower the rate, and
// with it the accepted wait.
func (q *Queue) updateRate(now time.Time, class int, tokens float64) {
	if q.rateSince.IsZero() {
		q.rateSince = now
	}

	q.finished[class] += tokens

	elapsed := now.Sub(q.rateSince)
	if elapsed < rateWindow/4 {
		return
	}

	for class, finished := range q.finished {
		weight := min(elapsed.Seconds()/rateWindow.Seconds(), 1)
		if q.rate[class] == 0 {
			weight = 1
		}

		q.rate[class] += weight * (finished/elapsed.Seconds() - q.rate[class])
	}

	q.finished, q.rateSince = [2]float64{}, now
}

// The classes of requests, as indices of rate and finished.
const (
	classShort = 0
	classLong  = 1
)

func class(long bool) int {
	if long {
		return classLong
	}

	return classShort
}

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int {
	total := 0
	for _, w := range q.workspaces {
		total += len(w.waiting)
	}

	return total
}

// Demand returns the number of slots that each workspace would use, for the division among processes.
func (q *Queue) Demand() Demand {
	demand := Demand{}

	for name, w := range q.workspaces {
		if len(w.waiting) > 0 {
			demand[name] += float64(len(w.waiting))
		}
	}

	for _, request := range q.running {
		demand[request.Workspace]++
	}

	return demand
}
