package limitshare

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/pkg/blackboard"
	"cassiawall.example/cassiawall/pkg/config"
	"cassiawall.example/cassiawall/pkg/limits"
)

// Guards against budgets, numbers of live nodes or shares that do not reach the limiter, and against
// demands of inactive workspaces that stay on the board.
func TestLimiterFollowsTheBoard(t *testing.T) {
	now := time.Unix(1000, 0)
	board := blackboard.New()
	limiter := limits.NewLimiter()
	c := New(Options{Name: "n1", Board: board, Limiter: limiter})
	board.Config.Put(blackboard.ConfigKey, blackboard.ConfigEntry{Version: 1, Config: &config.Config{
		Workspaces: []config.Workspace{{Name: "w", Limits: config.Limits{Concurrency: 4}}},
	}}, blackboard.Evidence{})
	for i := range 4 {
		board.Members.Put(fmt.Sprint("n", i), blackboard.MemberEntry{State: blackboard.MemberAlive}, blackboard.Evidence{})
	}
	c.Step(now)
	require.True(t, limiter.AcquireConcurrency(now, "w"))
	require.False(t, limiter.AcquireConcurrency(now, "w"), "a quarter of four slots")
	c.Step(now)
	key := blackboard.DemandKey{Node: "n1", Workspace: "w"}
	demand, ok := board.Demands.Get(key)
	require.True(t, ok)
	assert.Equal(t, 1, demand.Value.Running)
	board.Shares.Put("w", blackboard.ShareEntry{Concurrency: 2}, blackboard.Evidence{ObservedAt: now})
	c.Step(now)
	require.True(t, limiter.AcquireConcurrency(now, "w"))
	require.False(t, limiter.AcquireConcurrency(now, "w"), "the share of two slots")
	limiter.ReleaseConcurrency(now, "w")
	limiter.ReleaseConcurrency(now, "w")
	c.Step(now.Add(2 * time.Minute))
	assert.Zero(t, board.Demands.Len())
	assert.Zero(t, board.Shares.Len())
}

// Guards against report traffic that grows with the number of active workspaces, and against
// workspaces that are never reported.
func TestReportsAreBoundedAndFair(t *testing.T) {
	now := time.Unix(1000, 0)
	board := blackboard.New()
	limiter := limits.NewLimiter()
	c := New(Options{Name: "n1", Board: board, Limiter: limiter})
	all := &config.Config{}
	for i := range limits.MaxReports {
		all.Workspaces = append(all.Workspaces, config.Workspace{Name: fmt.Sprint("w", i), Limits: config.Limits{RequestsPerSecond: 10}})
	}
	board.Config.Put(blackboard.ConfigKey, blackboard.ConfigEntry{Version: 1, Config: all}, blackboard.Evidence{})
	steps := limits.MaxReports / reportsPerStep
	for range steps {
		for _, w := range all.Workspaces {
			limiter.Allow(now, w.Name, 1)
		}
		before := board.Demands.Version()
		c.Step(now)
		assert.LessOrEqual(t, board.Demands.Version()-before, uint64(reportsPerStep))
		now = now.Add(stepInterval)
	}
	assert.GreaterOrEqual(t, board.Demands.Len(), limits.MaxReports-2*reportsPerStep)
}
