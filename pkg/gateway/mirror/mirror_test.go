package mirror

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"cassiawall.example/cassiawall/pkg/objects"
)

// fakeSource is a store whose watches can miss changes.
type fakeSource struct {
	mu       sync.Mutex
	revision int64
	entries  map[string]Entry
	log      []Change
	// suppressChanges hides changes from watches, historyGone makes watches return ErrHistoryGone, and down
	// makes all calls fail.
	suppressChanges, historyGone, down bool
	lists                              int
}

func newFakeSource() *fakeSource { return &fakeSource{entries: map[string]Entry{}, revision: 1} }

func (s *fakeSource) put(name string) {
	s.locked(func() { s.putLocked(name) })
}

func (s *fakeSource) putLocked(name string) {
	s.revision++
	e := Entry{Name: name, Revision: s.revision}
	s.entries[name] = e
	s.log = append(s.log, Change{Entry: e})
}

func (s *fakeSource) remove(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.entries, name)
	s.log = append(s.log, Change{Entry: Entry{Name: name, Revision: s.revision}, Deleted: true})
}

func (s *fakeSource) listCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lists
}

func (s *fakeSource) locked(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

func (s *fakeSource) List(context.Context, string) ([]Entry, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, 0, errors.New("down")
	}
	s.lists++
	return slices.Collect(maps.Values(s.entries)), s.revision, nil
}

func (s *fakeSource) Watch(ctx context.Context, _ string, after int64, wait time.Duration) ([]Change, int64, error) {
	end := time.Now().Add(wait)
	for {
		s.mu.Lock()
		down, gone := s.down, s.historyGone
		var found []Change
		for _, c := range s.log {
			if c.Revision > after && !s.suppressChanges {
				found = append(found, c)
			}
		}
		revision := s.revision
		s.mu.Unlock()
		switch {
		case down:
			return nil, 0, errors.New("down")
		case gone:
			return nil, 0, objects.ErrHistoryGone
		case len(found) > 0 || !time.Now().Before(end):
			return found, revision, nil
		}
		select {
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// recordingTarget records the names of the objects and the last freshness that it receives.
type recordingTarget struct {
	mu    sync.Mutex
	names map[string]bool
	last  Freshness
	// lastAt is the time at which last was received, and maxDelay its MaxDelay at that time.
	lastAt   time.Time
	maxDelay time.Duration
	// pause is the time for which the process is paused before the target reads the clock now, or time.Now if it is
	// nil.
	pause time.Duration
	now   func() time.Time
}

func (c *recordingTarget) record(f Freshness) {
	time.Sleep(c.pause)
	now := time.Now
	if c.now != nil {
		now = c.now
	}
	c.last, c.lastAt = f, now()
	c.maxDelay = f.MaxDelay(c.lastAt)
}

func (c *recordingTarget) Reset(entries []Entry, f Freshness) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.names = map[string]bool{}
	for _, e := range entries {
		c.names[e.Name] = true
	}
	c.record(f)
}

func (c *recordingTarget) Apply(change Change, f Freshness) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if change.Deleted {
		delete(c.names, change.Name)
	} else {
		c.names[change.Name] = true
	}
	c.record(f)
}

func (c *recordingTarget) sortedNames() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Sorted(maps.Keys(c.names))
}

func newMirror(s Source, c *recordingTarget, isFollower *atomic.Bool) *Mirror {
	return New(Options{
		Kind: "k", Source: s, Target: c, Logger: slog.New(slog.DiscardHandler),
		ListInterval: func() time.Duration { return time.Second },
		IsFollower:   func() bool { return isFollower.Load() },
		MayCall:      func() bool { return true },
	})
}

