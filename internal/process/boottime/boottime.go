// Package boottime reads CLOCK_BOOTTIME, which counts the time for which the machine was
// suspended, as the monotonic clock of package time does not. Changes of the time of day do
// not affect it.
package boottime

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine's start.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has had the clock since 2.6.39, and the call fails for no other reason.
		panic(fmt.Sprintf("CLOCK_BOOTTIME cannot be read: %v; run on Linux 2.6.39 or later", err))
	}
	return time.Duration(ts.Nano())
}
