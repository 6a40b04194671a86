// Package admission decides which requests may start now, which wait and which are refused. It performs no I/O; the time
// comes in as an argument.
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
	// Tokens is the predicted work, which is charged to the workspace.
	Tokens float64
	// Long work is held to a part of the capacity.
	Long bool
	// Duration is the predicted time from admission to the last token.
	Duration time.Duration
	Deadline time.Time
}

// Verdict is the outcome of an offer.
type Verdict string

// The values of Verdict.
const (
	Admitted Verdict = "admitted"
	Queued   Verdict = "queued"
	Refused  Verdict = "refused"
)

// Decision tells what happens to a request. A request that was queued receives a second one later.
type Decision struct {
	ID      apricotway.RequestID
	Verdict Verdict
	// Code and RetryAfter are set for a refused request. It never ran.
	Code       apricotway.Code
	RetryAfter time.Duration
}

// Refusal returns the refusal for the caller of a refused request.
func (d Decision) Refusal() *apricotway.Refusal {
	message := "the queue of the workspace is full"
	if d.Code == apricotway.CodeDeadlineUnmeetable {
		message = "the deadline cannot be met"
	}

	return &apricotway.Refusal{
		Code: d.Code, Execution: apricotway.ExecutionNotStarted, Message: message, RetryAfter: d.RetryAfter,
	}
}

// Limits is the capacity that a queue may hand out.
type Limits struct {
	// Slots bounds the admitted requests, LongSlots the long ones among them. Zero stands for no limit.
	Slots, LongSlots float64
	// Weights are the workspaces' parts of the capacity; a workspace without an entry has the weight 1.
	Weights map[apricotway.Workspace]float64
}

const (
	// DefaultMaxWait bounds the predicted wait of a queued request.
	DefaultMaxWait = 5 * time.Second
	// waitMargin is the percentage of the predicted wait that has to fit before the deadline. The prediction errs; without a
	// margin, 10% of the accepted short requests were late at twice the capacity, after they had used the engines.
	waitMargin = 150
	// minRetryAfter is the smallest Retry-After; its unit on the wire is the second.
	minRetryAfter = time.Second
	// rateTime is the time over which the rate of finished work is averaged.
	rateTime = 2 * time.Second
)

// Queue admits requests of one service. Workspaces receive weighted fair shares of tokens by start-time fair queueing;
// within a workspace, requests are admitted by priority and then in order.
type Queue struct {
	limits  Limits
	maxWait time.Duration

	workspaces map[apricotway.Workspace]*workspaceQueue
	running    map[apricotway.RequestID]Request
	long       int
	// virtual is the virtual time of the last admitted request.
	virtual float64

	// rate is the smoothed number of tokens finished per second, by class; 0 while it is unknown.
	rate     [2]float64
	finished [2]float64
	rateFrom time.Time

	// expiry is a time before which no waiting request becomes hopeless.
	expiry time.Time
}

type workspaceQueue struct {
	waiting []Request
	// tag is the virtual time at which the workspace has received its share.
	tag float64
}

// Option changes a queue under construction.
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

// SetLimits replaces the limits and returns the decisions that follow from it.
func (q *Queue) SetLimits(now time.Time, limits Limits) []Decision {
	q.limits = limits

	return q.dispatch(now)
}

