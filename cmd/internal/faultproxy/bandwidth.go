package faultproxy

import (
	"sync"
	"time"
)

// sharedBufferSize is the number of bytes after which a connection lets the others on the same bandwidth go on.
const sharedBufferSize = 8 << 10

// Bandwidth is the bandwidth of the network link of one host, which all TCP connections of the host share. Each direction has the whole
// bandwidth.
type Bandwidth struct {
	bytesPerSecond int

	mu sync.Mutex
	// sent and received are the times at which all bytes admitted so far have left and have reached the host.
	sent, received time.Time
}

// NewBandwidth returns a bandwidth of a number of bytes per second in each direction.
func NewBandwidth(bytesPerSecond int) *Bandwidth { return &Bandwidth{bytesPerSecond: bytesPerSecond} }

// reserve admits bytes behind those admitted before, and returns when they have passed. A nil Bandwidth has no limit.
func (b *Bandwidth) reserve(fromHost bool, n int) time.Time {
	now := time.Now()
	if b == nil {
		return now
	}

	b.mu.Lock()
	defer b.mu.Unlock()

	passed := &b.received
	if fromHost {
		passed = &b.sent
	}

	if passed.Before(now) {
		*passed = now
	}

	*passed = passed.Add(time.Duration(n) * time.Second / time.Duration(b.bytesPerSecond))

	return *passed
}

// path holds the bandwidths of the hosts at both ends of a TCP connection; nil for no limit.
type path struct{ client, target *Bandwidth }

// await waits until bytes have passed both links.
func (p path) await(direction Direction, n int) {
	passed := p.client.reserve(direction == Forward, n)
	if other := p.target.reserve(direction == Backward, n); other.After(passed) {
		passed = other
	}

	if wait := time.Until(passed); wait > 0 {
		<-time.After(wait)
	}
}

func (p path) bufferSize() int {
	if p.client == nil && p.target == nil {
		return bufferSize
	}

	return sharedBufferSize
}
