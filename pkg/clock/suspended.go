package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Suspended returns the time for which the VM has been suspended since it started: the time that
// CLOCK_BOOTTIME counts and CLOCK_MONOTONIC, which time.Time uses, does not. It returns 0 if the system has
// no such clock.
func Suspended() time.Duration {
	var monotonic, boot unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - monotonic.Nano()).Truncate(suspendedResolution)
}

// suspendedResolution hides the time between the readings of the two clocks.
const suspendedResolution = 10 * time.Millisecond
