package peers

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against reports of limits that do not reach the leader, and against permits that reach another node than the one
// they were issued to or whose age is unknown.
func TestPermitsReachTheNodeTheyWereIssuedTo(t *testing.T) {
	addresses := []string{freeAddress(t), freeAddress(t), freeAddress(t)}
	boards := []*fakeBoard{{}, {quotaReport: []byte("one")}, {quotaReport: []byte("two")}}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for i, b := range boards {
		l, err := Listen(Options{
			Address: addresses[i], Leader: func() string { return addresses[0] }, HoldsLease: func() bool { return i == 0 },
			ActingLeader: func() bool { return i == 0 }, Board: b, Logger: slog.New(slog.DiscardHandler),
		})
		require.NoError(t, err)
		go l.Run(ctx)
	}
	require.Eventually(t, func() bool {
		for i, b := range boards {
			b.mu.Lock()
			received := len(b.permits) > b.undatedPermits+1
			reported := i > 0 || b.quotaReports[addresses[1]] == "one" && b.quotaReports[addresses[2]] == "two"
			b.mu.Unlock()
			if !received || !reported {
				return false
			}
		}
		return true
	}, 10*time.Second, 10*time.Millisecond)
	for i, b := range boards {
		b.mu.Lock()
		for _, p := range b.permits {
			// The first heartbeat to a new node issues none.
			assert.Contains(t, []string{addresses[i], ""}, p)
		}
		b.mu.Unlock()
	}
}
