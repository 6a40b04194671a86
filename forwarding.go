package apricotway

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
)

// PromptPart is one part of a prompt. Requests whose prompts begin with the same parts share these parts in an engine's prefix
// cache.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// CallMetadata is what a caller states about a call in its HTTP header.
type CallMetadata struct {
	// Attempt identifies the caller's attempt. Backend servers echo it.
	Attempt AttemptID
	// Timeout is the caller's timeout; 0 when it states none.
	Timeout time.Duration
	// Key is the caller's key; empty without one.
	Key string
	// PromptTokens is the size of the prompt, AnswerTokens the maximum size of the answer.
	PromptTokens, AnswerTokens int
	// HasTokens is set when the caller stated PromptTokens and AnswerTokens.
	HasTokens bool
	// ExpectedTokens is the caller's estimate of the answer's size; 0 without one.
	ExpectedTokens int
	Parts          []PromptPart
	// LastEvent is the identifier of the last event that the caller received; empty when the stream starts at its beginning.
	LastEvent string
	// Resumes is the attempt that brought the first event of the stream that the caller takes up; empty when it takes up none.
	Resumes AttemptID
}

// SendMetadata is what the system states in the HTTP header of one send of a call to a backend server.
type SendMetadata struct {
	Workspace Workspace
	// Remaining is the time that is left for the backend server to answer.
	Remaining time.Duration
	// Server is the only backend server that may run the call.
	Server BackendServerID
	// Urgency orders calls in an engine's queue: 0 is first, 9 last, and a negative value means none.
	Urgency int
	// LastEvent is the identifier of the event after which the stream continues; empty for a stream from its beginning.
	LastEvent string
	// Memory names the KV cache of a stopped run that continues; nil for a run that begins.
	Memory *RunKVCache
}

// RunKVCache names the KV cache of a stopped run, so that the run can continue at an engine that has the cache.
type RunKVCache struct {
	// Source is the engine that stopped the run.
	Source netip.AddrPort
	Handle string
}

// RunMover moves runs, which are generations of one stream each, between engines.
type RunMover interface {
	// Move stops a run and copies its KV cache to the target. The stream of the run breaks off without an end marker. When only
	// the copy failed, the result has a handle and copied is false: the run can continue at its source. Move fails with
	// ErrRunUnknown when the source has no such run, for example because the run has ended. An error that wraps ErrNotSent means that
	// the source does not have the order. After any other error the source may stop the run at any time.
	Move(
		ctx context.Context, source netip.AddrPort, attempt AttemptID, target netip.AddrPort,
	) (memory RunKVCache, copied bool, err error)
}

// ErrRunUnknown reports that an engine does not have a run.
var ErrRunUnknown = errors.New("run unknown")

// BackendLoad is the load that a backend server reports with an answer.
type BackendLoad struct {
	Running, Waiting, Slots int
	// Slowdown is the time that work takes at present relative to the usual time; 1 is the usual time.
	Slowdown float64
}

// LimitStatement is whether an answer states a limit on the requests of its server.
type LimitStatement string

// The values of LimitStatement.
const (
	// LimitAbsent means that the server accepts requests without a stated limit.
	LimitAbsent LimitStatement = ""
	// LimitStated means that the server accepts RequestLimit.PerSecond requests per second.
	LimitStated LimitStatement = "stated"
	// LimitInvalid means that the statement can't be read, so it neither sets nor ends a limit.
	LimitInvalid LimitStatement = "invalid"
)

// RequestLimit is what an answer states about the requests that its server accepts from all processes together.
type RequestLimit struct {
	Statement LimitStatement
	// PerSecond is a finite number, not negative. It is 0 unless Statement is LimitStated.
	PerSecond float64
}

// PauseStatement is whether an answer names a time for which its server wants no calls.
type PauseStatement string

// The values of PauseStatement.
const (
	PauseAbsent PauseStatement = ""
	// PauseStated means that the server wants no calls from this process for RequestPause.For.
	PauseStated PauseStatement = "stated"
	// PauseInvalid means that the statement can't be read.
	PauseInvalid PauseStatement = "invalid"
)

// RequestPause is the time for which the server of an answer wants no calls from the process that gets the answer.
type RequestPause struct {
	Statement PauseStatement
	// For is not negative. It is 0 unless Statement is PauseStated.
	For time.Duration
}

// BrittleStatement is whether an answer says that its server is brittle: that it falls over when it has to turn away many requests.
type BrittleStatement string

