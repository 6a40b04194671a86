// Package guard recovers from panics and reports them as errors, so that a panic ends only the call in which it occurs.
package guard

import (
	"fmt"
	"net/http"
	"runtime/debug"

	"github.com/go-faster/errors"
)

// ErrPanic is the error for a recovered panic. The error that wraps it contains the panic value and the stack trace.
var ErrPanic = errors.New("panic")

// Call runs do and returns its error, or an error that wraps ErrPanic if do panics.
func Call(do func() error) (err error) {
	defer func() {
		if reason := recover(); reason != nil {
			err = errors.Wrap(ErrPanic, fmt.Sprintf("%v\n%s", reason, debug.Stack()))
		}
	}()

	return do()
}

// Handler returns a handler that passes the panics of another handler to report. The connection of such a request is closed, so
// that the client does not take a partial response for a complete one.
func Handler(handler http.Handler, report func(err error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		aborted := false

		err := Call(func() error {
			defer func() {
				// http.ErrAbortHandler aborts a response on purpose and is not reported.
				if reason := recover(); reason == http.ErrAbortHandler { //nolint:errorlint // net/http compares it by identity too.
					aborted = true
				} else if reason != nil {
					panic(reason)
				}
			}()

			handler.ServeHTTP(w, r)

			return nil
		})
		if err != nil {
			report(err)
		}

		if aborted || err != nil {
			panic(http.ErrAbortHandler)
		}
	})
}
