package callerlimit_test

import (
	"testing"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/callerlimit"
)

// TestLoweredLimitHitsCallersThatDoNotKnowIt guards against limits that apply before callers can know of them.
func TestLoweredLimitHitsCallersThatDoNotKnowIt(t *testing.T) {
	start := time.Unix(1000, 0)
	low := apricotway.CallerLimits{HeaderBytes: 1, BodyBytes: 20, HeaderTimeout: time.Second, IdleTimeout: 20 * time.Second}
	high := apricotway.CallerLimits{HeaderBytes: 10, BodyBytes: 2, HeaderTimeout: 10 * time.Second, IdleTimeout: 2 * time.Second}
	both := apricotway.CallerLimits{HeaderBytes: 10, BodyBytes: 20, HeaderTimeout: 10 * time.Second, IdleTimeout: 20 * time.Second}

	l := callerlimit.New(apricotway.CallerLimits{HeaderBytes: 100, BodyBytes: 100})
	l.Replace(start, low)
	l.Replace(start, high)
	l.Replace(start.Add(8*time.Second), low)

	for _, c := range []struct {
		after time.Duration
		want  apricotway.CallerLimits
	}{{9 * time.Second, both}, {17 * time.Second, both}, {19 * time.Second, low}} {
		if got := l.InForce(start.Add(c.after)); got != c.want {
			t.Errorf("after %v: got %+v, want %+v", c.after, got, c.want)
		}
	}
}
