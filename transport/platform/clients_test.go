package platform_test

import (
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/transport/platform"
)

// TestOddWait guards against a wait that is out of range being taken for a permission to transfer weights.
func TestOddWait(t *testing.T) {
	var text atomic.Pointer[string]

	weights := platform.NewWeights(serve(t, &text))

	for answer, want := range map[string]time.Duration{`{"waitMillis":0}`: 0, `{"waitMillis":1500}`: 1500 * time.Millisecond} {
		text.Store(&answer)

		if got, err := weights.Reserve(t.Context(), "v", "s"); got != want || err != nil {
			t.Errorf("%s: got %s and %v, want %s", answer, got, err, want)
		}
	}

	for _, answer := range []string{
		`{"waitMillis":-1}`, `{"waitMillis":9223372036854775807}`, `{"waitMillis":18446744073710}`, `{"waitMillis":1e400}`, `{"waitMillis":9e99}`,
		strings.Repeat("[", 100_000), "",
	} {
		text.Store(&answer)

		if got, err := weights.Reserve(t.Context(), "v", "s"); !errors.Is(err, apricotway.ErrPlatformUnavailable) {
			t.Errorf("%.40s: got %s and %v, want %v", answer, got, err, apricotway.ErrPlatformUnavailable)
		}
	}
}

// TestOddCloudAnswer checks that an answer of the cloud API which names no host is an error and not a host.
func TestOddCloudAnswer(t *testing.T) {
	var text atomic.Pointer[string]

	cloud := platform.NewCloud(serve(t, &text))

	for _, answer := range []string{
		"", "null", "[]", "{}", `{"id":1e400}`, `{"id":{"a":1}}`, `{"id":""}`, strings.Repeat("[", 256<<10),
		`{"id":"h","x":` + strings.Repeat("[", 100_000) + strings.Repeat("]", 100_000) + "}",
	} {
		text.Store(&answer)

		if got, err := cloud.Create(t.Context(), apricotway.HostOrder{}); got != "" || !errors.Is(err, apricotway.ErrPlatformUnavailable) {
			t.Errorf("%.40s: got host %q and %v, want %v", answer, got, err, apricotway.ErrPlatformUnavailable)
		}
	}
}
