package mirror

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against a follower that takes entries as gone which have only lapsed in an outage of the store: the leader alone has
// seen the outage, because followers do not call the store. After some seconds the leader's deletions are final again.
func TestRelayedContentTellsOfAnOutageOfTheStore(t *testing.T) {
	tests := map[string]struct {
		outage time.Duration
		// since is the time from the outage to the deletion.
		since time.Duration
		want  bool
	}{
		"no outage":            {0, 0, false},
		"lapsed in the outage": {2 * time.Second, 0, true},
		"deleted later":        {2 * time.Second, 2 * recoveryDuration, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, following, isFollower := newFakeSource(), &recordingTarget{}, &atomic.Bool{}
				s.put("a")
				s.put("b")
				isFollower.Store(true)
				ctx, cancel := context.WithCancel(t.Context())
				leader, m := newMirror(s, &recordingTarget{}, &atomic.Bool{}), newMirror(s, following, isFollower)
				go leader.Run(ctx)
				time.Sleep(2500 * time.Millisecond)
				assert.True(t, m.Import(leader.Export(0), true))
				s.locked(func() { s.down = test.outage > 0 })
				time.Sleep(test.outage)
				if test.since == 0 {
					s.remove("a")
				}
				s.locked(func() { s.down = false })
				time.Sleep(test.since)
				if test.since > 0 {
					s.remove("a")
				}
				time.Sleep(1200 * time.Millisecond)
				assert.True(t, m.Import(leader.Export(m.CompleteRevision()), true))
				assert.Equal(t, []string{"b"}, following.sortedNames())
				assert.Equal(t, test.want, following.last.Interrupted)
				assert.Equal(t, test.want, following.last.SeenByRelayOnly)
				cancel()
				synctest.Wait()
			})
		})
	}
}
