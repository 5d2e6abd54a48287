package peers

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against evidence that does not reach the leader, a node that follows it, or a node without a leader, and
// against followers that report to the leader what they have from it.
func TestEvidenceReachesAllNodes(t *testing.T) {
	leader := freeAddress(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	start := func(own string, leads bool, known string, b *fakeBoard, seeds ...string) *Link {
		l, err := Listen(Options{
			Address: own, Seeds: seeds, Leader: func() string { return known }, HoldsLease: func() bool { return leads },
			ActingLeader: func() bool { return leads }, Board: b, Logger: slog.New(slog.DiscardHandler),
		})
		require.NoError(t, err)
		go l.Run(ctx)
		return l
	}
	merged := func(b *fakeBoard, want string, relayed bool) func() bool {
		return func() bool {
			b.mu.Lock()
			defer b.mu.Unlock()
			return string(b.mergedEvidence) == want && b.relayed == relayed
		}
	}
	leading, follower, alone := &fakeBoard{}, &fakeBoard{evidence: []byte("crash")}, &fakeBoard{}
	start(leader, true, leader, leading)
	own := freeAddress(t)
	l := start(own, false, leader, follower)
	l.AnnounceEvidence()
	require.Eventually(t, merged(leading, "crash", true), 10*time.Second, time.Millisecond)
	leading.mu.Lock()
	leading.evidence = []byte("quarantined")
	leading.mu.Unlock()
	require.Eventually(t, merged(follower, "quarantined", false), 10*time.Second, time.Millisecond)
	start(freeAddress(t), false, "", alone, own)
	require.Eventually(t, merged(alone, "crash", false), 10*time.Second, time.Millisecond)
}

// Guards against evidence that waits for the next heartbeat, and against an update without anything new.
func TestUpdateHoldsNewEvidenceOnly(t *testing.T) {
	l := &Link{opt: Options{Board: &fakeBoard{evidence: []byte("crash")}}}
	update := &message{}
	l.addEvidenceToUpdate(update)
	assert.Equal(t, "crash", string(update.Evidence))
	update = &message{}
	l.addEvidenceToUpdate(update)
	assert.Empty(t, update.Evidence)
}

// fullBoard has more evidence than a message holds. Both of the first two messages read it before either is sent.
type fullBoard struct {
	*fakeBoard
	readers  sync.WaitGroup
	barriers atomic.Int32
}

func (b *fullBoard) Evidence(_ uint64, maxBytes int) ([]byte, uint64) {
	if b.barriers.Add(-1) >= 0 {
		b.readers.Done()
		b.readers.Wait()
	}
	return make([]byte, maxBytes), 1
}

// Guards against updates that are sent at the same time and together use more bytes than they may, and a heartbeat
// that then panics.
func TestUpdatesAtTheSameTimeStayInTheBudget(t *testing.T) {
	b := &fullBoard{fakeBoard: &fakeBoard{prefixes: make([]byte, 240*prefixUpdateBytes)}}
	b.readers.Add(2)
	b.barriers.Store(2)
	l, err := Listen(Options{
		Address: freeAddress(t), Leader: func() string { return "" }, HoldsLease: func() bool { return true }, ActingLeader: func() bool { return true },
		Board: b, Logger: slog.New(slog.DiscardHandler),
	})
	require.NoError(t, err)
	var group sync.WaitGroup
	for range 2 {
		group.Go(l.sendUpdate)
	}
	group.Wait()
	assert.NotPanics(t, l.sendHeartbeat)
	l.updates.sentAt = time.Time{}
	assert.Zero(t, l.pace(&l.updates, time.Hour, func() {
		assert.NotZero(t, l.pace(&l.updates, time.Hour, func() { t.Error("two updates at the same time") }))
	}))
}
