package relay

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/apricotway/apricotway"
)

// Results of calls and reasons for retries, as they appear in logs, metrics and answers.
const (
	resultAnswered    = "answered"
	reasonEnded       = "ended"
	reasonCallerLeft  = "callerLeft"
	reasonBroken      = "broken"
	reasonCut         = "cut"
	reasonMalformed   = "malformed"
	reasonSilent      = "silent"
	reasonRejected    = "rejected"
	reasonMisdirected = "misdirected"
	reasonUnreachable = "unreachable"
	reasonServerError = "serverError"
	reasonResumed     = "resumed"
	reasonMoved       = "moved"
	// reasonStopped is that of a run that may have ended because of a move whose outcome is not known.
	reasonStopped = "stopped"
	// reasonNotContinued is that of an engine whose events don't follow those before them.
	reasonNotContinued = "notContinued"
	reasonNoTime       = "noTime"
	reasonStopping     = "stopping"
	reasonFault        = "fault"
	// reasonDetour is that of a call that another process passes on, and reasonLost that of one that no known process can.
	reasonDetour = "detour"
	reasonLost   = "pathsLost"
)

// refusal is an answer that the relay itself gives in place of a backend server.
type refusal struct {
	status int
	// reason is the stable, machine-readable code of the refusal.
	reason     string
	message    string
	retryAfter time.Duration
	// close closes the caller's connection: the body was not read to its end, so the start of the next call is unknown.
	close bool
}

// execution returns what the status implies about the execution of the call.
func (r *refusal) execution() apricotway.Execution {
	if r.status == http.StatusBadGateway || r.status == http.StatusGatewayTimeout {
		return apricotway.ExecutionUnknown
	}

	return apricotway.ExecutionNotStarted
}

// body returns the refusal as JSON.
func (r *refusal) body() []byte {
	// Strings can always be encoded.
	body, _ := json.Marshal(struct {
		Code      string               `json:"code"`
		Message   string               `json:"message"`
		Execution apricotway.Execution `json:"execution"`
	}{r.reason, r.message, r.execution()})

	return append(body, '\n')
}

// refuse writes the refusal as a JSON answer and records the end of the call.
func (c *call) refuse(refused *refusal) {
	c.closeIfStopping()

	c.boundUnreadBody()

	header := c.writer.Header()
	header.Set("Content-Type", "application/json")

	if refused.retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(refused.retryAfter.Seconds(), 'f', 3, 64))
	}

	if refused.close {
		c.closeConnection()
	}

	body := refused.body()
	header.Set("Content-Length", strconv.Itoa(len(body)))

	c.beginAnswer()
	c.writer.WriteHeader(refused.status)
	// A write fails only when the caller has left.
	_, _ = c.writer.Write(body)

	c.recordEnd(refused.reason, refused.status)
}

// recordEnd counts and logs the end of a call.
func (c *call) recordEnd(result string, status int) {
	name := ""
	if c.route != nil {
		name = c.route.Name
	}

	now := c.relay.now()
	took := now.Sub(c.arrived)
	c.relay.metrics.CallEnded(name, result, took)

	if c.metadata.Resumes != "" {
		c.relay.metrics.StreamTakenUp(result)
	}

	version := uint64(0)
	if c.table != nil {
		version = c.table.Version
	}

	if result == resultAnswered {
		c.recordDuration(now)
	}

	began := time.Duration(0)
	if !c.beganAt.IsZero() {
		began = c.beganAt.Sub(c.arrived)
	}

	c.relay.logger.Info("call ended", "event", 351, "attempt", c.metadata.Attempt, "route", name, "result", result,
		"status", status, "form", c.form, "closeDelimited", c.closeDelimited, "took", took, "began", began, "expected", c.expectedWait,
		"promptTokens", c.metadata.PromptTokens, "sends", c.sends, "servers", c.tried, "versions", c.versions, "steps", c.steps,
		"resumes", c.metadata.Resumes, "last", c.metadata.LastEvent, "service", c.service,
		"workspace", c.workspaceName(), "configuration", version)
}
