package cachemap

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

const store = "store:1"

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
	m.SetStoreEpoch(store, 7, start)
	m.Record(Entry{Key: 1, Engine: 5, Saved: true}, start)
	assert.Equal(t, PrefixState{Engine: 5, Cached: true, MaybeCached: true, RecentlyProcessed: true, Saved: true}, m.Lookup(1, store, start.Add(recentlyProcessedTTL/2)))
	assert.Equal(t, PrefixState{Engine: 5, Cached: true, MaybeCached: true, Saved: true}, m.Lookup(1, store, start.Add(recentlyProcessedTTL)))
	assert.Equal(t, PrefixState{Engine: 5, MaybeCached: true, Saved: true}, m.Lookup(1, store, start.Add(engineTTL)))
	assert.Equal(t, PrefixState{Engine: 5, Saved: true}, m.Lookup(1, store, start.Add(sourceTTL)))
	assert.Equal(t, PrefixState{Engine: 5}, m.Lookup(1, store, start.Add(savedTTL)))
	assert.Equal(t, PrefixState{}, m.Lookup(2, store, start))
}

// Guards against fetches from a store that has lost its content in a restart, and against the restart of one
// store that makes the nodes ignore another.
func TestStoreRestartInvalidatesSavedPrefixes(t *testing.T) {
	const other = "store:2"
	m := New()
	m.SetStoreEpoch(store, 7, start)
	m.SetStoreEpoch(other, 3, start)
	m.Record(Entry{Key: 1, Engine: 5, Saved: true}, start)
	assert.True(t, m.Lookup(1, store, start).Saved)
	later := start.Add(time.Second)
	m.SetStoreEpoch(store, 0, later)
	assert.False(t, m.Lookup(1, store, later).Saved)
	assert.False(t, m.StoreUp(store))
	m.SetStoreEpoch(store, 8, later)
	assert.False(t, m.Lookup(1, store, later).Saved)
	assert.True(t, m.Lookup(1, other, later).Saved)
	assert.Equal(t, []StoreEpoch{{store, 8}, {other, 3}}, m.StoreEpochs())
	m.Record(Entry{Key: 1, Engine: 5, Saved: true}, later)
	assert.True(t, m.Lookup(1, store, later).Saved)
}

// Guards against shared prefixes that are computed again although the store has them, in the seconds after a restart
// of all nodes in which there is no leader that announces the store's epoch.
func TestStoreIsUsedBeforeItsEpochIsKnown(t *testing.T) {
	m := New()
	assert.True(t, m.StoreUp(store))
	m.Record(Entry{Key: 1, Engine: 5, Saved: true}, start)
	assert.True(t, m.Lookup(1, store, start).Saved)
	assert.False(t, m.Lookup(1, "", start).Saved)
	m.SetStoreEpoch(store, 7, start.Add(time.Second))
	assert.True(t, m.Lookup(1, store, start.Add(time.Second)).Saved)

	m = New()
	m.Record(Entry{Key: 1, Engine: 5, Saved: true}, start)
	m.SetStoreEpoch(store, 0, start.Add(time.Second))
	assert.False(t, m.StoreUp(store))
	m.SetStoreEpoch(store, 7, start.Add(2*time.Second))
	assert.True(t, m.StoreUp(store))
	assert.False(t, m.Lookup(1, store, start.Add(2*time.Second)).Saved)
}

// Guards against saved prefixes and prefixes of many requests that other nodes do not learn of, because more
// prefixes were processed than a message has room for.
func TestImportantPrefixesAreSentFirst(t *testing.T) {
	from, to := New(), New()
	to.SetStoreEpoch(store, 1, start)
	const frequent, saved = 2, 4
	from.Record(Entry{Key: frequent, Engine: 8}, start)
	for i := range 2 * maxSent {
		from.Record(Entry{Key: Key(2*i + 10), Engine: 1}, start)
	}
	from.Record(Entry{Key: frequent, Engine: 9}, start)
	from.Record(Entry{Key: saved, Engine: 1, Saved: true}, start)
	updates := from.TakeUpdates()
	assert.Len(t, updates, maxSent*entryBytes)
	to.Merge(updates, false, start)
	assert.True(t, to.Lookup(saved, store, start).Saved)
	assert.Equal(t, uint32(9), to.Lookup(frequent, store, start).Engine)
}

// Guards against short prefixes of many requests that displace long ones from the messages of a large fleet, and against
// short prefixes that are not announced although there is room.
func TestShortPrefixesAreSentLast(t *testing.T) {
	short, long := ShortKeyOf("1", "a"), KeyOf("1", "a")
	assert.NotEqual(t, short, long)
	from, to := New(), New()
	for range 9 {
		from.Record(Entry{Key: short, Engine: 8}, start)
	}
	for i := range maxSent {
		from.Record(Entry{Key: KeyOf("1", "a", string(rune(i))), Engine: 1}, start)
	}
	to.Merge(from.TakeUpdates(), false, start)
	assert.Equal(t, PrefixState{}, to.Lookup(short, store, start))
	from.Record(Entry{Key: short, Engine: 8}, start)
	from.Record(Entry{Key: long, Engine: 9}, start)
	to.Merge(from.TakeUpdates(), false, start)
	assert.Equal(t, uint32(8), to.Lookup(short, store, start).Engine)
	assert.Equal(t, uint32(9), to.Lookup(long, store, start).Engine)
}

// Guards against updates that are lost or changed on their way through the leader to another node.
func TestUpdatesReachOtherNodes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, leader, to := New(), New(), New()
		for _, m := range []*Map{from, leader, to} {
			m.SetStoreEpoch(store, 1, start)
		}
		keys := rapid.SliceOfNDistinct(rapid.Uint32(), 0, 50, rapid.ID).Draw(t, "keys")
		for i, k := range keys {
			from.Record(Entry{Key: Key(k), Engine: EngineHash(string(rune('a' + i%20))), Saved: i%3 == 0}, start)
		}
		leader.Merge(from.TakeUpdates(), true, start)
		to.Merge(leader.TakeUpdates(), false, start)
		for _, k := range keys {
			assert.Equal(t, from.Lookup(Key(k), store, start), to.Lookup(Key(k), store, start))
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
	assert.LessOrEqual(t, len(m.pending), maxPending)
	assert.Len(t, m.TakeUpdates(), maxSent*entryBytes)
	m.Merge([]byte{1, 2, 3}, true, start)
	assert.Empty(t, m.TakeUpdates())
}
