package origins_test

import (
	"testing"
	"time"

	"github.com/apricotway/apricotway/internal/bubble"
)

// TestRecordOfStreamOfRestartedServer guards against a record naming the old version of a server that had started again with another one before
// the process that began the stream there learned of it.
func TestRecordOfStreamOfRestartedServer(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := newStore()
		out, other := start(t, s, "v1", "v2"), start(t, s, "v1", "v2")
		before, after := server("v1"), server("v2")
		after.ID, after.Born = before.ID, time.Now()
		<-time.After(time.Second)

		other.register.Update(time.Now(), after)
		out.Began(time.Now(), "x", before)
		<-time.After(500 * time.Millisecond)
		other.wantVersion(t, "x", "")

		out.kill()
		other.kill()
	})
}
