package logsink_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"go.uber.org/zap"

	"github.com/apricotway/apricotway/cmd/internal/logsink"
)

// output is a writer that can be held up.
type output struct {
	mu      sync.Mutex
	content bytes.Buffer
	held    chan struct{}
}

func (o *output) Write(line []byte) (int, error) {
	<-o.held

	o.mu.Lock()
	defer o.mu.Unlock()

	return o.content.Write(line)
}

func (o *output) text() string {
	o.mu.Lock()
	defer o.mu.Unlock()

	return o.content.String()
}

// TestHeldOutput guards requests against a reader of the log that stops reading: no line waits for it, and the loss is told.
func TestHeldOutput(t *testing.T) {
	o := &output{held: make(chan struct{})}
	sink := logsink.New(o)

	for range 5000 {
		if _, err := sink.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}

	close(o.held)

	for !strings.Contains(o.text(), "log lines dropped") {
		if err := sink.Sync(); err != nil {
			t.Fatal(err)
		}

		_, _ = sink.Write([]byte("line\n"))
	}
}

// TestVolume guards against a log that grows with the load: a message that repeats is written in part.
func TestVolume(t *testing.T) {
	o := &output{held: make(chan struct{})}
	close(o.held)

	sink := logsink.New(o)
	logger := logsink.Logger(sink)

	for range 1900 {
		logger.Info("call ended", zap.Int("event", 351))
	}

	if err := sink.Sync(); err != nil {
		t.Fatal(err)
	}

	// Two seconds may begin in between.
	if got, want := strings.Count(o.text(), "\n"), 700; got == 0 || got > want {
		t.Errorf("got %d lines, want some and at most %d", got, want)
	}
}
