package standin

import (
	"encoding/json"
	"net/http"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/transport/httpjson"
)

// serveJSON returns a handler that decodes the JSON body of a request and writes the result of serve as JSON.
func serveJSON[T any](serve func(*http.Request, T) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var body T
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}

		document, err := serve(r, body)
		writeResult(w, document, err)
	}
}

// statusError returns an error that writeResult writes with the given HTTP status.
func statusError(status int, text string) error {
	return &httpjson.StatusError{Status: status, Body: text}
}

// writeResult writes the document as JSON, or an empty response without one, or the error with its HTTP status. If the result of an
// append is unknown, it aborts the connection.
func writeResult(w http.ResponseWriter, document any, err error) {
	var status *httpjson.StatusError

	switch {
	case err == nil && document != nil:
		httpjson.Write(w, http.StatusOK, document)
	case err == nil:
	case errors.As(err, &status):
		http.Error(w, status.Body, status.Status)
	case errors.Is(err, apricotway.ErrOrderFenced):
		http.Error(w, err.Error(), http.StatusPreconditionFailed)
	case errors.Is(err, apricotway.ErrHostRefused):
		http.Error(w, err.Error(), http.StatusConflict)
	case errors.Is(err, apricotway.ErrAppendUnknown):
		panic(http.ErrAbortHandler)
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}
