// Package logsink writes log lines without ever holding up their writer.
package logsink

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// pendingLines bounds the lines that wait for the reader of the output.
	pendingLines = 2048
	// sampleTick, sampleFirst and sampleThereafter bound the lines of one message: the first 300 of a second are written, then
	// one of a hundred.
	sampleTick       = time.Second
	sampleFirst      = 300
	sampleThereafter = 100
	// flushTime bounds the wait for the last lines at the end of the process.
	flushTime = 200 * time.Millisecond
)

// Sink takes lines and writes them in the background. Lines are dropped and counted while the output does not take them.
type Sink struct {
	lines   chan []byte
	flushed chan chan struct{}
	dropped atomic.Int64
}

var _ zapcore.WriteSyncer = (*Sink)(nil)

// New returns a sink and starts its goroutine, which runs as long as the process.
func New(output io.Writer) *Sink {
	s := &Sink{lines: make(chan []byte, pendingLines), flushed: make(chan chan struct{})}

	go func() {
		for {
			select {
			case line := <-s.lines:
				s.write(output, line)
			case done := <-s.flushed:
				for len(s.lines) > 0 {
					s.write(output, <-s.lines)
				}

				close(done)
			}
		}
	}()

	return s
}

// write writes one line, and before it how many were lost. A line that cannot be written has nowhere else to go.
func (s *Sink) write(output io.Writer, line []byte) {
	if lost := s.dropped.Swap(0); lost > 0 {
		_, _ = fmt.Fprintf(output, "{%q:%q,%q:%d,%q:%d}\n", "msg", "log lines dropped", "event", 110, "count", lost)
	}

	_, _ = output.Write(line)
}

// Write implements zapcore.WriteSyncer. It never waits.
func (s *Sink) Write(line []byte) (int, error) {
	// The caller uses its buffer again.
	copied := append([]byte(nil), line...)

	select {
	case s.lines <- copied:
	default:
		s.dropped.Add(1)
	}

	return len(line), nil
}

// Sync implements zapcore.WriteSyncer: it waits a short time until the pending lines are written.
func (s *Sink) Sync() error {
	done := make(chan struct{})
	timer := time.NewTimer(flushTime)

	defer timer.Stop()

	select {
	case s.flushed <- done:
	case <-timer.C:
		return nil
	}

	select {
	case <-done:
	case <-timer.C:
	}

	return nil
}

// Logger returns a logger that writes JSON lines to the sink, a bounded number a second for each message.
func Logger(s *Sink) *zap.Logger {
	core := zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), s, zap.InfoLevel)

	return zap.New(zapcore.NewSamplerWithOptions(core, sampleTick, sampleFirst, sampleThereafter))
}
