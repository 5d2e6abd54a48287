package cacheindex

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"cassiawall.example/cassiawall/pkg/engine"
)

var start = time.Unix(1000, 0)

func stored(seq, key uint64) engine.CacheEvent {
	return engine.CacheEvent{Seq: seq, Kind: engine.EventStored, Key: key}
}

func evicted(seq, key uint64) engine.CacheEvent {
	return engine.CacheEvent{Seq: seq, Kind: engine.EventEvicted, Key: key}
}

func batch(incarnation string, events ...engine.CacheEvent) engine.EventBatch {
	return engine.EventBatch{Incarnation: incarnation, Events: events}
}

// newLoadedIndex returns an index of incarnation "a" that holds keys 1 to 3 as of event 10.
func newLoadedIndex() *Index {
	ix := New(Options{})
	ix.LoadSnapshot(start, engine.CacheSnapshot{Incarnation: "a", Seq: 10, Keys: []uint64{1, 2, 3}})
	return ix
}

// Guards against entries that stay confirmed after an eviction, a gap in the events or a restart of
// the engine.
func TestApply(t *testing.T) {
	prefixHashes := []uint64{1, 2, 3, 4}
	cases := []struct {
		name               string
		batch              engine.EventBatch
		confirmed, suspect int
		result             UpdateResult
	}{
		{"stored in order", batch("a", stored(11, 4)), 4, 4, UpdateResult{}},
		{"evicted in order", batch("a", evicted(11, 3)), 2, 2, UpdateResult{}},
		{"event before the snapshot", batch("a", evicted(9, 1)), 3, 3, UpdateResult{}},
		{"gap makes older entries suspect", batch("a", stored(13, 4)), 0, 4, UpdateResult{Gap: true}},
		{"cleared", batch("a", engine.CacheEvent{Seq: 11, Kind: engine.EventCleared}), 0, 0, UpdateResult{}},
		{"new incarnation drops all", batch("b", stored(1, 9)), 0, 0, UpdateResult{Restarted: true}},
		{"empty batch of a new incarnation", batch("b"), 0, 0, UpdateResult{Restarted: true}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			ix := newLoadedIndex()
			assert.Equal(t, tc.result, ix.Apply(start, tc.batch))
			d := ix.Depth(start, prefixHashes)
			assert.Equal(t, tc.confirmed, d.Confirmed)
			assert.Equal(t, tc.suspect, d.Suspect)
		})
	}
}

// Guards against a delayed eviction event that removes a key although a later response confirmed
// it.
func TestLateEvictionKeepsConfirmedKeys(t *testing.T) {
	ix := newLoadedIndex()
	ix.PrefillEnded(start, 1, []uint64{1, 2, 3, 4}, true)
	ix.Apply(start.Add(200*time.Millisecond), batch("a", evicted(11, 4)))
	assert.Equal(t, 4, ix.Depth(start, []uint64{1, 2, 3, 4}).Confirmed)
	ix.Apply(start.Add(2*time.Second), batch("a", evicted(12, 4)))
	assert.Equal(t, 3, ix.Depth(start, []uint64{1, 2, 3, 4}).Confirmed)
}

// Guards against reading a snapshot at every gap, and against an index that stays suspect forever.
func TestRepairWithinRate(t *testing.T) {
	ix := New(Options{MinRepairInterval: time.Second, RepairKeysPerSecond: 1})
	assert.True(t, ix.RepairDue(start))
	ix.LoadSnapshot(start, engine.CacheSnapshot{Incarnation: "a", Seq: 10, Keys: []uint64{1, 2, 3}})
	ix.Apply(start, batch("a", stored(12, 4)))
	assert.True(t, ix.Suspect())
	assert.False(t, ix.RepairDue(start.Add(2*time.Second)), "three keys at one key a second")
	assert.True(t, ix.RepairDue(start.Add(4*time.Second)))
	ix.RepairFailed(start.Add(4 * time.Second))
	assert.False(t, ix.RepairDue(start.Add(5*time.Second)))
	ix.LoadSnapshot(start.Add(9*time.Second), engine.CacheSnapshot{Incarnation: "a", Seq: 15, Keys: []uint64{1}})
	assert.False(t, ix.Suspect())
	ix.LoadSnapshot(start.Add(10*time.Second), engine.CacheSnapshot{Incarnation: "a", Seq: 14})
	assert.Equal(t, 1, ix.Len(), "an older snapshot is ignored")
}

// Guards against concurrent cache misses that each compute the same prefix.
func TestPendingPrefill(t *testing.T) {
	ix := newLoadedIndex()
	ready := start.Add(time.Second)
	ix.PrefillStarted(7, []uint64{1, 2, 3, 4, 5}, ready)
	ix.AddPlanned([]uint64{1, 2, 3, 4, 5, 6})
	d := ix.Depth(start, []uint64{1, 2, 3, 4, 5, 6, 7})
	assert.Equal(t, Depth{Confirmed: 3, Suspect: 3, Pending: 5, Planned: 6, PendingReady: ready}, d)
	ix.PrefillEnded(start, 8, []uint64{4, 5}, false)
	assert.Equal(t, 5, ix.Depth(start, []uint64{1, 2, 3, 4, 5}).Pending, "the end of another slot's prefill changes nothing")
	ix.PrefillEnded(start, 7, []uint64{1, 2, 3, 4, 5}, false)
	ix.RemovePlanned([]uint64{1, 2, 3, 4, 5, 6})
	assert.Equal(t, 3, ix.Depth(start, []uint64{1, 2, 3, 4, 5, 6}).Planned)
	ix.PrefillStarted(9, []uint64{4}, ready)
	ix.Reset("b")
	assert.Zero(t, ix.Depth(start, []uint64{1, 2, 3, 4}).Planned, "a restart drops pending and planned keys")
}

// Guards against keeping pieces that a response has shown to be evicted.
func TestRecordMiss(t *testing.T) {
	ix := newLoadedIndex()
	ix.RecordMiss([]uint64{1, 2, 3}, 1)
	assert.Equal(t, 1, ix.Depth(start, []uint64{1, 2, 3}).Suspect)
}

// Guards against a key that counts as confirmed although a lost event has evicted it.
func TestConfirmedDepthUnderEventLoss(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ix := New(Options{})
		ix.LoadSnapshot(start, engine.CacheSnapshot{Incarnation: "a"})
		cached := map[uint64]bool{}
		for seq := uint64(1); seq < 60; seq++ {
			key := rapid.Uint64Range(1, 5).Draw(t, "key")
			e := stored(seq, key)
			if rapid.Bool().Draw(t, "evict") {
				e = evicted(seq, key)
			}
			cached[key] = e.Kind == engine.EventStored
			if rapid.IntRange(0, 2).Draw(t, "lost") == 0 {
				continue
			}
			ix.Apply(start, batch("a", e))
			for k := uint64(1); k <= 5; k++ {
				if ix.Depth(start, []uint64{k}).Confirmed == 1 && !cached[k] {
					t.Fatalf("key %d is confirmed but not cached", k)
				}
			}
		}
	})
}

// Guards against an index that grows without bound with the engine's cache.
func TestEntriesAreBounded(t *testing.T) {
	ix := New(Options{MaxEntries: 10})
	for k := uint64(1); k < 100; k++ {
		ix.Apply(start, batch("a", stored(k, k)))
	}
	assert.Equal(t, 10, ix.Len())
}
