package daemon

import (
	"fmt"
	"slices"
	"strings"

	"github.com/go-logr/logr"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/timeline"
)

// recordLevel is the highest verbosity of log lines that are recorded in the timeline. Lines of level 1 are too many for the
// log of a busy process, but the ring buffer of the timeline is bounded.
const recordLevel = 1

// recorder is a log sink that forwards log lines and adds those with an event number to the timeline. Log call and timeline
// event thus share one message, which is the kind of the event.
type recorder struct {
	// next receives the log lines; it is nil for a discarding logger.
	next   logr.LogSink
	ring   *timeline.Ring
	values []any
}

var _ logr.LogSink = (*recorder)(nil)

// newRecordingLogger returns a logger that also adds lines with an event number to the ring.
func newRecordingLogger(logger logr.Logger, ring *timeline.Ring) logr.Logger {
	return logr.New(&recorder{next: logger.GetSink(), ring: ring})
}

// Init implements logr.LogSink.
func (r *recorder) Init(info logr.RuntimeInfo) {
	if r.next != nil {
		r.next.Init(info)
	}
}

// Enabled implements logr.LogSink.
func (r *recorder) Enabled(level int) bool {
	return level <= recordLevel || (r.next != nil && r.next.Enabled(level))
}

// Info implements logr.LogSink.
func (r *recorder) Info(level int, message string, values ...any) {
	r.record(message, values)

	if r.next != nil && r.next.Enabled(level) {
		r.next.Info(level, message, values...)
	}
}

// Error implements logr.LogSink.
func (r *recorder) Error(err error, message string, values ...any) {
	r.record(message, slices.Concat(values, []any{"error", err}))

	if r.next != nil {
		r.next.Error(err, message, values...)
	}
}

// WithValues implements logr.LogSink.
func (r *recorder) WithValues(values ...any) logr.LogSink {
	derived := *r
	derived.values = slices.Concat(r.values, values)

	if r.next != nil {
		derived.next = r.next.WithValues(values...)
	}

	return &derived
}

// WithName implements logr.LogSink.
func (r *recorder) WithName(name string) logr.LogSink {
	derived := *r
	if r.next != nil {
		derived.next = r.next.WithName(name)
	}

	return &derived
}

// record adds a line with an event number to the timeline. Its values become the detail of the event, except the request ID and
// the node, which have fields of their own.
func (r *recorder) record(message string, values []any) {
	var (
		detail   strings.Builder
		request  apricotway.RequestID
		numbered bool
	)

	for _, list := range [][]any{r.values, values} {
		for i := 0; i+1 < len(list); i += 2 {
			switch list[i] {
			case "node":
			case "event":
				numbered = true
			case "request":
				request = apricotway.RequestID(fmt.Sprint(list[i+1]))
			default:
				fmt.Fprintf(&detail, "%v=%v ", list[i], list[i+1])
			}
		}
	}

	if numbered {
		r.ring.Add(timeline.Kind(message), request, strings.TrimSpace(detail.String()))
	}
}
