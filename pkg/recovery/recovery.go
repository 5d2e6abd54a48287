// Package recovery keeps a panic in one task from ending the process.
package recovery

import (
	"context"
	"fmt"
	"log/slog"
	"runtime/debug"
	"time"

	"cassiawall.example/cassiawall/pkg/event"
	"cassiawall.example/cassiawall/pkg/metrics"
	"cassiawall.example/cassiawall/pkg/wait"
)

const (
	// minRestartPause and maxRestartPause bound the pause before a loop that panicked runs again. The pause
	// doubles with each panic and starts anew after a run of maxRestartPause.
	minRestartPause = 50 * time.Millisecond
	maxRestartPause = 2 * time.Second
	// maxStackBytes bounds the stack in a log line.
	maxStackBytes = 2 << 10
)

// Guard runs tasks. It is safe for concurrent use.
type Guard struct {
	Logger  *slog.Logger
	Metrics *metrics.Registry
}

// Run runs a task. It logs and counts a panic of the task, and reports whether there was none.
func (g Guard) Run(task string, f func()) (ok bool) {
	defer func() {
		if cause := recover(); cause != nil {
			g.Report(task, cause)
		}
	}()
	f()
	return true
}

// Report logs and counts a panic that the caller has recovered.
func (g Guard) Report(task string, cause any) {
	stack := debug.Stack()
	event.TaskPanicked.Emit(g.Logger, "task", task, "cause", fmt.Sprint(cause), "stack", string(stack[:min(len(stack), maxStackBytes)]))
	g.Metrics.Counter("task_panics", "task", task).Inc(1)
}

// Loop runs a task that should last until ctx ends. After a panic it runs the task again.
func (g Guard) Loop(ctx context.Context, task string, f func(context.Context)) {
	pause := minRestartPause
	for {
		startedAt := time.Now()
		if g.Run(task, func() { f(ctx) }) {
			return
		}
		if time.Since(startedAt) >= maxRestartPause {
			pause = minRestartPause
		}
		if !wait.Pause(ctx, pause) {
			return
		}
		pause = min(2*pause, maxRestartPause)
	}
}
