package relay

import (
	"crypto/sha256"
	"encoding/base64"
	"io"
	"strconv"
	"time"

	"github.com/apricotway/apricotway/state/dispatch"
	"github.com/apricotway/apricotway/state/quarantine"
)

const (
	// retryAfterQuarantined is the Retry-After of calls whose content crashed several servers. The content is accepted again once
	// it has not been seen for as long as the quarantine keeps it, so callers should not retry soon.
	retryAfterQuarantined = time.Minute
	// digestBytes is the length of a digest in bytes. It is long enough that contents of different callers don't collide.
	digestBytes = 16
)

// digest returns a hash of the caller's key, the method, host, target and body. A retry by the caller has the same digest.
func (c *call) digest() quarantine.Digest {
	if c.contentDigest == "" {
		hash := sha256.New()
		for _, part := range []string{c.metadata.Key, c.request.Method, c.request.Host, c.request.RequestURI} {
			// Writes to a hash never fail.
			_, _ = io.WriteString(hash, part+"\n")
		}

		_, _ = hash.Write(c.body)
		c.contentDigest = quarantine.Digest(base64.RawStdEncoding.EncodeToString(hash.Sum(nil)[:digestBytes]))
	}

	return c.contentDigest
}

// quarantined reports whether the call's content crashed too many servers to be sent again.
func (c *call) quarantined() bool {
	return c.relay.quarantine.HasSuspects() && c.relay.quarantine.Refuses(c.digest())
}

// reportBroken logs that the server of a send broke off the call and tells the quarantine that it may have crashed on the call. began
// is set when a part of the answer's body had arrived.
func (c *call) reportBroken(send *dispatch.Send, began bool, err error) {
	c.relay.logger.Info("backend server broke off a call", "event", 356, "attempt", c.metadata.Attempt, "server", send.Backend.ID,
		"service", c.service, "digest", c.digest(), "parts", c.partNames(), "began", began, "error", err.Error())
	c.relay.quarantine.RecordBroken(c.digest(), send.Backend.ID)
}

// partNames returns the identifiers of the prompt's parts for the log.
func (c *call) partNames() []string {
	names := make([]string, len(c.metadata.Parts))
	for i, part := range c.metadata.Parts {
		names[i] = strconv.FormatUint(part.ID, 16)
	}

	return names
}

// reportAnswered tells the quarantine that the call was answered, and so did not crash its server.
func (c *call) reportAnswered() {
	if c.relay.quarantine.HasSuspects() {
		c.relay.quarantine.RecordAnswered(c.digest())
	}
}