// The values of BrittleStatement.
const (
	BrittleAbsent BrittleStatement = ""
	// BrittleStated means that the server falls over when it turns away more than Brittleness.Rejections requests in a second.
	BrittleStated BrittleStatement = "stated"
	// BrittleInvalid means that the statement can't be read.
	BrittleInvalid BrittleStatement = "invalid"
)

// Brittleness is what an answer states about the requests that its server can turn away.
type Brittleness struct {
	Statement BrittleStatement
	// Rejections is not negative. It is 0 unless Statement is BrittleStated.
	Rejections int
}

// AnswerMetadata is what a backend server states about an answer in the answer's HTTP header.
type AnswerMetadata struct {
	Attempt AttemptID
	// NotRun is set when the server did not run the call and will not run it.
	NotRun bool
	Server BackendServerID
	// Load is nil when the server does not report it.
	Load *BackendLoad
	// Limit is the limit that the server states for the time until its next answer.
	Limit RequestLimit
	// Leaving is set when the server says that it is leaving and wants no further calls.
	Leaving bool
	// Pause is the pause that the server names as it turns the call away.
	Pause RequestPause
	// Brittle is what the server says of its brittleness.
	Brittle Brittleness
}

// Dialect reads and writes the HTTP headers of calls and answers. Only its implementation knows the names of the header fields.
type Dialect interface {
	// ReadCall returns the metadata of a caller's header. Invalid values count as missing; an error means that the call cannot be
	// forwarded at all.
	ReadCall(header http.Header) (CallMetadata, error)
	// ForwardHeader returns the header for a backend server: the caller's header without the fields that concern one connection
	// only and those that the system sets itself.
	ForwardHeader(header http.Header) http.Header
	// DetourHeader returns the header with which another process gets the call as its caller would send it, with the time that is left.
	DetourHeader(header http.Header, remaining time.Duration) http.Header
	// WriteTakeUp sets the fields by which a caller takes a stream up after an event that an attempt brought.
	WriteTakeUp(header http.Header, last string, attempt AttemptID)
	// WriteSend sets the header fields of the metadata of one send.
	WriteSend(header http.Header, send SendMetadata)
	// ReadAnswer returns the metadata in an answer's header.
	ReadAnswer(status int, header http.Header) AnswerMetadata
	// AnswerHeader returns the header for the caller from the header of a backend server's answer.
	AnswerHeader(header http.Header) http.Header
}

// ForwardedCall is one send of a call to a backend server. Method, target, host and body are those of the caller, byte for byte.
type ForwardedCall struct {
	Method string
	// Target is the request target of the caller's request line.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// IsAnswer reports whether an answer belongs to this call. Other answers on the connection are skipped.
	IsAnswer func(status int, header http.Header) bool
	// Attempt is the attempt that the answer names. The call is not sent on a connection that has carried the same attempt before:
	// a late second answer to that send could not be told from the answer to this one. If it is empty, any connection is used.
	Attempt AttemptID
}

// ForwardedAnswer is the answer of a backend server. The receiver must close its body.
type ForwardedAnswer struct {
	Status int
	Header http.Header
	// Length is the announced length of the body; negative when it is not announced.
	Length int64
	// CloseDelimited is set when the body has neither a length nor chunks and ends with its connection. Its end can't be told from a
	// connection that the server closed early.
	CloseDelimited bool
	Body           io.ReadCloser
}

// AnswerFault is what is wrong with an answer.
type AnswerFault string

// The values of AnswerFault.
const (
	// FaultMalformed is that of an answer that is no HTTP response, or whose status is no final one between 200 and 599.
	FaultMalformed AnswerFault = "malformed"
	// FaultCut is that of an answer whose connection ended after its status line.
	FaultCut AnswerFault = "cut"
	// FaultForeign is that of a connection that delivers only answers to other calls.
	FaultForeign AnswerFault = "foreign"
)

// AnswerError reports that a backend server began to answer a call, and that its answer can't be passed on. The call may have run, unless
// Header says otherwise.
type AnswerError struct {
	Fault AnswerFault
	// Header is the header of a malformed answer to this call, nil if it has not arrived whole together with the status line.
	Header http.Header
	Err    error
}

// Error implements the error interface.
func (e *AnswerError) Error() string { return string(e.Fault) + " answer: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *AnswerError) Unwrap() error { return e.Err }

// Upstream sends calls to backend servers. It never retries on its own.
type Upstream interface {
	// Send sends the call once and returns when the header of its answer has arrived. An error that wraps ErrNotSent means
	// that no byte reached the backend server, and an AnswerError that it has begun to answer. When the context ends, the connection is
	// closed.
	Send(ctx context.Context, address netip.AddrPort, call ForwardedCall) (*ForwardedAnswer, error)
}
