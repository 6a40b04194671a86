package relay

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/apricotway/apricotway"
)

// Results of calls and reasons for further sends, as they stand in logs, metrics and answers.
const (
	resultAnswered    = "answered"
	reasonEnded       = "ended"
	reasonCallerLeft  = "callerLeft"
	reasonBroken      = "broken"
	reasonCut         = "cut"
	reasonSilent      = "silent"
	reasonRejected    = "rejected"
	reasonMisdirected = "misdirected"
	reasonUnreachable = "unreachable"
	reasonServerError = "serverError"
	reasonResumed     = "resumed"
	reasonMoved       = "moved"
	reasonNoTime      = "noTime"
)

// refusal is an answer of the system's own.
type refusal struct {
	status int
	// reason is the stable, machine-readable cause.
	reason     string
	message    string
	retryAfter time.Duration
	// close ends the connection: what follows on it cannot be told apart.
	close bool
}

// execution tells what the status says about the call.
func (r *refusal) execution() apricotway.Execution {
	if r.status == http.StatusBadGateway || r.status == http.StatusGatewayTimeout {
		return apricotway.ExecutionUnknown
	}

	return apricotway.ExecutionNotStarted
}

// refuse writes the refusal.
func (c *call) refuse(refused *refusal) {
	header := c.writer.Header()
	header.Set("Content-Type", "application/json")

	if refused.retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(refused.retryAfter.Seconds(), 'f', 3, 64))
	}

	if refused.close {
		header.Set("Connection", "close")
	}

	c.writer.WriteHeader(refused.status)
	// A write fails only when the caller has left.
	_ = json.NewEncoder(c.writer).Encode(struct {
		Code      string               `json:"code"`
		Message   string               `json:"message"`
		Execution apricotway.Execution `json:"execution"`
	}{refused.reason, refused.message, refused.execution()})

	c.ended(refused.reason, refused.status)
}

// ended records the end of a call.
func (c *call) ended(result string, status int) {
	name := ""
	if c.route != nil {
		name = c.route.Name
	}

	took := c.relay.now().Sub(c.arrived)
	c.relay.metrics.Ended(name, result, took)

	version := uint64(0)
	if c.table != nil {
		version = c.table.Version
	}

	began := time.Duration(0)
	if !c.first.IsZero() {
		began = c.first.Sub(c.arrived)
	}

	c.relay.logger.Info("call ended", "event", 351, "attempt", c.metadata.Attempt, "route", name, "result", result,
		"status", status, "took", took, "began", began, "expected", c.expected,
		"promptTokens", c.metadata.PromptTokens, "sends", c.sends, "servers", c.tried, "steps", c.steps, "service", c.service,
		"workspace", c.workspaceName(), "configuration", version)
}
