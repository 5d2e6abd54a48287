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

// loaded returns an index of incarnation "a" that holds keys 1 to 3 as of event 10.
func loaded() *Index {
	x := New(Options{})
	x.Load(start, engine.CacheSnapshot{Incarnation: "a", Seq: 10, Keys: []uint64{1, 2, 3}})
	return x
}

// Guards against entries that are believed after the evidence for them has gone.
func TestApply(t *testing.T) {
	chain := []uint64{1, 2, 3, 4}
	cases := []struct {
		name              string
		batch             engine.EventBatch
		certain, doubtful int
		change            Change
	}{
		{"stored in order", batch("a", stored(11, 4)), 4, 4, Change{}},
		{"evicted in order", batch("a", evicted(11, 3)), 2, 2, Change{}},
		{"event before the snapshot", batch("a", evicted(9, 1)), 3, 3, Change{}},
		{"gap makes older entries doubtful", batch("a", stored(13, 4)), 0, 4, Change{Gap: true}},
		{"cleared", batch("a", engine.CacheEvent{Seq: 11, Kind: engine.EventCleared}), 0, 0, Change{}},
		{"new incarnation drops all", batch("b", stored(1, 9)), 0, 0, Change{Reincarnated: true}},
		{"empty batch of a new incarnation", batch("b"), 0, 0, Change{Reincarnated: true}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			x := loaded()
			assert.Equal(t, tc.change, x.Apply(start, tc.batch))
			d := x.Depth(start, chain)
			assert.Equal(t, tc.certain, d.Certain)
			assert.Equal(t, tc.doubtful, d.Doubtful)
		})
	}
}

// Guards against an eviction report that is older than the answer that proved the key.
func TestLateEvictionDoesNotHideProvenKeys(t *testing.T) {
	x := loaded()
	x.PrefillEnded(start, 1, []uint64{1, 2, 3, 4}, true)
	x.Apply(start.Add(200*time.Millisecond), batch("a", evicted(11, 4)))
	assert.Equal(t, 4, x.Depth(start, []uint64{1, 2, 3, 4}).Certain)
	x.Apply(start.Add(2*time.Second), batch("a", evicted(12, 4)))
	assert.Equal(t, 3, x.Depth(start, []uint64{1, 2, 3, 4}).Certain)
}

// Guards against snapshots read at every gap, and against doubt that never ends.
func TestRepairWithinRate(t *testing.T) {
	x := New(Options{RepairInterval: time.Second, RepairKeysPerSecond: 1})
	assert.True(t, x.RepairDue(start))
	x.Load(start, engine.CacheSnapshot{Incarnation: "a", Seq: 10, Keys: []uint64{1, 2, 3}})
	x.Apply(start, batch("a", stored(12, 4)))
	assert.True(t, x.Doubtful())
	assert.False(t, x.RepairDue(start.Add(2*time.Second)), "three keys cost three seconds")
	assert.True(t, x.RepairDue(start.Add(4*time.Second)))
	x.RepairFailed(start.Add(4 * time.Second))
	assert.False(t, x.RepairDue(start.Add(5*time.Second)))
	x.Load(start.Add(9*time.Second), engine.CacheSnapshot{Incarnation: "a", Seq: 15, Keys: []uint64{1}})
	assert.False(t, x.Doubtful())
	x.Load(start.Add(10*time.Second), engine.CacheSnapshot{Incarnation: "a", Seq: 14})
	assert.Equal(t, 1, x.Len(), "an older snapshot is ignored")
}

// Guards against concurrent misses that each compute the same prefix.
func TestPendingPrefill(t *testing.T) {
	x := loaded()
	ready := start.Add(time.Second)
	x.PrefillStarted(7, []uint64{1, 2, 3, 4, 5}, ready)
	x.Plan([]uint64{1, 2, 3, 4, 5, 6})
	d := x.Depth(start, []uint64{1, 2, 3, 4, 5, 6, 7})
	assert.Equal(t, Depth{Certain: 3, Doubtful: 3, Pending: 5, Planned: 6, PendingReady: ready}, d)
	x.PrefillEnded(start, 8, []uint64{4, 5}, false)
	assert.Equal(t, 5, x.Depth(start, []uint64{1, 2, 3, 4, 5}).Pending, "another slot ended")
	x.PrefillEnded(start, 7, []uint64{1, 2, 3, 4, 5}, false)
	x.Unplan([]uint64{1, 2, 3, 4, 5, 6})
	assert.Equal(t, 3, x.Depth(start, []uint64{1, 2, 3, 4, 5, 6}).Planned)
	x.PrefillStarted(9, []uint64{4}, ready)
	x.Reset("b")
	assert.Zero(t, x.Depth(start, []uint64{1, 2, 3, 4}).Planned, "a restart ends pending work")
}

// Guards against reliance on pieces that an answer proved to be gone.
func TestMissed(t *testing.T) {
	x := loaded()
	x.Missed([]uint64{1, 2, 3}, 1)
	assert.Equal(t, 1, x.Depth(start, []uint64{1, 2, 3}).Doubtful)
}

// Guards against claims of certainty that any loss of events makes false.
func TestCertainDepthIsTrueUnderLoss(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := New(Options{})
		x.Load(start, engine.CacheSnapshot{Incarnation: "a"})
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
			x.Apply(start, batch("a", e))
			for k := uint64(1); k <= 5; k++ {
				if x.Depth(start, []uint64{k}).Certain == 1 && !cached[k] {
					t.Fatalf("key %d is certain but not cached", k)
				}
			}
		}
	})
}

// Guards against memory that grows with the engine's cache.
func TestEntriesAreBounded(t *testing.T) {
	x := New(Options{MaxEntries: 10})
	for k := uint64(1); k < 100; k++ {
		x.Apply(start, batch("a", stored(k, k)))
	}
	assert.Equal(t, 10, x.Len())
}
