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
	// quarantinePause is the Retry-After of a content that crashed several servers. It may be served again when it has not been
	// seen for the time that the quarantine keeps it; callers are not to come back soon.
	quarantinePause = time.Minute
	// digestBytes is the length of a digest in bytes: contents of different callers must not be taken for each other.
	digestBytes = 16
)

// digest identifies the content of the call: caller, path and body. A repeat of the caller has the same one.
func (c *call) digest() quarantine.Digest {
	if c.content == "" {
		hash := sha256.New()
		for _, part := range []string{c.metadata.Key, c.request.Method, c.request.Host, c.request.RequestURI} {
			// A hash takes all bytes.
			_, _ = io.WriteString(hash, part+"\n")
		}

		_, _ = hash.Write(c.body)
		c.content = quarantine.Digest(base64.RawStdEncoding.EncodeToString(hash.Sum(nil)[:digestBytes]))
	}

	return c.content
}

// refused tells whether the content crashed too many servers.
func (c *call) refused() bool {
	return c.relay.quarantine.Watching() && c.relay.quarantine.Refuses(c.digest())
}

// broken reports that the server of a send may have crashed under the call.
func (c *call) broken(send *dispatch.Send) {
	c.relay.quarantine.Broken(c.digest(), send.Backend.ID)
}

// innocent reports that the call was answered.
func (c *call) innocent() {
	if c.relay.quarantine.Watching() {
		c.relay.quarantine.Answered(c.digest())
	}
}
