// Package bubble runs tests on the virtual time of testing/synctest.
package bubble

import (
	"runtime"
	"testing"
	"testing/synctest"
)

// Test runs f in a bubble of virtual time, as synctest.Test does, on one processor. In Go 1.26.8 two processors that run timers
// of one bubble at a time share the race detector's state for it, and the process crashes inside the detector. The detector
// follows happens-before relations and reports races on one processor too.
//
// Test must not be called from parallel tests, since the number of processors belongs to the whole process.
func Test(t *testing.T, f func(t *testing.T)) {
	t.Helper()

	processors := runtime.GOMAXPROCS(1)
	defer runtime.GOMAXPROCS(processors)

	synctest.Test(t, f) //nolint:forbidigo // The one place that may call it.
}
