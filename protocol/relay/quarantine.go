package relay

import (
	"crypto/sha256"
	"encoding/binary"
	"io"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/dispatch"
	"github.com/apricotway/apricotway/state/quarantine"
)

const (
	// retryAfterQuarantined is the Retry-After of calls whose content crashed several servers. It stays refused until a trial shows
	// that it no longer does, so callers should not retry soon.
	retryAfterQuarantined = time.Minute
	// maxFingerprints bounds the prompt parts of a call that are tracked.
	maxFingerprints = 32
)

// partFingerprints returns the fingerprints of the prompt's parts. The last part belongs to this call or its session alone.
func (c *call) partFingerprints() []quarantine.Fingerprint {
	shared := c.metadata.Parts[:max(len(c.metadata.Parts)-1, 0)]
	fingerprints := make([]quarantine.Fingerprint, 0, len(shared)+1)

	for _, part := range shared[:min(len(shared), maxFingerprints)] {
		fingerprints = append(fingerprints, quarantine.Fingerprint(part.ID))
	}

	return fingerprints
}

// fingerprints returns the fingerprints of the prompt's parts and of the whole content, which a retry by the caller has as well.
func (c *call) fingerprints() []quarantine.Fingerprint {
	c.digestOnce.Do(func() {
		hash := sha256.New()
		for _, part := range []string{c.metadata.Key, c.request.Method, c.request.Host, c.request.RequestURI} {
			// Writes to a hash never fail.
			_, _ = io.WriteString(hash, part+"\n")
		}

		_, _ = hash.Write(c.body)
		c.digest = quarantine.Fingerprint(binary.BigEndian.Uint64(hash.Sum(nil)))
	})

	return append(c.partFingerprints(), c.digest)
}

// quarantined reports whether the call's content crashed too many servers to be sent.
func (c *call) quarantined() bool {
	return c.relay.quarantine.HasSuspects() && c.relay.quarantine.Refuses(c.fingerprints())
}

// reportFailed logs a send that has failed. Unless the server has begun to answer, it tells the quarantine that the server may have crashed
// on the call. began tells whether a part of an answer to the call has arrived before.
func (c *call) reportFailed(send *dispatch.Send, began bool, err error) {
	var fault *apricotway.AnswerError

	switch {
	case !errors.As(err, &fault):
		content := c.logBroken(send, began, err)
		if !began {
			c.recordBroken(c.relay.now(), content, send.Backend.ID)
		}
	case fault.Fault == apricotway.FaultMalformed:
		c.relay.logger.Info("backend server sent a malformed answer", "event", 420, "attempt", c.metadata.Attempt,
			"server", send.Backend.ID, "service", c.service, "notRun", c.declined(err), "error", err.Error())
	case fault.Fault == apricotway.FaultCut:
		c.reportCut(send, began, err)
	default:
		c.logBroken(send, began, err)
	}
}

// reportCut logs that the answer of a server was cut. The quarantine is told if the server has crashed, unless enough of an answer has
// arrived to tell that the call crashes no server.
func (c *call) reportCut(send *dispatch.Send, began bool, err error) {
	content := c.logBroken(send, began, err)
	if began {
		return
	}

	now, server := c.relay.now(), send.Backend
	c.relay.cuts.RecordCut(now, server, func() { c.recordBroken(now, content, server.ID) })
}

// recordBroken tells the quarantine that a server may have crashed on a content, unless the own paths were lost.
func (c *call) recordBroken(at time.Time, content []quarantine.Fingerprint, server apricotway.BackendServerID) {
	c.relay.detours.ReportFailure(at, func() { c.relay.quarantine.RecordBroken(content, server) })
}

// logBroken logs that the server of a send broke off the call, and returns the fingerprints of the call's content.
func (c *call) logBroken(send *dispatch.Send, began bool, err error) []quarantine.Fingerprint {
	content := c.fingerprints()
	c.relay.logger.Info("backend server broke off a call", "event", 356, "attempt", c.metadata.Attempt, "server", send.Backend.ID,
		"service", c.service, "digest", strconv.FormatUint(uint64(c.digest), 16), "parts", c.partNames(), "began", began,
		"error", err.Error())

	return content
}

// partNames returns the identifiers of the prompt's parts for the log.
func (c *call) partNames() []string {
	names := make([]string, len(c.metadata.Parts))
	for i, part := range c.metadata.Parts {
		names[i] = strconv.FormatUint(part.ID, 16)
	}

	return names
}

// reportAnswered tells the quarantine that a server has begun to answer the call without crashing. Only the first report has an
// effect.
func (c *call) reportAnswered() {
	if c.acquitted.Swap(true) {
		return
	}

	if c.relay.quarantine.HasSuspects() {
		c.relay.quarantine.RecordAnswered(c.fingerprints())
	} else if parts := c.partFingerprints(); len(parts) > 0 {
		c.relay.quarantine.RecordAnswered(parts)
	}
}
