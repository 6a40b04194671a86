// Package routing decides which engine runs a request. It performs no I/O; the time comes in as an argument.
package routing

import (
	"time"

	"github.com/apricotway/apricotway"
)

// Work describes one attempt for the choice of an engine.
type Work struct {
	Service      apricotway.Service
	Prompt       string
	PromptTokens int
	MaxTokens    int
	// Blocks are the prompt's prefix blocks; without them no prefix is recognised.
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
	// OutcomeCancelled means that the attempt was no longer wanted.
	OutcomeCancelled Outcome = "cancelled"
)

// Policy chooses engines and learns from what happens on them. Implementations are safe for concurrent use.
type Policy interface {
	// Choose returns the index of the chosen candidate, or -1 when there is none.
	Choose(now time.Time, work Work, candidates []apricotway.BackendServer) int
	// Started reports that an attempt was sent.
	Started(now time.Time, server apricotway.BackendServerID, attempt apricotway.AttemptID, work Work)
	// Token reports that tokens of an attempt arrived.
	Token(now time.Time, server apricotway.BackendServerID, attempt apricotway.AttemptID, count int)
	// Ended reports that an attempt ended.
	Ended(now time.Time, server apricotway.BackendServerID, attempt apricotway.AttemptID, outcome Outcome)
	// Reported takes an engine's lagging load report.
	Reported(now time.Time, server apricotway.BackendServerID, report apricotway.LoadReport)
	// Cached takes an engine's cache events, which are late and have gaps.
	Cached(now time.Time, server apricotway.BackendServerID, events []apricotway.CacheEvent)
}

// EnginePriority returns the priority with which an engine runs an attempt. Long work of normal priority yields to short
// work.
func EnginePriority(priority apricotway.Priority, long bool) apricotway.Priority {
	if long && priority != apricotway.PriorityHigh {
		return apricotway.PriorityLow
	}

	return priority
}

// silent is embedded by policies that do not learn.
type silent struct{}

// Started implements Policy.
func (silent) Started(time.Time, apricotway.BackendServerID, apricotway.AttemptID, Work) {}

// Token implements Policy.
func (silent) Token(time.Time, apricotway.BackendServerID, apricotway.AttemptID, int) {}

// Ended implements Policy.
func (silent) Ended(time.Time, apricotway.BackendServerID, apricotway.AttemptID, Outcome) {}

// Reported implements Policy.
func (silent) Reported(time.Time, apricotway.BackendServerID, apricotway.LoadReport) {}

// Cached implements Policy.
func (silent) Cached(time.Time, apricotway.BackendServerID, []apricotway.CacheEvent) {}
