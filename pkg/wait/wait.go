// Package wait provides delays and periodic calls that end with a context.
package wait

import (
	"context"
	"time"
)

// Pause waits for d or until ctx ends. It returns false if ctx ended first.
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

// Every calls f once per interval until ctx ends, for the first time after one interval. Ticks that
// occur while f runs are dropped.
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
