// Package routing decides which engine runs a request. It performs no I/O; the time comes in as an argument.
package routing

import (
	"time"

	"github.com/apricotway/apricotway"
)

// Work describes one attempt for the choice of an engine.
type Work struct {
	Prompt       string
	PromptTokens int
	MaxTokens    int
	// Excluded engines failed this request before and are chosen only when no other is left.
	Excluded []apricotway.BackendServerID
}

// Policy chooses engines and learns from what happens on them. Implementations are safe for concurrent use.
type Policy interface {
	// Choose returns the index of the chosen candidate, or -1 when there is none.
	Choose(now time.Time, work Work, candidates []apricotway.BackendServer) int
	// Started reports that an attempt was sent.
	Started(now time.Time, server apricotway.BackendServerID, attempt apricotway.AttemptID, work Work)
	// Token reports that tokens of an attempt arrived.
	Token(now time.Time, server apricotway.BackendServerID, attempt apricotway.AttemptID, count int)
	// Ended reports that an attempt ended, whole or not.
	Ended(now time.Time, server apricotway.BackendServerID, attempt apricotway.AttemptID)
	// Reported takes an engine's lagging load report.
	Reported(now time.Time, server apricotway.BackendServerID, report apricotway.LoadReport)
}
