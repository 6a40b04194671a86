// Package memorylog implements apricotway.Log in memory, for tests and examples.
package memorylog

import (
	"context"
	"sync"
	"time"

	"github.com/apricotway/apricotway"
)

// Fault is a failure mode of the log service that a test can inject.
type Fault string

// The values of Fault.
const (
	// FaultNone means that the log works.
	FaultNone Fault = ""
	// FaultDown makes every call fail with apricotway.ErrLogUnavailable.
	FaultDown Fault = "down"
	// FaultLoseAnswer makes every append take effect, but fail with apricotway.ErrAppendUnknown.
	FaultLoseAnswer Fault = "loseAnswer"
)

// Log implements apricotway.Log. Its records are not persisted.
type Log struct {
	now func() time.Time

	mu      sync.Mutex
	streams map[apricotway.Stream]*stream
	// changed is closed and replaced on every append, to wake up waiting reads.
	changed chan struct{}
	fault   Fault
	// answersToLose is the number of further appends that fail with apricotway.ErrAppendUnknown although they take effect.
	answersToLose int
}

type stream struct {
	// first is the offset of records[0]; it increases when old records are trimmed.
	first   apricotway.Offset
	records []apricotway.StoredRecord
}

var _ apricotway.Log = (*Log)(nil)

// New returns an empty log.
func New() *Log {
	return &Log{now: time.Now, streams: map[apricotway.Stream]*stream{}, changed: make(chan struct{})}
}

// SetFault sets the failure mode of all following calls; FaultNone ends it.
func (l *Log) SetFault(fault Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.fault = fault
}

// LoseNextAnswers makes the next count appends take effect, but fail with apricotway.ErrAppendUnknown.
func (l *Log) LoseNextAnswers(count int) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.answersToLose = count
}

// Trim deletes the records below an offset.
func (l *Log) Trim(name apricotway.Stream, below apricotway.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()

	s := l.stream(name)
	for len(s.records) > 0 && s.first < below {
		s.records = s.records[1:]
		s.first++
	}
}

func (l *Log) stream(name apricotway.Stream) *stream {
	s := l.streams[name]
	if s == nil {
		s = &stream{first: 1}
		l.streams[name] = s
	}

	return s
}

// Append implements apricotway.Log.
func (l *Log) Append(
	_ context.Context, stream apricotway.Stream, records []apricotway.Record,
) (apricotway.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if l.fault == FaultDown {
		return 0, apricotway.ErrLogUnavailable
	}

	s := l.stream(stream)
	first := s.first + apricotway.Offset(len(s.records))

	for i, record := range records {
		s.records = append(s.records, apricotway.StoredRecord{
			Record: record, Offset: first + apricotway.Offset(i), Time: l.now(),
		})
	}

	close(l.changed)
	l.changed = make(chan struct{})

	if l.fault == FaultLoseAnswer || l.answersToLose > 0 {
		l.answersToLose = max(l.answersToLose-1, 0)
		return 0, apricotway.ErrAppendUnknown
	}

	return first, nil
}

// Read implements apricotway.Log.
func (l *Log) Read(
	ctx context.Context, stream apricotway.Stream, from apricotway.Offset, limit int, wait time.Duration,
) (apricotway.Batch, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()

	for {
		batch, changed, err := l.readNow(stream, from, limit)
		if err != nil || len(batch.Records) > 0 {
			return batch, err
		}

		select {
		case <-changed:
		case <-timer.C:
			return batch, nil
		case <-ctx.Done():
			return apricotway.Batch{}, apricotway.ErrLogUnavailable
		}
	}
}

func (l *Log) readNow(
	stream apricotway.Stream, from apricotway.Offset, limit int,
) (apricotway.Batch, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if l.fault == FaultDown {
		return apricotway.Batch{}, nil, apricotway.ErrLogUnavailable
	}

	s := l.stream(stream)
	from = max(from, 1)
	batch := apricotway.Batch{Next: from, Oldest: s.first}

	if from < s.first {
		return batch, nil, apricotway.ErrTrimmed
	}

	skip := min(int(from-s.first), len(s.records))
	rest := s.records[skip:]
	batch.Records = append(batch.Records, rest[:min(limit, len(rest))]...)
	batch.Next = from + apricotway.Offset(len(batch.Records))
	batch.End = s.first + apricotway.Offset(len(s.records))

	return batch, l.changed, nil
}
