// Package completion runs model requests: it chooses engines, reads their token streams, resumes a request on another engine when
// one fails, and keeps accepted requests running when a caller's connection or a process is lost.
package completion

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/quarantine"
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
	// Deadline is the time by which the answer has to be complete.
	Deadline time.Time
	Sampling map[string]json.RawMessage
	Form     Form
}

// Form is the format in which the caller wants the answer. It is part of the request's copies, so that every process continues the
// answer in the same format.
type Form struct {
	Chat         bool
	Stream       bool
	IncludeUsage bool
	Created      time.Time
}

// Sink receives the answer's tokens in order, each index exactly once. An error ends the delivery.
type Sink func(token apricotway.Token) error

// LineageSink receives tokens like a Sink, with the lineage of the engine that generated them.
type LineageSink func(token apricotway.Token, lineage apricotway.Lineage) error

// Delivered is the part of an answer that was generated before, here or in another process.
type Delivered struct {
	Text   string
	Tokens int
	// Lineage is that of the engines that generated the text; the zero value before the first token.
	Lineage apricotway.Lineage
	// Admitted is set when the request has passed admission before.
	Admitted bool
}

// digest returns a hash of a request's service and prompt. It is the same for all workspaces, callers and attempts.
func digest(request Request) quarantine.Digest {
	sum := sha256.Sum256([]byte(string(request.Service) + "\x00" + request.Prompt))
	return quarantine.Digest(hex.EncodeToString(sum[:]))
}
