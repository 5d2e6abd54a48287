package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// suspendedResolution hides the time between the readings of the two clocks.
const suspendedResolution = 10 * time.Millisecond

var suspendedAtStart = readSuspended()

// Suspended returns the time for which the VM has been suspended since the start of the process: the time that
// CLOCK_BOOTTIME counts and CLOCK_MONOTONIC, which time.Time uses, does not. It returns 0 if the system has
// no such clock or it cannot be read.
func Suspended() time.Duration {
	return max(0, readSuspended()-suspendedAtStart).Truncate(suspendedResolution)
}

func readSuspended() time.Duration {
	var monotonic, boot unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - monotonic.Nano())
}

// Now returns the current time on a clock that also counts the time for which the VM was suspended. It is ahead of
// time.Now by that time, so its results must only be compared with each other.
func Now() time.Time { return time.Now().Add(Suspended()) }

// Since returns the time since t, a result of Now.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns the time until t, a time on the clock of Now.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }
