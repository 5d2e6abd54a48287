package routing

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/pkg/blackboard"
	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/metrics"
	"cassiawall.example/cassiawall/pkg/retry"
)

// queueingRouter runs queued while a request to engine a is queued.
type queueingRouter struct {
	Router
	queued    func()
	abandoned int
}

func (q *queueingRouter) Route(ctx context.Context, req *Request) (Slot, error) {
	slot, err := q.Router.Route(ctx, req)
	if err == nil && slot.Target().Engine == "a" {
		q.queued()
	}
	return &countingSlot{Slot: slot, router: q}, err
}

type countingSlot struct {
	Slot
	router *queueingRouter
}

func (s *countingSlot) Done(o Outcome) {
	if o.Abandoned {
		s.router.abandoned++
	}
	s.Slot.Done(o)
}

func newTestPauseRouter(t *testing.T, now *time.Time, queued func(), ids ...string) (*PauseRouter, *queueingRouter, *blackboard.Board) {
	t.Helper()
	board := boardWith(ids...)
	next, err := NewBaseline(PolicyRoundRobin, board, NewInflight())
	require.NoError(t, err)
	queueing := &queueingRouter{Router: next, queued: queued}
	return NewPauseRouter(queueing, board, slog.New(slog.DiscardHandler), metrics.New(), func() time.Time { return *now }), queueing, board
}

// Guards against a request that is sent to an engine whose pause began while the request was queued for it.
func TestQueuedRequestIsNotSentToAPausedEngine(t *testing.T) {
	now := time.Unix(1, 0)
	var r *PauseRouter
	r, queueing, _ := newTestPauseRouter(t, &now, func() { r.observe(Target{Engine: "a", Incarnation: "a-1"}, time.Second) }, "a", "b")
	for range 4 {
		slot, err := r.Route(t.Context(), testRequest())
		require.NoError(t, err)
		assert.Equal(t, "b", slot.Target().Engine)
	}
	assert.Equal(t, 1, queueing.abandoned)
}

// Guards against pauses that are shortened, that last for too long, or that end with a listing that lags.
func TestEndOfPause(t *testing.T) {
	now := time.Unix(1, 0)
	r, _, board := newTestPauseRouter(t, &now, func() {}, "a")
	a := Target{Engine: "a", Incarnation: "a-2"}
	r.observe(a, time.Hour)
	r.observe(a, time.Second)
	_, err := r.Route(t.Context(), testRequest())
	require.True(t, fault.Is(err, fault.EnginesPaused), "the board still lists the incarnation before: %v", err)
	assert.Greater(t, fault.As(err).RetryAfter, retry.MaxPause-time.Millisecond)
	now = now.Add(retry.MaxPause + 2*time.Second)
	_, err = r.Route(t.Context(), testRequest())
	require.NoError(t, err)

	r.observe(a, time.Minute)
	e, _ := board.Engines.Get("a")
	e.Value.State.Incarnation = "a-3"
	board.Engines.Put("a", e.Value, blackboard.Evidence{})
	_, err = r.Route(t.Context(), testRequest())
	assert.NoError(t, err, "the engine has restarted")
}
