package standin

import (
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/memorylog"
	"github.com/apricotway/apricotway/transport/httpjson"
	"github.com/apricotway/apricotway/transport/logservice"
)

// Log is a stand-in for the log service: an in-memory log that Handler serves over HTTP.
type Log struct {
	*memorylog.Log
}

// NewLog returns an empty log.
func NewLog() *Log { return &Log{memorylog.New()} }

// Handler serves the log over HTTP. Tests set a fault with PUT /fault and trim a stream with DELETE on its records.
func (l *Log) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /streams/{stream}/records", serveJSON(l.serveAppend))
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
		l.SetFault(memorylog.Fault(r.URL.Query().Get("kind")))
	})

	return mux
}

func (l *Log) serveAppend(r *http.Request, request logservice.AppendRequest) (any, error) {
	if len(request.Records) == 0 {
		return nil, statusError(http.StatusBadRequest, "the body holds no records")
	}

	first, err := l.Append(r.Context(), apricotway.Stream(r.PathValue("stream")), request.Records)

	return logservice.AppendAnswer{First: first}, err
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

	if errors.Is(err, apricotway.ErrTrimmed) {
		httpjson.Write(w, http.StatusGone, batch)
		return
	}

	writeResult(w, batch, err)
}