// Offer asks for the admission of a request. The first decision concerns the request itself, unless it is queued; others
// concern requests that waited.
func (q *Queue) Offer(now time.Time, request Request) []Decision {
	w := q.workspace(request.Workspace)
	wait := q.predictedWait(w, request)

	switch left := request.Deadline.Sub(now) - request.Duration; {
	case left < 0:
		return []Decision{{ID: request.ID, Verdict: Refused, Code: apricotway.CodeDeadlineUnmeetable}}
	case wait*waitMargin/100 > left:
		return []Decision{refuse(request, apricotway.CodeDeadlineUnmeetable, wait-left*100/waitMargin)}
	case wait > q.maxWait:
		return []Decision{refuse(request, apricotway.CodeOverloaded, wait-q.maxWait)}
	}

	if len(w.waiting) == 0 {
		// A workspace that was idle does not save up its share.
		w.tag = max(w.tag, q.virtual)
	}

	w.insert(request)

	if last := request.Deadline.Add(-request.Duration); last.Before(q.expiry) || q.expiry.IsZero() {
		q.expiry = last
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
		w = &workspaceQueue{tag: q.virtual}
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

// fits tells whether a request of the class may start now.
func (q *Queue) fits(long bool) bool {
	if q.limits.Slots > 0 && float64(len(q.running)) >= max(q.limits.Slots, 1) {
		return false
	}

	return !long || q.limits.LongSlots <= 0 || float64(q.long) < max(q.limits.LongSlots, 1)
}

// predictedWait returns the time until a request would be admitted: the work ahead of it in its own workspace at the
// workspace's share of the rate.
func (q *Queue) predictedWait(w *workspaceQueue, request Request) time.Duration {
	if len(w.waiting) == 0 && q.fits(request.Long) {
		return 0
	}

	// While long work waits for places of its class, each class has a queue and a rate of its own.
	rate, split := q.rate[classShort]+q.rate[classLong], !q.fits(true)
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

	// Before anything was finished nothing is known, and requests are accepted.
	if rate <= 0 {
		return 0
	}

	return time.Duration(min(ahead*total/(own*rate), math.MaxInt32) * float64(time.Second))
}

// dispatch admits what fits, workspaces with the lowest virtual time first, and refuses waiting requests whose deadline can
// no longer be met.
func (q *Queue) dispatch(now time.Time) []Decision {
	decisions := q.expire(now)

	for {
		var (
			best   *workspaceQueue
			chosen int
			name   apricotway.Workspace
		)

		for candidate, w := range q.workspaces {
			index := slices.IndexFunc(w.waiting, func(r Request) bool { return q.fits(r.Long) })
			if index < 0 {
				continue
			}

			if best == nil || w.tag < best.tag || w.tag == best.tag && candidate < name {
				best, chosen, name = w, index, candidate
			}
		}

		if best == nil {
			return decisions
		}

		request := best.waiting[chosen]
		best.remove(chosen)

		q.virtual = max(q.virtual, best.tag)
		best.tag += request.Tokens / q.weight(name)
		q.running[request.ID] = request

		if request.Long {
			q.long++
		}

		decisions = append(decisions, Decision{ID: request.ID, Verdict: Admitted})
	}
}

func (q *Queue) expire(now time.Time) []Decision {
	if !now.After(q.expiry) {
		return nil
	}

	var decisions []Decision

	q.expiry = time.Time{}

	for _, w := range q.workspaces {
		for i := len(w.waiting) - 1; i >= 0; i-- {
			request := w.waiting[i]
			if last := request.Deadline.Add(-request.Duration); last.Before(now) {
				w.remove(i)

				decisions = append(decisions, refuse(request, apricotway.CodeDeadlineUnmeetable, q.predictedWait(w, request)))
			} else if last.Before(q.expiry) || q.expiry.IsZero() {
				q.expiry = last
			}
		}
	}

	return decisions
}

func (w *workspaceQueue) remove(index int) {
	w.waiting = slices.Delete(w.waiting, index, index+1)
}

// Released reports that an admitted request ended after the given tokens of work, or that a queued one is no longer wanted.
func (q *Queue) Released(now time.Time, id apricotway.RequestID, tokens float64) []Decision {
	request, ok := q.running[id]
	if !ok {
		q.cancel(id)
		return q.dispatch(now)
	}

	delete(q.running, id)

	if request.Long {
		q.long--
	}

	// The workspace pays for what it used and not for what was predicted.
	w := q.workspace(request.Workspace)
	w.tag += (tokens - request.Tokens) / q.weight(request.Workspace)
	q.measure(now, class(request.Long), tokens)

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

// measure updates the rate of finished work. Periods without waiting requests count too: they only make the rate, and with
// it the accepted wait, smaller.
func (q *Queue) measure(now time.Time, class int, tokens float64) {
	if q.rateFrom.IsZero() {
		q.rateFrom = now
	}

	q.finished[class] += tokens

	elapsed := now.Sub(q.rateFrom)
	if elapsed < rateTime/4 {
		return
	}

	for class, finished := range q.finished {
		weight := min(elapsed.Seconds()/rateTime.Seconds(), 1)
		if q.rate[class] == 0 {
			weight = 1
		}

		q.rate[class] += weight * (finished/elapsed.Seconds() - q.rate[class])
	}

	q.finished, q.rateFrom = [2]float64{}, now
}

// The classes of work.
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

// Waiting returns the number of requests that wait.
func (q *Queue) Waiting() int {
	total := 0
	for _, w := range q.workspaces {
		total += len(w.waiting)
	}

	return total
}

// Demand returns the number of places that each workspace would use, for the division among processes.
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
