package cachemap

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// Guards against prefixes with different cache salts (other weights, an isolated workspace) or different parts
// that share a key.
func TestKeysDifferBySaltAndParts(t *testing.T) {
	keys := map[Key]bool{}
	for _, k := range []Key{KeyOf("1", "a", "b"), KeyOf("2", "a", "b"), KeyOf("1/t", "a", "b"), KeyOf("1", "a"), KeyOf("1", "ab")} {
		keys[k] = true
	}
	assert.Len(t, keys, 5)
}

// Guards against an engine that is assumed to hold a prefix for longer than its memory does.
func TestEntriesExpire(t *testing.T) {
	m := New()
	m.SetStoreEpoch(7)
	m.Record(Entry{Key: 1, Engine: 5, Saved: true}, start)
	assert.Equal(t, PrefixState{Engine: 5, Cached: true, RecentlyProcessed: true, Saved: true}, m.Lookup(1, start.Add(recentlyProcessedTTL/2)))
	assert.Equal(t, PrefixState{Engine: 5, Cached: true, Saved: true}, m.Lookup(1, start.Add(recentlyProcessedTTL)))
	assert.Equal(t, PrefixState{Engine: 5, Saved: true}, m.Lookup(1, start.Add(engineTTL)))
	assert.Equal(t, PrefixState{Engine: 5}, m.Lookup(1, start.Add(savedTTL)))
	assert.Equal(t, PrefixState{}, m.Lookup(2, start))
}

// Guards against fetches from a store that has lost its content in a restart.
func TestStoreRestartInvalidatesSavedPrefixes(t *testing.T) {
	m := New()
	m.SetStoreEpoch(7)
	m.Record(Entry{Key: 1, Engine: 5, Saved: true}, start)
	m.SetStoreEpoch(0)
	assert.False(t, m.Lookup(1, start).Saved)
	assert.False(t, m.StoreUp())
	m.SetStoreEpoch(8)
	assert.False(t, m.Lookup(1, start).Saved)
	m.Record(Entry{Key: 1, Engine: 5, Saved: true}, start)
	assert.True(t, m.Lookup(1, start).Saved)
}

// Guards against updates that are lost or changed on their way through the leader to another node.
func TestUpdatesReachOtherNodes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, leader, to := New(), New(), New()
		for _, m := range []*Map{from, leader, to} {
			m.SetStoreEpoch(1)
		}
		keys := rapid.SliceOfNDistinct(rapid.Uint32(), 0, 50, rapid.ID).Draw(t, "keys")
		for i, k := range keys {
			from.Record(Entry{Key: Key(k), Engine: EngineHash(string(rune('a' + i%20))), Saved: i%3 == 0}, start)
		}
		leader.Merge(from.TakeUpdates(), true, start)
		to.Merge(leader.TakeUpdates(), false, start)
		for _, k := range keys {
			assert.Equal(t, from.Lookup(Key(k), start), to.Lookup(Key(k), start))
		}
		assert.Empty(t, to.TakeUpdates())
		assert.Empty(t, from.TakeUpdates())
	})
}

// Guards against unbounded memory, and against a crash on data whose length is not a multiple of an entry's.
func TestMapIsBounded(t *testing.T) {
	m := New()
	for i := range 3 * maxEntries {
		m.Record(Entry{Key: Key(i), Engine: 1}, start)
	}
	assert.LessOrEqual(t, len(m.recent)+len(m.older), maxEntries)
	assert.Len(t, m.TakeUpdates(), maxPending*entryBytes)
	m.Merge([]byte{1, 2, 3}, true, start)
	assert.Empty(t, m.TakeUpdates())
}
