package peers

import (
	"context"
	"log/slog"
	"math"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/pkg/clock"
	"cassiawall.example/cassiawall/pkg/gateway/backends"
)

// Guards against revisions that count as current when they are read although they waited in the socket of a paused
// node, or were read by the leader long before it sent them.
func TestRevisionsAreNotCurrentAfterTheyWereRead(t *testing.T) {
	const pause = 700 * time.Millisecond
	started := clock.Now()
	leader := freeAddress(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	start := func(own string, leads bool, b Board) {
		l, err := Listen(Options{
			Address: own, Leader: func() string { return leader }, HoldsLease: func() bool { return leads },
			ActingLeader: func() bool { return leads }, Board: b, Logger: slog.New(slog.DiscardHandler),
		})
		require.NoError(t, err)
		go l.Run(ctx)
	}
	// The revision is the time in microseconds at which the leader reads it.
	leading := &pausingBoard{fakeBoard: &fakeBoard{synced: true, readRevision: func() int64 { return clock.Since(started).Microseconds() }}}
	var mu sync.Mutex
	confirmed, tooLate, reads := 0, 0, 0
	follower := &fakeBoard{onRevision: func(revision int64, currentAt time.Time) {
		mu.Lock()
		defer mu.Unlock()
		if reads++; reads%5 == 0 {
			// Further messages arrive while the node is paused.
			time.Sleep(pause)
		}
		if currentAt.IsZero() {
			return
		}
		confirmed++
		if currentAt.After(started.Add(time.Duration(revision) * time.Microsecond)) {
			tooLate++
		}
	}}
	start(leader, true, leading)
	start(freeAddress(t), false, follower)
	require.Eventually(t, func() bool {
		mu.Lock()
		defer mu.Unlock()
		return confirmed >= 15
	}, 20*time.Second, 10*time.Millisecond)
	mu.Lock()
	defer mu.Unlock()
	assert.Zero(t, tooLate, "of %d", confirmed)
}

// pausingBoard is the board of a leader that is paused, every third time, after it has read its revisions. A link calls
// it from the goroutine of its heartbeats and from that of its receiver.
type pausingBoard struct {
	*fakeBoard
	reads atomic.Int32
}

func (b *pausingBoard) SmallContents() []KindContent {
	if b.reads.Add(1)%3 == 0 {
		time.Sleep(300 * time.Millisecond)
	}
	return nil
}

// Guards against messages that are dated by a timestamp of another node or of an earlier start of this one.
func TestReadAtRefusesForeignTimestamps(t *testing.T) {
	own := newTimestamps()
	const held = 5 * time.Millisecond
	time.Sleep(2 * held)
	before := clock.Now()
	sentAt := own.next()
	now := clock.Now()
	// checkIssuedAt checks that a message which repeats the timestamp is dated by the time at which it was issued.
	checkIssuedAt := func(readAt time.Time, message string) {
		t.Helper()
		assert.False(t, readAt.Before(before.Add(-time.Microsecond)), message)
		assert.False(t, readAt.After(now), message)
	}
	checkIssuedAt(own.readAt(echo{SentAt: sentAt, HeldMS: 0}, now), "sent and read at once")
	checkIssuedAt(own.readAt(echo{SentAt: sentAt}, now.Add(4*time.Second)), "a suspension of the VM counts")
	assert.Equal(t, held, own.readAt(echo{SentAt: own.offset, HeldMS: held.Milliseconds()}, now).Sub(own.startedAt))
	assert.False(t, own.readAt(echo{SentAt: sentAt, HeldMS: 5000}, now).After(now), "a peer cannot have read its state in the future")
	for name, e := range map[string]echo{
		"none": {}, "earlier start": {SentAt: newTimestamps().next()}, "not sent yet": {SentAt: sentAt + int64(time.Hour/time.Microsecond)},
		"largest": {SentAt: math.MaxInt64}, "negative": {SentAt: math.MinInt64}, "negative time held": {SentAt: sentAt, HeldMS: -1},
	} {
		assert.Zero(t, own.readAt(e, now), name)
	}
}

// Guards against datagrams that nodes of the previous version cannot decode, and against theirs.
func TestEchoFollowsTheMessage(t *testing.T) {
	m := &message{From: "a", Leader: true, Loads: []backends.Load{{Backend: "e"}}}
	data, err := encode(m)
	require.NoError(t, err)
	without, err := decode(data)
	require.NoError(t, err)
	assert.Zero(t, without.echo)
	data, err = appendEncoded(data, &echo{SentAt: 1 << 60, HeldMS: 7})
	require.NoError(t, err)
	with, err := decode(data)
	require.NoError(t, err)
	assert.Equal(t, echo{SentAt: 1 << 60, HeldMS: 7}, with.echo)
	with.echo = echo{}
	assert.Equal(t, without, with)
}
