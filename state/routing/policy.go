// Package routing decides which engine runs a request, and when a request is retried or hedged. It performs no I/O; the
// current time is passed in as an argument.
package routing

import (
	"time"

	"github.com/apricotway/apricotway"
)

// Work describes the request of an attempt, as far as the choice of an engine depends on it.
type Work struct {
	Service      apricotway.Service
	Prompt       string
	PromptTokens int
	MaxTokens    int
	// Blocks are the hashes of the prompt's prefix blocks. Without them prefix hits are not considered.
	Blocks []uint64
	// Excluded engines failed this request before and are chosen only when no other is left.
	Excluded []apricotway.BackendServerID
}

// Outcome tells how an attempt ended.
type Outcome string

// The values of Outcome.
const (
	// OutcomeFinished means that the last token arrived.
	OutcomeFinished Outcome = "finished"
	// OutcomeFailed means that the engine refused or lost the attempt.
	OutcomeFailed Outcome = "failed"
	// OutcomeCancelled means that the attempt was stopped because its result was no longer needed.
	OutcomeCancelled Outcome = "cancelled"
)

// Policy chooses engines and learns from the events of their attempts. Implementations are safe for concurrent use.
type Policy interface {
	// Choose returns the index of the chosen candidate, or -1 when there is none.
	Choose(now time.Time, work Work, candidates []apricotway.BackendServer) int
	// Started reports that an attempt was sent.
	Started(now time.Time, server apricotway.BackendServerID, attempt apricotway.AttemptID, work Work)
	// Token reports that tokens of an attempt arrived.
	Token(now time.Time, server apricotway.BackendServerID, attempt apricotway.AttemptID, count int)
	// Ended reports that an attempt ended.
	Ended(now time.Time, server apricotway.BackendServerID, attempt apricotway.AttemptID, outcome Outcome)
	// Reported takes an engine's load report, which describes a time before now.
	Reported(now time.Time, server apricotway.BackendServerID, report apricotway.LoadReport)
	// Cached takes an engine's cache events, which arrive late and with gaps.
	Cached(now time.Time, server apricotway.BackendServerID, events []apricotway.CacheEvent)
}

// EnginePriority returns the priority with which an engine runs an attempt. Long work gets a low priority, so that it yields
// to short work, unless the caller asked for a high one.
func EnginePriority(priority apricotway.Priority, long bool) apricotway.Priority {
	if long && priority != apricotway.PriorityHigh {
		return apricotway.PriorityLow
	}

	return priority
}

// noFeedback implements the feedback methods of Policy for policies that do not learn from attempts.
type noFeedback struct{}

// Started implements Policy.
func (noFeedback) Started(time.Time, apricotway.BackendServerID, apricotway.AttemptID, Work) {}

// Token implements Policy.
func (noFeedback) Token(time.Time, apricotway.BackendServerID, apricotway.AttemptID, int) {}

// Ended implements Policy.
func (noFeedback) Ended(time.Time, apricotway.BackendServerID, apricotway.AttemptID, Outcome) {}

// Reported implements Policy.
func (noFeedback) Reported(time.Time, apricotway.BackendServerID, apricotway.LoadReport) {}

// Cached implements Policy.
func (noFeedback) Cached(time.Time, apricotway.BackendServerID, []apricotway.CacheEvent) {}
