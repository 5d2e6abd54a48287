package peers

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// speedBoard is the part of a fakeBoard that exchanges speeds.
type speedBoard struct {
	mu sync.Mutex
	// report is what the node has observed since its last report, reports what the leader has received, and factors what
	// this node has applied.
	report  string
	reports map[string]int
	factors string
}

func (b *speedBoard) SpeedReport() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	report := b.report
	b.report = ""
	return []byte(report)
}

func (b *speedBoard) AddSpeedReport(report []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.reports == nil {
		b.reports = map[string]int{}
	}
	b.reports[string(report)]++
}

func (b *speedBoard) AnnounceSpeeds() []byte { return []byte("factors") }

func (b *speedBoard) ApplySpeeds(announcement []byte, readAt time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !readAt.IsZero() {
		b.factors = string(announcement)
	}
}

// Guards against samples that do not reach the leader, or reach it twice, and against factors that do not reach all nodes,
// the leader included.
func TestSpeedsAreExchanged(t *testing.T) {
	addresses := []string{freeAddress(t), freeAddress(t), freeAddress(t)}
	boards := []*fakeBoard{{}, {}, {}}
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
	allHaveFactors := func() bool {
		for _, b := range boards {
			b.speedBoard.mu.Lock()
			factors := b.factors
			b.speedBoard.mu.Unlock()
			if factors != "factors" {
				return false
			}
		}
		return true
	}
	require.Eventually(t, allHaveFactors, 10*time.Second, 10*time.Millisecond)
	for i, b := range boards {
		b.speedBoard.mu.Lock()
		b.report = []string{"own", "one", "two"}[i]
		b.speedBoard.mu.Unlock()
	}
	leader := &boards[0].speedBoard
	received := func(report string) int {
		leader.mu.Lock()
		defer leader.mu.Unlock()
		return leader.reports[report]
	}
	require.Eventually(t, func() bool { return received("own") > 0 && received("one") > 0 && received("two") > 0 }, 10*time.Second, 10*time.Millisecond)
	empty := received("")
	require.Eventually(t, func() bool { return received("") > empty+4 }, 10*time.Second, 10*time.Millisecond)
	for _, report := range []string{"own", "one", "two"} {
		assert.Equal(t, 1, received(report), report)
	}
}
