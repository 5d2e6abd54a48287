package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// suspendedResolution hides the time between the readings of the two clocks.
const suspendedResolution = 10 * time.Millisecond

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

// Stopwatch measures the time since its start, including the time for which the VM was suspended. It is safe for
// concurrent use.
type Stopwatch struct {
	started   time.Time
	suspended time.Duration
}

// NewStopwatch returns a stopwatch that starts now.
func NewStopwatch() Stopwatch { return Stopwatch{started: time.Now(), suspended: Suspended()} }

// Elapsed returns the time since the start.
func (s Stopwatch) Elapsed() time.Duration { return time.Since(s.started) + Suspended() - s.suspended }
