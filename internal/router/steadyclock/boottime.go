package steadyclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// readBootTime reads CLOCK_BOOTTIME, which advances while the machine is suspended.
func readBootTime() (time.Duration, bool) {
	var reading unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &reading); err != nil {
		return 0, false
	}
	return time.Duration(reading.Nano()), true
}
