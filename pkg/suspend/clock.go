package suspend

import (
	"time"

	"golang.org/x/sys/unix"
)

// processStart is the origin of Now on a kernel without CLOCK_BOOTTIME.
var processStart = time.Now()

// Now returns the time since the machine started, with the time for which it was suspended.
// It goes on while the process is stopped, and setting the time of day does not change it.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(t.Nano())
}
