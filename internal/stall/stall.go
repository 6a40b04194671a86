// Package stall ends operations that stop making progress, however long they take as a whole.
package stall

import (
	"context"
	"io"
	"time"

	"github.com/go-faster/errors"
)

// ErrStalled is the cause with which the context of an operation without progress ends.
var ErrStalled = errors.New("no progress")

type contextKey struct{}

// watch ends the context of an operation when its timer fires.
type watch struct {
	timer *time.Timer
	limit time.Duration
	// earliest is the time before which the context does not end.
	earliest time.Time
	// progressed, if not nil, is called with each progress.
	progressed func()
}

// WithLimit returns a context that ends when the operation has made no progress for first at its beginning, or for limit after that.
func WithLimit(parent context.Context, first, limit time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	w := &watch{limit: limit, earliest: time.Now().Add(first), timer: time.AfterFunc(first, func() { cancel(ErrStalled) })}

	return context.WithValue(ctx, contextKey{}, w), func() {
		w.timer.Stop()
		cancel(context.Canceled)
	}
}

// OnProgress sets a function that is called with each progress of the operation of a context. It must be called before the operation begins.
func OnProgress(ctx context.Context, progressed func()) {
	if w, ok := ctx.Value(contextKey{}).(*watch); ok {
		w.progressed = progressed
	}
}

// Progress reports that the operation of a context has made progress.
func Progress(ctx context.Context) {
	// A timer that has fired must not be started again.
	w, ok := ctx.Value(contextKey{}).(*watch)
	if !ok || !w.timer.Stop() {
		return
	}

	w.timer.Reset(max(w.limit, time.Until(w.earliest)))

	if w.progressed != nil {
		w.progressed()
	}
}

// Reader returns a reader whose reads are progress of the operation of a context. After the end of the context its errors are the cause.
func Reader(ctx context.Context, reader io.Reader) io.Reader { return &progressReader{ctx, reader} }

type progressReader struct {
	ctx    context.Context //nolint:containedctx // The reader lives as long as the operation.
	reader io.Reader
}

// Read implements io.Reader.
func (r *progressReader) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	if n > 0 {
		Progress(r.ctx)
	}

	if err != nil && !errors.Is(err, io.EOF) && r.ctx.Err() != nil {
		err = context.Cause(r.ctx)
	}

	return n, err
}
