package cachemap

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// Guards against a prefix of other weights or of an isolated workspace that counts as known.
func TestKeysDifferByNamespaceAndParts(t *testing.T) {
	keys := map[Key]bool{}
	for _, k := range []Key{KeyOf("1", "a", "b"), KeyOf("2", "a", "b"), KeyOf("1/t", "a", "b"), KeyOf("1", "a"), KeyOf("1", "ab")} {
		keys[k] = true
	}
	assert.Len(t, keys, 5)
}

// Guards against an engine that is believed to hold a prefix for longer than its memory does.
func TestEntriesAge(t *testing.T) {
	m := New()
	m.SetStore(7)
	m.Note(Entry{Key: 1, Engine: 5, Saved: true}, start)
	assert.Equal(t, Found{Engine: 5, Held: true, Fresh: true, Saved: true}, m.Find(1, start.Add(freshLife/2)))
	assert.Equal(t, Found{Engine: 5, Held: true, Saved: true}, m.Find(1, start.Add(freshLife)))
	assert.Equal(t, Found{Engine: 5, Saved: true}, m.Find(1, start.Add(engineLife)))
	assert.Equal(t, Found{Engine: 5}, m.Find(1, start.Add(savedLife)))
	assert.Equal(t, Found{}, m.Find(2, start))
}

// Guards against fetches from a store that has lost its content in a restart.
func TestRestartOfTheStoreForgetsSavedPrefixes(t *testing.T) {
	m := New()
	m.SetStore(7)
	m.Note(Entry{Key: 1, Engine: 5, Saved: true}, start)
	m.SetStore(0)
	assert.False(t, m.Find(1, start).Saved)
	assert.False(t, m.StoreUp())
	m.SetStore(8)
	assert.False(t, m.Find(1, start).Saved)
	m.Note(Entry{Key: 1, Engine: 5, Saved: true}, start)
	assert.True(t, m.Find(1, start).Saved)
}

// Guards against news that is lost or changed on its way to another node.
func TestNewsReachesOtherNodes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, holder, to := New(), New(), New()
		for _, m := range []*Map{from, holder, to} {
			m.SetStore(1)
		}
		keys := rapid.SliceOfNDistinct(rapid.Uint32(), 0, 50, rapid.ID).Draw(t, "keys")
		for i, k := range keys {
			from.Note(Entry{Key: Key(k), Engine: EngineHash(string(rune('a' + i%20))), Saved: i%3 == 0}, start)
		}
		holder.Merge(from.News(), true, start)
		to.Merge(holder.News(), false, start)
		for _, k := range keys {
			assert.Equal(t, from.Find(Key(k), start), to.Find(Key(k), start))
		}
		assert.Empty(t, to.News())
		assert.Empty(t, from.News())
	})
}

// Guards against unbounded memory, and against a datagram of another length.
func TestMapIsBounded(t *testing.T) {
	m := New()
	for i := range 3 * maxEntries {
		m.Note(Entry{Key: Key(i), Engine: 1}, start)
	}
	assert.LessOrEqual(t, len(m.recent)+len(m.older), maxEntries)
	assert.Len(t, m.News(), maxNews*entryBytes)
	m.Merge([]byte{1, 2, 3}, true, start)
	assert.Empty(t, m.News())
}