// Guards against content that stays out of date after a watch that misses changes, a dropped history or an
// outage of the store: it must match the store within the list interval.
func TestMirrorCatchesUpAfterFaults(t *testing.T) {
	tests := map[string]func(s *fakeSource){
		"watch":                func(s *fakeSource) { s.put("b"); s.remove("a") },
		"watch misses changes": func(s *fakeSource) { s.locked(func() { s.suppressChanges = true }); s.put("b"); s.remove("a") },
		"history gone":         func(s *fakeSource) { s.locked(func() { s.historyGone = true }); s.put("b"); s.remove("a") },
		"store unavailable": func(s *fakeSource) {
			s.locked(func() { s.down = true })
			time.Sleep(3 * time.Second)
			s.put("b")
			s.remove("a")
			s.locked(func() { s.down = false })
		},
	}
	for name, disturb := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, c, isFollower := newFakeSource(), &recordingTarget{}, &atomic.Bool{}
				s.put("a")
				m := newMirror(s, c, isFollower)
				ctx, cancel := context.WithCancel(t.Context())
				go m.Run(ctx)
				time.Sleep(2500 * time.Millisecond)
				assert.Equal(t, []string{"a"}, c.sortedNames())
				disturb(s)
				time.Sleep(1700 * time.Millisecond)
				assert.Equal(t, []string{"b"}, c.sortedNames())
				if name == "store unavailable" {
					assert.True(t, c.last.Interrupted)
					assert.GreaterOrEqual(t, c.maxDelay, 3*time.Second)
				} else {
					assert.False(t, c.last.Interrupted)
					assert.LessOrEqual(t, c.maxDelay, 1200*time.Millisecond)
				}
				cancel()
				synctest.Wait()
			})
		})
	}
}

// pausedSource is a store after whose first response to a call the process is paused. afterResponse runs at the
// start of the pause.
type pausedSource struct {
	*fakeSource
	call          string
	pause         time.Duration
	afterResponse func()
}

func (s *pausedSource) pauseAfter(call string) {
	if call == s.call {
		s.call = ""
		s.afterResponse()
		time.Sleep(s.pause)
	}
}

func (s *pausedSource) List(ctx context.Context, kind string) ([]Entry, int64, error) {
	defer s.pauseAfter("list")
	return s.fakeSource.List(ctx, kind)
}

func (s *pausedSource) Watch(ctx context.Context, kind string, after int64, wait time.Duration) ([]Change, int64, error) {
	defer s.pauseAfter("watch")
	return s.fakeSource.Watch(ctx, kind, after, wait)
}

// Guards against content that counts as current although the process was paused after the store had responded: a
// change that was stored during the pause would seem to be new.
func TestPauseAfterAResponseCountsInMaxDelay(t *testing.T) {
	for _, call := range []string{"list", "watch"} {
		t.Run(call, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				source, c, isFollower := newFakeSource(), &recordingTarget{}, &atomic.Bool{}
				source.put("a")
				var storedAt time.Time
				s := &pausedSource{fakeSource: source, call: call, pause: 4 * time.Second, afterResponse: func() {
					source.put("b")
					storedAt = time.Now()
				}}
				ctx, cancel := context.WithCancel(t.Context())
				go newMirror(s, c, isFollower).Run(ctx)
				time.Sleep(7 * time.Second)
				assert.Equal(t, []string{"a", "b"}, c.sortedNames())
				assert.GreaterOrEqual(t, c.maxDelay, c.lastAt.Sub(storedAt), "confirmed by %s", c.last.ConfirmedBy)
				cancel()
				synctest.Wait()
			})
		})
	}
}

// Guards against a node that claims to be in sync with the store because it reads, after a pause, a response from
// before it.
func TestPauseAfterAResponseEndsSync(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source, c, isFollower := newFakeSource(), &recordingTarget{}, &atomic.Bool{}
		source.put("a")
		s := &pausedSource{fakeSource: source, call: "list", pause: 4 * time.Second, afterResponse: func() { source.locked(func() { source.down = true }) }}
		m := newMirror(s, c, isFollower)
		ctx, cancel := context.WithCancel(t.Context())
		go m.Run(ctx)
		time.Sleep(4001 * time.Millisecond)
		assert.Equal(t, []string{"a"}, c.sortedNames())
		assert.False(t, m.ReachedWithin(time.Second))
		assert.False(t, m.InSync(time.Second))
		cancel()
		synctest.Wait()
	})
}

