// Package bubble runs tests with the virtual time of testing/synctest.
package bubble

import (
	"runtime"
	"testing"
	"testing/synctest"
)

// Test runs f in a synctest bubble with GOMAXPROCS set to 1. In Go 1.26.8, two processors that run timers of the same bubble at
// the same time share the bubble's race detector state, which crashes the process inside the race detector. Races are still
// found with one processor, since the race detector tracks happens-before relations.
//
// Test must not be called from parallel tests, since GOMAXPROCS applies to the whole process.
func Test(t *testing.T, f func(t *testing.T)) {
	t.Helper()

	processors := runtime.GOMAXPROCS(1)
	defer runtime.GOMAXPROCS(processors)

	synctest.Test(t, f) //nolint:forbidigo // All other code must use this function.
}
