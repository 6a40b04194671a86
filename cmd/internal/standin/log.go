package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/transport/httpjson"
	"github.com/apricotway/apricotway/transport/logservice"
)

// LogFault is a fault of the log service that a test can switch on.
type LogFault string

// The values of LogFault.
const (
	// LogHealthy is the absence of a fault.
	LogHealthy LogFault = ""
	// LogDown refuses every call.
	LogDown LogFault = "down"
	// LogLoseAnswer makes appends take effect and then cuts the connection.
	LogLoseAnswer LogFault = "loseAnswer"
)

// Log is an append-only log service in memory. It implements apricotway.Log, and Handler serves it over HTTP.
type Log struct {
	now func() time.Time

	mu      sync.Mutex
	streams map[apricotway.Stream]*logStream
	// changed is closed and replaced with every append.
	changed chan struct{}
	fault   LogFault
}

type logStream struct {
	// first is the offset of records[0]; it grows when old records are trimmed.
	first   apricotway.Offset
	records []apricotway.StoredRecord
}

var _ apricotway.Log = (*Log)(nil)

// NewLog returns an empty log.
func NewLog() *Log {
	return &Log{now: time.Now, streams: map[apricotway.Stream]*logStream{}, changed: make(chan struct{})}
}

// SetFault switches a fault on, or off with LogHealthy.
func (l *Log) SetFault(fault LogFault) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.fault = fault
}

// Trim drops the records below an offset.
func (l *Log) Trim(stream apricotway.Stream, below apricotway.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()

	s := l.stream(stream)
	for len(s.records) > 0 && s.first < below {
		s.records = s.records[1:]
		s.first++
	}
}

func (l *Log) stream(name apricotway.Stream) *logStream {
	s := l.streams[name]
	if s == nil {
		s = &logStream{first: 1}
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

	if l.fault == LogDown {
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

	if l.fault == LogLoseAnswer {
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

	if l.fault == LogDown {
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

	return batch, l.changed, nil
}

// Handler serves the log over HTTP. PUT /fault and DELETE on a stream's records steer faults and trimming for tests.
func (l *Log) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /streams/{stream}/records", l.serveAppend)
	mux.HandleFunc("GET /streams/{stream}/records", l.serveRead)
	mux.HandleFunc("DELETE /streams/{stream}/records", func(w http.ResponseWriter, r *http.Request) {
		below, err := strconv.ParseUint(r.URL.Query().Get("below"), 10, 64)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}

		l.Trim(apricotway.Stream(r.PathValue("stream")), apricotway.Offset(below))
	})
	mux.HandleFunc("PUT /fault", func(_ http.ResponseWriter, r *http.Request) {
		l.SetFault(LogFault(r.URL.Query().Get("kind")))
	})

	return mux
}

func (l *Log) serveAppend(w http.ResponseWriter, r *http.Request) {
	var request logservice.AppendRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil || len(request.Records) == 0 {
		http.Error(w, "the body holds no records", http.StatusBadRequest)
		return
	}

	first, err := l.Append(r.Context(), apricotway.Stream(r.PathValue("stream")), request.Records)

	switch {
	case err == nil:
		httpjson.Write(w, http.StatusOK, logservice.AppendAnswer{First: first})
	case errors.Is(err, apricotway.ErrAppendUnknown):
		panic(http.ErrAbortHandler)
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

func (l *Log) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, errFrom := strconv.ParseUint(query.Get("from"), 10, 64)
	limit, errLimit := strconv.Atoi(query.Get("limit"))
	wait, errWait := time.ParseDuration(query.Get("wait"))

	if errFrom != nil || errLimit != nil || errWait != nil || limit < 1 {
		http.Error(w, "from, limit and wait are required", http.StatusBadRequest)
		return
	}

	batch, err := l.Read(r.Context(), apricotway.Stream(r.PathValue("stream")), apricotway.Offset(from), limit, wait)

	switch {
	case err == nil:
		httpjson.Write(w, http.StatusOK, batch)
	case errors.Is(err, apricotway.ErrTrimmed):
		httpjson.Write(w, http.StatusGone, batch)
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}
