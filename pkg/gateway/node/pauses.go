package node

import (
	"context"
	"time"

	"cassiawall.example/cassiawall/pkg/clock"
	"cassiawall.example/cassiawall/pkg/event"
	"cassiawall.example/cassiawall/pkg/wait"
)

const (
	// pauseCheckInterval is the time between two readings of the clocks by watchPauses.
	pauseCheckInterval = 200 * time.Millisecond
	// minPause is the shortest pause that is logged. Shorter ones also occur on busy VMs.
	minPause = 400 * time.Millisecond
)

// watchPauses logs and counts pauses of the process, during which messages wait in its sockets and grow old, until
// ctx ends.
func (n *Node) watchPauses(ctx context.Context) {
	checkedAt, suspendedBefore := time.Now(), clock.Suspended()
	for wait.Pause(ctx, pauseCheckInterval) {
		now, suspendedNow := time.Now(), clock.Suspended()
		paused, suspended := now.Sub(checkedAt)-pauseCheckInterval, suspendedNow-suspendedBefore
		checkedAt, suspendedBefore = now, suspendedNow
		if paused+suspended >= minPause {
			n.opt.Metrics.Counter("process_pauses").Inc(1)
			event.ProcessPaused.Emit(n.opt.Logger, "pause_ms", (paused + suspended).Milliseconds(), "suspended_ms", suspended.Milliseconds())
		}
	}
}
