package mirror

import (
	"log/slog"
	"testing"

	"github.com/stretchr/testify/assert"

	"cassiawall.example/cassiawall/pkg/clock"
	"cassiawall.example/cassiawall/pkg/objects"
)

// lastContent records the names and the freshness that it receives last.
type lastContent struct {
	names     []string
	freshness Freshness
}

func (r *lastContent) Reset(entries []Entry, f Freshness) {
	r.names, r.freshness = nil, f
	for _, e := range entries {
		r.names = append(r.names, e.Name)
	}
}

func (r *lastContent) Apply(Change, Freshness) {}

// Guards against content of a store that was restored from a copy that counts as older than what is known, because its
// revisions are lower, and against taking what is not stored again yet as gone. The content comes from a list or a peer.
func TestContentOfARestoredStoreIsNewer(t *testing.T) {
	entry := func(name string, era, revision int64) Entry {
		return Entry{Name: name, Revision: objects.Position(era, revision)}
	}
	sources := map[string]func(m *Mirror, entries []Entry, revision int64) bool{
		"list": func(m *Mirror, entries []Entry, revision int64) bool {
			return m.applyList(entries, revision, clock.Now())
		},
		"peer": func(m *Mirror, entries []Entry, revision int64) bool {
			return m.Import(Content{Revision: revision, Complete: true, Entries: entries}, true)
		},
	}
	for name, apply := range sources {
		t.Run(name, func(t *testing.T) {
			target := &lastContent{}
			m := New(Options{Target: target, Logger: slog.New(slog.DiscardHandler)})
			assert.True(t, apply(m, []Entry{entry("a", 0, 10), entry("b", 0, 60)}, objects.Position(0, 60)))
			assert.False(t, target.freshness.Interrupted)
			assert.True(t, apply(m, []Entry{entry("a", 1, 10)}, objects.Position(1, 20)))
			assert.Equal(t, []string{"a"}, target.names)
			assert.True(t, target.freshness.Interrupted)
			assert.False(t, apply(m, []Entry{entry("a", 0, 10), entry("b", 0, 60)}, objects.Position(0, 70)), "a late response of before")
			follower := New(Options{Target: &lastContent{}, Logger: slog.New(slog.DiscardHandler)})
			follower.Import(Content{Revision: objects.Position(0, 60), Complete: true, Entries: []Entry{entry("b", 0, 60)}}, true)
			assert.True(t, follower.Import(m.Export(follower.CompleteRevision()), true))
			assert.Len(t, follower.entries, 1)
			assert.Contains(t, follower.entries, "a")
		})
	}
}
