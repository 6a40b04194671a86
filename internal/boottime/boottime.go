// Package boottime reads a clock that goes on while the machine is suspended; Go's monotonic clock stands still then.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine's start, suspension included.
func Now() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// The clock exists on every Linux since 2.6.39.
		panic("boot-time clock: " + err.Error())
	}

	return time.Duration(now.Nano())
}
