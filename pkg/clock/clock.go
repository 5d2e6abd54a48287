// Package clock measures time for decisions that must not overrun.
package clock

import "time"

// Elapsed returns the longer of the times between two instants by the monotonic and by the wall
// clock. The monotonic clock stands still while a VM is suspended; the wall clock can be set back.
func Elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}
