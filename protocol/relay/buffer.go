package relay

import (
	"io"
	"sync/atomic"

	"github.com/go-faster/errors"
)

const (
	// maxAnswerBuffer bounds in bytes the part of one answer that is buffered before it is passed on. The rest of a longer answer
	// is passed on as it arrives.
	maxAnswerBuffer = 1 << 20
	// maxTotalBuffer bounds in bytes what all calls together buffer beyond initialBuffer each. The smallest supported hosts have
	// 184 MB of memory.
	maxTotalBuffer = 4 << 20
	// initialBuffer is the size in bytes of the buffer that each call may use without a reservation. Most answers of plain services
	// fit into it.
	initialBuffer = 4 << 10
)

// bufferBudget bounds the memory for the buffered answers of all calls. An answer is buffered until it is complete, so that a
// truncated one never reaches the caller.
type bufferBudget struct{ reserved atomic.Int64 }

// reserve adds bytes to the memory in use, or returns false when that exceeds maxTotalBuffer.
func (b *bufferBudget) reserve(bytes int64) bool {
	if b.reserved.Add(bytes) > maxTotalBuffer {
		b.reserved.Add(-bytes)
		return false
	}

	return true
}

// answerBuffer buffers the answer of one call within the process's budget.
type answerBuffer struct {
	budget   *bufferBudget
	reserved int64
}

// release returns the call's reservation to the budget.
func (b *answerBuffer) release() { b.budget.reserved.Add(-b.reserved) }

// read reads an answer up to its end, or until the buffer may not grow further. complete is true when the end was reached.
func (b *answerBuffer) read(body io.Reader) (content []byte, complete bool, err error) {
	content = make([]byte, 0, initialBuffer)

	for {
		if len(content) == cap(content) {
			more := int64(cap(content))
			if int64(cap(content))+more > maxAnswerBuffer || !b.budget.reserve(more) {
				return content, false, nil
			}

			b.reserved += more
			content = append(make([]byte, 0, 2*cap(content)), content...)
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
