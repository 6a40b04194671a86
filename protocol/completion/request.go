// Package completion runs model requests: it chooses engines, follows their streams and resumes a request on another
// engine when one fails.
package completion

import (
	"encoding/json"
	"time"

	"github.com/apricotway/apricotway"
)

// Request is an accepted model request.
type Request struct {
	ID        apricotway.RequestID
	Workspace apricotway.Workspace
	Service   apricotway.Service
	Prompt    string
	// MaxTokens is at least 1.
	MaxTokens int
	Priority  apricotway.Priority
	// Deadline is the time by which the whole answer has to be there.
	Deadline time.Time
	Sampling map[string]json.RawMessage
}

// Sink takes the answer's tokens in order, each index exactly once. An error ends the request.
type Sink func(token apricotway.Token) error