// Guards against a list that was read late and undoes newer content from a peer: a follower would not list again.
func TestLateListDoesNotUndoNewerContent(t *testing.T) {
	entry := func(name string, revision int64) Entry { return Entry{Name: name, Revision: revision} }
	tests := map[string]struct {
		// peer is the content of a peer that arrives while the response to the list is under way.
		peer Content
		want []Entry
	}{
		"added": {
			peer: Content{Revision: 5, Complete: true, Entries: []Entry{entry("a", 2), entry("b", 3), entry("c", 5)}},
			want: []Entry{entry("a", 2), entry("b", 3), entry("c", 5)},
		},
		"changed": {
			peer: Content{Revision: 5, Complete: true, Entries: []Entry{entry("a", 2), entry("b", 5)}},
			want: []Entry{entry("a", 2), entry("b", 5)},
		},
		"removed, complete content": {
			peer: Content{Revision: 5, Complete: true, Entries: []Entry{entry("a", 2)}},
			want: []Entry{entry("a", 2)},
		},
		"removed": {
			peer: Content{Revision: 5, Entries: []Entry{entry("a", 2)}, Deleted: []string{"b"}},
			want: []Entry{entry("a", 2)},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				source, c, isFollower := newFakeSource(), &recordingTarget{}, &atomic.Bool{}
				source.put("a")
				source.put("b")
				var m *Mirror
				s := &pausedSource{fakeSource: source, call: "list", pause: time.Second, afterResponse: func() {
					m.Import(test.peer, true)
					isFollower.Store(true)
					source.locked(func() { source.down = true })
				}}
				m = newMirror(s, c, isFollower)
				m.Import(Content{Revision: 3, Complete: true, Entries: []Entry{entry("a", 2), entry("b", 3)}}, true)
				ctx, cancel := context.WithCancel(t.Context())
				go m.Run(ctx)
				time.Sleep(10 * time.Second)
				assert.Equal(t, Content{Revision: 5, Complete: true, Entries: test.want}, m.Export(0))
				cancel()
				synctest.Wait()
			})
		})
	}
}

// slowSource is a store whose responses take a time to arrive.
type slowSource struct {
	*fakeSource
	latency time.Duration
}

func (s *slowSource) List(ctx context.Context, kind string) ([]Entry, int64, error) {
	defer time.Sleep(s.latency)
	return s.fakeSource.List(ctx, kind)
}

func (s *slowSource) Watch(ctx context.Context, kind string, after int64, wait time.Duration) ([]Change, int64, error) {
	defer time.Sleep(s.latency)
	return s.fakeSource.Watch(ctx, kind, after, wait)
}

// Guards against a leader that counts as out of sync between two calls of a slow store, so that all nodes call the
// store themselves.
func TestMirrorOfSlowStoreStaysInSync(t *testing.T) {
	for _, latency := range []time.Duration{2 * time.Millisecond, 100 * time.Millisecond, 250 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			source, isFollower := newFakeSource(), &atomic.Bool{}
			source.put("a")
			m := newMirror(&slowSource{fakeSource: source, latency: latency}, &recordingTarget{}, isFollower)
			m.opt.ListInterval = func() time.Duration { return 700 * time.Millisecond }
			ctx, cancel := context.WithCancel(t.Context())
			go m.Run(ctx)
			time.Sleep(time.Second)
			unsynced := 0
			for range 2000 {
				time.Sleep(10 * time.Millisecond)
				if !m.InSync(900 * time.Millisecond) {
					unsynced++
				}
			}
			assert.Zero(t, unsynced, "latency %v", latency)
			cancel()
			time.Sleep(latency)
			synctest.Wait()
		})
	}
}

// Guards against ages that do not count the time for which the VM was suspended, which the monotonic clock omits.
func TestSuspensionCountsInMaxDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, c, isFollower := newFakeSource(), &recordingTarget{}, &atomic.Bool{}
		s.put("a")
		m := newMirror(s, c, isFollower)
		var suspended atomic.Int64
		m.now = func() time.Time { return time.Now().Add(time.Duration(suspended.Load())) }
		c.now = m.now
		ctx, cancel := context.WithCancel(t.Context())
		go m.Run(ctx)
		time.Sleep(2500 * time.Millisecond)
		suspended.Store(int64(4 * time.Second))
		assert.False(t, m.ReachedWithin(2*time.Second))
		s.put("b")
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, []string{"a", "b"}, c.sortedNames())
		assert.GreaterOrEqual(t, c.maxDelay, 4*time.Second)
		cancel()
		synctest.Wait()
	})
}

// Guards against an age that a pause makes too young after it was computed and before it is used.
func TestPauseBeforeTheTargetReadsTheClockCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		target := &recordingTarget{pause: 4 * time.Second}
		m := New(Options{Kind: "k", Target: target})
		currentAt := time.Now()
		m.MarkCurrent("peer", currentAt)
		m.Import(Content{Revision: 3, Complete: true, Entries: []Entry{{Name: "a", Revision: 2}}}, true)
		assert.Equal(t, time.Since(currentAt), target.maxDelay)
	})
}

