// Package wait holds the two ways in which loops wait: for a time, or for the next tick, and in
// either case no longer than their context.
package wait

import (
	"context"
	"time"
)

// Pause waits for d or until ctx ends. It reports whether the whole time passed.
func Pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// Every calls f at each interval until ctx ends. The first call comes after one interval. Ticks that
// pass while f runs are dropped.
func Every(ctx context.Context, interval time.Duration, f func(context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f(ctx)
		}
	}
}
