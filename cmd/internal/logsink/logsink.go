// Package logsink writes log lines in the background, so that a slow output never blocks the code that logs.
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
	// pendingLines bounds the number of lines that wait to be written.
	pendingLines = 2048
	// sampleTick, sampleFirst and sampleThereafter limit the lines with the same message: of each second's lines, the first 300
	// are written, then every hundredth.
	sampleTick       = time.Second
	sampleFirst      = 300
	sampleThereafter = 100
	// flushTime bounds how long Sync delays the end of the process.
	flushTime = 200 * time.Millisecond
)

// Sink queues lines and writes them in the background. While the queue is full, new lines are dropped and counted.
type Sink struct {
	lines         chan []byte
	flushRequests chan chan struct{}
	dropped       atomic.Int64
}

var _ zapcore.WriteSyncer = (*Sink)(nil)

// New returns a sink that writes to the output. Its goroutine is never stopped.
func New(output io.Writer) *Sink {
	s := &Sink{lines: make(chan []byte, pendingLines), flushRequests: make(chan chan struct{})}

	go func() {
		for {
			select {
			case line := <-s.lines:
				s.write(output, line)
			case done := <-s.flushRequests:
				for len(s.lines) > 0 {
					s.write(output, <-s.lines)
				}

				close(done)
			}
		}
	}()

	return s
}

// write writes one line, preceded by the number of lines dropped since the last one. Write errors are ignored, since the log
// itself is where they would be reported.
func (s *Sink) write(output io.Writer, line []byte) {
	if lost := s.dropped.Swap(0); lost > 0 {
		_, _ = fmt.Fprintf(output, "{%q:%q,%q:%d,%q:%d}\n", "msg", "log lines dropped", "event", 110, "count", lost)
	}

	_, _ = output.Write(line)
}

// Write implements zapcore.WriteSyncer. It never blocks: it drops the line when the queue is full.
func (s *Sink) Write(line []byte) (int, error) {
	// The caller reuses its buffer.
	copied := append([]byte(nil), line...)

	select {
	case s.lines <- copied:
	default:
		s.dropped.Add(1)
	}

	return len(line), nil
}

// Sync implements zapcore.WriteSyncer. It waits until the pending lines are written, at most flushTime.
func (s *Sink) Sync() error {
	done := make(chan struct{})
	timer := time.NewTimer(flushTime)

	defer timer.Stop()

	select {
	case s.flushRequests <- done:
	case <-timer.C:
		return nil
	}

	select {
	case <-done:
	case <-timer.C:
	}

	return nil
}

// Logger returns a logger that writes JSON lines to the sink and samples lines with the same message.
func Logger(s *Sink) *zap.Logger {
	core := zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), s, zap.InfoLevel)

	return zap.New(zapcore.NewSamplerWithOptions(core, sampleTick, sampleFirst, sampleThereafter))
}
