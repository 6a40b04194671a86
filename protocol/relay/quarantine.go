package relay

import (
	"crypto/sha256"
	"encoding/base64"
	"io"
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

// reportBroken tells the quarantine that the server of a send may have crashed on the call.
func (c *call) reportBroken(send *dispatch.Send) {
	c.relay.quarantine.RecordBroken(c.digest(), send.Backend.ID)
}

// reportAnswered tells the quarantine that the call was answered, and so did not crash its server.
func (c *call) reportAnswered() {
	if c.relay.quarantine.HasSuspects() {
		c.relay.quarantine.RecordAnswered(c.digest())
	}
}
