package logsink_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"go.uber.org/zap"

	"github.com/apricotway/apricotway/cmd/internal/logsink"
)

// output is a writer that blocks until unblocked is closed.
type output struct {
	mu        sync.Mutex
	content   bytes.Buffer
	unblocked chan struct{}
}

func (o *output) Write(line []byte) (int, error) {
	<-o.unblocked

	o.mu.Lock()
	defer o.mu.Unlock()

	return o.content.Write(line)
}

func (o *output) text() string {
	o.mu.Lock()
	defer o.mu.Unlock()

	return o.content.String()
}

// TestHeldOutput guards requests against blocking when the reader of the log stops reading: Write returns at once, and the log
// reports the dropped lines afterwards.
func TestHeldOutput(t *testing.T) {
	o := &output{unblocked: make(chan struct{})}
	sink := logsink.New(o)

	for range 5000 {
		if _, err := sink.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}

	close(o.unblocked)

	for !strings.Contains(o.text(), "log lines dropped") {
		if err := sink.Sync(); err != nil {
			t.Fatal(err)
		}

		_, _ = sink.Write([]byte("line\n"))
	}
}

// TestVolume guards against a log that grows with the load: lines that repeat a message are sampled.
func TestVolume(t *testing.T) {
	o := &output{unblocked: make(chan struct{})}
	close(o.unblocked)

	sink := logsink.New(o)
	logger := logsink.Logger(sink)

	for range 1900 {
		logger.Info("call ended", zap.Int("event", 351))
	}

	if err := sink.Sync(); err != nil {
		t.Fatal(err)
	}

	// The loop may span two sampling intervals. The lines written are then the first 300 of each and one in 100 of the rest.
	if got, want := strings.Count(o.text(), "\n"), 700; got == 0 || got > want {
		t.Errorf("got %d lines, want some and at most %d", got, want)
	}
}
