package peers

import (
	"context"
	"log/slog"
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