// Guards against content that counts as current because a watch heard nothing: a watch misses changes when the store
// drops its history.
func TestChangeMissedByAWatchIsNotNew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, c, isFollower := newFakeSource(), &recordingTarget{}, &atomic.Bool{}
		s.put("a")
		ctx, cancel := context.WithCancel(t.Context())
		go newMirror(s, c, isFollower).Run(ctx)
		time.Sleep(2100 * time.Millisecond)
		s.locked(func() { s.suppressChanges = true })
		s.put("b")
		storedAt := time.Now()
		time.Sleep(1200 * time.Millisecond)
		assert.Equal(t, []string{"a", "b"}, c.sortedNames())
		assert.GreaterOrEqual(t, c.maxDelay, c.lastAt.Sub(storedAt), "confirmed by %s", c.last.ConfirmedBy)
		cancel()
		synctest.Wait()
	})
}

// Guards against a node that becomes a follower after its watch has missed a change but not a later one: it must still
// get the missed one from the leader.
func TestFollowerGetsAChangeThatItsWatchMissed(t *testing.T) {
	for name, after := range map[string]func(*fakeSource){
		"same revision":  func(*fakeSource) {},
		"newer revision": func(s *fakeSource) { s.put("d") },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, leading, following, isFollower := newFakeSource(), &recordingTarget{}, &recordingTarget{}, &atomic.Bool{}
				s.put("a")
				ctx, cancel := context.WithCancel(t.Context())
				leader, m := newMirror(s, leading, &atomic.Bool{}), newMirror(s, following, isFollower)
				go leader.Run(ctx)
				go m.Run(ctx)
				time.Sleep(1100 * time.Millisecond)
				// One step, since the watches read the log at this same instant.
				s.locked(func() {
					s.putLocked("b")
					s.putLocked("c")
					s.log = s.log[len(s.log)-1:]
				})
				time.Sleep(100 * time.Millisecond)
				assert.Equal(t, []string{"a", "c"}, following.sortedNames())
				isFollower.Store(true)
				after(s)
				time.Sleep(3 * time.Second)
				assert.True(t, m.Import(leader.Export(m.CompleteRevision()), true))
				assert.Equal(t, leading.sortedNames(), following.sortedNames())
				assert.Equal(t, leader.Revision(), m.CompleteRevision())
				assert.False(t, m.Import(leader.Export(m.CompleteRevision()), true), "nothing is missing any more")
				cancel()
				synctest.Wait()
			})
		})
	}
}

// Guards against calls to the store by a node to which the leader relays store changes.
func TestFollowerMirrorDoesNotCallStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, c, isFollower := newFakeSource(), &recordingTarget{}, &atomic.Bool{}
		s.put("a")
		m := newMirror(s, c, isFollower)
		ctx, cancel := context.WithCancel(t.Context())
		go m.Run(ctx)
		time.Sleep(500 * time.Millisecond)
		isFollower.Store(true)
		time.Sleep(2 * time.Second)
		before := s.listCount()
		time.Sleep(10 * time.Second)
		assert.Equal(t, before, s.listCount())
		isFollower.Store(false)
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, before+1, s.listCount())
		cancel()
		synctest.Wait()
	})
}

// Guards against a replica that differs from the mirror it was fetched from, whatever part of the changes it
// held before, and against older content that replaces newer.
func TestImportEqualsExport(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newFakeSource()
		isFollower := &atomic.Bool{}
		from, to := &recordingTarget{names: map[string]bool{}}, &recordingTarget{names: map[string]bool{}}
		source, copied := newMirror(s, from, isFollower), newMirror(s, to, isFollower)
		steps := rapid.IntRange(1, 40).Draw(t, "steps")
		seen := 0
		for range steps {
			name := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "name")
			if rapid.Bool().Draw(t, "remove") {
				s.remove(name)
			} else {
				s.put(name)
			}
			if rapid.Bool().Draw(t, "apply") {
				source.apply(s.log[seen:])
				seen = len(s.log)
			}
			if rapid.Bool().Draw(t, "copy") {
				copied.Import(source.Export(copied.Revision()), true)
			}
		}
		source.apply(s.log[seen:])
		content := source.Export(copied.Revision())
		copied.Import(content, true)
		assert.Equal(t, from.sortedNames(), to.sortedNames())
		assert.False(t, copied.Import(content, true), "content that is not newer is refused")
	})
}
