package api

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/apricotway/apricotway"
)

// eventID returns the event ID of one token of a request. Callers send it back in Last-Event-ID.
func eventID(id apricotway.RequestID, index int) string {
	return string(id) + "/" + strconv.Itoa(index)
}

// parseEventID returns the request ID and token index of an event ID.
func parseEventID(text string) (apricotway.RequestID, int, error) {
	id, last, ok := strings.Cut(text, "/")

	index, err := strconv.Atoi(last)
	if !ok || id == "" || err != nil || index < 0 {
		return "", 0, invalid(apricotway.CodeInvalidRequest, headerLastEvent+" must be the id of an event of this system")
	}

	return apricotway.RequestID(id), index, nil
}

// resumable wraps the handler of a completion endpoint. If the caller sends Last-Event-ID, the answer of that earlier request is
// continued and the body is ignored.
func (s *Server) resumable(
	begin func(http.ResponseWriter, *http.Request, caller) error,
) func(http.ResponseWriter, *http.Request, caller) error {
	return func(w http.ResponseWriter, r *http.Request, caller caller) error {
		last := r.Header.Get(headerLastEvent)
		if last == "" {
			return begin(w, r, caller)
		}

		id, index, err := parseEventID(last)
		if err != nil {
			return err
		}

		return s.resume(w, r, caller, id, index+1)
	}
}

// requestEvents streams the answer of an earlier request after Last-Event-ID, or from its start if the header is missing.
func (s *Server) requestEvents(w http.ResponseWriter, r *http.Request, caller caller) error {
	id, from := apricotway.RequestID(r.PathValue("id")), 0

	if last := r.Header.Get(headerLastEvent); last != "" {
		named, index, err := parseEventID(last)
		if err != nil {
			return err
		}

		if named != id {
			return invalid(apricotway.CodeInvalidRequest, headerLastEvent+" names another request than the path")
		}

		from = index + 1
	}

	return s.resume(w, r, caller, id, from)
}

func (s *Server) resume(
	w http.ResponseWriter, r *http.Request, caller caller, id apricotway.RequestID, from int,
) error {
	running, err := s.completions.Resume(r.Context(), caller.workspace, id)
	if err != nil {
		return err
	}

	w.Header().Set(headerRequestID, string(id))
	// The log line links the resumed request to the request that reads the rest of its answer.
	s.logger.Info("answer resumed", "event", 405, "request", id, "reader", caller.request, "token", from)

	return s.streamAnswer(w, r, running, from)
}
