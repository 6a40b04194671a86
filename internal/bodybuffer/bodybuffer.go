// Package bodybuffer reads bodies into memory within a budget that all bodies of a process share.
package bodybuffer

import (
	"io"
	"sync/atomic"

	"github.com/go-faster/errors"
)

const (
	// initialSize is the size in bytes of the buffer that each body may use without a reservation. Most answers of plain services fit into it.
	initialSize  = 4 << 10
	defaultEach  = 1 << 20
	defaultTotal = 4 << 20
)

// Budget bounds the memory for the buffered bodies of a process. It is safe for concurrent use.
type Budget struct {
	// each bounds in bytes one body, and total what all bodies together take beyond initialSize each.
	each, total int64
	// reserved never exceeds total, but for a moment in reserve.
	reserved atomic.Int64
}

// Option configures a Budget.
type Option func(*Budget)

// WithEach sets the largest part of one body in bytes that is buffered.
func WithEach(bytes int64) Option { return func(b *Budget) { b.each = bytes } }

// WithTotal sets how many bytes all bodies together may take.
func WithTotal(bytes int64) Option { return func(b *Budget) { b.total = bytes } }

// New returns a budget of which nothing is in use.
func New(options ...Option) *Budget {
	b := &Budget{each: defaultEach, total: defaultTotal}
	for _, option := range options {
		option(b)
	}

	return b
}

// Buffer returns an empty buffer for one body.
func (b *Budget) Buffer() Buffer { return Buffer{budget: b} }

func (b *Budget) reserve(bytes int64) bool {
	if b.reserved.Add(bytes) > b.total {
		b.reserved.Add(-bytes)
		return false
	}

	return true
}

// Buffer buffers one body within the budget.
type Buffer struct {
	budget   *Budget
	reserved int64
}

// Release returns the buffer's reservation to the budget. The content must not be in use any more.
func (b *Buffer) Release() {
	b.budget.reserved.Add(-b.reserved)
	b.reserved = 0
}

// Read reads a body up to its end, or until the buffer may not grow further. complete is true when the end was reached.
func (b *Buffer) Read(body io.Reader) (content []byte, complete bool, err error) {
	content = make([]byte, 0, initialSize)

	for {
		if len(content) == cap(content) {
			more := min(int64(cap(content)), b.budget.each-int64(cap(content)))
			if more <= 0 || !b.budget.reserve(more) {
				return content, false, nil
			}

			b.reserved += more
			content = append(make([]byte, 0, int64(cap(content))+more), content...)
		}

		n, err := body.Read(content[len(content):cap(content)])
		content = content[:len(content)+n]

		if errors.Is(err, io.EOF) {
			return content, true, nil
		}

		if err != nil {
			return content, false, err
		}
	}
}
