package mirror

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

// takeOver returns a mirror that has learned of an interruption, by its content, from the node that relays store changes to
// it, and the mirror of that node.
func takeOver(ctx context.Context, t *testing.T, s *fakeSource, target *recordingTarget, isFollower *atomic.Bool) (m, leader *Mirror) {
	t.Helper()
	for _, name := range []string{"a", "b", "c"} {
		s.put(name)
	}
	leader, m = newMirror(s, &recordingTarget{}, &atomic.Bool{}), newMirror(s, target, isFollower)
	isFollower.Store(true)
	go leader.Run(ctx)
	time.Sleep(2500 * time.Millisecond)
	assert.True(t, m.Import(leader.Export(0), true))
	s.locked(func() { s.down = true })
	time.Sleep(2 * time.Second)
	s.remove("a")
	s.locked(func() { s.down = false })
	time.Sleep(600 * time.Millisecond)
	assert.True(t, m.Import(leader.Export(m.CompleteRevision()), true))
	assert.True(t, target.last.Interrupted)
	return m, leader
}

// Guards against an interruption that a node has taken over and does not pass on in the content that it relays, so that nodes to
// which it relays, or it itself once it calls the store, take entries as gone that have only lapsed. Guards as well against one
// that circulates between nodes after it has ended.
func TestInterruptionTakenOverFromARelayIsKept(t *testing.T) {
	tests := map[string]struct {
		after time.Duration
		want  bool
	}{
		"at once":            {0, true},
		"after the recovery": {recoveryDuration, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, second, isFollower := newFakeSource(), &recordingTarget{}, &atomic.Bool{}
				ctx, cancel := context.WithCancel(t.Context())
				m, _ := takeOver(ctx, t, s, second, isFollower)
				third, fourth := &recordingTarget{}, &recordingTarget{}
				next, last := newMirror(s, third, isFollower), newMirror(s, fourth, isFollower)
				full := Content{Revision: m.Revision() - 1, Complete: true, Entries: []Entry{{Name: "a", Revision: 2}, {Name: "b", Revision: 3}, {Name: "c", Revision: 4}}}
				assert.True(t, next.Import(full, true))
				assert.True(t, last.Import(full, true))
				time.Sleep(test.after)

				relayed := m.Export(next.CompleteRevision())
				assert.Equal(t, test.want, relayed.Interrupted)
				assert.True(t, next.Import(relayed, true))
				assert.Equal(t, []string{"b", "c"}, third.sortedNames())
				assert.Equal(t, test.want, third.last.Interrupted)
				assert.Equal(t, test.want, third.last.SeenByRelayOnly)
				assert.True(t, last.Import(next.Export(last.CompleteRevision()), true))
				assert.False(t, fourth.last.Interrupted, "taken over only from a node that has seen the interruption")

				isFollower.Store(false)
				go m.Run(ctx)
				s.remove("b")
				time.Sleep(100 * time.Millisecond)
				assert.Equal(t, []string{"c"}, second.sortedNames())
				assert.Equal(t, test.want, second.last.Interrupted, "own list")
				assert.Equal(t, test.want, second.last.SeenByRelayOnly, "own list")
				cancel()
				synctest.Wait()
			})
		})
	}
}

// Guards against a standby that takes entries as gone that have lapsed in an outage, because it begins to call the store just after
// the outage has ended: it has seen no failed call, and the leader has not listed the objects yet.
func TestFirstListAfterTheRelayLostTheStoreIsInterrupted(t *testing.T) {
	for name, told := range map[string]bool{"relay lost the store": true, "nothing told": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, target, isFollower := newFakeSource(), &recordingTarget{}, &atomic.Bool{}
				s.put("a")
				s.put("b")
				m := newMirror(s, target, isFollower)
				assert.True(t, m.Import(Content{Revision: 3, Complete: true, Entries: []Entry{{Name: "a", Revision: 2}, {Name: "b", Revision: 3}}}, true))
				if told {
					m.MarkRelayInterrupted(time.Now())
				}
				s.remove("a")
				ctx, cancel := context.WithCancel(t.Context())
				go m.Run(ctx)
				time.Sleep(100 * time.Millisecond)
				assert.Equal(t, []string{"b"}, target.sortedNames())
				assert.Equal(t, told, target.last.Interrupted)
				assert.Equal(t, told, target.last.SeenByRelayOnly)
				cancel()
				synctest.Wait()
			})
		})
	}
}

// Guards against a leader that has received the changes from another node, while its own calls still fail, and relays them as
// if no entries could be missing.
func TestContentOfAnotherNodeIsRelayedAsInterrupted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		full := Content{Revision: 3, Complete: true, Entries: []Entry{{Name: "a", Revision: 2}, {Name: "b", Revision: 3}}}
		leader := newMirror(newFakeSource(), &recordingTarget{}, &atomic.Bool{})
		assert.True(t, leader.Import(full, false))
		assert.False(t, leader.Export(0).Interrupted, "the first content of a node that starts")
		assert.True(t, leader.Import(Content{Revision: 4, Deleted: []string{"a"}}, false))
		assert.True(t, leader.Export(3).Interrupted)
	})
}
