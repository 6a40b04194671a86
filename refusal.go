package apricotway

import (
	"fmt"
	"time"

	"github.com/go-faster/errors"
)

// ErrStopping is the cause with which the context of a caller's request ends when its process has to stop before the request has been
// answered.
var ErrStopping = errors.New("the process is stopping")

// Execution is what is known about the execution of a failed request.
type Execution string

// The values of Execution.
const (
	// ExecutionNotStarted means that no byte of the request reached a backend server.
	ExecutionNotStarted Execution = "notStarted"
	// ExecutionUnknown means that the request may have run.
	ExecutionUnknown Execution = "unknown"
	// ExecutionCompleted means that the request ran to its end.
	ExecutionCompleted Execution = "completed"
)

// Code is the stable, machine-readable reason of a refusal.
type Code string

// The codes that callers receive. docs/api.md lists them with cause and remedy.
const (
	CodeInvalidRequest     Code = "invalidRequest"
	CodeUnauthorized       Code = "unauthorized"
	CodePathNotFound       Code = "pathNotFound"
	CodeServiceNotFound    Code = "serviceNotFound"
	CodeRequestNotFound    Code = "requestNotFound"
	CodeRequestTooLarge    Code = "requestTooLarge"
	CodeBodyNoRoom         Code = "bodyNoRoom"
	CodeBodySlow           Code = "bodySlow"
	CodeNoBackendServer    Code = "noBackendServer"
	CodeOverloaded         Code = "overloaded"
	CodeDeadlineUnmeetable Code = "deadlineUnmeetable"
	CodeNotReady           Code = "notReady"
	CodeLeaving            Code = "leaving"
	CodeQuarantined        Code = "quarantined"
	CodeKeyConflict        Code = "keyConflict"
	CodeKeyExpired         Code = "keyExpired"
	CodeKeyInProgress      Code = "keyInProgress"
	CodeLedgerUnavailable  Code = "ledgerUnavailable"
	CodeOutcomeUnknown     Code = "outcomeUnknown"
	CodeBackendFailed      Code = "backendFailed"
	CodeDeadlineExceeded   Code = "deadlineExceeded"
	CodeInternal           Code = "internal"
)

// Refusal is the error that a caller receives. Each layer turns the errors of the layer below into refusals or into its own errors;
// the protocol layer returns only refusals.
type Refusal struct {
	// Code is never empty.
	Code Code
	// Execution is ExecutionNotStarted only when it is certain that the request did not run.
	Execution Execution
	// Message is one sentence for people.
	Message string
	// RetryAfter is the time after which a retry can succeed; 0 when a retry cannot help.
	RetryAfter time.Duration
}

// Error implements the error interface.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Code, r.Execution, r.Message)
}

// AsRefusal returns the refusal in the error's chain. Any other error becomes an internal refusal with unknown execution,
// since nothing is known about it.
func AsRefusal(err error) *Refusal {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal
	}

	return &Refusal{Code: CodeInternal, Execution: ExecutionUnknown, Message: err.Error()}
}
