package mirror

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

// pagedSource is a fakeSource whose lists have two pages. betweenPages is called once between them.
type pagedSource struct {
	*fakeSource
	lastOnFirstPage string
	betweenPages    func()
}

func (s *pagedSource) List(ctx context.Context, kind string) ([]Entry, int64, error) {
	before, revision, err := s.fakeSource.List(ctx, kind)
	if err != nil {
		return nil, 0, err
	}
	if call := s.betweenPages; call != nil {
		s.betweenPages = nil
		call()
	}
	after, _, err := s.fakeSource.List(ctx, kind)
	var entries []Entry
	for _, e := range before {
		if e.Name <= s.lastOnFirstPage {
			entries = append(entries, e)
		}
	}
	for _, e := range after {
		if e.Name > s.lastOnFirstPage {
			entries = append(entries, e)
		}
	}
	return entries, revision, err
}

// Watch takes long enough for a follower to receive what the list has brought.
func (s *pagedSource) Watch(ctx context.Context, kind string, after int64, wait time.Duration) ([]Change, int64, error) {
	time.Sleep(20 * time.Millisecond)
	return s.fakeSource.Watch(ctx, kind, after, wait)
}

// Guards against followers that never learn of a removal which comes between the pages of the leader's list, before a change of an
// object on the later page.
func TestRemovalBetweenPagesReachesFollowers(t *testing.T) {
	for name, known := range map[string]bool{"first list": false, "later list": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &pagedSource{fakeSource: newFakeSource(), lastOnFirstPage: "m"}
				for _, object := range []string{"a", "b", "y", "z"} {
					s.put(object)
				}
				change := func() {
					s.remove("b")
					s.remove("y")
					s.put("x")
					s.put("z")
				}
				if !known {
					s.betweenPages = change
				}
				leader := New(Options{
					Kind: "k", Source: s, Target: &recordingTarget{}, Logger: slog.New(slog.DiscardHandler),
					IsFollower: func() bool { return false }, MayCall: func() bool { return true }, ListInterval: func() time.Duration { return time.Second },
				})
				follower := New(Options{Kind: "k", Target: &recordingTarget{}, Logger: slog.New(slog.DiscardHandler)})
				ctx, cancel := context.WithCancel(t.Context())
				go leader.Run(ctx)
				relay := func() { follower.Import(leader.Export(follower.Revision()), true) }
				for i := range 500 {
					time.Sleep(5 * time.Millisecond)
					relay()
					if known && i == 100 {
						// The next list is the first one with these changes.
						s.locked(func() { s.betweenPages = change })
					}
				}
				assert.Equal(t, []string{"a", "x", "z"}, names(leader))
				assert.Equal(t, []string{"a", "x", "z"}, names(follower))
				cancel()
				synctest.Wait()
			})
		})
	}
}

// names returns the names of a mirror's objects in order.
func names(m *Mirror) []string {
	var found []string
	for _, e := range m.Export(0).Entries {
		found = append(found, e.Name)
	}
	return found
}
