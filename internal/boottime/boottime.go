// Package boottime reads a monotonic clock that includes the time during which the machine is suspended. Go's monotonic clock
// stops during suspension.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since boot, including suspension.
func Now() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// CLOCK_BOOTTIME exists since Linux 2.6.39, so this cannot happen on a supported kernel.
		panic("read CLOCK_BOOTTIME: " + err.Error())
	}

	return time.Duration(now.Nano())
}
