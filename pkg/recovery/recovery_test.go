package recovery

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"cassiawall.example/cassiawall/pkg/metrics"
)

// Guards against a panic in a task that ends the process, and against a loop that does not run again or
// restarts without a pause.
func TestPanicsAreContained(t *testing.T) {
	g := Guard{Logger: slog.New(slog.DiscardHandler), Metrics: metrics.New()}
	assert.False(t, g.Run("t", func() { panic("x") }))
	assert.True(t, g.Run("t", func() {}))
	assert.EqualValues(t, 1, g.Metrics.Counter("task_panics", "task", "t").Count())
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		runs := 0
		g.Loop(ctx, "loop", func(context.Context) {
			runs++
			panic("x")
		})
		assert.Greater(t, runs, 20)
		assert.Less(t, runs, 60)
	})
}
