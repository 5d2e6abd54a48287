// Package clock measures elapsed time for leases and other time limits that must hold even if a VM is
// suspended or the wall clock is set back.
package clock

import "time"

// Elapsed returns the time between from and to by the monotonic clock or by the wall clock, whichever
// is longer. The monotonic clock stops while a VM is suspended; the wall clock can be set back. Use Now and Since where
// a wall clock that is set forward must not make a time longer.
func Elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}
